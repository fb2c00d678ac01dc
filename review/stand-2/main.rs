//! The stand-ins of the second review's scripts, and the scripts themselves: the platform's store,
//! the workers and the clients, beside the project's own processes. `claim.txt` beside each script
//! says what it shows.
//!
//! Usage: stand-2 CASE FOLDER, in the root of the repository; writes FOLDER/record.txt. Ends with 1
//! if the rule was broken, 0 if it held and 2 if the case could not run. `TROUBLE=0` leaves the
//! disruption out.

mod drain;
mod fleet;
mod foreign;
mod http;
mod json;
mod parts;
mod record;
mod reset;
mod rng;
mod store;
mod streams;
mod worker;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use parts::Kind;
use record::Record;

/// A case ends by itself before this; the processes that it started end with it.
const LONGEST_RUN: Duration = Duration::from_secs(116);

/// Says how a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: stand-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::create(&Path::new(folder).join("record.txt")));
    let files = std::env::temp_dir().join(format!("stand-2-{}", std::process::id()));
    std::fs::create_dir_all(&files).expect("a temporary folder can be made");
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST_RUN);
        eprintln!("the case took too long");
        std::process::exit(2);
    });
    let played = catch_unwind(AssertUnwindSafe(|| match case.as_str() {
        "drain" => drain::run(has_trouble, &record, &files),
        "reset" => reset::run(has_trouble, &record, &files),
        "foreign" => foreign::run(has_trouble, &record, &files),
        "parts" => parts::run(Kind::Unframed, has_trouble, &record, &files),
        "many" => parts::run(Kind::Many, has_trouble, &record, &files),
        _ => Verdict::NotRun,
    }));
    let verdict = played.unwrap_or(Verdict::NotRun);
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&files);
    } else {
        eprintln!("logs: {}", files.display());
    }
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held"),
        Verdict::Broken => (1, "the rule was broken"),
        Verdict::NotRun => (2, "the case could not run"),
    };
    record.line(text);
    println!("{text}");
    ExitCode::from(code)
}
