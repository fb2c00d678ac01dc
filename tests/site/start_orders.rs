//! The parts of a site start in any order, and what is wrong at the start of the entries passes.

mod empty_store;

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use futures_util::stream::{self, StreamExt};
use http::Method;
use parking_lot::Mutex;
use pistachioyard_standins::{FaultKind, FaultRule, wait_until};
use serde_json::{Value, json};

use super::caller::Failure;
use super::layout::Layout;
use super::support::{Entry, Site};

/// Until when every entry serves again after the last part is there; `recovery_s` of the operators.
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);
/// How long an entry may take to know a change; `catch_up_s` of the operators.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(4);
/// The time between the starts of two parts, in which the earlier ones fail and back off.
const PART_DELAY: Duration = Duration::from_millis(1_500);
/// How long something is wrong at the start of the entries.
const FAULT_TIME: Duration = Duration::from_millis(2_500);
/// A fencing token of orders that were given before the entries started.
const EARLIER_FENCE: u64 = 40;
/// The time between two starts of an endpoint that ends again and again; shorter than entries wait
/// for others that start.
const RESTART_PERIOD: Duration = Duration::from_millis(350);
/// The number of sites that run at the same time.
const SITES_AT_ONCE: usize = 4;

/// Names what starts by itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Part {
    Config,
    Endpoints,
    Entries,
    Store,
}

impl Site {
    async fn add_part(&mut self, part: Part) {
        match part {
            Part::Config => assert!(self.apply_config().await, "the store accepts it"),
            Part::Endpoints => self.start_endpoints(),
            Part::Entries => self.start_entries(),
            Part::Store => self.start_store().await,
        }
    }

    /// Returns a site of two entries of which these parts have been started.
    async fn start_parts(parts: &[Part]) -> Self {
        let mut site = Self::prepare(Layout {
            entries: 2,
            ..Layout::default()
        });
        for part in parts {
            site.add_part(*part).await;
        }
        site
    }

    /// Sets the fault of the connections of all entries to the store; none clears it.
    async fn set_store_cut(&self, kind: Option<FaultKind>) {
        let rules = kind.map(|kind| FaultRule {
            from: None,
            to: Some(self.proxied_store),
            kind,
        });
        self.set_proxy_faults(rules.as_slice()).await;
    }

    /// Sends a request of each kind; returns the first that was not answered as it should be.
    async fn check_each_kind(&self, entry: &Entry) -> Result<(), (&'static str, Failure)> {
        let to = entry.caller_address();
        for path in ["/record/a", "/lookup/a", "/feed/a"] {
            let outcome = self.check_plain(to, path).await;
            outcome.result.map_err(|failure| (path, failure))?;
        }
        let result = self.check_stream(to).await;
        result.map_err(|failure| ("/draft/a", failure))
    }

    /// Waits until an entry is ready and serves each kind; returns what it lacks at the limit.
    async fn await_each_kind(&self, entry: &Entry) -> Option<String> {
        let last = Mutex::new(String::new());
        let is_served = || async {
            let ready = self.call(entry.ready_address(), Method::GET, "/ready", Value::Null);
            let (ready, served) = (ready.await, self.check_each_kind(entry).await);
            *last.lock() = format!("ready: {ready:?}, served: {served:?}");
            ready == Some(200) && served.is_ok()
        };
        let served = wait_until(RECOVERY_LIMIT, &entry.process.name, is_served);
        served.await.err().map(|_| last.into_inner())
    }

    /// Checks that every entry is ready and serves each kind of request in time, and then adopts a
    /// further change of the configuration.
    async fn check_recovery(&self, what: &str) {
        let began = Instant::now();
        let missing = join_all(self.entries.iter().map(|entry| self.await_each_kind(entry)));
        let missing: Vec<_> = missing.await.into_iter().flatten().collect();
        println!("{what}: {} ms", began.elapsed().as_millis());
        assert!(missing.is_empty(), "{what}: {missing:?}");
        let path = self.add_route().await.expect("the store accepts it");
        let entries = self.entries.iter();
        let known = join_all(
            entries.map(|entry| self.await_path(entry.caller_address(), &path, CATCH_UP_LIMIT)),
        );
        let known = known.await;
        assert!(
            known.iter().all(|known| *known),
            "{what}: {path}: {known:?}"
        );
    }
}

