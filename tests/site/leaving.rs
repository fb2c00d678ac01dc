//! Endpoints that say in their answers that they want no new requests, for good or for a while.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use http::Method;
use pistachioyard_standins::{HttpAnswer, wait_until};
use serde_json::{Value, json};

use super::caller::new_request_id;
use super::support::{DATA_CENTRES, KEY, Site};

/// The header with which an endpoint says that it is leaving.
const LEAVING: &str = "server-leaving";
/// The number of requests sent at once.
const BATCH: usize = 40;
/// The pause that endpoints ask for when they turn requests away, in seconds.
const PAUSE_S: f64 = 2.5;
/// How long requests may still arrive at an endpoint that asked for a pause.
const PAUSE_SLACK: Duration = Duration::from_millis(500);
/// How long the refusal of a request that no endpoint can take may take.
const REFUSAL_TIME: Duration = Duration::from_millis(400);
/// How long an entry may take to know the layers of the endpoints in its data centre.
const LAYERS_TIMEOUT: Duration = Duration::from_secs(10);
/// The time in which a peer's gossip arrives; several gossip periods.
const GOSSIP_TIME: Duration = Duration::from_millis(1_500);

impl Site {
    pub(crate) async fn send_plain(&self, to: SocketAddr) -> HttpAnswer {
        self.send_to_path(to, "/record/a").await
    }

    async fn send_to_path(&self, to: SocketAddr, path: &str) -> HttpAnswer {
        let (id, key) = (new_request_id(), format!("Bearer {KEY}"));
        let headers = [
            ("x-attempt-id", id.as_str()),
            ("x-deadline-ms", "5000"),
            ("authorization", key.as_str()),
        ];
        let sent = self
            .client
            .send(Method::POST, to, path, &headers, "body".into());
        sent.await.expect("the request is answered")
    }

    /// Sends enough requests at once for every endpoint of the service to get some, and returns
    /// their answers, which must be successes.
    pub(crate) async fn send_plain_batch(&self, to: SocketAddr) -> Vec<HttpAnswer> {
        let answers = join_all((0..BATCH).map(|_| self.send_plain(to))).await;
        for answer in &answers {
            assert_eq!(answer.status, 200);
        }
        answers
    }

    /// Returns the index of the first entry's nearest endpoint that holds no layers.
    pub(crate) fn plain_endpoint(&self) -> usize {
        let found = self.endpoints.iter().position(|endpoint| endpoint.is_plain);
        found.expect("the site has an endpoint without layers")
    }

    /// Returns the index of the endpoint that is the first of most paths from the first entry,
    /// once that is one in its data centre. Until the entry knows the layers of those, its paths
    /// begin elsewhere.
    async fn usual_first_endpoint(&self, to: SocketAddr) -> usize {
        let give_up_at = Instant::now() + LAYERS_TIMEOUT;
        loop {
            let usual = self.first_endpoint_of_most(to).await;
            let name = &self.endpoints[usual].process.name;
            if name.contains(DATA_CENTRES[0]) {
                return usual;
            }
            assert!(Instant::now() < give_up_at, "paths still begin at {name}");
        }
    }

    /// Sends some streams and returns the index of the endpoint at which most of them began.
    async fn first_endpoint_of_most(&self, to: SocketAddr) -> usize {
        let before = self.count_all_runs().await;
        for stream in join_all((0..8).map(|_| self.check_stream(to))).await {
            stream.expect("every stream is complete");
        }
        let after = self.count_all_runs().await;
        let began = before
            .iter()
            .zip(after)
            .map(|(before, after)| after - before);
        let most = began.enumerate().max_by_key(|(_, began)| *began);
        most.expect("the site has endpoints").0
    }

    async fn count_all_runs(&self) -> Vec<usize> {
        join_all((0..self.endpoints.len()).map(|index| self.count_endpoint_runs(index))).await
    }

    /// Starts an endpoint again, so that all its answers say from the start that it leaves.
    fn restart_leaving(&mut self, endpoint: usize) {
        let launcher = self.launcher.clone();
        let process = &mut self.endpoints[endpoint].process;
        process.args.push("--leaving".to_owned());
        process.start(&launcher);
    }

    /// Waits until the first entry has logged a line that contains `line` and an endpoint's name.
    async fn await_logged(&mut self, line: &str, endpoint: usize) {
        let named = format!("endpoint={} ", self.endpoints[endpoint].process.name);
        let entry = self.entries[0].process.running_child();
        wait_until(Duration::from_secs(6), line, || {
            let log = entry.log();
            let is_logged = log.lines().any(|l| l.contains(line) && l.contains(&named));
            async move { is_logged }
        })
        .await
        .expect("the line is logged");
    }

