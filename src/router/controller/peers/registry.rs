//! Registrations of entries in the store, through which they discover each other.

use pistachioyard_platform::{Object, ObjectKind, StoreAnswerError, StoreCall};
use pistachioyard_policy::is_other_era;
use pistachioyard_wire::{EntryState, MemberRecord};

use crate::prelude::*;
use crate::router::Router;
use crate::router::controller::{jittered, placement};
use crate::router::store_client::StoreError;

/// The kind under which entries register.
const ENTRY_KIND: ObjectKind = ObjectKind("entries");
/// The pauses between syncs; short at first, while all entries start.
const SYNC_PAUSES: [Duration; 3] = [
    Duration::from_millis(400),
    Duration::from_millis(1_200),
    Duration::from_secs(4),
];
/// The number of entries up to which the longest pause is as stated; it grows with the fleet, so
/// that all entries together read the same number of registrations a second.
const ENTRIES_PER_PAUSE: usize = 16;
/// The number of pauses between syncs in which an entry shows in a list if it runs: entries that are
/// cut off from each other remove each other's registrations, and write their own again.
const SYNCS_TO_SHOW: u32 = 3;
/// How long this entry must have run before it removes registrations; live
/// entries have been heard from by then.
const REMOVE_AFTER: Duration = Duration::from_secs(20);

/// Registers this entry and discovers the others.
pub(in crate::router::controller) async fn register(router: Arc<Router>) {
    let mut is_registered = false;
    let mut rounds = 0;
    let mut era = router.store.era();
    loop {
        if !is_registered {
            is_registered = register_once(&router).await;
        }
        let has_returned = is_other_era(router.store.era(), era);
        era = router.store.era();
        // A stale list is sufficient, since it only bootstraps discovery; after the store's
        // return it may still show the registration that is gone.
        if sync_registrations(&router, !has_returned).await == OwnRegistration::Missing {
            // A peer removes it when it has received no gossip from this entry for a long time,
            // and a store that came back from an older copy may lack it.
            spdlog::warn!("peers: own registration is missing, registering again");
            is_registered = register_once(&router).await;
        }
        if rounds == 0 && !*router.first_news.borrow() {
            if router.members.lock().count() == 1 {
                router.first_news.send_replace(true);
            }
            super::announce(&router).await;
        }
        let pause = sync_pause(rounds, router.members.lock().count());
        rounds += 1;
        tokio::select! {
            () = tokio::time::sleep(jittered(pause)) => {}
            () = router.store.wait_for_other_era(era) => {
                rounds = 0;
                tokio::time::sleep(jittered(SYNC_PAUSES[0])).await;
            }
        }
    }
}

fn sync_pause(rounds: usize, entries: usize) -> Duration {
    match SYNC_PAUSES.get(rounds) {
        Some(pause) if rounds + 1 < SYNC_PAUSES.len() => *pause,
        _ => {
            let longest = SYNC_PAUSES[SYNC_PAUSES.len() - 1];
            longest * entries.div_ceil(ENTRIES_PER_PAUSE).max(1) as u32
        }
    }
}

async fn register_once(router: &Router) -> bool {
    let own = router.members.lock().own_record().clone();
    let name = own.entry.as_str().to_owned();
    let Ok(spec) = serde_json::to_value(&own) else {
        return false;
    };
    let created = router
        .store
        .object(&StoreCall::create(ENTRY_KIND, &name, spec.clone()))
        .await;
    let written = match created {
        Err(StoreError::Fault(StoreAnswerError::Conflict)) => {
            match router.store.read(ENTRY_KIND, &name).await {
                Ok(old) => {
                    log_earlier_start(&old.value, &own);
                    let call = StoreCall::replace(ENTRY_KIND, &name, old.value.revision, spec);
                    router.store.object(&call).await
                }
                Err(e) => Err(e),
            }
        }
        other => other,
    };
    match written {
        Ok(object) => {
            let revision = object.value.revision;
            spdlog::info!("peers: registered", kv: { revision });
            true
        }
        Err(e) => {
            spdlog::warn!("peers: cannot register", kv: { why = e.to_string().as_str() });
            false
        }
    }
}

