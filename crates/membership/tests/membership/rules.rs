//! Tests of single rules.

use std::time::Duration;

use greengage_core::{Incarnation, Revision, TemplateName, VmName, ZoneName};
use greengage_membership::AttemptResult::{Failure, Success, Unreachable};
use greengage_membership::{Effect, Event, Limits, Standing, VmStatus, PAUSE_THRESHOLD};

use crate::{announce, announcement, attempt, gone, ms, standing_is, target, up, Harness};

const FOUR: [&str; 4] = ["a", "b", "c", "d"];

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Guards against a silent target that still receives work, and against one that counts as gone
/// before its attempts could be queried.
#[test]
fn a_target_without_renewal_is_suspect_after_the_lease_and_gone_after_the_grace() {
    let mut harness = Harness::new();
    assert_eq!(harness.step(announce("a", 1)), [up("a", 1)]);
    assert_eq!(harness.machine.next_wake(), Some(ms(3000)));
    assert_eq!(harness.run_until(ms(2999)), []);
    assert_eq!(
        harness.run_until(ms(3000)),
        [standing_is("a", Standing::Suspect)]
    );
    assert_eq!(harness.run_until(ms(7999)), []);
    assert_eq!(harness.run_until(ms(8000)), [gone("a", 1)]);
    assert_eq!(harness.machine.targets(), []);
}

/// Guards against renewals that are reported as changes, and changes that are not reported.
#[test]
fn only_changed_announcements_are_emitted() {
    let mut harness = Harness::new();
    harness.step(announce("a", 1));
    assert_eq!(harness.step(announce("a", 1)), []);
    let mut other = announcement("a", 1);
    other.fencing = false;
    assert_eq!(
        harness.step(Event::Announce(other.clone())),
        [Effect::TargetUp(other)]
    );
    harness.run_until(ms(3500));
    assert_eq!(harness.standing("a"), Some(Standing::Suspect));
    assert_eq!(
        harness.step(announce("a", 1)),
        [up("a", 1), standing_is("a", Standing::Live)]
    );
}

/// Guards against two incarnations of a name at the same time, and against a delayed announcement
/// that restores an old one.
#[test]
fn a_new_incarnation_replaces_the_old_one() {
    let mut harness = Harness::new();
    harness.step(announce("a", 1));
    assert_eq!(harness.step(announce("a", 2)), [gone("a", 1), up("a", 2)]);
    assert_eq!(harness.step(announce("a", 1)), []);
    harness.run_until(ms(8000));
    assert_eq!(harness.standing("a"), None);
    assert_eq!(harness.step(announce("a", 1)), []);
    assert_eq!(harness.step(announce("a", 2)), [up("a", 2)]);
}

/// Guards against work for a leaving target, also when an announcement sent before it started to
/// leave arrives late.
#[test]
fn a_target_stays_leaving_until_it_restarts() {
    let mut harness = Harness::new();
    harness.step(announce("a", 1));
    let leave = Event::Leave(target("a"));
    assert_eq!(
        harness.step(leave.clone()),
        [standing_is("a", Standing::Leaving)]
    );
    assert_eq!(harness.step(leave), []);
    assert_eq!(harness.step(announce("a", 1)), []);
    assert_eq!(harness.run_until(ms(8000)), [gone("a", 1)]);
    assert_eq!(harness.step(announce("a", 1)), []);
    assert_eq!(harness.step(announce("a", 2)), [up("a", 2)]);

    let mut leaving = announcement("a", 2);
    leaving.leaving = true;
    assert_eq!(
        harness.step(Event::Announce(leaving.clone())),
        [
            Effect::TargetUp(leaving),
            standing_is("a", Standing::Leaving)
        ]
    );
    assert_eq!(harness.step(announce("a", 2)), []);
    assert_eq!(harness.standing("a"), Some(Standing::Leaving));
}

/// Guards against a target that still receives work although it can't be reached.
#[test]
fn three_unreachable_attempts_in_a_row_make_a_target_suspect() {
    let mut harness = Harness::new();
    harness.step(announce("a", 1));
    assert_eq!(harness.attempts("a", Unreachable, 2), []);
    harness.step(attempt("a", Success));
    assert_eq!(harness.attempts("a", Unreachable, 2), []);
    assert_eq!(
        harness.step(attempt("a", Unreachable)),
        [standing_is("a", Standing::Suspect)]
    );
    assert_eq!(harness.step(attempt("a", Success)), []);
    assert_eq!(
        harness.step(announce("a", 1)),
        [standing_is("a", Standing::Live)]
    );
}

