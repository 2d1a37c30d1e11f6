//! Cancelling of jobs at all entry VMs.
//!
//! A VM doesn't know which jobs others have: a caller may have submitted a job to one VM and cancel it at
//! another, or have submitted it to several. The VM that is asked to cancel a job therefore tells all
//! live entry VMs, each of which ends the job if it has it and confirms in any case that it runs no
//! submission of the job any more. If the VM has the job itself, its caller is answered at once, else
//! once all have confirmed. VMs that aren't live aren't waited for: the runs of a lost VM end with their
//! leases, and a VM that was paused, cut off or restarted is told as soon as it is live.
//!
//! Such a VM gets lists of the cancelled jobs: from each VM those that this VM was asked to cancel, as it
//! alone knows which VMs it hasn't told, and all jobs from a few VMs, since the VM that was asked may be
//! lost. A list is sent in parts, each once the one before is confirmed.
//!
//! Cancelling is final, so messages about it are valid at any age and may be repeated. They tell how old
//! it is, so that it is forgotten in time although VMs tell one another.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use greengage_core::{RequestId, Time, VmName};
use greengage_scheduler::{pair_hash, JobKey, Reply, CANCEL_LIFETIME};

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
/// Limit on the jobs of this VM's callers that a VM which becomes live is told of; the scheduler keeps
/// as many.
const MAX_ASKED: usize = 4096;
/// Interval at which a part of a list is sent again.
const LIST_INTERVAL: Duration = Duration::from_millis(300);
/// Error of the time at which another VM was asked, which comes from an age.
const AGE_ERROR: Duration = Duration::from_secs(1);
/// Size of the keys in a part of a list: 28 ms on 19 Mbit/s.
const PART_BYTES: usize = 64 << 10;
/// Number of VMs that tell a VM which becomes live of all cancelled jobs. In a deployment with at most
/// `SMALL_DEPLOYMENT_VMS` others all do, since VMs may be live for some and not for others there.
const TELLERS: usize = 3;
const SMALL_DEPLOYMENT_VMS: usize = 14;

/// Cancelled jobs and when they were cancelled.
type CancelledJobs = Arc<[(JobKey, Time)]>;

/// Cancelled jobs that a VM which has become live is being told of.
struct List {
    vm: VmName,
    jobs: CancelledJobs,
    /// Start and end of the part that was sent last.
    start: usize,
    end: usize,
    /// Identifies this part in its confirmation.
    number: u64,
    begun: Time,
    told: Time,
}

impl List {
    /// Goes on to the part that begins at `start`; returns whether there is one.
    fn begin_part(&mut self, now: Time, start: usize, number: u64) -> bool {
        let mut bytes = 0;
        let fits = self.jobs[start..].iter().take_while(|(job, _)| {
            bytes += job.host.len() + job.path.len();
            bytes <= PART_BYTES
        });
        let end = (start + fits.count().max(1)).min(self.jobs.len());
        (self.start, self.end, self.number) = (start, end, number);
        (self.begun, self.told) = (now, now);
        start < end
    }

    fn next_wake(&self) -> Time {
        let interval = match self.told.since(self.begun) < CONFIRM_TIMEOUT {
            true => LIST_INTERVAL,
            false => LATE_REPEAT_INTERVAL,
        };
        self.told + interval
    }
}

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
    /// Jobs that this VM was asked to cancel lately, in that order.
    asked: VecDeque<(JobKey, Time)>,
    /// At most one for each VM.
    lists: Vec<List>,
    /// Number of the last part of a list.
    last_part: u64,
}

impl Cancels {
    /// Number of callers that wait for an answer.
    pub(crate) fn callers(&self) -> usize {
        let pending = self.pending.iter();
        pending.filter(|p| p.request.is_some()).count()
    }

