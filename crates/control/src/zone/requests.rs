//! Requests of callers: submissions, single requests, outcomes and cancellation; waiting callers;
//! and refusals, which are given only after a read of the ledger is confirmed.

use std::sync::Arc;
use std::time::Duration;

use greengage_agreement::Ticket;
use greengage_core::{
    Digest, Failure, JobKey, JobNumber, Name, Outcome, Refusal, Time, WallTime, ZoneName,
};
use greengage_dispatch as dispatch;
use greengage_dispatch::{Admission, Job, JobMode};
use greengage_ledger::{Command, Stage, Submission};
use greengage_policy::Resolved;

use super::{ActiveJob, Context, JobStage, Origin, Output, Timer, Waiter, Zone, REPROPOSE_DELAY};
use crate::api::{ApiError, NewJob, NewRequest, Progress, Reply};
use crate::message::Now;

impl Zone {
    /// Accepts or refuses a submission, or answers one whose key is known.
    pub(crate) fn submit(
        &mut self,
        cx: &mut Context<'_>,
        origin: Origin,
        wait: Duration,
        key: JobKey,
        job: NewJob,
    ) {
        if let Some((digest, known)) = self.lookup(cx, &key) {
            if digest != job.digest {
                return cx.answer(origin, Reply::Error(ApiError::OtherContent(key)));
            }
            return self.answer_or_wait(cx, origin, wait, key, known);
        }
        let resolved = match self.validate(cx, &job) {
            Ok(resolved) => resolved,
            Err(error) => return self.answer_after_read(cx, origin, Reply::Error(error)),
        };
        let deadline = WallTime(cx.now.wall.0 + resolved.deadline_ms);
        let submission = Arc::new(Submission {
            template: job.template,
            account: job.account,
            version: resolved.version,
            tasks: job.tasks,
            deadline,
        });
        let number = self.next_job();
        let mut spec = job_spec(number, &submission, &resolved, cx.now);
        let begun = match self.dispatch.admit(cx.now.time, &spec) {
            Admission::Start => true,
            Admission::Queue => false,
            Admission::Refuse(refusal) => {
                cx.record(Some(&key), None, "refused at admission");
                let reply = Reply::Error(ApiError::Refused(refusal));
                return self.answer_after_read(cx, origin, reply);
            }
        };
        spec.mode = JobMode::Recorded { begun };
        self.insert_job(ActiveJob {
            key: key.clone(),
            caller: None,
            digest: job.digest,
            results: vec![None; submission.tasks.len()],
            submission: submission.clone(),
            values: resolved.values,
            stage: JobStage::Proposed,
            spec,
            cancel_requested: false,
            ran_on: Vec::new(),
        });
        self.add_waiter(cx, origin, wait, &key);
        self.propose(
            cx,
            Command::Accept {
                key,
                digest: job.digest,
                submission,
                begun,
                accepted_at: self.accept_time(cx.now.time),
            },
        );
    }

    /// Runs a repeatable request without a ledger entry.
    pub(crate) fn single(&mut self, cx: &mut Context<'_>, origin: Origin, request: NewRequest) {
        let job = single_job(&self.name, &origin, request);
        let resolved = match self.validate(cx, &job) {
            Ok(resolved) => resolved,
            Err(error) => return cx.answer(origin, Reply::Error(error)),
        };
        if !resolved.template.repeatable {
            let template = job.template;
            return cx.answer(origin, Reply::Error(ApiError::MissingId { template }));
        }
        let key = JobKey {
            account: job.account.clone(),
            zone: self.name.clone(),
            id: job.id,
        };
        if self.keys.contains_key(&key) {
            return;
        }
        let submission = Arc::new(Submission {
            template: job.template,
            account: job.account,
            version: resolved.version,
            tasks: job.tasks,
            deadline: WallTime(cx.now.wall.0 + resolved.deadline_ms),
        });
        let number = self.next_job();
        let mut spec = job_spec(number, &submission, &resolved, cx.now);
        spec.mode = JobMode::Repeatable {
            retries: resolved.template.retries,
        };
        if let Admission::Refuse(refusal) = self.dispatch.admit(cx.now.time, &spec) {
            return cx.answer(origin, Reply::Error(ApiError::Refused(refusal)));
        }
        self.insert_job(ActiveJob {
            key,
            caller: Some(origin),
            digest: job.digest,
            results: vec![None; 1],
            submission,
            values: resolved.values,
            stage: JobStage::Begun,
            spec: spec.clone(),
            cancel_requested: false,
            ran_on: Vec::new(),
        });
        self.dispatch_step(cx, dispatch::Event::Submit(spec));
    }

    /// Answers with the progress of a submission.
    pub(crate) fn outcome(
        &mut self,
        cx: &mut Context<'_>,
        origin: Origin,
        wait: Duration,
        key: JobKey,
    ) {
        match self.lookup(cx, &key) {
            Some((_, known)) => self.answer_or_wait(cx, origin, wait, key, known),
            None => self.answer_after_read(cx, origin, Reply::Error(ApiError::UnknownKey(key))),
        }
    }

