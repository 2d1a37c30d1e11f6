//! One test per rule.

use std::time::Duration;

use greengage_core::{Incarnation, Revision, TemplateName, VmName, ZoneName};
use greengage_membership::Result::{Failure, Success, Unreachable};
use greengage_membership::{Effect, Event, Limits, Standing, VmStatus, PAUSE};

use crate::{announce, announcement, attempt, gone, ms, now_is, target, up, Run};

const FOUR: [&str; 4] = ["a", "b", "c", "d"];

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Guards against a silent target that keeps its work, and against one that is given up before
/// its attempts were asked after.
#[test]
fn a_target_without_renewal_is_suspect_after_the_lease_and_gone_after_the_grace() {
    let mut run = Run::new();
    assert_eq!(run.step(announce("a", 1)), [up("a", 1)]);
    assert_eq!(run.machine.wake(), Some(ms(3000)));
    assert_eq!(run.until(ms(2999)), []);
    assert_eq!(run.until(ms(3000)), [now_is("a", Standing::Suspect)]);
    assert_eq!(run.until(ms(7999)), []);
    assert_eq!(run.until(ms(8000)), [gone("a", 1)]);
    assert_eq!(run.machine.targets(), []);
}

/// Guards against renewals that look like changes, and changes that look like renewals.
#[test]
fn only_new_content_is_told() {
    let mut run = Run::new();
    run.step(announce("a", 1));
    assert_eq!(run.step(announce("a", 1)), []);
    let mut other = announcement("a", 1);
    other.fencing = false;
    assert_eq!(
        run.step(Event::Announce(other.clone())),
        [Effect::Up(other)]
    );
    run.until(ms(3500));
    assert_eq!(run.standing("a"), Some(Standing::Suspect));
    assert_eq!(
        run.step(announce("a", 1)),
        [up("a", 1), now_is("a", Standing::Live)]
    );
}

/// Guards against two incarnations of a name at once, and against a late announcement that
/// brings back an old one.
#[test]
fn a_new_incarnation_replaces_the_old_one() {
    let mut run = Run::new();
    run.step(announce("a", 1));
    assert_eq!(run.step(announce("a", 2)), [gone("a", 1), up("a", 2)]);
    assert_eq!(run.step(announce("a", 1)), []);
    run.until(ms(8000));
    assert_eq!(run.standing("a"), None);
    assert_eq!(run.step(announce("a", 1)), []);
    assert_eq!(run.step(announce("a", 2)), [up("a", 2)]);
}

/// Guards against work for a target that is leaving, also when an announcement from before the
/// leave arrives after it.
#[test]
fn a_leaving_target_stays_so_until_it_restarts() {
    let mut run = Run::new();
    run.step(announce("a", 1));
    let leave = Event::Leave(target("a"));
    assert_eq!(run.step(leave.clone()), [now_is("a", Standing::Leaving)]);
    assert_eq!(run.step(leave), []);
    assert_eq!(run.step(announce("a", 1)), []);
    assert_eq!(run.until(ms(8000)), [gone("a", 1)]);
    assert_eq!(run.step(announce("a", 1)), []);
    assert_eq!(run.step(announce("a", 2)), [up("a", 2)]);

    let mut leaving = announcement("a", 2);
    leaving.leaving = true;
    assert_eq!(
        run.step(Event::Announce(leaving.clone())),
        [Effect::Up(leaving), now_is("a", Standing::Leaving)]
    );
    assert_eq!(run.step(announce("a", 2)), []);
    assert_eq!(run.standing("a"), Some(Standing::Leaving));
}

/// Guards against a target that keeps its work although it can't be reached.
#[test]
fn three_unreachable_attempts_in_a_row_make_a_target_suspect() {
    let mut run = Run::new();
    run.step(announce("a", 1));
    assert_eq!(run.attempts("a", Unreachable, 2), []);
    run.step(attempt("a", Success));
    assert_eq!(run.attempts("a", Unreachable, 2), []);
    assert_eq!(
        run.step(attempt("a", Unreachable)),
        [now_is("a", Standing::Suspect)]
    );
    assert_eq!(run.step(attempt("a", Success)), []);
    assert_eq!(run.step(announce("a", 1)), [now_is("a", Standing::Live)]);
}

