//! Requests that share a part of their prompts that crashes every endpoint that runs them.

use std::time::{Duration, Instant};

use futures_util::future::FutureExt;
use futures_util::stream::{FuturesUnordered, StreamExt};
use http::Method;

use super::caller::new_request_id;
use super::support::Site;

/// The part that crashes the stand-in's endpoints.
const CRASHING_PART: &str = "bad0bad0";
/// The crashes after which the part has to be known, and the time that entries then have.
const CRASHES_TO_KNOW: usize = 5;
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// The maximum number of requests with the part that may run afterwards.
const MAX_RUNS_AFTERWARDS: usize = 3;
/// The interval at which requests with the part arrive.
const BAD_INTERVAL: Duration = Duration::from_millis(250);
/// The interval at which sound requests arrive.
const SOUND_INTERVAL: Duration = Duration::from_millis(25);
/// How long the endpoints may take to crash often enough.
const CRASH_TIMEOUT: Duration = Duration::from_secs(20);

/// The number of parts of a prompt of many that no other prompt has, which come before the others.
const OWN_PARTS: usize = 36;

/// Selects the prompts that are sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Prompts {
    /// A few parts, most of them shared.
    Few,
    /// Many parts, most of them in no other prompt.
    Many,
    /// The first part is that of all prompts. Answers end with their connections, in less time than
    /// it takes to prove parts sound by writing.
    Unframed,
}

impl Prompts {
    /// Returns the parts of a request's prompt before those that are shared.
    fn own_parts(self, number: usize, first: usize) -> Vec<String> {
        match self {
            Self::Few | Self::Unframed => Vec::new(),
            Self::Many => {
                let part = |n| format!("{:08x}", first + number * OWN_PARTS + n);
                (0..OWN_PARTS).map(part).collect()
            }
        }
    }
}

impl Prompts {
    /// Returns how the stand-in ends its answers.
    fn answer_end(self) -> &'static str {
        match self {
            Self::Few | Self::Many => "framed",
            Self::Unframed => "connection",
        }
    }
}

/// Says what became of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Served,
    /// Refused as not run.
    Refused,
    /// Sent to an endpoint, perhaps.
    Failed,
}

/// Sends a request whose prompt has these parts, followed by one of its own.
async fn send(
    site: &Site,
    prompts: Prompts,
    number: usize,
    own: Vec<String>,
    shared: &[&str],
) -> End {
    let id = new_request_id();
    let to = site.entries[number / 3 % site.entries.len()].caller_address();
    let shared = shared.iter().copied();
    let mut parts = own
        .iter()
        .map(String::as_str)
        .chain(shared)
        .map(|part| format!("{part}:40"))
        .collect::<Vec<_>>();
    parts.push(format!("{:08x}:20", 0x5000_0000 + number));
    let parts = parts.join(",");
    let extra = [
        ("x-token-usage", "100,20"),
        ("x-prompt-prefix", parts.as_str()),
        ("x-answer-end", prompts.answer_end()),
    ];
    let path = format!("/draft/{id}");
    let answer = site
        .send_request(to, Method::POST, &path, &id, &extra)
        .await;
    match answer {
        Ok((200, body)) => {
            let events = String::from_utf8_lossy(&body).matches("id: ").count();
            let is_whole = events as u64 == site.layout.events;
            // One without a length that a crash has ended cannot be told from a whole one.
            assert!(is_whole || prompts == Prompts::Unframed, "{id}: {events}");
            if is_whole { End::Served } else { End::Failed }
        }
        Ok((408 | 421 | 429 | 503, _)) => End::Refused,
        Ok(_) | Err(_) => End::Failed,
    }
}

/// Sends a sound request, which shares its caller and parts with the others.
async fn send_sound(site: &Site, prompts: Prompts, number: usize) -> End {
    let topic = format!("70{:06x}", number % 7);
    let own = prompts.own_parts(number, 0x1000_0000);
    match number % 3 {
        _ if prompts == Prompts::Unframed => {
            send(site, prompts, number, own, &["a0000001", &topic]).await
        }
        0 => send(site, prompts, number, own, &["a0000001"]).await,
        1 => send(site, prompts, number, own, &["a0000001", &topic]).await,
        _ => send(site, prompts, number, own, &["a0000002", &topic]).await,
    }
}

/// Sends a request with the crashing part, no two alike.
async fn send_bad(site: &Site, prompts: Prompts, number: usize) -> End {
    let topic = format!("70{:06x}", number % 7);
    let own = prompts.own_parts(number, 0x2000_0000);
    match number % 3 {
        _ if prompts == Prompts::Unframed => {
            send(site, prompts, number, own, &["a0000001", CRASHING_PART]).await
        }
        0 => send(site, prompts, number, own, &[CRASHING_PART]).await,
        1 => {
            send(
                site,
                prompts,
                number,
                own,
                &["a0000001", CRASHING_PART, &topic],
            )
            .await
        }
        _ => send(site, prompts, number, own, &[CRASHING_PART, "a0000002"]).await,
    }
}

