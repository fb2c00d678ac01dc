//! Tells from probes whether an endpoint that lost an answer has crashed.

/// The number of lost answers to probes that count as a crash. A single connection may also
/// break while its endpoint lives.
const LOST_PROBES_OF_A_CRASH: usize = 2;

/// Says what a probe of the endpoint found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashProbe {
    /// The run that lost the answer still answers.
    SameRun,
    /// Another run answers.
    OtherRun,
    /// Nothing accepts connections.
    Refused,
    /// The connection broke before an answer.
    Lost,
    /// Nothing was found out in time.
    Unknown,
}

/// Says whether the endpoint has crashed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashVerdict {
    /// It has.
    Crashed,
    /// It has not, or that is not known.
    NotCrashed,
    /// One more probe is needed to tell.
    ProbeAgain,
}

/// Judges the probes of an endpoint so far, the first one first.
pub fn judge_crash(probes: &[CrashProbe]) -> CrashVerdict {
    match probes.last() {
        None => CrashVerdict::ProbeAgain,
        Some(CrashProbe::OtherRun | CrashProbe::Refused) => CrashVerdict::Crashed,
        Some(CrashProbe::SameRun | CrashProbe::Unknown) => CrashVerdict::NotCrashed,
        Some(CrashProbe::Lost) if probes.len() >= LOST_PROBES_OF_A_CRASH => CrashVerdict::Crashed,
        Some(CrashProbe::Lost) => CrashVerdict::ProbeAgain,
    }
}
