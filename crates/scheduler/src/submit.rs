//! Admission of submitted jobs.

use std::sync::Arc;
use std::time::Duration;

use greengage_config::Queue;
use greengage_core::{Demand, Name, Time};

use crate::admission::{backlog, max_wait};
use crate::cancel::JobKey;
use crate::event::{Effect, Reply, Step, Submission};
use crate::job::{Job, JobCaller, StepInfo, Task, TaskState};
use crate::refusals::Reason;
use crate::scheduler::Scheduler;
use crate::target::{Origin, Target};

/// Retry delay of jobs that are refused for another reason than load.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Limit on the tasks of one job; the largest expected jobs have 1,200.
const MAX_TASKS: u64 = 10_000;

/// Time, besides the interval of reports, from a VM's first report of a target until it has one of
/// each target. A target repeats a report that isn't acknowledged within a second.
const DISCOVERY_MARGIN: Duration = Duration::from_millis(1100);

/// Shortest run time that is considered possible, in percent of the expected one: estimates are off
/// by two fifths, and the fastest targets take five eighths of the usual time.
pub(crate) const BEST_CASE_PERCENT: u32 = 40;

/// Multiple of a job's expected run time that must be left before the end of a shutdown. The slowest
/// targets take five thirds of the usual time, and another VM can serve a refused job at once.
const SHUTDOWN_RUN_TIMES: u32 = 2;

/// Subtracted from the time that a caller waits, for the delivery of the answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);

/// Expected run time of the slowest of several equal tasks, by the upper limit of their number, in
/// percent of one task's run time: the mean maximum of that many log-normal samples with a
/// deviation of a sixth, rounded.
const SLOWEST_TASK_PERCENT: [(u32, u32); 4] = [(1, 100), (3, 112), (8, 124), (u32::MAX, 136)];

impl Scheduler {
    pub(crate) fn submit(&mut self, now: Time, mut job: Submission, out: &mut Vec<Effect>) {
        let request = job.request;
        if let Some(id) = self.id_in_queue(&job) {
            job.id = id;
        }
        if self.is_cancelled(now, &JobKey::of(&job)) {
            log::info!(event = "job-cancelled-before", job = job.id.as_str(), request = request.0;
                "a cancelled job was submitted again");
            let reply = Reply::Cancelled;
            return out.push(Effect::Answer { request, reply });
        }
        if self.attach(now, &job, out) {
            return;
        }
        match self.admit(now, &job) {
            Ok(accepted) => {
                self.last_job_id += 1;
                log::debug!(event = "job-accepted", job = job.id.as_str(), request = request.0,
                    queue = &*accepted.queue, tasks = accepted.tasks.len(),
                    received_ms = now.since(job.received).as_millis() as u64,
                    patience_ms = job.timeout.as_millis() as u64; "a job was accepted");
                let work = self.claim(&accepted).work;
                let (queue, priority) = (accepted.queue.clone(), accepted.priority);
                self.shares.record_admission(now, &queue, priority, work);
                self.requests.insert(request, self.last_job_id);
                self.jobs.insert(self.last_job_id, accepted);
                self.accepted_job = Some(self.last_job_id);
                self.dispatch_due = true;
            }
            Err((reply, reason)) => {
                self.log_rejection(&job, &reply, reason);
                out.push(Effect::Answer { request, reply });
            }
        }
    }

    /// Whether the submitted job is current or was cancelled, so that its tasks may have run.
    pub fn has_job(&self, now: Time, job: &Submission) -> bool {
        let current = self.jobs.values().any(|current| current.matches(job));
        current || self.is_cancelled(now, &JobKey::of(job))
    }

    /// Attaches a caller that submits a current job again to that job. The earlier request is still
    /// answered: its connection may have broken, which this VM hasn't noticed, or not.
    fn attach(&mut self, now: Time, job: &Submission, out: &mut Vec<Effect>) -> bool {
        let Some((job_id, found)) = self.jobs.iter_mut().find(|(_, j)| j.matches(job)) else {
            return false;
        };
        let answer_due = answer_time(job);
        let answer_due = self.leaving.map_or(answer_due, |l| answer_due.min(l.end));
        let earlier = found.callers.first().map_or(0, |caller| caller.request.0);
        log::info!(event = "job-resubmitted", job = job.id.as_str(), earlier = earlier,
            request = job.request.0; "a current job was submitted again");
        let caller = JobCaller {
            request: job.request,
            deadline: answer_due,
        };
        let extended = caller.deadline > found.deadline;
        found.deadline = found.deadline.max(caller.deadline);
        found.callers.push(caller);
        self.requests.insert(job.request, *job_id);
        let (origin, deadline) = (Origin::Local(*job_id), found.deadline);
        self.targets.for_each_used(|_, target| {
            for run in target.runs.iter_mut().filter(|run| run.origin == origin) {
                run.deadline = deadline;
            }
        });
        if extended {
            self.send_renewals(now, out);
        }
        true
    }

