//! Tests the fault proxy: rules on open and on new connections.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use pistachioyard_standins::{Child, FaultKind, FaultRule, Route};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;

use crate::support::{Harness, TIMEOUT};

/// The time within which a byte that the rules allow arrives.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Runs a proxy with one route to a listener of the test.
struct ProxyHarness {
    harness: Harness,
    control: SocketAddr,
    listen: SocketAddr,
    target: TcpListener,
    _proxy: Child,
}

impl ProxyHarness {
    async fn start() -> Self {
        let harness = Harness::new();
        let listen = harness.pool.next_address().expect("a free address");
        let target = harness.pool.next_address().expect("a free address");
        let target = TcpListener::bind(target).await.expect("a free address");
        let to = target.local_addr().expect("a bound address");
        let route = format!("--route={listen}={to}");
        let (proxy, control) = harness.start("proxy", &[&route]).await;
        Self {
            harness,
            control,
            listen,
            target,
            _proxy: proxy,
        }
    }

    async fn set_faults(&self, kinds: &[FaultKind]) {
        let rule = |kind: &FaultKind| FaultRule {
            from: None,
            to: Some(self.listen),
            kind: *kind,
        };
        self.set_rules(kinds.iter().map(rule).collect()).await;
    }

    async fn set_rules(&self, rules: Vec<FaultRule>) {
        self.harness
            .client
            .put_json::<_, ()>(self.control, "/control/faults", &rules)
            .await
            .expect("accepted rules");
    }

    /// Opens a connection through the proxy and sends a byte in each direction.
    async fn open(&self) -> io::Result<(TcpStream, TcpStream)> {
        self.open_from([127, 0, 0, 1].into()).await
    }

