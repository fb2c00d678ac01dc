//! Tests of admission by priority and fair share.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use pistachioyard_policy::{DrainRate, FairQueue, QueuedRequest};
use pistachioyard_wire::{Priority, WorkspaceName};

fn name(name: &str) -> WorkspaceName {
    WorkspaceName::try_from(name).expect("the name is valid")
}

fn request(workspace: &str, weight: u32, priority: Priority, now: Instant) -> QueuedRequest<u32> {
    QueuedRequest {
        workspace: name(workspace),
        weight,
        priority,
        deadline: now + Duration::from_secs(10),
        item: 0,
    }
}

fn fill(queue: &mut FairQueue<u32>, of: &QueuedRequest<u32>, count: usize, now: Instant) -> usize {
    (0..count)
        .filter(|_| queue.push(of.clone(), now).is_ok())
        .count()
}

fn admit(queue: &mut FairQueue<u32>, count: usize, now: Instant) -> BTreeMap<String, usize> {
    let mut admitted = BTreeMap::new();
    for _ in 0..count {
        if let Some(request) = queue.pop(|_, _| true, now) {
            let key = format!("{} {}", request.workspace, request.priority.as_str());
            *admitted.entry(key).or_default() += 1;
        }
    }
    admitted
}

#[test]
fn workspaces_share_by_weight_and_idling_gives_no_credit() {
    let now = Instant::now();
    let mut queue = FairQueue::new(10_000);
    fill(
        &mut queue,
        &request("big", 3, Priority::Normal, now),
        1_000,
        now,
    );
    fill(
        &mut queue,
        &request("small", 1, Priority::Normal, now),
        1_000,
        now,
    );
    let shares = admit(&mut queue, 400, now);
    assert_eq!(shares["big normal"].abs_diff(300), 0);
    fill(
        &mut queue,
        &request("late", 1, Priority::Normal, now),
        1_000,
        now,
    );
    let shares = admit(&mut queue, 500, now);
    assert!(shares["late normal"].abs_diff(100) <= 1, "{shares:?}");
    assert!(shares["big normal"].abs_diff(300) <= 1, "{shares:?}");
}

#[test]
fn requests_in_flight_at_peers_count_towards_the_share() {
    let now = Instant::now();
    let mut queue = FairQueue::new(10_000);
    fill(
        &mut queue,
        &request("spread", 1, Priority::Normal, now),
        1_000,
        now,
    );
    fill(
        &mut queue,
        &request("local", 1, Priority::Normal, now),
        1_000,
        now,
    );
    queue.set_external_usage([(name("spread"), 9)].into());
    let shares = admit(&mut queue, 110, now);
    assert_eq!(shares["spread normal"], 10);
}

#[test]
fn a_flooding_workspace_leaves_places_and_admissions_to_others() {
    let now = Instant::now();
    let mut queue = FairQueue::new(100);
    let flood = request("flood", 1, Priority::Normal, now);
    assert_eq!(fill(&mut queue, &flood, 1_000, now), 50);
    assert_eq!(
        fill(
            &mut queue,
            &request("calm", 1, Priority::Normal, now),
            20,
            now
        ),
        20
    );
    let refused = queue.push(flood, now).unwrap_err();
    assert_eq!(
        (refused.waiting, refused.request.workspace),
        (70, name("flood"))
    );
    assert_eq!(queue.waiting_ahead(&name("other"), 1, Priority::Normal), 2);
    assert_eq!(admit(&mut queue, 40, now)["calm normal"], 20);
}

#[test]
fn priority_is_strict_but_low_is_never_starved() {
    let now = Instant::now();
    let mut queue = FairQueue::new(10_000);
    for priority in Priority::ALL {
        fill(&mut queue, &request("a", 1, priority, now), 1_000, now);
    }
    let admitted = admit(&mut queue, 160, now);
    assert_eq!((admitted["a high"], admitted["a low"]), (150, 10));
    assert!(!admitted.contains_key("a normal"));
}

#[test]
fn ineligible_requests_block_nobody_and_earn_no_credit() {
    let now = Instant::now();
    let mut queue = FairQueue::new(10_000);
    fill(
        &mut queue,
        &request("blocked", 1, Priority::Normal, now),
        1_000,
        now,
    );
    fill(
        &mut queue,
        &request("free", 1, Priority::Normal, now),
        1_000,
        now,
    );
    for _ in 0..500 {
        let request = queue.pop(|w, _| *w == name("free"), now).unwrap();
        assert_eq!(request.workspace, name("free"));
    }
    let shares = admit(&mut queue, 100, now);
    assert!(shares["free normal"].abs_diff(50) <= 1, "{shares:?}");
    let late = now + Duration::from_secs(10);
    assert!(queue.pop(|_, _| true, late).is_none());
    assert_eq!(queue.remove(|_| false).len(), 0);
    assert_eq!(queue.expire(late).len(), 1_400);
    assert!(queue.is_empty() && queue.waiting_by_workspace().is_empty());
}

#[test]
fn the_wait_is_estimated_from_busy_time_only() {
    let start = Instant::now();
    let mut rate = DrainRate::new(Duration::from_secs(10));
    assert_eq!(rate.estimated_wait(1_000, start), Duration::ZERO);
    let mut now = start;
    for _ in 0..200 {
        now += Duration::from_millis(100);
        rate.on_completion(now);
    }
    let wait = rate.estimated_wait(50, now).as_secs_f64();
    assert!((4.9..5.1).contains(&wait), "{wait}");
    let stalled = rate.estimated_wait(50, now + Duration::from_secs(10));
    assert!(stalled > Duration::from_secs(10), "{stalled:?}");
    rate.on_idle();
    let later = now + Duration::from_secs(3_600);
    assert_eq!(rate.estimated_wait(50, later).as_secs_f64(), wait);
}