    /// The id of a job: what follows the prefix of its queue, which may be part of a segment of the path.
    fn id_in_queue(&self, job: &Submission) -> Option<Name> {
        let queue = self.document.as_ref()?.queue(&job.host, &job.path)?;
        Name::new(job.path.strip_prefix(&*queue.prefix)?).ok()
    }

    /// Returns the accepted job, or the answer and the reason of its refusal.
    fn admit(&self, now: Time, job: &Submission) -> Result<Job, (Reply, Reason)> {
        let retry_later = || Reply::Refused { after: RETRY_AFTER };
        let Some(document) = &self.document else {
            return Err((retry_later(), Reason::NoConfiguration));
        };
        let Some(queue) = document.queue(&job.host, &job.path) else {
            return Err((Reply::NoQueue, Reason::NoQueue));
        };
        if job.path.strip_prefix(&*queue.prefix) != Some(job.id.as_str()) {
            return Err((Reply::NoQueue, Reason::OtherPath));
        }
        let most = document.limits.max_body_bytes;
        if job.body_bytes > most {
            return Err((Reply::TooLarge { most }, Reason::TooLarge));
        }
        if queue.uses_advisor {
            return Err((retry_later(), Reason::Advice));
        }
        if job.unsupported.is_some() {
            return Err((retry_later(), Reason::Unsupported));
        }
        let count: u64 = job.steps.iter().map(|step| u64::from(step.count)).sum();
        if count == 0 || count > MAX_TASKS {
            return Err((retry_later(), Reason::TaskCount));
        }
        let steps = job.steps.iter();
        let steps = steps.map(|step| (&step.demand, step.label.as_ref()));
        let unplaceable = !self.is_feasible(&queue.service, steps);
        if unplaceable && self.knows_targets(now) {
            // No target of the service, whoever owns it, has the capacity or the label.
            return Err((Reply::Failed, Reason::NoTarget));
        }
        if !unplaceable && self.exceeds_targets(now, job, queue) && self.knows_targets(now) {
            return Err((retry_later(), Reason::Capacity));
        }
        let labels = job.steps.iter().map(|step| step.label.as_ref());
        if self.knows_targets(now) && self.lacks_live_target(&queue.service, labels) {
            return Err((retry_later(), Reason::NoLiveTarget));
        }
        let work = self.critical_path(&job.steps, &queue.name);
        let mut accepted = new_job(now, job, queue, work);
        let times_after = self.times_after(&job.steps, &queue.name);
        for (step, after) in accepted.steps.iter_mut().zip(times_after) {
            step.after = after;
        }
        accepted.unplaceable = unplaceable;
        if let Some(leaving) = &self.leaving {
            if outlasts(now, work, leaving.end) {
                return Err((retry_later(), Reason::Shutdown));
            }
            accepted.limit_end(leaving.end);
        }
        if now + work * BEST_CASE_PERCENT / 100 > accepted.deadline {
            return Err((retry_later(), Reason::Deadline));
        }
        Ok(accepted)
    }

    /// Refuses a job that found no free resources on arrival and for which no room is kept, if the
    /// backlog of this VM is expected to delay it beyond its longest wait. Returns whether another job
    /// was refused in its place.
    pub(crate) fn refuse_if_backlogged(
        &mut self,
        now: Time,
        job_id: u64,
        out: &mut Vec<Effect>,
    ) -> bool {
        let waiting = self.backlog(now);
        let overdue =
            |job: &Job| !job.started && job.kept.is_none() && now + waiting > job.start_by;
        let Some(job) = self.jobs.get(&job_id).filter(|job| overdue(job)) else {
            return false;
        };
        let reason = (Reason::Backlog, self.room_after(now, job));
        !self.refuse_for_room(now, job_id, reason, out)
    }

