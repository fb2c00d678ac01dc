//! Where a request came from.

use std::net::SocketAddr;

use super::activity::ActiveRequest;
use crate::prelude::*;

/// The connection on which a request arrived, in the extensions of the request.
#[derive(Clone, Debug)]
pub(crate) struct RequestOrigin {
    /// The address of the caller or peer.
    pub(crate) address: SocketAddr,
    /// Counts the request as in progress on its connection.
    pub(crate) in_progress: Arc<ActiveRequest>,
}
