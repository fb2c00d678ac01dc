//! Reports panics in the structured log and the metrics.

use std::panic::PanicHookInfo;

use metrics::counter;

/// The maximum number of characters of a panic's message that are logged.
const MAX_MESSAGE_CHARS: usize = 240;

/// Makes each panic a log line and counts it under a metric's name.
///
/// It replaces the text that a panic otherwise writes to standard error, which may block. The line
/// goes the same way as all others.
pub(crate) fn install(metric: &'static str) {
    counter!(metric).absolute(0);
    std::panic::set_hook(Box::new(move |panic| report(metric, panic)));
}

fn report(metric: &'static str, panic: &PanicHookInfo<'_>) {
    counter!(metric).increment(1);
    let place = panic.location().map(ToString::to_string);
    let why: String = panic
        .payload_as_str()
        .unwrap_or("the payload is no text")
        .chars()
        .take(MAX_MESSAGE_CHARS)
        .collect();
    let thread = std::thread::current();
    spdlog::error!("tasks: panicked", kv: {
        place = place.as_deref().unwrap_or("unknown"), why = why.as_str(),
        thread = thread.name().unwrap_or("unnamed")
    });
}