    /// When a VM has to be told again; `None` if all have confirmed.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        let pending = self.pending.iter().map(Pending::next_wake);
        pending.chain(self.lists.iter().map(List::next_wake)).min()
    }

    /// Records a job that this VM was asked to cancel.
    fn record_asked(&mut self, now: Time, job: &JobKey) {
        let is_recent = |(_, at): &(JobKey, Time)| now.since(*at) < CANCEL_LIFETIME;
        while self.asked.len() >= MAX_ASKED || self.asked.front().is_some_and(|a| !is_recent(a)) {
            self.asked.pop_front();
        }
        self.asked.push_back((job.clone(), now));
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
        self.cancels.record_asked(now, &job);
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

    /// Tells VMs that have become live which jobs were cancelled lately. They may not know of them, as
    /// they were paused, cut off or restarted.
    pub(crate) fn tell_cancelled(&mut self, now: Time, vms: &[VmName], out: &mut Vec<Effect>) {
        let Some(scheduler) = self.scheduler.as_ref().filter(|_| !vms.is_empty()) else {
            return;
        };
        let all: CancelledJobs = scheduler.cancelled_jobs(now).into();
        let asked = self.cancels.asked.iter();
        let recent = asked.filter(|(_, at)| now.since(*at) < CANCEL_LIFETIME);
        let asked: CancelledJobs = recent.cloned().collect();
        for vm in vms {
            let jobs = if self.tells_all(vm) { &all } else { &asked };
            self.cancels.lists.retain(|list| list.vm != *vm);
            self.cancels.last_part += 1;
            let mut list = List {
                vm: vm.clone(),
                jobs: jobs.clone(),
                start: 0,
                end: 0,
                number: 0,
                begun: now,
                told: now,
            };
            if list.begin_part(now, 0, self.cancels.last_part) {
                self.tell_part(now, &list, out);
                self.cancels.lists.push(list);
            }
        }
    }

    /// Whether this VM is among those that tell a VM of all cancelled jobs.
    fn tells_all(&self, vm: &VmName) -> bool {
        if self.live.len() <= SMALL_DEPLOYMENT_VMS {
            return true;
        }
        let own = pair_hash(&self.members.own().vm, vm);
        let members = self.live.keys().filter_map(|vm| self.members.member(vm));
        let others = members.filter(|member| member.roles.entry && member.vm != *vm);
        others
            .filter(|other| pair_hash(&other.vm, vm) < own)
            .count()
            < TELLERS
    }

    /// Sends a part of a list.
    fn tell_part(&self, now: Time, list: &List, out: &mut Vec<Effect>) {
        let Some(member) = self.members.member(&list.vm) else {
            return;
        };
        let part = list.jobs[list.start..list.end].iter();
        let message = Message::CancelAll {
            number: list.number,
            jobs: part
                .map(|(job, asked)| (job.clone(), now.since(*asked)))
                .collect(),
        };
        out.push(self.send(now, member.address.clone(), message));
    }

    /// Cancels the jobs of a list unless they are known to be cancelled.
    pub(crate) fn cancel_all_for(
        &mut self,
        now: Time,
        from: &VmName,
        (number, jobs): (u64, Vec<(JobKey, Duration)>),
        out: &mut Vec<Effect>,
    ) {
        let (mut added, mut held) = (0, 0);
        for (job, age) in &jobs {
            let asked = now - *age;
            let scheduler = self.scheduler.as_ref();
            let known = scheduler.and_then(|s| s.cancelled_at(now, job));
            if known.is_none_or(|known| known + AGE_ERROR < asked) {
                added += 1;
                held += usize::from(self.cancel_here(now, job, asked, out));
            }
        }
        if added > 0 {
            log::info!(event = "jobs-cancelled", from = from.as_str(), jobs = added, held = held;
                "jobs were cancelled while this VM was out of touch");
        }
        if let Some(to) = self.members.member(from).map(|m| m.address.clone()) {
            out.push(self.send(now, to, Message::CancelledAll(number)));
        }
    }

    /// Handles the confirmation of a part of a list.
    pub(crate) fn list_confirmed(
        &mut self,
        now: Time,
        from: &VmName,
        number: u64,
        out: &mut Vec<Effect>,
    ) {
        let lists = &mut self.cancels.lists;
        let found = lists
            .iter()
            .position(|l| l.vm == *from && l.number == number);
        let Some(mut list) = found.map(|index| lists.remove(index)) else {
            return;
        };
        self.cancels.last_part += 1;
        if list.begin_part(now, list.end, self.cancels.last_part) {
            self.tell_part(now, &list, out);
            self.cancels.lists.push(list);
        }
    }

    /// Cancels a job of this VM. Returns whether it had the job.
    fn cancel_own(&mut self, now: Time, job: &JobKey, asked: Time, out: &mut Vec<Effect>) -> bool {
        let held = self.cancel_here(now, job, asked, out);
        log::info!(event = "job-cancelled", path = &*job.path, held = held; "a job was cancelled");
        held
    }

    /// As [`Self::cancel_own`], without a log line.
    fn cancel_here(&mut self, now: Time, job: &JobKey, asked: Time, out: &mut Vec<Effect>) -> bool {
        let Some(scheduler) = &mut self.scheduler else {
            return false;
        };
        let effects = scheduler.cancel(now, job, asked);
        let held = scheduler.holds(now, job);
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
        self.cancels
            .lists
            .retain(|list| self.live.contains(&list.vm) && now.since(list.begun) < CANCEL_LIFETIME);
        for mut list in std::mem::take(&mut self.cancels.lists) {
            if now >= list.next_wake() {
                list.told = now;
                self.tell_part(now, &list, out);
            }
            self.cancels.lists.push(list);
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
