//! Tests the cost of lists of endpoints at the size of the largest deployment.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pistachioyard_policy::{EndpointRecord, EndpointRegistry, EndpointReport, StorePosition};

/// The number of endpoints of the largest deployment; see `docs/CAPACITY.md`.
const ENDPOINTS: u64 = 10_000;
/// How long an entry may be silent; `stall_ms` in the settings.
const STALL_LIMIT: Duration = Duration::from_millis(2_500);
/// The share of a core of the smallest machines.
const CORE_SHARE: f64 = 0.25;

fn record(n: u64, revision: u64) -> EndpointRecord {
    let [.., high, low] = n.to_be_bytes();
    EndpointRecord {
        endpoint: format!("e-{n}").as_str().try_into().expect("it is valid"),
        service: "records".try_into().expect("it is valid"),
        address: SocketAddr::from(([10, 0, high, low], 80)),
        data_centre: "east".try_into().expect("it is valid"),
        is_leaving: false,
        slots: 16,
        state: EndpointReport {
            started_unix_ms: Some(1),
            slowdown: 1.0,
            ..EndpointReport::default()
        },
        changed_at: StorePosition {
            era: None,
            revision,
        },
    }
}

/// Guards against an entry that answers nobody while it compares each record of a list with all
/// others.
#[test]
fn a_list_of_all_endpoints_is_applied_and_deleted_within_the_limit_for_silence() {
    let began = Instant::now();
    let mut registry = EndpointRegistry::default();
    for revision in 1..=2 {
        for n in 0..ENDPOINTS {
            let record = record(n, revision);
            assert!(!registry.shows_older_copy(&record));
            let _ = registry.apply(record, began);
        }
    }
    for n in 0..ENDPOINTS {
        let deleted_at = StorePosition {
            era: None,
            revision: 3,
        };
        assert!(registry.remove(&record(n, 3).endpoint, Some(deleted_at), None, began));
    }
    assert_eq!(registry.count(), 0);
    let took = began.elapsed();
    assert!(took < STALL_LIMIT.mul_f64(CORE_SHARE), "{took:?}");
}