/// Guards against a target that announces itself, can't be reached, and gets work each second.
#[test]
fn renewals_do_not_clear_unreachable_attempts_from_the_history() {
    let mut run = Run::live(&FOUR);
    for _ in 0..3 {
        run.attempts("a", Unreachable, 3);
        run.step(announce("a", 1));
    }
    assert_eq!(
        run.step(attempt("a", Unreachable)),
        [now_is("a", Standing::Ejected)]
    );
}

/// Guards against a target that fails everything and uses up a whole window of tasks first.
#[test]
fn ten_failures_in_a_row_eject_before_the_window_is_full() {
    let mut run = Run::live(&FOUR);
    assert_eq!(run.attempts("a", Failure, 9), []);
    assert_eq!(
        run.step(attempt("a", Failure)),
        [now_is("a", Standing::Ejected)]
    );
}

/// Guards against ejection below the stated rate, and none at it.
#[test]
fn the_failure_rate_over_a_full_window_ejects() {
    let mut run = Run::live(&FOUR);
    for _ in 0..30 {
        assert_eq!(run.attempts("a", Failure, 2), []);
        assert_eq!(run.attempts("a", Success, 3), []);
    }
    for _ in 0..9 {
        run.attempts("b", Failure, 1);
        assert_eq!(run.attempts("b", Success, 1), []);
    }
    assert_eq!(run.attempts("b", Failure, 1), []);
    assert_eq!(
        run.attempts("b", Success, 1),
        [now_is("b", Standing::Ejected)]
    );
}

/// Guards against a target that gets its full work back untested, and against probation that
/// never ends.
#[test]
fn an_ejection_ends_in_probation_and_probation_in_successes() {
    let mut run = Run::live(&FOUR);
    run.attempts("a", Failure, 10);
    assert_eq!(run.wait(Duration::from_millis(4999)), []);
    assert_eq!(
        run.wait(Duration::from_millis(1)),
        [now_is("a", Standing::Probation)]
    );
    assert_eq!(run.attempts("a", Success, 2), []);
    assert_eq!(
        run.step(attempt("a", Success)),
        [now_is("a", Standing::Live)]
    );
    assert_eq!(run.attempts("a", Failure, 9), []);
}

/// Ejects `a`, which is live or on probation, and returns how long that lasts.
fn ejection(run: &mut Run) -> Duration {
    run.attempts("a", Failure, 10);
    assert_eq!(run.standing("a"), Some(Standing::Ejected));
    let start = run.now;
    while run.standing("a") == Some(Standing::Ejected) {
        run.wait(Duration::from_millis(500));
    }
    run.now.since(start)
}

/// Guards against a hopeless target that is tried every few seconds for ever, and against one
/// that is never forgiven.
#[test]
fn ejections_double_up_to_a_limit_and_reset_after_a_long_healthy_time() {
    let mut run = Run::live(&FOUR);
    let spans: Vec<u64> = (0..8).map(|_| ejection(&mut run).as_secs()).collect();
    assert_eq!(spans, [5, 10, 20, 40, 80, 160, 300, 300]);
    run.attempts("a", Success, 3);
    run.wait(secs(299));
    run.step(attempt("a", Success));
    assert_eq!(ejection(&mut run), secs(300));
    run.attempts("a", Success, 3);
    run.wait(secs(300));
    run.step(attempt("a", Success));
    assert_eq!(ejection(&mut run), secs(5));
}

/// Guards against a target that clears its history by a restart.
#[test]
fn a_restart_or_an_absence_does_not_readmit_a_target() {
    let mut run = Run::live(&FOUR);
    run.attempts("a", Failure, 10);
    for incarnation in 2..10 {
        assert_eq!(
            run.step(announce("a", incarnation)),
            [
                gone("a", incarnation - 1),
                up("a", incarnation),
                now_is("a", Standing::Ejected)
            ]
        );
    }
    run.renewing.retain(|(name, _)| *name != "a");
    run.wait(secs(20));
    assert_eq!(run.standing("a"), None);
    assert_eq!(
        run.step(announce("a", 10)),
        [up("a", 10), now_is("a", Standing::Probation)]
    );
    assert_eq!(
        run.step(attempt("a", Failure)),
        [now_is("a", Standing::Ejected)]
    );
}

