//! Which configuration is in force, and for how long without word of it.
//!
//! Only higher revisions are adopted, so the order in which they are heard does
//! not matter. See `docs/design/configuration.md`.

mod apply;

use std::sync::Arc;
use std::time::{Duration, Instant};

use pistachioyard_wire::{AcceptedConfig, Config, ConfigFault, Revision};
use xxhash_rust::xxh3::xxh3_64;

pub use apply::{ApplyDecision, decide_apply, next_accepted};

/// Returns the digest of a configuration's text: XXH3, 16 hexadecimal digits.
pub fn text_digest(text: &str) -> String {
    format!("{:016x}", xxh3_64(text.as_bytes()))
}

/// How far a peer's revision may be ahead of the one held here.
const MAX_REVISION_STEP: u64 = 1 << 20;
/// The highest revision that a peer may bring to an entry that holds none.
const MAX_FIRST_REVISION: u64 = 1 << 40;

/// Tells whether a peer's revision can follow the one held here.
///
/// Each accepted file adds one, so a revision far ahead is damaged. Were the
/// highest number adopted, no file could ever follow it.
pub fn is_plausible_from_peer(held: Revision, offered: Revision) -> bool {
    match held.0 {
        0 => offered.0 <= MAX_FIRST_REVISION,
        held => offered.0 <= held.saturating_add(MAX_REVISION_STEP),
    }
}

/// Why an offered configuration was not adopted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConfigRejected {
    /// The digest does not belong to the text.
    #[error(
        "revision {revision} claims the digest {claimed} but its text has {computed}; \
         fetch it again"
    )]
    WrongDigest {
        /// The revision offered.
        revision: Revision,
        /// The digest that came with it.
        claimed: String,
        /// The digest of the text.
        computed: String,
    },
    /// The text is not a configuration that this process understands.
    #[error("revision {revision} has {} faults; apply a corrected file", faults.len())]
    Unreadable {
        /// The revision offered.
        revision: Revision,
        /// Every fault found.
        faults: Vec<ConfigFault>,
    },
    /// The revision in force has another text.
    #[error(
        "revision {revision} is in force with the digest {in_force} but was offered with \
         {offered}; compare the head object with the operators' file and apply that again"
    )]
    Diverged {
        /// The revision.
        revision: Revision,
        /// The digest in force.
        in_force: String,
        /// The digest offered.
        offered: String,
    },
}

/// A configuration as accepted and as checked.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveConfig {
    /// What the platform holds.
    pub accepted: AcceptedConfig,
    /// Its text, checked.
    pub config: Config,
}

/// Whether new work may be taken under the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// No configuration has been adopted yet.
    NoConfig,
    /// Nothing confirmed the configuration within the in-force time.
    Stale {
        /// The time since it was last confirmed; the longest one if never.
        since: Duration,
    },
    /// It is in force.
    InForce,
}

/// The highest configuration heard of and when it was last confirmed.
#[derive(Clone, Debug)]
pub struct Adoption {
    in_force: Duration,
    current: Option<Arc<ActiveConfig>>,
    confirmed_at: Option<Instant>,
}

impl Adoption {
    /// Starts without a configuration.
    pub fn new(in_force: Duration) -> Self {
        Self {
            in_force,
            current: None,
            confirmed_at: None,
        }
    }

    /// Adopts a configuration if its revision is higher, and tells whether it did.
    ///
    /// Adopting does not confirm: call [`Self::confirm`] with the time at which
    /// the sender was heard.
    ///
    /// # Errors
    ///
    /// Fails, and changes nothing, on a text that is damaged or cannot be read,
    /// and on another text for the revision in force.
    pub fn offer(&mut self, config: AcceptedConfig) -> Result<bool, ConfigRejected> {
        let held = self.revision();
        if config.revision < held || config.revision == Revision::default() {
            return Ok(false);
        }
        check_digest(&config)?;
        if let Some(current) = &self.current
            && config.revision == held
        {
            return check_same(&current.accepted, &config).map(|()| false);
        }
        let parsed = Config::parse(&config.text).map_err(|faults| ConfigRejected::Unreadable {
            revision: config.revision,
            faults,
        })?;
        self.current = Some(Arc::new(ActiveConfig {
            accepted: config,
            config: parsed,
        }));
        Ok(true)
    }

    /// Notes that the platform or a peer was heard at `now` with a revision.
    ///
    /// A higher revision than the one held shows that the held one is out of
    /// date, so it does not confirm.
    pub fn confirm(&mut self, revision: Revision, now: Instant) {
        if self.current.is_some() && revision <= self.revision() {
            self.confirmed_at = self.confirmed_at.max(Some(now));
        }
    }

    /// Returns the configuration held, in force or not.
    pub fn current(&self) -> Option<&Arc<ActiveConfig>> {
        self.current.as_ref()
    }

    /// Tells whether new work may be taken at `now`.
    ///
    /// Ask again for each request: a process that was paused finds out here that
    /// its configuration has aged.
    pub fn standing(&self, now: Instant) -> Standing {
        if self.current.is_none() {
            return Standing::NoConfig;
        }
        let Some(confirmed_at) = self.confirmed_at else {
            return Standing::Stale {
                since: Duration::MAX,
            };
        };
        match now.saturating_duration_since(confirmed_at) {
            since if since > self.in_force => Standing::Stale { since },
            _ => Standing::InForce,
        }
    }

    fn revision(&self) -> Revision {
        let current = self.current.as_ref();
        current.map_or_else(Revision::default, |c| c.accepted.revision)
    }
}

fn check_digest(config: &AcceptedConfig) -> Result<(), ConfigRejected> {
    let computed = text_digest(&config.text);
    if computed == config.digest {
        Ok(())
    } else {
        Err(ConfigRejected::WrongDigest {
            revision: config.revision,
            claimed: config.digest.clone(),
            computed,
        })
    }
}

fn check_same(held: &AcceptedConfig, offered: &AcceptedConfig) -> Result<(), ConfigRejected> {
    if held.digest == offered.digest {
        Ok(())
    } else {
        Err(ConfigRejected::Diverged {
            revision: held.revision,
            in_force: held.digest.clone(),
            offered: offered.digest.clone(),
        })
    }
}