    /// Whether each step's tasks, given by demand and label, fit on a target of the service, or no
    /// target of it is known yet.
    fn is_feasible<'a>(
        &self,
        service: &str,
        mut steps: impl Iterator<Item = (&'a Demand, Option<&'a Arc<str>>)>,
    ) -> bool {
        let targets = || self.targets.iter().map(|(_, target)| target);
        let fits = |(demand, label): (&Demand, Option<&Arc<str>>)| {
            let mut serving = targets().filter(|t| t.serves(service, label));
            serving.any(|target| demand.fits(&target.report.capacity))
        };
        !targets().any(|target| target.serves(service, None)) || steps.all(fits)
    }

    /// Whether a step's tasks can run only on targets that are leaving or evacuated. A lost target may
    /// come back within the job's longest wait.
    fn lacks_live_target<'a>(
        &self,
        service: &str,
        mut labels: impl Iterator<Item = Option<&'a Arc<str>>>,
    ) -> bool {
        let is_live = |target: &Target| !target.report.draining && !target.evacuated;
        labels.any(|label| {
            let targets = self.targets.iter().map(|(_, target)| target);
            let mut serving = targets.filter(|t| t.serves(service, label)).peekable();
            serving.peek().is_some() && !serving.any(is_live)
        })
    }

    /// Whether a job needs more of the processors than all targets of its service, or all that have
    /// the label of some of its steps, have until the caller's deadline, even if it runs as fast as
    /// possible and alone.
    fn exceeds_targets(&self, now: Time, job: &Submission, queue: &Queue) -> bool {
        let step_work = |step: &Step| {
            let time = self.estimates.expected_run_time(&queue.name, step.declared);
            let best = time * BEST_CASE_PERCENT / 100;
            best.as_secs_f64() * f64::from(step.count) * f64::from(step.demand.milli_cores)
        };
        let mut by_label: Vec<(Option<&Arc<str>>, f64)> = job
            .steps
            .iter()
            .filter(|step| step.label.is_some())
            .map(|step| (step.label.as_ref(), step_work(step)))
            .collect();
        by_label.sort_by_key(|(label, _)| *label);
        by_label.dedup_by(|(label, work), (kept, sum)| {
            let equal = label == kept;
            *sum += if equal { *work } else { 0.0 };
            equal
        });
        by_label.push((None, job.steps.iter().map(step_work).sum()));
        let time = answer_time(job).since(now).as_secs_f64();
        by_label.into_iter().any(|(label, mut work)| {
            let targets = self.targets.iter().map(|(_, target)| target);
            let mut any = false;
            for target in targets.filter(|t| t.serves(&queue.service, label)) {
                any = true;
                work -= time * f64::from(target.report.capacity.milli_cores);
                if work <= 0.0 {
                    return false;
                }
            }
            any
        })
    }

    /// Whether all targets have had time to report, and no other VM owns one that this VM doesn't
    /// know.
    fn knows_targets(&self, now: Time) -> bool {
        let discovery_time = self.setup.report_interval + DISCOVERY_MARGIN;
        let is_settled = |since: Time| now.since(since) >= discovery_time;
        let owned = self.peers.values().filter_map(|view| view.owned.as_ref());
        self.first_target.is_some_and(is_settled)
            && owned.flatten().all(|target| self.targets.contains(target))
    }

    /// Ends the jobs that were accepted although a task fits on no known target, if all targets are
    /// known now and it still fits on none.
    pub(crate) fn review_unplaceable(&mut self, now: Time, out: &mut Vec<Effect>) {
        if !self.jobs.values().any(|job| job.unplaceable) || !self.knows_targets(now) {
            return;
        }
        let mut failed = Vec::new();
        for (job_id, job) in self.jobs.iter().filter(|(_, job)| job.unplaceable) {
            let steps = job.steps.iter();
            let steps = steps.map(|step| (&step.demand, step.label.as_ref()));
            if !self.is_feasible(&job.service, steps) {
                failed.push(*job_id);
            }
        }
        for job in self.jobs.values_mut() {
            job.unplaceable = false;
        }
        for job_id in failed {
            self.finish(now, job_id, Reply::Failed, out);
        }
    }

    /// Expected run time of the slowest of `count` equal tasks.
    fn slowest_run_time(&self, queue: &str, count: u32, declared: Duration) -> Duration {
        let found = SLOWEST_TASK_PERCENT.iter().find(|(most, _)| count <= *most);
        let percent = found.map_or(100, |(_, percent)| *percent);
        self.estimates.expected_run_time(queue, declared) * percent / 100
    }

    /// Expected run time of the longest dependency chain of steps.
    fn critical_path(&self, steps: &[Step], queue: &Arc<str>) -> Duration {
        let mut paths: Vec<Duration> = Vec::with_capacity(steps.len());
        for step in steps {
            let before = step.depends_on.iter();
            let before = before.filter_map(|i| paths.get(*i as usize)).max();
            let run_time = self.slowest_run_time(queue, step.count, step.declared);
            paths.push(run_time + before.copied().unwrap_or_default());
        }
        paths.into_iter().max().unwrap_or_default()
    }

    /// For each step, the expected run time of the longest chain of steps after it.
    fn times_after(&self, steps: &[Step], queue: &Arc<str>) -> Vec<Duration> {
        let mut after = vec![Duration::ZERO; steps.len()];
        for (i, step) in steps.iter().enumerate().rev() {
            let run_time = self.slowest_run_time(queue, step.count, step.declared);
            let time = run_time + after[i];
            // A step depends on earlier ones.
            for before in step.depends_on.iter().map(|before| *before as usize) {
                if before < i {
                    after[before] = after[before].max(time);
                }
            }
        }
        after
    }

    /// Expected time until the tasks that wait on this VM are served.
    pub(crate) fn backlog(&self, now: Time) -> Duration {
        self.serving_time(now, self.jobs.values())
    }

    /// Expected time until there is room for a job: until the waiting tasks of the jobs before it in
    /// the order are served.
    pub(crate) fn room_after(&self, now: Time, job: &Job) -> Duration {
        let rank = self.rank(job);
        let before = |other: &&Job| other.started || self.rank(other) < rank;
        self.serving_time(now, self.jobs.values().filter(before))
    }

    fn serving_time<'a>(&self, now: Time, jobs: impl Iterator<Item = &'a Job>) -> Duration {
        let mut work = Duration::ZERO;
        for job in jobs {
            for i in job.waiting_tasks() {
                let step = &job.steps[job.tasks[i].step];
                work += self.estimates.expected_run_time(&job.queue, step.declared);
            }
        }
        if work.is_zero() {
            return work;
        }
        let open = self
            .targets
            .used()
            .filter(|(_, t)| t.accepts_tasks(now) || !t.runs.is_empty());
        let concurrency: usize = open.map(|(_, t)| t.runs.len().max(1)).sum();
        let offers: usize = self.peers.values().map(|view| view.offers.len()).sum();
        backlog(work, (concurrency + offers) as f64)
    }
}

