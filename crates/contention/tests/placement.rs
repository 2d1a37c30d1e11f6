//! Choice of a slot for a task.

use std::time::Duration;

use greengage_contention::{choose_slot, Locality, Room, Slot};
use greengage_core::{Demand, Time};

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn slot(locality: Locality, speed: f64) -> Slot {
    Slot {
        room: Room::new(Demand {
            milli_cores: 8000,
            memory_mib: 1000,
            accelerators: 0,
        }),
        speed,
        delay: Duration::ZERO,
        locality,
        excluded: false,
    }
}

/// The slot for a task of 7 cores and 100 ms with `objective` ms left.
fn choose_for(slots: &[Slot], objective: u64) -> Option<(usize, bool)> {
    let demand = Demand {
        milli_cores: 7000,
        memory_mib: 64,
        accelerators: 0,
    };
    let now = Time::from_millis(1000);
    choose_slot(now, slots, &demand, millis(100), now + millis(objective))
}

/// Guards against short tasks that occupy fast targets, which long ones need, and against late
/// tasks on slow targets.
#[test]
fn slowest_target_in_time_is_chosen_nearest_first() {
    use Locality::{Local, OtherZone, SameZone};
    let slots = [
        slot(Local, 1.6),
        slot(Local, 0.6),
        slot(SameZone, 0.5),
        slot(OtherZone, 2.0),
    ];
    assert_eq!(
        choose_for(&slots, 400),
        Some((1, true)),
        "slow, but in time"
    );
    assert_eq!(
        choose_for(&slots, 150),
        Some((0, true)),
        "local before another zone"
    );
    assert_eq!(
        choose_for(&slots, 90),
        Some((3, true)),
        "only the fastest is in time"
    );
    assert_eq!(choose_for(&slots, 20), Some((3, false)), "late everywhere");
    assert_eq!(
        choose_for(&slots[1..3], 400),
        Some((0, true)),
        "local before the same zone"
    );
}

/// Guards against tasks on targets that lack resources or are excluded.
#[test]
fn full_and_excluded_targets_are_not_chosen() {
    let mut slots = [slot(Locality::Local, 1.0), slot(Locality::Local, 1.0)];
    slots[0].excluded = true;
    slots[1].room = Room::new(Demand {
        milli_cores: 6999,
        ..*slots[1].room.free()
    });
    assert_eq!(choose_for(&slots, 400), None);
}
