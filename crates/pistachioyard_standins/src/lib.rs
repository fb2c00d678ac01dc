//! Stand-ins for the platform, engines and services, and the tools that run them.
//!
//! The stand-ins are real processes that speak the wire protocols of
//! [`pistachioyard_wire`]. Faults are injected through `/control/` calls. The stand-ins
//! are deliberately minimal: they exercise the router's handling of faults and do not
//! reproduce the performance of real back ends. Integration tests, the demo and the
//! bench start them with a [`Launcher`] and talk to them with an [`HttpClient`]; a
//! [`Cluster`] runs a complete deployment.

mod bench;
mod cluster;
mod demo;
mod deployment;
mod engine;
mod http;
mod launch;
mod platform;
mod proxy;
mod scale;
mod server;
mod service;
mod site;
mod token;

pub use bench::{BenchArgs, BenchError, run_bench};
pub use cluster::{
    Answer, Binaries, Caller, Cluster, ClusterError, ClusterPlan, EndpointProcess, EngineSpec,
    EntryProcess, GenerateEnd, draft_request,
};
pub use demo::{DemoArgs, DemoError, run_demo};
pub use deployment::{ClusterSize, Deployment};
pub use engine::{EngineError, EngineFaults, EngineSettings, RunRecord, run_engine};
pub use http::{BodyLines, HttpAnswer, HttpClient, HttpClientConfig, HttpClientError, SseReader};
pub use launch::{AddressPool, Child, LaunchError, Launcher, exit_when_stdin_closes, wait_until};
pub use platform::{CallCounts, PlatformArgs, PlatformFaults, run_platform};
pub use proxy::{FaultKind, FaultRule, ParseRouteError, ProxyArgs, Route, run_proxy};
pub use scale::{ScaleArgs, ScaleError, run_scale};
pub use server::ServeError;
pub use service::{EffectAnswer, EffectRecord, ServiceArgs, ServiceFaults, run_service};
pub use site::{SiteStoreArgs, SiteWorkerArgs, run_site_store, run_site_worker};
pub use token::{PrefixState, reference_tokens, run_layers, seed_state};
