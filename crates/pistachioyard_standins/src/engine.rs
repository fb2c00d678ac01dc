//! The stand-in of a model engine.
//!
//! An engine holds a range of layers, batches the steps of its streams
//! continuously, and passes activations to the next stage over its own links. The
//! protocol is described in `docs/design/protocols.md`.

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

/// The largest request body accepted, in bytes.
const MAX_BODY_BYTES: usize = 4_000_000;

/// Why an engine process ended.
#[derive(Debug, thiserror::Error)]
pub enum EngineError {
    /// The API could not be put together.
    #[error("the engine's API cannot be described: {0}")]
    Describe(#[from] dropshot::ApiDescriptionRegisterError),
    /// The server could not start.
    #[error("the engine cannot listen: {0}")]
    Listen(#[from] dropshot::BuildError),
    /// The server ended.
    #[error("the engine's server ended: {why}")]
    Serve {
        /// The server's reason.
        why: String,
    },
}

/// Runs one engine until its server ends; prints `listening ADDRESS` first.
///
/// # Errors
///
/// Fails if the address cannot be listened on or the server ends.
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
    server.await.map_err(|why| EngineError::Serve { why })
}