/// Whether work with this expected run time may outlast a shutdown that ends at `end`.
pub(crate) fn outlasts(now: Time, work: Duration, end: Time) -> bool {
    now + work * SHUTDOWN_RUN_TIMES > end
}

/// When the caller of a submission is answered at the latest.
fn answer_time(job: &Submission) -> Time {
    job.received + job.timeout.saturating_sub(ANSWER_MARGIN)
}

/// Creates a waiting job; `work` is the expected run time of its longest chain of steps.
fn new_job(now: Time, job: &Submission, queue: &Queue, work: Duration) -> Job {
    let objective = queue.objective(work);
    let deadline = answer_time(job);
    let mut tasks = Vec::new();
    for (i, step) in job.steps.iter().enumerate() {
        for index in 0..step.count {
            tasks.push(Task {
                name: format!("{}.0.{i}.{index}", job.id).into(),
                step: i,
                state: TaskState::Waiting,
                number: 0,
                failures: 0,
                overruns: 0,
                may_have_run: false,
                avoid_target: None,
            });
        }
    }
    let steps = job.steps.iter().map(|step| StepInfo {
        demand: step.demand,
        declared: step.declared,
        depends_on: step.depends_on.clone(),
        label: step.label.clone(),
        after: Duration::ZERO,
        remaining: step.count,
    });
    Job {
        callers: vec![JobCaller {
            request: job.request,
            deadline,
        }],
        host: job.host.clone(),
        path: job.path.clone(),
        id: job.id.clone(),
        queue: queue.name.clone(),
        priority: queue.priority,
        service: queue.service.clone(),
        spec: job.spec.clone(),
        attempts: queue.max_attempts.max(1),
        tasks,
        steps: steps.collect(),
        arrival: now,
        start_by: now + max_wait(objective),
        objective: deadline.min(now + objective),
        deadline,
        started: false,
        kept: None,
        wait_logged: false,
        taken_rank: None,
        unplaceable: false,
    }
}
