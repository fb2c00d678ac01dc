//! Tests requests with the same key at several entries at the same time.

use futures_util::future::join_all;
use pistachioyard_standins::Deployment;
use pistachioyard_wire::Outcome;

use crate::support::{Fixture, new_key, outcome};

/// The number of keys that are sent concurrently.
const KEYS: usize = 60;

async fn race(deployment: Deployment, entries: usize) {
    let fixture = Fixture::start(deployment, entries).await;
    let keys: Vec<_> = (0..KEYS).map(|_| new_key()).collect();
    let senders: Vec<_> = (0..entries).map(|entry| fixture.sender(entry)).collect();
    let requests = keys.iter().map(|key| {
        let all = senders.iter().map(|send| async move {
            let mut result = send(*key, "{}".to_owned()).await;
            // On a busy machine the claim may time out; a key that was not run can be sent again.
            while outcome(&result) == Outcome::NotRun {
                result = send(*key, "{}".to_owned()).await;
            }
            result
        });
        join_all(all)
    });
    let results = join_all(requests).await;
    for (key, results) in keys.iter().zip(&results) {
        let effects = fixture.effects(*key).await;
        assert_eq!(effects, 1, "{key}: {results:?}");
        let done: Vec<_> = results
            .iter()
            .filter_map(|result| result.as_ref()?.as_ref().ok())
            .collect();
        assert!(!done.is_empty(), "{key}: {results:?}");
        let first = done.iter().filter(|outcome| !outcome.repeated).count();
        assert_eq!(first, 1, "{key}: {results:?}");
        fixture.wait_until_recorded(0, *key).await;
        let answer = &done[0].answer;
        for entry in 0..entries {
            let again = fixture.operate(entry, *key, "{}").await;
            let again = again
                .expect("the entry did not respond")
                .expect("the operation has no recorded outcome");
            assert!(again.repeated);
            assert_eq!(&again.answer, answer);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn two_entries_with_the_same_keys_give_one_effect_each() {
    race(Deployment::Obnova, 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn four_entries_with_the_same_keys_give_one_effect_each() {
    race(Deployment::CradleCount, 4).await;
}
