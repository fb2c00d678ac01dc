//! Callers that keep their connections.

use std::collections::BTreeMap;

use futures_util::future::join_all;

use crate::caller::{Failure, Outcome, new_request_id};
use crate::raw::{Exchange, RawConnection};
use crate::support::Site;

/// Holds connections of callers, one to each entry, which are used until they end.
#[derive(Default)]
pub(super) struct KeptConnections {
    open: BTreeMap<usize, RawConnection>,
}

impl KeptConnections {
    /// Sends a request on the connection to each entry, and opens those that have ended.
    pub(super) async fn send(&mut self, site: &Site) -> Vec<Outcome> {
        let mut sent = Vec::new();
        for entry in 0..site.entries.len() {
            let to = site.entries[entry].caller_address();
            let connection = match self.open.remove(&entry) {
                Some(connection) => Some(connection),
                None => RawConnection::try_open(to).await,
            };
            sent.push(async move {
                let mut connection = connection?;
                let id = new_request_id();
                if !connection.write("/record/a", &id, &[]).await {
                    return None;
                }
                let (result, left) = match connection.read().await {
                    Exchange::Complete(200, _) => (Ok(()), Some(connection)),
                    Exchange::Complete(status @ (408 | 421 | 429 | 503), _) => {
                        (Err(Failure::NotRun(status)), Some(connection))
                    }
                    Exchange::Complete(status, _) => {
                        let why = format!("status {status}");
                        (Err(Failure::Unknown(why)), Some(connection))
                    }
                    Exchange::Cut(why) => (Err(Failure::Unknown(why)), None),
                };
                Some((entry, Outcome { id, result }, left))
            });
        }
        let mut outcomes = Vec::new();
        for (entry, outcome, left) in join_all(sent).await.into_iter().flatten() {
            self.open.extend(left.map(|connection| (entry, connection)));
            outcomes.push(outcome);
        }
        outcomes
    }
}
