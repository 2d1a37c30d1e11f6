//! Forecast of the free resources of a target.
//!
//! A [`Room`] is a step function of time: the capacity less what runs use up to their expected ends,
//! and less what is claimed for tasks that start later.

use std::time::Duration;

use greengage_core::{value, Demand, Time};

/// Part of its age for which a run past its expected end is expected to go on. A run that has taken
/// much longer than usual is one of the few that take several times as long.
const OVERDUE_DIVISOR: u32 = 4;

/// Progress from which the end of a run is extrapolated; targets report whole percents, rounded
/// down.
const MIN_PERCENT: u32 = 10;

/// What is known of a run.
#[value(copy)]
pub struct Progress {
    /// When its start was sent.
    pub sent: Time,
    /// Expected run time on its target.
    pub expected: Duration,
    /// Progress in percent, as listed last.
    pub percent: u32,
    /// When that progress was first listed.
    pub listed: Time,
}

/// Expected end of a run, later than `now`.
pub fn expected_end(now: Time, run: &Progress) -> Time {
    let end = match run.percent >= MIN_PERCENT {
        true => run.sent + run.listed.since(run.sent) * 100 / run.percent,
        false => run.sent + run.expected,
    };
    match end > now {
        true => end,
        false => now + (now.since(run.sent) / OVERDUE_DIVISOR).max(Duration::from_millis(1)),
    }
}

/// Free resources of one target over time.
#[value]
#[derive(Default)]
pub struct Room {
    /// Free now.
    free: Demand,
    /// Free from each time on until the next one, ascending.
    steps: Vec<(Time, Demand)>,
}

impl Room {
    /// Room that doesn't change.
    pub fn new(free: Demand) -> Room {
        Room {
            free,
            steps: Vec::new(),
        }
    }

    /// Free resources now.
    pub fn free(&self) -> &Demand {
        &self.free
    }

    /// The times at which the free resources change, ascending.
    pub fn changes(&self) -> impl Iterator<Item = Time> + '_ {
        self.steps.iter().map(|(time, _)| *time)
    }

    /// Index of the step that begins at a time; inserts it if there is none.
    fn step_at(&mut self, time: Time) -> usize {
        match self.steps.binary_search_by_key(&time, |(t, _)| *t) {
            Ok(i) => i,
            Err(i) => {
                let before = i.checked_sub(1).map_or(self.free, |b| self.steps[b].1);
                self.steps.insert(i, (time, before));
                i
            }
        }
    }

    /// What stays free: no claim reduces it.
    pub fn least(&self) -> Demand {
        self.steps
            .iter()
            .fold(self.free, |least, (_, free)| Demand {
                milli_cores: least.milli_cores.min(free.milli_cores),
                memory_mib: least.memory_mib.min(free.memory_mib),
                accelerators: least.accelerators.min(free.accelerators),
            })
    }

    /// Whether the demand is free from `start` until `end`.
    pub fn fits(&self, start: Time, end: Time, demand: &Demand) -> bool {
        let from = self.steps.partition_point(|(t, _)| *t <= start);
        let before = from.checked_sub(1).map_or(&self.free, |i| &self.steps[i].1);
        let within = self.steps[from..].iter().take_while(|(t, _)| *t < end);
        demand.fits(before) && within.into_iter().all(|(_, free)| demand.fits(free))
    }

    /// The earliest time at which a task with this demand can start and run for `run_time`.
    pub fn earliest(&self, now: Time, run_time: Duration, demand: &Demand) -> Option<Time> {
        let mut starts = std::iter::once(now).chain(self.changes().filter(|t| *t > now));
        starts.find(|start| self.fits(*start, *start + run_time, demand))
    }

    /// Takes resources from `start` until `end`; `now` is the present time.
    pub fn claim(&mut self, now: Time, (start, end): (Time, Time), demand: &Demand) {
        self.change(now, (start, end), |free| free.saturating_sub(demand));
    }

    /// Gives back a claim.
    pub fn withdraw(&mut self, now: Time, (start, end): (Time, Time), demand: &Demand) {
        self.change(now, (start, end), |free| free.saturating_add(demand));
    }

    fn change(&mut self, now: Time, span: (Time, Time), change: impl Fn(&Demand) -> Demand) {
        let (start, end) = span;
        let first = match start > now {
            true => self.step_at(start),
            false => 0,
        };
        // The free resources after the end are those before the claim.
        let last = self.step_at(end);
        if start <= now {
            self.free = change(&self.free);
        }
        for (_, free) in &mut self.steps[first..last] {
            *free = change(free);
        }
    }
}
