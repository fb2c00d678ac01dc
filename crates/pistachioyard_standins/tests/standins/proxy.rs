//! The fault proxy: rules on open and on new connections.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use pistachioyard_standins::{Child, FaultKind, FaultRule, Route};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;

use crate::support::{Bench, LONG};

/// Long enough that a byte which may pass has passed.
const SHORT: Duration = Duration::from_millis(500);

/// A proxy with one route to a listener of the test's own.
struct Proxied {
    bench: Bench,
    control: SocketAddr,
    listen: SocketAddr,
    target: TcpListener,
    _proxy: Child,
}

impl Proxied {
    async fn start() -> Self {
        let bench = Bench::new();
        let listen = bench.pool.next_address().expect("a free address");
        let target = bench.pool.next_address().expect("a free address");
        let target = TcpListener::bind(target).await.expect("a free address");
        let to = target.local_addr().expect("a bound address");
        let route = format!("--route={listen}={to}");
        let (proxy, control) = bench.start("proxy", &[&route]).await;
        Self {
            bench,
            control,
            listen,
            target,
            _proxy: proxy,
        }
    }

    async fn set(&self, kinds: &[FaultKind]) {
        let rule = |kind: &FaultKind| FaultRule {
            from: None,
            to: Some(self.listen),
            kind: *kind,
        };
        self.set_rules(kinds.iter().map(rule).collect()).await;
    }

    async fn set_rules(&self, rules: Vec<FaultRule>) {
        self.bench
            .client
            .put_json::<_, ()>(self.control, "/control/faults", &rules)
            .await
            .expect("accepted rules");
    }

    /// Opens a connection and sends a byte each way.
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
            () = tokio::time::sleep(LONG) => return Err(io::ErrorKind::TimedOut.into()),
        };
        assert_eq!(peer.ip(), source);
        assert_eq!(server.read_u8().await?, b'?');
        server.write_all(b"!").await?;
        assert_eq!(client.read_u8().await?, b'!');
        Ok((client, server))
    }
}

#[tokio::test]
async fn a_cut_ends_open_connections_and_refuses_new_ones_until_lifted() {
    let proxied = Proxied::start().await;
    let (mut client, mut server) = proxied.open().await.unwrap();
    proxied.set(&[FaultKind::Cut]).await;
    let ended = timeout(LONG, client.read_u8()).await.unwrap();
    assert!(ended.is_err());
    let ended = timeout(LONG, server.read_u8()).await.unwrap();
    assert!(ended.is_err());
    assert!(proxied.open().await.is_err());
    proxied.set(&[]).await;
    proxied.open().await.unwrap();
}

#[tokio::test]
async fn a_rule_by_source_is_for_that_source_only() {
    let proxied = Proxied::start().await;
    let rule = FaultRule {
        from: Some("127.0.0.5".to_owned()),
        to: None,
        kind: FaultKind::Cut,
    };
    proxied.set_rules(vec![rule]).await;
    assert!(proxied.open_from([127, 0, 0, 5].into()).await.is_err());
    proxied.open_from([127, 0, 0, 50].into()).await.unwrap();
}

#[tokio::test]
async fn a_stall_holds_bytes_until_it_is_lifted() {
    let proxied = Proxied::start().await;
    let (mut client, mut server) = proxied.open().await.unwrap();
    proxied.set(&[FaultKind::Stall]).await;
    client.write_all(b"a").await.unwrap();
    server.write_all(b"b").await.unwrap();
    assert!(timeout(SHORT, server.read_u8()).await.is_err());
    assert!(timeout(SHORT, client.read_u8()).await.is_err());
    proxied.set(&[]).await;
    assert_eq!(server.read_u8().await.unwrap(), b'a');
    assert_eq!(client.read_u8().await.unwrap(), b'b');
}

#[tokio::test]
async fn a_connection_is_dropped_after_exactly_the_bytes_allowed() {
    let proxied = Proxied::start().await;
    let (mut client, mut server) = proxied.open().await.unwrap();
    proxied.set(&[FaultKind::DropAfter { bytes: 5 }]).await;
    server.write_all(b"12345678").await.unwrap();
    let mut seen = Vec::new();
    let ended = timeout(LONG, client.read_to_end(&mut seen)).await.unwrap();
    assert_eq!(seen, b"12345", "{ended:?}");
}

#[tokio::test]
async fn a_one_way_cut_lets_the_other_way_pass_and_never_shows_a_gap() {
    let proxied = Proxied::start().await;
    let (mut client, mut server) = proxied.open().await.unwrap();
    proxied.set(&[FaultKind::CutToTarget]).await;
    client.write_all(b"lost").await.unwrap();
    server.write_all(b"b").await.unwrap();
    assert_eq!(client.read_u8().await.unwrap(), b'b');
    assert!(timeout(SHORT, server.read_u8()).await.is_err());
    proxied.set(&[]).await;
    client.write_all(b"after").await.unwrap();
    let ended = timeout(LONG, server.read_u8()).await.unwrap();
    assert!(ended.is_err(), "bytes after a gap came through: {ended:?}");

    let (mut client, mut server) = proxied.open().await.unwrap();
    proxied.set(&[FaultKind::CutFromTarget]).await;
    client.write_all(b"a").await.unwrap();
    server.write_all(b"lost").await.unwrap();
    assert_eq!(server.read_u8().await.unwrap(), b'a');
    assert!(timeout(SHORT, client.read_u8()).await.is_err());
}

#[tokio::test]
async fn a_delay_holds_each_way_back() {
    let proxied = Proxied::start().await;
    let (mut client, mut server) = proxied.open().await.unwrap();
    proxied.set(&[FaultKind::Delay { ms: 100 }]).await;
    let sent = Instant::now();
    client.write_all(b"a").await.unwrap();
    assert_eq!(server.read_u8().await.unwrap(), b'a');
    server.write_all(b"b").await.unwrap();
    assert_eq!(client.read_u8().await.unwrap(), b'b');
    assert!(sent.elapsed() >= Duration::from_millis(200));
}

#[tokio::test]
async fn a_route_can_be_added() {
    let proxied = Proxied::start().await;
    let listen = proxied.bench.pool.next_address().unwrap();
    let target = proxied.target.local_addr().unwrap();
    let route = Route { listen, target };
    let client = &proxied.bench.client;
    client
        .put_json::<_, ()>(proxied.control, "/control/routes", &[route])
        .await
        .unwrap();
    let routes: Vec<Route> = client
        .get_json(proxied.control, "/control/routes")
        .await
        .unwrap();
    assert!(routes.contains(&route));
    let mut client = TcpStream::connect(listen).await.unwrap();
    let (mut server, _) = timeout(LONG, proxied.target.accept())
        .await
        .unwrap()
        .unwrap();
    client.write_all(b"a").await.unwrap();
    assert_eq!(server.read_u8().await.unwrap(), b'a');
}