/// Logs that the store has the registration of an earlier process of this entry, and how long ago
/// that process started.
fn log_earlier_start(old: &Object, own: &MemberRecord) {
    // A malformed registration is logged when all are read.
    let Ok(earlier) = old.decode::<MemberRecord>() else {
        return;
    };
    if earlier.boot == own.boot {
        return;
    }
    let started_ms = |boot: BootId| {
        let (seconds, nanos) = boot.0.get_timestamp()?.to_unix();
        Some(seconds * 1_000 + u64::from(nanos) / 1_000_000)
    };
    let between = started_ms(own.boot).zip(started_ms(earlier.boot));
    let age_ms = between.map(|(own, earlier)| own.saturating_sub(earlier));
    spdlog::info!("peers: entry started again", kv: {
        earlier_boot = earlier.boot.to_string().as_str(),
        age_ms = age_ms.unwrap_or_default()
    });
}

/// Tells whether this entry's own registration is in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OwnRegistration {
    /// It is listed, or the list could not be read.
    NotMissing,
    /// It is not listed.
    Missing,
}

/// Reads the registrations of all entries and removes those of silent ones.
async fn sync_registrations(router: &Router, stale: bool) -> OwnRegistration {
    let page = match router.store.list(ENTRY_KIND, stale).await {
        Ok(page) => page.value,
        Err(e) => {
            spdlog::debug!("peers: cannot list entries", kv: { why = e.to_string().as_str() });
            return OwnRegistration::NotMissing;
        }
    };
    let own = router.settings.entry.as_str();
    router.permits.note_registered(page.objects.len());
    note_presence(router, &page.objects);
    let is_listed = page.objects.iter().any(|object| object.name == own);
    let now = Instant::now();
    let mut silent = Vec::new();
    {
        let mut members = router.members.lock();
        for object in page.objects {
            match object.decode::<MemberRecord>() {
                Ok(record) => {
                    let is_lost = members.state_of(&record.entry, now) == EntryState::Lost;
                    if is_lost && members.record_of(&record.entry).is_none() {
                        silent.push((object.name, object.revision));
                    }
                    members.merge(&[record], now);
                }
                Err(e) if router.other_lines.allows() => {
                    spdlog::warn!("peers: malformed registration", kv: {
                        entry = object.name.as_str(), why = e.to_string().as_str()
                    });
                }
                Err(_) => {}
            }
        }
    }
    if router.started_at.elapsed() > REMOVE_AFTER && placement::is_candidate(router, now) {
        remove_registrations(router, silent).await;
    }
    if is_listed {
        OwnRegistration::NotMissing
    } else {
        OwnRegistration::Missing
    }
}

/// Records the registered entries, and drops those that have gone and whose retries no longer
/// count.
fn note_presence(router: &Router, objects: &[Object]) {
    let ids = objects.iter().map(|object| object.name.as_str());
    let registered: Vec<EntryId> = ids.filter_map(|id| EntryId::try_from(id).ok()).collect();
    let pause = sync_pause(SYNC_PAUSES.len(), registered.len());
    let mut presence = router.presence.lock();
    presence.note_registered(&registered, pause * SYNCS_TO_SHOW, Instant::now());
}

async fn remove_registrations(router: &Router, silent: Vec<(String, u64)>) {
    for (name, revision) in silent {
        let removed = router
            .store
            .object(&StoreCall::delete(ENTRY_KIND, &name, revision))
            .await;
        let why = removed.err().map(|e| e.to_string()).unwrap_or_default();
        spdlog::info!("peers: removing the registration of a silent entry", kv: {
            entry = name.as_str(), why = why.as_str()
        });
    }
}
