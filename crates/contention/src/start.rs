//! When the tasks of a job start.
//!
//! The load that this answers: jobs of several tasks compete for fewer targets than they need. A job
//! is in time only if its last task is, so one that starts with a part of its tasks and finds no
//! room for the others uses targets for nothing. A job starts when each of its tasks is expected to
//! start in time. Room that is not free yet is kept for it: its tasks claim the time between their
//! expected start and end, and tasks of jobs that come later in the order run only beside the
//! claims, or before them.

use std::time::Duration;

use greengage_core::{value, Demand, Time};

use crate::placement::{choose_first, choose_safe, finish_time, Locality, Slot};

/// Safety margin on the time until room is expected, in percent. A run may take 60 % longer than
/// expected, and a job waits for the last of several.
const AWAITED_MARGIN_PERCENT: u32 = 100;

/// Divisor of the waiting tasks of a job that goes in waves: the part that needs a place when it
/// starts.
const WAVE_DIVISOR: usize = 8;

/// What a waiting task needs.
#[value(copy)]
pub struct Need {
    /// Resources.
    pub demand: Demand,
    /// Expected run time on a target of usual speed.
    pub expected: Duration,
    /// Run time that is considered possible at best.
    pub best_case: Duration,
    /// When it has to end to be in time.
    pub objective: Time,
    /// When it has to end to be of use.
    pub deadline: Time,
    /// Whether it may be late.
    pub any_time: bool,
}

/// A place of a task, claimed in the forecast of its slot.
#[value(copy)]
pub struct Placement {
    /// Index of the slot.
    pub slot: usize,
    /// Expected start.
    pub start: Time,
    /// Expected end.
    pub end: Time,
    /// The claimed resources.
    pub demand: Demand,
}

/// What becomes of a job in a round of placement.
#[value(copy, key)]
pub enum Decision {
    /// The tasks whose place is free now are started.
    Start,
    /// Nothing is started; room is kept for the job, up to the latest expected start.
    Keep(Time),
    /// Some task has no place in time.
    Wait,
}

impl Need {
    /// A place in a slot, from a time on.
    fn at(&self, start: Time, slot: usize, found: &Slot) -> Placement {
        Placement {
            slot,
            start,
            end: finish_time(start, found, self.expected),
            demand: self.demand,
        }
    }
}

impl Placement {
    /// Takes the resources in the forecast of the slot.
    pub fn claim(&self, now: Time, slots: &mut [Slot]) {
        let span = (self.start, self.end);
        slots[self.slot].room.claim(now, span, &self.demand);
    }

    /// Gives the resources back.
    pub fn withdraw(&self, now: Time, slots: &mut [Slot]) {
        let span = (self.start, self.end);
        slots[self.slot].room.withdraw(now, span, &self.demand);
    }
}

/// The best place for a task among slots that are free now and in which it ends in time even if it
/// takes longer than expected.
pub fn place_safe(now: Time, slots: &[Slot], need: &Need) -> Option<Placement> {
    let slot = choose_safe(now, slots, &need.demand, need.expected, need.objective)?;
    Some(need.at(now, slot, &slots[slot]))
}

/// The place in which a task ends first among slots that are free now, for one without a safe place.
pub fn place_now(now: Time, slots: &[Slot], need: &Need) -> Option<Placement> {
    let slot = choose_first(now, slots, &need.demand, need.expected)?;
    let useful = finish_time(now, &slots[slot], need.best_case) <= need.deadline;
    let in_time = finish_time(now, &slots[slot], need.expected) <= need.objective;
    (useful && (in_time || need.any_time)).then(|| need.at(now, slot, &slots[slot]))
}

/// The slot of this VM in which a task is expected to start first. It still ends in time if the runs
/// that are awaited take longer than expected.
pub fn place_later(now: Time, slots: &[Slot], need: &Need) -> Option<Placement> {
    let limit = match need.any_time {
        true => need.deadline,
        false => need.objective,
    };
    let local = slots.iter().enumerate();
    let local = local.filter(|(_, s)| s.locality == Locality::Local && !s.excluded);
    let starts = local.filter_map(|(i, slot)| {
        let run_time = finish_time(now, slot, need.expected).since(now);
        let start = slot.room.earliest(now, run_time, &need.demand)?;
        let delayed = start + start.since(now) * AWAITED_MARGIN_PERCENT / 100;
        (finish_time(delayed, slot, need.expected) <= limit).then_some((start, i, run_time))
    });
    let (start, slot, _) = starts.min()?;
    Some(need.at(start, slot, &slots[slot]))
}

/// Decides about a job with `waiting` tasks, of which `placements` have a place. A job that is wider
/// than the service (`waves`) has targets goes in waves, and starts with the first of them.
pub fn decide(
    now: Time,
    (started, waves): (bool, bool),
    waiting: usize,
    placements: &[Placement],
) -> Decision {
    let needed = match (started, waves) {
        (true, _) => 1,
        (false, true) => waiting.div_ceil(WAVE_DIVISOR),
        (false, false) => waiting,
    };
    let latest = placements.iter().map(|p| p.start).max();
    let Some(latest) = latest.filter(|_| placements.len() >= needed) else {
        return Decision::Wait;
    };
    match placements.iter().any(|p| p.start <= now) {
        true => Decision::Start,
        false => Decision::Keep(latest),
    }
}
