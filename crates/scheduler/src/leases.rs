//! Ownership of targets: claims, holds and hand-over.
//!
//! A VM claims a target that is assigned to it once each live VM has told which targets it owns, and
//! none of them owns it. The generation of a claim is higher than all earlier ones: the time of day
//! in milliseconds, raised if the target knows a higher generation, and a hash of the VM's name that
//! keeps the generations of two VMs apart. The VM stops the runs of earlier owners before it starts
//! its first one, and doesn't renew their lease.
//!
//! A VM claims a target of another zone only if a VM of that zone is live, or after the target has
//! reported for a while since its assignment. A live VM of that zone is shutting down, since the
//! target would be assigned to it otherwise, and shows that the zone isn't cut off.
//!
//! A target that is assigned to another VM is handed over once its runs have ended. Only part of
//! such targets are released at a time, so that a VM that leaves or returns doesn't take all its
//! targets out of use at once.

use std::time::Duration;

use greengage_core::{Incarnation, TargetName, Time, VmName, WallTime, ZoneName};

use crate::assignment::{assign, name_hash, Candidate};
use crate::event::{
    Departure, Effect, HoldCall, HoldResult, RunListing, StopCall, TargetCall, TargetReport,
};
use crate::scheduler::{PeerView, Scheduler};
use crate::target::{Ownership, Target};

/// How long a target must have been assigned to this VM, and no peer added, before it is claimed.
/// VMs with different lists of peers would fence each other.
const CLAIM_DELAY: Duration = Duration::from_millis(150);
/// How long a target of another zone must have reported since its assignment before it is claimed.
/// When a partition ends, its report may arrive before the heartbeat of its owner.
const OTHER_ZONE_CLAIM_DELAY: Duration = Duration::from_millis(1000);
/// How long a VM that hasn't told which targets it owns may own any of them. Its first message
/// arrives within milliseconds, unless messages get lost.
const UNKNOWN_OWNER_DELAY: Duration = Duration::from_millis(1000);
/// Pause in claims after one that was fenced by another generation.
const FENCED_BACKOFF: Duration = Duration::from_millis(500);
/// Added to the generation of a claim after a fenced one; it doubles each time.
const GENERATION_BUMP_MS: u64 = 8_000;
/// Number of generations in a millisecond, one of which belongs to each VM by the hash of its name.
/// Two VMs with different lists of peers may claim a target in the same millisecond, and both would
/// start tasks under an equal generation. JSON readers are exact up to 2^53, which generations
/// reach in 2039.
const GENERATIONS_PER_MS: u64 = 1 << 12;
/// How long a target may wait for an end before it answers a hold. Each hold renews the lease,
/// which must last for several of them; stalled runs show only in the answers.
pub(crate) const HOLD_WAIT: Duration = Duration::from_millis(200);
/// Like `HOLD_WAIT`, on a target without runs. A start grants a lease itself, which lasts until the
/// hold after the current one.
pub(crate) const IDLE_HOLD_WAIT: Duration = Duration::from_millis(380);
/// Like `HOLD_WAIT`, while the runs of earlier owners are being stopped.
const CLAIM_HOLD_WAIT: Duration = Duration::from_millis(15);
/// Pause after the second and further consecutive holds without an answer. The first one is
/// repeated at once, since only its answer may be lost.
const MISSED_HOLD_BACKOFF: Duration = Duration::from_millis(100);
/// Interval between checks for silent targets.
const SILENCE_REVIEW_INTERVAL: Duration = Duration::from_millis(200);
/// Divisor of a VM's targets: the part that may be in release at a time.
const RELEASE_DIVISOR: usize = 4;
/// Time after the start of a shutdown at which all targets are released, so that it ends in time:
/// tasks run for up to a few seconds, and a shutdown may take 6 s.
const RELEASE_ALL_AFTER: Duration = Duration::from_millis(2000);
/// Time without reports and hold answers after which a target is removed.
const SILENT_TARGET_TIMEOUT: Duration = Duration::from_secs(8);

