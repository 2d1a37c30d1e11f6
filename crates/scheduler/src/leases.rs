//! Owning targets: claims, holds, handing over.
//!
//! A VM claims a target that the rule gives it once no live VM says that it owns it. The claim has
//! a generation above all earlier ones: the time of day in milliseconds, raised when the target
//! knows a higher one. Runs of an earlier owner are stopped before the first start, and their
//! lease isn't renewed until they are gone. A target of another zone is claimed only once it has
//! reported after its owner was lost, unless a VM of its zone is heard, which then shuts down.
//!
//! A target that the rule gives to another VM is handed over once its runs have ended; only a part
//! of them is emptied at a time, so that the room of a VM that leaves or returns isn't missing all
//! at once.

use std::time::Duration;

use greengage_core::{Incarnation, TargetName, Time, Wall, ZoneName};

use crate::event::{Effect, HoldCall, HoldResult, Listing, StopCall, TargetCall, TargetReport};
use crate::owner::{assign, Candidate};
use crate::scheduler::Scheduler;
use crate::target::{Lease, Target};

/// How long the rule must have given a target to this VM, and no VM must have been added to the
/// live ones, before it is claimed. VMs whose lists differ would fence one another off.
const SETTLE: Duration = Duration::from_millis(150);
/// How long a target of another zone must have been reporting again before it is claimed. When a
/// cut ends, its report may arrive before the heartbeat of the VM that owns it.
const FAR_SETTLE: Duration = Duration::from_millis(1000);
/// Pause after a claim that another generation has fenced off.
const FENCED_PAUSE: Duration = Duration::from_millis(500);
/// By how much a claim is raised after it was fenced, in milliseconds; it doubles.
const RAISE: u64 = 8_000;
/// How long a target may wait for an end before it answers a hold. A lease is renewed by each
/// hold, and several of them fit in one; stalled runs show only in its answers.
const HOLD_WAIT: Duration = Duration::from_millis(200);
/// The same while nothing runs there. A start grants a lease itself, which lasts until the hold
/// after this one.
const IDLE_WAIT: Duration = Duration::from_millis(380);
/// The same while the lists of earlier owners' runs are read.
const CLAIM_WAIT: Duration = Duration::from_millis(15);
/// Pause after the second hold in a row without an answer, and after further ones. After the first
/// one the lists are asked for again at once, since only that answer may be lost.
const MISSED_PAUSE: Duration = Duration::from_millis(100);
/// Time between two applications of the rule.
const ASSIGN_EVERY: Duration = Duration::from_millis(200);
/// The part of a VM's targets, as a divisor, that is emptied at a time to be handed over.
const EMPTYING_PART: usize = 4;
/// After this time of a shutdown all targets are emptied, so that it ends in time. Tasks run for
/// up to a few seconds, and a shutdown may take six.
const EMPTY_ALL_AFTER: Duration = Duration::from_millis(2000);
/// Silence in reports and holds after which a target is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(8);

impl Scheduler {
    pub(crate) fn report(&mut self, now: Time, report: TargetReport, out: &mut Vec<Effect>) {
        let name = report.target.clone();
        let older = |target: &Target| {
            (report.life, report.sequence) <= (target.report.life, target.report.sequence)
        };
        // Another target at the same address means that the older one of the two is over.
        let rival = self
            .targets
            .iter()
            .find(|(n, t)| **n != name && t.report.address == report.address);
        if let Some((other, target)) = rival {
            if target.report.life >= report.life {
                return;
            }
            let other = other.clone();
            self.lose_target(now, &other, out);
        }
        match self.targets.get_mut(&name) {
            None => {
                log::info!(event = "target-known", target = name.as_str(),
                    address = report.address.as_str(), life = report.life.0;
                    "a target became known");
                self.targets.insert(name, Target::new(now, report));
                self.reassign = true;
            }
            Some(target) if older(target) => {}
            Some(target) => {
                if report.life > target.report.life {
                    self.new_life(&name, report.life);
                }
                if let Some(target) = self.targets.get_mut(&name) {
                    if report.draining != target.report.draining {
                        log::info!(event = "target-drains", target = name.as_str(),
                            draining = report.draining; "a target's state has changed");
                        self.rooms_changed = true;
                    }
                    target.report = report;
                    target.reported = now;
                    if target.mine.is_some_and(|since| now > since) {
                        target.seen = target.seen.or(Some(now));
                    }
                }
            }
        }
    }

