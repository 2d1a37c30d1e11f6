//! Which targets may be sent work, and which VMs of the system are alive.
//!
//! A target announces itself every second. Each announcement grants a lease; if the lease expires
//! the target becomes suspect, and after a grace period it is gone. A new incarnation of a name
//! replaces the old one, and delayed announcements of older incarnations are ignored. A target
//! that leaves stays `Leaving` until it is gone or restarts, even if it announces itself again.
//!
//! Targets are ejected on the results of their attempts (`health`), up to a maximum percentage of
//! ejected targets (`ejection_budget`). After an ejection the target is on probation and receives
//! one task at a time.
//!
//! Invariants:
//!
//! - For each name, `TargetUp` of a new incarnation and `TargetGone` alternate; a further `TargetUp`
//!   of the same incarnation only reports a changed announcement.
//! - `TargetUp` of a new incarnation implies `Live`; any other standing follows in the same step.
//! - Of the targets that run a kind of work and are neither suspect nor leaving, at most the
//!   allowed number is ejected at the end of each step, and at least one is not.
//!
//! A step takes time logarithmic in the number of targets, multiplied by the number of kinds of
//! work of the target concerned.

mod ejection_budget;
mod event;
mod health;
mod target;
mod vms;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use greengage_core::{TargetName, Time, VmName};

use ejection_budget::{Availability, EjectionBudget};
pub use event::{
    Announcement, AttemptResult, Effect, Event, Limits, Standing, TargetView, VmStatus, VmView,
};
use health::{Health, HealthState};
use target::{ActiveTarget, Record};
use vms::Vms;

/// Time for which a VM that is down stays in the view.
const VM_RETENTION: Duration = Duration::from_secs(3600);

/// Delay of a step beyond which the process is considered to have been paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);

/// A deadline, by what it concerns.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// A lease or a grace period ends, or the record of a gone target expires.
    Target(TargetName),
    /// An ejection ends.
    Ejection(TargetName),
    /// A VM's report expires, or a VM that is down is removed.
    Vm(VmName),
}

/// State machine of the targets and VMs.
pub struct Membership {
    limits: Limits,
    /// A tree instead of a sorted vector: inserting a name would move thousands of records.
    records: BTreeMap<TargetName, Record>,
    budget: EjectionBudget,
    vms: Vms,
    /// A tree instead of a sorted vector: each of 4,400 renewals per second would move thousands
    /// of entries.
    timers: BTreeSet<(Time, Timer)>,
    /// When the process last resumed after a pause. Renewals may be queued unread, so nothing is
    /// declared gone or down before another lease has passed.
    resumed_at: Time,
    effects: Vec<Effect>,
}

impl Membership {
    /// Creates a state machine without targets and VMs.
    pub fn new(limits: Limits, now: Time) -> Membership {
        Membership {
            budget: EjectionBudget::new(limits.max_ejected_percent),
            limits,
            records: BTreeMap::new(),
            vms: Vms::default(),
            timers: BTreeSet::new(),
            resumed_at: now,
            effects: Vec::new(),
        }
    }

