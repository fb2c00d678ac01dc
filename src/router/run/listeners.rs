//! The sockets on which the router daemon listens.

use std::net::SocketAddr;

use pistachioyard_platform::NodeSettings;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::Notify;

use crate::prelude::*;
use crate::router::http_server::{self, Service};
use crate::router::metric::Exporter;
use crate::router::{Router, controller};
use crate::start::{self, StartError, StartStep};

/// The port of the metrics server; `deploy/system.toml` has the same number.
const METRICS_PORT: u16 = 9_464;

/// Holds the sockets without which an entry does not serve.
///
/// They are opened together: while one of them cannot be opened, connections to the others are
/// refused and wait for nothing.
pub(super) struct Listeners {
    gossip: UdpSocket,
    servers: Vec<(TcpListener, Service)>,
}

impl Listeners {
    /// Opens all sockets, that for callers last.
    pub(super) fn open(settings: &NodeSettings) -> Result<Self, StartError> {
        let gossip = bind_udp(settings.peer_address)
            .map_err(|e| StartError::listen(StartStep::Gossip, settings.peer_address, e))?;
        let addresses = [
            (
                Some(settings.peer_address),
                StartStep::Peers,
                Service::Peers,
            ),
            (
                settings.directory_address,
                StartStep::Directory,
                Service::Directory,
            ),
            (
                Some(settings.ready_address),
                StartStep::Readiness,
                Service::Readiness,
            ),
            (
                Some(settings.caller_address),
                StartStep::Callers,
                Service::Callers,
            ),
        ];
        let mut servers = Vec::new();
        for (address, step, service) in addresses {
            if let Some(address) = address {
                servers.push((bind(step, address)?, service));
            }
        }
        Ok(Self { gossip, servers })
    }

    /// Serves all of them, and starts the controllers.
    pub(super) fn serve(self, router: &Arc<Router>) {
        for (listener, service) in self.servers {
            supervise_server(router, listener, service);
        }
        controller::start(router, self.gossip);
    }
}

/// Serves the metrics once their port can be opened; an entry serves without them.
pub(super) async fn serve_metrics(router: Arc<Router>, metrics: Exporter, hurry: Arc<Notify>) {
    let address = SocketAddr::new(router.settings.caller_address.ip(), METRICS_PORT);
    let listener = start::repeat(&hurry, || bind(StartStep::Metrics, address)).await;
    supervise_server(&router, listener, Service::Metrics(metrics));
}

fn supervise_server(router: &Arc<Router>, listener: TcpListener, service: Service) {
    let listener = Arc::new(listener);
    controller::supervise(router, service.task(), move |router| {
        http_server::accept(router, listener.clone(), service.clone())
    });
}

fn bind(step: StartStep, address: SocketAddr) -> Result<TcpListener, StartError> {
    http_server::bind(address).map_err(|e| StartError::listen(step, address, e))
}

fn bind_udp(address: SocketAddr) -> std::io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}
