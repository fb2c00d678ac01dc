//! One direction of a forwarded connection.

use std::io;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::connection::ConnectionRules;
use super::state::Verdict;

/// The most bytes that are read at once.
const READ_BYTES: usize = 16 * 1024;
/// The most reads that wait for their delay to pass.
const MAX_HELD_READS: usize = 256;

/// Which way bytes flow.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Direction {
    FromTarget,
    ToTarget,
}

/// Why a connection is closed before both sides have ended it.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PipeError {
    /// A stream broke.
    #[error("a forwarded connection broke: {0}")]
    Io(#[from] io::Error),
    /// All bytes that a rule lets pass have passed.
    #[error("a rule closed the connection after its last byte")]
    LimitReached,
    /// The rule under which bytes vanished was lifted; what follows has a gap before it.
    #[error("bytes of the connection vanished before the rule was lifted")]
    Gap,
}

/// Bytes and the time they were read.
#[derive(Debug)]
struct Held {
    read_at: Instant,
    bytes: Bytes,
}

/// Moves bytes from one stream to another until the first ends.
///
/// # Errors
///
/// Fails when a stream breaks or a rule closes the connection.
pub(crate) async fn run_pipe(
    from: ReadHalf<'_>,
    to: WriteHalf<'_>,
    direction: Direction,
    rules: ConnectionRules,
) -> Result<(), PipeError> {
    let (tx, rx) = mpsc::channel(MAX_HELD_READS);
    let reader = read_all(from, tx, rules.clone());
    let writer = write_all(to, rx, direction, rules);
    tokio::try_join!(reader, writer)?;
    Ok(())
}

/// Reads until the end, except while a stall holds.
async fn read_all(
    mut from: ReadHalf<'_>,
    tx: mpsc::Sender<Held>,
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
        let held = Held {
            read_at: Instant::now(),
            bytes: buf.freeze(),
        };
        if tx.send(held).await.is_err() {
            return Ok(());
        }
    }
}

async fn write_all(
    mut to: WriteHalf<'_>,
    mut rx: mpsc::Receiver<Held>,
    direction: Direction,
    mut rules: ConnectionRules,
) -> Result<(), PipeError> {
    let mut gap = false;
    while let Some(held) = rx.recv().await {
        let verdict = wait_until_due(&held, &mut rules).await;
        if vanishes(verdict, direction) {
            gap = true;
            continue;
        }
        if gap {
            return Err(PipeError::Gap);
        }
        let len = rules.admit(held.bytes.len());
        to.write_all(&held.bytes[..len]).await?;
        if len < held.bytes.len() {
            return Err(PipeError::LimitReached);
        }
    }
    wait_while_stalled(&mut rules).await;
    if vanishes(rules.verdict(), direction) {
        return Ok(());
    }
    if gap {
        return Err(PipeError::Gap);
    }
    to.shutdown().await?;
    Ok(())
}

async fn wait_while_stalled(rules: &mut ConnectionRules) {
    while rules.verdict().stall {
        rules.changed().await;
    }
}

/// Waits until the delay of held bytes has passed and no stall holds.
async fn wait_until_due(held: &Held, rules: &mut ConnectionRules) -> Verdict {
    loop {
        let verdict = rules.verdict();
        let due = held.read_at + verdict.delay;
        if verdict.stall {
            rules.changed().await;
            continue;
        }
        if Instant::now() >= due {
            return verdict;
        }
        tokio::select! {
            () = tokio::time::sleep_until(due) => {}
            () = rules.changed() => {}
        }
    }
}

fn vanishes(verdict: Verdict, direction: Direction) -> bool {
    match direction {
        Direction::FromTarget => verdict.cut_from_target,
        Direction::ToTarget => verdict.cut_to_target,
    }
}