/// Sends requests by `send_one` at an interval while `goes_on`, and returns their ends.
async fn send_steadily<F: Future<Output = End>>(
    interval: Duration,
    goes_on: impl Fn() -> bool,
    send_one: impl Fn(usize) -> F,
) -> Vec<End> {
    let mut ticks = tokio::time::interval(interval);
    let mut running = FuturesUnordered::new();
    let mut ends = Vec::new();
    for number in 0.. {
        ticks.tick().await;
        if !goes_on() {
            break;
        }
        running.push(send_one(number));
        while let Some(Some(end)) = running.next().now_or_never() {
            ends.push(end);
        }
    }
    ends.extend(running.collect::<Vec<_>>().await);
    ends
}

fn count(ends: &[End], end: End) -> usize {
    ends.iter().filter(|other| **other == end).count()
}

/// A part of a prompt that crashes every endpoint is refused at all entries after a few crashes,
/// and requests that share everything else with it are served.
#[tokio::test(flavor = "multi_thread")]
async fn requests_with_a_part_that_crashed_five_endpoints_are_not_sent_to_more() {
    check_refusal(Prompts::Few).await;
}

/// Guards against a part that crashes endpoints and is never refused, or only by an entry that has
/// seen three crashes, since it is one of many.
#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_crashed_endpoints_is_refused_though_prompts_have_many_others() {
    check_refusal(Prompts::Many).await;
}

/// Guards against a sound part that is refused with the crashing one, since answers which end with
/// their connections never prove it sound.
#[tokio::test(flavor = "multi_thread")]
async fn a_sound_part_of_all_prompts_is_served_though_answers_end_with_their_connections() {
    check_refusal(Prompts::Unframed).await;
}

/// Sends requests with the crashing part until it is known, and checks those that come afterwards.
async fn check_refusal(prompts: Prompts) {
    let mut site = Site::start(3).await;
    let supervisor = site.supervise_endpoints();
    let warm_up_until = Instant::now() + Duration::from_secs(1);
    let goes_on = || Instant::now() < warm_up_until;
    let sound = send_steadily(SOUND_INTERVAL, goes_on, |n| send_sound(&site, prompts, n)).await;
    assert_eq!(count(&sound, End::Served), sound.len(), "{sound:?}");

    let started_at = Instant::now();
    let goes_on = || supervisor.crashes() < CRASHES_TO_KNOW && started_at.elapsed() < CRASH_TIMEOUT;
    tokio::join!(
        send_steadily(BAD_INTERVAL, goes_on, |n| send_bad(&site, prompts, n)),
        send_steadily(SOUND_INTERVAL, goes_on, |n| send_sound(&site, prompts, n)),
    );
    let crashes_before = supervisor.crashes();
    let settled_at = Instant::now() + SETTLE_TIME;
    let goes_on = || Instant::now() < settled_at;
    tokio::join!(
        send_steadily(BAD_INTERVAL, goes_on, |n| send_bad(&site, prompts, n)),
        send_steadily(SOUND_INTERVAL, goes_on, |n| send_sound(&site, prompts, n)),
    );

    let crashes_settled = supervisor.crashes();
    let end_at = Instant::now() + 2 * SETTLE_TIME;
    let goes_on = || Instant::now() < end_at;
    let (bad, sound) = tokio::join!(
        send_steadily(BAD_INTERVAL, goes_on, |n| send_bad(&site, prompts, n)),
        send_steadily(SOUND_INTERVAL, goes_on, |n| send_sound(&site, prompts, n)),
    );
    let crashes = supervisor.crashes();
    site.endpoints = supervisor.stop().await;
    println!(
        "crashes: {crashes_before}, {crashes_settled} when settled, {crashes} in all; \
         sound: {} of {} served",
        count(&sound, End::Served),
        sound.len(),
    );
    let ran = bad.len() - count(&bad, End::Refused);
    assert!(ran <= MAX_RUNS_AFTERWARDS, "{ran} of {} ran", bad.len());
    assert!(
        crashes - crashes_settled <= MAX_RUNS_AFTERWARDS,
        "{crashes}"
    );
    let served = count(&sound, End::Served);
    assert!(2 * served > sound.len(), "{served} of {}", sound.len());
}

/// Entries that all start again have no peer that knows the part.
#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_crashed_endpoints_is_refused_after_restarts_of_all_entries() {
    let mut site = Site::start(3).await;
    let supervisor = site.supervise_endpoints();
    let started_at = Instant::now();
    let goes_on = || supervisor.crashes() < CRASHES_TO_KNOW && started_at.elapsed() < CRASH_TIMEOUT;
    send_steadily(BAD_INTERVAL, goes_on, |n| send_bad(&site, Prompts::Few, n)).await;
    let settled_at = Instant::now() + SETTLE_TIME;
    let goes_on = || Instant::now() < settled_at;
    send_steadily(BAD_INTERVAL, goes_on, |n| send_bad(&site, Prompts::Few, n)).await;
    let settled = supervisor.crashes();
    for _ in 0..2 {
        site.restart_entries();
        let end_at = Instant::now() + SETTLE_TIME;
        let goes_on = || Instant::now() < end_at;
        send_steadily(BAD_INTERVAL, goes_on, |n| send_bad(&site, Prompts::Few, n)).await;
    }
    let crashes = supervisor.crashes() - settled;
    site.endpoints = supervisor.stop().await;
    println!("crashes: {settled} when settled, {crashes} after the restarts");
    assert!(crashes <= MAX_RUNS_AFTERWARDS, "{crashes}");
}
