//! Arguments and settings of a site's processes, and the operators' configuration.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde_json::{Value, json};

use super::layout::Layout;
use super::process::Process;
use super::support::{DATA_CENTRES, ENTRY_PORTS, Entry, KEY};

/// Returns the path of the stand-ins' binary.
pub(crate) fn standins_binary() -> PathBuf {
    // Cargo puts all binaries of the workspace into one directory.
    let router = Path::new(env!("CARGO_BIN_EXE_pistachioyard"));
    router.with_file_name("pistachioyard_standins")
}

/// Returns the process of an endpoint, not yet started and without the arguments of its layout.
pub(crate) fn endpoint_process(
    standins: &Path,
    name: String,
    data_centre: &str,
    store: SocketAddr,
) -> Process {
    let args = [
        "--exit-with-stdin",
        "site-worker",
        "--id",
        &name,
        "--zone",
        data_centre,
        "--store",
        &store.to_string(),
    ];
    let args = args.map(str::to_owned).to_vec();
    Process::new(name, standins.to_owned(), args)
}

/// Writes an entry's settings file and returns the entry, not yet started.
pub(crate) fn entry(
    files: &Path,
    index: usize,
    ip: std::net::IpAddr,
    store: SocketAddr,
    layout: &Layout,
) -> Entry {
    let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
    let name = format!("entry-{index}");
    let file = files.join(format!("{name}.toml"));
    let settings = settings(&name, data_centre, ip, store, layout);
    std::fs::write(&file, &settings).expect("the settings file can be written");
    let mut args = vec![
        "route",
        "--config",
        file.to_str().expect("the path is UTF-8"),
    ];
    if layout.has_load_controls {
        args.extend(["--load-control", "admission,departures,reading,returns"]);
    }
    let args = args.into_iter().map(str::to_owned).collect();
    let process = Process::new(name, env!("CARGO_BIN_EXE_pistachioyard").into(), args);
    Entry {
        process,
        ip,
        settings,
    }
}

fn settings(
    name: &str,
    data_centre: &str,
    ip: std::net::IpAddr,
    store: SocketAddr,
    layout: &Layout,
) -> String {
    let retry_slack = layout.retry_slack;
    let limits = layout.memory_mb.map_or(String::new(), |memory_mb| {
        format!("[limits]\nmemory_mb = {memory_mb}")
    });
    let [callers, ready, directory, peers, _] = ENTRY_PORTS;
    format!(
        r#"
node = "{name}"
zone = "{data_centre}"
region = "here"
ip = "{ip}"
port_range = [{peers}, {peers}]
bootstrap = true
heartbeat_ms = 300
unknown = "fields are ignored"
[listen]
front = "{ip}:{callers}"
ready = "{ip}:{ready}"
directory = "{ip}:{directory}"
[bounds]
drain_ms = 2000
config_ms = 2000
grace_s = 4
retry_budget_ratio = 0.2
budget_slack = {retry_slack}
budget_window_s = 10
stall_ms = 2500
ttl_max_s = 5
{limits}
[platform]
address = "{store}"
writes_per_s = 400
reads_per_s = 2000
"#
    )
}

/// Returns a configuration with the fixed routes and `extra` additional ones for each host.
pub(crate) fn config(version: u64, extra: u64, hosts: &[String]) -> Value {
    let mut routes = Vec::new();
    for host in hosts {
        let mut add = |name: &str, kind: &str, service: &str, attempts: u64| {
            routes.push(json!({
                "name": format!("{name}-{host}"), "host": host,
                "path_prefix": format!("/{name}/"), "kind": kind, "timeout_ms": 6000,
                "target_latency_ms": 500, "priority": 1, "service": service,
                "max_attempts": attempts, "anonymous": false,
                "resumable": kind == "streaming", "gap_target_ms": 200,
            }));
        };
        add("draft", "streaming", "model", 2);
        add("record", "non_idempotent", "records", 1);
        add("lookup", "idempotent", "records", 2);
        add("feed", "streaming", "records", 2);
        for n in 1..=extra {
            add(&format!("extra-{n}"), "idempotent", "records", 2);
        }
    }
    json!({
        "version": version, "routes": routes,
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 100_000,
            "header_timeout_ms": 3000, "idle_timeout_ms": 5000 },
        "tenants": [{ "name": "one", "api_keys": [KEY], "priority": 1 }],
        "services": [
            { "name": "model", "max_connections": 200, "engine": {
                "slots": 64, "kv_token_bytes": 8000, "step_ms": 1.0, "per_seq_ms": 0.001,
                "context_per_k": 0.001, "read_per_s": 100_000.0, "report_lag_ms": 20.0,
                "loads_at_once": 4, "usual": { "prompt": 100, "answer": 20 },
                "models": [{ "name": "m", "load_s": 0.04 }], "layers": 8, "layer_mb": 1000.0,
                "activation_bytes": 1000, "pipe_mbps": 1000.0,
                "kinds": [{ "name": "small", "size_mb": 4200.0, "pace": 1.0, "read_factor": 1.0 }],
            } },
            { "name": "records", "max_connections": 100 },
        ],
    })
}
