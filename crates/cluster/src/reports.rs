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
//!
//! A report may come from another program that uses the name of a target. It names a service that isn't
//! configured, which only the VMs that use targets can tell, since a configuration may be on its way. So
//! the reports of one name are kept and ordered for each service that they name.

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

/// Limit on the services for which reports of one name are kept. Beyond it, the report that was received
/// first is dropped.
const MAX_SERVICES: usize = 4;

/// Estimated memory of a report besides its texts, and of one of its labels.
const REPORT_BYTES: usize = 256;
const LABEL_BYTES: usize = 32;
/// Minimum time between two searches for reports to drop, each of which looks at all reports.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The latest reports of each target, with the state of forwarding and storing.
///
/// They take a limited memory, half of it at most for services that aren't configured. If it is used up,
/// these give way, and targets that have been silent for long; else a report that needs more is dropped,
/// so that targets which go on reporting stay known.
pub(crate) struct Reports {
    /// One report for each service that is named, and when it was received.
    latest: SortedMap<TargetName, Vec<(TargetReport, Time)>>,
    departures: Departures,
    pending: Vec<TargetReport>,
    batch_due: Time,
    /// Whether the reports on disk are out of date.
    dirty: bool,
    /// Earliest time of the next write to disk.
    store_due: Time,
    /// Estimated memory of `latest`, and its limit.
    bytes: usize,
    most: usize,
    sweep_due: Time,
    /// Number of reports that were dropped for lack of memory.
    dropped: u64,
}

/// Estimated memory of a report.
fn report_bytes(report: &TargetReport) -> usize {
    let labels = report.labels.iter().map(|label| LABEL_BYTES + label.len());
    let names = [
        report.target.as_str(),
        &report.service,
        report.address.as_str(),
        report.zone.as_str(),
    ];
    // The target's name is a key as well.
    REPORT_BYTES
        + names.map(str::len).iter().sum::<usize>()
        + names[0].len()
        + labels.sum::<usize>()
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
    /// They take `most` bytes.
    pub(crate) fn new(now: Time, stored: Vec<TargetReport>, most: usize) -> Reports {
        let mut latest: SortedMap<TargetName, Vec<(TargetReport, Time)>> = SortedMap::new();
        let mut bytes = 0;
        for report in stored {
            bytes += report_bytes(&report);
            let known = latest.get_or_insert_with(report.target.clone(), Vec::new);
            known.push((report, now));
        }
        Reports {
            latest,
            departures: Departures::default(),
            pending: Vec::new(),
            batch_due: now,
            dirty: false,
            store_due: now,
            bytes,
            most,
            sweep_due: now,
            dropped: 0,
        }
    }

    /// Records a report, unless the same or a later one is known. `is_configured` tells whether a
    /// service is configured, as far as this VM knows.
    pub(crate) fn add(
        &mut self,
        now: Time,
        report: TargetReport,
        is_configured: impl Fn(&str) -> bool,
    ) {
        if self.departures.covers(now, &report) {
            return;
        }
        let order = |r: &TargetReport| (r.incarnation, r.sequence);
        let known = self
            .latest
            .get(&report.target)
            .map_or(&[][..], Vec::as_slice);
        let same = known.iter().map(|(latest, _)| latest);
        let same = same
            .into_iter()
            .find(|latest| latest.service == report.service);
        if same.is_some_and(|latest| order(latest) >= order(&report)) {
            return;
        }
        let differs = same.is_none_or(|latest| content_differs(latest, &report));
        let replaced = match same {
            Some(latest) => Some(latest),
            None if known.len() < MAX_SERVICES => None,
            None => known
                .iter()
                .min_by_key(|(_, received)| *received)
                .map(|(r, _)| r),
        };
        let replaced = replaced.map(|r| (r.service.clone(), report_bytes(r)));
        let (freed, taken) = (
            replaced.as_ref().map_or(0, |(_, bytes)| *bytes),
            report_bytes(&report),
        );
        let needed = taken.saturating_sub(freed);
        let has_room = match is_configured(&report.service) {
            true => self.make_room(now, needed, is_configured),
            // One that isn't recorded is sent again, and is recorded once its service is configured.
            false => needed == 0 || self.bytes + needed <= self.most / 2,
        };
        if !has_room {
            self.dropped += 1;
            log::warn!(event = "report-dropped", target = report.target.as_str(),
                dropped = self.dropped, bytes = self.bytes;
                "dropped a report, since those of other targets take up the memory for them");
            return;
        }
        self.dirty |= differs;
        if report.draining {
            self.batch_due = now;
        }
        self.pending.push(report.clone());
        let reports = self
            .latest
            .get_or_insert_with(report.target.clone(), Vec::new);
        if let Some((service, _)) = replaced {
            reports.retain(|(latest, _)| {
                let stays = latest.service != service;
                if !stays {
                    self.bytes -= report_bytes(latest);
                }
                stays
            });
        }
        reports.push((report, now));
        self.bytes += taken;
    }

    /// Whether `needed` bytes more may be taken. If they don't fit, targets whose service isn't
    /// configured are forgotten, and those that have been silent for so long that their reports are
    /// neither stored nor forwarded.
    fn make_room(
        &mut self,
        now: Time,
        needed: usize,
        is_configured: impl Fn(&str) -> bool,
    ) -> bool {
        if self.bytes + needed > self.most && now >= self.sweep_due {
            self.sweep_due = now + SWEEP_INTERVAL;
            self.retain(|report, received| {
                is_configured(&report.service) && now.since(received) < STORE_MAX_AGE
            });
        }
        needed == 0 || self.bytes + needed <= self.most
    }

    /// Keeps the reports for which `keep` holds; it gets the time at which each was received.
    fn retain(&mut self, mut keep: impl FnMut(&TargetReport, Time) -> bool) {
        let mut bytes = 0;
        self.latest.retain(|_, reports| {
            reports.retain(|(report, received)| keep(report, *received));
            bytes += reports.iter().map(|(r, _)| report_bytes(r)).sum::<usize>();
            !reports.is_empty()
        });
        self.bytes = bytes;
    }

    /// Number of reports and departures that were dropped, as there were too many.
    pub(crate) fn dropped(&self) -> u64 {
        self.dropped + self.departures.dropped()
    }

    /// Drops the reports of a target that has left, except those of a later incarnation.
    pub(crate) fn remove(&mut self, now: Time, departure: &Departure) {
        let has_left = |report: &TargetReport| {
            report.target == departure.target
                && departure
                    .incarnation
                    .is_none_or(|left| report.incarnation <= left)
        };
        let mut known = None;
        if let Some(reports) = self.latest.get_mut(&departure.target) {
            reports.retain(|(report, _)| {
                let left = has_left(report);
                if left {
                    known = known.max(Some(report.incarnation));
                    self.bytes -= report_bytes(report);
                }
                !left
            });
            if reports.is_empty() {
                self.latest.remove(&departure.target);
            }
        }
        self.departures.record(now, departure, known);
        self.dirty |= known.is_some();
        self.pending.retain(|report| !has_left(report));
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
        let latest = self.latest.values().flatten();
        let within = latest.filter(|(_, received)| now.since(*received) < age);
        within.map(|(report, _)| report.clone()).collect()
    }
}
