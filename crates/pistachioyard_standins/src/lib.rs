//! Small stand-ins of what surrounds the router, for tests and the demo.

mod engine;
mod token;

pub use engine::{EngineError, EngineFaults, EngineSettings, RunRecord, run_engine};
pub use token::{PrefixState, reference_tokens, run_layers, seed_state};
