//! What an entry's host lacks, which is no fault of those that it calls.

use std::time::Duration;

use pistachioyard_standins::wait_until;

use super::caller::new_request_id;
use super::raw::{Exchange, RawConnection};
use super::support::Site;

/// Runs a program that can hold some connections.
const FEW_CONNECTIONS: &str = "ulimit -n 64; exec \"$0\" \"$@\"";
/// More connections than that.
const CONNECTIONS: usize = 80;
/// How long the descriptors may take to run out.
const TIMEOUT: Duration = Duration::from_secs(10);
/// The number of requests for which the entry cannot connect.
const REQUESTS: usize = 20;
/// The time within which a request is refused that cannot be served.
const REFUSAL_TIME: Duration = Duration::from_secs(1);
/// How long an entry may take to notice that connections were closed.
const CLOSE_TIME: Duration = Duration::from_millis(300);

/// Guards against an entry without descriptors that ejects its endpoints for it, and so refuses
/// requests after it has descriptors again.
#[tokio::test(flavor = "multi_thread")]
async fn endpoints_are_not_blamed_for_a_lack_of_descriptors() {
    let mut site = Site::start(1).await;
    let launcher = site.launcher.clone();
    let process = &mut site.entries[0].process;
    process.kill();
    let (_, args) = process.command();
    process.run_in_shell(FEW_CONNECTIONS, args);
    process.start(&launcher);
    site.await_service().await;
    let to = site.entries[0].caller_address();
    let mut caller = RawConnection::open(to).await;
    assert!(caller.write("/record/a", &new_request_id(), &[]).await);
    assert!(matches!(caller.read().await, Exchange::Complete(200, _)));
    let earlier = site.entries[0].process.log().len();

    let connect = |_| std::net::TcpStream::connect(to).expect("the system accepts");
    let idle: Vec<_> = (0..CONNECTIONS).map(connect).collect();
    let process = &site.entries[0].process;
    wait_until(TIMEOUT, "a lack of descriptors", || async {
        process.log().contains("http: cannot accept")
    })
    .await
    .expect("the descriptors run out");
    let mut outcomes = Vec::new();
    for _ in 0..REQUESTS {
        assert!(caller.write("/record/a", &new_request_id(), &[]).await);
        let answer = tokio::time::timeout(REFUSAL_TIME, caller.read()).await;
        match answer.expect("the request is refused at once") {
            Exchange::Complete(status, _) => outcomes.push(status),
            Exchange::Cut(why) => panic!("{why}"),
        }
    }
    drop(idle);
    tokio::time::sleep(CLOSE_TIME).await;
    assert!(caller.write("/record/a", &new_request_id(), &[]).await);
    let answer = caller.read().await;
    let log = process.log().split_off(earlier);
    let blamed = log.matches("endpoints: ejected after a failure").count();
    let told = log.matches("http: this host is short").count();
    println!("{outcomes:?}, {blamed} ejected, {told} lines");
    assert!(matches!(answer, Exchange::Complete(200, _)), "{answer:?}");
    assert_eq!(blamed, 0);
    assert!(told > 0, "nothing tells of the lack");
}
