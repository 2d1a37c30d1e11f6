//! Tests of the timeline: stamps, capacity, selection and the merge.

use greengage_core::{AccountName, Hlc, JobKey, Name, TargetName, VmName, Wall, ZoneName};
use greengage_timeline::{merge, Event, Timeline};

fn timeline(vm: &str) -> Timeline {
    Timeline::new(VmName::new(vm).unwrap(), 4)
}

fn record(timeline: &mut Timeline, now: u64, what: &str) -> Hlc {
    timeline.record(Wall(now), None, None, what)
}

fn descriptions(events: &[Event]) -> Vec<&str> {
    events.iter().map(|e| e.what.as_str()).collect()
}

/// Guards against an effect that is ordered before its cause because of clock skew.
#[test]
fn merge_orders_causes_before_effects_despite_clock_skew() {
    let (mut a, mut b) = (timeline("a"), timeline("b"));
    record(&mut a, 9000, "accepted");
    let sent = a.stamp(Wall(9000));
    // The clock of `b` is 5 s behind.
    record(&mut b, 4001, "idle");
    assert!(b.observe(sent, Wall(4002)));
    record(&mut b, 4003, "started");
    let reply = b.stamp(Wall(4004));
    a.observe(reply, Wall(9000));
    record(&mut a, 9000, "closed");
    let lists = vec![b.select(None, None), a.select(None, None)];
    assert_eq!(
        descriptions(&merge(lists)),
        ["idle", "accepted", "started", "closed"]
    );
}

/// Guards against a merge whose order is not deterministic.
#[test]
fn merge_orders_equal_stamps_by_vm_then_input_order() {
    let event = |vm: &str, what: &str| Event {
        at: Hlc::default(),
        vm: VmName::new(vm).unwrap(),
        key: None,
        target: None,
        what: what.to_owned(),
    };
    let lists = vec![
        vec![event("b", "1"), event("b", "2")],
        vec![event("a", "3")],
        vec![event("b", "4")],
    ];
    assert_eq!(descriptions(&merge(lists)), ["3", "1", "2", "4"]);
}

/// Guards against stamps that decrease when the wall clock of the machine jumps back.
#[test]
fn stamps_increase_when_the_wall_clock_jumps_back() {
    let mut a = timeline("a");
    let mut last = record(&mut a, 500_000, "before");
    for now in [400_000, 400_001, 500_000, 1, 500_001] {
        let at = a.stamp(Wall(now));
        assert!(at > last, "{at} after {last}");
        last = at;
    }
    assert_eq!(
        last,
        Hlc {
            wall: Wall(500_001),
            count: 0
        }
    );
}

/// Guards against one wrong clock that advances the stamps of all processes.
#[test]
fn stamp_beyond_max_clock_skew_is_not_adopted() {
    let mut a = timeline("a");
    let stamp_at = |wall| Hlc {
        wall: Wall(wall),
        count: 7,
    };
    assert!(!a.observe(stamp_at(160_001), Wall(100_000)));
    assert_eq!(a.stamp(Wall(100_000)).wall, Wall(100_000));
    assert!(a.observe(stamp_at(160_000), Wall(100_000)));
    assert!(a.stamp(Wall(100_000)) > stamp_at(160_000));
}

/// Guards against an overflow of the counter: a peer can send a stamp with the largest count.
#[test]
fn exhausted_counter_carries_into_wall_time() {
    let mut a = timeline("a");
    let last = Hlc {
        wall: Wall(1000),
        count: u32::MAX,
    };
    assert!(a.observe(last, Wall(900)));
    let at = a.stamp(Wall(900));
    assert!(at > last);
    assert_eq!(at.wall, Wall(1001));
}

/// Guards against unbounded memory use and against the loss of the latest events.
#[test]
fn oldest_events_are_evicted_at_capacity() {
    let mut a = timeline("a");
    for now in 0..10 {
        record(&mut a, now, &now.to_string());
    }
    assert_eq!(descriptions(&a.select(None, None)), ["6", "7", "8", "9"]);
    let mut disabled = Timeline::new(VmName::new("a").unwrap(), 0);
    record(&mut disabled, 1, "dropped");
    assert!(disabled.select(None, None).is_empty());
}

/// Guards against a selection with events of other submissions or targets.
#[test]
fn select_filters_by_submission_and_target() {
    let key = |id: &str| JobKey {
        account: AccountName::new("acme").unwrap(),
        zone: ZoneName::new("east").unwrap(),
        id: Name::new(id).unwrap(),
    };
    let target = |name: &str| TargetName::new(name).unwrap();
    let mut a = timeline("a");
    a.record(Wall(1), Some(key("1")), Some(target("x")), "one on x");
    a.record(Wall(2), Some(key("1")), Some(target("y")), "one on y");
    a.record(Wall(3), Some(key("2")), Some(target("x")), "two on x");
    a.record(Wall(4), None, Some(target("x")), "x is up");
    let one = key("1");
    let x = target("x");
    assert_eq!(
        descriptions(&a.select(Some(&one), None)),
        ["one on x", "one on y"]
    );
    assert_eq!(
        descriptions(&a.select(None, Some(&x))),
        ["one on x", "two on x", "x is up"]
    );
    assert_eq!(descriptions(&a.select(Some(&one), Some(&x))), ["one on x"]);
}
