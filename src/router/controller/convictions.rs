//! Keeps the convictions of requests and prompt parts in the store, so that entries that all
//! start anew know them. See `docs/design/quarantine.md`.

use std::collections::BTreeMap;
use std::time::{SystemTime, UNIX_EPOCH};

use pistachioyard_platform::{Object, ObjectKind, StoreAnswerError, StoreCall};
use pistachioyard_policy::is_other_era;
use pistachioyard_wire::{PartMark, PartReport, PromptPart, QuarantineMark, RequestDigest};
use serde::{Deserialize, Serialize};

use super::{jittered, placement};
use crate::prelude::*;
use crate::router::Router;
use crate::router::log::ms;
use crate::router::store_client::StoreError;

/// The kind under which convictions are stored.
const CONVICTION_KIND: ObjectKind = ObjectKind("convictions");
/// How often the stored convictions are compared with the known ones if none is new.
const SYNC_PERIOD: Duration = Duration::from_secs(2);
/// The pause after a list that failed.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Names what is refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Culprit {
    Part(PromptPart),
    Request(RequestDigest),
}

/// Holds a conviction as the store holds it.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Conviction {
    culprit: Culprit,
    /// The endpoint runs that crashed under a request; empty for a part.
    #[serde(default)]
    crashed: Vec<BootId>,
    #[serde(default)]
    has_relapsed: bool,
    /// The Unix time from which the hold counts, in ms.
    since_unix_ms: u64,
}

impl Conviction {
    /// Returns the name of its object.
    fn name(&self) -> String {
        match self.culprit {
            Culprit::Part(part) => format!("part-{part}"),
            Culprit::Request(digest) => format!("request-{digest}"),
        }
    }

    /// Returns what has to be written again when it changes.
    fn state(&self) -> (usize, bool) {
        (self.crashed.len(), self.has_relapsed)
    }
}

/// Maps the names of the stored convictions to their states.
type Stored = BTreeMap<String, (usize, bool)>;

/// Reads the stored convictions, then stores new ones and removes those that have ended.
///
/// All entries know all convictions by gossip, and the first of them writes.
pub(super) async fn run(router: Arc<Router>) {
    let mut stored = None;
    let mut era = router.store.era();
    loop {
        if is_other_era(router.store.era(), era) {
            // The copy may lack convictions.
            stored = None;
        }
        era = router.store.era();
        let Some(known) = &mut stored else {
            stored = read(&router).await;
            if stored.is_none() {
                tokio::time::sleep(jittered(RETRY_PAUSE)).await;
            }
            continue;
        };
        if placement::is_candidate(&router, Instant::now()) {
            sync(&router, known).await;
        }
        let changed = router.convictions_changed.notified();
        // A timeout and a notification both lead to the next comparison.
        let _ = tokio::time::timeout(jittered(SYNC_PERIOD), changed).await;
    }
}

async fn read(router: &Router) -> Option<Stored> {
    let page = match router.store.list(CONVICTION_KIND, false).await {
        Ok(page) => page.value,
        Err(e) => {
            spdlog::warn!("quarantine: cannot read the convictions", kv: {
                why = e.to_string().as_str()
            });
            return None;
        }
    };
    let convictions: Vec<Conviction> = page
        .objects
        .iter()
        .filter_map(|o| decode(router, o))
        .collect();
    let stored = convictions.iter().map(|c| (c.name(), c.state())).collect();
    adopt(router, convictions);
    Some(stored)
}

fn decode(router: &Router, object: &Object) -> Option<Conviction> {
    match object.decode::<Conviction>() {
        Ok(conviction) => Some(conviction),
        Err(e) => {
            if router.other_lines.allows() {
                spdlog::warn!("quarantine: ignoring a malformed conviction", kv: {
                    name = object.name.as_str(), why = e.to_string().as_str()
                });
            }
            None
        }
    }
}

