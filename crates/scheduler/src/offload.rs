//! Offloaded tasks, which one entry VM runs for another, and the offers of free resources that lead
//! to them.

use std::time::Duration;

use greengage_contention::{choose_slot, Locality, Room, Slot};
use greengage_core::{Incarnation, TargetName, Time, VmName};

use crate::ends::RunOutcome;
use crate::event::{Effect, Reply};
use crate::job::TaskState;
use crate::peer::{OffloadOutcome, OffloadedTask, PeerMessage, ResourceOffer};
use crate::renewal::{is_expired, Renewal};
use crate::scheduler::{Peer, PeerView, Scheduler};
use crate::submit::outlasts;
use crate::target::{Origin, Run, RunParams};

/// Shortest interval between updates of offers, for up to `OFFER_INTERVAL_VMS` receivers. A trip
/// between zones takes a few milliseconds and a short task 50 ms, so older offers would send tasks
/// to targets that are full.
const OFFER_INTERVAL: Duration = Duration::from_millis(25);
/// Number of receivers above which the interval grows, to keep the messages per second constant.
const OFFER_INTERVAL_VMS: usize = 5;
/// Number of peers up to which all of them may get updates; with more, only those of the same zone
/// do. The broadcast interval grows with each further group of as many peers.
const BROADCAST_INTERVAL_VMS: usize = 16;
/// Interval between broadcasts of offers, for up to [`BROADCAST_INTERVAL_VMS`] peers.
const BROADCAST_INTERVAL: Duration = Duration::from_millis(300);
/// Shortest interval between updates after this VM has claimed or released targets. No other VM
/// claims a target before it knows that this one doesn't own it.
const OWNERS_INTERVAL: Duration = Duration::from_millis(50);
/// Number of broadcasts without which a live VM doesn't count this one as live.
const MISSED_BROADCASTS: u32 = 4;

/// The message by which another VM has offloaded tasks.
struct OffloadOrigin<'a> {
    from: &'a VmName,
    /// Incarnation of that VM.
    sender: Incarnation,
    /// The earliest time at which it may have been sent, from which its times count.
    sent: Time,
    /// The earliest time at which the callers of the tasks may have waited last.
    callers_checked: Time,
}

impl Scheduler {
    pub(crate) fn set_peers(&mut self, now: Time, peers: Vec<Peer>, out: &mut Vec<Effect>) {
        let mut live: Vec<&VmName> = peers.iter().map(|peer| &peer.candidate.vm).collect();
        live.sort_unstable();
        let lost = self.peers.keys();
        let lost = lost.filter(|vm| live.binary_search(vm).is_err());
        let lost: Vec<VmName> = lost.cloned().collect();
        for vm in lost {
            log::info!(event = "vm-lost", vm = vm.as_str(); "lost contact with an entry VM");
            self.peers.remove(&vm);
            self.peer_lost(now, &vm, out);
            self.reassign = true;
        }
        let mut joined = Vec::new();
        for peer in peers {
            match self.peers.get_mut(&peer.candidate.vm) {
                Some(view) => {
                    let restarted = view.peer.incarnation != peer.incarnation;
                    self.reassign |= view.peer != peer;
                    view.peer = peer.clone();
                    if restarted {
                        log::info!(event = "vm-restarted", vm = peer.candidate.vm.as_str();
                            "an entry VM has restarted");
                        (view.joined, view.last_offers) = (now, now);
                        (view.owned, view.offers, view.end) = (None, Vec::new(), None);
                        joined.push(peer.candidate.vm.clone());
                        self.peer_lost(now, &peer.candidate.vm, out);
                    }
                }
                None => {
                    log::info!(event = "vm-live", vm = peer.candidate.vm.as_str();
                        "an entry VM is live");
                    self.reassign = true;
                    self.last_join = now;
                    self.offers_changed = true;
                    let vm = peer.candidate.vm.clone();
                    let view = PeerView {
                        peer,
                        joined: now,
                        last_offers: now,
                        owned: None,
                        offers: Vec::new(),
                        end: None,
                        shortage: false,
                        partner: false,
                        renewal_due: false,
                    };
                    joined.push(vm.clone());
                    self.peers.insert(vm, view);
                }
            }
        }
        if !self.evacuated.is_empty() {
            self.review_partners();
        }
        // They claim no target before they know the owners.
        if !joined.is_empty() {
            let message = self.offers_message(now);
            out.extend(joined.into_iter().map(|to| Effect::Send {
                to,
                message: message.clone(),
            }));
        }
    }

