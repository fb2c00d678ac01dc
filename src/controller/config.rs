//! Accepts the operators' configuration and puts it in force.
//!
//! Entries learn of a new revision by a watch on the head object, by gossip from their peers,
//! and by a push from the entry that accepted it (`docs/design/configuration.md`).

use pistachioyard_policy::{ApplyDecision, decide_apply, is_plausible_revision};
use pistachioyard_wire::{
    AcceptedConfig, ApplyAnswer, ApplyRequest, Config, ObjectKey, ObjectRecord, PeerMessage,
    WriteAnswer, WriteCondition,
};

use crate::pace::Pace;
use crate::prelude::*;

/// The key of the head object, which holds the accepted configuration.
const HEAD_KEY: &str = "config/head";
/// The key prefix that is watched.
const WATCH_PREFIX: &str = "config/";
/// How long one watch request waits for a change, in milliseconds.
const WATCH_WAIT_MS: u64 = 1_000;
/// The maximum size of the operators' file, in bytes; escaped as JSON, it still fits into
/// an object.
const MAX_FILE_BYTES: usize = 400_000;
/// How often the head object is compared with the held configuration, in milliseconds.
const POLL_INTERVAL_MS: u64 = 10_000;
/// The number of watches that may begin at once, and the interval between those that follow. A
/// platform that does not let them wait would set the pace otherwise.
const WATCHES_AT_ONCE: u32 = 8;
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// The pause after a failed watch or apply, in milliseconds.
const BACKOFF_MS: u64 = 250;
/// The number of attempts after which an apply ends as undecided.
const MAX_APPLY_ATTEMPTS: u32 = 4;

/// Watches the head object and adopts its changes.
pub(crate) async fn run(node: Arc<Node>) {
    let mut after = 0;
    let pace = Pace::new(WATCHES_AT_ONCE, WATCH_INTERVAL);
    loop {
        pace.wait().await;
        let sent_at = Instant::now();
        let wait = Duration::from_millis(WATCH_WAIT_MS);
        match node.platform.watch(WATCH_PREFIX, after, wait).await {
            Ok(page) => {
                // A platform that lost its objects restarts its version numbers, so all of its
                // current objects are read again.
                after = if page.version < after {
                    0
                } else {
                    page.version
                };
                page.changed
                    .iter()
                    .for_each(|record| adopt_record(&node, record));
                let revision = node.revision();
                node.adoption.lock().confirm(revision, sent_at);
            }
            Err(e) => {
                spdlog::debug!("config: cannot watch for changes: {e}");
                tokio::time::sleep(Duration::from_millis(BACKOFF_MS)).await;
            }
        }
    }
}

/// Reconciles the head object with the held configuration at every interval.
///
/// This finds what the watch does not report, such as a head object that was lost.
pub(crate) async fn poll(node: Arc<Node>) {
    let mut ticks = tokio::time::interval(Duration::from_millis(POLL_INTERVAL_MS));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        reconcile(&node).await;
    }
}

async fn reconcile(node: &Arc<Node>) {
    if let Err(e) = try_reconcile(node).await {
        spdlog::debug!("config: cannot reconcile with the head object: {e}");
    }
}

/// Adopts the head object, or restores it if the platform has lost it, so that an accepted
/// file is not lost when the entries that hold it stop.
async fn try_reconcile(node: &Arc<Node>) -> Result<(), crate::error::CallError> {
    let held = node.adoption.lock().current().cloned();
    let key = ObjectKey(HEAD_KEY.into());
    let record = node.platform.read(&key).await?;
    let head = read_head(node, record.as_ref())?;
    let Some(held) = held else {
        head.into_iter().for_each(|head| adopt(node, head));
        return Ok(());
    };
    match head {
        Some(head) if head.revision >= held.accepted.revision => adopt(node, head),
        _ => {
            let text = head_json(&held.accepted);
            let condition = condition_of(record.as_ref());
            let written = node.platform.write(&key, condition, Some(text)).await?;
            if let WriteAnswer::Written(_) = written {
                let revision = held.accepted.revision;
                spdlog::warn!("config: the platform had lost revision {revision}; restored it");
            }
        }
    }
    Ok(())
}

fn read_head(
    node: &Node,
    record: Option<&ObjectRecord>,
) -> Result<Option<AcceptedConfig>, crate::error::CallError> {
    record
        .map(|r| serde_json::from_str::<AcceptedConfig>(&r.value))
        .transpose()
        .map_err(|e| node.platform.malformed(e))
}

fn head_json(accepted: &AcceptedConfig) -> String {
    serde_json::to_string(accepted).expect("wire types serialize to JSON")
}

