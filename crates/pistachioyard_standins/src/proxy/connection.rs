//! Forwards one connection.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;

use super::control::Route;
use super::pipe::{Direction, PipeError, run_pipe};
use super::state::{ActiveFaults, RuleSet};

/// Evaluates the rules for one connection; clones share the byte count.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionRules {
    source: IpAddr,
    listen: SocketAddr,
    rules: watch::Receiver<RuleSet>,
    forwarded: Arc<Mutex<ForwardedBytes>>,
}

/// Counts the bytes forwarded under one rule set.
#[derive(Debug, Default)]
struct ForwardedBytes {
    generation: u64,
    bytes: u64,
}

impl ConnectionRules {
    fn new(source: IpAddr, listen: SocketAddr, rules: watch::Receiver<RuleSet>) -> Self {
        Self {
            source,
            listen,
            rules,
            forwarded: Arc::default(),
        }
    }

    /// Returns the faults in force; [`ConnectionRules::changed`] then waits for newer rules.
    pub(crate) fn active_faults(&mut self) -> ActiveFaults {
        let rules = self.rules.borrow_and_update();
        rules.active_faults(self.source, self.listen)
    }

    /// Waits until the rules are replaced.
    pub(crate) async fn changed(&mut self) {
        if self.rules.changed().await.is_err() {
            // The sender is gone because the proxy is shutting down; no change follows.
            std::future::pending::<()>().await;
        }
    }

    /// Returns how many of the next `len` bytes may be forwarded, and counts them.
    pub(crate) fn admit(&mut self, len: usize) -> usize {
        let rules = self.rules.borrow();
        let faults = rules.active_faults(self.source, self.listen);
        let mut forwarded = self.forwarded.lock();
        if forwarded.generation != rules.generation {
            forwarded.generation = rules.generation;
            forwarded.bytes = 0;
        }
        let limit = faults.drop_after.unwrap_or(u64::MAX);
        let left = usize::try_from(limit.saturating_sub(forwarded.bytes)).unwrap_or(usize::MAX);
        let admitted = len.min(left);
        forwarded.bytes += admitted as u64;
        admitted
    }

    async fn wait_until_cut(mut self) {
        while !self.active_faults().cut {
            self.changed().await;
        }
    }
}

/// Forwards a connection until both sides have closed it, one of them fails or a rule ends it.
pub(crate) async fn forward(
    mut client: TcpStream,
    source: IpAddr,
    route: Route,
    rules: watch::Receiver<RuleSet>,
) {
    let rules = ConnectionRules::new(source, route.listen, rules);
    let cut = rules.clone().wait_until_cut();
    tokio::select! {
        biased;
        () = cut => reset(&client),
        result = forward_both_ways(&mut client, source, route.target, rules) => match result {
            // A reset could discard the last bytes that were forwarded.
            Ok(()) | Err(PipeError::LimitReached) => {}
            Err(PipeError::Gap | PipeError::Used | PipeError::Io(_)) => reset(&client),
        },
    }
}

async fn forward_both_ways(
    client: &mut TcpStream,
    source: IpAddr,
    target: SocketAddr,
    rules: ConnectionRules,
) -> Result<(), PipeError> {
    let mut target = connect(source, target).await?;
    client.set_nodelay(true)?;
    target.set_nodelay(true)?;
    let (client_read, client_write) = client.split();
    let (target_read, target_write) = target.split();
    let up = run_pipe(
        client_read,
        target_write,
        Direction::ToTarget,
        rules.clone(),
    );
    let down = run_pipe(target_read, client_write, Direction::FromTarget, rules);
    tokio::try_join!(up, down)?;
    Ok(())
}

/// Connects from the peer's address, so that the target sees the original source.
async fn connect(source: IpAddr, target: SocketAddr) -> io::Result<TcpStream> {
    let socket = match target {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if source.is_loopback() && source.is_ipv4() == target.is_ipv4() {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    socket.connect(target).await
}

/// Makes the connection end with a reset when it is dropped.
fn reset(stream: &TcpStream) {
    // Setting the option fails only if the socket is already closed.
    let _ = stream.set_zero_linger();
}
