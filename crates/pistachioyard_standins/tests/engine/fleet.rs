//! Engine processes for tests, and a client that calls them.

use std::io::{BufRead, BufReader};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use pistachioyard_wire::{
    Attempt, EndpointId, FrameBody, LayerRange, Priority, StageRef, StreamFrame, StreamId,
    StreamRequest,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The time limit of each wait, after which the test fails.
pub(crate) const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Runs one engine process, which is killed when this is dropped.
pub(crate) struct EngineProcess {
    pub(crate) endpoint: EndpointId,
    pub(crate) address: SocketAddr,
    pub(crate) layers: LayerRange,
    child: Child,
}

impl EngineProcess {
    /// Starts an engine that holds layers of version `v1` of the model `drafter`.
    pub(crate) fn start(layers: &str, extra: &[&str]) -> Self {
        let [a, b, c] = rand::random::<[u8; 3]>();
        let ip = IpAddr::from(Ipv4Addr::new(127, a.max(1), b, c.clamp(1, 254)));
        let endpoint = format!("engine-{}-{a}-{b}-{c}", layers.replace("..", "-"));
        let mut child = Command::new(env!("CARGO_BIN_EXE_pistachioyard_standins"))
            .args(["engine", "--listen", &SocketAddr::new(ip, 0).to_string()])
            .args(["--endpoint", &endpoint, "--host", "host-1"])
            .args(["--data-centre", "split-a", "--model", "drafter"])
            .args(["--version", "v1", "--layers", layers, "--exit-with-stdin"])
            .args(extra)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let stdout = child.stdout.take().unwrap();
        BufReader::new(stdout).read_line(&mut line).unwrap();
        let address = line.trim().strip_prefix("listening ").unwrap();
        let (first, end) = layers.split_once("..").unwrap();
        Self {
            endpoint: endpoint.parse().unwrap(),
            address: address.parse().unwrap(),
            layers: LayerRange::new(first.parse().unwrap(), end.parse().unwrap()).unwrap(),
            child,
        }
    }

    /// Kills the process and waits for it to end.
    pub(crate) fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Waits for the process to exit on its own and returns its exit code.
    pub(crate) fn exit_code(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }
}

impl Drop for EngineProcess {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the chain through `engines`, in this order.
pub(crate) fn chain_of(engines: &[EngineProcess]) -> Arc<[StageRef]> {
    let stages = engines.iter().map(|engine| StageRef {
        endpoint: engine.endpoint.clone(),
        address: engine.address,
        layers: engine.layers,
    });
    stages.collect()
}

/// Creates the request of the first attempt of a new stream.
pub(crate) fn request(engines: &[EngineProcess], prompt: &str, max_tokens: u32) -> StreamRequest {
    StreamRequest {
        stream: StreamId::generate(),
        attempt: Attempt(1),
        model: "drafter".parse().unwrap(),
        version: "v1".parse().unwrap(),
        adapter: None,
        chain: chain_of(engines),
        prompt: prompt.into(),
        tokens: Vec::new(),
        max_tokens,
        priority: Priority::Normal,
    }
}

/// Sends HTTP requests to engines.
pub(crate) struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for Caller {
    fn default() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }
}

impl Caller {
    async fn send(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> http::Response<Incoming> {
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("content-type", "application/json")
            .body(Full::from(serde_json::to_vec(body).unwrap()))
            .unwrap();
        let answer = tokio::time::timeout(WAIT_LIMIT, self.client.request(req)).await;
        answer.unwrap().unwrap()
    }

    /// Sends a request and returns the status and body of the response.
    pub(crate) async fn call(
        &self,
        engine: &EngineProcess,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> (StatusCode, Bytes) {
        let answer = self.send(engine.address, method, path, body).await;
        let status = answer.status();
        let body = answer.into_body().collect().await.unwrap();
        (status, body.to_bytes())
    }

    /// Reads a resource, which must exist.
    pub(crate) async fn get<T: DeserializeOwned>(&self, engine: &EngineProcess, path: &str) -> T {
        let (status, body) = self.call(engine, Method::GET, path, &()).await;
        assert_eq!(status, StatusCode::OK, "{path}: {body:?}");
        serde_json::from_slice(&body).unwrap()
    }

    /// Starts an attempt; returns the HTTP status if it is refused.
    pub(crate) async fn start(&self, req: &StreamRequest) -> Result<Answer, StatusCode> {
        let address = req.chain[0].address;
        let answer = self.send(address, Method::POST, "/v1/streams", req).await;
        if answer.status() != StatusCode::OK {
            return Err(answer.status());
        }
        Ok(Answer {
            req: req.clone(),
            body: answer.into_body(),
            buf: Vec::new(),
        })
    }
}

/// Reads the answer to one attempt, line by line.
pub(crate) struct Answer {
    req: StreamRequest,
    body: Incoming,
    buf: Vec<u8>,
}

impl Answer {
    /// Returns the body of the next frame, or `None` after the last one.
    pub(crate) async fn next(&mut self) -> Option<FrameBody> {
        loop {
            if let Some(end) = self.buf.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buf.drain(..=end).collect();
                let frame: StreamFrame = serde_json::from_slice(&line).unwrap();
                assert_eq!(frame.stream, self.req.stream);
                assert_eq!(frame.attempt, self.req.attempt);
                return Some(frame.body);
            }
            let chunk = tokio::time::timeout(WAIT_LIMIT, self.body.frame()).await;
            let chunk = chunk.unwrap()?.unwrap();
            self.buf.extend_from_slice(chunk.data_ref().unwrap());
        }
    }

    /// Returns the next `count` tokens, which must be the next frames.
    pub(crate) async fn tokens(&mut self, count: usize) -> Vec<u64> {
        let mut tokens = Vec::with_capacity(count);
        while tokens.len() < count {
            match self.next().await {
                Some(FrameBody::Token { token, .. }) => tokens.push(token),
                other => panic!(
                    "expected a token frame, got {other:?} after {} tokens",
                    tokens.len()
                ),
            }
        }
        tokens
    }

    /// Returns the stream of the answer.
    pub(crate) fn stream(&self) -> StreamId {
        self.req.stream
    }

    /// Returns the first `count` tokens, which must follow a `Started` frame.
    pub(crate) async fn tokens_after_start(&mut self, count: usize) -> Vec<u64> {
        assert_eq!(self.next().await, Some(FrameBody::Started));
        self.tokens(count).await
    }

    /// Returns whether the answer ends with an error before its next frame.
    pub(crate) async fn ends_with_error(&mut self) -> bool {
        let chunk = tokio::time::timeout(WAIT_LIMIT, self.body.frame()).await;
        self.buf.is_empty() && matches!(chunk.unwrap(), Some(Err(_)))
    }

    /// Returns all remaining frames.
    pub(crate) async fn rest(&mut self) -> Vec<FrameBody> {
        let mut frames = Vec::new();
        while let Some(frame) = self.next().await {
            frames.push(frame);
        }
        frames
    }
}