    /// A target has started again under its name. Its earlier life runs nothing more, but a start
    /// that was sent lately may have reached the new one, so each run is stopped there before its
    /// task may start elsewhere.
    fn new_life(&mut self, name: &TargetName, life: Incarnation) {
        log::info!(event = "target-restarted", target = name.as_str(), life = life.0;
            "a target has started again");
        if let Some(target) = self.targets.get_mut(name) {
            target.begin_life(life);
        }
        self.rooms_changed = true;
    }

    pub(crate) fn left(&mut self, now: Time, name: &TargetName, out: &mut Vec<Effect>) {
        if self.targets.contains(name) {
            self.lose_target(now, name, out);
        }
    }

    /// Applies the rule, claims, hands over and forgets targets, and sends holds that are due.
    pub(crate) fn review_owners(&mut self, now: Time, wall: Wall, out: &mut Vec<Effect>) {
        if self.reassign || now.since(self.assigned) >= ASSIGN_EVERY {
            (self.reassign, self.assigned) = (false, now);
            self.apply_rule(now);
            self.forget_silent(now, out);
        }
        self.empty_some(now);
        // Most targets belong to others and need nothing.
        let concerned = |t: &Target| t.lease != Lease::None || t.mine.is_some();
        let targets = self.targets.iter().filter(|(_, target)| concerned(target));
        let names: Vec<TargetName> = targets.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.review_lease(now, wall, &name, out);
        }
    }

    fn apply_rule(&mut self, now: Time) {
        let mut vms: Vec<Candidate> = self
            .peers
            .values()
            .filter(|view| !view.peer.leaving)
            .map(|view| view.peer.own.clone())
            .collect();
        if self.leaving.is_none() {
            vms.push(self.setup.own.clone());
        }
        vms.sort_by(|a, b| a.vm.cmp(&b.vm));
        let targets: Vec<(&TargetName, &ZoneName)> = self
            .targets
            .iter()
            .map(|(name, target)| (name, &target.report.zone))
            .collect();
        let owners = assign(&targets, &vms);
        for (target, owner) in self.targets.values_mut().zip(owners) {
            let mine = owner.is_some_and(|i| vms[i].vm == self.setup.own.vm);
            target.mine = match (mine, target.mine) {
                (true, since) => Some(since.unwrap_or(now)),
                (false, _) => None,
            };
            target.seen = target.seen.filter(|_| mine);
            target.emptying &= !mine;
        }
    }

    /// Chooses which of the targets that are to be handed over take nothing more, those with the
    /// fewest runs first.
    fn empty_some(&mut self, now: Time) {
        let hurry = self
            .leaving
            .is_some_and(|since| now.since(since) >= EMPTY_ALL_AFTER);
        let owned = self.owned();
        let most = if hurry {
            owned
        } else {
            owned.div_ceil(EMPTYING_PART)
        };
        let mut given: Vec<&mut Target> = self
            .targets
            .values_mut()
            .filter(|target| target.lease != Lease::None && target.mine.is_none())
            .collect();
        given.sort_by_key(|target| (!target.emptying, target.runs.len()));
        for (i, target) in given.into_iter().enumerate() {
            self.rooms_changed |= i < most && !target.emptying;
            target.emptying |= i < most;
        }
    }

    fn forget_silent(&mut self, now: Time, out: &mut Vec<Effect>) {
        let silent = |t: &Target| {
            let held = t.lease == Lease::Owned && t.hold.misses == 0;
            !held && now.since(t.reported) > FORGET_AFTER && now >= t.leased
        };
        let gone: Vec<TargetName> = self
            .targets
            .iter()
            .filter(|(_, target)| silent(target))
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            self.lose_target(now, &name, out);
        }
    }

    /// Whether a target that the rule gives to this VM may be claimed now.
    fn may_claim(&self, now: Time, name: &TargetName, target: &Target) -> bool {
        let settled = |since: Time| now.since(since.max(self.joined)) >= SETTLE;
        if !target.mine.is_some_and(settled) || now < target.rest {
            return false;
        }
        // When a whole zone has fallen silent it may be cut off and go on by itself. Claims of its
        // targets would reach them when the cut ends and fence off their owners.
        let zone = &target.report.zone;
        let heard = zone == self.zone() || self.peers.values().any(|v| v.peer.own.zone == *zone);
        let reported = |seen: Time| now.since(seen) >= FAR_SETTLE;
        let reached = heard || target.seen.is_some_and(reported);
        reached && !self.peers.values().any(|view| view.owned.contains(name))
    }

    fn review_lease(&mut self, now: Time, wall: Wall, name: &TargetName, out: &mut Vec<Effect>) {
        let Some(target) = self.targets.get(name) else {
            return;
        };
        let claims = target.lease == Lease::None && self.may_claim(now, name, target);
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        match (&target.lease, target.mine) {
            (Lease::None, _) if claims => {
                target.recheck_runs();
                target.lease = Lease::Claiming;
                target.generation = (wall.0 + target.raise).max(target.generation + 1);
                target.hold.next = now;
                log::info!(event = "target-claimed", target = name.as_str(),
                    generation = target.generation; "a target is claimed");
            }
            (Lease::None, _) => return,
            (Lease::Claiming | Lease::Owned, None) if target.runs.is_empty() => {
                log::info!(event = "target-released", target = name.as_str();
                    "a target is handed over");
                target.forget();
                self.rooms_changed = true;
                return;
            }
            (Lease::Claiming | Lease::Owned, _) => {}
        }
        self.send_hold(now, name, out);
    }

    fn send_hold(&mut self, now: Time, name: &TargetName, out: &mut Vec<Effect>) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        if target.lease == Lease::None || target.hold.sent.is_some() || now < target.hold.next {
            return;
        }
        let owned = target.lease == Lease::Owned;
        // A target that doesn't answer isn't granted more time: its runs count as gone once the
        // time that it was granted is over.
        let overrun = target.is_overrun(now);
        let renews = owned && target.hold.misses == 0 && !target.runs.is_empty() && !overrun;
        let lease = match renews {
            true => target.grant(now),
            false => None,
        };
        let wait = match owned {
            true if target.runs.is_empty() => IDLE_WAIT,
            true => HOLD_WAIT,
            false if target.clock.is_none() => Duration::ZERO,
            false => CLAIM_WAIT,
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

    pub(crate) fn held(
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
        if target.generation != generation || target.lease == Lease::None {
            return;
        }
        let sent = target.hold.sent.take().unwrap_or(now);
        match result {
            HoldResult::Unknown => {
                target.hold.misses += 1;
                if target.hold.misses > 1 {
                    target.hold.next = now + MISSED_PAUSE;
                    return;
                }
                log::info!(event = "target-silent", target = name.as_str(),
                    runs = target.runs.len(); "a target doesn't answer");
                self.rooms_changed = true;
                self.send_hold(now, name, out);
            }
            HoldResult::Fenced => self.fenced(now, name),
            HoldResult::OtherLife => self.lose_target(now, name, out),
            HoldResult::Lists {
                clock,
                life,
                running,
                ended,
            } => {
                if let Some(life) = life.filter(|life| *life > target.report.life) {
                    return self.new_life(name, life);
                }
                if target.hold.misses > 0 {
                    log::info!(event = "target-answers", target = name.as_str();
                        "a target answers again");
                    self.rooms_changed = true;
                }
                target.clock = Some((clock, now));
                target.hold.misses = 0;
                target.raise = 0;
                target.reported = now;
                if target.lease == Lease::Claiming {
                    let foreign_runs = foreign_runs(target, &running);
                    if foreign_runs.is_empty() {
                        target.lease = Lease::Owned;
                        self.rooms_changed = true;
                        self.stale = true;
                    }
                    for call in foreign_runs {
                        self.call(name, TargetCall::Stop(call), out);
                    }
                }
                self.lists(now, name, sent, (running, ended), out);
                self.send_hold(now, name, out);
            }
        }
    }

    /// Another VM has a higher generation: what ran here is that VM's to stop.
    pub(crate) fn fenced(&mut self, now: Time, name: &TargetName) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        if target.lease == Lease::None {
            return;
        }
        log::info!(event = "target-fenced", target = name.as_str(),
            generation = target.generation; "another VM has claimed a target");
        target.raise = (target.raise * 2).max(RAISE);
        target.rest = now + FENCED_PAUSE;
        // The new owner may renew the lease of what it hasn't stopped yet.
        target.leased = target.leased.max(now + crate::target::LEASE);
        target.forget();
        self.rooms_changed = true;
    }
}

/// Runs of earlier owners, to be stopped.
fn foreign_runs(target: &Target, running: &[Listing]) -> Vec<StopCall> {
    let others = running
        .iter()
        .filter(|row| target.run(&row.task, row.run).is_none());
    others
        .map(|row| StopCall {
            task: row.task.clone(),
            number: row.run,
        })
        .collect()
}
