//! Sends answers that do not end.

use std::io;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::tcp::WriteHalf;

use super::connection::ConnectionRules;

/// The size of each write, in bytes.
const CHUNK_BYTES: usize = 64 * 1024;
/// The pause between two writes, so that a receiver without a limit does not exhaust the
/// memory of the machine before its own timeout.
const PAUSE: Duration = Duration::from_millis(1);

/// An interim answer.
const INTERIM: &[u8] = b"HTTP/1.1 102 Processing\r\n\r\n";

/// Selects the part of an answer that does not end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Endless {
    Body,
    Failure,
    Head,
    /// The interim answers before it.
    Interim,
    /// The wait for a body that does not come.
    Silence,
}

impl Endless {
    /// Returns the bytes before the part that does not end.
    ///
    /// A body has the header that marks an answer of the operators' workers as theirs.
    fn start(self) -> &'static [u8] {
        match self {
            Self::Body => b"HTTP/1.1 200 OK\r\nx-response-signature: stand-in\r\n\r\n",
            Self::Failure | Self::Silence => {
                b"HTTP/1.1 500 Internal Server Error\r\nx-response-signature: stand-in\r\n\r\n"
            }
            Self::Head => b"HTTP/1.1 200 OK\r\nx-filler: ",
            Self::Interim => INTERIM,
        }
    }

    /// Returns what that part repeats.
    fn rest(self) -> &'static [u8] {
        match self {
            Self::Interim => INTERIM,
            Self::Body | Self::Failure | Self::Head | Self::Silence => b"x",
        }
    }
}

/// Sends an answer until the receiver closes the connection or the rule is removed.
pub(crate) async fn send_endless(
    to: &mut WriteHalf<'_>,
    kind: Endless,
    rules: &mut ConnectionRules,
) -> io::Result<()> {
    to.write_all(kind.start()).await?;
    let rest = kind.rest();
    let chunk = rest.repeat(CHUNK_BYTES / rest.len());
    while rules.active_faults().endless == Some(kind) {
        if kind == Endless::Silence {
            rules.changed().await;
            continue;
        }
        to.write_all(&chunk).await?;
        tokio::time::sleep(PAUSE).await;
    }
    Ok(())
}
