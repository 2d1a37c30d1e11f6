//! Refusals by queue and reason, and what is logged of the decisions about waiting jobs.
//!
//! A job that starts when it arrives is logged by the starts of its tasks only. One that finds no
//! room is logged when it begins to wait, and when it starts or is refused, with its rank and the age
//! of what was known then.

use std::sync::Arc;
use std::time::Duration;

use greengage_contention::{choose_substitute, Contender, Decision};
use greengage_core::{value, SortedMap, Time};

use crate::admission::retry_delay;
use crate::event::{Effect, Reply, Submission};
use crate::job::Job;
use crate::scheduler::Scheduler;

/// Why a job is refused.
#[value(copy, local)]
pub enum Reason {
    /// This VM has no configuration yet.
    NoConfiguration,
    /// No queue has its host and path.
    NoQueue,
    /// Its path isn't the prefix of its queue, followed by its id.
    OtherPath,
    /// Its body is too long.
    TooLarge,
    /// Its queue requires advice.
    Advice,
    /// It requests a feature that isn't supported.
    Unsupported,
    /// It has no tasks, or too many.
    TaskCount,
    /// A task of it fits on no target.
    NoTarget,
    /// All targets that can run some task of it are leaving or evacuated.
    NoLiveTarget,
    /// All targets together can't do its work in time.
    Capacity,
    /// It can't end before its caller's deadline.
    Deadline,
    /// It can't end before this VM has shut down.
    Shutdown,
    /// The work that waits would delay it beyond its longest wait.
    Backlog,
    /// It found no room within its longest wait.
    LongestWait,
    /// It gave way to a job that would have been refused otherwise.
    GaveWay,
}

/// Number of reasons.
const REASONS: usize = Reason::GaveWay as usize + 1;

impl Reason {
    /// All reasons.
    pub const ALL: [Reason; REASONS] = [
        Reason::NoConfiguration,
        Reason::NoQueue,
        Reason::OtherPath,
        Reason::TooLarge,
        Reason::Advice,
        Reason::Unsupported,
        Reason::TaskCount,
        Reason::NoTarget,
        Reason::NoLiveTarget,
        Reason::Capacity,
        Reason::Deadline,
        Reason::Shutdown,
        Reason::Backlog,
        Reason::LongestWait,
        Reason::GaveWay,
    ];

    /// Its name in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Reason::NoConfiguration => "no_configuration",
            Reason::NoQueue => "no_queue",
            Reason::OtherPath => "other_path",
            Reason::TooLarge => "too_large",
            Reason::Advice => "advice",
            Reason::Unsupported => "unsupported",
            Reason::TaskCount => "task_count",
            Reason::NoTarget => "no_target",
            Reason::NoLiveTarget => "no_live_target",
            Reason::Capacity => "capacity",
            Reason::Deadline => "deadline",
            Reason::Shutdown => "shutdown",
            Reason::Backlog => "backlog",
            Reason::LongestWait => "longest_wait",
            Reason::GaveWay => "gave_way",
        }
    }

    /// Its text in log lines.
    fn text(self) -> &'static str {
        match self {
            Reason::NoConfiguration => "no configuration yet",
            Reason::NoQueue => "no queue has this host and path",
            Reason::OtherPath => "the path is not the queue's prefix followed by the job's id",
            Reason::TooLarge => "the body exceeds the configured limit",
            Reason::Advice => "the queue requires advice, which is unavailable",
            Reason::Unsupported => "a requested feature is not supported",
            Reason::TaskCount => "the number of tasks is out of range",
            Reason::NoTarget => "a task fits on no target of the service",
            Reason::NoLiveTarget => "the targets that can run a task are leaving or evacuated",
            Reason::Capacity => "the targets can't do the job's work before the caller's deadline",
            Reason::Deadline => "the expected run time exceeds the caller's deadline",
            Reason::Shutdown => {
                "the expected run time exceeds the time until this VM has shut down"
            }
            Reason::Backlog => "the waiting work would delay the job beyond its longest wait",
            Reason::LongestWait => "the job found no room within its longest wait",
            Reason::GaveWay => "the job gave way to one whose refusal costs more",
        }
    }
}

/// Number of refused jobs of a queue by reason, in the order of [`Reason::ALL`].
pub type ReasonCounts = [u64; REASONS];

