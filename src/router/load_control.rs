//! The decisions under load that an operator switches on.

use clap::ValueEnum;

/// Names a decision under load that a deployment may call for. All of them are off by default.
///
/// `docs/design/load-at-its-worst.md` tells what each has been found to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub(crate) enum LoadControl {
    /// Requests wait for room in the order of their urgency, and leave room for others.
    Admission,
    /// Requests leave their data centre by what others offer.
    Departures,
    /// Prompts are kept off endpoints that would read them too late.
    Reading,
    /// Refused callers are told when room is expected, and go first when they return.
    Returns,
}