impl Scheduler {
    pub(crate) fn on_target_report(
        &mut self,
        now: Time,
        report: TargetReport,
        out: &mut Vec<Effect>,
    ) {
        if self.departures.covers(now, &report) {
            return;
        }
        if self.is_foreign(&report) {
            log::info!(event = "report-ignored", target = report.target.as_str(),
                service = &*report.service; "a report names a service that isn't configured");
            return;
        }
        let name = report.target.clone();
        let is_stale = |target: &Target| {
            let known = (target.report.incarnation, target.report.sequence);
            let is_first = !target.reported && report.incarnation == target.report.incarnation;
            (report.incarnation, report.sequence) <= known && !is_first
        };
        // If two targets report the same address, the older one has been replaced.
        let same_address = self.targets.at_address(&report.address);
        if let Some(other) = same_address.filter(|other| **other != name).cloned() {
            let holder = self.targets.get(&other).map(|target| &target.report);
            // A foreign report may have been accepted before the first configuration arrived.
            let holder = holder.filter(|holder| self.is_configured(&holder.service));
            if holder.is_some_and(|holder| holder.incarnation >= report.incarnation) {
                return;
            }
            self.target_lost(now, &other, out);
        }
        let evacuated = self.is_evacuated(&report.zone);
        match self.targets.get_mut(&name) {
            None => {
                log::info!(event = "target-known", target = name.as_str(),
                    address = report.address.as_str(), life = report.incarnation.0;
                    "a target has reported for the first time");
                if self.targets.is_empty() {
                    self.first_target = Some(now);
                }
                let target = Target {
                    evacuated,
                    ..Target::new(now, report)
                };
                self.targets.insert(name, target);
                self.reassign = true;
            }
            Some(target) if is_stale(target) => {}
            Some(target) if target.lost && report.incarnation == target.report.incarnation => {}
            Some(target) => {
                if report.incarnation > target.report.incarnation {
                    self.target_restarted(&name, report.incarnation);
                }
                self.targets.set_address(&name, &report.address);
                if let Some(target) = self.targets.get_mut(&name) {
                    if report.draining != target.report.draining {
                        log::info!(event = "target-drains", target = name.as_str(),
                            draining = report.draining; "a target has changed its draining state");
                        self.offers_changed = true;
                    }
                    self.reassign |= report.zone != target.report.zone;
                    self.dispatch_due |= !target.reported;
                    self.offers_changed |= !target.reported;
                    target.report = report;
                    target.evacuated = evacuated;
                    target.reported = true;
                    target.last_report = now;
                    if target.assigned_since.is_some_and(|since| now > since) {
                        target.first_report = target.first_report.or(Some(now));
                    }
                }
            }
        }
    }

    /// Whether a service is configured, as far as this VM knows.
    fn is_configured(&self, service: &str) -> bool {
        let document = self.document.as_ref();
        document.is_none_or(|document| document.service(service).is_some())
    }

    /// Whether a report comes from a program that isn't a target of this deployment, although its
    /// address may be that of one. A target whose service was removed from the configuration goes on
    /// to report.
    fn is_foreign(&self, report: &TargetReport) -> bool {
        let known = self.targets.get(&report.target);
        let has_served = known.is_some_and(|target| target.report.service == report.service);
        !has_served && !self.is_configured(&report.service)
    }

    /// Drops the targets whose reports were accepted before a configuration told that they are foreign.
    /// The name may be that of a target, whose own reports would count as those of an earlier process.
    pub(crate) fn drop_foreign(&mut self, now: Time, out: &mut Vec<Effect>) {
        let targets = self.targets.iter();
        let foreign = targets.filter(|(_, t)| !self.is_configured(&t.report.service));
        let foreign: Vec<TargetName> = foreign.map(|(name, _)| name.clone()).collect();
        for name in foreign {
            self.target_lost(now, &name, out);
        }
    }

