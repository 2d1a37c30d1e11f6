//! Which targets may be sent work, and which VMs of the system are alive.
//!
//! A target announces itself each second. Its announcement holds for a lease; without a renewal
//! the target becomes suspect, and after a grace it is gone. A new incarnation of a name replaces
//! the old one; announcements of older incarnations arrive late and are ignored. A target that
//! leaves stays `Leaving` until it is gone or restarts, whatever it announces meanwhile.
//!
//! Results of attempts decide on ejection (`health`), as far as the share of ejected targets
//! allows it (`shares`). An ejection ends in a probation of single tasks.
//!
//! Invariants:
//!
//! - Per name, `Up` of an incarnation and `Gone` alternate; a further `Up` of the same
//!   incarnation only brings new content.
//! - `Up` of a new incarnation stands for `Live`; any other standing follows in the same step.
//! - Of the targets that run a kind of work and are neither suspect nor leaving, at most the
//!   share is ejected at the end of each step, and at least one is not.
//!
//! A step costs the logarithm of the number of targets, times the number of kinds of work of the
//! target that it concerns.

mod event;
mod health;
mod shares;
mod target;
mod vms;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use greengage_core::{TargetName, Time, VmName};

pub use event::{
    Announcement, Effect, Event, Limits, Result, Standing, TargetView, VmStatus, VmView,
};
use health::{Fitness, Health};
use shares::{Seat, Shares};
use target::{Present, Record};
use vms::Vms;

/// How long a VM that is down stays in the view.
const VM_MEMORY: Duration = Duration::from_secs(3600);

/// How late a step may be before it counts as the end of a pause.
pub const PAUSE: Duration = Duration::from_millis(500);

/// What happens at a deadline.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// A lease or a grace ends, or the record of a gone target is forgotten.
    Target(TargetName),
    /// An ejection ends.
    Ejection(TargetName),
    /// A VM's report ends to hold, or a VM that is down is forgotten.
    Vm(VmName),
}

/// The state machine.
pub struct Membership {
    limits: Limits,
    /// A tree and not a sorted vector: a new name would move thousands of records.
    records: BTreeMap<TargetName, Record>,
    shares: Shares,
    vms: Vms,
    /// A tree and not a sorted vector: 4,400 renewals a second would move thousands of entries
    /// each.
    timers: BTreeSet<(Time, Timer)>,
    /// When the process last resumed after a pause. Renewals may have piled up meanwhile, so
    /// nothing is declared gone until a lease later.
    resumed: Time,
    effects: Vec<Effect>,
}

impl Membership {
    /// A machine that knows no target and no VM.
    pub fn new(limits: Limits, now: Time) -> Membership {
        Membership {
            shares: Shares::new(limits.eject_share),
            limits,
            records: BTreeMap::new(),
            vms: Vms::default(),
            timers: BTreeSet::new(),
            resumed: now,
            effects: Vec::new(),
        }
    }

