//! A log of the events of one process, timestamped with a hybrid logical clock, and the merge of
//! the logs of several processes.
//!
//! A stamp is larger than every stamp that the process has issued or adopted before, so an event
//! that was caused by a message is ordered after the events that preceded the message. `merge`
//! orders the events of several processes by their stamps.
//!
//! The wall clock of a machine may jump. Stamps never decrease, and a received stamp that is more
//! than [`MAX_CLOCK_SKEW`] ahead of the local clock is not adopted, so that one wrong clock doesn't
//! advance the stamps of all processes.

use std::collections::VecDeque;
use std::time::Duration;

use greengage_core::{value, Hlc, JobKey, TargetName, VmName, WallTime};

/// How far a received stamp may be ahead of the local wall clock and still be adopted.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60);

/// An event of the timeline.
#[value]
pub struct Event {
    /// Stamp of the event, comparable across processes.
    pub at: Hlc,
    /// The VM that recorded the event.
    pub vm: VmName,
    /// The submission that it concerns, if any.
    pub key: Option<JobKey>,
    /// The target that it concerns, if any.
    pub target: Option<TargetName>,
    /// Description as a sentence without a full stop.
    pub what: String,
}

/// The latest events of one process and its clock.
#[derive(Clone, Debug)]
pub struct Timeline {
    vm: VmName,
    capacity: usize,
    /// Sorted by stamp.
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

    /// Records an event and returns its stamp; at capacity, the oldest event is evicted.
    pub fn record(
        &mut self,
        now: WallTime,
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

    /// A new stamp, for an event or for a message that is sent now.
    pub fn stamp(&mut self, now: WallTime) -> Hlc {
        self.advance(self.clock, now)
    }

    /// Advances the clock for a message that is received now. Returns false when the message's
    /// stamp is too far ahead and was not adopted.
    pub fn observe(&mut self, stamp: Hlc, now: WallTime) -> bool {
        let ahead = Duration::from_millis(stamp.wall.0.saturating_sub(now.0));
        // After the wall clock jumped back, even stamps up to the process's own latest one look too
        // far ahead. They don't advance the clock, so they are adopted.
        let adopted = ahead <= MAX_CLOCK_SKEW || stamp <= self.clock;
        let received = if adopted { stamp } else { Hlc::default() };
        self.advance(self.clock.max(received), now);
        adopted
    }

    /// Sets the clock to the successor of `previous` at `now`.
    fn advance(&mut self, previous: Hlc, now: WallTime) -> Hlc {
        self.clock = if previous.counter == u32::MAX {
            // The counter is exhausted, so the wall time advances by 1 ms.
            previous.tick(now.max(WallTime(previous.wall.0.saturating_add(1))))
        } else {
            previous.tick(now)
        };
        self.clock
    }

    /// The events that concern `key` and `target`, oldest first; `None` matches all events.
    pub fn select(&self, key: Option<&JobKey>, target: Option<&TargetName>) -> Vec<Event> {
        self.events
            .iter()
            .filter(|e| key.is_none() || e.key.as_ref() == key)
            .filter(|e| target.is_none() || e.target.as_ref() == target)
            .cloned()
            .collect()
    }
}

/// Merges the events of several processes into causal order: by stamp, then by VM. Events with the
/// same stamp and VM keep the order of the lists.
pub fn merge(lists: Vec<Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = lists.into_iter().flatten().collect();
    events.sort_by(|a, b| a.at.cmp(&b.at).then_with(|| a.vm.cmp(&b.vm)));
    events
}
