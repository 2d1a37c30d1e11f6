//! Tests of single rules, by input and expected output.

use std::sync::Arc;
use std::time::Duration;

use greengage_core::{Incarnation, TargetName, Time, VmName, ZoneName};
use greengage_scheduler::{
    assign, earliest_end, Candidate, Estimates, TargetSpeed, ToldSpeed, ToldSpeeds, DEFAULT_WEIGHT,
};

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn zone(name: &str) -> ZoneName {
    ZoneName::new(name).unwrap()
}

fn candidates(list: &[(&str, &str)]) -> Vec<Candidate> {
    let candidate = |(vm, zone_name): &(&str, &str)| Candidate {
        vm: VmName::new(vm).unwrap(),
        zone: zone(zone_name),
        weight: DEFAULT_WEIGHT,
    };
    list.iter().map(candidate).collect()
}

/// Number of targets of zone `a` that each VM owns, out of `targets` targets that alternate between
/// zones `a` and `b`.
fn zone_shares(targets: usize, vms: &[(&str, &str)]) -> Vec<usize> {
    let names: Vec<TargetName> = (0..targets)
        .map(|i| TargetName::new(&format!("t{i:03}")).unwrap())
        .collect();
    let zones = [zone("a"), zone("b")];
    let list: Vec<_> = names
        .iter()
        .enumerate()
        .map(|(i, n)| (n, &zones[i % 2]))
        .collect();
    let owners = assign(&list, &candidates(vms));
    let of_zone = |vm: usize| {
        let owned = owners.iter().step_by(2);
        owned.filter(|owner| **owner == Some(vm)).count()
    };
    (0..vms.len()).map(of_zone).collect()
}

/// Guards against targets that are assigned to a VM of another zone although their own has one, and
/// against a VM that owns far more targets than others.
#[test]
fn targets_are_owned_evenly_in_their_zone() {
    let owned = zone_shares(32, &[("v1", "a"), ("v2", "a"), ("v3", "b")]);
    assert_eq!(owned, [8, 8, 0]);
}

/// Guards against targets without an owner after their zone has lost all its VMs.
#[test]
fn zone_without_a_vm_is_shared_by_the_others() {
    let owned = zone_shares(32, &[("v3", "b"), ("v4", "b")]);
    assert_eq!(owned.iter().sum::<usize>(), 16);
    assert_eq!(zone_shares(4, &[]), Vec::<usize>::new());
}

/// Guards against targets that move between remaining VMs when another VM is lost.
#[test]
fn lost_vm_moves_few_other_targets() {
    let names: Vec<TargetName> = (0..60)
        .map(|i| TargetName::new(&format!("t{i:03}")).unwrap())
        .collect();
    let a = zone("a");
    let list: Vec<_> = names.iter().map(|name| (name, &a)).collect();
    let all = candidates(&[("v1", "a"), ("v2", "a"), ("v3", "a"), ("v4", "a")]);
    let fewer = candidates(&[("v1", "a"), ("v2", "a"), ("v3", "a")]);
    let (before, after) = (assign(&list, &all), assign(&list, &fewer));
    let needlessly_moved = |i: usize| before[i] != Some(3) && before[i] != after[i];
    let moved = (0..60).filter(|i| needlessly_moved(*i)).count();
    assert!(
        moved <= 10,
        "{moved} of 45 targets moved between VMs that stay"
    );
}

/// Guards against runs that are stopped on too little evidence, and against runs that use resources
/// until their deadline though they can't end before it.
#[test]
fn progress_bounds_the_end() {
    let sent = Time::from_millis(1000);
    let end = |age, percent| earliest_end(sent, sent + millis(age), percent).map(|t| t.since(sent));
    assert_eq!(end(50, 0), None, "too young");
    assert_eq!(
        end(115, 0),
        Some(millis(7500)),
        "three quarters of 100 ms for one percent"
    );
    assert_eq!(end(115, 9), Some(millis(750)));
    assert_eq!(
        end(215, 49),
        Some(millis(380)),
        "nearly exact once much is done"
    );
}

/// Guards against a long job that is refused or held back, because one run ended late.
#[test]
fn one_late_run_does_not_double_the_expected_time() {
    for (declared, elapsed) in [(10, 29), (10, 400), (100, 250), (100, 1000), (1000, 8000)] {
        let mut estimates = Estimates::default();
        let mut speed = Default::default();
        estimates.observe(&"q".into(), &mut speed, millis(declared), millis(elapsed));
        let expected = estimates.expected_run_time("q", millis(15_000));
        let expected = expected.div_f64(speed.factor());
        assert!(
            expected < millis(30_000),
            "{expected:?} after a run of {declared} ms that took {elapsed} ms"
        );
    }
}

