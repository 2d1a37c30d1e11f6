//! The life cycle of jobs: submission, adoption, begin, and the end of attempts and jobs.

use std::time::Duration;

use rand::Rng;

use greengage_core::{Failure, GuardAction, JobNumber, SortedMap, Time};

use crate::event::{Attempt, AttemptOutcome, Effect, Job, JobMode, RunningAttempt};
use crate::ids::JobId;
use crate::jobs::{JobState, Jobs, PendingTask, Phase};
use crate::timers::Timer;

use super::{Dispatch, OpenAttempt};

/// Refused starts of one task from which its job pauses.
const REFUSALS_BEFORE_PAUSE: u32 = 3;

/// First pause of a job; doubled for each further refusal.
const MIN_PAUSE: Duration = Duration::from_millis(10);

/// Most doublings of the pause; the longest is 1.28 s.
const PAUSE_DOUBLINGS: u32 = 7;

impl Dispatch {
    pub(super) fn submit(&mut self, now: Time, job: &Job, effects: &mut Vec<Effect>) {
        if self.jobs.find(job.number).is_some() {
            return;
        }
        if job.tasks == 0 {
            effects.push(Effect::Complete(job.number));
            return;
        }
        let phase = match job.mode {
            JobMode::Recorded { begun: false } => Phase::NotBegun,
            JobMode::Recorded { begun: true } | JobMode::Repeatable { .. } => Phase::Begun,
        };
        let id = self.insert(now, job, phase);
        self.set_queued(now, id, job.tasks);
        let entry = self.jobs.get(id);
        let pool = self.pools.pool_of(entry.work);
        let size = entry.task_us * u64::from(job.tasks);
        self.fair.record_arrival(entry.account, pool, now, size);
        if phase == Phase::Begun {
            self.add_staged(id);
        }
        self.update_queue(id);
    }

    pub(super) fn adopt(
        &mut self,
        now: Time,
        job: &Job,
        done: &[u32],
        running: &[RunningAttempt],
        effects: &mut Vec<Effect>,
    ) {
        if self.jobs.find(job.number).is_some() {
            return;
        }
        let id = self.insert(now, job, Phase::Begun);
        let entry = self.jobs.get_mut(id);
        entry.next_task = job.tasks;
        entry.possible_runs = 1;
        for task in done.iter().filter(|t| **t < job.tasks) {
            if entry.started_tasks.insert(*task) {
                entry.done += 1;
            }
        }
        for run in running {
            let Attempt { task, .. } = run.attempt;
            if task >= job.tasks || !self.jobs.get_mut(id).started_tasks.insert(task) {
                continue;
            }
            let tie_breaker = self.rng.random();
            let target = self.targets.find_or_add(&run.target, tie_breaker);
            self.targets.by_id[target.index()].may_overcommit = true;
            self.add_attempt(now, id, run.attempt, target, 0);
        }
        let entry = self.jobs.get_mut(id);
        let tasks = (0..job.tasks).rev();
        entry.requeued = tasks
            .filter(|t| !entry.started_tasks.contains(*t))
            .map(|task| PendingTask {
                task,
                attempts: 0,
                lost: 0,
                refused: 0,
                avoid: None,
            })
            .collect();
        let queued = entry.requeued.len() as u32;
        if entry.done == job.tasks {
            self.complete(now, id, effects);
            return;
        }
        self.set_queued(now, id, queued);
        self.add_staged(id);
        self.update_queue(id);
    }

    pub(super) fn insert(&mut self, now: Time, job: &Job, phase: Phase) -> JobId {
        let work = self.work_id(&job.work, job.target_kind);
        let account = self.account_id(&job.account);
        let shape = self.shape_id(work, job);
        self.targets.shape_mut(shape).users += 1;
        let id = self.jobs.insert(JobState {
            number: job.number,
            account,
            work,
            shape,
            tasks: job.tasks,
            next_task: 0,
            queued: 0,
            running: 0,
            done: 0,
            requeued: Vec::new(),
            deadline: job.deadline,
            arrival: now,
            declared: job.declared,
            task_us: self.expected_us(work, job.declared),
            queue: None,
            size: 0,
            at_head: false,
            mode: job.mode,
            phase,
            bytes: job.bytes,
            staged_cost: None,
            paused_until: None,
            possible_runs: 0,
            started_tasks: Jobs::task_set(job.tasks),
            rack_starts: SortedMap::new(),
        });
        self.timers.insert(job.deadline, Timer::Deadline(id));
        id
    }

    pub(super) fn mark_begun(&mut self, _now: Time, number: JobNumber) {
        let Some(id) = self.jobs.find(number) else {
            return;
        };
        let entry = self.jobs.get_mut(id);
        match entry.phase {
            Phase::Beginning => {
                entry.phase = Phase::Begun;
                self.update_queue(id);
            }
            Phase::NotBegun => {
                entry.phase = Phase::Begun;
                self.add_staged(id);
                self.update_queue(id);
            }
            Phase::Begun => {}
        }
    }

