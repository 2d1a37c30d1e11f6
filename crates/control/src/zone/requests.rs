//! Requests of callers: submissions, single requests, outcomes, cancellation; callers that wait;
//! refusals, which are given only after a read of the ledger is confirmed.

use std::sync::Arc;
use std::time::Duration;

use greengage_agreement::Ticket;
use greengage_core::{
    Digest, Failure, JobKey, JobNumber, Name, Outcome, Refusal, Time, Wall, ZoneName,
};
use greengage_dispatch as dispatch;
use greengage_dispatch::{Admission, Job, Mode};
use greengage_ledger::{Command, Stage, Submission};
use greengage_policy::Resolved;

use super::{Cx, Live, LiveStage, Origin, Output, Timer, Waiter, Zone, REPROPOSE_AFTER};
use crate::api::{ApiError, NewJob, NewRequest, Progress, Reply};
use crate::message::Now;

impl Zone {
    /// Accepts, refuses or recognises a submission.
    pub(crate) fn submit(
        &mut self,
        cx: &mut Cx<'_>,
        origin: Origin,
        wait: Duration,
        key: JobKey,
        job: NewJob,
    ) {
        if let Some((digest, known)) = self.known(cx, &key) {
            if digest != job.digest {
                return cx.answer(origin, Reply::Error(ApiError::OtherContent(key)));
            }
            return self.answer_or_wait(cx, origin, wait, key, known);
        }
        let resolved = match self.check(cx, &job) {
            Ok(resolved) => resolved,
            Err(error) => return self.confirm(cx, origin, Reply::Error(error)),
        };
        let deadline = Wall(cx.now.wall.0 + resolved.deadline_ms);
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
                return self.confirm(cx, origin, reply);
            }
        };
        spec.mode = Mode::Recorded { begun };
        self.enter(Live {
            key: key.clone(),
            single: None,
            digest: job.digest,
            results: vec![None; submission.tasks.len()],
            submission: submission.clone(),
            values: resolved.values,
            stage: LiveStage::Proposed,
            spec,
            cancel: false,
            ran: Vec::new(),
        });
        self.wait(cx, origin, wait, &key);
        self.propose(
            cx,
            Command::Accept {
                key,
                digest: job.digest,
                submission,
                begun,
                at: self.stamp(cx.now.time),
            },
        );
    }

    /// Runs a repeatable request without a ledger entry.
    pub(crate) fn single(&mut self, cx: &mut Cx<'_>, origin: Origin, request: NewRequest) {
        let job = single_job(&self.name, &origin, request);
        let resolved = match self.check(cx, &job) {
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
            deadline: Wall(cx.now.wall.0 + resolved.deadline_ms),
        });
        let number = self.next_job();
        let mut spec = job_spec(number, &submission, &resolved, cx.now);
        spec.mode = Mode::Repeatable {
            retries: resolved.template.retries,
        };
        if let Admission::Refuse(refusal) = self.dispatch.admit(cx.now.time, &spec) {
            return cx.answer(origin, Reply::Error(ApiError::Refused(refusal)));
        }
        self.enter(Live {
            key,
            single: Some(origin),
            digest: job.digest,
            results: vec![None; 1],
            submission,
            values: resolved.values,
            stage: LiveStage::Begun,
            spec: spec.clone(),
            cancel: false,
            ran: Vec::new(),
        });
        self.dispatch_step(cx, dispatch::Event::Submit(spec));
    }

    /// Answers how far a submission has come.
    pub(crate) fn outcome(&mut self, cx: &mut Cx<'_>, origin: Origin, wait: Duration, key: JobKey) {
        match self.known(cx, &key) {
            Some((_, known)) => self.answer_or_wait(cx, origin, wait, key, known),
            None => self.confirm(cx, origin, Reply::Error(ApiError::UnknownKey(key))),
        }
    }

    /// Answers a submission that a VM took while it shuts down, without accepting it.
    pub(crate) fn recall(
        &mut self,
        cx: &mut Cx<'_>,
        origin: Origin,
        wait: Duration,
        key: JobKey,
        digest: Digest,
    ) {
        match self.known(cx, &key) {
            Some((known, _)) if known != digest => {
                cx.answer(origin, Reply::Error(ApiError::OtherContent(key)));
            }
            Some((_, known)) => self.answer_or_wait(cx, origin, wait, key, known),
            None => {
                let reply = Reply::Error(ApiError::Refused(Refusal::Draining));
                self.confirm(cx, origin, reply);
            }
        }
    }

    /// Cancels a submission and answers how it ended.
    pub(crate) fn cancel(&mut self, cx: &mut Cx<'_>, origin: Origin, wait: Duration, key: JobKey) {
        let known = match self.known(cx, &key) {
            Some((_, known)) => known,
            None => return self.confirm(cx, origin, Reply::Error(ApiError::UnknownKey(key))),
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
        self.wait(cx, origin, wait, &key);
        let Some(number) = number else { return };
        cx.record(Some(&key), None, "cancellation requested");
        let live = self.live.get_mut(&number).expect("keys and jobs agree");
        match live.stage {
            LiveStage::Proposed => live.cancel = true,
            LiveStage::Queued | LiveStage::Begun => {
                self.dispatch_step(cx, dispatch::Event::Cancel(number));
            }
            LiveStage::Recovering => {
                let failure = Failure::Cancelled { begun: true };
                self.close(cx, number, Outcome::Failed(failure));
            }
            LiveStage::Closing => {}
        }
    }

    /// What this leader knows of a key: applied, or proposed by itself.
    pub(super) fn known(&self, cx: &Cx<'_>, key: &JobKey) -> Option<(Digest, Progress)> {
        if let Some(entry) = cx.ledger.get(key) {
            return Some((entry.digest, progress(&entry.stage)));
        }
        let number = self.keys.get(key)?;
        let live = &self.live[number];
        Some((live.digest, Progress::Queued))
    }

    pub(super) fn check(&self, cx: &Cx<'_>, job: &NewJob) -> Result<Resolved, ApiError> {
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
        self.jobs += 1;
        JobNumber(self.jobs)
    }

    pub(crate) fn enter(&mut self, live: Live) {
        let number = live.spec.number;
        self.keys.insert(live.key.clone(), number);
        let previous = self.live.insert(number, live);
        assert!(previous.is_none(), "job numbers are unique");
    }

    pub(super) fn leave(&mut self, number: JobNumber) -> Option<Live> {
        let live = self.live.remove(&number)?;
        self.keys.remove(&live.key);
        Some(live)
    }

    // Waiting callers.

    pub(super) fn answer_or_wait(
        &mut self,
        cx: &mut Cx<'_>,
        origin: Origin,
        wait: Duration,
        key: JobKey,
        progress: Progress,
    ) {
        match progress {
            Progress::Closed(_) => cx.answer(origin, Reply::Job { key, progress }),
            Progress::Queued | Progress::Begun => self.wait(cx, origin, wait, &key),
        }
    }

    pub(super) fn wait(&mut self, cx: &mut Cx<'_>, origin: Origin, wait: Duration, key: &JobKey) {
        let until = cx.now.time + wait;
        let waiters = self.waiters.entry(key.clone()).or_default();
        match waiters.iter_mut().find(|waiter| waiter.origin == origin) {
            Some(waiter) => waiter.until = until,
            None => waiters.push(Waiter {
                origin: origin.clone(),
                until,
            }),
        }
        self.timers.set(until, Timer::Waiter(key.clone(), origin));
    }

    pub(super) fn waiter_due(&mut self, cx: &mut Cx<'_>, key: &JobKey, origin: &Origin) {
        let now = cx.now.time;
        // A submission is reported only once its accept is committed; `accepted` comes back here.
        let proposed = |number| self.live[number].stage == LiveStage::Proposed;
        if self.keys.get(key).is_some_and(proposed) {
            return;
        }
        let Some(waiters) = self.waiters.get_mut(key) else {
            return;
        };
        let due = |waiter: &Waiter| waiter.origin == *origin && waiter.until <= now;
        let Some(place) = waiters.iter().position(due) else {
            return;
        };
        waiters.swap_remove(place);
        if waiters.is_empty() {
            self.waiters.remove(key);
        }
        if let Some((_, progress)) = self.known(cx, key) {
            let key = key.clone();
            cx.answer(origin.clone(), Reply::Job { key, progress });
        }
    }

    /// Answers callers that didn't want to wait, now that the submission is accepted.
    pub(super) fn answer_due(&mut self, cx: &mut Cx<'_>, key: &JobKey) {
        let now = cx.now.time;
        let waiters = self.waiters.get(key).into_iter().flatten();
        let due = waiters.filter(|waiter| waiter.until <= now);
        let origins: Vec<Origin> = due.map(|waiter| waiter.origin.clone()).collect();
        for origin in origins {
            self.waiter_due(cx, key, &origin);
        }
    }

    pub(super) fn answer_waiters(&mut self, cx: &mut Cx<'_>, key: &JobKey, outcome: &Arc<Outcome>) {
        for waiter in self.waiters.remove(key).unwrap_or_default() {
            let reply = Reply::Job {
                key: key.clone(),
                progress: Progress::Closed(outcome.clone()),
            };
            cx.answer(waiter.origin, reply);
        }
    }

    // Refusals, which need a confirmed read.

    pub(super) fn confirm(&mut self, cx: &mut Cx<'_>, origin: Origin, reply: Reply) {
        if self.unconfirmed.is_empty() {
            cx.out.push(Output::Read);
        }
        self.unconfirmed.push((origin, reply));
    }

    /// Notes the ticket of a read that `Output::Read` asked for.
    pub(crate) fn reading(&mut self, ticket: Ticket) {
        let replies = std::mem::take(&mut self.unconfirmed);
        self.reading.push((ticket, replies));
    }

    /// Asks for a read again after a pause.
    pub(crate) fn read_later(&mut self, now: Time) {
        self.timers.set(now + REPROPOSE_AFTER, Timer::Read);
    }

    /// Gives the refusals that waited for a read.
    pub(crate) fn confirmed(&mut self, cx: &mut Cx<'_>, ticket: Ticket) {
        let Some(place) = self.reading.iter().position(|(t, _)| *t == ticket) else {
            return;
        };
        for (origin, reply) in self.reading.remove(place).1 {
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

/// The dispatcher's view of a submission.
pub(crate) fn job_spec(
    number: JobNumber,
    submission: &Submission,
    resolved: &Resolved,
    now: Now,
) -> Job {
    let left = submission.deadline.0.saturating_sub(now.wall.0);
    Job {
        number,
        account: submission.account.clone(),
        work: submission.template.clone(),
        tasks: submission.tasks.len() as u32,
        target: resolved.template.target,
        demand: resolved.template.demand,
        spread: resolved.template.spread,
        deadline: now.time + Duration::from_millis(left),
        expected: Duration::from_millis(resolved.template.expected_ms),
        mode: Mode::Recorded { begun: false },
        bytes: submission.tasks.iter().map(|task| task.len()).sum(),
    }
}

/// A repeatable request as a job of one task, with an id that is unique among the VMs' callers.
fn single_job(zone: &ZoneName, origin: &Origin, request: NewRequest) -> NewJob {
    // The life keeps a target's result of an earlier process's request from answering this one.
    let Origin { vm, life, id } = origin;
    let id = Name::new(&format!("single:{vm}:{life}:{id}"));
    let id = id.expect("a verified site's VM names leave room");
    NewJob {
        account: request.account,
        zone: Some(zone.clone()),
        id,
        template: request.template,
        digest: request.digest,
        tasks: vec![request.task],
    }
}
