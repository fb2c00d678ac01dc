//! Entries that lose their links to endpoints, while callers, the store and the other entries
//! still reach them.

mod on_use;
mod placement;
mod return_of_links;
mod sparse;

use std::collections::BTreeSet;
use std::time::Duration;

use futures_util::future::join_all;
use pistachioyard_standins::{FaultKind, FaultRule};

use super::caller::{Failure, Outcome, new_request_id};
use super::support::Site;

/// How long an entry may take to serve its callers again after it was cut off;
/// `settle_window_ms` in the operators' rules.
const SETTLE_WINDOW: Duration = Duration::from_secs(3);
/// The number of requests of each kind that are sent to each entry.
const REQUESTS_PER_KIND: usize = 12;
/// The number of kinds of requests.
const KINDS: usize = 3;
/// The first tries that may fail whatever the share, and the share that may.
const FAILURES_ALLOWED: usize = 10;
const SHARE_ALLOWED: f64 = 1.0 / 50.0;
/// The least share of first tries served at cut entries, against the share at the others.
const LEAST_SHARE: f64 = 2.0 / 3.0;

/// Selects what happens to connections between a cut entry and the endpoints; new ones hang.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Cut {
    /// Open connections hang too.
    Hang,
    /// Open connections are reset.
    Reset,
    /// Open connections live on.
    LiveOn,
    /// All connections are accepted and reset.
    ResetAll,
    /// All connections are accepted, and reset when a request or an answer comes on them.
    ResetOnUse,
}

impl Cut {
    pub(crate) const ALL: [Self; 5] = [
        Self::Hang,
        Self::Reset,
        Self::LiveOn,
        Self::ResetAll,
        Self::ResetOnUse,
    ];
    /// The cuts that show when a connection is opened, before a request can be lost.
    pub(crate) const SEEN_ON_CONNECT: [Self; 4] =
        [Self::Hang, Self::Reset, Self::LiveOn, Self::ResetAll];

    fn faults(self) -> &'static [FaultKind] {
        match self {
            Self::Hang => &[FaultKind::CutNew, FaultKind::Stall],
            Self::Reset => &[FaultKind::CutNew, FaultKind::Cut],
            Self::LiveOn => &[FaultKind::CutNew],
            Self::ResetAll => &[FaultKind::Cut],
            Self::ResetOnUse => &[FaultKind::CutOnUse],
        }
    }
}

/// Holds how the first try of a request ended.
pub(crate) struct FirstTry {
    outcome: Outcome,
    is_at_most_once: bool,
}

impl FirstTry {
    fn is_served(&self) -> bool {
        self.outcome.result.is_ok()
    }
}

impl Site {
    /// Returns the rules that cut entries off from endpoints.
    pub(crate) fn cut_rules(
        &self,
        entries: &[usize],
        endpoints: &[usize],
        cut: Cut,
    ) -> Vec<FaultRule> {
        let mut rules = Vec::new();
        for entry in entries {
            for endpoint in endpoints {
                rules.extend(cut.faults().iter().map(|kind| FaultRule {
                    from: Some(self.entries[*entry].ip.to_string()),
                    to: Some(self.endpoints[*endpoint].advertised),
                    kind: *kind,
                }));
            }
        }
        rules
    }

    /// Cuts entries off from all endpoints.
    pub(crate) async fn cut_off(&self, entries: &[usize], cut: Cut) {
        let endpoints: Vec<usize> = (0..self.endpoints.len()).collect();
        let rules = self.cut_rules(entries, &endpoints, cut);
        self.set_proxy_faults(&rules).await;
    }

    /// Sends requests of each kind to an entry, and returns how each first try ended.
    pub(crate) async fn first_tries(&self, entry: usize) -> Vec<FirstTry> {
        let to = self.entries[entry].caller_address();
        let tries = (0..REQUESTS_PER_KIND * KINDS).map(|n| async move {
            let (is_at_most_once, outcome) = match n % KINDS {
                0 => {
                    let id = new_request_id();
                    let result = self.check_stream_with_id(to, &id).await;
                    (false, Outcome { id, result })
                }
                1 => (true, self.check_plain(to, "/record/a").await),
                _ => (false, self.check_plain(to, "/lookup/a").await),
            };
            FirstTry {
                outcome,
                is_at_most_once,
            }
        });
        join_all(tries).await
    }
}

