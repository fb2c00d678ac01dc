//! The demo: runs both example deployments, injects faults and checks every answer.

use std::time::{Duration, Instant};

use pistachioyard_wire::{OperationKey, Outcome, ProblemKind};
use uuid::Uuid;

use crate::cluster::{Answer, Caller, Cluster, ClusterError, ClusterPlan, draft_request};
use crate::deployment::{ClusterSize, Deployment};
use crate::{EffectRecord, PlatformFaults, wait_until};

/// The number of tokens in each answer.
const ANSWER_TOKENS: u32 = 60;
/// The number of requests sent concurrently.
const CONCURRENT_ANSWERS: usize = 24;

/// The maximum time to the first event of an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Holds the arguments of the demo.
#[derive(Clone, Debug, clap::Args)]
pub struct DemoArgs {
    /// The deployment to run (default: both).
    #[arg(long, value_enum)]
    deployment: Option<Deployment>,
}

/// Reports why the demo failed.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// The cluster could not be started or called.
    #[error(transparent)]
    Cluster(#[from] ClusterError),
    /// A check failed.
    #[error("check failed: expected that {expected}; got {observed}")]
    Check {
        /// The condition that should have held.
        expected: String,
        /// The value that was observed.
        observed: String,
    },
}

/// Runs the demo on the selected deployments.
///
/// # Errors
///
/// Fails when a process cannot be run or a check fails.
pub async fn run_demo(args: DemoArgs) -> Result<(), DemoError> {
    for deployment in Deployment::ALL {
        if args.deployment.is_none_or(|only| only == deployment) {
            run_deployment(deployment).await?;
        }
    }
    println!("demo: all checks passed");
    Ok(())
}

async fn run_deployment(deployment: Deployment) -> Result<(), DemoError> {
    let name = deployment.name();
    let started_at = Instant::now();
    let plan = ClusterPlan::new(deployment, ClusterSize::Full);
    let cluster = Cluster::start(plan).await?;
    println!(
        "{name}: {} entries, {} engines, {} service endpoints ready after {:.1} s",
        cluster.entries.len(),
        cluster.engines.len(),
        cluster.services.len(),
        started_at.elapsed().as_secs_f64()
    );
    let mut demo = Demo {
        deployment,
        cluster,
        caller: Caller::new(ANSWER_TIMEOUT),
    };
    if let Err(error) = demo.run().await {
        eprintln!("{}", demo.cluster.entry_logs());
        return Err(error);
    }
    println!(
        "{name}: done after {:.1} s",
        started_at.elapsed().as_secs_f64()
    );
    Ok(())
}

struct Demo {
    deployment: Deployment,
    cluster: Cluster,
    caller: Caller,
}

impl Demo {
    async fn run(&mut self) -> Result<(), DemoError> {
        self.check_answers().await?;
        self.check_operations().await?;
        self.check_platform_outage().await?;
        self.check_engine_loss().await?;
        self.check_entry_loss().await?;
        self.check_planned_stop().await
    }

    fn print(&self, message: &str) {
        println!("{}: {message}", self.deployment.name());
    }

    /// Checks answers through every entry, one at a time and then concurrently.
    async fn check_answers(&self) -> Result<(), DemoError> {
        let mut slowest = Duration::ZERO;
        for entry in &self.cluster.entries {
            let prompt = format!("Repair of the south wall, by way of {}", entry.name);
            let answer = self.ask(entry.caller, &prompt).await?;
            let first = answer.token_times.first().map(|at| *at - answer.sent_at);
            slowest = slowest.max(first.unwrap_or_default());
        }
        self.print(&format!(
            "one answer of {ANSWER_TOKENS} tokens through each entry, all tokens correct, \
             slowest first token after {} ms",
            slowest.as_millis()
        ));
        let started_at = Instant::now();
        self.ask_many(|_| {}).await?;
        self.print(&format!(
            "{CONCURRENT_ANSWERS} concurrent answers, all correct, in {:.1} s",
            started_at.elapsed().as_secs_f64()
        ));
        Ok(())
    }

    /// Requests one answer through an entry and checks that it is complete and correct.
    async fn ask(&self, entry: std::net::SocketAddr, prompt: &str) -> Result<Answer, DemoError> {
        let (workspace, _) = self.deployment.workspaces();
        let req = draft_request(self.deployment, workspace, prompt, ANSWER_TOKENS)
            .map_err(ClusterError::from)?;
        let answer = self.caller.generate(entry, &req, |_| {}).await;
        check(
            answer.is_correct(self.deployment, &req),
            "the answer is complete and correct",
            &answer.end,
        )?;
        Ok(answer)
    }