/// Refused jobs by queue and reason, for the queues of the configuration.
#[derive(Default)]
pub(crate) struct RefusalCounts {
    queues: SortedMap<Arc<str>, ReasonCounts>,
    changed: bool,
}

impl RefusalCounts {
    fn count(&mut self, queue: &Arc<str>, reason: Reason) {
        let counts = self
            .queues
            .get_or_insert_with(queue.clone(), ReasonCounts::default);
        counts[reason as usize] += 1;
        self.changed = true;
    }

    /// Removes the queues that `keep` rejects.
    pub(crate) fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        let known = self.queues.len();
        self.queues.retain(|queue, _| keep(queue));
        self.changed |= self.queues.len() != known;
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

impl Scheduler {
    /// The refused jobs by queue and reason, if they have changed since the last call.
    pub fn changed_refusals(&mut self) -> Option<Vec<(Arc<str>, ReasonCounts)>> {
        let changed = std::mem::take(&mut self.refusals.changed);
        let counts = || {
            let queues = self.refusals.queues.iter();
            queues.map(|(q, counts)| (q.clone(), *counts)).collect()
        };
        changed.then(counts)
    }

    /// Counts a refused job, unless its queue was removed from the configuration.
    fn count_refusal(&mut self, queue: &Arc<str>, reason: Reason) {
        let document = self.document.as_ref();
        if document.is_some_and(|d| d.queues.iter().any(|q| q.name == *queue)) {
            self.refusals.count(queue, reason);
        }
    }

    /// Logs and counts a submitted job that isn't accepted.
    pub(crate) fn log_rejection(&mut self, job: &Submission, reply: &Reply, reason: Reason) {
        let document = self.document.as_ref();
        let queue = document.and_then(|d| d.queue(&job.host, &job.path));
        let queue = queue.map(|queue| queue.name.clone());
        let text = job.unsupported.filter(|_| reason == Reason::Unsupported);
        log::info!(event = "job-refused", job = job.id.as_str(), queue = queue.as_deref(),
            reason = text.unwrap_or(reason.text()), kind = reason.label(),
            outcome:? = reply, waiting = self.jobs.len(),
            patience_ms = millis(job.timeout),
            declared_ms = job.steps.iter().map(|s| millis(s.declared)).max(),
            version = document.map_or(0, |d| d.version.0);
            "a job was refused");
        if let Some(queue) = queue {
            self.count_refusal(&queue, reason);
        }
    }

    /// Refuses a job for lack of room, or in its place another one that waits, if that costs callers
    /// less and the first one starts in time without it. `room_after` is the time until there is room
    /// for the job. Returns whether the job itself was refused.
    pub(crate) fn refuse_for_room(
        &mut self,
        now: Time,
        job_id: u64,
        (reason, room_after): (Reason, Duration),
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(other) = self.substitute(now, job_id) else {
            self.refuse(now, job_id, (reason, room_after), out);
            return true;
        };
        let given_up = self.jobs.get(&other);
        let rank = given_up.map(|job| self.rank(job));
        let room_after = given_up.map_or(room_after, |job| self.room_after(now, job));
        if let Some(job) = self.jobs.get_mut(&job_id) {
            job.taken_rank = rank;
            let (id, reason) = (job.id.clone(), reason.label());
            if let Some(other) = self.jobs.get(&other) {
                log::info!(event = "job-spared", job = id.as_str(), kind = reason,
                    other = other.id.as_str(), queue = &*other.queue, priority = other.priority;
                    "another job is refused in place of one");
            }
        }
        self.refuse(now, other, (Reason::GaveWay, room_after), out);
        false
    }

    /// The job that is refused in place of another one. Only a job with room that comes before it in
    /// the order can make room for it. A job has a substitute once: that its forecast fails again
    /// mustn't cost another job. While nothing is started for lack of news of the callers, there is
    /// none.
    fn substitute(&self, now: Time, job_id: u64) -> Option<u64> {
        if !self.knows_callers(now) {
            return None;
        }
        let refused = self
            .jobs
            .get(&job_id)
            .filter(|job| job.taken_rank.is_none())?;
        let order = self.placement_order();
        let place = order.iter().position(|(.., id)| *id == job_id)?;
        let before = order[..place].iter();
        let before = before.filter_map(|(.., id)| Some((*id, self.jobs.get(id)?)));
        let may_go = |job: &Job| !job.started && job.kept.is_some() && job.taken_rank.is_none();
        let others: Vec<Contender> = before
            .filter(|(_, job)| may_go(job))
            .map(|(id, job)| self.contender(id, job))
            .collect();
        let makes_room = |other| self.starts_instead(now, (job_id, other), &order);
        let refused = self.contender(job_id, refused);
        choose_substitute(now, &refused, &others, &self.shares, makes_room)
    }

