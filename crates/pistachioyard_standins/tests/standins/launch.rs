//! Tests the launcher and its children.

use std::time::Duration;

use nix::sys::signal::Signal;
use pistachioyard_standins::LaunchError;

use crate::support::{Harness, TIMEOUT};

#[tokio::test]
async fn a_frozen_process_does_not_answer_until_it_is_thawed() {
    let harness = Harness::new();
    let (mut child, address) = harness.start("platform", &[]).await;
    child.freeze().unwrap();
    let call = harness
        .client
        .get_json::<serde_json::Value>(address, "/control/counts");
    let mut call = std::pin::pin!(call);
    let early = tokio::time::timeout(Duration::from_millis(200), &mut call).await;
    assert!(early.is_err(), "a frozen process answered: {early:?}");
    child.thaw().unwrap();
    call.await.unwrap();
}

#[tokio::test]
async fn a_child_ends_on_a_signal_and_when_its_handle_is_dropped() {
    let harness = Harness::new();
    let (mut child, _) = harness.start("platform", &[]).await;
    let early = child.wait(Duration::ZERO).await;
    assert!(matches!(early, Err(LaunchError::Timeout { .. })));
    child.terminate().unwrap();
    child.wait(TIMEOUT).await.unwrap();
    assert!(!child.is_running().unwrap());

    let (mut child, address) = harness.start("platform", &[]).await;
    child.freeze().unwrap();
    drop(child);
    let refused = tokio::net::TcpStream::connect(address).await;
    assert!(refused.is_err());
}

#[tokio::test]
async fn only_an_end_that_was_not_requested_is_an_own_end() {
    let harness = Harness::new();
    for (signals, is_own_end) in [
        ([Signal::SIGTERM].as_slice(), false),
        (&[Signal::SIGKILL], false),
        (&[Signal::SIGUSR1], true),
        (&[Signal::SIGSTOP, Signal::SIGTERM, Signal::SIGKILL], false),
    ] {
        let (mut child, _) = harness.start("platform", &[]).await;
        for signal in signals {
            child.send(*signal).unwrap();
        }
        child.wait(TIMEOUT).await.unwrap();
        child.kill().unwrap();
        let status = child.own_end().unwrap();
        assert_eq!(status.is_some(), is_own_end, "{signals:?}: {status:?}");
    }
}

#[tokio::test]
async fn a_stand_in_ends_when_its_standard_input_closes() {
    let mut process = std::process::Command::new(crate::support::program())
        .args(["--exit-with-stdin", "platform", "--listen", "127.0.0.1:0"])
        .stdin(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    assert!(process.try_wait().unwrap().is_none());
    drop(process.stdin.take());
    let status = tokio::task::spawn_blocking(move || process.wait()).await;
    assert!(status.unwrap().unwrap().success());
}
