//! An accepted configuration is in force everywhere within seconds and never
//! reverts.

mod command_line;
mod cuts;
mod force;
mod support;
