//! Renewal of offloaded runs, which also repairs lost messages between entry VMs.
//!
//! A message is lost when a connection between two live VMs is replaced. The VM that has offloaded
//! runs therefore lists those that it needs in each renewal, and the VM that runs them compares the
//! list with what it knows:
//!
//! - The outcome of a run that has ended is sent again. Outcomes are kept until a renewal no longer
//!   lists the run.
//! - A run that never arrived is reported as not started. It may still arrive, over an earlier
//!   connection; it is refused then, as its id isn't higher than the renewal's number, or since
//!   its VM has restarted.
//! - A run that isn't listed is stopped, since the message that stops it was lost.
//! - A run is stopped at the latest deadline that a renewal has told, as a job lasts longer when it
//!   is submitted again.
//! - A run that hasn't been listed for a while is stopped, since its VM may be lost.
//!
//! A run and a renewal count from the earliest time at which their message may have been sent, less
//! the time since the sender last knew that its callers wait. So neither a link that holds messages
//! nor a sender that was paused lengthens anything. A run that is older than the time for which a
//! renewal lasts is refused: its VM may have ended the job since.
//!
//! A task is therefore started again only once its run has ended or can't start any more.

use std::time::Duration;

use greengage_core::{Incarnation, SortedMap, Time, VmName};

use crate::event::Effect;
use crate::job::TaskState;
use crate::peer::{OffloadOutcome, PeerMessage};
use crate::scheduler::Scheduler;
use crate::target::{Origin, Run};

/// Interval between renewals of offloaded runs.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(120);
/// Time without a renewal after which an offloaded run is stopped: more than three intervals. Counts
/// from when the caller was last known to wait, as does the time for which tasks are started for it.
/// Together with a lease, it is shorter than the time after which callers submit their jobs again.
pub(crate) const RENEWAL_TIMEOUT: Duration = Duration::from_millis(450);
/// Time after which an outcome is sent again: several round trips, as a renewal may have been sent
/// before the outcome arrived.
const REPEAT_DELAY: Duration = Duration::from_millis(50);
/// Time after which the state of a VM that is no longer live is dropped: longer than callers wait
/// for the jobs that it may still ask about.
const RECORD_TIMEOUT: Duration = Duration::from_secs(60);

/// What this VM remembers of the runs that another VM has offloaded to it.
#[derive(Debug)]
pub(crate) struct OffloadRecord {
    /// Incarnation of the VM.
    sender: Incarnation,
    /// Number of the VM's latest renewal.
    renewal: u64,
    /// Outcomes that the VM may not have received, and when they were last sent, by offload id.
    outcomes: SortedMap<u64, (OffloadOutcome, Time)>,
    /// When the record last changed.
    changed: Time,
}

impl OffloadRecord {
    fn new(now: Time, sender: Incarnation) -> OffloadRecord {
        OffloadRecord {
            sender,
            renewal: 0,
            outcomes: SortedMap::new(),
            changed: now,
        }
    }
}

/// Whether the right to a run that was last renewed at this time has ended.
pub(crate) fn is_expired(now: Time, renewed: Time) -> bool {
    now.since(renewed) >= RENEWAL_TIMEOUT
}

/// A renewal as it was received.
pub(crate) struct Renewal {
    /// The earliest time at which it may have been sent.
    pub(crate) sent: Time,
    /// Time, before that, since the callers were last known to wait.
    pub(crate) callers_age: Duration,
    /// Incarnation of the sender.
    pub(crate) sender: Incarnation,
    /// Incarnation of the receiver; another one doesn't know the runs of this one.
    pub(crate) receiver: Incarnation,
    /// Number of the renewal, from the same sequence as offload ids.
    pub(crate) number: u64,
    /// Offload ids, ascending, each with the time left until the run is stopped.
    pub(crate) needed: Vec<(u64, Duration)>,
}

impl Renewal {
    /// The earliest time at which the callers may have waited last.
    fn callers_checked(&self) -> Time {
        self.sent - self.callers_age
    }

    /// The time left until a run is stopped; `None` if it isn't listed.
    fn time_left(&self, offload_id: u64) -> Option<Duration> {
        let index = self.needed.binary_search_by_key(&offload_id, |(id, _)| *id);
        index.ok().map(|index| self.needed[index].1)
    }

    fn lists(&self, offload_id: u64) -> bool {
        self.time_left(offload_id).is_some()
    }
}

impl Scheduler {
    /// Renews the offloaded runs of this VM, and stops those of other VMs that weren't renewed.
    pub(crate) fn review_offloads(&mut self, now: Time, out: &mut Vec<Effect>) {
        if now.since(self.last_renewal) >= RENEWAL_INTERVAL {
            self.last_renewal = now;
            self.send_renewals(now, out);
            self.review_silent_peers(now, out);
        }
        let expired = |run: &Run| run.origin.is_remote() && is_expired(now, run.renewed);
        self.stop_matching(now, expired, out);
        let peers = &self.peers;
        self.offload_records
            .retain(|vm, record| peers.contains(vm) || now.since(record.changed) < RECORD_TIMEOUT);
    }

    /// Sends a renewal to each VM with offloaded runs, and one more when the last run has ended, so
    /// that the VM can drop the outcomes.
    pub(crate) fn send_renewals(&mut self, now: Time, out: &mut Vec<Effect>) {
        let mut needed: SortedMap<VmName, Vec<(u64, Duration)>> = SortedMap::new();
        for job in self.jobs.values() {
            let time_left = job.deadline.since(now);
            for task in &job.tasks {
                if let TaskState::Remote { vm, offload_id } = &task.state {
                    needed
                        .get_or_insert_with(vm.clone(), Vec::new)
                        .push((*offload_id, time_left));
                }
            }
        }
        let callers_age = self.callers_age(now);
        let due = self.peers.iter_mut().filter(|(_, view)| view.renewal_due);
        for (vm, view) in due {
            let mut needed = needed.remove(vm).unwrap_or_default();
            needed.sort_unstable();
            view.renewal_due = !needed.is_empty();
            self.last_offload_id += 1;
            out.push(Effect::Send {
                to: vm.clone(),
                message: PeerMessage::Renew {
                    sender: self.setup.incarnation,
                    receiver: view.peer.incarnation,
                    callers_age,
                    number: self.last_offload_id,
                    needed,
                },
            });
        }
    }