    pub(crate) async fn control(&self, endpoint: usize, command: &str, body: Value) {
        let to = self.endpoints[endpoint].address;
        let path = format!("/control/{command}");
        let status = self.call(to, Method::PUT, &path, body).await;
        assert_eq!(status, Some(200), "{command}");
    }

    async fn count_turned_away(&self, endpoint: usize) -> usize {
        let to = self.endpoints[endpoint].address;
        let ids = self
            .client
            .get_json::<Vec<String>>(to, "/control/turned_away");
        ids.await.expect("the endpoint answers").len()
    }

    /// Makes a plain endpoint ask for a pause, and checks that it gets no request until the end.
    async fn check_pause(&self, to: SocketAddr, paused: usize) {
        self.control(paused, "pause", json!(PAUSE_S)).await;
        self.send_plain_batch(to).await;
        let asked_at = Instant::now();
        let turned_away = self.count_turned_away(paused).await;
        assert!(turned_away > 0, "some requests were turned away");
        tokio::time::sleep(PAUSE_SLACK).await;
        while asked_at.elapsed() < Duration::from_secs_f64(PAUSE_S) - PAUSE_SLACK {
            self.send_plain_batch(to).await;
        }
        assert_eq!(self.count_turned_away(paused).await, turned_away);
    }

    pub(crate) async fn count_endpoint_runs(&self, endpoint: usize) -> usize {
        self.fetch_runs(&self.endpoints[endpoint]).await.len()
    }
}

/// Guards against requests to an endpoint whose own answers said that it leaves, while the store
/// is down and its last record says that it is ready.
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_said_it_leaves_gets_no_new_request_until_it_restarts() {
    let mut site = Site::start(2).await;
    let leaving = site.plain_endpoint();
    let (first, second) = (
        site.entries[0].caller_address(),
        site.entries[1].caller_address(),
    );
    site.set_store_fault(503).await;
    site.control(leaving, "leaving", Value::Null).await;
    let answers = site.send_plain_batch(first).await;
    let has_said_so = answers
        .iter()
        .any(|answer| answer.headers.contains_key(LEAVING));
    assert!(has_said_so, "the caller sees the header of the endpoint");
    let runs = site.count_endpoint_runs(leaving).await;
    site.send_plain_batch(first).await;
    assert_eq!(site.count_endpoint_runs(leaving).await, runs);
    tokio::time::sleep(GOSSIP_TIME).await;
    site.send_plain_batch(second).await;
    assert_eq!(
        site.count_endpoint_runs(leaving).await,
        runs,
        "the peer learns it by gossip"
    );
    site.set_store_fault(0).await;
    let launcher = site.launcher.clone();
    site.endpoints[leaving].process.start(&launcher);
    wait_until(Duration::from_secs(6), "the restarted endpoint", || async {
        site.send_plain_batch(first).await;
        site.count_endpoint_runs(leaving).await > 0
    })
    .await
    .expect("the restarted endpoint gets requests");
}

/// Guards against streams that start at a leaving engine, and against ending those that run
/// there.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_engine_finishes_its_streams_and_starts_none() {
    let site = Site::start(1).await;
    let to = site.entries[0].caller_address();
    let leaving = site.usual_first_endpoint(to).await;
    site.control(leaving, "leaving", Value::Null).await;
    let before = site.count_endpoint_runs(leaving).await;
    let ids: Vec<String> = (0..8).map(|_| new_request_id()).collect();
    for stream in join_all(ids.iter().map(|id| site.check_stream_with_id(to, id))).await {
        stream.expect("every stream is complete");
    }
    let runs = site.count_endpoint_runs(leaving).await;
    assert!(runs > before, "some streams ran at the leaving endpoint");
    let counts = site.count_runs().await;
    for id in &ids {
        assert_eq!(counts.get(id), Some(&1), "{id} was sent once");
    }
    wait_until(Duration::from_secs(6), "a stream", || async {
        site.check_stream(to).await.is_ok()
    })
    .await
    .expect("the other endpoints hold all layers");
    for stream in join_all((0..16).map(|_| site.check_stream(to))).await {
        stream.expect("every stream is complete");
    }
    assert_eq!(site.count_endpoint_runs(leaving).await, runs);
}

