//! Tests that an accepted configuration is in force everywhere within seconds and is never
//! reverted.

mod apply;
mod command_line;
mod isolation;
mod support;
