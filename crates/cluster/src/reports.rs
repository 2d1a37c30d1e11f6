//! Reports of targets at a control VM.
//!
//! Reports are passed on to all live entry VMs in batches. A VM that becomes live gets the recent
//! ones at once, so that it can take over targets without waiting for their next reports.
//!
//! The reports are stored as well, now and then and only when targets have come, gone or changed.
//! After a loss of all power entry VMs can then claim the targets of before at once. A stored
//! report is only a hint: a target that has ended since doesn't answer its claim, and a report with
//! a higher sequence replaces it.

use std::time::Duration;

use greengage_core::{SortedMap, TargetName, Time};
use greengage_scheduler::TargetReport;

/// Time between two batches. Reports change nothing urgent, except that a target leaves.
const BATCH_INTERVAL: Duration = Duration::from_millis(150);
/// Reports older than this are not passed on to a VM that becomes live.
const FORWARD_MAX_AGE: Duration = Duration::from_secs(5);

/// Time between two copies on disk. A copy takes one sync of the disk that edits wait for too.
const STORE_INTERVAL: Duration = Duration::from_secs(2);
/// Reports older than this are not stored: their targets report every few seconds while they live.
const STORE_MAX_AGE: Duration = Duration::from_secs(10);

/// What a control VM heard from targets.
pub(crate) struct Reports {
    latest: SortedMap<TargetName, (TargetReport, Time)>,
    pending: Vec<TargetReport>,
    batch_due: Time,
    /// Whether the copy on disk is out of date, and when the next one may be made.
    dirty: bool,
    store_due: Time,
}

/// Whether a report tells more than that its target is still there.
fn content_differs(old: &TargetReport, new: &TargetReport) -> bool {
    TargetReport {
        sequence: old.sequence,
        ..new.clone()
    } != *old
}

impl Reports {
    /// Starts from the stored reports.
    pub(crate) fn new(now: Time, stored: Vec<TargetReport>) -> Reports {
        let stored = stored.into_iter();
        Reports {
            latest: stored.map(|r| (r.target.clone(), (r, now))).collect(),
            pending: Vec::new(),
            batch_due: now,
            dirty: false,
            store_due: now,
        }
    }

    /// Notes a report, unless a later one is known.
    pub(crate) fn add(&mut self, now: Time, report: TargetReport) {
        let order = |r: &TargetReport| (r.life, r.sequence);
        let known = self.latest.get(&report.target);
        if known.is_some_and(|(latest, _)| order(latest) >= order(&report)) {
            return;
        }
        self.dirty |= known.is_none_or(|(latest, _)| content_differs(latest, &report));
        if report.draining {
            self.batch_due = now;
        }
        self.pending.push(report.clone());
        self.latest.insert(report.target.clone(), (report, now));
    }

    /// Forgets a target that has left.
    pub(crate) fn remove(&mut self, target: &TargetName) {
        self.dirty |= self.latest.remove(target).is_some();
        self.pending.retain(|report| report.target != *target);
    }

    /// When the next batch or copy is due.
    pub(crate) fn wake(&self) -> Option<Time> {
        let batch = (!self.pending.is_empty()).then_some(self.batch_due);
        let store = self.dirty.then_some(self.store_due);
        batch.into_iter().chain(store).min()
    }

    /// Asks for another copy, since what goes with it has changed.
    pub(crate) fn mark_dirty(&mut self) {
        self.dirty = true;
    }

    /// What has to be stored now, if anything.
    pub(crate) fn take_for_storage(&mut self, now: Time) -> Option<Vec<TargetReport>> {
        if !self.dirty || now < self.store_due {
            return None;
        }
        (self.dirty, self.store_due) = (false, now + STORE_INTERVAL);
        Some(self.received_within(now, STORE_MAX_AGE))
    }

    /// The batch, once it is due.
    pub(crate) fn take_batch(&mut self, now: Time) -> Vec<TargetReport> {
        if self.pending.is_empty() || now < self.batch_due {
            return Vec::new();
        }
        self.batch_due = now + BATCH_INTERVAL;
        std::mem::take(&mut self.pending)
    }

    /// The recent reports.
    pub(crate) fn recent(&self, now: Time) -> Vec<TargetReport> {
        self.received_within(now, FORWARD_MAX_AGE)
    }

    fn received_within(&self, now: Time, age: Duration) -> Vec<TargetReport> {
        let latest = self.latest.values();
        let within = latest.filter(|(_, received)| now.since(*received) < age);
        within.map(|(report, _)| report.clone()).collect()
    }
}