/// Returns all orders of the parts in which the configuration follows the store.
fn orders() -> Vec<Vec<Part>> {
    let mut orders = vec![Vec::new()];
    for part in [Part::Store, Part::Config, Part::Endpoints, Part::Entries] {
        let longer = orders.iter().flat_map(|order: &Vec<Part>| {
            let store = order.iter().position(|other| *other == Part::Store);
            let first = match part {
                Part::Config => store.map_or(0, |at| at + 1),
                _ => 0,
            };
            (first..=order.len()).map(move |at| {
                let mut order = order.clone();
                order.insert(at, part);
                order
            })
        });
        orders = longer.collect();
    }
    orders
}

/// Guards against an entry that never serves because something it needs came after it.
#[tokio::test(flavor = "multi_thread")]
async fn entries_serve_whatever_order_the_parts_of_a_site_start_in() {
    let orders = orders();
    assert_eq!(orders.len(), 12);
    stream::iter(orders)
        .for_each_concurrent(SITES_AT_ONCE, |order| async move {
            let (first, later) = order.split_first().expect("an order has parts");
            let mut site = Site::start_parts(&[*first]).await;
            for part in later {
                tokio::time::sleep(PART_DELAY).await;
                site.add_part(*part).await;
            }
            site.check_recovery(&format!("{order:?}")).await;
        })
        .await;
}

/// Guards against an entry that gives up on a store which refuses all calls at its start.
#[tokio::test(flavor = "multi_thread")]
async fn entries_serve_after_a_store_that_refused_them_at_their_start() {
    join_all([429, 500, 503].map(|status| async move {
        let mut site = Site::start_parts(&[Part::Store, Part::Config, Part::Endpoints]).await;
        site.set_store_fault(status).await;
        site.start_entries();
        tokio::time::sleep(FAULT_TIME).await;
        site.set_store_fault(0).await;
        site.check_recovery(&format!("status {status}")).await;
    }))
    .await;
}

/// Guards against an entry that waits for an answer which never comes.
#[tokio::test(flavor = "multi_thread")]
async fn entries_serve_after_a_store_that_did_not_answer_at_their_start() {
    let kinds = [FaultKind::Stall, FaultKind::Cut, FaultKind::CutFromTarget];
    join_all(kinds.map(|kind| async move {
        let mut site = Site::start_parts(&[Part::Store, Part::Config, Part::Endpoints]).await;
        let what = format!("{kind:?}");
        site.set_store_cut(Some(kind)).await;
        site.start_entries();
        tokio::time::sleep(FAULT_TIME).await;
        site.set_store_cut(None).await;
        site.check_recovery(&what).await;
    }))
    .await;
}

/// Guards against an entry that waits for what a store had before it came back from a copy without
/// the configuration and the endpoints.
#[tokio::test(flavor = "multi_thread")]
async fn entries_serve_after_a_store_that_came_back_from_a_copy_at_their_start() {
    join_all([false, true].map(|silent| async move {
        let mut site = Site::start_parts(&[Part::Store]).await;
        site.control_store("copy", json!({})).await;
        site.add_part(Part::Config).await;
        site.add_part(Part::Endpoints).await;
        tokio::time::sleep(PART_DELAY).await;
        site.start_entries();
        let restore = json!({ "away_ms": 1_500, "silent": silent });
        site.control_store("restore", restore).await;
        assert!(site.apply_config().await, "the store accepts it");
        site.check_recovery(&format!("copy, silent: {silent}"))
            .await;
    }))
    .await;
}

/// Guards against an entry that takes no configuration after one that it has rejected.
#[tokio::test(flavor = "multi_thread")]
async fn entries_serve_after_a_first_configuration_that_they_reject() {
    let mut site = Site::start_parts(&[Part::Store, Part::Endpoints]).await;
    let remove = |spec: &mut Value| spec["services"] = json!("none");
    assert!(site.apply_config_with(remove).await, "the store accepts it");
    site.start_entries();
    tokio::time::sleep(FAULT_TIME).await;
    assert!(site.apply_config().await, "the store accepts it");
    site.check_recovery("rejected first").await;
}