    /// Handles a restart of a target. The runs of its earlier incarnation have ended, but a recent
    /// start may have reached the new one, so each run is stopped there before its task may start
    /// elsewhere.
    fn target_restarted(&mut self, name: &TargetName, incarnation: Incarnation) {
        log::info!(event = "target-restarted", target = name.as_str(), life = incarnation.0;
            "a target has restarted");
        if let Some(target) = self.targets.get_mut(name) {
            target.restart(incarnation);
        }
        self.offers_changed = true;
    }

    /// Handles the notice of a target that leaves. The notice of an earlier incarnation may arrive
    /// after the first report of a later one, which it doesn't concern.
    pub(crate) fn on_target_left(
        &mut self,
        now: Time,
        departure: &Departure,
        out: &mut Vec<Effect>,
    ) {
        let name = &departure.target;
        let known = self.targets.get(name).map(|t| t.report.incarnation);
        if known.is_some() && departure.incarnation.is_some_and(|left| Some(left) < known) {
            return;
        }
        self.departures.record(now, departure, known);
        if known.is_some() {
            self.target_lost(now, name, out);
        }
    }

    /// Assigns, claims, hands over and removes targets, and sends the holds that are due.
    pub(crate) fn review_ownership(&mut self, now: Time, wall: WallTime, out: &mut Vec<Effect>) {
        if std::mem::take(&mut self.reassign) {
            self.assign_targets(now);
        }
        if now.since(self.silence_reviewed) >= SILENCE_REVIEW_INTERVAL {
            self.silence_reviewed = now;
            self.remove_silent(now, out);
            self.targets.prune_used();
        }
        self.release_some(now);
        let names: Vec<TargetName> = self.targets.used().map(|(name, _)| name.clone()).collect();
        for name in names {
            self.review_lease(now, wall, &name, out);
        }
    }

    fn assign_targets(&mut self, now: Time) {
        let mut vms: Vec<Candidate> = self
            .peers
            .values()
            .filter(|view| !view.peer.leaving)
            .map(|view| view.peer.candidate.clone())
            .collect();
        if self.leaving.is_none() {
            vms.push(self.setup.candidate.clone());
        }
        vms.sort_by(|a, b| a.vm.cmp(&b.vm));
        let present = self.targets.iter().filter(|(_, target)| !target.lost);
        let targets: Vec<(&TargetName, &ZoneName)> = present
            .map(|(name, target)| (name, &target.report.zone))
            .collect();
        let mut owners = assign(&targets, &vms).into_iter();
        for target in self.targets.values_mut() {
            let owner = match target.lost {
                true => None,
                false => owners.next().flatten(),
            };
            let assigned = owner.is_some_and(|i| vms[i].vm == self.setup.candidate.vm);
            target.assigned_since = match (assigned, target.assigned_since) {
                (true, since) => Some(since.unwrap_or(now)),
                (false, _) => None,
            };
            target.first_report = target.first_report.filter(|_| assigned);
            target.releasing &= !assigned;
        }
        self.targets.review_used();
    }

    /// Selects the targets to be handed over that accept no more tasks, those with the fewest runs
    /// first.
    fn release_some(&mut self, now: Time) {
        let release_all = self
            .leaving
            .is_some_and(|leaving| now.since(leaving.since) >= RELEASE_ALL_AFTER);
        let owned = self.owned();
        let limit = if release_all {
            owned
        } else {
            owned.div_ceil(RELEASE_DIVISOR)
        };
        let mut outgoing: Vec<(bool, usize, TargetName)> = Vec::new();
        self.targets.for_each_used(|name, target| {
            let is_owned = target.ownership != Ownership::Unowned;
            if is_owned && target.assigned_since.is_none() && !target.lost {
                outgoing.push((!target.releasing, target.runs.len(), name.clone()));
            }
        });
        outgoing.sort_unstable();
        for (_, _, name) in outgoing.into_iter().take(limit) {
            if let Some(target) = self.targets.get_mut(&name) {
                self.offers_changed |= !target.releasing;
                target.releasing = true;
            }
        }
    }