fn served(tries: &[FirstTry]) -> usize {
    tries.iter().filter(|t| t.is_served()).count()
}

/// Checks first tries at cut entries against those at the others, as the operators do.
fn check_first_tries(cut: &[FirstTry], others: &[FirstTry], what: &str) {
    let sent = cut.len() + others.len();
    let failed = sent - served(cut) - served(others);
    let allowed = FAILURES_ALLOWED + (sent as f64 * SHARE_ALLOWED) as usize;
    let share = |tries: &[FirstTry]| served(tries) as f64 / tries.len().max(1) as f64;
    let is_broken = share(cut) < share(others) * LEAST_SHARE && failed > allowed;
    assert!(
        !is_broken,
        "{what}: cut entries served {} of {} first tries, the others {} of {}; first failure: {:?}",
        served(cut),
        cut.len(),
        served(others),
        others.len(),
        cut.iter().find_map(|t| t.outcome.result.as_ref().err()),
    );
}

/// Checks that no at-most-once request ran twice, and that none ran that was called not run.
async fn check_runs(site: &Site, tries: &[FirstTry], what: &str) {
    let runs = site.count_runs().await;
    for first_try in tries {
        let Outcome { id, result } = &first_try.outcome;
        let ran = runs.get(id).copied().unwrap_or_default();
        assert!(
            !first_try.is_at_most_once || ran <= 1,
            "{what}: {id} ran {ran} times"
        );
        if let Err(Failure::NotRun(status)) = result {
            assert_eq!(ran, 0, "{what}: {id} was refused with {status} and ran");
        }
    }
}

/// Cuts entries off in each way, and checks the first tries after the settle window.
async fn check_cuts(site: &Site, entries: &[usize]) {
    for cut in Cut::SEEN_ON_CONNECT {
        let what = format!("{cut:?}");
        // Connections are open and idle when the links are cut.
        for entry in 0..site.entries.len() {
            site.first_tries(entry).await;
        }
        site.cut_off(entries, cut).await;
        tokio::time::sleep(SETTLE_WINDOW).await;
        let tries = (0..site.entries.len()).map(|entry| site.first_tries(entry));
        let (mut at_cut, mut at_others) = (Vec::new(), Vec::new());
        for (entry, outcomes) in join_all(tries).await.into_iter().enumerate() {
            match entries.contains(&entry) {
                true => at_cut.extend(outcomes),
                false => at_others.extend(outcomes),
            }
        }
        check_first_tries(&at_cut, &at_others, &what);
        check_runs(site, &at_cut, &what).await;
        check_runs(site, &at_others, &what).await;
        site.set_proxy_faults(&[]).await;
        site.await_service().await;
    }
}

/// Callers of an entry without links to the endpoints are served.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_entry_serves_its_callers() {
    let site = Site::start(3).await;
    check_cuts(&site, &[0]).await;
}

/// Callers are served where all entries of a data centre have no links to the endpoints.
#[tokio::test(flavor = "multi_thread")]
async fn the_cut_entries_of_a_data_centre_serve_their_callers() {
    let site = Site::start(4).await;
    check_cuts(&site, &[0, 2]).await;
}

/// Requests that no entry can serve are refused at once, as not run, and served after the cut.
#[tokio::test(flavor = "multi_thread")]
async fn a_fleet_that_is_cut_off_refuses_at_once() {
    let site = Site::start(2).await;
    site.cut_off(&[0, 1], Cut::Hang).await;
    site.first_tries(0).await;
    site.first_tries(1).await;
    tokio::time::sleep(SETTLE_WINDOW).await;
    let sent_at = tokio::time::Instant::now();
    let outcomes = site.first_tries(0).await;
    let took = sent_at.elapsed();
    let expected: BTreeSet<bool> = [true].into();
    let refused = outcomes
        .iter()
        .map(|t| matches!(t.outcome.result, Err(Failure::NotRun(503))));
    assert_eq!(refused.collect::<BTreeSet<bool>>(), expected);
    assert!(took < Duration::from_millis(400), "{took:?}");
    check_runs(&site, &outcomes, "all entries").await;
    site.set_proxy_faults(&[]).await;
    site.await_service().await;
}