    pub(super) fn settle(
        &mut self,
        now: Time,
        attempt: Attempt,
        outcome: AttemptOutcome,
        effects: &mut Vec<Effect>,
    ) {
        if outcome == AttemptOutcome::Guard(GuardAction::Throttled) {
            return;
        }
        let Some(run) = self.attempts.remove(&attempt) else {
            return;
        };
        let target = run.grant.target;
        let name = self.targets.get(target).name.clone();
        self.touch_target(target);
        self.touch_work(run.work);
        match outcome {
            AttemptOutcome::Done { service } => {
                self.estimates.observe(run.work, service);
                let expected = self.estimates.expected(run.work, service);
                self.targets.observe(target, service, expected);
            }
            AttemptOutcome::NotRun => {
                if let Some(until) = self.targets.back_off(target, now) {
                    self.timers.insert(until, Timer::BackoffEnd(target));
                }
                self.fair
                    .refund(run.account, self.pools.pool_of(run.work), run.cost);
            }
            AttemptOutcome::Failed { .. } | AttemptOutcome::Lost | AttemptOutcome::Guard(_) => {}
        }
        self.targets.release(attempt, run.grant, now);
        let pool = self.pools.pool_of(run.work);
        let limit = self.fair.limit_mut(run.account, run.work);
        limit.running -= 1;
        let busy = u64::from(limit.running) + u64::from(limit.staged) + 1;
        if busy >= u64::from(limit.share.concurrency) {
            self.fair.mark_stale(run.account, pool);
        }
        self.fair.update_ranks(run.account, pool, None);
        let Some(id) = self.jobs.find(attempt.job) else {
            return;
        };
        let entry = self.jobs.get_mut(id);
        entry.running -= 1;
        let task = attempt.task;
        match outcome {
            AttemptOutcome::Done { .. } => {
                entry.done += 1;
                if entry.done == entry.tasks {
                    self.complete(now, id, effects);
                }
            }
            AttemptOutcome::Failed { message } => {
                self.fail(now, id, Failure::TaskFailed { task, message }, effects)
            }
            AttemptOutcome::Guard(action) => {
                self.fail(now, id, Failure::Guard { task, action }, effects)
            }
            AttemptOutcome::NotRun => {
                entry.possible_runs -= 1;
                entry.started_tasks.remove(task);
                self.requeue(now, id, attempt, run, run.lost, run.refused + 1);
            }
            AttemptOutcome::Lost => {
                let retries = match entry.mode {
                    JobMode::Recorded { .. } => 0,
                    JobMode::Repeatable { retries } => retries,
                };
                if run.lost < retries && self.retry_budget.try_take(now) {
                    self.requeue(now, id, attempt, run, run.lost + 1, run.refused);
                } else {
                    let target = Some(name);
                    self.fail(now, id, Failure::MayHaveRun { task, target }, effects);
                }
            }
        }
    }

    /// Returns a task to the queue, at the head of its lane, and pauses the job after repeated
    /// refusals.
    pub(super) fn requeue(
        &mut self,
        now: Time,
        id: JobId,
        attempt: Attempt,
        run: OpenAttempt,
        lost: u32,
        refused: u32,
    ) {
        let entry = self.jobs.get_mut(id);
        entry.requeued.push(PendingTask {
            task: attempt.task,
            attempts: attempt.number,
            lost,
            refused,
            avoid: Some(run.grant.target),
        });
        entry.at_head = true;
        if refused >= REFUSALS_BEFORE_PAUSE && refused > run.refused && entry.paused_until.is_none()
        {
            let until =
                now + MIN_PAUSE * (1 << (refused - REFUSALS_BEFORE_PAUSE).min(PAUSE_DOUBLINGS));
            entry.paused_until = Some(until);
            self.timers.insert(until, Timer::PauseEnd(id));
        }
        let (queued, staged_cost) = (entry.queued + 1, entry.staged_cost);
        self.set_queued(now, id, queued);
        if let Some(cost) = staged_cost {
            self.count_staged(id, 1, cost as i64);
        }
        self.update_queue(id);
    }

    pub(super) fn complete(&mut self, now: Time, id: JobId, effects: &mut Vec<Effect>) {
        let entry = self.remove(now, id);
        effects.push(Effect::Complete(entry.number));
    }

    /// Fails a job and stops its running tasks, whose grants stay until their attempts end.
    pub(super) fn fail(
        &mut self,
        now: Time,
        id: JobId,
        failure: Failure,
        effects: &mut Vec<Effect>,
    ) {
        let entry = self.remove(now, id);
        let attempt = |task, number| Attempt {
            job: entry.number,
            task,
            number,
        };
        let runs = self
            .attempts
            .range(attempt(0, 0)..=attempt(u32::MAX, u32::MAX));
        effects.extend(runs.map(|(attempt, run)| Effect::Stop {
            attempt: *attempt,
            target: self.targets.get(run.grant.target).name.clone(),
        }));
        effects.push(Effect::Failed {
            job: entry.number,
            failure,
        });
    }

    pub(super) fn remove(&mut self, now: Time, id: JobId) -> JobState {
        // A job without queued tasks is in no queue and isn't counted in any lane.
        if self.jobs.get(id).queued > 0 {
            self.drop_staged(id);
            self.set_queued(now, id, 0);
            self.update_queue(id);
        }
        let entry = self.jobs.remove(id);
        self.timers.remove(entry.deadline, Timer::Deadline(id));
        if let Some(until) = entry.paused_until {
            self.timers.remove(until, Timer::PauseEnd(id));
        }
        self.targets.shape_mut(entry.shape).users -= 1;
        entry
    }

    pub(super) fn expire(&mut self, now: Time, id: JobId, effects: &mut Vec<Effect>) {
        let maybe_started = self.jobs.get(id).possible_runs > 0;
        self.fail(now, id, Failure::Deadline { maybe_started }, effects);
    }
}