    /// Whether a run that has arrived may start. It may not if its VM isn't a known peer, since
    /// nothing would stop it if that VM were lost, and not after a later renewal, which has
    /// reported it as not running or didn't list it.
    pub(crate) fn accepts_offload(
        &mut self,
        now: Time,
        from: &VmName,
        sender: Incarnation,
        offload_id: u64,
    ) -> bool {
        let view = self.peers.get(from);
        let current = view.is_some_and(|view| view.peer.incarnation == sender);
        current && offload_id > self.offload_record(now, from, sender).renewal
    }

    /// The record of a VM, a new one if there is none of this incarnation.
    fn offload_record(
        &mut self,
        now: Time,
        vm: &VmName,
        sender: Incarnation,
    ) -> &mut OffloadRecord {
        let record = self
            .offload_records
            .get_or_insert_with(vm.clone(), || OffloadRecord::new(now, sender));
        if record.sender != sender {
            *record = OffloadRecord::new(now, sender);
        }
        record
    }

    /// Reports the outcome of an offloaded run, and keeps it until it was received.
    pub(crate) fn report_outcome(
        &mut self,
        now: Time,
        vm: &VmName,
        offload_id: u64,
        outcome: OffloadOutcome,
    ) {
        if let Some(record) = self.offload_records.get_mut(vm) {
            record.outcomes.insert(offload_id, (outcome, now));
            record.changed = now;
        }
        self.offload_outcomes
            .get_or_insert_with(vm.clone(), Vec::new)
            .push((offload_id, outcome));
    }

    /// Reports the runs for other VMs whose end isn't known, stops them, and sends the outcomes that
    /// may not have been received again, because this VM is about to exit.
    pub(crate) fn report_remaining(&mut self, now: Time, out: &mut Vec<Effect>) {
        let mut outcomes: Vec<(VmName, u64, OffloadOutcome)> = Vec::new();
        for (vm, record) in self.offload_records.iter() {
            let sent = record.outcomes.iter();
            outcomes.extend(sent.map(|(id, (outcome, _))| (vm.clone(), *id, *outcome)));
        }
        let runs = self.targets.used().flat_map(|(_, target)| &target.runs);
        for run in runs.filter(|run| !run.notified) {
            if let Origin::Peer { vm, offload_id } = &run.origin {
                outcomes.push((vm.clone(), *offload_id, OffloadOutcome::Unknown));
            }
        }
        for (vm, offload_id, outcome) in outcomes {
            self.report_outcome(now, &vm, offload_id, outcome);
        }
        self.stop_matching(now, |run| run.origin.is_remote(), out);
    }

    pub(crate) fn on_renewal(
        &mut self,
        now: Time,
        from: &VmName,
        renewal: Renewal,
        out: &mut Vec<Effect>,
    ) {
        let view = self.peers.get(from);
        let current = view.is_none_or(|view| view.peer.incarnation == renewal.sender);
        if renewal.receiver != self.setup.incarnation || !current {
            return;
        }
        let record = self.offload_record(now, from, renewal.sender);
        // One that was overtaken by a later renewal may list runs that have ended since.
        if renewal.number <= record.renewal {
            return;
        }
        (record.renewal, record.changed) = (renewal.number, now);
        // One that was overtaken by a later run can't list it.
        let is_later = |id: &u64| *id > renewal.number;
        record
            .outcomes
            .retain(|id, _| is_later(id) || renewal.lists(*id));
        let known = self.renew_runs(from, &renewal);
        let needed = renewal.needed.iter().map(|(id, _)| id);
        for offload_id in needed.filter(|id| known.binary_search(id).is_err()) {
            let record = self.offload_records.get(from);
            let outcome = match record.and_then(|record| record.outcomes.get(offload_id)) {
                Some((_, sent)) if now.since(*sent) < REPEAT_DELAY => continue,
                Some((outcome, _)) => *outcome,
                // It never arrived.
                None => OffloadOutcome::NotStarted,
            };
            log::info!(event = "outcome-repeated", vm = from.as_str(), id = *offload_id,
                outcome:? = outcome; "a message about an offloaded run was lost");
            self.report_outcome(now, from, *offload_id, outcome);
        }
        let unneeded = |run: &Run| {
            let id = run.origin.offload_id(from);
            id.is_some_and(|id| id < renewal.number && !renewal.lists(id))
        };
        self.stop_matching(now, unneeded, out);
    }

    /// Renews the listed runs and extends their deadlines. Returns the ascending offload ids of those
    /// whose end hasn't been reported.
    fn renew_runs(&mut self, from: &VmName, renewal: &Renewal) -> Vec<u64> {
        let mut known = Vec::new();
        self.targets.for_each_used(|_, target| {
            for run in &mut target.runs {
                let Some(offload_id) = run.origin.offload_id(from) else {
                    continue;
                };
                if let Some(time_left) = renewal.time_left(offload_id) {
                    run.renewed = run.renewed.max(renewal.callers_checked());
                    run.deadline = run.deadline.max(renewal.sent + time_left);
                    if !run.notified {
                        known.push(offload_id);
                    }
                }
            }
        });
        known.sort_unstable();
        known
    }
}
