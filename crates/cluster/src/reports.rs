//! Reports of targets at a control VM.
//!
//! Reports are passed on to all live entry VMs in batches. A VM that becomes live gets the recent
//! ones at once, so that it can take over targets without waiting for their next reports.

use std::time::Duration;

use greengage_core::{SortedMap, TargetName, Time};
use greengage_scheduler::TargetReport;

/// Time between two batches. Reports change nothing urgent, except that a target leaves.
const BATCH_EVERY: Duration = Duration::from_millis(150);
/// Reports older than this are not passed on to a VM that becomes live.
const FRESH: Duration = Duration::from_secs(5);

/// What a control VM heard from targets.
pub(crate) struct Reports {
    latest: SortedMap<TargetName, (TargetReport, Time)>,
    batch: Vec<TargetReport>,
    due: Time,
}

impl Reports {
    pub(crate) fn new(now: Time) -> Reports {
        Reports {
            latest: SortedMap::new(),
            batch: Vec::new(),
            due: now,
        }
    }

    /// Notes a report, unless a later one is known.
    pub(crate) fn add(&mut self, now: Time, report: TargetReport) {
        let order = |r: &TargetReport| (r.life, r.sequence);
        let known = self.latest.get(&report.target);
        if known.is_some_and(|(known, _)| order(known) >= order(&report)) {
            return;
        }
        if report.draining {
            self.due = now;
        }
        self.batch.push(report.clone());
        self.latest.insert(report.target.clone(), (report, now));
    }

    /// Forgets a target that has left.
    pub(crate) fn remove(&mut self, target: &TargetName) {
        self.latest.remove(target);
        self.batch.retain(|report| report.target != *target);
    }

    /// When the next batch is due.
    pub(crate) fn wake(&self) -> Option<Time> {
        (!self.batch.is_empty()).then_some(self.due)
    }

    /// The batch, once it is due.
    pub(crate) fn batch(&mut self, now: Time) -> Vec<TargetReport> {
        if self.batch.is_empty() || now < self.due {
            return Vec::new();
        }
        self.due = now + BATCH_EVERY;
        std::mem::take(&mut self.batch)
    }

    /// The recent reports.
    pub(crate) fn recent(&self, now: Time) -> Vec<TargetReport> {
        let latest = self.latest.values();
        let recent = latest.filter(|(_, at)| now.since(*at) < FRESH);
        recent.map(|(report, _)| report.clone()).collect()
    }
}
