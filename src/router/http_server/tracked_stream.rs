//! A connection that records when bytes arrive, within the memory for heads.

use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::activity::{ConnectionActivity, ReadPart};
use crate::memory::HeldMemory;
use crate::prelude::*;
use crate::router::short_reads::ShortReads;

/// The multiple of a head's size that its buffer may have, since it grows by doubling.
const BUFFER_FACTOR: usize = 2;

/// Signals that the heads of all requests leave no memory for more of this one; closes the
/// connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the heads of all requests leave no memory for more of this one")]
struct NoHeadMemory;

/// Passes bytes on, records the arrival of those that callers send, and takes memory for heads.
pub(super) struct TrackedStream {
    stream: ShortReads,
    activity: Arc<ConnectionActivity>,
    /// The memory of the connection's buffer, which does not shrink.
    held: HeldMemory,
    /// The size of the longest head that has arrived so far, in bytes.
    longest_head: usize,
    /// The number of requests that had begun when the last bytes of a head arrived.
    requests: u64,
    /// The number of bytes of the next head that have arrived.
    head_bytes: usize,
}

impl TrackedStream {
    /// Creates the stream of a connection with this activity, whose heads take memory from `held`.
    pub(super) fn new(
        stream: TcpStream,
        activity: Arc<ConnectionActivity>,
        held: HeldMemory,
    ) -> Self {
        Self {
            stream: ShortReads::new(stream),
            activity,
            held,
            longest_head: 0,
            requests: 0,
            head_bytes: 0,
        }
    }

    fn socket(&mut self) -> Pin<&mut ShortReads> {
        Pin::new(&mut self.stream)
    }

    /// Takes memory for bytes that have arrived while no request is in progress.
    fn take_head_memory(&mut self, bytes: usize) -> Result<()> {
        let requests = self.activity.requests();
        if requests != self.requests {
            (self.requests, self.head_bytes) = (requests, 0);
        }
        self.head_bytes += bytes;
        self.longest_head = self.longest_head.max(self.head_bytes);
        match self.held.resize(self.longest_head * BUFFER_FACTOR) {
            true => Ok(()),
            false => Err(Error::new(ErrorKind::OutOfMemory, NoHeadMemory)),
        }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buf.filled().len();
        let read = self.socket().poll_read(cx, buf);
        let bytes = buf.filled().len() - before;
        if bytes > 0 && self.activity.note_read(Instant::now()) == ReadPart::Head {
            self.take_head_memory(bytes)?;
        }
        read
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        self.socket().poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        self.socket().poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        self.socket().poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.socket().poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
