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

/// The latest incarnation of each target that has left, and when that became known.
#[derive(Debug, Default)]
pub struct Departures {
    by_target: SortedMap<TargetName, (Incarnation, Time)>,
}

impl Departures {
    /// Records a departure; `known` is the incarnation of the target's last report. Without any
    /// incarnation, or for a target that doesn't tell its own, reports before and after the departure
    /// can't be told apart, and nothing is recorded.
    pub fn record(&mut self, now: Time, departure: &Departure, known: Option<Incarnation>) {
        self.by_target
            .retain(|_, (_, left)| now.since(*left) < DEPARTURE_LIFETIME);
        let incarnation = departure.incarnation.max(known);
        if let Some(incarnation) = incarnation.filter(|i| *i > Incarnation(0)) {
            self.by_target
                .insert(departure.target.clone(), (incarnation, now));
        }
    }

    /// Whether a report is of an incarnation that has left.
    pub fn covers(&self, now: Time, report: &TargetReport) -> bool {
        let departure = self.by_target.get(&report.target);
        departure.is_some_and(|(incarnation, left)| {
            report.incarnation <= *incarnation && now.since(*left) < DEPARTURE_LIFETIME
        })
    }
}