fn condition_of(record: Option<&ObjectRecord>) -> WriteCondition {
    record.map_or(WriteCondition::Absent, |r| {
        WriteCondition::Version(r.version)
    })
}

fn adopt_record(node: &Arc<Node>, record: &ObjectRecord) {
    if *record.key.0 != *HEAD_KEY {
        return;
    }
    match serde_json::from_str::<AcceptedConfig>(&record.value) {
        Ok(accepted) => {
            adopt(node, accepted);
        }
        Err(e) => spdlog::error!("config: cannot parse the head object: {e}"),
    }
}

/// Adopts a configuration from a peer, unless its revision is implausibly far ahead.
///
/// A damaged revision number would otherwise block all later revisions.
pub(crate) fn adopt_from_peer(node: &Arc<Node>, accepted: AcceptedConfig) {
    if is_plausible_revision(node.revision(), accepted.revision) {
        adopt(node, accepted);
    } else {
        let revision = accepted.revision;
        spdlog::error!("config: ignoring revision {revision} of a peer, which is too far ahead");
    }
}

/// Puts a configuration in force if it is newer, and sends it to peers.
fn adopt(node: &Arc<Node>, accepted: AcceptedConfig) {
    let revision = accepted.revision;
    let offered = node.adoption.lock().offer(accepted.clone());
    match offered {
        Ok(true) => {
            spdlog::info!("config: revision {revision} is in force");
            set_service_levels(node);
            node.peers.send(&PeerMessage::Config(accepted));
            node.peers.push_gossip(node);
            node.admission.wake();
        }
        Ok(false) => {}
        Err(rejected) => spdlog::error!("config: rejected revision {revision}: {rejected}"),
    }
}

fn set_service_levels(node: &Node) {
    let active = node.adoption.lock().current().cloned();
    if let Some(active) = active {
        let levels = active.config.service_levels();
        node.burn
            .set_levels(active.accepted.revision, levels, Instant::now());
    }
}

/// Accepts an operators' file by a conditional write of the head object.
pub(crate) async fn apply(node: &Arc<Node>, req: ApplyRequest) -> ApplyAnswer {
    if let Err(faults) = Config::parse(&req.text) {
        let faults = faults.iter().map(ToString::to_string).collect();
        return ApplyAnswer::Rejected { faults };
    }
    if req.text.len() > MAX_FILE_BYTES {
        let len = req.text.len();
        let fault = format!("the file has {len} bytes; at most {MAX_FILE_BYTES} are allowed");
        return ApplyAnswer::Rejected {
            faults: vec![fault],
        };
    }
    let key = ObjectKey(HEAD_KEY.into());
    let mut last_error = None;
    for _ in 0..MAX_APPLY_ATTEMPTS {
        match try_apply(node, &key, &req).await {
            Ok(Some(answer)) => return answer,
            Ok(None) => {}
            Err(e) => {
                last_error = Some(e);
                tokio::time::sleep(Duration::from_millis(BACKOFF_MS)).await;
            }
        }
    }
    let detail = last_error.map_or_else(
        || "the stored configuration changed during every attempt; apply again".to_owned(),
        |e| format!("{e}; send the same apply request again to learn its outcome"),
    );
    ApplyAnswer::Undecided { detail }
}

/// Tries to apply once; returns `None` if the head object changed in between.
async fn try_apply(
    node: &Arc<Node>,
    key: &ObjectKey,
    req: &ApplyRequest,
) -> Result<Option<ApplyAnswer>, crate::error::CallError> {
    let record = node.platform.read(key).await?;
    let head = read_head(node, record.as_ref())?;
    // If the platform lost its objects, revision numbers must still not go backwards.
    let held = node.adoption.lock().current().cloned();
    let held = held.map(|active| active.accepted.clone());
    let current = head.into_iter().chain(held).max_by_key(|c| c.revision);
    let condition = condition_of(record.as_ref());
    let accepted = match decide_apply(current.as_ref(), req) {
        ApplyDecision::AlreadyAccepted(revision) => {
            if let Some(current) = current {
                adopt(node, current);
            }
            return Ok(Some(ApplyAnswer::Accepted { revision }));
        }
        ApplyDecision::Conflict(revision) => return Ok(Some(ApplyAnswer::Conflict { revision })),
        ApplyDecision::Write(accepted) => accepted,
    };
    let text = head_json(&accepted);
    match node.platform.write(key, condition, Some(text)).await? {
        WriteAnswer::Written(_) => {
            let revision = accepted.revision;
            adopt(node, accepted);
            Ok(Some(ApplyAnswer::Accepted { revision }))
        }
        WriteAnswer::Conflict(_) => Ok(None),
    }
}