    /// Answers a submission that a draining VM received, without accepting it.
    pub(crate) fn answer_lookup(
        &mut self,
        cx: &mut Context<'_>,
        origin: Origin,
        wait: Duration,
        key: JobKey,
        digest: Digest,
    ) {
        match self.lookup(cx, &key) {
            Some((known, _)) if known != digest => {
                cx.answer(origin, Reply::Error(ApiError::OtherContent(key)));
            }
            Some((_, known)) => self.answer_or_wait(cx, origin, wait, key, known),
            None => {
                let reply = Reply::Error(ApiError::Refused(Refusal::Draining));
                self.answer_after_read(cx, origin, reply);
            }
        }
    }

    /// Cancels a submission and answers with its outcome.
    pub(crate) fn cancel(
        &mut self,
        cx: &mut Context<'_>,
        origin: Origin,
        wait: Duration,
        key: JobKey,
    ) {
        let known = match self.lookup(cx, &key) {
            Some((_, known)) => known,
            None => {
                return self.answer_after_read(cx, origin, Reply::Error(ApiError::UnknownKey(key)))
            }
        };
        let number = match known {
            Progress::Closed(_) => {
                return cx.answer(
                    origin,
                    Reply::Job {
                        key,
                        progress: known,
                    },
                );
            }
            Progress::Queued | Progress::Begun => self.keys.get(&key).copied(),
        };
        self.add_waiter(cx, origin, wait, &key);
        let Some(number) = number else { return };
        cx.record(Some(&key), None, "cancellation requested");
        let job = self
            .active_jobs
            .get_mut(&number)
            .expect("each key has its job");
        match job.stage {
            JobStage::Proposed => job.cancel_requested = true,
            JobStage::Queued | JobStage::Begun => {
                self.dispatch_step(cx, dispatch::Event::Cancel(number));
            }
            JobStage::Recovering => {
                let failure = Failure::Cancelled {
                    maybe_started: true,
                };
                self.close(cx, number, Outcome::Failed(failure));
            }
            JobStage::Closing => {}
        }
    }

    /// Digest and progress of a key that is in the ledger or proposed by this leader.
    pub(super) fn lookup(&self, cx: &Context<'_>, key: &JobKey) -> Option<(Digest, Progress)> {
        if let Some(entry) = cx.ledger.get(key) {
            return Some((entry.digest, progress(&entry.stage)));
        }
        let number = self.keys.get(key)?;
        let job = &self.active_jobs[number];
        Some((job.digest, Progress::Queued))
    }

    pub(super) fn validate(&self, cx: &Context<'_>, job: &NewJob) -> Result<Resolved, ApiError> {
        if self.draining {
            return Err(ApiError::Refused(Refusal::Draining));
        }
        let resolved = cx
            .policy
            .resolve(&job.template, &job.account)
            .map_err(ApiError::Policy)?;
        let count = job.tasks.len() as u32;
        let limit = resolved.template.max_tasks;
        if count == 0 || count > limit {
            return Err(ApiError::Tasks { count, limit });
        }
        Ok(resolved)
    }

    pub(crate) fn next_job(&mut self) -> JobNumber {
        self.last_job += 1;
        JobNumber(self.last_job)
    }

    pub(crate) fn insert_job(&mut self, job: ActiveJob) {
        let number = job.spec.number;
        self.keys.insert(job.key.clone(), number);
        let previous = self.active_jobs.insert(number, job);
        assert!(previous.is_none(), "job numbers are unique");
    }

    pub(super) fn remove_job(&mut self, number: JobNumber) -> Option<ActiveJob> {
        let job = self.active_jobs.remove(&number)?;
        self.keys.remove(&job.key);
        Some(job)
    }

    // Waiting callers.

    pub(super) fn answer_or_wait(
        &mut self,
        cx: &mut Context<'_>,
        origin: Origin,
        wait: Duration,
        key: JobKey,
        progress: Progress,
    ) {
        match progress {
            Progress::Closed(_) => cx.answer(origin, Reply::Job { key, progress }),
            Progress::Queued | Progress::Begun => self.add_waiter(cx, origin, wait, &key),
        }
    }

    pub(super) fn add_waiter(
        &mut self,
        cx: &mut Context<'_>,
        origin: Origin,
        wait: Duration,
        key: &JobKey,
    ) {
        let deadline = cx.now.time + wait;
        let waiters = self.waiters.entry(key.clone()).or_default();
        match waiters.iter_mut().find(|waiter| waiter.origin == origin) {
            Some(waiter) => waiter.deadline = deadline,
            None => waiters.push(Waiter {
                origin: origin.clone(),
                deadline,
            }),
        }
        self.timers
            .set(deadline, Timer::Waiter(key.clone(), origin));
    }

