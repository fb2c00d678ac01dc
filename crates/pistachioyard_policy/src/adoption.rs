//! Adoption of configurations: which one is in force, and when it goes stale.
//!
//! Only higher revisions are adopted, so the order in which they arrive does not
//! matter. See `docs/design/configuration.md`.

mod apply;

use std::sync::Arc;
use std::time::{Duration, Instant};

use pistachioyard_wire::{AcceptedConfig, Config, ConfigError, Revision};
use xxhash_rust::xxh3::xxh3_64;

pub use apply::{ApplyDecision, decide_apply, next_accepted};

/// Returns the XXH3 digest of a configuration's text as 16 hexadecimal digits.
pub fn text_digest(text: &str) -> String {
    format!("{:016x}", xxh3_64(text.as_bytes()))
}

/// The furthest a peer's revision may be ahead of the one held here.
const MAX_REVISION_STEP: u64 = 1 << 20;
/// The highest revision that an entry without a configuration accepts from a peer.
const MAX_FIRST_REVISION: u64 = 1 << 40;

/// Returns whether a revision offered by a peer can follow the one held here.
///
/// Each accepted file increments the revision, so one that is far ahead is corrupt.
/// If the highest number were adopted, no later file could ever supersede it.
pub fn is_plausible_revision(held: Revision, offered: Revision) -> bool {
    match held.0 {
        0 => offered.0 <= MAX_FIRST_REVISION,
        held => offered.0 <= held.saturating_add(MAX_REVISION_STEP),
    }
}

/// Reports why an offered configuration was rejected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConfigRejected {
    /// The digest does not match the text.
    #[error(
        "revision {revision} came with the digest {claimed} but its text has the digest \
         {computed}; fetch the revision again"
    )]
    WrongDigest {
        /// The offered revision.
        revision: Revision,
        /// The digest that came with the text.
        claimed: String,
        /// The digest computed from the text.
        computed: String,
    },
    /// The text is not a valid configuration for this process.
    #[error("revision {revision} has {} errors; apply a corrected file", faults.len())]
    Unreadable {
        /// The offered revision.
        revision: Revision,
        /// Every error found in the text.
        faults: Vec<ConfigError>,
    },
    /// The revision in force has a different text.
    #[error(
        "revision {revision} is in force with the digest {in_force} but was offered with \
         {offered}; compare the head object with the operators' file and apply the file again"
    )]
    Diverged {
        /// The revision that has two texts.
        revision: Revision,
        /// The digest of the text in force.
        in_force: String,
        /// The digest of the offered text.
        offered: String,
    },
}

/// Holds an accepted configuration together with its parsed form.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveConfig {
    /// The configuration as the platform stores it.
    pub accepted: AcceptedConfig,
    /// The parsed and validated text.
    pub config: Config,
}

/// Tells whether the configuration allows new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigStatus {
    /// No configuration has been adopted yet.
    NoConfig,
    /// Nothing has confirmed the configuration for longer than [`ConfigAdoption::new`] allows.
    Stale {
        /// The time since the last confirmation; [`Duration::MAX`] if there was none.
        age: Duration,
    },
    /// The configuration is in force.
    InForce,
}

/// Tracks the highest known configuration and when it was last confirmed.
#[derive(Clone, Debug)]
pub struct ConfigAdoption {
    stale_after: Duration,
    current: Option<Arc<ActiveConfig>>,
    confirmed_at: Option<Instant>,
}

impl ConfigAdoption {
    /// Creates a tracker without a configuration.
    ///
    /// A configuration goes stale when nothing confirms it for `stale_after`.
    pub fn new(stale_after: Duration) -> Self {
        Self {
            stale_after,
            current: None,
            confirmed_at: None,
        }
    }

    /// Adopts a configuration if its revision is higher, and returns whether it did.
    ///
    /// Adopting a configuration does not confirm it: call [`Self::confirm`] with the
    /// time at which the sender was heard.
    ///
    /// # Errors
    ///
    /// Fails, and changes nothing, if the text does not match its digest or cannot be
    /// parsed, or if it differs from the text in force for the same revision.
    pub fn offer(&mut self, config: AcceptedConfig) -> Result<bool, ConfigRejected> {
        let held = self.revision();
        if config.revision < held || config.revision == Revision::default() {
            return Ok(false);
        }
        check_digest(&config)?;
        if let Some(current) = &self.current
            && config.revision == held
        {
            return check_same_digest(&current.accepted, &config).map(|()| false);
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

    /// Records that the platform or a peer reported a revision at `now`.
    ///
    /// A revision higher than the one held shows that the held one is out of date, so
    /// it does not count as a confirmation.
    pub fn confirm(&mut self, revision: Revision, now: Instant) {
        if self.current.is_some() && revision <= self.revision() {
            self.confirmed_at = self.confirmed_at.max(Some(now));
        }
    }

    /// Returns the adopted configuration, whether in force or stale.
    pub fn current(&self) -> Option<&Arc<ActiveConfig>> {
        self.current.as_ref()
    }

    /// Returns whether the configuration allows new work at `now`.
    ///
    /// Call this for each request: it is how a process that was paused notices that
    /// its configuration has gone stale.
    pub fn status(&self, now: Instant) -> ConfigStatus {
        if self.current.is_none() {
            return ConfigStatus::NoConfig;
        }
        let Some(confirmed_at) = self.confirmed_at else {
            return ConfigStatus::Stale { age: Duration::MAX };
        };
        match now.saturating_duration_since(confirmed_at) {
            age if age > self.stale_after => ConfigStatus::Stale { age },
            _ => ConfigStatus::InForce,
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

fn check_same_digest(
    held: &AcceptedConfig,
    offered: &AcceptedConfig,
) -> Result<(), ConfigRejected> {
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