    fn contender(&self, id: u64, job: &Job) -> Contender {
        Contender {
            id,
            queue: job.queue.clone(),
            claim: self.claim(job),
            start_by: (!job.started).then_some(job.start_by),
            run_time: self.longest_run_time(job),
        }
    }

    /// Refuses an accepted job of which no task was started.
    pub(crate) fn refuse(
        &mut self,
        now: Time,
        job_id: u64,
        (reason, room_after): (Reason, Duration),
        out: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get(&job_id) else {
            return;
        };
        let after = retry_delay(room_after);
        let (targets_age, offers_age) = self.knowledge_ages(now);
        log::info!(event = "job-refused", job = job.id.as_str(), queue = &*job.queue,
            reason = reason.text(), kind = reason.label(), priority = job.priority,
            rank_ms = millis(self.rank(job).due().since(now)),
            start_by_ms = millis(job.start_by.since(now)),
            expected_ms = millis(self.backlog(now)), waiting = self.jobs.len(),
            tasks = job.tasks.len(), after_ms = millis(after),
            age_ms = millis(now.since(job.arrival)),
            targets_age_ms = targets_age, offers_age_ms = offers_age;
            "a job that waited for room was refused");
        let (queue, work) = (job.queue.clone(), self.claim(job).work);
        self.shares.record_refusal(now, &queue, work);
        self.count_refusal(&queue, reason);
        self.finish(now, job_id, Reply::Refused { after }, out);
    }

    /// Records what became of a job in a round of placement, and logs when it begins to wait and when
    /// it starts after that.
    pub(crate) fn record_decision(
        &mut self,
        now: Time,
        job_id: u64,
        decision: Decision,
        (waiting, places): (usize, usize),
    ) {
        let Some(job) = self.jobs.get_mut(&job_id) else {
            return;
        };
        let kept = match decision {
            Decision::Keep(start) => Some(start),
            Decision::Start | Decision::Wait => None,
        };
        let starts = decision == Decision::Start;
        let changed = kept.is_some() != job.kept.is_some();
        let logged = std::mem::replace(&mut job.wait_logged, !starts);
        job.kept = kept;
        if job.started || logged != starts {
            if changed {
                log::debug!(event = "job-room", job = job.id.as_str(), queue = &*job.queue,
                    tasks = waiting, places = places,
                    start_ms = kept.map(|start| millis(start.since(now))),
                    age_ms = millis(now.since(job.arrival));
                    "room is kept for a job, or no longer");
            }
            return;
        }
        let Some(job) = self.jobs.get(&job_id) else {
            return;
        };
        let (targets_age, offers_age) = self.knowledge_ages(now);
        let rank = self.rank(job).due();
        if starts {
            log::info!(event = "job-started", job = job.id.as_str(), queue = &*job.queue,
                priority = job.priority, rank_ms = millis(rank.since(now)), tasks = waiting,
                places = places, age_ms = millis(now.since(job.arrival)),
                targets_age_ms = targets_age, offers_age_ms = offers_age;
                "a job that waited has started");
        } else {
            log::info!(event = "job-waits", job = job.id.as_str(), queue = &*job.queue,
                priority = job.priority, rank_ms = millis(rank.since(now)), tasks = waiting,
                places = places, start_ms = kept.map(|start| millis(start.since(now))),
                start_by_ms = millis(job.start_by.since(now)), waiting = self.jobs.len(),
                targets_age_ms = targets_age, offers_age_ms = offers_age;
                "a job waits for room");
        }
    }

    /// Ages of the oldest news of this VM's targets and of the oldest offers of others, in
    /// milliseconds; `None` without any.
    fn knowledge_ages(&self, now: Time) -> (Option<u64>, Option<u64>) {
        let usable = self.targets.used().filter(|(_, t)| t.accepts_tasks(now));
        let reports = usable.map(|(_, target)| target.last_report);
        let offering = self.peers.values().filter(|view| !view.offers.is_empty());
        let offers = offering.map(|view| view.last_offers);
        let age = |time: Time| millis(now.since(time));
        (reports.min().map(age), offers.min().map(age))
    }
}