/// Guards against a target that can't be reached but receives work after each of its announcements.
#[test]
fn renewals_do_not_clear_unreachable_attempts_from_the_history() {
    let mut harness = Harness::live(&FOUR);
    for _ in 0..3 {
        harness.attempts("a", Unreachable, 3);
        harness.step(announce("a", 1));
    }
    assert_eq!(
        harness.step(attempt("a", Unreachable)),
        [standing_is("a", Standing::Ejected)]
    );
}

/// Guards against a target that fails every task but consumes a whole window of tasks first.
#[test]
fn ten_failures_in_a_row_eject_before_the_window_is_full() {
    let mut harness = Harness::live(&FOUR);
    assert_eq!(harness.attempts("a", Failure, 9), []);
    assert_eq!(
        harness.step(attempt("a", Failure)),
        [standing_is("a", Standing::Ejected)]
    );
}

/// Guards against an ejection below the configured failure rate, and against none at that rate.
#[test]
fn the_failure_rate_over_a_full_window_ejects() {
    let mut harness = Harness::live(&FOUR);
    for _ in 0..30 {
        assert_eq!(harness.attempts("a", Failure, 2), []);
        assert_eq!(harness.attempts("a", Success, 3), []);
    }
    for _ in 0..9 {
        harness.attempts("b", Failure, 1);
        assert_eq!(harness.attempts("b", Success, 1), []);
    }
    assert_eq!(harness.attempts("b", Failure, 1), []);
    assert_eq!(
        harness.attempts("b", Success, 1),
        [standing_is("b", Standing::Ejected)]
    );
}

/// Guards against a target that returns to full load without probation, and against a probation
/// that never ends.
#[test]
fn an_ejection_ends_in_probation_and_probation_in_successes() {
    let mut harness = Harness::live(&FOUR);
    harness.attempts("a", Failure, 10);
    assert_eq!(harness.run_for(Duration::from_millis(4999)), []);
    assert_eq!(
        harness.run_for(Duration::from_millis(1)),
        [standing_is("a", Standing::Probation)]
    );
    assert_eq!(harness.attempts("a", Success, 2), []);
    assert_eq!(
        harness.step(attempt("a", Success)),
        [standing_is("a", Standing::Live)]
    );
    assert_eq!(harness.attempts("a", Failure, 9), []);
}

/// Ejects `a`, which is live or on probation, and returns the duration of the ejection.
fn ejection_duration(harness: &mut Harness) -> Duration {
    harness.attempts("a", Failure, 10);
    assert_eq!(harness.standing("a"), Some(Standing::Ejected));
    let start = harness.now;
    while harness.standing("a") == Some(Standing::Ejected) {
        harness.run_for(Duration::from_millis(500));
    }
    harness.now.since(start)
}

/// Guards against a permanently failing target that is retried every few seconds forever, and
/// against a recovered target whose ejections stay long.
#[test]
fn ejection_durations_double_up_to_a_maximum_and_reset_when_healthy() {
    let mut harness = Harness::live(&FOUR);
    let durations_s: Vec<u64> = (0..8)
        .map(|_| ejection_duration(&mut harness).as_secs())
        .collect();
    assert_eq!(durations_s, [5, 10, 20, 40, 80, 160, 300, 300]);
    harness.attempts("a", Success, 3);
    harness.run_for(secs(299));
    harness.step(attempt("a", Success));
    assert_eq!(ejection_duration(&mut harness), secs(300));
    harness.attempts("a", Success, 3);
    harness.run_for(secs(300));
    harness.step(attempt("a", Success));
    assert_eq!(ejection_duration(&mut harness), secs(5));
}

/// Guards against a target that clears its history by a restart or an absence.
#[test]
fn a_restart_or_an_absence_does_not_end_an_ejection() {
    let mut harness = Harness::live(&FOUR);
    harness.attempts("a", Failure, 10);
    for incarnation in 2..10 {
        assert_eq!(
            harness.step(announce("a", incarnation)),
            [
                gone("a", incarnation - 1),
                up("a", incarnation),
                standing_is("a", Standing::Ejected)
            ]
        );
    }
    harness.renewing.retain(|(name, _)| *name != "a");
    harness.run_for(secs(20));
    assert_eq!(harness.standing("a"), None);
    assert_eq!(
        harness.step(announce("a", 10)),
        [up("a", 10), standing_is("a", Standing::Probation)]
    );
    assert_eq!(
        harness.step(attempt("a", Failure)),
        [standing_is("a", Standing::Ejected)]
    );
}