    async fn open_from(&self, source: IpAddr) -> io::Result<(TcpStream, TcpStream)> {
        let socket = TcpSocket::new_v4()?;
        socket.bind((source, 0).into())?;
        let mut client = socket.connect(self.listen).await?;
        client.write_all(b"?").await?;
        let (mut server, peer) = tokio::select! {
            accepted = self.target.accept() => accepted?,
            refused = client.readable() => {
                refused?;
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            () = tokio::time::sleep(TIMEOUT) => return Err(io::ErrorKind::TimedOut.into()),
        };
        assert_eq!(peer.ip(), source);
        assert_eq!(server.read_u8().await?, b'?');
        server.write_all(b"!").await?;
        assert_eq!(client.read_u8().await?, b'!');
        Ok((client, server))
    }
}

#[tokio::test]
async fn a_cut_ends_open_and_new_connections_until_it_is_removed() {
    let proxy = ProxyHarness::start().await;
    let (mut client, mut server) = proxy.open().await.unwrap();
    proxy.set_faults(&[FaultKind::Cut]).await;
    let ended = timeout(TIMEOUT, client.read_u8()).await.unwrap();
    assert!(ended.is_err());
    let ended = timeout(TIMEOUT, server.read_u8()).await.unwrap();
    assert!(ended.is_err());
    assert!(proxy.open().await.is_err());
    proxy.set_faults(&[]).await;
    proxy.open().await.unwrap();
}

#[tokio::test]
async fn a_rule_by_source_matches_that_source_only() {
    let proxy = ProxyHarness::start().await;
    let rule = FaultRule {
        from: Some("127.0.0.5".to_owned()),
        to: None,
        kind: FaultKind::Cut,
    };
    proxy.set_rules(vec![rule]).await;
    assert!(proxy.open_from([127, 0, 0, 5].into()).await.is_err());
    proxy.open_from([127, 0, 0, 50].into()).await.unwrap();
}

#[tokio::test]
async fn a_stall_holds_bytes_until_it_is_removed() {
    let proxy = ProxyHarness::start().await;
    let (mut client, mut server) = proxy.open().await.unwrap();
    proxy.set_faults(&[FaultKind::Stall]).await;
    client.write_all(b"a").await.unwrap();
    server.write_all(b"b").await.unwrap();
    assert!(timeout(SETTLE_TIME, server.read_u8()).await.is_err());
    assert!(timeout(SETTLE_TIME, client.read_u8()).await.is_err());
    proxy.set_faults(&[]).await;
    assert_eq!(server.read_u8().await.unwrap(), b'a');
    assert_eq!(client.read_u8().await.unwrap(), b'b');
}

#[tokio::test]
async fn a_connection_is_dropped_after_exactly_the_bytes_allowed() {
    let proxy = ProxyHarness::start().await;
    let (mut client, mut server) = proxy.open().await.unwrap();
    proxy.set_faults(&[FaultKind::DropAfter { bytes: 5 }]).await;
    server.write_all(b"12345678").await.unwrap();
    let mut seen = Vec::new();
    let ended = timeout(TIMEOUT, client.read_to_end(&mut seen))
        .await
        .unwrap();
    assert_eq!(seen, b"12345", "{ended:?}");
}

#[tokio::test]
async fn a_one_way_cut_spares_the_other_direction_and_forwards_nothing_after_a_gap() {
    let proxy = ProxyHarness::start().await;
    let (mut client, mut server) = proxy.open().await.unwrap();
    proxy.set_faults(&[FaultKind::CutToTarget]).await;
    client.write_all(b"lost").await.unwrap();
    server.write_all(b"b").await.unwrap();
    assert_eq!(client.read_u8().await.unwrap(), b'b');
    assert!(timeout(SETTLE_TIME, server.read_u8()).await.is_err());
    proxy.set_faults(&[]).await;
    client.write_all(b"after").await.unwrap();
    let ended = timeout(TIMEOUT, server.read_u8()).await.unwrap();
    assert!(
        ended.is_err(),
        "bytes after a gap were forwarded: {ended:?}"
    );

    let (mut client, mut server) = proxy.open().await.unwrap();
    proxy.set_faults(&[FaultKind::CutFromTarget]).await;
    client.write_all(b"a").await.unwrap();
    server.write_all(b"lost").await.unwrap();
    assert_eq!(server.read_u8().await.unwrap(), b'a');
    assert!(timeout(SETTLE_TIME, client.read_u8()).await.is_err());
}

#[tokio::test]
async fn a_delay_applies_to_each_direction() {
    let proxy = ProxyHarness::start().await;
    let (mut client, mut server) = proxy.open().await.unwrap();
    proxy.set_faults(&[FaultKind::Delay { ms: 100 }]).await;
    let sent = Instant::now();
    client.write_all(b"a").await.unwrap();
    assert_eq!(server.read_u8().await.unwrap(), b'a');
    server.write_all(b"b").await.unwrap();
    assert_eq!(client.read_u8().await.unwrap(), b'b');
    assert!(sent.elapsed() >= Duration::from_millis(200));
}

/// An endless answer begins with the target's next bytes and ends with the rule.
#[tokio::test]
async fn an_endless_answer_replaces_the_targets_bytes_until_it_is_removed() {
    for (kind, start) in [
        (FaultKind::EndlessHead, "HTTP/1.1 200 OK\r\nx-filler: xxx"),
        (
            FaultKind::EndlessBody,
            "HTTP/1.1 200 OK\r\nx-response-signature: stand-in\r\n\r\nxxx",
        ),
        (
            FaultKind::EndlessFailure,
            "HTTP/1.1 500 Internal Server Error\r\nx-response-signature: stand-in\r\n\r\nxxx",
        ),
    ] {
        let proxy = ProxyHarness::start().await;
        let (mut client, mut server) = proxy.open().await.unwrap();
        proxy.set_faults(&[kind]).await;
        client.write_all(b"a").await.unwrap();
        assert_eq!(server.read_u8().await.unwrap(), b'a');
        assert!(timeout(SETTLE_TIME, client.read_u8()).await.is_err());
        server.write_all(b"b").await.unwrap();
        let mut seen = vec![0; 1_000_000];
        client.read_exact(&mut seen).await.unwrap();
        assert!(seen.starts_with(start.as_bytes()));
        assert!(seen[start.len()..].iter().all(|byte| *byte == b'x'));
        proxy.set_faults(&[]).await;
        let ended = timeout(TIMEOUT, client.read_to_end(&mut seen)).await;
        ended.unwrap().expect_err("the connection is reset");
    }
}

/// The head of a silent failure is followed by nothing until the rule is removed.
#[tokio::test]
async fn a_silent_failure_has_a_head_and_no_body() {
    let proxy = ProxyHarness::start().await;
    let (mut client, mut server) = proxy.open().await.unwrap();
    proxy.set_faults(&[FaultKind::SilentFailure]).await;
    server.write_all(b"b").await.unwrap();
    let head = "HTTP/1.1 500 Internal Server Error\r\nx-response-signature: stand-in\r\n\r\n";
    let mut seen = vec![0; head.len()];
    client.read_exact(&mut seen).await.unwrap();
    assert_eq!(String::from_utf8_lossy(&seen), head);
    assert!(timeout(SETTLE_TIME, client.read_u8()).await.is_err());
    proxy.set_faults(&[]).await;
    let ended = timeout(TIMEOUT, client.read_u8()).await.unwrap();
    ended.expect_err("the connection is reset");
}

#[tokio::test]
async fn a_route_can_be_added() {
    let proxy = ProxyHarness::start().await;
    let listen = proxy.harness.pool.next_address().unwrap();
    let target = proxy.target.local_addr().unwrap();
    let route = Route { listen, target };
    let client = &proxy.harness.client;
    client
        .put_json::<_, ()>(proxy.control, "/control/routes", &[route])
        .await
        .unwrap();
    let routes: Vec<Route> = client
        .get_json(proxy.control, "/control/routes")
        .await
        .unwrap();
    assert!(routes.contains(&route));
    let mut client = TcpStream::connect(listen).await.unwrap();
    let (mut server, _) = timeout(TIMEOUT, proxy.target.accept())
        .await
        .unwrap()
        .unwrap();
    client.write_all(b"a").await.unwrap();
    assert_eq!(server.read_u8().await.unwrap(), b'a');
}

/// New connections from one source hang while those that are open, and those of others, go on.
#[tokio::test]
async fn new_connections_of_a_cut_source_hang() {
    let proxy = ProxyHarness::start().await;
    let cut: IpAddr = [127, 0, 0, 9].into();
    let (mut client, mut server) = proxy.open_from(cut).await.expect("no fault yet");
    let rule = FaultRule {
        from: Some(cut.to_string()),
        to: None,
        kind: FaultKind::CutNew,
    };
    proxy.set_rules(vec![rule]).await;
    let connecting = timeout(SETTLE_TIME, proxy.open_from(cut)).await;
    assert!(connecting.is_err(), "{connecting:?}");
    proxy.open().await.expect("other sources are not affected");
    client
        .write_all(b"!")
        .await
        .expect("the connection is open");
    assert_eq!(server.read_u8().await.expect("it lives on"), b'!');
    proxy.set_rules(Vec::new()).await;
    proxy.open_from(cut).await.expect("the rule was removed");
}
