//! Choice of a slot for a task.
//!
//! Slots in which the task ends in time come first: in order of locality, then the slowest target,
//! so that fast ones stay free for tasks that need them. If there is none, the task gets the slot
//! in which it ends first. This policy is for loads near the capacity on targets of different
//! speed, where long tasks meet their objective on fast targets only.

use std::time::Duration;

use greengage_core::{value, Demand, Time};

use crate::forecast::Room;

/// Safety margin on the expected run time for a slot to count as in time, since declared run times
/// are off by two fifths on average.
const MARGIN_PERCENT: u32 = 60;

/// Who owns the target of a slot, nearest first. A task in another zone is lost when a partition
/// cuts that zone off.
#[value(copy, key)]
pub enum Locality {
    /// This VM.
    Local,
    /// Another VM of this zone.
    SameZone,
    /// A VM of another zone.
    OtherZone,
}

/// A target, or an offer of another VM, as a place for tasks.
#[value(float)]
pub struct Slot {
    /// Free resources over time.
    pub room: Room,
    /// Speed of the target, relative to a usual one.
    pub speed: f64,
    /// Time that the calls to the target and back take.
    pub delay: Duration,
    /// Who owns the target.
    pub locality: Locality,
    /// Whether the target may not run the task.
    pub excluded: bool,
}

/// End time of a task in a slot.
pub fn finish_time(now: Time, slot: &Slot, expected: Duration) -> Time {
    now + slot.delay + expected.div_f64(slot.speed.max(0.01))
}

/// The slots that may run a task and have room for it now.
fn fitting<'a>(
    now: Time,
    slots: &'a [Slot],
    demand: &'a Demand,
    expected: Duration,
) -> impl Iterator<Item = (usize, &'a Slot)> {
    slots.iter().enumerate().filter(move |(_, slot)| {
        let fits = !slot.excluded && demand.fits(slot.room.free());
        fits && slot
            .room
            .fits(now, finish_time(now, slot, expected), demand)
    })
}

/// Index of the best slot in which a task ends in time even if it takes longer than expected.
pub fn choose_safe(
    now: Time,
    slots: &[Slot],
    demand: &Demand,
    expected: Duration,
    objective: Time,
) -> Option<usize> {
    let with_margin = expected + expected * MARGIN_PERCENT / 100;
    let in_time = fitting(now, slots, demand, expected)
        .filter(|(_, s)| finish_time(now, s, with_margin) <= objective);
    let best = in_time.min_by(|(_, a), (_, b)| {
        let by_locality = a.locality.cmp(&b.locality);
        by_locality.then(a.speed.total_cmp(&b.speed))
    });
    best.map(|(i, _)| i)
}

/// Index of the slot in which a task ends first.
pub(crate) fn choose_first(
    now: Time,
    slots: &[Slot],
    demand: &Demand,
    expected: Duration,
) -> Option<usize> {
    let fitting = fitting(now, slots, demand, expected);
    let first = fitting.min_by_key(|(_, slot)| finish_time(now, slot, expected));
    first.map(|(i, _)| i)
}

/// Index of the best slot for a task, and whether the task is expected to end there in time; `None`
/// if it fits in no slot.
pub fn choose_slot(
    now: Time,
    slots: &[Slot],
    demand: &Demand,
    expected: Duration,
    objective: Time,
) -> Option<(usize, bool)> {
    if let Some(i) = choose_safe(now, slots, demand, expected, objective) {
        return Some((i, true));
    }
    let first = choose_first(now, slots, demand, expected)?;
    Some((
        first,
        finish_time(now, &slots[first], expected) <= objective,
    ))
}
