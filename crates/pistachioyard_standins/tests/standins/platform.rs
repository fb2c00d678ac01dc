//! Tests the platform stand-in: races, watches and faults.

use std::net::SocketAddr;

use expect_test::expect;
use pistachioyard_standins::{CallCounts, HttpClient, HttpClientError, PlatformFaults, wait_until};
use pistachioyard_wire::{
    HostRecord, ObjectKey, ObjectRecord, ObjectWrite, WatchPage, WriteAnswer, WriteCondition,
};

use crate::support::{Harness, TIMEOUT};

const KEY_PATH: &str = "/objects/config%2Fhead";

async fn write(
    client: &HttpClient,
    platform: SocketAddr,
    condition: WriteCondition,
    value: &str,
) -> Result<WriteAnswer, HttpClientError> {
    let write = ObjectWrite {
        condition,
        value: Some(value.to_owned()),
    };
    client.put_json(platform, KEY_PATH, &write).await
}

async fn set_faults(client: &HttpClient, platform: SocketAddr, faults: PlatformFaults) {
    client
        .put_json::<_, ()>(platform, "/control/faults", &faults)
        .await
        .expect("accepted faults");
}

#[tokio::test]
async fn one_of_many_racing_conditional_writes_takes_effect() {
    let harness = Harness::new();
    let (_child, platform) = harness.start("platform", &[]).await;
    for condition in [WriteCondition::Absent, WriteCondition::Version(1)] {
        let racers = (0..16).map(|n| {
            let client = harness.client.clone();
            tokio::spawn(async move { write(&client, platform, condition, &n.to_string()).await })
        });
        let mut winners = Vec::new();
        for racer in racers.collect::<Vec<_>>() {
            match racer.await.unwrap().unwrap() {
                WriteAnswer::Written(version) => winners.push(version),
                WriteAnswer::Conflict(now) => assert!(now.is_some()),
            }
        }
        assert_eq!(winners.len(), 1, "{condition:?}");
        let object: ObjectRecord = harness.client.get_json(platform, KEY_PATH).await.unwrap();
        assert_eq!(object.version, winners[0]);
        assert_eq!(object.key, ObjectKey("config/head".into()));
    }
    let counts: CallCounts = harness
        .client
        .get_json(platform, "/control/counts")
        .await
        .unwrap();
    expect![[r#"
        CallCounts {
            reads: 2,
            writes: 32,
            writes_under: {
                "config": 32,
            },
            lists: 0,
            watches: 0,
            hosts: 0,
            refused: 0,
            conflicts: 30,
        }
    "#]]
    .assert_debug_eq(&counts);
}

#[tokio::test]
async fn absent_objects_and_large_values_are_refused() {
    let harness = Harness::new();
    let (_child, platform) = harness.start("platform", &[]).await;
    let absent = harness.client.get_json::<ObjectRecord>(platform, KEY_PATH);
    let absent = absent.await.unwrap_err();
    assert!(matches!(absent, HttpClientError::Status { status, .. } if status == 404));

    // Quotes, which double in size when escaped, test the limit of the request body.
    let largest = "\"".repeat(1_000_000);
    let any = WriteCondition::Any;
    write(&harness.client, platform, any, &largest)
        .await
        .unwrap();
    let larger = write(&harness.client, platform, any, &(largest + "x")).await;
    let refused = larger.unwrap_err();
    assert!(matches!(refused, HttpClientError::Status { status, .. } if status == 413));
}

#[tokio::test]
async fn a_watch_wakes_on_a_change_under_its_prefix_only() {
    let harness = Harness::new();
    let (_child, platform) = harness.start("platform", &[]).await;
    let watch = |prefix: &str, wait_ms: u64| {
        let path = format!("/watch?prefix={prefix}&after=0&wait_ms={wait_ms}");
        let client = harness.client.clone();
        tokio::spawn(async move { client.get_json::<WatchPage>(platform, &path).await })
    };
    let woken = watch("config/", 60_000);
    let other = watch("lease/", 60_000);
    let (client, unchanged) = (&harness.client, watch("lease/", 1));
    wait_until(TIMEOUT, "waiting watches", async || {
        let counts: CallCounts = client.get_json(platform, "/control/counts").await.unwrap();
        counts.watches == 3
    })
    .await
    .unwrap();
    let any = WriteCondition::Any;
    write(client, platform, any, "one").await.unwrap();
    let page = woken.await.unwrap().unwrap();
    assert_eq!(page.version, 1);
    assert_eq!(page.changed[0].value, "one");
    assert!(unchanged.await.unwrap().unwrap().changed.is_empty());

    // A watch returns a change from before its start at once.
    assert_eq!(watch("config/", 60_000).await.unwrap().unwrap(), page);

    // An outage ends a waiting watch.
    assert!(!other.is_finished());
    let down = PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    };
    set_faults(client, platform, down).await;
    let ended = other.await.unwrap().unwrap_err();
    assert!(matches!(ended, HttpClientError::Status { status, .. } if status == 503));
}

#[tokio::test]
async fn a_write_whose_answer_is_lost_has_taken_effect() {
    let harness = Harness::new();
    let (_child, platform) = harness.start("platform", &[]).await;
    let lose_one = PlatformFaults {
        lose_answers: 1,
        ..PlatformFaults::default()
    };
    set_faults(&harness.client, platform, lose_one).await;
    let absent = WriteCondition::Absent;
    let lost = write(&harness.client, platform, absent, "mine").await;
    assert!(
        matches!(lost, Err(HttpClientError::NoAnswer { .. })),
        "{lost:?}"
    );
    let again = write(&harness.client, platform, absent, "mine").await;
    let Ok(WriteAnswer::Conflict(Some(object))) = again else {
        panic!("the lost write did not take effect: {again:?}");
    };
    assert_eq!(object.value, "mine");
}

#[tokio::test]
async fn a_delayed_write_takes_effect_after_its_writer_gave_up() {
    let harness = Harness::new();
    let (_child, platform) = harness.start("platform", &[]).await;
    let delay = PlatformFaults {
        delay_writes_ms: 2_000,
        ..PlatformFaults::default()
    };
    set_faults(&harness.client, platform, delay).await;
    let client = harness.client.clone();
    let late =
        tokio::spawn(async move { write(&client, platform, WriteCondition::Absent, "late").await });
    wait_until(TIMEOUT, "the write at the platform", async || {
        let counts = harness.client.get_json(platform, "/control/counts");
        let counts: CallCounts = counts.await.unwrap();
        counts.writes == 1
    })
    .await
    .unwrap();
    late.abort();
    let early = harness.client.get_json::<ObjectRecord>(platform, KEY_PATH);
    assert!(early.await.is_err());
    wait_until(TIMEOUT, "the late write", async || {
        let object = harness.client.get_json::<ObjectRecord>(platform, KEY_PATH);
        object.await.is_ok()
    })
    .await
    .unwrap();
}

#[tokio::test]
async fn the_host_list_is_delayed_by_the_lag() {
    let harness = Harness::new();
    let (_child, platform) = harness.start("platform", &[]).await;
    let client = &harness.client;
    let record: HostRecord = serde_json::from_value(serde_json::json!({
        "host": "host-1",
        "endpoint": "engine-1",
        "address": "127.0.0.1:7400",
        "region": "hr-jadran",
        "data_centre": "split-a",
        "kind": {"engine": {"accelerator": "a"}},
        "checks_fence": true,
        "state": "live",
    }))
    .unwrap();
    let lag = |host_lag_ms| PlatformFaults {
        host_lag_ms,
        ..PlatformFaults::default()
    };
    let hosts = async || -> Vec<HostRecord> { client.get_json(platform, "/hosts").await.unwrap() };
    let put = async |hosts: &[HostRecord]| {
        let accepted = client.put_json::<_, ()>(platform, "/control/hosts", hosts);
        accepted.await.unwrap();
    };
    put(std::slice::from_ref(&record)).await;
    set_faults(client, platform, lag(3_600_000)).await;
    assert!(hosts().await.is_empty());
    set_faults(client, platform, lag(500)).await;
    wait_until(TIMEOUT, "the host in the list", async || {
        !hosts().await.is_empty()
    })
    .await
    .unwrap();
    put(&[]).await;
    set_faults(client, platform, lag(0)).await;
    assert!(hosts().await.is_empty());
}