/// Guards against requests to an endpoint that turned one away and asked for a pause.
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_asked_for_a_pause_gets_no_request_until_it_ends() {
    let site = Site::start(1).await;
    let to = site.entries[0].caller_address();
    let paused = site.plain_endpoint();
    site.check_pause(to, paused).await;
    site.control(paused, "pause", json!(0)).await;
    let before = site.count_endpoint_runs(paused).await;
    wait_until(Duration::from_secs(6), "the endpoint", || async {
        site.send_plain_batch(to).await;
        site.count_endpoint_runs(paused).await > before
    })
    .await
    .expect("the endpoint gets requests after its pause");
}

/// Guards against requests within the pause of an endpoint that blamed another one when it
/// turned a request away, and against pausing the one it blamed.
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_blames_another_one_gets_the_pause_that_it_asked_for() {
    let mut site = Site::start(1).await;
    let to = site.entries[0].caller_address();
    let paused = site.plain_endpoint();
    let blamed = site.endpoints.iter().rposition(|e| e.is_plain);
    let blamed = blamed.expect("the site has endpoints without layers");
    assert_ne!(blamed, paused);
    site.control(paused, "blame", json!(site.endpoints[blamed].advertised))
        .await;
    let before = site.count_endpoint_runs(blamed).await;
    site.check_pause(to, paused).await;
    // The backoff after many refusals may last as long as the pause.
    site.await_logged("endpoints: asked for a pause", paused)
        .await;
    assert!(site.count_endpoint_runs(blamed).await > before);
}

/// Guards against holding callers until a time limit while no endpoint wants requests, and
/// against telling them to return too early.
#[tokio::test(flavor = "multi_thread")]
async fn callers_are_refused_at_once_while_all_endpoints_asked_for_a_pause() {
    let site = Site::start(1).await;
    let to = site.entries[0].caller_address();
    let plain: Vec<usize> = (0..site.endpoints.len())
        .filter(|index| site.endpoints[*index].is_plain)
        .collect();
    for endpoint in &plain {
        site.control(*endpoint, "pause", json!(PAUSE_S)).await;
    }
    let asked_at = Instant::now();
    let mut told = Duration::ZERO;
    // `/feed/` is a stream of a service whose endpoints hold no layers.
    for path in ["/record/a", "/lookup/a", "/feed/a"] {
        let sent_at = Instant::now();
        let answer = site.send_to_path(to, path).await;
        assert!(
            sent_at.elapsed() < REFUSAL_TIME,
            "{path} took {:?}",
            sent_at.elapsed()
        );
        assert_eq!(answer.status, 503, "{path}");
        let retry_after = answer.headers.get("retry-after").expect("it has a time");
        let seconds: f64 = retry_after
            .to_str()
            .expect("the time is text")
            .parse()
            .expect("the time is a number");
        let left = PAUSE_S - asked_at.elapsed().as_secs_f64();
        assert!(
            left < seconds && seconds <= PAUSE_S,
            "{path}: {seconds} s, with {left} s left"
        );
        told = Duration::from_secs_f64(seconds);
    }
    for endpoint in &plain {
        assert_eq!(site.count_turned_away(*endpoint).await, 1);
        site.control(*endpoint, "pause", json!(0)).await;
    }
    tokio::time::sleep(told).await;
    site.send_plain_batch(to).await;
}

/// Guards against reading only answers to requests: an empty engine gets orders and no requests.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_says_it_leaves_in_answer_to_an_order_gets_no_request() {
    let mut site = Site::start(1).await;
    let leaving = site.redundant_endpoints().await[0];
    site.restart_leaving(leaving);
    site.await_logged("endpoints: announced that it is leaving", leaving)
        .await;
    let to = site.entries[0].caller_address();
    for stream in join_all((0..16).map(|_| site.check_stream(to))).await {
        stream.expect("every stream is complete");
    }
    assert_eq!(site.count_endpoint_runs(leaving).await, 0);
}

/// Guards against reading only answers to requests: a report is the first that a failed endpoint
/// answers, here after a restart that the store does not show yet.
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_says_it_leaves_in_its_report_gets_no_request() {
    let mut site = Site::start(1).await;
    let leaving = site.plain_endpoint();
    let to = site.entries[0].caller_address();
    site.set_store_fault(503).await;
    site.endpoints[leaving].process.kill();
    // Some of these streams find the endpoint dead, which makes the entry probe it.
    join_all((0..BATCH).map(|_| site.send_to_path(to, "/feed/a"))).await;
    site.await_logged("endpoints: ejected after a failure", leaving)
        .await;
    site.restart_leaving(leaving);
    site.await_logged("endpoints: announced that it is leaving", leaving)
        .await;
    site.send_plain_batch(to).await;
    assert_eq!(site.count_endpoint_runs(leaving).await, 0);
}
