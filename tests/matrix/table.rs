//! The table of cells: a fault at a step of a request, for one target.

use std::fmt;

/// What fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    Kill,
    FreezeThaw,
    Cut,
    OneWayCut,
    Delay,
    Stall,
    PlatformDown,
    PlatformSlow,
    AnswerLost,
    HostListLag,
    Leaving,
    Poison,
    PlannedStop,
}

/// The step of a request at which it fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Step {
    BeforeAdmission,
    BeforeStart,
    Prefill,
    MidStream,
    NearEnd,
    EndEvent,
}

/// What the fault is done to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Target {
    Head,
    Middle,
    Last,
    Link,
    Entry,
    Platform,
}

/// Whether a test proves the cell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Status {
    /// The named test proves it.
    Covered(&'static str),
    /// No test proves it yet.
    NotRun,
}

/// One cell of the matrix.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cell {
    pub(crate) fault: Fault,
    pub(crate) target: Target,
    pub(crate) step: Step,
    pub(crate) status: Status,
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}-{:?}-{:?}", self.fault, self.target, self.step)
    }
}

const FAULTS: [Fault; 13] = [
    Fault::Kill,
    Fault::FreezeThaw,
    Fault::Cut,
    Fault::OneWayCut,
    Fault::Delay,
    Fault::Stall,
    Fault::PlatformDown,
    Fault::PlatformSlow,
    Fault::AnswerLost,
    Fault::HostListLag,
    Fault::Leaving,
    Fault::Poison,
    Fault::PlannedStop,
];

const STEPS: [Step; 6] = [
    Step::BeforeAdmission,
    Step::BeforeStart,
    Step::Prefill,
    Step::MidStream,
    Step::NearEnd,
    Step::EndEvent,
];

/// Returns the targets that a fault can be done to.
fn targets(fault: Fault) -> &'static [Target] {
    use Target::{Entry, Head, Last, Link, Middle, Platform};
    match fault {
        Fault::Kill | Fault::FreezeThaw => &[Head, Middle, Last, Entry],
        Fault::Cut | Fault::OneWayCut | Fault::Delay | Fault::Stall => &[Head, Link, Entry],
        Fault::PlatformDown | Fault::PlatformSlow | Fault::AnswerLost | Fault::HostListLag => {
            &[Platform]
        }
        Fault::Leaving => &[Head, Middle, Last],
        Fault::Poison => &[Head],
        Fault::PlannedStop => &[Entry],
    }
}

/// Returns the test that proves a cell.
fn covered_by(fault: Fault, target: Target, step: Step) -> Option<&'static str> {
    use Step::{BeforeAdmission, EndEvent, MidStream, NearEnd, Prefill};
    let test = match (fault, target, step) {
        (Fault::Kill, Target::Head, Prefill) => "kill_head_at_first_token",
        (Fault::Kill, Target::Head, MidStream) => "kill_head_mid_stream",
        (Fault::Kill, Target::Head, NearEnd) => "kill_head_near_end",
        (Fault::Kill, Target::Middle, Prefill) => "kill_middle_at_first_token",
        (Fault::Kill, Target::Middle, MidStream) => "kill_middle_mid_stream",
        (Fault::Kill, Target::Middle, NearEnd) => "kill_middle_near_end",
        (Fault::Kill, Target::Last, Prefill) => "kill_last_at_first_token",
        (Fault::Kill, Target::Last, MidStream) => "kill_last_mid_stream",
        (Fault::Kill, Target::Last, NearEnd) => "kill_last_near_end",
        (Fault::FreezeThaw, Target::Head, Step::BeforeStart) => "freeze_head_before_start",
        (Fault::FreezeThaw, Target::Head, MidStream) => "freeze_head_mid_stream",
        (Fault::FreezeThaw, Target::Middle, MidStream) => "freeze_middle_mid_stream",
        (Fault::FreezeThaw, Target::Last, MidStream) => "freeze_last_mid_stream",
        (Fault::Cut, Target::Link, MidStream) => "cut_link_mid_stream",
        (Fault::OneWayCut, Target::Link, MidStream) => "one_way_cut_link_mid_stream",
        (Fault::Stall, Target::Link, MidStream) => "stall_link_mid_stream",
        (Fault::Delay, Target::Link, MidStream) => "slow_link_mid_stream",
        (Fault::Kill, Target::Entry, MidStream) => "kill_entry_mid_stream",
        (Fault::Kill, Target::Entry, EndEvent) => "resume_with_every_token",
        (Fault::OneWayCut, Target::Entry, MidStream) => "two_attempts_cross",
        (Fault::FreezeThaw, Target::Entry, BeforeAdmission) => "frozen_entry_thaws",
        (Fault::PlatformDown, Target::Platform, BeforeAdmission | MidStream) => "platform_down",
        (Fault::HostListLag, Target::Platform, BeforeAdmission) => "leaving_said_by_engine",
        (Fault::Leaving, Target::Head, BeforeAdmission | MidStream) => "leaving_in_host_list",
        (Fault::Poison, Target::Head, Prefill) => "poison_costs_two_engines",
        (Fault::PlannedStop, Target::Entry, MidStream) => "planned_stop_under_load",
        (Fault::PlannedStop, Target::Entry, BeforeAdmission) => "rolling_restart",
        _ => return None,
    };
    Some(test)
}

/// Builds every cell of the matrix.
pub(crate) fn cells() -> Vec<Cell> {
    let mut cells = Vec::new();
    for fault in FAULTS {
        for target in targets(fault) {
            for step in STEPS {
                let test = covered_by(fault, *target, step);
                cells.push(Cell {
                    fault,
                    target: *target,
                    step,
                    status: test.map_or(Status::NotRun, Status::Covered),
                });
            }
        }
    }
    cells
}
