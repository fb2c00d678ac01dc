//! Outgoing connections from an address of this host.

mod connector;

use std::io::Result;
use std::net::{IpAddr, SocketAddr};
use std::sync::Once;

use nix::sys::socket::{setsockopt, sockopt};
use tokio::net::{TcpSocket, TcpStream};

pub(crate) use self::connector::Connector;

/// Connects to an address, from `local` if it is given.
///
/// The port is chosen when the destination is known. One that is chosen before is taken for all
/// destinations and all programs of the host, also while the closed connection waits for its end.
pub(crate) async fn open_stream(local: Option<IpAddr>, to: SocketAddr) -> Result<TcpStream> {
    let socket = match to {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    if let Some(local) = local {
        defer_port(&socket);
        socket.bind(SocketAddr::new(local, 0))?;
    }
    let stream = socket.connect(to).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Leaves the choice of the port to the connect.
fn defer_port(socket: &TcpSocket) {
    static LOGGED: Once = Once::new();
    if let Err(e) = setsockopt(socket, sockopt::IpBindAddressNoPort, &true) {
        LOGGED.call_once(|| {
            spdlog::warn!("http: ports are taken for all destinations", kv: {
                why = e.desc()
            });
        });
    }
}
