//! A connection whose reads are short, so that hyper's buffer for it stays small.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take};
use tokio::net::TcpStream;

/// The maximum number of bytes that are read at once. Hyper doubles its buffer of 8 KB after a read
/// that fills it.
pub(super) const MAX_READ_BYTES: usize = 8 * 1024 - 1;

/// Passes bytes on, a few at a time.
#[derive(Debug)]
pub(super) struct ShortReads(Take<TcpStream>);

impl ShortReads {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self(stream.take(MAX_READ_BYTES as u64))
    }

    fn socket(&mut self) -> Pin<&mut TcpStream> {
        Pin::new(self.0.get_mut())
    }
}

impl AsyncRead for ShortReads {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        // The limit holds for one read; it is never used up.
        self.0.set_limit(MAX_READ_BYTES as u64);
        Pin::new(&mut self.0).poll_read(cx, buf)
    }
}

impl AsyncWrite for ShortReads {
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
        self.0.get_ref().is_write_vectored()
    }
}