    /// Handles the loss of a VM. Ends the jobs with tasks on it, and stops the runs for its own jobs,
    /// which their callers submit again elsewhere.
    fn peer_lost(&mut self, now: Time, vm: &VmName, out: &mut Vec<Effect>) {
        self.end_jobs_on(now, vm, out);
        self.stop_matching(now, |run| run.origin.is_offloaded_by(vm), out);
    }

    /// Stops offloading to VMs that are live but send no offers, and ends the jobs with tasks there.
    /// Such a VM doesn't count this one as live, since nothing that this one sends arrives.
    pub(crate) fn review_silent_peers(&mut self, now: Time, out: &mut Vec<Effect>) {
        let limit = self.max_offer_age();
        let silent = self.peers.iter_mut();
        let silent = silent.filter(|(_, view)| now.since(view.last_offers) >= limit);
        let mut vms = Vec::new();
        for (vm, view) in silent {
            view.offers.clear();
            vms.push(vm.clone());
        }
        for vm in vms {
            self.end_jobs_on(now, &vm, out);
        }
    }

    /// Ends the jobs with tasks on a VM, whose outcome can't be known in time.
    fn end_jobs_on(&mut self, now: Time, vm: &VmName, out: &mut Vec<Effect>) {
        let offloaded =
            |state: &TaskState| matches!(state, TaskState::Remote { vm: other, .. } if other == vm);
        let jobs: Vec<u64> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.tasks.iter().any(|task| offloaded(&task.state)))
            .map(|(job_id, _)| *job_id)
            .collect();
        for job_id in jobs {
            self.finish(now, job_id, Reply::TimedOut, out);
        }
    }

    pub(crate) fn stop_matching(
        &mut self,
        now: Time,
        predicate: impl Fn(&Run) -> bool,
        out: &mut Vec<Effect>,
    ) {
        let mut stops = Vec::new();
        for (name, target) in self.targets.used() {
            for run in target.runs.iter().filter(|run| predicate(run)) {
                stops.push((name.clone(), run.task.clone(), run.number));
            }
        }
        for (name, task, job_id) in stops {
            self.stop_run(now, &name, &task, job_id, out);
        }
    }

    pub(crate) fn on_peer_message(
        &mut self,
        now: Time,
        (from, sent, message): (VmName, Time, PeerMessage),
        out: &mut Vec<Effect>,
    ) {
        match message {
            PeerMessage::Renew {
                sender,
                receiver,
                callers_age,
                number,
                needed,
            } => {
                let renewal = Renewal {
                    sent,
                    callers_age,
                    sender,
                    receiver,
                    number,
                    needed,
                };
                self.on_renewal(now, &from, renewal, out);
            }
            PeerMessage::Offers {
                owned,
                offers,
                shortage,
                time_left,
            } => {
                // Offers that are older have been cleared, and owners may have changed since.
                if now.since(sent) >= self.max_offer_age() {
                    return;
                }
                let zone = self.peers.get(&from).map(|view| &view.peer.candidate.zone);
                let ignored = zone.is_some_and(|zone| self.ignores_offers(zone, sent));
                if let Some(view) = self.peers.get_mut(&from) {
                    self.offers_changed |= shortage && !view.shortage;
                    let is_first = view.owned.is_none();
                    view.owned = Some(owned);
                    view.last_offers = view.last_offers.max(sent);
                    view.offers = if ignored { Vec::new() } else { offers };
                    let least = self.least_waiting;
                    let fits = |offer: &ResourceOffer| least.is_some_and(|l| l.fits(&offer.free));
                    self.dispatch_due |= view.offers.iter().any(fits);
                    view.end = time_left.map(|left| sent + left);
                    view.shortage = shortage;
                    // This VM's first message may have arrived before it was a peer there.
                    if is_first {
                        let message = self.offers_message(now);
                        out.push(Effect::Send { to: from, message });
                    }
                }
            }
            PeerMessage::Run {
                sender,
                callers_age,
                tasks,
            } => {
                let origin = OffloadOrigin {
                    from: &from,
                    sender,
                    sent,
                    callers_checked: sent - callers_age,
                };
                for task in tasks {
                    self.run_offloaded(now, &origin, task, out);
                }
            }
            PeerMessage::Ended(ends) => {
                for (offload_id, end) in ends {
                    self.offload_ended(now, &from, offload_id, end, out);
                }
            }
            PeerMessage::Stop(offload_ids) => {
                let requested = |run: &Run| match &run.origin {
                    Origin::Peer { vm, offload_id } => {
                        *vm == from && offload_ids.contains(offload_id)
                    }
                    Origin::Local(_) => false,
                };
                self.stop_matching(now, requested, out);
            }
        }
    }

    /// Starts a task that another VM has offloaded.
    fn run_offloaded(
        &mut self,
        now: Time,
        origin: &OffloadOrigin<'_>,
        offload: OffloadedTask,
        out: &mut Vec<Effect>,
    ) {
        let (from, sent) = (origin.from, origin.sent);
        let accepted = self.accepts_offload(now, from, origin.sender, offload.offload_id);
        let expired = is_expired(now, origin.callers_checked);
        if expired {
            log::info!(event = "offload-late", vm = from.as_str(), task = &*offload.task,
                age_ms = now.since(sent).as_millis() as u64,
                callers_ms = now.since(origin.callers_checked).as_millis() as u64;
                "refused a task whose caller may have left");
        }
        let target = (accepted && !expired)
            .then(|| self.offload_target(now, sent, &offload))
            .flatten();
        let Some(target) = target else {
            self.report_outcome(now, from, offload.offload_id, OffloadOutcome::NotStarted);
            self.offers_changed = true;
            return;
        };
        let params = RunParams {
            task: offload.task,
            number: offload.number,
            origin: Origin::Peer {
                vm: from.clone(),
                offload_id: offload.offload_id,
            },
            queue: offload.queue,
            demand: offload.demand,
            declared: offload.declared,
            deadline: sent + offload.deadline,
        };
        let mut run = Run::new(now, params);
        run.renewed = origin.callers_checked;
        self.start_run(now, &target, run, offload.spec, out);
    }

    fn offload_target(&self, now: Time, sent: Time, offload: &OffloadedTask) -> Option<TargetName> {
        let mut slots = Vec::new();
        let mut names = Vec::new();
        for (name, target) in self.targets.used().filter(|(_, t)| t.accepts_tasks(now)) {
            slots.push(Slot {
                room: Room::new(target.unreserved()),
                speed: target.speed.factor(),
                delay: Duration::ZERO,
                locality: Locality::Local,
                excluded: !target.serves(&offload.service, offload.label.as_ref()),
            });
            names.push(name);
        }
        let expected = self
            .estimates
            .expected_run_time(&offload.queue, offload.declared);
        let is_leaving = self.leaving.is_some_and(|l| outlasts(now, expected, l.end));
        if is_leaving || self.document.is_none() {
            return None;
        }
        let objective = sent + offload.objective;
        let (slot, _) = choose_slot(now, &slots, &offload.demand, expected, objective)?;
        Some(names[slot].clone())
    }

    fn offload_ended(
        &mut self,
        now: Time,
        from: &VmName,
        id: u64,
        end: OffloadOutcome,
        out: &mut Vec<Effect>,
    ) {
        let Some(job_id) = self.offloaded.remove(&id) else {
            return;
        };
        let has_id =
            |s: &TaskState| matches!(s, TaskState::Remote { offload_id: t, .. } if *t == id);
        let job = self.jobs.get(&job_id);
        let Some((job, task)) = job.and_then(|job| {
            let task = job.tasks.iter().position(|task| has_id(&task.state));
            task.map(|task| (job, task))
        }) else {
            return;
        };
        let outcome = match end {
            OffloadOutcome::Done => RunOutcome::Done,
            OffloadOutcome::Failed => RunOutcome::Failed,
            OffloadOutcome::TooLong => RunOutcome::TooLong,
            OffloadOutcome::Unknown => return self.finish(now, job_id, Reply::TimedOut, out),
            OffloadOutcome::NotRunning => RunOutcome::NotRunning,
            OffloadOutcome::NotStarted => {
                // Offers that fit the task were out of date; smaller ones may still hold.
                let demand = job.steps[job.tasks[task].step].demand;
                if let Some(view) = self.peers.get_mut(from) {
                    view.offers.retain(|offer| !demand.fits(&offer.free));
                }
                RunOutcome::NotStarted
            }
        };
        self.task_ended(now, job_id, task, outcome, None, out);
    }

    /// Sends this VM's targets and offers to its peers: updates to those with a shortage, changes of
    /// owners to those that are near, and a periodic broadcast to all.
    pub(crate) fn send_offers(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.peers.is_empty() {
            return;
        }
        let shortage = now < self.shortage_until;
        let broadcast_due = now.since(self.offers_broadcast) >= self.broadcast_interval();
        let owners_due = self.owners_changed && now.since(self.offers_sent) >= OWNERS_INTERVAL;
        let near_due = owners_due || shortage && !self.shortage_sent;
        let receivers = self.peers.values().filter(|view| self.wants_updates(view));
        let interval =
            OFFER_INTERVAL * receivers.count().div_ceil(OFFER_INTERVAL_VMS).max(1) as u32;
        let update_due = self.offers_changed && now.since(self.offers_sent) >= interval;
        if !broadcast_due && !near_due && !update_due {
            return;
        }
        (self.offers_sent, self.offers_changed) = (now, false);
        if broadcast_due {
            self.offers_broadcast = now;
        }
        if broadcast_due || near_due {
            (self.shortage_sent, self.owners_changed) = (shortage, false);
        }
        let message = self.offers_message(now);
        for (vm, _) in self.peers.iter().filter(|(_, other)| {
            broadcast_due || near_due && self.is_near(other) || self.wants_updates(other)
        }) {
            out.push(Effect::Send {
                to: vm.clone(),
                message: message.clone(),
            });
        }
    }

    fn broadcast_interval(&self) -> Duration {
        BROADCAST_INTERVAL * self.peers.len().div_ceil(BROADCAST_INTERVAL_VMS) as u32
    }

    /// Age at which offers aren't used any more.
    fn max_offer_age(&self) -> Duration {
        self.broadcast_interval() * MISSED_BROADCASTS
    }

    fn offers_message(&self, now: Time) -> PeerMessage {
        let (owned, offers) = self.own_offers(now);
        PeerMessage::Offers {
            owned,
            offers,
            shortage: now < self.shortage_until,
            time_left: self.leaving.map(|leaving| leaving.end.since(now)),
        }
    }

    /// Whether a VM may claim a target of this zone, or gets updates of offers while it is short.
    fn is_near(&self, view: &PeerView) -> bool {
        let in_zone = view.peer.candidate.zone == *self.zone();
        self.peers.len() <= BROADCAST_INTERVAL_VMS || in_zone || view.partner
    }

    /// Whether a VM gets updates as soon as offers change.
    fn wants_updates(&self, view: &PeerView) -> bool {
        view.shortage && self.is_near(view)
    }

    fn own_offers(&self, now: Time) -> (Vec<TargetName>, Vec<ResourceOffer>) {
        let mut owned = Vec::new();
        let mut offers = Vec::new();
        for (name, target) in self.targets.used() {
            if target.ownership != crate::target::Ownership::Unowned {
                owned.push(name.clone());
            }
            let free = target.unreserved();
            if self.document.is_some() && target.accepts_tasks(now) && free.milli_cores > 0 {
                offers.push(ResourceOffer {
                    free,
                    speed: (target.speed.factor() * 100.0) as u32,
                });
            }
        }
        (owned, offers)
    }
}
