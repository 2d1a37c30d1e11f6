//! Cancelling of jobs at all entry VMs.
//!
//! A VM doesn't know which jobs others have: a caller may have submitted a job to one VM and cancel it at
//! another, or have submitted it to several. The VM that is asked to cancel a job therefore tells all
//! live entry VMs, each of which ends the job if it has it and confirms in any case that it runs no
//! submission of the job any more. If the VM has the job itself, its caller is answered at once, else
//! once all have confirmed. VMs that are no longer live aren't waited for: the runs of a lost VM end with
//! their leases, and a VM that is cut off ends the job once its caller has left.
//!
//! Cancelling is final, so messages about it are valid at any age and may be repeated.

use std::time::Duration;

use greengage_core::{RequestId, Time, VmName};
use greengage_scheduler::{JobKey, Reply};

use crate::cluster::Cluster;
use crate::event::{Effect, Outcome};
use crate::message::Message;

/// Interval at which a VM that hasn't confirmed is told again, as a message is lost when a connection is
/// replaced.
const REPEAT_INTERVAL: Duration = Duration::from_millis(100);
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
    /// The live entry VMs that haven't confirmed.
    waiting: Vec<VmName>,
    begun: Time,
    /// When they were last told.
    told: Time,
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
        self.pending.iter().map(|p| p.told + REPEAT_INTERVAL).min()
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
        if let Some(reply) = scheduler.check_key(&job).err().filter(|_| !held) {
            return out.push(answer(request, Outcome::Scheduler(reply)));
        }
        self.cancel_own(now, &job, out);
        if held {
            out.push(answer(request, Outcome::Scheduler(Reply::Cancelled)));
        }
        let request = (!held).then_some(request);
        if self.cancels.pending.len() >= MAX_PENDING {
            out.extend(request.map(|request| answer(request, Outcome::Unconfirmed)));
            return;
        }
        let live = self.members.live(now).filter(|vm| vm.roles.entry);
        let waiting: Vec<VmName> = live.map(|vm| vm.vm.clone()).collect();
        let pending = Pending {
            request,
            job,
            held,
            waiting,
            begun: now,
            told: now,
        };
        self.tell(now, &pending, out);
        self.cancels.pending.push(pending);
        self.answer_confirmed(out);
    }

    /// Cancels a job of this VM. Returns whether it had the job.
    fn cancel_own(&mut self, now: Time, job: &JobKey, out: &mut Vec<Effect>) -> bool {
        let Some(scheduler) = &mut self.scheduler else {
            return false;
        };
        let effects = scheduler.cancel(now, job);
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
            let message = Message::Cancel(pending.job.clone());
            out.push(self.send(now, member.address.clone(), message));
        }
    }

    /// Cancels a job because another VM was asked to.
    pub(crate) fn cancel_for(
        &mut self,
        now: Time,
        from: &VmName,
        job: JobKey,
        out: &mut Vec<Effect>,
    ) {
        let held = self.cancel_own(now, &job, out);
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
                false => Reply::NoJob,
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
        let live: Vec<VmName> = self.members.live(now).map(|vm| vm.vm.clone()).collect();
        for pending in &mut self.cancels.pending {
            pending.waiting.retain(|vm| live.contains(vm));
        }
        self.answer_confirmed(out);
        for mut pending in std::mem::take(&mut self.cancels.pending) {
            if now.since(pending.begun) >= CONFIRM_TIMEOUT {
                log::info!(event = "cancel-unconfirmed", path = &*pending.job.path,
                    vms:? = pending.waiting; "VMs have not confirmed that a job is cancelled");
                let request = pending.request;
                out.extend(request.map(|request| answer(request, Outcome::Unconfirmed)));
                continue;
            }
            if now.since(pending.told) >= REPEAT_INTERVAL {
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
