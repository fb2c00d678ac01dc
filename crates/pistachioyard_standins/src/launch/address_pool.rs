//! Allocates loopback addresses for one test run.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};

use rand::Rng;

use super::error::LaunchError;

/// The port of every address that a pool hands out.
const POOL_PORT: u16 = 7_400;
/// The last octet of the highest address handed out.
const LAST_OCTET: u8 = 250;
/// The last octet of the address that is bound to mark a prefix as taken.
const GUARD_OCTET: u8 = 254;
/// The number of random prefixes to try.
const MAX_ATTEMPTS: u32 = 64;

/// Hands out the addresses of a random prefix 127.x.y that no other pool uses.
///
/// Each process of a run gets its own address, so that a proxy or a server can
/// identify processes by their source address.
#[derive(Debug)]
pub struct AddressPool {
    prefix: [u8; 3],
    last: AtomicU8,
    _guard: TcpListener,
}

impl AddressPool {
    /// Reserves a free prefix until the pool is dropped.
    ///
    /// # Errors
    ///
    /// Fails when no prefix is free.
    pub fn new() -> Result<Self, LaunchError> {
        let mut rng = rand::rng();
        for _ in 0..MAX_ATTEMPTS {
            let prefix = [127, rng.random_range(1..=254), rng.random()];
            if let Some(pool) = Self::try_prefix(prefix) {
                return Ok(pool);
            }
        }
        Err(LaunchError::NoFreePrefix {
            attempts: MAX_ATTEMPTS,
        })
    }

    fn try_prefix(prefix: [u8; 3]) -> Option<Self> {
        // The other addresses are not bound to test them: a child process that another
        // thread is starting may keep a listener open briefly after it is closed here.
        let guard = TcpListener::bind(address(prefix, GUARD_OCTET)).ok()?;
        Some(Self {
            prefix,
            last: AtomicU8::new(0),
            _guard: guard,
        })
    }

    /// Returns the next unused address.
    ///
    /// # Errors
    ///
    /// Fails when all addresses are handed out.
    pub fn next_address(&self) -> Result<SocketAddr, LaunchError> {
        let increment = |last: u8| (last < LAST_OCTET).then(|| last + 1);
        let last = self
            .last
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, increment)
            .map_err(|limit| LaunchError::PoolExhausted { limit })?;
        Ok(address(self.prefix, last + 1))
    }
}

fn address([a, b, c]: [u8; 3], d: u8) -> SocketAddr {
    (Ipv4Addr::new(a, b, c, d), POOL_PORT).into()
}