    /// Checks concurrent answers; calls `inject_fault` while they are in progress.
    async fn ask_many(&self, inject_fault: impl FnOnce(&Cluster)) -> Result<(), DemoError> {
        let (workspace, _) = self.deployment.workspaces();
        let entries: Vec<_> = self.cluster.entries.iter().map(|e| e.caller).collect();
        let mut tasks = Vec::new();
        for place in 0..CONCURRENT_ANSWERS {
            let prompt = format!("Answer {place} of many");
            let req = draft_request(self.deployment, workspace, &prompt, ANSWER_TOKENS)
                .map_err(ClusterError::from)?;
            let mut order = entries.clone();
            order.rotate_left(place % entries.len());
            let caller = self.caller.clone();
            tasks.push(tokio::spawn(async move {
                let answer = caller.generate_resuming(&order, &req).await;
                (answer, req)
            }));
        }
        tokio::time::sleep(Duration::from_millis(400)).await;
        inject_fault(&self.cluster);
        for task in tasks {
            let Ok((answer, req)) = task.await else {
                continue;
            };
            check(
                answer.is_correct(self.deployment, &req),
                "each concurrent answer is complete and correct",
                &answer.end,
            )?;
        }
        Ok(())
    }

    /// Checks that an operation sent twice with the same key takes effect once.
    async fn check_operations(&self) -> Result<(), DemoError> {
        let (service, call) = self.deployment.service_call();
        let key = new_operation_key();
        let first = self.send_operation(0, key).await?;
        let second = self.send_operation(1, key).await?;
        check(
            !first.repeated && second.repeated,
            "only the second use of a key is reported as repeated",
            &second,
        )?;
        check(
            first.answer == second.answer,
            "a repeated key returns the outcome of the first call",
            &second,
        )?;
        check(
            self.count_effects(key).await? == 1,
            "an operation key has exactly one effect",
            &key,
        )?;
        self.print(&format!(
            "{service}/{call} sent twice with the same key took effect once"
        ));
        let body = r#"{"who":"ana"}"#;
        let idempotent_call = self.deployment.idempotent_call();
        let entry = self.cluster.entries[2].caller;
        let answer = self
            .caller
            .operate(entry, self.deployment, idempotent_call, None, body)
            .await?;
        check(answer.is_ok(), "an idempotent call needs no key", &answer)
    }

    async fn send_operation(
        &self,
        entry: usize,
        key: OperationKey,
    ) -> Result<pistachioyard_wire::OperationOutcome, DemoError> {
        let (_, call) = self.deployment.service_call();
        let body = r#"{"form":"B-12"}"#;
        let entry = self.cluster.entries[entry].caller;
        let answer = self
            .caller
            .operate(entry, self.deployment, call, Some(key), body)
            .await?;
        answer.map_err(|problem| DemoError::Check {
            expected: "the operation succeeds".to_owned(),
            observed: problem.to_string(),
        })
    }

    /// Returns how many times an operation took effect, summed over all services.
    async fn count_effects(&self, key: OperationKey) -> Result<u64, DemoError> {
        let mut count = 0;
        for service in &self.cluster.services {
            let effects: Vec<EffectRecord> = self
                .cluster
                .client
                .get_json(service.address, "/control/effects")
                .await
                .map_err(ClusterError::from)?;
            let of_key = effects
                .iter()
                .filter(|e| e.key.as_deref() == Some(key.to_string().as_str()));
            count += of_key.map(|e| e.count).sum::<u64>();
        }
        Ok(count)
    }

    /// Checks that answers continue and operations are refused during a platform outage.
    async fn check_platform_outage(&self) -> Result<(), DemoError> {
        let down = PlatformFaults {
            down: true,
            ..PlatformFaults::default()
        };
        self.cluster.set_platform_faults(&down).await?;
        self.ask(self.cluster.entries[0].caller, "During an outage")
            .await?;
        let (_, call) = self.deployment.service_call();
        let key = new_operation_key();
        let entry = self.cluster.entries[0].caller;
        let refused = self
            .caller
            .operate(entry, self.deployment, call, Some(key), "{}")
            .await?;
        let is_refused_as_not_run = refused.as_ref().is_err_and(|problem| {
            problem.outcome == Outcome::NotRun
                && problem.kind == ProblemKind::LedgerUnavailable
                && problem.retry_after_ms.is_some()
        });
        check(
            is_refused_as_not_run,
            "an operation during a platform outage is refused as not run",
            &refused,
        )?;
        check(
            self.count_effects(key).await? == 0,
            "a refused operation has no effect",
            &key,
        )?;
        self.cluster
            .set_platform_faults(&PlatformFaults::default())
            .await?;
        self.print("platform down: answers continue, an operation is refused as not run");
        Ok(())
    }

