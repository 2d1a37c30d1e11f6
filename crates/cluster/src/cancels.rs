//! Cancelling of jobs at all entry VMs.
//!
//! A VM doesn't know which jobs others have: a caller may have submitted a job to one VM and cancel it at
//! another, or have submitted it to several. The VM that is asked to cancel a job therefore tells all
//! live entry VMs, each of which ends the job if it has it and confirms in any case that it runs no
//! submission of the job any more. If the VM has the job itself, its caller is answered at once, else
//! once all have confirmed. VMs that aren't live aren't waited for: the runs of a lost VM end with their
//! leases, and a VM that was paused, cut off or restarted is told as soon as it is live, by each VM that
//! knows of the cancelling.
//!
//! Cancelling is final, so messages about it are valid at any age and may be repeated. They tell how old
//! it is, so that it is forgotten in time although VMs tell one another.

use std::time::Duration;

use greengage_core::{RequestId, Time, VmName};
use greengage_scheduler::{JobKey, Reply, CANCEL_LIFETIME};

use crate::cluster::Cluster;
use crate::event::{Effect, Outcome};
use crate::message::Message;

/// Interval at which a VM that hasn't confirmed is told again, as a message is lost when a connection is
/// replaced.
const REPEAT_INTERVAL: Duration = Duration::from_millis(100);
/// The same once the caller has been answered.
const LATE_REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which the caller is answered although a live VM hasn't confirmed: longer than it takes
/// until a lost VM of a small deployment, or of the same zone, doesn't count as live.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);
/// Limit on the cancelled jobs that wait for confirmations. Beyond it, only this VM cancels a job.
const MAX_PENDING: usize = 1024;

/// A cancelled job that not all VMs have confirmed.
struct Pending {
    /// The request to answer; `None` if it has been answered.
    request: Option<RequestId>,
    job: JobKey,
    /// Whether a VM had the job.
    held: bool,
    /// The answer if none had it.
    absent: Reply,
    /// The live entry VMs that haven't confirmed.
    waiting: Vec<VmName>,
    /// When the job was cancelled.
    asked: Time,
    begun: Time,
    /// When they were last told.
    told: Time,
}

impl Pending {
    /// When the VMs that haven't confirmed are told again.
    fn next_wake(&self) -> Time {
        let interval = match self.told.since(self.begun) < CONFIRM_TIMEOUT {
            true => REPEAT_INTERVAL,
            false => LATE_REPEAT_INTERVAL,
        };
        self.told + interval
    }
}

/// The cancelled jobs that not all VMs have confirmed.
#[derive(Default)]
pub(crate) struct Cancels {
    pending: Vec<Pending>,
}

impl Cancels {
    /// Number of callers that wait for an answer.
    pub(crate) fn callers(&self) -> usize {
        let pending = self.pending.iter();
        pending.filter(|p| p.request.is_some()).count()
    }

    /// When a VM has to be told again; `None` if all have confirmed.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        self.pending.iter().map(Pending::next_wake).min()
    }

    /// Whether another job can wait for confirmations. Jobs whose callers wait for them go first.
    fn make_room(&mut self) -> bool {
        if self.pending.len() >= MAX_PENDING {
            let answered = self.pending.iter().position(|p| p.request.is_none());
            answered.map(|index| self.pending.remove(index));
        }
        self.pending.len() < MAX_PENDING
    }
}

fn answer(request: RequestId, outcome: Outcome) -> Effect {
    Effect::Answer { request, outcome }
}

impl Cluster {
    /// Cancels a job for a caller, here and at all other entry VMs.
    pub(crate) fn cancel(
        &mut self,
        now: Time,
        request: RequestId,
        job: JobKey,
        out: &mut Vec<Effect>,
    ) {
        let scheduler = self.scheduler.as_ref();
        let Some(scheduler) = scheduler.filter(|s| s.document().is_some()) else {
            return out.push(answer(request, Outcome::Unconfirmed));
        };
        let held = scheduler.holds(now, &job);
        let absent = match scheduler.absent_reply(&job) {
            Err(reply) if !held => return out.push(answer(request, Outcome::Scheduler(reply))),
            Ok(reply) | Err(reply) => reply,
        };
        self.cancel_own(now, &job, now, out);
        if held {
            out.push(answer(request, Outcome::Scheduler(Reply::Cancelled)));
        }
        let request = (!held).then_some(request);
        if !self.cancels.make_room() {
            out.extend(request.map(|request| answer(request, Outcome::Unconfirmed)));
            return;
        }
        // VMs that have become live since the last check are told at the next one.
        let members = self.live.keys().filter_map(|vm| self.members.member(vm));
        let entry = members.filter(|member| member.roles.entry);
        let waiting = entry.map(|member| member.vm.clone()).collect();
        let pending = Pending {
            request,
            job,
            held,
            absent,
            waiting,
            asked: now,
            begun: now,
            told: now,
        };
        self.tell(now, &pending, out);
        self.cancels.pending.push(pending);
        self.answer_confirmed(out);
    }

