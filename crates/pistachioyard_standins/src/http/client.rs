//! The client itself.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use ::http::{HeaderMap, Method, Request, Response, StatusCode, header};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::error::HttpClientError;
use super::lines::BodyLines;

/// How an [`HttpClient`] connects and how long it waits.
#[derive(Clone, Debug)]
pub struct HttpClientConfig {
    /// The address to connect from, or none to let the system choose.
    pub local_address: Option<IpAddr>,
    /// The time allowed for a connection.
    pub connect_timeout: Duration,
    /// The time allowed for the whole answer, or for its head if it is streamed.
    pub request_timeout: Duration,
    /// Whether connections are used for more than one request.
    pub reuse_connections: bool,
}

impl Default for HttpClientConfig {
    fn default() -> Self {
        Self {
            local_address: None,
            connect_timeout: Duration::from_secs(2),
            request_timeout: Duration::from_secs(30),
            reuse_connections: true,
        }
    }
}

/// An answer with its whole body.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl HttpAnswer {
    /// Reads the body of a successful answer; an empty one stands for `null`.
    ///
    /// # Errors
    ///
    /// Fails when the status is no success or the body is not a `T`.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, HttpClientError> {
        let text = || String::from_utf8_lossy(&self.body).into_owned();
        if !self.status.is_success() {
            return Err(HttpClientError::Status {
                status: self.status,
                body: text(),
            });
        }
        let body: &[u8] = match self.body.is_empty() {
            true => b"null",
            false => &self.body,
        };
        serde_json::from_slice(body).map_err(|source| HttpClientError::Decode {
            text: text(),
            source,
        })
    }
}

/// An HTTP client that can be cloned cheaply; clones share connections.
///
/// ```no_run
/// # async fn f() -> Result<(), pistachioyard_standins::HttpClientError> {
/// use pistachioyard_standins::{CallCounts, HttpClient, HttpClientConfig};
///
/// let client = HttpClient::new(HttpClientConfig::default());
/// let platform = ([127, 0, 0, 1], 7400).into();
/// let counts: CallCounts = client.get_json(platform, "/control/counts").await?;
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    request_timeout: Duration,
}

impl HttpClient {
    /// Makes a client; it connects when it is first used.
    pub fn new(cfg: HttpClientConfig) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(cfg.connect_timeout));
        connector.set_local_address(cfg.local_address);
        connector.set_nodelay(true);
        let mut builder = Client::builder(TokioExecutor::new());
        if !cfg.reuse_connections {
            builder.pool_max_idle_per_host(0);
        }
        Self {
            client: builder.build(connector),
            request_timeout: cfg.request_timeout,
        }
    }

    /// Gets a JSON value.
    ///
    /// # Errors
    ///
    /// Fails when there is no answer in time, its status is no success or it is not a `T`.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, HttpClientError> {
        let answer = self.send(Method::GET, address, path, &[], Bytes::new());
        answer.await?.json()
    }

    /// Puts a JSON value; an answer without a body is read as `()`.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::get_json`], and when `body` cannot be written as JSON.
    pub async fn put_json<B: Serialize + ?Sized, T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &B,
    ) -> Result<T, HttpClientError> {
        self.send_json(Method::PUT, address, path, body).await
    }

    /// Posts a JSON value; an answer without a body is read as `()`.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::put_json`].
    pub async fn post_json<B: Serialize + ?Sized, T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &B,
    ) -> Result<T, HttpClientError> {
        self.send_json(Method::POST, address, path, body).await
    }

    /// Deletes; any status is a normal answer.
    ///
    /// # Errors
    ///
    /// Fails when there is no answer in time.
    pub async fn delete(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<HttpAnswer, HttpClientError> {
        self.send(Method::DELETE, address, path, &[], Bytes::new())
            .await
    }

    /// Posts raw bytes with headers; any status is a normal answer.
    ///
    /// # Errors
    ///
    /// Fails when there is no answer in time.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<HttpAnswer, HttpClientError> {
        self.send(Method::POST, address, path, headers, body.into())
            .await
    }

    /// Sends any request and reads the whole answer; any status is a normal answer.
    ///
    /// # Errors
    ///
    /// Fails when there is no answer in time.
    pub async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<HttpAnswer, HttpClientError> {
        let whole = async {
            let response = self.start(method, address, path, headers, body).await?;
            let (head, body) = response.into_parts();
            let body = body.collect().await.map_err(|e| broken_body(&e))?;
            Ok(HttpAnswer {
                status: head.status,
                headers: head.headers,
                body: body.to_bytes(),
            })
        };
        self.in_time(whole).await
    }

    /// Sends any request and reads the answer's head; the body comes line by line.
    ///
    /// # Errors
    ///
    /// Fails when there is no head in time.
    pub async fn open_lines(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<BodyLines, HttpClientError> {
        let response = self.start(method, address, path, headers, body.into());
        Ok(BodyLines::new(self.in_time(response).await?))
    }

    async fn send_json<B: Serialize + ?Sized, T: DeserializeOwned>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: &B,
    ) -> Result<T, HttpClientError> {
        let buf = serde_json::to_vec(body).map_err(HttpClientError::Encode)?;
        let headers = [("content-type", "application/json")];
        let answer = self.send(method, address, path, &headers, buf.into());
        answer.await?.json()
    }

    async fn in_time<T>(
        &self,
        call: impl Future<Output = Result<T, HttpClientError>>,
    ) -> Result<T, HttpClientError> {
        let timeout = self.request_timeout;
        tokio::time::timeout(timeout, call)
            .await
            .unwrap_or(Err(HttpClientError::Timeout { timeout }))
    }

    async fn start(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Response<Incoming>, HttpClientError> {
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::HOST, address.to_string());
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let req = builder
            .body(Full::new(body))
            .map_err(|source| HttpClientError::Invalid {
                address,
                path: path.to_owned(),
                source,
            })?;
        self.client.request(req).await.map_err(|e| {
            let why = describe(&e);
            match e.is_connect() {
                true => HttpClientError::Connect { address, why },
                false => HttpClientError::NoAnswer { address, why },
            }
        })
    }
}

/// Reports a body that broke off.
pub(crate) fn broken_body(e: &hyper::Error) -> HttpClientError {
    HttpClientError::BrokenBody { why: describe(e) }
}

/// Renders an error with its causes.
fn describe(e: &dyn std::error::Error) -> String {
    let mut text = e.to_string();
    let mut cause = e.source();
    while let Some(e) = cause {
        text.push_str(": ");
        text.push_str(&e.to_string());
        cause = e.source();
    }
    text
}
