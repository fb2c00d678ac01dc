//! HTTP/1.1 over blocking sockets: one thread for each connection.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Error, ErrorKind, Result, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The request line or the status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, n: usize) -> &str {
        self.line.split(' ').nth(n).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads a head; `None` if the connection ends before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> Result<Option<Head>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut head = Head {
        line: line.trim_end().to_owned(),
        headers: Vec::new(),
    };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(head));
        }
        if let Some((name, value)) = line.split_once(':') {
            head.headers
                .push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a body by its length or its chunks, or to the end of the connection if `to_end`.
pub fn read_body(reader: &mut impl BufRead, head: &Head, to_end: bool) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    if head
        .header("transfer-encoding")
        .is_some_and(|v| v.to_ascii_lowercase().contains("chunked"))
    {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16);
            let size = size.map_err(|_| Error::from(ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            body.extend(chunk);
            let mut end = String::new();
            reader.read_line(&mut end)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
    match head
        .header("content-length")
        .and_then(|v| v.parse::<usize>().ok())
    {
        Some(len) => {
            body.resize(len, 0);
            reader.read_exact(&mut body)?;
        }
        None if to_end => {
            reader.read_to_end(&mut body)?;
        }
        None => {}
    }
    Ok(body)
}

pub struct Request {
    pub head: Head,
    pub body: Vec<u8>,
    pub from: IpAddr,
}

/// What a handler does with the connection.
pub enum Then {
    KeepOpen,
    Close,
}

pub type Handler = dyn Fn(Request, &mut TcpStream) -> Result<Then> + Send + Sync;

/// The connections that a server has accepted.
pub type Accepted = Arc<Mutex<Vec<TcpStream>>>;

/// The sources whose connections are reset.
pub type Cut = Arc<Mutex<BTreeSet<IpAddr>>>;

/// Serves a listener until it is shut down. Connections of the sources in `cut` are reset when a
/// request comes on them.
pub fn serve(listener: TcpListener, handler: Arc<Handler>, cut: Cut) -> Accepted {
    let accepted = Accepted::default();
    let kept = accepted.clone();
    std::thread::spawn(move || {
        while let Ok((stream, from)) = listener.accept() {
            let is_cut = |from: IpAddr| cut.lock().unwrap().contains(&from);
            if !is_cut(from.ip())
                && let Ok(copy) = stream.try_clone()
            {
                let mut kept = kept.lock().unwrap();
                kept.retain(|stream| stream.peer_addr().is_ok());
                kept.push(copy);
            }
            let (handler, cut) = (handler.clone(), cut.clone());
            std::thread::spawn(move || {
                // Bytes that are not read make the close a reset.
                let _ = stream.peek(&mut [0]);
                let from = stream.peer_addr().map(|peer| peer.ip());
                if from.is_ok_and(|from| cut.lock().unwrap().contains(&from)) {
                    return;
                }
                let copy = stream.try_clone();
                let _ = serve_connection(stream, &handler);
                // Other copies would keep it open.
                let _ = copy.and_then(|stream| stream.shutdown(Shutdown::Both));
            });
        }
    });
    accepted
}

fn serve_connection(stream: TcpStream, handler: &Arc<Handler>) -> Result<()> {
    stream.set_nodelay(true)?;
    let from = stream.peer_addr()?.ip();
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(head) = read_head(&mut reader)? {
        let body = read_body(&mut reader, &head, false)?;
        match handler(Request { head, body, from }, &mut writer)? {
            Then::KeepOpen => {}
            Then::Close => break,
        }
    }
    Ok(())
}

/// Writes a whole answer.
pub fn answer(
    to: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<()> {
    let mut text = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend(body);
    to.write_all(&bytes)
}

/// The answer to a client's request, or why there is none.
pub struct Answer {
    pub status: u16,
    /// `Retry-After`; empty if there is none.
    pub retry_after: String,
    pub body: Vec<u8>,
    /// Why the answer is not complete; empty if it is.
    pub broken: String,
}

/// A client's connection that is kept for further requests.
pub struct Client {
    to: SocketAddr,
    open: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(to: SocketAddr) -> Self {
        Self { to, open: None }
    }

    /// Sends a request and reads the answer.
    pub fn send(&mut self, text: &str, body: &[u8], limit: Duration) -> Answer {
        match self.try_send(text, body, limit) {
            Ok(answer) => answer,
            Err(e) => {
                self.open = None;
                Answer {
                    status: 0,
                    retry_after: String::new(),
                    body: Vec::new(),
                    broken: format!("{e}"),
                }
            }
        }
    }

    fn try_send(&mut self, text: &str, body: &[u8], limit: Duration) -> Result<Answer> {
        if self.open.is_none() {
            let stream = TcpStream::connect_timeout(&self.to, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            self.open = Some(BufReader::new(stream));
        }
        let reader = self.open.as_mut().expect("it was just opened");
        reader.get_ref().set_read_timeout(Some(limit))?;
        let mut bytes = text.as_bytes().to_vec();
        bytes.extend(body);
        reader.get_mut().write_all(&bytes)?;
        let head = read_head(reader)?.ok_or(Error::from(ErrorKind::UnexpectedEof))?;
        let read = read_body(reader, &head, false);
        let closes = head
            .header("connection")
            .is_some_and(|v| v.contains("close"));
        let (body, broken) = match read {
            Ok(body) => (body, String::new()),
            Err(e) => (Vec::new(), format!("{e}")),
        };
        if closes || !broken.is_empty() {
            self.open = None;
        }
        Ok(Answer {
            status: head.status(),
            retry_after: head.header("retry-after").unwrap_or("").to_owned(),
            body,
            broken,
        })
    }
}
