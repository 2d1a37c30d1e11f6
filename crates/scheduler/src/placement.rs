//! Which free room a task gets.
//!
//! Among rooms in which the task ends in time, its own VM's go first, then its zone's, then the
//! slowest target, so that fast ones stay free for tasks that need them. Where it ends in time
//! nowhere, it gets the room in which it ends first. This answers loads near the capacity with
//! targets of different speed: long tasks meet their objective on fast targets only.

use std::time::Duration;

use greengage_core::{value, Demand, Time};

/// Share of the expected run time, in percent, that is added before a room counts as in time,
/// since declared run times are off by two fifths in the mean.
const MARGIN_PERCENT: u32 = 60;

/// Whose a target is, nearest first. A task that runs far away is lost when a zone is cut off.
#[value(copy, key)]
pub enum Locality {
    /// This VM's.
    Local,
    /// A VM's of this zone.
    SameZone,
    /// A VM's of another zone.
    OtherZone,
}

/// Free room on a target.
#[value(float)]
pub struct Slot {
    /// Free resources.
    pub free: Demand,
    /// The target's speed; 1 is usual.
    pub speed: f64,
    /// The time that the way to the target takes.
    pub delay: Duration,
    /// Whose the target is.
    pub locality: Locality,
    /// Whether the target may not take this task.
    pub excluded: bool,
}

/// When a task of the expected run time ends in a slot.
pub(crate) fn finish_time(now: Time, slot: &Slot, expected: Duration) -> Time {
    now + slot.delay + expected.div_f64(slot.speed.max(0.01))
}

/// The best slot for a task, and whether it is expected to end there in time.
pub fn choose_slot(
    now: Time,
    slots: &[Slot],
    demand: &Demand,
    expected: Duration,
    objective: Time,
) -> Option<(usize, bool)> {
    let margin = expected * MARGIN_PERCENT / 100;
    let fitting = || {
        let slots = slots.iter().enumerate();
        slots.filter(|(_, slot)| !slot.excluded && demand.fits(&slot.free))
    };
    let in_time = fitting().filter(|(_, s)| finish_time(now, s, expected + margin) <= objective);
    let best = in_time.min_by(|(_, a), (_, b)| {
        let by_locality = a.locality.cmp(&b.locality);
        by_locality.then(a.speed.total_cmp(&b.speed))
    });
    if let Some((i, _)) = best {
        return Some((i, true));
    }
    let first = fitting().min_by_key(|(_, slot)| finish_time(now, slot, expected));
    first.map(|(i, slot)| (i, finish_time(now, slot, expected) <= objective))
}