/// Guards against estimates that don't follow a target which is slow or fast.
#[test]
fn speed_of_a_target_is_learned_from_twenty_runs() {
    for declared in [10, 100, 900] {
        for percent in [60, 160] {
            let mut estimates = Estimates::default();
            let mut speed = Default::default();
            let elapsed = millis(declared) * 100 / percent;
            for _ in 0..20 {
                estimates.observe(&"q".into(), &mut speed, millis(declared), elapsed);
            }
            let expected = estimates.expected_run_time("q", millis(declared));
            let ratio = expected.div_f64(speed.factor()).as_secs_f64() / elapsed.as_secs_f64();
            assert!(
                (0.8..1.25).contains(&ratio),
                "{declared} ms, {percent}%: {ratio}"
            );
        }
    }
}

/// Guards against tasks that are sent for long to a known target which has become slow.
#[test]
fn known_target_that_becomes_slow_is_noticed_within_ten_short_runs() {
    for declared in [10, 25, 100] {
        let mut estimates = Estimates::default();
        let mut speed = Default::default();
        let mut observe = |elapsed| {
            estimates.observe(&"q".into(), &mut speed, millis(declared), elapsed);
        };
        (0..500).for_each(|_| observe(millis(declared)));
        (0..10).for_each(|_| observe(millis(3 * declared)));
        let expected = estimates.expected_run_time("q", millis(declared));
        let ratio = expected.div_f64(speed.factor()).as_secs_f64() * 1000.0 / declared as f64;
        assert!(ratio > 2.4, "{declared} ms: {ratio} of 3");
    }
}

fn told(boot: u64, percent: u32, age: u64) -> Vec<TargetSpeed> {
    vec![TargetSpeed {
        target: TargetName::new("t").unwrap(),
        incarnation: Incarnation(boot),
        percent,
        runs: 5,
        age: Duration::from_millis(age),
    }]
}

/// Guards against a speed that replaces a later one because its message was held up or relayed, and
/// against one that replaces what the VM has learned since as the owner.
#[test]
fn late_speed_of_a_target_replaces_none_that_was_learned_later() {
    let vm = VmName::new("v").unwrap();
    let target = TargetName::new("t").unwrap();
    let boot = Incarnation(3);
    let mut speeds = ToldSpeeds::default();
    speeds.record(&vm, Time::from_millis(5000), told(3, 60, 100));
    speeds.record(&vm, Time::from_millis(4000), told(3, 100, 0));
    speeds.record(&vm, Time::from_millis(6000), told(3, 160, 2000));
    let percent = |since| {
        let found = speeds.speed(&target, boot, Time::from_millis(since));
        found.map(ToldSpeed::percent)
    };
    assert_eq!(percent(0), Some(60));
    assert_eq!(percent(4899), Some(60));
    assert_eq!(percent(4900), None);
}

/// Guards against the speed of an earlier boot, which may have been of another kind, and against one
/// that is used long after a cut.
#[test]
fn speed_of_a_target_is_forgotten_with_its_boot_and_by_age() {
    let vm = VmName::new("v").unwrap();
    let target = TargetName::new("t").unwrap();
    let mut speeds = ToldSpeeds::default();
    speeds.record(&vm, Time::from_millis(5000), told(3, 60, 0));
    speeds.record(&vm, Time::from_millis(9000), told(2, 100, 0));
    let percent = |speeds: &ToldSpeeds, boot| {
        let found = speeds.speed(&target, Incarnation(boot), Time::default());
        found.map(ToldSpeed::percent)
    };
    assert_eq!(percent(&speeds, 3), Some(60));
    assert_eq!(percent(&speeds, 2), None);
    assert_eq!(percent(&speeds, 4), None);
    speeds.record(&vm, Time::from_millis(6000), told(4, 0, 0));
    assert_eq!(
        percent(&speeds, 4),
        Some(10),
        "limited to what is plausible"
    );
    speeds.prune(Time::from_millis(6000 + 60_000));
    assert_eq!(percent(&speeds, 4), None);
}

/// Guards against speeds that make all run times wrong at the VM that they are told to: a VM that owns
/// slow targets only has learned half of their slowness as that of its queue.
#[test]
fn told_speed_does_not_depend_on_the_other_targets_of_its_vm() {
    let queue: Arc<str> = "q".into();
    for (runs, speeds) in [(10, [0.6; 3]), (400, [0.6; 3]), (400, [0.6, 1.0, 1.6])] {
        let mut estimates = Estimates::default();
        let mut learned: [_; 3] = Default::default();
        for _ in 0..runs {
            for (target, speed) in learned.iter_mut().zip(speeds) {
                let elapsed = millis(200).div_f64(speed);
                estimates.observe(&queue, target, millis(200), elapsed);
            }
        }
        for (target, speed) in learned.iter().zip(speeds) {
            let told = target.factor() / estimates.level();
            assert!((told / speed - 1.0).abs() < 0.1, "{told} of {speed}");
        }
    }
}
