//! The reference model, which defines the correct answer to a prompt.
//!
//! A token is a hash of the prompt, the tokens so far and then each layer in order.
//! Skipping, repeating or swapping a layer changes the token, so a test can compute
//! the correct answer on its own and compare all of it.

use pistachioyard_wire::LayerRange;
use xxhash_rust::xxh3::Xxh3;

/// 2^64 divided by the golden ratio; spreads small values over all bits.
const VALUE_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
/// A multiplier of the MurmurHash3 finalizer.
const MIX_FACTOR: u64 = 0xff51_afd7_ed55_8ccd;

/// Mixes `value` into `acc`, so that the result depends on the order of the values.
fn mix(acc: u64, value: u64) -> u64 {
    let keyed = acc.rotate_left(23) ^ value.wrapping_add(1).wrapping_mul(VALUE_FACTOR);
    let spread = keyed.wrapping_mul(MIX_FACTOR);
    spread ^ (spread >> 32)
}

/// Holds the digest of a prompt and the tokens so far.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PrefixState(u64);

impl PrefixState {
    /// Creates the digest of a prompt without tokens.
    pub fn new(model: &str, version: &str, prompt: &str) -> Self {
        let mut hasher = Xxh3::new();
        for part in [model, version, prompt] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        Self(hasher.digest())
    }

    /// Adds a token to the digest.
    pub fn push(&mut self, token: u64) {
        self.0 = mix(self.0, token);
    }

    /// Returns the input state of the first layer.
    pub fn seed(self) -> u64 {
        self.0
    }
}

/// Returns the input state of the first layer for a prompt and the tokens so far.
pub fn seed_state(model: &str, version: &str, prompt: &str, tokens: &[u64]) -> u64 {
    let mut prefix = PrefixState::new(model, version, prompt);
    for token in tokens {
        prefix.push(*token);
    }
    prefix.seed()
}

/// Runs a range of layers on a state; the result of the last layer is the token.
pub fn run_layers(state: u64, layers: LayerRange) -> u64 {
    (layers.first()..layers.end()).fold(state, |acc, layer| mix(acc, u64::from(layer)))
}

/// Returns the first `count` tokens of the correct answer.
pub fn reference_tokens(
    model: &str,
    version: &str,
    prompt: &str,
    layers: u32,
    count: u32,
) -> Vec<u64> {
    let mut prefix = PrefixState::new(model, version, prompt);
    let mut tokens = Vec::with_capacity(count as usize);
    for _ in 0..count {
        let token = (0..layers).fold(prefix.seed(), |acc, layer| mix(acc, u64::from(layer)));
        prefix.push(token);
        tokens.push(token);
    }
    tokens
}
