//! Starts and signals processes for integration tests and the demo.

mod address_pool;
mod child;
mod error;
mod launcher;
mod stdin;
mod wait;

pub use address_pool::AddressPool;
pub use child::Child;
pub use error::LaunchError;
pub use launcher::Launcher;
pub use stdin::exit_when_stdin_closes;
pub use wait::wait_until;
