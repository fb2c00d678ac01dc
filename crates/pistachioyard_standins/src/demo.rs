//! The demo: both example deployments, served, broken and checked.

use std::time::{Duration, Instant};

use pistachioyard_wire::{OperationKey, Outcome, ProblemKind};
use uuid::Uuid;

use crate::cluster::{Answer, Caller, Cluster, ClusterError, ClusterPlan, draft_request};
use crate::deployment::{ClusterSize, Deployment};
use crate::{EffectRecord, PlatformFaults, wait_until};

/// The tokens of each answer of the demo.
const ANSWER_TOKENS: u32 = 60;
/// The answers that are asked for at the same time.
const ANSWERS_AT_ONCE: usize = 24;

/// How long the first event of an answer may take.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Settings of the demo.
#[derive(Clone, Debug, clap::Args)]
pub struct DemoArgs {
    /// The deployment to run; both where none is named.
    #[arg(long, value_enum)]
    deployment: Option<Deployment>,
}

/// Why the demo failed.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// The processes could not be run.
    #[error(transparent)]
    Cluster(#[from] ClusterError),
    /// A check did not hold.
    #[error("check failed: {what}: {seen}")]
    Check {
        /// What should have held.
        what: String,
        /// What was seen.
        seen: String,
    },
}

/// Runs the demo.
///
/// # Errors
///
/// Fails when a process cannot be run or a check does not hold.
pub async fn run_demo(args: DemoArgs) -> Result<(), DemoError> {
    for deployment in Deployment::ALL {
        if args.deployment.is_none_or(|only| only == deployment) {
            run_deployment(deployment).await?;
        }
    }
    println!("demo: all checks held");
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
        self.drafts().await?;
        self.operations().await?;
        self.platform_outage().await?;
        self.lost_engine().await?;
        self.lost_entry().await?;
        self.planned_stop().await
    }

    fn say(&self, what: &str) {
        println!("{}: {what}", self.deployment.name());
    }

    /// Asks every entry for answers and checks every token of each.
    async fn drafts(&self) -> Result<(), DemoError> {
        let mut slowest = Duration::ZERO;
        for entry in &self.cluster.entries {
            let prompt = format!("Repair of the south wall, by way of {}", entry.name);
            let answer = self.ask(entry.caller, &prompt).await?;
            let first = answer.token_times.first().map(|at| *at - answer.sent_at);
            slowest = slowest.max(first.unwrap_or_default());
        }
        self.say(&format!(
            "an answer of {ANSWER_TOKENS} tokens through each entry, every token right, \
             first token within {} ms",
            slowest.as_millis()
        ));
        let started_at = Instant::now();
        self.ask_many(|_| {}).await?;
        self.say(&format!(
            "{ANSWERS_AT_ONCE} answers at once, all right, in {:.1} s",
            started_at.elapsed().as_secs_f64()
        ));
        Ok(())
    }

    async fn ask(&self, entry: std::net::SocketAddr, prompt: &str) -> Result<Answer, DemoError> {
        let (workspace, _) = self.deployment.workspaces();
        let req = draft_request(self.deployment, workspace, prompt, ANSWER_TOKENS)
            .map_err(ClusterError::from)?;
        let answer = self.caller.generate(entry, &req, |_| {}).await;
        check(
            answer.is_correct(self.deployment, &req),
            "the answer is whole and right",
            &answer.end,
        )?;
        Ok(answer)
    }

    /// Asks for many answers at once, with `disturb` done while they run.
    async fn ask_many(&self, disturb: impl FnOnce(&Cluster)) -> Result<(), DemoError> {
        let (workspace, _) = self.deployment.workspaces();
        let entries: Vec<_> = self.cluster.entries.iter().map(|e| e.caller).collect();
        let mut tasks = Vec::new();
        for place in 0..ANSWERS_AT_ONCE {
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
        disturb(&self.cluster);
        for task in tasks {
            let Ok((answer, req)) = task.await else {
                continue;
            };
            check(
                answer.is_correct(self.deployment, &req),
                "each of many answers is whole and right",
                &answer.end,
            )?;
        }
        Ok(())
    }

    /// Sends operations, repeats a key, and counts the effects at the services.
    async fn operations(&self) -> Result<(), DemoError> {
        let (service, call) = self.deployment.service_call();
        let key = new_key();
        let first = self.operate(0, key).await?;
        let second = self.operate(1, key).await?;
        check(
            !first.repeated && second.repeated,
            "a repeated key is told as repeated",
            &second,
        )?;
        check(
            first.answer == second.answer,
            "a repeated key gets the first outcome",
            &second,
        )?;
        check(
            self.effects(key).await? == 1,
            "one effect for one key",
            &key,
        )?;
        self.say(&format!(
            "{service}/{call} sent twice with one key took effect once"
        ));
        let body = r#"{"who":"ana"}"#;
        let repeatable = self.deployment.idempotent_call();
        let entry = self.cluster.entries[2].caller;
        let answer = self
            .caller
            .operate(entry, self.deployment, repeatable, None, body)
            .await?;
        check(answer.is_ok(), "an idempotent call needs no key", &answer)
    }

    async fn operate(
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
            what: "the operation is done".to_owned(),
            seen: problem.to_string(),
        })
    }

    async fn effects(&self, key: OperationKey) -> Result<u64, DemoError> {
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

    /// Takes the platform away: answers go on, operations are refused as not run.
    async fn platform_outage(&self) -> Result<(), DemoError> {
        let down = PlatformFaults {
            down: true,
            ..PlatformFaults::default()
        };
        self.cluster.set_platform_faults(&down).await?;
        self.ask(self.cluster.entries[0].caller, "During an outage")
            .await?;
        let (_, call) = self.deployment.service_call();
        let key = new_key();
        let entry = self.cluster.entries[0].caller;
        let refused = self
            .caller
            .operate(entry, self.deployment, call, Some(key), "{}")
            .await?;
        let is_honest = refused.as_ref().is_err_and(|problem| {
            problem.outcome == Outcome::NotRun
                && problem.kind == ProblemKind::LedgerUnavailable
                && problem.retry_after_ms.is_some()
        });
        check(
            is_honest,
            "an operation in an outage is refused as not run",
            &refused,
        )?;
        check(
            self.effects(key).await? == 0,
            "what was refused has no effect",
            &key,
        )?;
        self.cluster
            .set_platform_faults(&PlatformFaults::default())
            .await?;
        self.say("platform down: answers go on, an operation is refused as not run");
        Ok(())
    }

    /// Kills an engine while answers run through it.
    async fn lost_engine(&mut self) -> Result<(), DemoError> {
        let Some(mut engine) = self.cluster.engines.pop() else {
            return Ok(());
        };
        self.ask_many(|_| {
            let _ = engine.child.kill();
        })
        .await?;
        self.say(&format!(
            "{} killed under {ANSWERS_AT_ONCE} answers, all right",
            engine.name
        ));
        Ok(())
    }

    /// Kills an entry while answers run through it; callers resume elsewhere.
    async fn lost_entry(&mut self) -> Result<(), DemoError> {
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
        let asked = req.clone();
        let task = tokio::spawn(async move { caller.generate_resuming(&entries, &asked).await });
        tokio::time::sleep(Duration::from_millis(400)).await;
        lost.child.kill().map_err(ClusterError::from)?;
        let Ok(answer) = task.await else {
            return Ok(());
        };
        check(
            answer.is_correct(self.deployment, &req),
            "an answer goes on at another entry",
            &answer.end,
        )?;
        self.say(&format!(
            "{} killed, its answer went on at another entry",
            lost.name
        ));
        Ok(())
    }

    /// Stops an entry while an answer runs through it.
    async fn planned_stop(&mut self) -> Result<(), DemoError> {
        let mut stopped = self.cluster.entries.swap_remove(1);
        let (workspace, _) = self.deployment.workspaces();
        let req = draft_request(
            self.deployment,
            workspace,
            "Through a planned stop",
            ANSWER_TOKENS,
        )
        .map_err(ClusterError::from)?;
        let (caller, asked, entry) = (self.caller.clone(), req.clone(), stopped.caller);
        let task = tokio::spawn(async move { caller.generate(entry, &asked, |_| {}).await });
        tokio::time::sleep(Duration::from_millis(300)).await;
        stopped.child.terminate().map_err(ClusterError::from)?;
        let Ok(answer) = task.await else {
            return Ok(());
        };
        check(
            answer.is_correct(self.deployment, &req),
            "a planned stop cuts off no answer",
            &answer.end,
        )?;
        let status = stopped
            .child
            .wait(Duration::from_secs(20))
            .await
            .map_err(ClusterError::from)?;
        check(status.success(), "the stopped entry ends clean", &status)?;
        let name = stopped.name.clone();
        let entry = self.cluster.entries[0].caller;
        let client = self.cluster.client.clone();
        wait_until(
            Duration::from_secs(5),
            "the entry to leave the list",
            || async {
                let list = client
                    .get_json::<pistachioyard_wire::EntryList>(entry, "/v1/entries")
                    .await;
                list.is_ok_and(|list| list.entries.iter().all(|e| e.entry.as_str() != name))
            },
        )
        .await
        .map_err(ClusterError::from)?;
        self.say(&format!(
            "{} stopped as planned, its answer was whole",
            stopped.name
        ));
        Ok(())
    }
}

fn new_key() -> OperationKey {
    OperationKey::try_from(Uuid::now_v7()).expect("a version 7 UUID is a key")
}

fn check(holds: bool, what: &str, seen: &impl std::fmt::Debug) -> Result<(), DemoError> {
    if holds {
        return Ok(());
    }
    Err(DemoError::Check {
        what: what.to_owned(),
        seen: format!("{seen:?}"),
    })
}
