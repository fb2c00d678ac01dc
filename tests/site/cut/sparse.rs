//! Entries that lose their links to some of the endpoints.

use super::{Cut, SETTLE_WINDOW, check_first_tries, check_runs};
use crate::support::Site;

/// Callers are served where an entry reaches no endpoint of one service.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_without_links_to_one_service_serves_its_callers() {
    let site = Site::start(3).await;
    for is_plain in [true, false] {
        let endpoints: Vec<usize> = (0..site.endpoints.len())
            .filter(|index| site.endpoints[*index].is_plain == is_plain)
            .collect();
        check(&site, &endpoints).await;
    }
}

/// Callers are served where an entry reaches only the endpoints of one data centre.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_without_links_to_a_data_centre_serves_its_callers() {
    let site = Site::start(3).await;
    let half = site.endpoints.len() / 2;
    let endpoints: Vec<usize> = (0..half).collect();
    check(&site, &endpoints).await;
}

async fn check(site: &Site, endpoints: &[usize]) {
    for cut in Cut::SEEN_ON_CONNECT {
        let what = format!("{cut:?} from {endpoints:?}");
        site.first_tries(0).await;
        let rules = site.cut_rules(&[0], endpoints, cut);
        site.set_proxy_faults(&rules).await;
        tokio::time::sleep(SETTLE_WINDOW).await;
        let (at_cut, at_others) = tokio::join!(site.first_tries(0), site.first_tries(1));
        check_first_tries(&at_cut, &at_others, &what);
        check_runs(site, &at_cut, &what).await;
        site.set_proxy_faults(&[]).await;
        site.await_service().await;
    }
}
