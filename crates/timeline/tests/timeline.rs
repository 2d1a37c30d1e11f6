//! Tests of the timeline: stamps, capacity, selection and the merge.

use greengage_core::{AccountName, Hlc, JobKey, Name, TargetName, VmName, WallTime, ZoneName};
use greengage_timeline::{merge, Event, Timeline};

fn timeline(vm: &str) -> Timeline {
    Timeline::new(VmName::new(vm).unwrap(), 4)
}

fn record(timeline: &mut Timeline, now: u64, what: &str) -> Hlc {
    timeline.record(WallTime(now), None, None, what)
}

fn descriptions(events: &[Event]) -> Vec<&str> {
    events.iter().map(|e| e.what.as_str()).collect()
}

/// Guards against an effect that is ordered before its cause because of clock skew.
#[test]
fn merge_orders_causes_before_effects_despite_clock_skew() {
    let (mut a, mut b) = (timeline("a"), timeline("b"));
    record(&mut a, 9000, "accepted");
    let sent = a.stamp(WallTime(9000));
    // The clock of `b` is 5 s behind.
    record(&mut b, 4001, "idle");
    assert!(b.observe(sent, WallTime(4002)));
    record(&mut b, 4003, "started");
    let reply = b.stamp(WallTime(4004));
    a.observe(reply, WallTime(9000));
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
        let at = a.stamp(WallTime(now));
        assert!(at > last, "{at} after {last}");
        last = at;
    }
    assert_eq!(
        last,
        Hlc {
            wall: WallTime(500_001),
            counter: 0
        }
    );
}

/// Guards against one wrong clock that advances the stamps of all processes.
#[test]
fn stamp_beyond_max_clock_skew_is_not_adopted() {
    let mut a = timeline("a");
    let stamp_at = |wall| Hlc {
        wall: WallTime(wall),
        counter: 7,
    };
    assert!(!a.observe(stamp_at(160_001), WallTime(100_000)));
    assert_eq!(a.stamp(WallTime(100_000)).wall, WallTime(100_000));
    assert!(a.observe(stamp_at(160_000), WallTime(100_000)));
    assert!(a.stamp(WallTime(100_000)) > stamp_at(160_000));
}

/// Guards against an overflow of the counter: a peer can send a stamp with the largest count.
#[test]
fn exhausted_counter_carries_into_wall_time() {
    let mut a = timeline("a");
    let last = Hlc {
        wall: WallTime(1000),
        counter: u32::MAX,
    };
    assert!(a.observe(last, WallTime(900)));
    let at = a.stamp(WallTime(900));
    assert!(at > last);
    assert_eq!(at.wall, WallTime(1001));
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
    a.record(WallTime(1), Some(key("1")), Some(target("x")), "one on x");
    a.record(WallTime(2), Some(key("1")), Some(target("y")), "one on y");
    a.record(WallTime(3), Some(key("2")), Some(target("x")), "two on x");
    a.record(WallTime(4), None, Some(target("x")), "x is up");
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
