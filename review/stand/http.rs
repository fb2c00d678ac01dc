//! A small HTTP/1.1 client and server side on blocking sockets.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const MAX_HEAD: usize = 64 * 1024;

/// The head and the body of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    /// The path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

fn broken(what: &str) -> Error {
    Error::new(ErrorKind::InvalidData, what.to_owned())
}

/// Bytes that were read ahead on a connection.
#[derive(Default)]
pub struct Buffer(Vec<u8>);

impl Buffer {
    fn fill(&mut self, stream: &mut TcpStream) -> Result<bool> {
        let mut chunk = [0; 16 * 1024];
        let len = stream.read(&mut chunk)?;
        self.0.extend_from_slice(&chunk[..len]);
        Ok(len > 0)
    }

    fn take(&mut self, len: usize) -> Vec<u8> {
        let rest = self.0.split_off(len);
        std::mem::replace(&mut self.0, rest)
    }

    fn line(&mut self, stream: &mut TcpStream) -> Result<String> {
        loop {
            if let Some(at) = self.0.windows(2).position(|w| w == b"\r\n") {
                let line = self.take(at + 2);
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if self.0.len() > MAX_HEAD || !self.fill(stream)? {
                return Err(broken("the connection ended in a line"));
            }
        }
    }
}

/// Reads a message; none if the connection ends before its first byte. An answer without a length
/// ends with its connection.
pub fn read_message(
    stream: &mut TcpStream,
    buffer: &mut Buffer,
    is_answer: bool,
) -> Result<Option<Message>> {
    if buffer.0.is_empty() && !buffer.fill(stream)? {
        return Ok(None);
    }
    let mut message = Message {
        start: buffer.line(stream)?,
        ..Message::default()
    };
    loop {
        let line = buffer.line(stream)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| broken("a bad header"))?;
        message.headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
    let len = message.header("content-length").and_then(|v| v.parse::<usize>().ok());
    if is_chunked {
        loop {
            let size = buffer.line(stream)?;
            let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                .map_err(|_| broken("a bad chunk"))?;
            while buffer.0.len() < size + 2 {
                if !buffer.fill(stream)? {
                    return Err(broken("the connection ended in a chunk"));
                }
            }
            let chunk = buffer.take(size + 2);
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                break;
            }
        }
    } else if let Some(len) = len {
        while buffer.0.len() < len {
            if !buffer.fill(stream)? {
                return Err(broken("the connection ended in a body"));
            }
        }
        message.body = buffer.take(len);
    } else if is_answer && message.status() != 204 && message.status() != 304 {
        while buffer.fill(stream)? {}
        message.body = std::mem::take(&mut buffer.0);
    }
    Ok(Some(message))
}

/// Writes an answer with a length.
pub fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<()> {
    let mut head = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Says how a request of a client ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    Answer(Message),
    /// No connection was made, or it ended without a complete answer.
    Broken(String),
}

impl Outcome {
    pub fn status(&self) -> u16 {
        match self {
            Outcome::Answer(answer) => answer.status(),
            Outcome::Broken(_) => 0,
        }
    }

    pub fn text(&self) -> String {
        match self {
            Outcome::Answer(answer) => {
                let body = String::from_utf8_lossy(&answer.body);
                let start: String = body.chars().take(90).collect();
                format!("{} {}", answer.status(), start.replace('\n', " "))
            }
            Outcome::Broken(why) => format!("no answer ({why})"),
        }
    }
}

/// A connection of a client that is kept for further requests.
pub struct Client {
    to: SocketAddr,
    open: Option<(TcpStream, Buffer)>,
}

impl Client {
    pub fn new(to: SocketAddr) -> Self {
        Self { to, open: None }
    }

    /// Opens the connection ahead of its first request; returns whether it is open.
    pub fn connect(&mut self) -> bool {
        if self.open.is_none()
            && let Ok(stream) = TcpStream::connect_timeout(&self.to, Duration::from_secs(1))
            && stream.set_nodelay(true).is_ok()
        {
            self.open = Some((stream, Buffer::default()));
        }
        self.open.is_some()
    }

    /// Sends one request and reads its answer within `patience`.
    pub fn send(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        patience: Duration,
    ) -> Outcome {
        match self.try_send(method, target, headers, body, patience) {
            Ok(answer) => {
                let closes = answer
                    .header("connection")
                    .is_some_and(|v| v.eq_ignore_ascii_case("close"));
                if closes {
                    self.open = None;
                }
                Outcome::Answer(answer)
            }
            Err(e) => {
                self.open = None;
                Outcome::Broken(e.to_string())
            }
        }
    }

    fn try_send(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        patience: Duration,
    ) -> Result<Message> {
        let began = Instant::now();
        let (mut stream, mut buffer) = match self.open.take() {
            Some(open) => open,
            None => {
                let stream = TcpStream::connect_timeout(&self.to, Duration::from_secs(1))?;
                stream.set_nodelay(true)?;
                (stream, Buffer::default())
            }
        };
        let mut head = format!("{method} {target} HTTP/1.1\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if !body.is_empty() || method != "GET" {
            head.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        let left = patience.saturating_sub(began.elapsed()).max(Duration::from_millis(1));
        stream.set_read_timeout(Some(left))?;
        stream.write_all(&bytes)?;
        let answer = read_message(&mut stream, &mut buffer, true)?;
        let answer = answer.ok_or_else(|| broken("closed without an answer"))?;
        self.open = Some((stream, buffer));
        Ok(answer)
    }
}

/// Sends one request on a connection of its own.
pub fn call(to: SocketAddr, method: &str, target: &str, patience: Duration) -> Outcome {
    let host = to.to_string();
    Client::new(to).send(method, target, &[("Host", &host)], b"", patience)
}
