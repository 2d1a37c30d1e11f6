//! Targets that have left the deployment.
//!
//! Reports reach a VM over several control VMs, so one that a target sent before it left may arrive
//! after the notice that it has left, or be forwarded to a VM that has just started. Such reports are
//! ignored for a while; those of a later incarnation aren't.

use std::time::Duration;

use greengage_core::{Incarnation, SortedMap, TargetName, Time};

use crate::event::{Departure, TargetReport};

/// Time for which a departure is kept: longer than links hold messages and than reports are stored.
const DEPARTURE_LIFETIME: Duration = Duration::from_secs(60);

/// Limit on the departures that are kept: more than the targets that leave a large deployment within a
/// minute. Anyone who reaches a control VM may give notice for targets that don't exist.
const MAX_DEPARTURES: usize = 16_384;
/// Minimum time between two searches for departures that are over, each of which looks at all.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// A target that has left.
#[derive(Debug)]
struct Left {
    /// Its latest incarnation.
    incarnation: Incarnation,
    /// When it became known that it has left.
    since: Time,
    /// Whether it had reported.
    known: bool,
}

/// The targets that have left.
#[derive(Debug, Default)]
pub struct Departures {
    by_target: SortedMap<TargetName, Left>,
    sweep_due: Time,
    /// Number of departures that weren't recorded.
    dropped: u64,
}

impl Departures {
    /// Records a departure; `known` is the incarnation of the target's last report. Without any
    /// incarnation, or for a target that doesn't tell its own, reports before and after the departure
    /// can't be told apart, and nothing is recorded. If there are too many, one of a target that isn't
    /// known isn't recorded, and that of a known one replaces the oldest, of an unknown one if possible.
    pub fn record(&mut self, now: Time, departure: &Departure, known: Option<Incarnation>) {
        if now >= self.sweep_due {
            self.sweep_due = now + SWEEP_INTERVAL;
            self.by_target
                .retain(|_, left| now.since(left.since) < DEPARTURE_LIFETIME);
        }
        let incarnation = departure.incarnation.max(known);
        let Some(incarnation) = incarnation.filter(|i| *i > Incarnation(0)) else {
            return;
        };
        let target = &departure.target;
        if self.by_target.len() >= MAX_DEPARTURES && !self.by_target.contains(target) {
            if known.is_none() {
                self.dropped += 1;
                return log::info!(event = "departure-dropped", target = target.as_str(),
                    dropped = self.dropped;
                    "ignored the departure of an unknown target, since too many have left");
            }
            let left = self.by_target.iter();
            let oldest = left.min_by_key(|(_, left)| (left.known, left.since));
            if let Some(oldest) = oldest.map(|(target, _)| target.clone()) {
                self.by_target.remove(&oldest);
            }
        }
        let before = self.by_target.get(target);
        let left = Left {
            incarnation,
            since: now,
            known: known.is_some() || before.is_some_and(|left| left.known),
        };
        self.by_target.insert(target.clone(), left);
    }

    /// Number of departures that weren't recorded, as there were too many.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Whether a report is of an incarnation that has left.
    pub fn covers(&self, now: Time, report: &TargetReport) -> bool {
        let left = self.by_target.get(&report.target);
        left.is_some_and(|left| {
            report.incarnation <= left.incarnation && now.since(left.since) < DEPARTURE_LIFETIME
        })
    }
}
