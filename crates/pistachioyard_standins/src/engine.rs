//! A stand-in for a model engine.
//!
//! An engine holds a range of a model's layers, runs the steps of its streams with
//! continuous batching, and sends activations to the next stage over its own links.
//! The protocol is described in `docs/design/protocols.md`.

mod admission;
mod api;
mod batch;
mod cache;
mod control;
mod core;
mod flow;
mod kv;
mod link;
mod link_message;
mod loss;
mod open;
mod orders;
mod report;
mod settings;
mod stream;

use std::sync::Arc;

use dropshot::{ConfigDropshot, HandlerTaskMode, ServerBuilder};

pub use control::{EngineFaults, RunRecord};
pub use settings::EngineSettings;

use self::core::Engine;

/// The maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 4_000_000;

/// Reports why an engine process ended.
#[derive(Debug, thiserror::Error)]
pub enum EngineError {
    /// A handler conflicts with another handler of the API.
    #[error("cannot register the engine's API handlers: {0}")]
    Describe(#[from] dropshot::ApiDescriptionRegisterError),
    /// The server could not start.
    #[error("cannot start the engine's server: {0}")]
    Listen(#[from] dropshot::BuildError),
    /// The server ended, although nothing stopped it.
    #[error("the engine's server ended unexpectedly: {reason}")]
    Serve {
        /// The reason that the server gives.
        reason: String,
    },
}

/// Runs one engine until its server ends.
///
/// Prints `listening ADDRESS` once the server accepts connections.
///
/// # Errors
///
/// Fails when the server cannot listen on the address or ends unexpectedly.
pub async fn run_engine(settings: EngineSettings) -> Result<(), EngineError> {
    let config = ConfigDropshot {
        bind_address: settings.listen,
        default_handler_task_mode: HandlerTaskMode::Detached,
        default_request_body_max_bytes: MAX_BODY_BYTES,
        ..ConfigDropshot::default()
    };
    let engine = Engine::new(settings);
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let server = ServerBuilder::new(api::describe_api()?, Arc::clone(&engine), log)
        .config(config)
        .start()?;
    tokio::spawn(batch::run_batches(Arc::clone(&engine)));
    tokio::spawn(report::run_sampler(engine));
    println!("listening {}", server.local_addr());
    server.await.map_err(|reason| EngineError::Serve { reason })
}
