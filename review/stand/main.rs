//! The scripts of the review: `stand CASE FOLDER` plays a case and writes its record.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod dark;
mod early;
mod fleet;
mod http;
mod json;
mod odd;
mod poison;
mod record;
mod store;
mod worker;

use std::process::exit;
use std::time::Duration;

/// Each case ends by itself before this.
const TIME_LIMIT: Duration = Duration::from_secs(116);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: stand CASE FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    std::panic::set_hook(Box::new(|info| {
        eprintln!("{info}");
        fleet::end_all();
        exit(2);
    }));
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        eprintln!("the case took too long");
        fleet::end_all();
        exit(2);
    });
    let held = match case.as_str() {
        "dark" => dark::play(folder, has_trouble),
        "early" => early::play(folder, has_trouble),
        "poison" => poison::play(folder, has_trouble),
        "odd" => odd::play(folder, has_trouble),
        _ => Err(std::io::Error::other(format!("there is no case {case}"))),
    };
    match held {
        Ok(true) => exit(0),
        Ok(false) => exit(1),
        Err(e) => {
            eprintln!("the case could not run: {e}");
            fleet::end_all();
            exit(2);
        }
    }
}