/// Guards against an entry that waits for runs of endpoints and entries which the store still lists
/// and which ended with their machines.
#[tokio::test(flavor = "multi_thread")]
async fn entries_serve_after_all_machines_but_the_store_have_started_again() {
    let orders = [
        [Part::Entries, Part::Endpoints],
        [Part::Endpoints, Part::Entries],
    ];
    let cases = orders.map(|order| [(order, false), (order, true)]);
    join_all(
        cases
            .into_iter()
            .flatten()
            .map(|(order, is_cut)| async move {
                let parts = [Part::Store, Part::Config, Part::Endpoints, Part::Entries];
                let mut site = Site::start_parts(&parts).await;
                site.check_recovery("before the machines start again").await;
                for entry in &mut site.entries {
                    entry.process.kill();
                }
                for endpoint in &mut site.endpoints {
                    endpoint.process.kill();
                }
                if is_cut {
                    site.set_store_cut(Some(FaultKind::Cut)).await;
                }
                for part in order {
                    tokio::time::sleep(PART_DELAY).await;
                    site.add_part(part).await;
                }
                if is_cut {
                    tokio::time::sleep(PART_DELAY).await;
                    site.set_store_cut(None).await;
                }
                let what = format!("{order:?}, store cut off: {is_cut}");
                site.check_recovery(&what).await;
            }),
    )
    .await;
}

/// Guards against a service that is never placed, since all endpoints of another one have ended or
/// are out of the reach of all entries.
#[tokio::test(flavor = "multi_thread")]
async fn entries_place_layers_while_another_service_is_out_of_reach() {
    let mut site = Site::start_parts(&[Part::Store, Part::Config, Part::Entries]).await;
    let (mut plain, engines) = std::mem::take(&mut site.endpoints)
        .into_iter()
        .partition(|endpoint| endpoint.is_plain);
    std::mem::swap(&mut site.endpoints, &mut plain);
    site.start_endpoints();
    join_all(site.entries.iter().map(|entry| async {
        let to = entry.caller_address();
        let served = || async { site.check_plain(to, "/lookup/a").await.result.is_ok() };
        let served = wait_until(RECOVERY_LIMIT, &entry.process.name, served).await;
        served.expect("the service without layers is served");
    }))
    .await;
    let cut = site.endpoints.iter().map(|endpoint| FaultRule {
        from: None,
        to: Some(endpoint.advertised),
        kind: FaultKind::CutNew,
    });
    let cut: Vec<FaultRule> = cut.collect();
    site.set_proxy_faults(&cut).await;
    for endpoint in &mut site.endpoints {
        endpoint.process.kill();
    }
    join_all(site.entries.iter().map(|entry| async {
        let is_noticed = || async {
            let _ = site.check_plain(entry.caller_address(), "/lookup/a").await;
            entry.process.log().contains("reach: service out of reach")
        };
        let noticed = wait_until(RECOVERY_LIMIT, &entry.process.name, is_noticed).await;
        noticed.expect("the entry notices that the service is out of reach");
    }))
    .await;
    site.endpoints = engines;
    site.start_endpoints();
    let began = Instant::now();
    for entry in &site.entries {
        let is_served = || async { site.check_stream(entry.caller_address()).await.is_ok() };
        let left = RECOVERY_LIMIT.saturating_sub(began.elapsed());
        let served = wait_until(left, &entry.process.name, is_served).await;
        served.expect("the service within reach is served");
    }
    println!(
        "another service out of reach: {} ms",
        began.elapsed().as_millis()
    );
}

/// Guards against an entry whose orders are all refused, since endpoints have seen a higher fencing
/// token than the store names.
#[tokio::test(flavor = "multi_thread")]
async fn entries_place_layers_on_endpoints_that_have_seen_a_higher_token() {
    let mut site = Site::start_parts(&[Part::Store, Part::Config, Part::Endpoints]).await;
    tokio::time::sleep(PART_DELAY).await;
    for endpoint in site.endpoints.iter().filter(|endpoint| !endpoint.is_plain) {
        let order = json!({ "from": 0, "to": 4, "fence": EARLIER_FENCE });
        let begun = site.call(endpoint.address, Method::POST, "/order", order);
        assert_eq!(begun.await, Some(202));
    }
    tokio::time::sleep(PART_DELAY).await;
    site.start_entries();
    site.check_recovery("higher token").await;
}

/// Guards against a service that is never placed, since one of its endpoints keeps starting again.
#[tokio::test(flavor = "multi_thread")]
async fn entries_place_layers_beside_an_endpoint_that_keeps_starting() {
    let mut site = Site::start_parts(&[Part::Store, Part::Config, Part::Entries]).await;
    let mut restarting = site.endpoints.remove(0);
    assert!(!restarting.is_plain, "it is to hold layers");
    let launcher = site.launcher.clone();
    let restarts = async {
        loop {
            restarting.process.start(&launcher);
            tokio::time::sleep(RESTART_PERIOD).await;
        }
    };
    site.start_endpoints();
    tokio::select! {
        () = restarts => {}
        () = site.check_recovery("an endpoint that keeps starting") => {}
    }
}