    /// Handles all deadlines up to `now`, then the event, and returns the effects.
    ///
    /// A step more than [`PAUSE_THRESHOLD`] after the time returned by `next_wake` means that this
    /// process was paused: targets and VMs then get another lease to renew before they are
    /// declared gone or down.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Effect> {
        if self
            .next_wake()
            .is_some_and(|due| now.since(due) > PAUSE_THRESHOLD)
        {
            self.resumed_at = now;
        }
        while let Some((due, timer)) = self.timers.pop_first() {
            if due > now {
                self.timers.insert((due, timer));
                break;
            }
            match timer {
                Timer::Target(name) => self.target_timer_due(now, &name),
                Timer::Ejection(name) => self.ejection_timer_due(now, &name),
                Timer::Vm(name) => self.vm_timer_due(now, &name),
            }
        }
        match event {
            Event::Announce(announcement) => self.handle_announcement(now, announcement),
            Event::Leave(name) => self.handle_leave(now, &name),
            Event::Attempt { target, result } => self.handle_attempt(now, &target, result),
            Event::Vm(status) => self.handle_status(now, status),
            Event::Tick => {}
        }
        std::mem::take(&mut self.effects)
    }

    /// When `step` must be called next; `None` if there is no deadline.
    pub fn next_wake(&self) -> Option<Time> {
        self.timers.first().map(|(due, _)| *due)
    }

    /// All targets that are not gone, sorted by name.
    pub fn targets(&self) -> Vec<TargetView> {
        self.records.values().filter_map(target_view).collect()
    }

    /// One target; `None` if it is unknown or gone.
    pub fn target(&self, name: &TargetName) -> Option<TargetView> {
        self.records.get(name).and_then(target_view)
    }

    /// All known VMs.
    pub fn vms(&self) -> VmView {
        self.vms.view()
    }

    fn handle_announcement(&mut self, now: Time, mut announcement: Announcement) {
        let name = announcement.target.clone();
        let record = self.records.entry(name.clone()).or_insert_with(|| Record {
            active: None,
            health: Health::new(now),
            incarnation: announcement.incarnation,
            has_left: false,
            deadline: now,
            counted: None,
        });
        let newer = announcement.incarnation > record.incarnation;
        if announcement.incarnation < record.incarnation || (record.has_left && !newer) {
            // Delayed, or from an incarnation that has left. It does not renew a current lease.
            return;
        }
        if newer {
            if let Some(active) = record.active.take() {
                self.effects.push(gone_effect(&active));
            }
            record.incarnation = announcement.incarnation;
        }
        match &mut record.active {
            Some(active) => {
                // Announcements are relayed by several VMs and may be reordered, so an incarnation
                // that is leaving keeps that flag.
                announcement.leaving |= active.announcement.leaving;
                active.last_heard = now;
                active.lease_expired = false;
                active.unreachable = 0;
                if active.announcement != announcement {
                    active.update(announcement.clone());
                    self.effects.push(Effect::TargetUp(announcement));
                }
            }
            inactive => {
                record.has_left = false;
                record.health.reset_healthy_since(now);
                *inactive = Some(ActiveTarget::new(announcement.clone(), now));
                self.effects.push(Effect::TargetUp(announcement));
            }
        }
        self.set_deadline(&name, now + self.limits.lease);
        self.update_standing(now, &name);
    }

    fn handle_leave(&mut self, now: Time, name: &TargetName) {
        let Some(record) = self.records.get_mut(name) else {
            return;
        };
        if let Some(active) = &mut record.active {
            active.announcement.leaving = true;
            self.update_standing(now, name);
        }
    }

    fn handle_attempt(&mut self, now: Time, name: &TargetName, result: AttemptResult) {
        let Some(record) = self.records.get_mut(name) else {
            return;
        };
        // Only an announcement ends a suspicion.
        let suspect = record.standing() == Some(Standing::Suspect);
        if let (Some(active), false) = (&mut record.active, suspect) {
            active.unreachable = match result {
                AttemptResult::Unreachable => active.unreachable + 1,
                AttemptResult::Success | AttemptResult::Failure => 0,
            };
        }
        let failed = match result {
            AttemptResult::Success => false,
            AttemptResult::Failure | AttemptResult::Unreachable => true,
        };
        record.health.record(now, failed, &self.limits);
        self.update_standing(now, name);
    }

    fn handle_status(&mut self, now: Time, status: VmStatus) {
        let name = status.vm.clone();
        let deadline = now + self.limits.vm_lease;
        let Some(report) = self.vms.report(status, deadline) else {
            return;
        };
        if let Some(old_deadline) = report.old_deadline {
            self.timers.remove(&(old_deadline, Timer::Vm(name.clone())));
        }
        self.timers.insert((deadline, Timer::Vm(name.clone())));
        if report.up {
            self.effects.push(Effect::VmUp(name));
        }
    }

    fn vm_timer_due(&mut self, now: Time, name: &VmName) {
        let earliest = self.resumed_at + self.limits.vm_lease;
        let next = if now < earliest {
            earliest
        } else if self.vms.expire(name) {
            self.effects.push(Effect::VmDown(name.clone()));
            now + VM_RETENTION
        } else {
            return;
        };
        self.vms.set_deadline(name, next);
        self.timers.insert((next, Timer::Vm(name.clone())));
    }

    fn target_timer_due(&mut self, now: Time, name: &TargetName) {
        let Some(record) = self.records.get_mut(name) else {
            return;
        };
        let Some(active) = &mut record.active else {
            self.forget(name);
            return;
        };
        let end = active.last_heard + self.limits.lease + self.limits.grace;
        let end = end.max(self.resumed_at + self.limits.lease);
        active.lease_expired = true;
        if now < end {
            self.set_deadline(name, end);
        } else {
            self.effects.push(gone_effect(active));
            record.has_left = active.announcement.leaving;
            record.active = None;
            // An ejection lasts at most `ejection_max`, so the history is kept longer than that.
            let forget_at = now + self.limits.ejection_max * 2;
            self.set_deadline(name, forget_at);
        }
        self.update_standing(now, name);
    }

    fn forget(&mut self, name: &TargetName) {
        if let Some(record) = self.records.remove(name) {
            if let HealthState::Ejected { until } = record.health.state {
                self.timers.remove(&(until, Timer::Ejection(name.clone())));
            }
        }
    }

    fn ejection_timer_due(&mut self, now: Time, name: &TargetName) {
        if let Some(record) = self.records.get_mut(name) {
            record.health.start_probation();
            self.update_standing(now, name);
        }
    }

    fn set_deadline(&mut self, name: &TargetName, deadline: Time) {
        if let Some(record) = self.records.get_mut(name) {
            let timer = Timer::Target(name.clone());
            let old = (record.deadline, timer.clone());
            record.deadline = deadline;
            self.timers.remove(&old);
            self.timers.insert((deadline, timer));
        }
    }

    /// Ejects the target if its results justify it, ends ejections beyond the allowed number and
    /// emits the standings that changed.
    fn update_standing(&mut self, now: Time, name: &TargetName) {
        self.update_count(name);
        let Some(record) = self.records.get_mut(name) else {
            return;
        };
        if let Some((work, Availability::Usable)) = record.counted.clone() {
            if record.health.should_eject(&self.limits) && self.budget.allows_ejection(&work) {
                let until = record.health.eject(now, &self.limits);
                self.timers.insert((until, Timer::Ejection(name.clone())));
                self.update_count(name);
            }
        }
        self.emit_standing(name);
    }

    /// Updates the counts of a target if its work or standing changed, and ends ejections that now
    /// exceed the allowed number.
    fn update_count(&mut self, name: &TargetName) {
        let Some(record) = self.records.get_mut(name) else {
            return;
        };
        let availability = record.availability();
        let counted = match &record.active {
            Some(active) => availability.map(|availability| (active.work.clone(), availability)),
            None => None,
        };
        if record.counted == counted {
            return;
        }
        let old = std::mem::replace(&mut record.counted, counted.clone());
        if let Some((work, availability)) = &old {
            self.budget.remove(name, work, *availability);
        }
        if let Some((work, availability)) = &counted {
            self.budget.add(name, work, *availability);
        }
        for (work, _) in [old, counted].into_iter().flatten() {
            while let Some(ejected) = self.budget.excess_ejection(&work) {
                self.end_ejection_early(&ejected);
            }
        }
    }

    /// Ends an ejection before its time is over.
    fn end_ejection_early(&mut self, name: &TargetName) {
        let Some(record) = self.records.get_mut(name) else {
            return;
        };
        if let HealthState::Ejected { until } = record.health.state {
            self.timers.remove(&(until, Timer::Ejection(name.clone())));
        }
        record.health.start_probation();
        self.update_count(name);
        self.emit_standing(name);
    }

    /// Emits the target's standing if it changed.
    fn emit_standing(&mut self, name: &TargetName) {
        let Some(record) = self.records.get_mut(name) else {
            return;
        };
        let standing = record.standing();
        if let (Some(active), Some(standing)) = (&mut record.active, standing) {
            if active.emitted != standing {
                active.emitted = standing;
                self.effects.push(Effect::Standing {
                    target: name.clone(),
                    standing,
                });
            }
        }
    }
}

fn gone_effect(active: &ActiveTarget) -> Effect {
    Effect::TargetGone {
        target: active.announcement.target.clone(),
        incarnation: active.announcement.incarnation,
    }
}

fn target_view(record: &Record) -> Option<TargetView> {
    Some(TargetView {
        announcement: record.active.as_ref()?.announcement.clone(),
        standing: record.standing()?,
    })
}
