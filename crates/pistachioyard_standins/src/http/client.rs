//! An HTTP client with timeouts for connections and requests.

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

/// Configures how an [`HttpClient`] connects and how long it waits.
#[derive(Clone, Debug)]
pub struct HttpClientConfig {
    /// The address to connect from; `None` lets the system choose.
    pub local_address: Option<IpAddr>,
    /// The timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// The timeout for the complete answer, or for its head if the body is streamed.
    pub request_timeout: Duration,
    /// Whether connections are reused for further requests.
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

/// Holds an answer with its complete body.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// The status code.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl HttpAnswer {
    /// Decodes the body of a successful answer; an empty body is read as `null`.
    ///
    /// # Errors
    ///
    /// Fails when the status is not a success or the body does not decode to a `T`.
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

/// Sends HTTP requests; clones are cheap and share connections.
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
    /// Creates a client that connects on first use.
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

    /// Fetches a JSON value.
    ///
    /// # Errors
    ///
    /// Fails when no answer arrives in time, its status is not a success or its body
    /// does not decode to a `T`.
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
    /// Fails as [`HttpClient::get_json`] does, or when `body` cannot be written as JSON.
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
    /// Fails as [`HttpClient::put_json`] does.
    pub async fn post_json<B: Serialize + ?Sized, T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &B,
    ) -> Result<T, HttpClientError> {
        self.send_json(Method::POST, address, path, body).await
    }

    /// Sends a `DELETE` request; a status that is not a success is not an error.
    ///
    /// # Errors
    ///
    /// Fails when no answer arrives in time.
    pub async fn delete(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<HttpAnswer, HttpClientError> {
        self.send(Method::DELETE, address, path, &[], Bytes::new())
            .await
    }

    /// Posts raw bytes with headers; a status that is not a success is not an error.
    ///
    /// # Errors
    ///
    /// Fails when no answer arrives in time.
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

    /// Sends a request and reads the complete answer; a status that is not a success is
    /// not an error.
    ///
    /// # Errors
    ///
    /// Fails when no answer arrives in time.
    pub async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<HttpAnswer, HttpClientError> {
        let exchange = async {
            let response = self.start(method, address, path, headers, body).await?;
            let (head, body) = response.into_parts();
            let body = body.collect().await.map_err(|e| broken_body(&e))?;
            Ok(HttpAnswer {
                status: head.status,
                headers: head.headers,
                body: body.to_bytes(),
            })
        };
        self.with_timeout(exchange).await
    }

    /// Sends a request and reads the head of the answer; the body is read line by line.
    ///
    /// # Errors
    ///
    /// Fails when no head arrives in time.
    pub async fn open_lines(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<BodyLines, HttpClientError> {
        let response = self.start(method, address, path, headers, body.into());
        Ok(BodyLines::new(self.with_timeout(response).await?))
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

    async fn with_timeout<T>(
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

/// Returns the error for a body that was cut off.
pub(crate) fn broken_body(e: &hyper::Error) -> HttpClientError {
    HttpClientError::BrokenBody { why: describe(e) }
}

/// Formats an error with its chain of causes.
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