    pub(super) fn waiter_due(&mut self, cx: &mut Context<'_>, key: &JobKey, origin: &Origin) {
        let now = cx.now.time;
        // A submission is reported only once its `Accept` is committed; `apply_accept` then calls
        // this again.
        let proposed = |number| self.active_jobs[number].stage == JobStage::Proposed;
        if self.keys.get(key).is_some_and(proposed) {
            return;
        }
        let Some(waiters) = self.waiters.get_mut(key) else {
            return;
        };
        let due = |waiter: &Waiter| waiter.origin == *origin && waiter.deadline <= now;
        let Some(index) = waiters.iter().position(due) else {
            return;
        };
        waiters.swap_remove(index);
        if waiters.is_empty() {
            self.waiters.remove(key);
        }
        if let Some((_, progress)) = self.lookup(cx, key) {
            let key = key.clone();
            cx.answer(origin.clone(), Reply::Job { key, progress });
        }
    }

    /// Answers callers whose wait ended before the submission was accepted.
    pub(super) fn answer_due_waiters(&mut self, cx: &mut Context<'_>, key: &JobKey) {
        let now = cx.now.time;
        let waiters = self.waiters.get(key).into_iter().flatten();
        let due = waiters.filter(|waiter| waiter.deadline <= now);
        let origins: Vec<Origin> = due.map(|waiter| waiter.origin.clone()).collect();
        for origin in origins {
            self.waiter_due(cx, key, &origin);
        }
    }

    pub(super) fn answer_waiters(
        &mut self,
        cx: &mut Context<'_>,
        key: &JobKey,
        outcome: &Arc<Outcome>,
    ) {
        for waiter in self.waiters.remove(key).unwrap_or_default() {
            let reply = Reply::Job {
                key: key.clone(),
                progress: Progress::Closed(outcome.clone()),
            };
            cx.answer(waiter.origin, reply);
        }
    }

    // Refusals, which need a confirmed read.

    pub(super) fn answer_after_read(&mut self, cx: &mut Context<'_>, origin: Origin, reply: Reply) {
        if self.unconfirmed_replies.is_empty() {
            cx.outputs.push(Output::Read);
        }
        self.unconfirmed_replies.push((origin, reply));
    }

    /// Records the ticket of a read that `Output::Read` requested.
    pub(crate) fn read_started(&mut self, ticket: Ticket) {
        let replies = std::mem::take(&mut self.unconfirmed_replies);
        self.pending_reads.push((ticket, replies));
    }

    /// Requests the read again after a delay.
    pub(crate) fn retry_read(&mut self, now: Time) {
        self.timers.set(now + REPROPOSE_DELAY, Timer::Read);
    }

    /// Sends the refusals that waited for a read.
    pub(crate) fn read_confirmed(&mut self, cx: &mut Context<'_>, ticket: Ticket) {
        let Some(index) = self.pending_reads.iter().position(|(t, _)| *t == ticket) else {
            return;
        };
        for (origin, reply) in self.pending_reads.remove(index).1 {
            cx.answer(origin, reply);
        }
    }
}

pub(crate) fn progress(stage: &Stage) -> Progress {
    match stage {
        Stage::Accepted => Progress::Queued,
        Stage::Begun => Progress::Begun,
        Stage::Closed(outcome) => Progress::Closed(outcome.clone()),
    }
}

/// The job as the dispatcher sees it.
pub(crate) fn job_spec(
    number: JobNumber,
    submission: &Submission,
    resolved: &Resolved,
    now: Now,
) -> Job {
    let remaining_ms = submission.deadline.0.saturating_sub(now.wall.0);
    Job {
        number,
        account: submission.account.clone(),
        work: submission.template.clone(),
        tasks: submission.tasks.len() as u32,
        target_kind: resolved.template.target,
        demand: resolved.template.demand,
        spread: resolved.template.spread,
        deadline: now.time + Duration::from_millis(remaining_ms),
        declared: Duration::from_millis(resolved.template.expected_ms),
        mode: JobMode::Recorded { begun: false },
        bytes: submission.tasks.iter().map(|task| task.len()).sum(),
    }
}

/// Turns a repeatable request into a job of one task, with an id that is unique among all VMs.
fn single_job(zone: &ZoneName, origin: &Origin, request: NewRequest) -> NewJob {
    // With the incarnation in the id, a result that a target keeps for a request of an earlier
    // process does not answer this one.
    let Origin {
        vm,
        incarnation,
        id,
    } = origin;
    let id = Name::new(&format!("single:{vm}:{incarnation}:{id}"));
    let id = id.expect("VM names of a verified site are short enough");
    NewJob {
        account: request.account,
        zone: Some(zone.clone()),
        id,
        template: request.template,
        digest: request.digest,
        tasks: vec![request.task],
    }
}
