//! Forwards one direction of a connection.

use std::io;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::connection::ConnectionRules;
use super::endless::send_endless;
use super::state::ActiveFaults;

/// The maximum size of a chunk, in bytes.
const READ_BYTES: usize = 16 * 1024;
/// The maximum number of chunks waiting for their delay to pass.
const MAX_DELAYED_CHUNKS: usize = 256;

/// Selects the direction in which bytes flow.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Direction {
    FromTarget,
    ToTarget,
}

/// Reports why a connection is closed before both sides have closed it.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PipeError {
    /// Reading or writing failed.
    #[error("a forwarded connection failed: {0}")]
    Io(#[from] io::Error),
    /// All bytes that a rule allows have been forwarded.
    #[error("the connection reached the byte limit of a rule")]
    LimitReached,
    /// A rule resets connections that are used.
    #[error("a rule resets the connection when bytes come on it")]
    Used,
    /// The rule that discarded bytes was removed, so the next bytes would follow a gap.
    #[error("a rule discarded bytes of the connection before it was removed")]
    Gap,
}

/// Holds bytes and the time at which they were read.
#[derive(Debug)]
struct Chunk {
    read_at: Instant,
    bytes: Bytes,
}

/// Copies bytes from one stream to another until `from` ends.
///
/// # Errors
///
/// Fails when a stream fails or a rule closes the connection.
pub(crate) async fn run_pipe(
    from: ReadHalf<'_>,
    to: WriteHalf<'_>,
    direction: Direction,
    rules: ConnectionRules,
) -> Result<(), PipeError> {
    let (tx, rx) = mpsc::channel(MAX_DELAYED_CHUNKS);
    let reader = read_all(from, tx, rules.clone());
    let writer = write_all(to, rx, direction, rules);
    tokio::try_join!(reader, writer)?;
    Ok(())
}

/// Reads until the end of the stream, except while a rule stalls the connection.
async fn read_all(
    mut from: ReadHalf<'_>,
    tx: mpsc::Sender<Chunk>,
    mut rules: ConnectionRules,
) -> Result<(), PipeError> {
    loop {
        wait_while_stalled(&mut rules).await;
        let mut buf = BytesMut::with_capacity(READ_BYTES);
        let read = tokio::select! {
            read = from.read_buf(&mut buf) => read?,
            () = rules.changed() => continue,
        };
        if read == 0 {
            return Ok(());
        }
        let chunk = Chunk {
            read_at: Instant::now(),
            bytes: buf.freeze(),
        };
        if tx.send(chunk).await.is_err() {
            return Ok(());
        }
    }
}

async fn write_all(
    mut to: WriteHalf<'_>,
    mut rx: mpsc::Receiver<Chunk>,
    direction: Direction,
    mut rules: ConnectionRules,
) -> Result<(), PipeError> {
    let mut has_gap = false;
    while let Some(chunk) = rx.recv().await {
        let faults = wait_until_due(&chunk, &mut rules).await;
        if faults.cut_on_use {
            return Err(PipeError::Used);
        }
        if drops_bytes(faults, direction) {
            has_gap = true;
            continue;
        }
        if has_gap {
            return Err(PipeError::Gap);
        }
        if let (Direction::FromTarget, Some(kind)) = (direction, faults.endless) {
            send_endless(&mut to, kind, &mut rules).await?;
            return Err(PipeError::Gap);
        }
        let len = rules.admit(chunk.bytes.len());
        to.write_all(&chunk.bytes[..len]).await?;
        if len < chunk.bytes.len() {
            return Err(PipeError::LimitReached);
        }
    }
    wait_while_stalled(&mut rules).await;
    if drops_bytes(rules.active_faults(), direction) {
        return Ok(());
    }
    if has_gap {
        return Err(PipeError::Gap);
    }
    to.shutdown().await?;
    Ok(())
}

async fn wait_while_stalled(rules: &mut ConnectionRules) {
    while rules.active_faults().stall {
        rules.changed().await;
    }
}

/// Waits until the delay of a chunk has passed and no rule stalls the connection.
async fn wait_until_due(chunk: &Chunk, rules: &mut ConnectionRules) -> ActiveFaults {
    loop {
        let faults = rules.active_faults();
        let due = chunk.read_at + faults.delay;
        if faults.stall {
            rules.changed().await;
            continue;
        }
        if Instant::now() >= due {
            return faults;
        }
        tokio::select! {
            () = tokio::time::sleep_until(due) => {}
            () = rules.changed() => {}
        }
    }
}

fn drops_bytes(faults: ActiveFaults, direction: Direction) -> bool {
    match direction {
        Direction::FromTarget => faults.cut_from_target,
        Direction::ToTarget => faults.cut_to_target,
    }
}
