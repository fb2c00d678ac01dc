//! Malformed answers from the platform.

use std::net::SocketAddr;

use pistachioyard_standins::{
    AddressPool, Binaries, FaultKind, FaultRule, HttpClient, HttpClientConfig, Launcher, wait_until,
};
use pistachioyard_wire::ForceStatus;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::support::{Harness, WAIT_TIMEOUT, mutate, seeded_rng};

/// The number of malformed answers that the entry must have received.
const ANSWERS: usize = 150;

const NO_FAULT_RULES: &[FaultRule] = &[];

fn random_answer(rng: &mut ChaCha8Rng) -> Vec<u8> {
    let head = r#"{"version":18446744073709551615,"changed":[{"key":"config/head","version":7,"value":"{\"revision\":18446744073709551615,\"digest\":\"\",\"text\":\"\",\"applies\":[]}"}]}"#;
    let host = r#"[{"host":"h","endpoint":"e","address":"127.0.0.1:1","region":"r","data_centre":"d","kind":{"engine":{"accelerator":"a"}},"checks_fence":true,"state":"live"}]"#;
    let bodies = [head, host, "null", "[]", "{", "\u{0}"];
    let body = bodies[rng.random_range(0..bodies.len())];
    let body = match rng.random_bool(0.5) {
        true => mutate(rng, body.as_bytes()),
        false => body.as_bytes().to_vec(),
    };
    let status = [200, 200, 200, 404, 409, 500, 999][rng.random_range(0..7)];
    let len = match rng.random_range(0..4) {
        0 => body.len() + 10,
        _ => body.len(),
    };
    let head = format!("HTTP/1.1 {status} x\r\ncontent-length: {len}\r\n\r\n");
    let whole = [head.as_bytes(), &body].concat();
    match rng.random_range(0..4) {
        0 => mutate(rng, &whole),
        _ => whole,
    }
}

async fn write_answer(mut stream: TcpStream, answer: Vec<u8>) {
    let mut buf = [0; 4_096];
    let _ = stream.read(&mut buf).await;
    let _ = stream.write_all(&answer).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_survives_malformed_platform_answers() {
    let pool = AddressPool::new().expect("no free address prefix");
    let launcher = Launcher::new().expect("failed to create the log directory");
    let platform = pool.next_address().expect("no free address");
    let caller = pool.next_address().expect("no free address");
    let listener = TcpListener::bind(platform)
        .await
        .expect("the address is in use");
    let dir = tempfile::TempDir::new().expect("failed to create a directory");
    let settings = dir.path().join("entry.toml");
    let peer = SocketAddr::new(caller.ip(), caller.port() + 1);
    let text = format!(
        "entry = \"entry-0\"\ndata_centre = \"macon\"\ncaller_address = \"{caller}\"\n\
         peer_address = \"{peer}\"\nplatform = \"{platform}\"\n"
    );
    std::fs::write(&settings, text).expect("failed to write the settings");
    let router = Binaries::find().expect("the binaries are not built").router;
    let args = ["entry".as_ref(), "--config".as_ref(), settings.as_os_str()];
    let mut entry = launcher
        .spawn("entry-0", &router, args)
        .expect("failed to start the entry");
    let mut rng = seeded_rng(5);
    for _ in 0..ANSWERS {
        let accepted = tokio::time::timeout(WAIT_TIMEOUT, listener.accept()).await;
        let (stream, _) = accepted
            .expect("the entry stopped calling the platform")
            .expect("failed to accept a connection");
        tokio::spawn(write_answer(stream, random_answer(&mut rng)));
    }
    let client = HttpClient::new(HttpClientConfig::default());
    let status: ForceStatus = client
        .get_json(caller, "/v1/status")
        .await
        .expect("failed to read the status");
    assert!(!status.ready, "{status:?}");
    assert!(
        entry
            .is_running()
            .expect("failed to read the process state")
    );
    assert!(!entry.log().contains("panicked"), "{}", entry.log());
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_platform_answers_do_no_harm() {
    let harness = Harness::start(true).await;
    for bytes in [1, 40, 200, 350, 500, 2_000] {
        let rule = FaultRule {
            from: None,
            to: Some(harness.cluster.listed_platform),
            kind: FaultKind::DropAfter { bytes },
        };
        let set = harness.cluster.set_proxy_faults(&[rule]).await;
        set.expect("the proxy rejected the fault rules");
        tokio::time::sleep(std::time::Duration::from_millis(700)).await;
    }
    let set = harness.cluster.set_proxy_faults(NO_FAULT_RULES).await;
    set.expect("the proxy rejected the fault rules");
    let caller = harness.caller_address(0);
    wait_until(WAIT_TIMEOUT, "the platform to be reachable", || async {
        let status = harness.cluster.status(caller).await;
        status.is_ok_and(|status| status.platform_reachable)
    })
    .await
    .expect("the platform stayed unreachable");
    harness.check_unharmed(1).await;
}
