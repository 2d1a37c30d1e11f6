//! Events of one process, stamped with a hybrid logical clock, and their merge over processes.
//!
//! A stamp is larger than every stamp that its process had seen before, so an event that was
//! caused by a message comes after the events that preceded the message. `merge` orders the
//! events of several processes by their stamps.
//!
//! The clock of the machine may jump: a stamp never goes back, and a stamp far ahead of the local
//! clock is not adopted, so that one broken clock doesn't move the stamps of all processes.

use std::collections::VecDeque;
use std::time::Duration;

use greengage_core::{value, Hlc, JobKey, TargetName, VmName, Wall};

/// How far a received stamp may be ahead of the local clock to be adopted.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60);

/// What happened.
#[value]
pub struct Event {
    /// When, comparable over all processes.
    pub at: Hlc,
    /// Where.
    pub vm: VmName,
    /// The submission that it concerns.
    pub key: Option<JobKey>,
    /// The target that it concerns.
    pub target: Option<TargetName>,
    /// What, as a sentence without a full stop.
    pub what: String,
}

/// The latest events of one process and its clock.
#[derive(Clone, Debug)]
pub struct Timeline {
    vm: VmName,
    capacity: usize,
    /// In the order of their stamps.
    events: VecDeque<Event>,
    clock: Hlc,
}

impl Timeline {
    /// An empty timeline that keeps the latest `capacity` events.
    pub fn new(vm: VmName, capacity: usize) -> Timeline {
        Timeline {
            vm,
            capacity,
            events: VecDeque::new(),
            clock: Hlc::default(),
        }
    }

    /// Records an event and returns its stamp; the oldest event makes room for it.
    pub fn record(
        &mut self,
        now: Wall,
        key: Option<JobKey>,
        target: Option<TargetName>,
        what: impl Into<String>,
    ) -> Hlc {
        let at = self.stamp(now);
        while self.events.len() >= self.capacity.max(1) {
            self.events.pop_front();
        }
        if self.capacity > 0 {
            self.events.push_back(Event {
                at,
                vm: self.vm.clone(),
                key,
                target,
                what: what.into(),
            });
        }
        at
    }

    /// The stamp of a message that is sent now.
    pub fn stamp(&mut self, now: Wall) -> Hlc {
        self.advance(self.clock, now)
    }

    /// Takes note of the stamp of a message that was received now; false when the stamp is too
    /// far ahead and was not adopted.
    pub fn observe(&mut self, stamp: Hlc, now: Wall) -> bool {
        let ahead = Duration::from_millis(stamp.wall.0.saturating_sub(now.0));
        // A stamp that isn't newer than the own clock, which jumped back since, changes nothing.
        let adopted = ahead <= MAX_CLOCK_SKEW || stamp <= self.clock;
        let received = if adopted { stamp } else { Hlc::default() };
        self.advance(self.clock.max(received), now);
        adopted
    }

    /// Sets the clock to the stamp that follows `previous`.
    fn advance(&mut self, previous: Hlc, now: Wall) -> Hlc {
        self.clock = if previous.count == u32::MAX {
            // The counter is used up, so the time of day goes on by one.
            previous.tick(now.max(Wall(previous.wall.0.saturating_add(1))))
        } else {
            previous.tick(now)
        };
        self.clock
    }

    /// The events that concern `key` and `target`, as far as these are given, the oldest first.
    pub fn select(&self, key: Option<&JobKey>, target: Option<&TargetName>) -> Vec<Event> {
        self.events
            .iter()
            .filter(|e| key.is_none() || e.key.as_ref() == key)
            .filter(|e| target.is_none() || e.target.as_ref() == target)
            .cloned()
            .collect()
    }
}

/// The events of several processes in causal order: by stamp, then by VM; events with the same
/// stamp and VM stay in the order of the lists.
pub fn merge(lists: Vec<Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = lists.into_iter().flatten().collect();
    events.sort_by(|a, b| a.at.cmp(&b.at).then_with(|| a.vm.cmp(&b.vm)));
    events
}