    /// Tells a VM that has become live which jobs were cancelled lately. It may not know of them, as it
    /// was paused, cut off or restarted.
    pub(crate) fn tell_cancelled(&mut self, now: Time, vm: &VmName, out: &mut Vec<Effect>) {
        let scheduler = self.scheduler.as_ref();
        let jobs = scheduler.map_or(Vec::new(), |s| s.cancelled_jobs(now));
        for (job, asked) in jobs {
            if self.cancels.pending.len() >= MAX_PENDING {
                return log::warn!(event = "cancels-untold", vm = vm.as_str();
                    "too many cancelled jobs to tell a VM of all of them");
            }
            let pending = Pending {
                request: None,
                job,
                held: false,
                absent: Reply::NoJob,
                waiting: vec![vm.clone()],
                asked,
                begun: now,
                told: now,
            };
            self.tell(now, &pending, out);
            self.cancels.pending.push(pending);
        }
    }

    /// Cancels a job of this VM. Returns whether it had the job.
    fn cancel_own(&mut self, now: Time, job: &JobKey, asked: Time, out: &mut Vec<Effect>) -> bool {
        let Some(scheduler) = &mut self.scheduler else {
            return false;
        };
        let effects = scheduler.cancel(now, job, asked);
        let held = scheduler.holds(now, job);
        log::info!(event = "job-cancelled", path = &*job.path, held = held; "a job was cancelled");
        for effect in effects {
            self.handle_scheduler_effect(now, effect, out);
        }
        held
    }

    /// Tells the VMs that haven't confirmed.
    fn tell(&self, now: Time, pending: &Pending, out: &mut Vec<Effect>) {
        let members = pending.waiting.iter();
        for member in members.filter_map(|vm| self.members.member(vm)) {
            let message = Message::Cancel {
                job: pending.job.clone(),
                age: now.since(pending.asked),
            };
            out.push(self.send(now, member.address.clone(), message));
        }
    }

    /// Cancels a job because another VM was asked to.
    pub(crate) fn cancel_for(
        &mut self,
        now: Time,
        from: &VmName,
        (job, age): (JobKey, Duration),
        out: &mut Vec<Effect>,
    ) {
        let held = self.cancel_own(now, &job, now - age, out);
        if let Some(to) = self.members.member(from).map(|m| m.address.clone()) {
            out.push(self.send(now, to, Message::Cancelled { job, held }));
        }
    }

    /// Handles the confirmation of another VM.
    pub(crate) fn cancel_confirmed(
        &mut self,
        from: &VmName,
        job: &JobKey,
        held: bool,
        out: &mut Vec<Effect>,
    ) {
        for pending in self.cancels.pending.iter_mut().filter(|p| p.job == *job) {
            pending.held |= held;
            pending.waiting.retain(|vm| vm != from);
        }
        self.answer_confirmed(out);
    }

    /// Answers the callers whose jobs all VMs have cancelled.
    fn answer_confirmed(&mut self, out: &mut Vec<Effect>) {
        self.cancels.pending.retain(|pending| {
            if !pending.waiting.is_empty() {
                return true;
            }
            let reply = match pending.held {
                true => Reply::Cancelled,
                false => pending.absent.clone(),
            };
            let request = pending.request;
            out.extend(request.map(|request| answer(request, Outcome::Scheduler(reply))));
            false
        });
    }

    /// Tells the VMs that haven't confirmed again, and answers the callers that have waited too long
    /// for VMs that are live.
    pub(crate) fn review_cancels(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.cancels.next_wake().is_none_or(|wake| now < wake) {
            return;
        }
        // One that isn't live at the last check is told once it is.
        for pending in &mut self.cancels.pending {
            pending.waiting.retain(|vm| self.live.contains(vm));
        }
        self.answer_confirmed(out);
        for mut pending in std::mem::take(&mut self.cancels.pending) {
            let late = now.since(pending.begun) >= CONFIRM_TIMEOUT;
            if let Some(request) = pending.request.take_if(|_| late) {
                log::info!(event = "cancel-unconfirmed", path = &*pending.job.path,
                    vms:? = pending.waiting; "VMs have not confirmed that a job is cancelled");
                out.push(answer(request, Outcome::Unconfirmed));
            }
            if now.since(pending.asked) >= CANCEL_LIFETIME {
                continue;
            }
            if now >= pending.next_wake() {
                pending.told = now;
                self.tell(now, &pending, out);
            }
            self.cancels.pending.push(pending);
        }
    }

    /// Answers the callers that wait for confirmations, because the process is about to exit.
    pub(crate) fn answer_cancels(&mut self, out: &mut Vec<Effect>) {
        let requests = self.cancels.pending.drain(..).filter_map(|p| p.request);
        out.extend(requests.map(|request| answer(request, Outcome::Unconfirmed)));
    }
}
