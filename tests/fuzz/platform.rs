//! What the platform may answer.

use std::net::SocketAddr;

use pistachioyard_standins::{
    AddressPool, Binaries, FaultKind, FaultRule, HttpClient, HttpClientConfig, Launcher, wait_until,
};
use pistachioyard_wire::ForceStatus;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::support::{Bench, LONG, damage, seeded};

/// The answers of the hostile platform that an entry must have taken.
const ANSWERS: usize = 150;

const NO_RULES: &[FaultRule] = &[];

fn answer(rng: &mut ChaCha8Rng) -> Vec<u8> {
    let head = r#"{"version":18446744073709551615,"changed":[{"key":"config/head","version":7,"value":"{\"revision\":18446744073709551615,\"digest\":\"\",\"text\":\"\",\"applies\":[]}"}]}"#;
    let host = r#"[{"host":"h","endpoint":"e","address":"127.0.0.1:1","region":"r","data_centre":"d","kind":{"engine":{"accelerator":"a"}},"checks_fence":true,"state":"live"}]"#;
    let bodies = [head, host, "null", "[]", "{", "\u{0}"];
    let body = bodies[rng.random_range(0..bodies.len())];
    let body = match rng.random_bool(0.5) {
        true => damage(rng, body.as_bytes()),
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
        0 => damage(rng, &whole),
        _ => whole,
    }
}

async fn answer_badly(mut stream: TcpStream, answer: Vec<u8>) {
    let mut buf = [0; 4_096];
    let _ = stream.read(&mut buf).await;
    let _ = stream.write_all(&answer).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_outlives_a_platform_that_answers_nonsense() {
    let pool = AddressPool::new().expect("a free prefix");
    let launcher = Launcher::new().expect("a directory for logs");
    let platform = pool.next_address().expect("a free address");
    let caller = pool.next_address().expect("a free address");
    let listener = TcpListener::bind(platform).await.expect("it is free");
    let directory = tempfile::TempDir::new().expect("a directory");
    let settings = directory.path().join("entry.toml");
    let peer = SocketAddr::new(caller.ip(), caller.port() + 1);
    let text = format!(
        "entry = \"entry-0\"\ndata_centre = \"macon\"\ncaller_address = \"{caller}\"\n\
         peer_address = \"{peer}\"\nplatform = \"{platform}\"\n"
    );
    std::fs::write(&settings, text).expect("a file");
    let router = Binaries::find().expect("the programs are built").router;
    let args = ["entry".as_ref(), "--config".as_ref(), settings.as_os_str()];
    let mut entry = launcher.spawn("entry-0", &router, args).expect("it starts");
    let mut rng = seeded(5);
    for _ in 0..ANSWERS {
        let accepted = tokio::time::timeout(LONG, listener.accept()).await;
        let (stream, _) = accepted.expect("the entry calls on").expect("a call");
        tokio::spawn(answer_badly(stream, answer(&mut rng)));
    }
    let client = HttpClient::new(HttpClientConfig::default());
    let status: ForceStatus = client
        .get_json(caller, "/v1/status")
        .await
        .expect("a status");
    assert!(!status.ready, "{status:?}");
    assert!(entry.is_running().expect("its state"));
    assert!(!entry.log().contains("panicked"), "{}", entry.log());
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_that_are_cut_at_any_byte_do_no_harm() {
    let bench = Bench::start(true).await;
    for bytes in [1, 40, 200, 350, 500, 2_000] {
        let rule = FaultRule {
            from: None,
            to: Some(bench.cluster.listed_platform),
            kind: FaultKind::DropAfter { bytes },
        };
        let set = bench.cluster.set_proxy_faults(&[rule]).await;
        set.expect("the proxy takes rules");
        tokio::time::sleep(std::time::Duration::from_millis(700)).await;
    }
    let set = bench.cluster.set_proxy_faults(NO_RULES).await;
    set.expect("the proxy takes rules");
    let caller = bench.caller(0);
    wait_until(LONG, "the platform to be seen", || async {
        let status = bench.cluster.status(caller).await;
        status.is_ok_and(|status| status.platform_reachable)
    })
    .await
    .expect("the platform is seen again");
    bench.check(1).await;
}
