//! Records and copies of them that are older than what is known.

use std::time::{Duration, Instant};

use pistachioyard_policy::{
    EndpointChange, EndpointRecord, EndpointRegistry, StoreEra, StorePosition,
};

use crate::fixture::{id, range, record};

fn at(era: u64, revision: u64) -> StorePosition {
    StorePosition {
        era: Some(StoreEra(era)),
        revision,
    }
}

fn record_at(changed_at: StorePosition, is_leaving: bool) -> EndpointRecord {
    EndpointRecord {
        changed_at,
        is_leaving,
        ..record("one", 1, Some(range(0, 8)))
    }
}

/// A peer's older copy would make an endpoint usable again that this entry knows to be leaving.
#[test]
fn an_older_copy_does_not_bring_back_a_leaving_endpoint() {
    let now = Instant::now();
    let mut registry = EndpointRegistry::default();
    registry.apply(record_at(at(1, 10), false), now);
    assert_eq!(
        registry.apply(record_at(at(1, 12), true), now),
        EndpointChange::Leaves
    );
    assert_eq!(
        registry.apply(record_at(at(1, 10), false), now),
        EndpointChange::Outdated
    );
    assert!(!registry.is_usable(&id("one"), now));
}

/// The same holds for an endpoint whose record was deleted, until it registers again.
#[test]
fn an_older_copy_does_not_bring_back_an_endpoint_that_is_gone() {
    let now = Instant::now();
    let mut registry = EndpointRegistry::default();
    registry.apply(record_at(at(1, 10), false), now);
    registry.remove(&id("one"), Some(at(1, 12)), None, now);
    let later = now + Duration::from_secs(5);
    registry.apply(record_at(at(1, 10), false), later);
    assert!(!registry.is_usable(&id("one"), later));
    registry.apply(record_at(at(1, 13), false), later);
    assert!(registry.is_usable(&id("one"), later));
}

/// Addresses are used again, so an older copy would also remove the endpoint that has it now.
#[test]
fn an_older_copy_does_not_remove_the_next_endpoint_at_its_address() {
    let now = Instant::now();
    let mut registry = EndpointRegistry::default();
    registry.apply(record_at(at(1, 10), false), now);
    registry.remove(&id("one"), Some(at(1, 12)), None, now);
    let next = EndpointRecord {
        changed_at: at(1, 14),
        ..record("two", 1, Some(range(0, 8)))
    };
    registry.apply(next, now);
    registry.apply(record_at(at(1, 10), false), now);
    assert!(registry.is_usable(&id("two"), now));
}

/// Revisions are given out again in a later era.
#[test]
fn a_record_of_a_later_era_is_not_older() {
    let now = Instant::now();
    let mut registry = EndpointRegistry::default();
    registry.apply(record_at(at(1, 90), false), now);
    assert_eq!(
        registry.apply(record_at(at(2, 5), true), now),
        EndpointChange::Leaves
    );
}

/// Guards against taking a list for complete because a peer with other records has a current one.
#[test]
fn lists_have_the_same_digest_only_if_records_and_deletions_are_the_same() {
    let now = Instant::now();
    let mut own = EndpointRegistry::default();
    own.apply(record_at(at(1, 10), false), now);
    own.apply(record("two", 2, None), now);
    let mut peer = EndpointRegistry::default();
    peer.apply(record("two", 2, None), now);
    assert_ne!(own.digest(), peer.digest(), "a record is missing");
    peer.apply(record_at(at(1, 10), false), now);
    assert_eq!(own.digest(), peer.digest(), "the order makes no difference");
    let mut changed = peer.clone();
    changed.apply(record_at(at(1, 11), true), now);
    assert_ne!(own.digest(), changed.digest(), "a record is newer");
    let mut returned = peer.clone();
    returned.apply(record_at(at(2, 10), false), now);
    assert_ne!(own.digest(), returned.digest(), "a revision is reused");
    let mut deleted = peer.clone();
    let grace_until = now + Duration::from_secs(2);
    deleted.remove(&id("one"), None, Some(grace_until), now);
    assert_ne!(own.digest(), deleted.digest(), "a record was deleted");
}

/// Guards against an entry of another writer that names the address of an endpoint.
#[test]
fn an_entry_without_a_later_start_takes_no_address() {
    let now = Instant::now();
    let with_start = |name: &str, started: Option<u64>| {
        let mut record = record(name, 1, None);
        record.state.started_unix_ms = started;
        record
    };
    for (started, is_kept) in [(None, true), (Some(400), true), (Some(600), false)] {
        let mut registry = EndpointRegistry::default();
        registry.apply(with_start("sound", Some(500)), now);
        registry.apply(with_start("other", started), now);
        assert_eq!(registry.get(&id("sound")).is_some(), is_kept, "{started:?}");
    }
}

/// Guards against an entry of another writer that takes an endpoint away, though its service is not
/// named; and against the loss of endpoints that register before their service is named.
#[test]
fn a_record_of_a_service_that_is_not_named_is_set_aside_until_it_is() {
    let now = Instant::now();
    let of_service = |name: &str, port, service: &str, revision| EndpointRecord {
        service: service.try_into().expect("the name is valid"),
        changed_at: at(1, revision),
        ..record(name, port, None)
    };
    let other = || {
        let mut other = of_service("other", 1, "probe", 3);
        other.state.started_unix_ms = Some(u64::MAX);
        other
    };
    let names = |names: &[&str]| {
        let names = names.iter().map(|n| (*n).try_into());
        names.collect::<Result<_, _>>().expect("they are valid")
    };
    let mut registry = EndpointRegistry::without_services();
    registry.apply(of_service("one", 1, "model", 1), now);
    registry.apply(of_service("two", 2, "later", 2), now);
    assert_eq!(registry.apply(other(), now), EndpointChange::SetAside);
    assert_eq!(registry.count(), 0);
    assert_eq!(registry.name_services(names(&["model"]), now), 1);
    assert_eq!(registry.apply(other(), now), EndpointChange::Renewed);
    assert!(
        registry.is_usable(&id("one"), now),
        "its address is its own"
    );
    assert_eq!(registry.name_services(names(&["model", "later"]), now), 1);
    assert!(registry.is_usable(&id("two"), now), "its service is named");
    registry.remove(&id("other"), Some(at(1, 5)), None, now);
    assert_eq!(registry.apply(other(), now), EndpointChange::Outdated);
    assert_eq!(registry.stored_ids().count(), 2);
}

/// A store that has started again with less gives out lower revisions, whose records count.
#[test]
fn a_record_counts_after_the_revisions_have_begun_anew() {
    let now = Instant::now();
    let mut registry = EndpointRegistry::default();
    registry.apply(record_at(at(1, 500), false), now);
    registry.remove(&id("two"), Some(at(1, 700)), None, now);
    assert_eq!(registry.latest_position(), at(1, 700));
    registry.forget_positions();
    assert_eq!(
        registry.apply(record_at(at(1, 5), true), now),
        EndpointChange::Leaves
    );
    assert_eq!(registry.latest_position(), at(1, 5));
    let two = EndpointRecord {
        changed_at: at(1, 6),
        ..record("two", 2, Some(range(0, 8)))
    };
    assert_eq!(registry.apply(two, now), EndpointChange::Joined);
}
