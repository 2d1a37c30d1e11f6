//! Target reports held by a control VM.
//!
//! Reports are forwarded to all live entry VMs in batches. A VM that becomes live receives the
//! recent reports immediately, so that it can take over targets without waiting for their next
//! reports.
//!
//! Reports are also written to disk, at a limited rate and only after targets were added, removed
//! or changed. After a power loss of the whole deployment, entry VMs can claim the known targets
//! without waiting for them to report. A stored report is only a hint: a target that has ended
//! since does not answer the claim, and a report with a higher sequence number replaces it.

use std::time::Duration;

use greengage_core::{SortedMap, TargetName, Time};
use greengage_scheduler::{Departure, Departures, TargetReport};

/// Minimum time between two batches. Reports are not urgent, except those of a draining target,
/// which are sent immediately.
const BATCH_INTERVAL: Duration = Duration::from_millis(150);
/// Reports older than this are not forwarded to a VM that becomes live.
const FORWARD_MAX_AGE: Duration = Duration::from_secs(5);

/// Minimum time between two writes to disk. Each write costs a sync, which delays edits.
const STORE_INTERVAL: Duration = Duration::from_secs(2);
/// Reports older than this are not stored: a running target reports every few seconds.
const STORE_MAX_AGE: Duration = Duration::from_secs(10);

/// Latest report of each target, with the state of forwarding and storing.
pub(crate) struct Reports {
    latest: SortedMap<TargetName, (TargetReport, Time)>,
    departures: Departures,
    pending: Vec<TargetReport>,
    batch_due: Time,
    /// Whether the reports on disk are out of date.
    dirty: bool,
    /// Earliest time of the next write to disk.
    store_due: Time,
}

/// Whether the reports differ in more than the sequence number.
fn content_differs(old: &TargetReport, new: &TargetReport) -> bool {
    TargetReport {
        sequence: old.sequence,
        ..new.clone()
    } != *old
}

impl Reports {
    /// Creates the state from the reports on disk, which count as received at `now`.
    pub(crate) fn new(now: Time, stored: Vec<TargetReport>) -> Reports {
        let stored = stored.into_iter();
        Reports {
            latest: stored.map(|r| (r.target.clone(), (r, now))).collect(),
            departures: Departures::default(),
            pending: Vec::new(),
            batch_due: now,
            dirty: false,
            store_due: now,
        }
    }

    /// Records a report, unless the same or a later one is known.
    pub(crate) fn add(&mut self, now: Time, report: TargetReport) {
        if self.departures.covers(now, &report) {
            return;
        }
        let order = |r: &TargetReport| (r.incarnation, r.sequence);
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

    /// Drops the reports of a target that has left, unless they are of a later incarnation.
    pub(crate) fn remove(&mut self, now: Time, departure: &Departure) {
        let target = &departure.target;
        let known = self
            .latest
            .get(target)
            .map(|(report, _)| report.incarnation);
        if known.is_some() && departure.incarnation.is_some_and(|left| Some(left) < known) {
            return;
        }
        self.departures.record(now, departure, known);
        self.dirty |= self.latest.remove(target).is_some();
        self.pending.retain(|report| report.target != *target);
    }

    /// When the next batch or write to disk is due; `None` while neither is pending.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        let batch = (!self.pending.is_empty()).then_some(self.batch_due);
        let store = self.dirty.then_some(self.store_due);
        batch.into_iter().chain(store).min()
    }

    /// Requests another write, because the configuration or the VM list stored with the reports
    /// has changed.
    pub(crate) fn mark_dirty(&mut self) {
        self.dirty = true;
    }

    /// Returns the reports to store if a write is due, and clears the dirty flag.
    pub(crate) fn take_for_storage(&mut self, now: Time) -> Option<Vec<TargetReport>> {
        if !self.dirty || now < self.store_due {
            return None;
        }
        (self.dirty, self.store_due) = (false, now + STORE_INTERVAL);
        Some(self.received_within(now, STORE_MAX_AGE))
    }

    /// Takes the pending batch if it is due; otherwise returns an empty one.
    pub(crate) fn take_batch(&mut self, now: Time) -> Vec<TargetReport> {
        if self.pending.is_empty() || now < self.batch_due {
            return Vec::new();
        }
        self.batch_due = now + BATCH_INTERVAL;
        std::mem::take(&mut self.pending)
    }

    /// Reports recent enough to be forwarded to a VM that becomes live.
    pub(crate) fn recent(&self, now: Time) -> Vec<TargetReport> {
        self.received_within(now, FORWARD_MAX_AGE)
    }

    fn received_within(&self, now: Time, age: Duration) -> Vec<TargetReport> {
        let latest = self.latest.values();
        let within = latest.filter(|(_, received)| now.since(*received) < age);
        within.map(|(report, _)| report.clone()).collect()
    }
}
