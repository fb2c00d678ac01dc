//! Checks that the metrics page matches the metrics of a running entry.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use pistachioyard_standins::{AddressPool, HttpClient, HttpClientConfig, Launcher, wait_until};

/// The kind of a metric and the names of its labels.
type MetricSchema = (String, BTreeSet<String>);

/// Parses the table of the page, whose columns are name, kind, labels and meaning.
fn documented() -> BTreeMap<String, MetricSchema> {
    let page = include_str!("../docs/operators/metrics.md");
    page.lines()
        .filter(|line| line.starts_with("| `pistachioyard_"))
        .map(|line| {
            let cells: Vec<&str> = line.split('|').map(str::trim).collect();
            let labels = cells[3].split('`').skip(1).step_by(2);
            let labels = labels.map(str::to_owned).collect();
            let name = cells[1].trim_matches('`').to_owned();
            (name, (cells[2].to_owned(), labels))
        })
        .collect()
}

/// Parses the Prometheus text format. Leaves out the label `le`, which every histogram has.
fn exported(text: &str) -> BTreeMap<String, MetricSchema> {
    let kinds = text.lines().filter_map(|line| {
        let (name, kind) = line.strip_prefix("# TYPE ")?.split_once(' ')?;
        Some((name.to_owned(), (kind.to_owned(), BTreeSet::new())))
    });
    let mut metrics: BTreeMap<String, MetricSchema> = kinds.collect();
    for line in text.lines().filter(|line| !line.starts_with('#')) {
        let Some((name, rest)) = line.split_once('{') else {
            continue;
        };
        let (labels, _) = rest.rsplit_once('}').unwrap();
        let name = name
            .trim_end_matches("_bucket")
            .trim_end_matches("_sum")
            .trim_end_matches("_count");
        let names = labels
            .split("\",")
            .filter_map(|label| label.split_once('='))
            .map(|(label, _)| label.to_owned())
            .filter(|label| label != "le");
        metrics.get_mut(name).unwrap().1.extend(names);
    }
    metrics
}

#[tokio::test]
async fn the_page_lists_exactly_the_metrics_of_a_running_entry() {
    let pool = AddressPool::new().unwrap();
    let caller = pool.next_address().unwrap();
    let peer = pool.next_address().unwrap();
    let platform = pool.next_address().unwrap();
    let directory = tempfile::tempdir().unwrap();
    let settings = directory.path().join("entry.toml");
    let text = format!(
        "entry = \"one\"\ndata_centre = \"here\"\ncaller_address = \"{caller}\"\n\
         peer_address = \"{peer}\"\nplatform = \"{platform}\"\n"
    );
    std::fs::write(&settings, text).unwrap();
    let launcher = Launcher::new().unwrap();
    let binary = std::path::Path::new(env!("CARGO_BIN_EXE_pistachioyard"));
    let args = ["entry", "--config", settings.to_str().unwrap()];
    let _entry = launcher.spawn("one", binary, args).unwrap();
    wait_until(Duration::from_secs(20), "the entry", || async {
        tokio::net::TcpStream::connect(caller).await.is_ok()
    })
    .await
    .unwrap();
    let client = HttpClient::new(HttpClientConfig::default());
    let answer = client
        .send(
            http::Method::GET,
            caller,
            "/metrics",
            &[],
            bytes::Bytes::new(),
        )
        .await
        .unwrap();
    let text = String::from_utf8(answer.body.to_vec()).unwrap();
    let exported = exported(&text);
    assert_eq!(documented(), exported);
    for (name, (kind, _)) in &exported {
        assert!(text.contains(&format!("# HELP {name} ")), "{name}");
        assert_eq!(kind == "counter", name.ends_with("_total"), "{name}");
    }
}
