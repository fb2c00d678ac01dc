//! The cells of the matrix: each is a fault at one step of a request, on one target.

use std::fmt;

/// The fault that is injected.
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

/// The step of a request at which the fault strikes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Step {
    BeforeAdmission,
    BeforeStart,
    Prefill,
    MidStream,
    NearEnd,
    EndEvent,
}

/// The component that the fault affects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Target {
    Head,
    Middle,
    Last,
    Link,
    Entry,
    Platform,
}

/// Whether a test covers the cell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Status {
    /// The named test covers it.
    Covered(&'static str),
    /// No test covers it yet.
    NotRun,
}

/// A cell of the matrix.
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

/// Returns the targets that a fault can affect.
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

/// Returns the test that covers a cell.
fn covered_by(fault: Fault, target: Target, step: Step) -> Option<&'static str> {
    use Step::{BeforeAdmission, BeforeStart, EndEvent, MidStream, NearEnd, Prefill};
    let test = match (fault, target, step) {
        (Fault::Kill, Target::Head, BeforeStart) => "kill_head_before_start",
        (Fault::Kill, Target::Head, Prefill) => "kill_head_at_first_token",
        (Fault::Kill, Target::Head, MidStream) => "kill_head_mid_stream",
        (Fault::Kill, Target::Head, NearEnd) => "kill_head_near_end",
        (Fault::Kill, Target::Head, EndEvent) => "kill_head_at_end_event",
        (Fault::Kill, Target::Middle, Prefill) => "kill_middle_at_first_token",
        (Fault::Kill, Target::Middle, MidStream) => "kill_middle_mid_stream",
        (Fault::Kill, Target::Middle, NearEnd) => "kill_middle_near_end",
        (Fault::Kill, Target::Last, Prefill) => "kill_last_at_first_token",
        (Fault::Kill, Target::Last, MidStream) => "kill_last_mid_stream",
        (Fault::Kill, Target::Last, NearEnd) => "kill_last_near_end",
        (Fault::Kill, Target::Entry, BeforeAdmission) => "kill_entry_before_admission",
        (Fault::Kill, Target::Entry, MidStream) => "kill_entry_mid_stream",
        (Fault::Kill, Target::Entry, EndEvent) => "resume_with_every_token",
        (Fault::FreezeThaw, Target::Head, BeforeStart) => "freeze_head_before_start",
        (Fault::FreezeThaw, Target::Head, MidStream) => "freeze_head_mid_stream",
        (Fault::FreezeThaw, Target::Middle, MidStream) => "freeze_middle_mid_stream",
        (Fault::FreezeThaw, Target::Last, MidStream) => "freeze_last_mid_stream",
        (Fault::FreezeThaw, Target::Entry, BeforeAdmission) => "frozen_entry_thaws",
        (Fault::FreezeThaw, Target::Entry, MidStream) => "freeze_entry_mid_stream",
        (Fault::Cut, Target::Head, Prefill | MidStream | NearEnd) => "cut_head_connection",
        (Fault::Cut, Target::Link, Prefill | MidStream | NearEnd) => "cut_link",
        (Fault::OneWayCut, Target::Head, Prefill | MidStream | NearEnd) => {
            "one_way_cut_head_connection"
        }
        (Fault::OneWayCut, Target::Link, Prefill | MidStream | NearEnd) => "one_way_cut_link",
        (Fault::OneWayCut, Target::Entry, MidStream) => "two_attempts_cross",
        (Fault::Delay, Target::Head, Prefill | MidStream | NearEnd) => "slow_head_connection",
        (Fault::Delay, Target::Link, Prefill | MidStream | NearEnd) => "slow_link",
        (Fault::Stall, Target::Head, Prefill | MidStream | NearEnd) => "stall_head_connection",
        (Fault::Stall, Target::Link, Prefill | MidStream | NearEnd) => "stall_link",
        (Fault::PlatformDown, Target::Platform, BeforeAdmission | MidStream) => "platform_down",
        (Fault::PlatformSlow, Target::Platform, BeforeAdmission | MidStream) => "platform_slow",
        (Fault::HostListLag, Target::Platform, BeforeAdmission) => "leaving_reported_by_engine",
        (Fault::Leaving, Target::Head, BeforeAdmission | MidStream) => "leaving_in_host_list",
        (Fault::Leaving, Target::Middle, BeforeAdmission | MidStream) => {
            "leaving_middle_in_host_list"
        }
        (Fault::Leaving, Target::Last, BeforeAdmission | MidStream) => "leaving_last_in_host_list",
        (Fault::Poison, Target::Head, BeforeAdmission | Prefill) => "poison_costs_two_engines",
        (Fault::PlannedStop, Target::Entry, BeforeAdmission) => "rolling_restart",
        (Fault::PlannedStop, Target::Entry, MidStream) => "planned_stop_under_load",
        _ => return None,
    };
    Some(test)
}

/// Returns every cell of the matrix.
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
