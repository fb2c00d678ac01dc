//! Loopback addresses of one test run.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};

use rand::Rng;

use super::error::LaunchError;

/// The port of every address that a pool hands out.
const POOL_PORT: u16 = 7_400;
/// The last octet of the highest address handed out.
const LAST_OCTET: u8 = 250;
/// The last octet of the address that marks a prefix as taken.
const GUARD_OCTET: u8 = 254;
/// The prefixes tried before giving up.
const MAX_TRIES: u32 = 64;

/// Hands out addresses of a random prefix 127.x.y that no other pool uses.
///
/// Each process of a run gets an address of its own, so that a proxy or a server
/// can tell processes apart by their source address.
#[derive(Debug)]
pub struct AddressPool {
    prefix: [u8; 3],
    last: AtomicU8,
    _guard: TcpListener,
}

impl AddressPool {
    /// Takes a free prefix and keeps it until the pool is dropped.
    ///
    /// # Errors
    ///
    /// Fails when no prefix is free.
    pub fn new() -> Result<Self, LaunchError> {
        let mut rng = rand::rng();
        for _ in 0..MAX_TRIES {
            let prefix = [127, rng.random_range(1..=254), rng.random()];
            if let Some(pool) = Self::try_prefix(prefix) {
                return Ok(pool);
            }
        }
        Err(LaunchError::NoFreePrefix { tries: MAX_TRIES })
    }

    fn try_prefix(prefix: [u8; 3]) -> Option<Self> {
        // Addresses to be handed out are not tried: a listener that is closed here may
        // live on for a moment in a process that another thread is starting.
        let guard = TcpListener::bind(address(prefix, GUARD_OCTET)).ok()?;
        Some(Self {
            prefix,
            last: AtomicU8::new(0),
            _guard: guard,
        })
    }

    /// Returns the next address.
    ///
    /// # Errors
    ///
    /// Fails when all addresses are handed out.
    pub fn next_address(&self) -> Result<SocketAddr, LaunchError> {
        let up = |last: u8| (last < LAST_OCTET).then(|| last + 1);
        let last = self
            .last
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, up)
            .map_err(|limit| LaunchError::PoolEmpty { limit })?;
        Ok(address(self.prefix, last + 1))
    }
}

fn address([a, b, c]: [u8; 3], d: u8) -> SocketAddr {
    (Ipv4Addr::new(a, b, c, d), POOL_PORT).into()
}
