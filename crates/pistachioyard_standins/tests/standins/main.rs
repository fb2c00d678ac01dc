//! Tests the stand-ins as real processes.

mod http;
mod launch;
mod platform;
mod proxy;
mod service;
mod support;
