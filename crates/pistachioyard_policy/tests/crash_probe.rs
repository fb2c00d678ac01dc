//! Tests that an endpoint counts as crashed only if it has crashed.

use pistachioyard_policy::{CrashProbe, CrashVerdict, judge_crash};

#[test]
fn a_broken_connection_to_an_endpoint_that_lives_is_no_crash() {
    let probes = [CrashProbe::Lost, CrashProbe::SameRun];
    assert_eq!(judge_crash(&probes[..1]), CrashVerdict::ProbeAgain);
    assert_eq!(judge_crash(&probes), CrashVerdict::NotCrashed);
}

#[test]
fn an_endpoint_that_is_gone_or_has_started_anew_has_crashed() {
    for last in [CrashProbe::Refused, CrashProbe::OtherRun, CrashProbe::Lost] {
        let probes = [CrashProbe::Lost, last];
        assert_eq!(judge_crash(&probes), CrashVerdict::Crashed, "{last:?}");
    }
    assert_eq!(judge_crash(&[CrashProbe::Refused]), CrashVerdict::Crashed);
    assert_eq!(judge_crash(&[CrashProbe::OtherRun]), CrashVerdict::Crashed);
}

#[test]
fn an_endpoint_that_answers_late_is_not_known_to_have_crashed() {
    assert_eq!(judge_crash(&[]), CrashVerdict::ProbeAgain);
    assert_eq!(
        judge_crash(&[CrashProbe::Unknown]),
        CrashVerdict::NotCrashed
    );
    let probes = [CrashProbe::Lost, CrashProbe::Unknown];
    assert_eq!(judge_crash(&probes), CrashVerdict::NotCrashed);
}