/// Guards against memory use that grows with every name ever used.
#[test]
fn the_history_of_a_gone_target_expires() {
    let mut harness = Harness::live(&FOUR);
    harness.attempts("a", Failure, 10);
    harness.renewing.clear();
    harness.run_for(secs(8 + 600));
    assert_eq!(harness.machine.next_wake(), None);
    assert_eq!(harness.step(announce("a", 1)), [up("a", 1)]);
}

/// Guards against the ejection of a whole zone because the work itself fails, and against the
/// ejection of the last target.
#[test]
fn ejections_are_limited_to_a_percentage_per_kind_of_work() {
    const TEN: [&str; 10] = ["0", "1", "2", "3", "4", "5", "6", "7", "8", "9"];
    for (present, ejected) in [(1, 0), (2, 1), (3, 1), (6, 1), (7, 2), (10, 3)] {
        let mut harness = Harness::live(&TEN[..present]);
        let mut other = announcement("other", 1);
        other.work = vec![TemplateName::new("prices").unwrap()];
        harness.step(Event::Announce(other));
        for name in &TEN[..present] {
            harness.attempts(name, Failure, 30);
        }
        let count = |harness: &Harness| {
            let targets = harness.machine.targets();
            let ejected = targets.iter().filter(|t| t.standing == Standing::Ejected);
            ejected.count()
        };
        assert_eq!(count(&harness), ejected, "{present} targets");
        // The targets that are not ejected leave.
        for name in &TEN[..present] {
            if harness.standing(name) != Some(Standing::Ejected) {
                harness.step(Event::Leave(target(name)));
            }
        }
        assert_eq!(count(&harness), ejected / 2, "{ejected} targets left");
    }
}

/// Guards against an ejection that never happens because the limit was reached at first.
#[test]
fn a_failing_target_is_ejected_once_the_limit_allows_it() {
    let mut harness = Harness::live(&FOUR);
    harness.attempts("a", Failure, 10);
    assert_eq!(harness.attempts("b", Failure, 20), []);
    assert_eq!(
        harness.run_for(secs(5)),
        [
            standing_is("a", Standing::Probation),
            standing_is("b", Standing::Ejected)
        ]
    );
}

fn status(incarnation: u64) -> Event {
    Event::Vm(VmStatus {
        vm: VmName::new("vm-1").unwrap(),
        zone: ZoneName::new("east").unwrap(),
        incarnation: Incarnation(incarnation),
        revision: Revision(0),
        control_reachable: true,
        leading_term: None,
        weight: 1,
        load: 0,
        draining: false,
        disk_failed: false,
    })
}

/// Guards against a silent VM that counts as up, and against a delayed report from before a restart
/// that is taken for a current one.
#[test]
fn a_vm_is_up_while_its_reports_are_valid() {
    let vm = VmName::new("vm-1").unwrap();
    let mut harness = Harness::new();
    assert_eq!(harness.step(status(1)), [Effect::VmUp(vm.clone())]);
    harness.run_until(ms(1500));
    assert_eq!(harness.step(status(1)), []);
    assert_eq!(harness.run_until(ms(3499)), []);
    assert_eq!(harness.run_until(ms(3500)), [Effect::VmDown(vm.clone())]);
    assert!(!harness.machine.vms().vms.get(&vm).unwrap().1);
    assert_eq!(harness.step(status(1)), [Effect::VmUp(vm.clone())]);
    assert_eq!(harness.step(status(2)), [Effect::VmUp(vm.clone())]);
    assert_eq!(harness.step(status(1)), []);
    assert_eq!(harness.run_until(ms(5500)), [Effect::VmDown(vm.clone())]);
    harness.run_for(secs(3600));
    assert!(harness.machine.vms().vms.is_empty());
}

/// Guards against a process that resumes after a pause and declares all targets gone whose renewals
/// are still in its queue.
#[test]
fn after_a_pause_leases_are_extended_once() {
    let limits = Limits::default();
    let mut harness = Harness::new();
    harness.step(announce("a", 1));
    harness.step(status(1));
    harness.now = ms(20_000);
    assert!(harness.now.since(ms(3000)) > PAUSE_THRESHOLD);
    assert_eq!(
        harness.step(Event::Tick),
        [standing_is("a", Standing::Suspect)]
    );
    assert_eq!(
        harness.step(announce("a", 1)),
        [standing_is("a", Standing::Live)]
    );
    assert_eq!(
        harness.run_until(ms(22_000)),
        [Effect::VmDown(VmName::new("vm-1").unwrap())]
    );
    harness.now = ms(40_000);
    harness.step(Event::Tick);
    assert_eq!(
        harness.run_until(harness.now + limits.lease),
        [gone("a", 1)]
    );
}