    fn remove_silent(&mut self, now: Time, out: &mut Vec<Effect>) {
        let is_silent = |t: &Target| {
            let held = t.ownership == Ownership::Owned && t.hold.misses == 0;
            !held && now.since(t.last_report) > SILENT_TARGET_TIMEOUT && now >= t.lease_end
        };
        let expired: Vec<TargetName> = self
            .targets
            .iter()
            .filter(|(_, target)| is_silent(target))
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            self.target_lost(now, &name, out);
        }
    }

    /// Whether a target that is assigned to this VM may be claimed now.
    fn may_claim(&self, now: Time, name: &TargetName, target: &Target) -> bool {
        let is_settled = |since: Time| now.since(since.max(self.last_join)) >= CLAIM_DELAY;
        if !target.assigned_since.is_some_and(is_settled) || now < target.claim_after {
            return false;
        }
        // A zone without a live VM may be cut off and continue on its own. Claims of its targets
        // would reach them when the partition ends, and fence their owners.
        let zone = &target.report.zone;
        let zone_live =
            zone == self.zone() || self.peers.values().any(|v| v.peer.candidate.zone == *zone);
        let is_stable = |first_report: Time| now.since(first_report) >= OTHER_ZONE_CLAIM_DELAY;
        let reachable = zone_live || target.first_report.is_some_and(is_stable);
        let may_own = |view: &PeerView| match &view.owned {
            Some(owned) => owned.contains(name),
            None => now.since(view.joined) < UNKNOWN_OWNER_DELAY,
        };
        reachable && !self.peers.values().any(may_own)
    }

    fn review_lease(
        &mut self,
        now: Time,
        wall: WallTime,
        name: &TargetName,
        out: &mut Vec<Effect>,
    ) {
        let Some(target) = self.targets.get(name) else {
            return;
        };
        let claim = target.ownership == Ownership::Unowned && self.may_claim(now, name, target);
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        match (&target.ownership, target.assigned_since) {
            (Ownership::Unowned, _) if claim => {
                target.mark_runs_stopping();
                target.ownership = Ownership::Claiming;
                target.generation = next_generation(wall, target, &self.setup.candidate.vm);
                target.hold.next = now;
                self.owners_changed = true;
                log::info!(event = "target-claimed", target = name.as_str(),
                    generation = target.generation; "claiming a target");
            }
            (Ownership::Unowned, _) => return,
            (Ownership::Claiming | Ownership::Owned, None) if target.runs.is_empty() => {
                log::info!(event = "target-released", target = name.as_str();
                    "released a target to its next owner");
                target.release();
                (self.offers_changed, self.owners_changed) = (true, true);
                return;
            }
            (Ownership::Claiming | Ownership::Owned, _) => {}
        }
        self.send_hold(now, name, out);
    }

    fn send_hold(&mut self, now: Time, name: &TargetName, out: &mut Vec<Effect>) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        if target.ownership == Ownership::Unowned
            || target.hold.sent.is_some()
            || now < target.hold.next
        {
            return;
        }
        let owned = target.ownership == Ownership::Owned;
        // A target that doesn't answer gets no new lease, so that its runs count as ended once the
        // last one has expired.
        let overdue = target.has_overdue_stop(now) || target.has_expired_run(now);
        let needed = !target.runs.is_empty();
        let renew = owned && target.hold.misses == 0 && needed && !overdue;
        let lease = match renew {
            true => target.grant_lease(now),
            false => None,
        };
        let wait = match owned {
            true => target.hold_wait(),
            false if target.clock.is_none() => Duration::ZERO,
            false => CLAIM_HOLD_WAIT,
        };
        let observed = target.observed;
        target.hold.sent = Some(now);
        let call = HoldCall {
            observed,
            lease,
            wait,
        };
        self.call(name, TargetCall::Hold(call), out);
    }

    pub(crate) fn on_hold_result(
        &mut self,
        now: Time,
        name: &TargetName,
        generation: u64,
        result: HoldResult,
        out: &mut Vec<Effect>,
    ) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        if target.generation != generation || target.ownership == Ownership::Unowned {
            return;
        }
        let sent = target.hold.sent.take().unwrap_or(now);
        match result {
            HoldResult::Unknown => {
                target.hold.misses += 1;
                if target.hold.misses > 1 {
                    target.hold.next = now + MISSED_HOLD_BACKOFF;
                    return;
                }
                log::info!(event = "target-silent", target = name.as_str(),
                    runs = target.runs.len(); "a target did not answer a hold");
                self.offers_changed = true;
                self.send_hold(now, name, out);
            }
            HoldResult::Fenced => self.on_fenced(now, name, generation),
            HoldResult::OtherLife => {
                target.hold.misses += 1;
                target.hold.next = now + MISSED_HOLD_BACKOFF;
                self.target_lost(now, name, out);
            }
            HoldResult::Lists {
                clock,
                incarnation,
                running,
                ended,
            } => {
                if let Some(incarnation) =
                    incarnation.filter(|incarnation| *incarnation > target.report.incarnation)
                {
                    return self.target_restarted(name, incarnation);
                }
                if target.hold.misses > 0 {
                    log::info!(event = "target-answers", target = name.as_str();
                        "a target answers again");
                    self.offers_changed = true;
                }
                target.clock = Some((clock, now));
                target.hold.misses = 0;
                target.generation_bump = 0;
                target.last_report = now;
                if target.ownership == Ownership::Claiming {
                    let foreign_runs = foreign_runs(target, &running);
                    if foreign_runs.is_empty() {
                        target.ownership = Ownership::Owned;
                        self.offers_changed = true;
                        self.dispatch_due = true;
                    }
                    for call in foreign_runs {
                        self.call(name, TargetCall::Stop(call), out);
                    }
                }
                self.apply_lists(now, name, sent, (running, ended), out);
                self.send_hold(now, name, out);
            }
        }
    }

    /// Another VM has claimed the target with a higher generation than that of a call, and takes over
    /// its runs. A call of an earlier claim says nothing about the current one.
    pub(crate) fn on_fenced(&mut self, now: Time, name: &TargetName, generation: u64) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        if target.generation != generation || target.ownership == Ownership::Unowned {
            return;
        }
        log::info!(event = "target-fenced", target = name.as_str(),
            generation = target.generation;
            "another VM has claimed a target with a higher generation");
        target.generation_bump = (target.generation_bump * 2).max(GENERATION_BUMP_MS);
        target.claim_after = now + FENCED_BACKOFF;
        // The new owner may renew the lease of runs that it hasn't stopped yet.
        target.lease_end = target.lease_end.max(now + crate::target::LEASE_DURATION);
        target.release();
        self.offers_changed = true;
    }
}

/// The generation of a VM's claim: by the time of day, and higher than all that it knows.
fn next_generation(wall: WallTime, target: &Target, vm: &VmName) -> u64 {
    let time = wall.0 + target.generation_bump;
    let time = time.max(target.generation / GENERATIONS_PER_MS + 1);
    time * GENERATIONS_PER_MS + name_hash(vm.as_str()) % GENERATIONS_PER_MS
}

/// Stop calls for the runs of earlier owners.
fn foreign_runs(target: &Target, running: &[RunListing]) -> Vec<StopCall> {
    let others = running
        .iter()
        .filter(|row| target.find_run(&row.task, row.run).is_none());
    others
        .map(|row| StopCall {
            task: row.task.clone(),
            number: row.run,
        })
        .collect()
}
