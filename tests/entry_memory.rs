//! Callers whose requests together are larger than the memory of the machine of `entry`.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use pistachioyard_standins::{AddressPool, Launcher, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The memory of the smallest machine that an entry is meant for, in bytes.
const MACHINE_BYTES: u64 = 260_000_000;
/// The size of a body of which the last byte is not sent; within the limit for bodies.
const BODY_BYTES: usize = 1_400_001;
/// The number of callers whose bodies are larger than the machine's memory together.
const CALLERS: usize = 300;
/// How long a caller waits for a refusal; a body that has room is not answered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the entry may take to start, and the bodies to arrive.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Sends a body but for its last byte, until it is sent or the request is answered.
async fn send_most_of_a_body(to: SocketAddr, body: &[u8]) -> (TcpStream, String) {
    let mut stream = TcpStream::connect(to).await.expect("the entry accepts");
    let head = format!(
        "POST /v1/generate HTTP/1.1\r\nHost: entry\r\nContent-Length: {}\r\n\r\n",
        body.len() + 1
    );
    let (mut reading, mut writing) = stream.split();
    let mut answer = [0; 4_096];
    let write = async {
        // A refused caller may stop sending.
        let _ = writing.write_all(head.as_bytes()).await;
        let _ = writing.write_all(body).await;
    };
    let read = tokio::time::timeout(ANSWER_TIMEOUT, reading.read(&mut answer));
    let (_, read) = tokio::join!(write, read);
    let len = read.map_or(0, Result::unwrap_or_default);
    (stream, String::from_utf8_lossy(&answer[..len]).into_owned())
}

/// Returns the most memory that a process has held, in bytes.
fn peak_memory_bytes(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"));
    let status = status.expect("the state of a child can be read");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak = peak.and_then(|peak| peak.trim().strip_suffix("kB"));
    let peak = peak.expect("the state has a peak in kB").trim();
    peak.parse::<u64>().expect("the peak is a number") * 1_024
}

/// Guards against bodies that together fill the memory, each within its limit.
#[tokio::test(flavor = "multi_thread")]
async fn many_large_bodies_at_once_do_not_fill_the_memory() {
    let pool = AddressPool::new().expect("addresses are free");
    let next = || pool.next_address().expect("an address is free");
    let (caller, peer, platform) = (next(), next(), next());
    let directory = tempfile::tempdir().expect("a directory can be created");
    let settings = directory.path().join("entry.toml");
    let text = format!(
        "entry = \"one\"\ndata_centre = \"here\"\ncaller_address = \"{caller}\"\n\
         peer_address = \"{peer}\"\nplatform = \"{platform}\"\n"
    );
    std::fs::write(&settings, text).expect("the settings can be written");
    let launcher = Launcher::new().expect("the launcher can be set up");
    let binary = std::path::Path::new(env!("CARGO_BIN_EXE_pistachioyard"));
    let settings = settings.to_str().expect("the path is UTF-8");
    let args = ["entry", "--config", settings];
    let entry = launcher
        .spawn("one", binary, args)
        .expect("the entry starts");
    wait_until(TIMEOUT, "the entry", || async {
        TcpStream::connect(caller).await.is_ok()
    })
    .await
    .expect("the entry accepts");
    let body = vec![b'x'; BODY_BYTES - 1];
    let sending = (0..CALLERS).map(|_| send_most_of_a_body(caller, &body));
    let callers = tokio::time::timeout(TIMEOUT, join_all(sending)).await;
    let callers = callers.expect("each body is taken or refused");
    let refused = callers.iter().filter(|(_, answer)| !answer.is_empty());
    let refused: Vec<&String> = refused.map(|(_, answer)| answer).collect();
    let peak = peak_memory_bytes(entry.id());
    println!("{} refused, {peak} bytes at most", refused.len());
    assert!(peak < MACHINE_BYTES, "{peak} bytes");
    assert!(!refused.is_empty(), "no body is refused");
    for answer in refused {
        assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
        assert!(answer.contains("\"no_memory\""), "{answer}");
    }
}