    /// Checks that concurrent answers survive the loss of an engine.
    async fn check_engine_loss(&mut self) -> Result<(), DemoError> {
        let Some(mut engine) = self.cluster.engines.pop() else {
            return Ok(());
        };
        self.ask_many(|_| {
            let _ = engine.child.kill();
        })
        .await?;
        self.print(&format!(
            "{} killed under {CONCURRENT_ANSWERS} concurrent answers, all correct",
            engine.name
        ));
        Ok(())
    }

    /// Checks that a caller whose entry is killed resumes its answer at another entry.
    async fn check_entry_loss(&mut self) -> Result<(), DemoError> {
        let mut lost = self.cluster.entries.swap_remove(3);
        let entries: Vec<_> = std::iter::once(lost.caller)
            .chain(self.cluster.entries.iter().map(|e| e.caller))
            .collect();
        let (workspace, _) = self.deployment.workspaces();
        let req = draft_request(
            self.deployment,
            workspace,
            "Through a lost entry",
            ANSWER_TOKENS,
        )
        .map_err(ClusterError::from)?;
        let caller = self.caller.clone();
        let task_req = req.clone();
        let task = tokio::spawn(async move { caller.generate_resuming(&entries, &task_req).await });
        tokio::time::sleep(Duration::from_millis(400)).await;
        lost.child.kill().map_err(ClusterError::from)?;
        let Ok(answer) = task.await else {
            return Ok(());
        };
        check(
            answer.is_correct(self.deployment, &req),
            "an answer resumes at another entry",
            &answer.end,
        )?;
        self.print(&format!(
            "{} killed, its answer resumed at another entry",
            lost.name
        ));
        Ok(())
    }

    /// Checks that an entry completes its answer and leaves the entry list on a planned stop.
    async fn check_planned_stop(&mut self) -> Result<(), DemoError> {
        let mut stopped = self.cluster.entries.swap_remove(1);
        let (workspace, _) = self.deployment.workspaces();
        let req = draft_request(
            self.deployment,
            workspace,
            "Through a planned stop",
            ANSWER_TOKENS,
        )
        .map_err(ClusterError::from)?;
        let (caller, task_req, entry) = (self.caller.clone(), req.clone(), stopped.caller);
        let task = tokio::spawn(async move { caller.generate(entry, &task_req, |_| {}).await });
        tokio::time::sleep(Duration::from_millis(300)).await;
        stopped.child.terminate().map_err(ClusterError::from)?;
        let Ok(answer) = task.await else {
            return Ok(());
        };
        check(
            answer.is_correct(self.deployment, &req),
            "an answer completes during a planned stop",
            &answer.end,
        )?;
        let status = stopped
            .child
            .wait(Duration::from_secs(20))
            .await
            .map_err(ClusterError::from)?;
        check(status.success(), "the stopped entry exits with 0", &status)?;
        let name = stopped.name.clone();
        let entry = self.cluster.entries[0].caller;
        let client = self.cluster.client.clone();
        wait_until(
            Duration::from_secs(5),
            "the stopped entry to leave the entry list",
            || async {
                let list = client
                    .get_json::<pistachioyard_wire::EntryList>(entry, "/v1/entries")
                    .await;
                list.is_ok_and(|list| list.entries.iter().all(|e| e.entry.as_str() != name))
            },
        )
        .await
        .map_err(ClusterError::from)?;
        self.print(&format!(
            "{} stopped as planned, its answer completed",
            stopped.name
        ));
        Ok(())
    }
}

fn new_operation_key() -> OperationKey {
    OperationKey::try_from(Uuid::now_v7()).expect("a version 7 UUID is a valid operation key")
}

/// Returns an error unless `holds` is true.
fn check(holds: bool, expected: &str, observed: &impl std::fmt::Debug) -> Result<(), DemoError> {
    if holds {
        return Ok(());
    }
    Err(DemoError::Check {
        expected: expected.to_owned(),
        observed: format!("{observed:?}"),
    })
}
