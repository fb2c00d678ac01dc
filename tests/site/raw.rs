//! A caller that controls when it writes to and reads from its connection.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::Instant;

use super::support::KEY;

/// How long a caller waits for the next bytes of an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// The size of the receive buffer of a slow reader, in bytes. With larger ones, the kernel lets the
/// send buffer of the entry grow until it holds the largest answer.
const SMALL_BUFFER: u32 = 4 * 1024;
/// The largest number of bytes read at once.
const READ_BYTES: usize = 32 * 1024;

/// The end of a chunked body without trailers.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Holds a caller's connection to an entry, and what was read and not yet used.
pub(crate) struct RawConnection {
    stream: TcpStream,
    unread: Vec<u8>,
}

/// Says how an exchange on a connection ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Exchange {
    /// A complete answer arrived; holds its status and body.
    Complete(u16, Vec<u8>),
    /// The connection ended before the answer was complete; holds what had arrived.
    Cut(String),
}

impl RawConnection {
    /// Connects to an entry.
    pub(crate) async fn open(to: SocketAddr) -> Self {
        Self::try_open(to).await.expect("the entry accepts")
    }

    /// Connects to an entry; returns none if it does not accept.
    pub(crate) async fn try_open(to: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(to).await.ok()?;
        Some(Self::new(stream))
    }

    /// Connects with a receive buffer so small that the entry soon has to wait for the reader.
    pub(crate) async fn open_with_small_buffer(to: SocketAddr) -> Self {
        let socket = TcpSocket::new_v4().expect("a socket is free");
        socket
            .set_recv_buffer_size(SMALL_BUFFER)
            .expect("the size is valid");
        Self::new(socket.connect(to).await.expect("the entry accepts"))
    }

    fn new(stream: TcpStream) -> Self {
        // It fails if the entry has already closed the connection, which the next write shows.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            unread: Vec::new(),
        }
    }

    /// Writes a complete request; returns whether the connection took all of it.
    pub(crate) async fn write(&mut self, path: &str, id: &str, extra: &[(&str, &str)]) -> bool {
        let host = self.stream.peer_addr().map(|address| address.to_string());
        let host = host.unwrap_or_default();
        let mut head = format!(
            "POST {path} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {id}\r\n\
             Authorization: Bearer {KEY}\r\nContent-Length: 4\r\n"
        );
        if !extra.iter().any(|(name, _)| *name == "X-Deadline-Ms") {
            head.push_str("X-Deadline-Ms: 8000\r\n");
        }
        for (name, value) in extra {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\nbody");
        self.stream.write_all(head.as_bytes()).await.is_ok()
    }

    /// Writes the text of a request as it is; returns whether the connection took all of it.
    pub(crate) async fn write_text(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).await.is_ok()
    }

    /// Writes the beginning of a request's head.
    pub(crate) async fn write_half_head(&mut self) -> bool {
        let head = b"POST /record/a HTTP/1.1\r\nHost: ";
        self.stream.write_all(head).await.is_ok()
    }

    /// Returns what was read and is no complete answer.
    pub(crate) fn unread_text(&self) -> String {
        String::from_utf8_lossy(&self.unread).into_owned()
    }

    /// Reads an answer as fast as it comes.
    pub(crate) async fn read(&mut self) -> Exchange {
        self.read_slowly(u64::MAX).await
    }

    /// Reads an answer at this number of bytes per second.
    pub(crate) async fn read_slowly(&mut self, rate: u64) -> Exchange {
        let started_at = Instant::now();
        let mut buf = vec![0; READ_BYTES];
        loop {
            if let Some(answer) = self.take_answer() {
                return answer;
            }
            let read = tokio::time::timeout(READ_TIMEOUT, self.stream.read(&mut buf)).await;
            let why = match read {
                Ok(Ok(0)) => "end of the connection".to_owned(),
                Ok(Ok(len)) => {
                    self.unread.extend_from_slice(&buf[..len]);
                    let due = Duration::from_secs_f64(self.unread.len() as f64 / rate as f64);
                    tokio::time::sleep_until(started_at + due).await;
                    continue;
                }
                Ok(Err(e)) => e.to_string(),
                Err(_) => "nothing arrived in time".to_owned(),
            };
            let head = String::from_utf8_lossy(&self.unread[..self.unread.len().min(40)]);
            let len = self.unread.len();
            return Exchange::Cut(format!("{why} after {len} bytes, {head:?}"));
        }
    }

    /// Takes a complete answer out of what was read; none if bytes are missing.
    fn take_answer(&mut self) -> Option<Exchange> {
        let head_end = find(&self.unread, b"\r\n\r\n")? + 4;
        let head = String::from_utf8_lossy(&self.unread[..head_end]).to_lowercase();
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: ")?.trim().parse().ok());
        let rest = &self.unread[head_end..];
        let (body, used) = match length {
            Some(length) => (rest.get(..length)?.to_vec(), length),
            // Joining the chunks of a large answer on each read would take too long.
            None if !rest.ends_with(LAST_CHUNK) => return None,
            None => join_chunks(rest)?,
        };
        self.unread.drain(..head_end + used);
        Some(Exchange::Complete(status, body))
    }
}

/// Returns the content of a chunked body and its length on the wire; none if it is incomplete.
fn join_chunks(mut rest: &[u8]) -> Option<(Vec<u8>, usize)> {
    let whole = rest.len();
    let mut body = Vec::new();
    loop {
        let line_end = find(rest, b"\r\n")?;
        let size = std::str::from_utf8(&rest[..line_end]).ok()?;
        let size = usize::from_str_radix(size.trim(), 16).ok()?;
        let chunk_end = line_end + 2 + size;
        body.extend_from_slice(rest.get(line_end + 2..chunk_end)?);
        rest = rest.get(chunk_end + 2..)?;
        if size == 0 {
            return Some((body, whole - rest.len()));
        }
    }
}

fn find(bytes: &[u8], sought: &[u8]) -> Option<usize> {
    bytes.windows(sought.len()).position(|part| part == sought)
}
