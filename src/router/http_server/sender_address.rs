//! Where a request came from.

use std::net::SocketAddr;

/// The address of the connection on which a request arrived, in the extensions of the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct SenderAddress(pub(crate) SocketAddr);
