//! Starts stand-ins and waits until they listen.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use pistachioyard_standins::{
    AddressPool, Child, HttpClient, HttpClientConfig, Launcher, wait_until,
};

/// The time limit for each condition that a test waits for.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the path of the program that contains the stand-ins.
pub(crate) fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_pistachioyard_standins"))
}

/// Holds what a test needs to start and call processes.
pub(crate) struct Harness {
    pub(crate) client: HttpClient,
    pub(crate) launcher: Launcher,
    pub(crate) pool: AddressPool,
}

impl Harness {
    pub(crate) fn new() -> Self {
        Self {
            client: HttpClient::new(HttpClientConfig::default()),
            launcher: Launcher::new().expect("a directory for logs"),
            pool: AddressPool::new().expect("a free prefix"),
        }
    }

    /// Starts a stand-in by its subcommand and waits until it accepts connections.
    pub(crate) async fn start(&self, command: &str, extra_args: &[&str]) -> (Child, SocketAddr) {
        let address = self.pool.next_address().expect("a free address");
        let listen = address.to_string();
        let flag = match command {
            "proxy" => "--listen-control",
            _ => "--listen",
        };
        let mut args = vec!["--exit-with-stdin", command, flag, &listen];
        args.extend(extra_args);
        let child = self
            .launcher
            .spawn(command, program(), args)
            .expect("a started stand-in");
        wait_until(TIMEOUT, "the stand-in to listen", async || {
            tokio::net::TcpStream::connect(address).await.is_ok()
        })
        .await
        .expect("a listening stand-in");
        (child, address)
    }

    pub(crate) async fn start_service(&self) -> (Child, SocketAddr) {
        let args = [
            "--endpoint=service-1",
            "--host=host-1",
            "--data-centre=split-a",
            "--service=submissions",
        ];
        self.start("service", &args).await
    }
}
