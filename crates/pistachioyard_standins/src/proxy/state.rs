//! The routes and rules of the fault proxy.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::connection;
use super::control::{FaultKind, FaultRule, Route};
use super::endless::Endless;
use super::syn_filter;
use crate::server::ServeError;

/// The pause before accepting again after an error.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Holds the rules in force.
#[derive(Clone, Debug, Default)]
pub(crate) struct RuleSet {
    /// Incremented by each replacement, so that byte counts restart.
    pub(crate) generation: u64,
    rules: Arc<[FaultRule]>,
}

/// Combines the faults of all rules that match one connection.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ActiveFaults {
    pub(crate) cut: bool,
    pub(crate) cut_on_use: bool,
    pub(crate) cut_to_target: bool,
    pub(crate) cut_from_target: bool,
    pub(crate) delay: Duration,
    pub(crate) drop_after: Option<u64>,
    pub(crate) endless: Option<Endless>,
    pub(crate) stall: bool,
}

impl RuleSet {
    pub(crate) fn active_faults(&self, source: IpAddr, listen: SocketAddr) -> ActiveFaults {
        let mut faults = ActiveFaults::default();
        for rule in self.rules.iter().filter(|r| r.matches(source, listen)) {
            faults.add(rule.kind);
        }
        faults
    }
}

impl ActiveFaults {
    fn add(&mut self, kind: FaultKind) {
        match kind {
            FaultKind::Cut => self.cut = true,
            FaultKind::CutOnUse => self.cut_on_use = true,
            // The filter of the listening socket applies it.
            FaultKind::CutNew => {}
            FaultKind::CutToTarget => self.cut_to_target = true,
            FaultKind::CutFromTarget => self.cut_from_target = true,
            FaultKind::Delay { ms } => self.delay += Duration::from_millis(ms),
            FaultKind::DropAfter { bytes } => {
                let lowest = self.drop_after.map_or(bytes, |limit| limit.min(bytes));
                self.drop_after = Some(lowest);
            }
            FaultKind::EndlessHead => self.endless = Some(Endless::Head),
            FaultKind::EndlessBody => self.endless = Some(Endless::Body),
            FaultKind::EndlessFailure => self.endless = Some(Endless::Failure),
            FaultKind::EndlessInterim => self.endless = Some(Endless::Interim),
            FaultKind::SilentFailure => self.endless = Some(Endless::Silence),
            FaultKind::Stall => self.stall = true,
        }
    }
}

/// Holds the state of the fault proxy.
#[derive(Debug)]
pub(crate) struct ProxyState {
    routes: Mutex<BTreeMap<SocketAddr, SocketAddr>>,
    listeners: Mutex<BTreeMap<SocketAddr, Arc<TcpListener>>>,
    rules: watch::Sender<RuleSet>,
}

impl ProxyState {
    pub(crate) fn new() -> Self {
        Self {
            routes: Mutex::default(),
            listeners: Mutex::default(),
            rules: watch::Sender::new(RuleSet::default()),
        }
    }

    /// Opens a route, or changes the target of an open one.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub(crate) async fn add_route(self: &Arc<Self>, route: Route) -> Result<(), ServeError> {
        let Route { listen, target } = route;
        if let Some(current) = self.routes.lock().get_mut(&listen) {
            *current = target;
            return Ok(());
        }
        let listener = TcpListener::bind(listen)
            .await
            .map_err(|source| ServeError::Route { listen, source })?;
        self.routes.lock().insert(listen, target);
        let listener = Arc::new(listener);
        self.listeners.lock().insert(listen, listener.clone());
        self.filter_listeners()
            .map_err(|source| ServeError::Route { listen, source })?;
        tokio::spawn(Arc::clone(self).accept(listener, listen));
        Ok(())
    }

    pub(crate) fn routes(&self) -> Vec<Route> {
        let routes = self.routes.lock();
        let route = |(&listen, &target)| Route { listen, target };
        routes.iter().map(route).collect()
    }

    /// Replaces the rules in force.
    ///
    /// # Errors
    ///
    /// Fails when a filter cannot be attached to a listening socket.
    pub(crate) fn set_rules(&self, rules: Vec<FaultRule>) -> io::Result<()> {
        self.rules.send_modify(|set| {
            set.generation += 1;
            set.rules = rules.into();
        });
        self.filter_listeners()
    }

    /// Makes each listening socket drop what opens connections from the sources that are cut off.
    fn filter_listeners(&self) -> io::Result<()> {
        let rules = self.rules.borrow().rules.clone();
        for (listen, listener) in &*self.listeners.lock() {
            let cut = rules.iter().filter(|rule| {
                rule.kind == FaultKind::CutNew && rule.to.is_none_or(|to| to == *listen)
            });
            let sources: Vec<Vec<u8>> = cut.map(FaultRule::source_octets).collect();
            syn_filter::set(listener, &sources)?;
        }
        Ok(())
    }

    async fn accept(self: Arc<Self>, listener: Arc<TcpListener>, listen: SocketAddr) {
        loop {
            let Ok((client, peer)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY).await;
                continue;
            };
            let target = self.routes.lock().get(&listen).copied();
            if let Some(target) = target {
                let route = Route { listen, target };
                let rules = self.rules.subscribe();
                tokio::spawn(connection::forward(client, peer.ip(), route, rules));
            }
        }
    }
}