    /// Takes an event at `now`, after all deadlines up to then.
    ///
    /// A step that comes more than [`PAUSE`] after the time that `wake` named counts as the end
    /// of a pause of this process: targets and VMs then get a lease's time to renew before they
    /// are declared gone or down.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Effect> {
        if self.wake().is_some_and(|due| now.since(due) > PAUSE) {
            self.resumed = now;
        }
        while let Some((due, timer)) = self.timers.pop_first() {
            if due > now {
                self.timers.insert((due, timer));
                break;
            }
            match timer {
                Timer::Target(name) => self.target_due(now, &name),
                Timer::Ejection(name) => self.ejection_due(now, &name),
                Timer::Vm(name) => self.vm_due(now, &name),
            }
        }
        match event {
            Event::Announce(announcement) => self.announce(now, announcement),
            Event::Leave(name) => self.leave(now, &name),
            Event::Attempt { target, result } => self.attempt(now, &target, result),
            Event::Vm(status) => self.report(now, status),
            Event::Tick => {}
        }
        std::mem::take(&mut self.effects)
    }

    /// When `step` must be called next.
    pub fn wake(&self) -> Option<Time> {
        self.timers.first().map(|(due, _)| *due)
    }

    /// All targets that aren't gone, by name.
    pub fn targets(&self) -> Vec<TargetView> {
        self.records.values().filter_map(view).collect()
    }

    /// One target, unless it is gone.
    pub fn target(&self, name: &TargetName) -> Option<TargetView> {
        self.records.get(name).and_then(view)
    }

    /// The VMs.
    pub fn vms(&self) -> VmView {
        self.vms.view()
    }

    fn announce(&mut self, now: Time, mut announcement: Announcement) {
        let name = announcement.target.clone();
        let record = self.records.entry(name.clone()).or_insert_with(|| Record {
            present: None,
            health: Health::new(now),
            incarnation: announcement.incarnation,
            left: false,
            deadline: now,
            counted: None,
        });
        let newer = announcement.incarnation > record.incarnation;
        if announcement.incarnation < record.incarnation || (record.left && !newer) {
            // Late, or of an incarnation that left; a lease that still runs isn't renewed by it.
            return;
        }
        if newer {
            if let Some(present) = record.present.take() {
                self.effects.push(gone(&present));
            }
            record.incarnation = announcement.incarnation;
        }
        match &mut record.present {
            Some(present) => {
                // Announcements overtake one another on their way over several VMs, so an
                // incarnation that is leaving stays so.
                announcement.leaving |= present.announcement.leaving;
                present.heard = now;
                present.overdue = false;
                present.unreachable = 0;
                if present.announcement != announcement {
                    present.change(announcement.clone());
                    self.effects.push(Effect::Up(announcement));
                }
            }
            none => {
                record.left = false;
                record.health.back(now);
                *none = Some(Present::new(announcement.clone(), now));
                self.effects.push(Effect::Up(announcement));
            }
        }
        self.set_deadline(&name, now + self.limits.lease);
        self.settle(now, &name);
    }

    fn leave(&mut self, now: Time, name: &TargetName) {
        let Some(record) = self.records.get_mut(name) else {
            return;
        };
        if let Some(present) = &mut record.present {
            present.announcement.leaving = true;
            self.settle(now, name);
        }
    }

    fn attempt(&mut self, now: Time, name: &TargetName, result: Result) {
        let Some(record) = self.records.get_mut(name) else {
            return;
        };
        // Nothing but an announcement ends a suspicion.
        let suspect = record.standing() == Some(Standing::Suspect);
        if let (Some(present), false) = (&mut record.present, suspect) {
            present.unreachable = match result {
                Result::Unreachable => present.unreachable + 1,
                Result::Success | Result::Failure => 0,
            };
        }
        let failed = match result {
            Result::Success => false,
            Result::Failure | Result::Unreachable => true,
        };
        record.health.record(now, failed, &self.limits);
        self.settle(now, name);
    }

    fn report(&mut self, now: Time, status: VmStatus) {
        let name = status.vm.clone();
        let deadline = now + self.limits.vm_lease;
        let Some(report) = self.vms.report(status, deadline) else {
            return;
        };
        if let Some(replaced) = report.replaced {
            self.timers.remove(&(replaced, Timer::Vm(name.clone())));
        }
        self.timers.insert((deadline, Timer::Vm(name.clone())));
        if report.up {
            self.effects.push(Effect::VmUp(name));
        }
    }

    fn vm_due(&mut self, now: Time, name: &VmName) {
        let hold = self.resumed + self.limits.vm_lease;
        let next = if now < hold {
            hold
        } else if self.vms.expire(name) {
            self.effects.push(Effect::VmDown(name.clone()));
            now + VM_MEMORY
        } else {
            return;
        };
        self.vms.postpone(name, next);
        self.timers.insert((next, Timer::Vm(name.clone())));
    }

    fn target_due(&mut self, now: Time, name: &TargetName) {
        let Some(record) = self.records.get_mut(name) else {
            return;
        };
        let Some(present) = &mut record.present else {
            self.forget(name);
            return;
        };
        let end = present.heard + self.limits.lease + self.limits.grace;
        let end = end.max(self.resumed + self.limits.lease);
        present.overdue = true;
        if now < end {
            self.set_deadline(name, end);
        } else {
            self.effects.push(gone(present));
            record.left = present.announcement.leaving;
            record.present = None;
            // An ejection lasts at most `eject_most`, so the history outlives it.
            let forget = now + self.limits.eject_most * 2;
            self.set_deadline(name, forget);
        }
        self.settle(now, name);
    }

    fn forget(&mut self, name: &TargetName) {
        if let Some(record) = self.records.remove(name) {
            if let Fitness::Ejected { until } = record.health.fitness {
                self.timers.remove(&(until, Timer::Ejection(name.clone())));
            }
        }
    }

    fn ejection_due(&mut self, now: Time, name: &TargetName) {
        if let Some(record) = self.records.get_mut(name) {
            record.health.try_again();
            self.settle(now, name);
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

    /// Ejects the target if its results call for it, restores the share of ejected targets and
    /// tells the standings that changed.
    fn settle(&mut self, now: Time, name: &TargetName) {
        self.count(name);
        let Some(record) = self.records.get_mut(name) else {
            return;
        };
        if let Some((work, Seat::Usable)) = record.counted.clone() {
            if record.health.is_bad(&self.limits) && self.shares.allow(&work) {
                let until = record.health.eject(now, &self.limits);
                self.timers.insert((until, Timer::Ejection(name.clone())));
                self.count(name);
            }
        }
        self.tell(name);
    }

    /// Counts a target anew if its work or standing changed, and tries ejected targets early that
    /// are now in excess of the share.
    fn count(&mut self, name: &TargetName) {
        let Some(record) = self.records.get_mut(name) else {
            return;
        };
        let seat = record.seat();
        let counted = match &record.present {
            Some(present) => seat.map(|seat| (present.work.clone(), seat)),
            None => None,
        };
        if record.counted == counted {
            return;
        }
        let old = std::mem::replace(&mut record.counted, counted.clone());
        if let Some((work, seat)) = &old {
            self.shares.remove(name, work, *seat);
        }
        if let Some((work, seat)) = &counted {
            self.shares.add(name, work, *seat);
        }
        for (work, _) in [old, counted].into_iter().flatten() {
            while let Some(early) = self.shares.excess(&work) {
                self.try_early(&early);
            }
        }
    }

    /// Ends an ejection before its time.
    fn try_early(&mut self, name: &TargetName) {
        let Some(record) = self.records.get_mut(name) else {
            return;
        };
        if let Fitness::Ejected { until } = record.health.fitness {
            self.timers.remove(&(until, Timer::Ejection(name.clone())));
        }
        record.health.try_again();
        self.count(name);
        self.tell(name);
    }

    /// Tells the target's standing if it changed.
    fn tell(&mut self, name: &TargetName) {
        let Some(record) = self.records.get_mut(name) else {
            return;
        };
        let standing = record.standing();
        if let (Some(present), Some(standing)) = (&mut record.present, standing) {
            if present.told != standing {
                present.told = standing;
                self.effects.push(Effect::Standing {
                    target: name.clone(),
                    standing,
                });
            }
        }
    }
}

fn gone(present: &Present) -> Effect {
    Effect::Gone {
        target: present.announcement.target.clone(),
        incarnation: present.announcement.incarnation,
    }
}

fn view(record: &Record) -> Option<TargetView> {
    Some(TargetView {
        announcement: record.present.as_ref()?.announcement.clone(),
        standing: record.standing()?,
    })
}
