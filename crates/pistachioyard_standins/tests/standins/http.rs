//! Tests the HTTP client against hand-written answers.

use std::net::{IpAddr, SocketAddr};

use expect_test::expect;
use pistachioyard_standins::{
    AddressPool, HttpClient, HttpClientConfig, HttpClientError, SseReader,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Answers one request with the given pieces, each in its own packet, then closes.
async fn answer_once(
    pieces: &'static [&'static str],
) -> (SocketAddr, tokio::task::JoinHandle<IpAddr>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let peer = tokio::spawn(async move {
        let (mut stream, peer) = listener.accept().await.expect("a connection");
        stream.set_nodelay(true).expect("an open socket");
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.expect("a complete head"));
        }
        for piece in pieces {
            stream
                .write_all(piece.as_bytes())
                .await
                .expect("an open socket");
            tokio::task::yield_now().await;
        }
        stream.shutdown().await.expect("an open socket");
        // Closing with unread bytes would send a reset.
        stream.read_to_end(&mut head).await.ok();
        peer.ip()
    });
    (address, peer)
}

#[tokio::test]
async fn events_are_read_across_packets_and_a_truncated_one_is_dropped() {
    let (address, peer) = answer_once(&[
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n: comment\n\nevent: to",
        "ken\nid: 0\ndata: {\"event\":\"token\",\"index\":0,",
        "\"token\":7}\n",
        "\nevent: token\ndata: {\"event\":\"token\",\"index\":1,\"token\":8}\r\n\r\n",
        "event: token\ndata: {\"event\":\"token\",\"index\":2,\"token\":9}\n",
    ])
    .await;
    let source = IpAddr::from([127, 0, 0, 9]);
    let client = HttpClient::new(HttpClientConfig {
        local_address: Some(source),
        ..HttpClientConfig::default()
    });
    let lines = client.open_lines(::http::Method::POST, address, "/v1/generate", &[], "{}");
    let mut events = SseReader::new(lines.await.unwrap());
    let mut seen = Vec::new();
    while let Some(event) = events.next_event().await.unwrap() {
        seen.push(event);
    }
    expect![[r#"
        [
            Token {
                index: 0,
                token: 7,
            },
            Token {
                index: 1,
                token: 8,
            },
        ]
    "#]]
    .assert_debug_eq(&seen);
    assert_eq!(peer.await.unwrap(), source);
}

#[tokio::test]
async fn errors_tell_at_which_step_a_request_failed() {
    let client = HttpClient::new(HttpClientConfig::default());
    let get = async |address| client.get_json::<u32>(address, "/").await;

    // This address never had a listener. A listener that was just closed may stay open
    // briefly in a process that another test is starting.
    let pool = AddressPool::new().unwrap();
    let refused = get(pool.next_address().unwrap()).await;
    assert!(
        matches!(refused, Err(HttpClientError::Connect { .. })),
        "{refused:?}"
    );

    let (address, _peer) = answer_once(&[]).await;
    let silent = get(address).await;
    assert!(
        matches!(silent, Err(HttpClientError::NoAnswer { .. })),
        "{silent:?}"
    );

    let (address, _peer) = answer_once(&["HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n12"]).await;
    let broken = get(address).await;
    assert!(
        matches!(broken, Err(HttpClientError::BrokenBody { .. })),
        "{broken:?}"
    );

    let (address, _peer) = answer_once(&["HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx"]).await;
    let wrong = get(address).await;
    assert!(
        matches!(wrong, Err(HttpClientError::Decode { .. })),
        "{wrong:?}"
    );
}