/// Merges stored convictions into what this entry knows.
fn adopt(router: &Router, convictions: Vec<Conviction>) {
    let now_ms = unix_ms();
    let (mut marks, mut parts) = (Vec::new(), PartReport::default());
    for conviction in convictions {
        let age_ms = now_ms.saturating_sub(conviction.since_unix_ms);
        match conviction.culprit {
            Culprit::Part(part) => parts.convicted.push(PartMark { part, age_ms }),
            Culprit::Request(digest) => marks.push(QuarantineMark {
                digest,
                crashed: conviction.crashed,
                cleared: Vec::new(),
                undecided: Vec::new(),
                convicted: true,
                has_relapsed: conviction.has_relapsed,
                age_ms,
            }),
        }
    }
    let now = Instant::now();
    router.merge_quarantine(&marks, "store", now);
    router.merge_parts(&parts, "store", now);
}

/// Returns the convictions that this entry knows, by the names of their objects.
fn known(router: &Router) -> BTreeMap<String, Conviction> {
    let (now, now_ms) = (Instant::now(), unix_ms());
    let marks = router.quarantine.lock().marks(now).into_iter();
    let requests = marks.filter(|mark| mark.convicted).map(|mark| Conviction {
        culprit: Culprit::Request(mark.digest),
        crashed: mark.crashed,
        has_relapsed: mark.has_relapsed,
        since_unix_ms: now_ms.saturating_sub(mark.age_ms),
    });
    let parts = router.parts.lock().report(now).convicted.into_iter();
    let parts = parts.map(|mark| Conviction {
        culprit: Culprit::Part(mark.part),
        crashed: Vec::new(),
        has_relapsed: false,
        since_unix_ms: now_ms.saturating_sub(mark.age_ms),
    });
    requests.chain(parts).map(|c| (c.name(), c)).collect()
}

async fn sync(router: &Router, stored: &mut Stored) {
    let known = known(router);
    for (name, conviction) in &known {
        if stored.get(name) != Some(&conviction.state()) {
            match write(router, name, conviction).await {
                Ok(()) => {
                    stored.insert(name.clone(), conviction.state());
                }
                Err(e) => log_failure("cannot store a conviction", name, &e),
            }
        }
    }
    let ended: Vec<String> = stored
        .keys()
        .filter(|name| !known.contains_key(*name))
        .cloned()
        .collect();
    for name in ended {
        match remove(router, &name).await {
            Ok(()) | Err(StoreError::Fault(StoreAnswerError::NotFound)) => {
                stored.remove(&name);
            }
            Err(e) => log_failure("cannot remove a conviction", &name, &e),
        }
    }
}

fn log_failure(what: &str, name: &str, e: &StoreError) {
    let why = e.to_string();
    spdlog::warn!("quarantine: the store was not updated", kv: {
        what, name, why = why.as_str()
    });
}

async fn write(router: &Router, name: &str, conviction: &Conviction) -> Result<(), StoreError> {
    let spec = serde_json::json!(conviction);
    let created = StoreCall::create(CONVICTION_KIND, name, spec.clone());
    match router.store.object(&created).await {
        Err(StoreError::Fault(StoreAnswerError::Conflict)) => {
            let old = router.store.read(CONVICTION_KIND, name).await?;
            let call = StoreCall::replace(CONVICTION_KIND, name, old.value.revision, spec);
            router.store.object(&call).await?;
        }
        other => {
            other?;
        }
    }
    spdlog::info!("quarantine: conviction stored", kv: {
        name, age_ms = unix_ms().saturating_sub(conviction.since_unix_ms)
    });
    Ok(())
}

async fn remove(router: &Router, name: &str) -> Result<(), StoreError> {
    let old = router.store.read(CONVICTION_KIND, name).await?;
    let call = StoreCall::delete(CONVICTION_KIND, name, old.value.revision);
    router.store.object(&call).await?;
    spdlog::info!("quarantine: conviction removed", kv: { name });
    Ok(())
}

/// Returns the time of day, in ms since the Unix epoch.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, ms)
}