/// Guards against memory that grows with each name that was ever used.
#[test]
fn a_gone_target_is_forgotten_in_time() {
    let mut run = Run::live(&FOUR);
    run.attempts("a", Failure, 10);
    run.renewing.clear();
    run.wait(secs(8 + 600));
    assert_eq!(run.machine.wake(), None);
    assert_eq!(run.step(announce("a", 1)), [up("a", 1)]);
}

/// Guards against failures of the work itself that empty a zone, and a last target that is
/// ejected.
#[test]
fn only_a_share_of_the_targets_with_the_same_work_is_ejected() {
    const TEN: [&str; 10] = ["0", "1", "2", "3", "4", "5", "6", "7", "8", "9"];
    for (present, ejected) in [(1, 0), (2, 1), (3, 1), (6, 1), (7, 2), (10, 3)] {
        let mut run = Run::live(&TEN[..present]);
        let mut other = announcement("other", 1);
        other.work = vec![TemplateName::new("prices").unwrap()];
        run.step(Event::Announce(other));
        for name in &TEN[..present] {
            run.attempts(name, Failure, 30);
        }
        let count = |run: &Run| {
            let targets = run.machine.targets();
            let out = targets.iter().filter(|t| t.standing == Standing::Ejected);
            out.count()
        };
        assert_eq!(count(&run), ejected, "{present} targets");
        // The targets that still work leave.
        for name in &TEN[..present] {
            if run.standing(name) != Some(Standing::Ejected) {
                run.step(Event::Leave(target(name)));
            }
        }
        assert_eq!(count(&run), ejected / 2, "{ejected} targets left");
    }
}

/// Guards against an ejection that is missed for good because the share was used up.
#[test]
fn a_failing_target_is_ejected_once_the_share_allows_it() {
    let mut run = Run::live(&FOUR);
    run.attempts("a", Failure, 10);
    assert_eq!(run.attempts("b", Failure, 20), []);
    assert_eq!(
        run.wait(secs(5)),
        [
            now_is("a", Standing::Probation),
            now_is("b", Standing::Ejected)
        ]
    );
}

fn status(incarnation: u64) -> Event {
    Event::Vm(VmStatus {
        vm: VmName::new("vm-1").unwrap(),
        zone: ZoneName::new("east").unwrap(),
        incarnation: Incarnation(incarnation),
        revision: Revision(0),
        control: true,
        leading: None,
        weight: 1,
        load: 0,
        draining: false,
        disk_failed: false,
    })
}

/// Guards against a VM that is counted although it is silent, and against reports from before a
/// restart.
#[test]
fn a_vm_is_up_while_its_reports_hold() {
    let vm = VmName::new("vm-1").unwrap();
    let mut run = Run::new();
    assert_eq!(run.step(status(1)), [Effect::VmUp(vm.clone())]);
    run.until(ms(1500));
    assert_eq!(run.step(status(1)), []);
    assert_eq!(run.until(ms(3499)), []);
    assert_eq!(run.until(ms(3500)), [Effect::VmDown(vm.clone())]);
    assert!(!run.machine.vms().vms.get(&vm).unwrap().1);
    assert_eq!(run.step(status(1)), [Effect::VmUp(vm.clone())]);
    assert_eq!(run.step(status(2)), [Effect::VmUp(vm.clone())]);
    assert_eq!(run.step(status(1)), []);
    assert_eq!(run.until(ms(5500)), [Effect::VmDown(vm.clone())]);
    run.wait(secs(3600));
    assert!(run.machine.vms().vms.is_empty());
}

/// Guards against a process that resumes after a pause and gives up all targets whose renewals
/// are still in its queue.
#[test]
fn after_a_pause_nothing_is_gone_before_another_lease() {
    let limits = Limits::default();
    let mut run = Run::new();
    run.step(announce("a", 1));
    run.step(status(1));
    run.now = ms(20_000);
    assert!(run.now.since(ms(3000)) > PAUSE);
    assert_eq!(run.step(Event::Tick), [now_is("a", Standing::Suspect)]);
    assert_eq!(run.step(announce("a", 1)), [now_is("a", Standing::Live)]);
    assert_eq!(
        run.until(ms(22_000)),
        [Effect::VmDown(VmName::new("vm-1").unwrap())]
    );
    run.now = ms(40_000);
    run.step(Event::Tick);
    assert_eq!(run.until(run.now + limits.lease), [gone("a", 1)]);
}
