//! One forwarded connection.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;

use super::control::Route;
use super::pipe::{Direction, PipeError, run_pipe};
use super::state::{RuleSet, Verdict};

/// The rules as they are for one connection; clones share the byte count.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionRules {
    source: IpAddr,
    listen: SocketAddr,
    rules: watch::Receiver<RuleSet>,
    passed: Arc<Mutex<Passed>>,
}

/// The bytes that passed under one set of rules.
#[derive(Debug, Default)]
struct Passed {
    generation: u64,
    bytes: u64,
}

impl ConnectionRules {
    fn new(source: IpAddr, listen: SocketAddr, rules: watch::Receiver<RuleSet>) -> Self {
        Self {
            source,
            listen,
            rules,
            passed: Arc::default(),
        }
    }

    /// Returns the verdict now; [`ConnectionRules::changed`] then waits for a newer one.
    pub(crate) fn verdict(&mut self) -> Verdict {
        let rules = self.rules.borrow_and_update();
        rules.verdict(self.source, self.listen)
    }

    /// Waits until the rules are replaced.
    pub(crate) async fn changed(&mut self) {
        if self.rules.changed().await.is_err() {
            // The proxy is ending, so the rules stay as they are.
            std::future::pending::<()>().await;
        }
    }

    /// Counts bytes about to pass and returns how many of them may.
    pub(crate) fn admit(&mut self, len: usize) -> usize {
        let rules = self.rules.borrow();
        let verdict = rules.verdict(self.source, self.listen);
        let mut passed = self.passed.lock();
        if passed.generation != rules.generation {
            passed.generation = rules.generation;
            passed.bytes = 0;
        }
        let limit = verdict.drop_after.unwrap_or(u64::MAX);
        let left = usize::try_from(limit.saturating_sub(passed.bytes)).unwrap_or(usize::MAX);
        let admitted = len.min(left);
        passed.bytes += admitted as u64;
        admitted
    }

    async fn until_cut(mut self) {
        while !self.verdict().cut {
            self.changed().await;
        }
    }
}

/// Forwards a connection until either side ends it or a rule does.
pub(crate) async fn forward(
    mut client: TcpStream,
    source: IpAddr,
    route: Route,
    rules: watch::Receiver<RuleSet>,
) {
    let rules = ConnectionRules::new(source, route.listen, rules);
    let cut = rules.clone().until_cut();
    tokio::select! {
        biased;
        () = cut => reset(&client),
        result = forward_whole(&mut client, source, route.target, rules) => match result {
            // A reset could take back the last bytes that were let through.
            Ok(()) | Err(PipeError::LimitReached) => {}
            Err(PipeError::Gap | PipeError::Io(_)) => reset(&client),
        },
    }
}

async fn forward_whole(
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

/// Connects from the peer's address, so that the target sees the true source.
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
    // A socket that cannot be set is already broken.
    let _ = stream.set_zero_linger();
}
