//! Targets that have left the deployment.

use greengage_core::{Address, Demand, Incarnation, TargetName, Time, ZoneName};
use greengage_scheduler::{Departure, Departures, TargetReport};

fn departure(target: &str) -> Departure {
    Departure {
        target: TargetName::new(target).unwrap(),
        incarnation: Some(Incarnation(1)),
    }
}

fn report(target: &str) -> TargetReport {
    TargetReport {
        target: TargetName::new(target).unwrap(),
        service: "s".into(),
        address: Address::new("10.0.0.1:80").unwrap(),
        zone: ZoneName::new("a").unwrap(),
        capacity: Demand::default(),
        labels: Vec::new(),
        draining: false,
        incarnation: Incarnation(1),
        sequence: 1,
    }
}

/// Guards against memory and time that grow with each invented target that gives notice, and against
/// late reports that bring back a known target, as the notices of invented ones displace its own.
#[test]
fn departures_of_invented_targets_are_bounded() {
    let mut departures = Departures::default();
    let at = |ms: usize| Time::from_millis(ms as u64);
    departures.record(at(0), &departure("early"), Some(Incarnation(1)));
    for i in 0..40_000 {
        departures.record(at(1 + i / 100), &departure(&format!("t-{i}")), None);
    }
    let kept = (0..40_000).filter(|i| departures.covers(at(500), &report(&format!("t-{i}"))));
    assert!((8000..20_000).contains(&kept.count()));
    departures.record(at(500), &departure("late"), Some(Incarnation(1)));
    for known in ["early", "late"] {
        assert!(departures.covers(at(501), &report(known)), "{known}");
    }
    departures.record(at(61_000), &departure("new"), None);
    assert!(departures.covers(at(61_001), &report("new")));
}
