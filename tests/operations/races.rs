//! The same key at several entries at the same time.

use futures_util::future::join_all;
use pistachioyard_standins::Deployment;
use pistachioyard_wire::Outcome;

use crate::support::{Bench, new_key, outcome};

const KEYS: usize = 60;

async fn race(deployment: Deployment, entries: usize) {
    let bench = Bench::start(deployment, entries).await;
    let keys: Vec<_> = (0..KEYS).map(|_| new_key()).collect();
    let senders: Vec<_> = (0..entries).map(|entry| bench.sender(entry)).collect();
    let asked = keys.iter().map(|key| {
        let all = senders.iter().map(|send| async move {
            let mut told = send(*key, "{}".to_owned()).await;
            // A busy machine may not write a claim in time; the key is used again.
            while outcome(&told) == Outcome::NotRun {
                told = send(*key, "{}".to_owned()).await;
            }
            told
        });
        join_all(all)
    });
    let told = join_all(asked).await;
    for (key, told) in keys.iter().zip(&told) {
        let effects = bench.effects(*key).await;
        assert_eq!(effects, 1, "{key}: {told:?}");
        let done: Vec<_> = told
            .iter()
            .filter_map(|told| told.as_ref()?.as_ref().ok())
            .collect();
        assert!(!done.is_empty(), "{key}: {told:?}");
        let first = done.iter().filter(|done| !done.repeated).count();
        assert_eq!(first, 1, "{key}: {told:?}");
        bench.wait_until_recorded(0, *key).await;
        let answer = &done[0].answer;
        for entry in 0..entries {
            let again = bench.operate(entry, *key, "{}").await;
            let again = again.expect("an answer").expect("the first outcome");
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
