//! Dispatcher effects, calls to targets, and the evaluation of their results.

use greengage_core::{AttemptId, JobKey, JobNumber, Outcome, Payload, TargetName, Time};
use greengage_dispatch as dispatch;
use greengage_dispatch::{Attempt, AttemptOutcome};
use greengage_ledger::Command;

use super::{
    ActiveJob, Context, JobStage, OpenAttempt, Output, Phase, Timer, Zone, START_HOLD,
    TOKEN_COUNTER_BITS,
};
use crate::call::{Action, AttemptState, Call, CallResult, Start};

impl Zone {
    pub(crate) fn dispatch_step(&mut self, cx: &mut Context<'_>, event: dispatch::Event) {
        for effect in self.dispatch.step(cx.now.time, event) {
            match effect {
                dispatch::Effect::RecordBegin(numbers) => self.propose_begin(cx, &numbers),
                dispatch::Effect::Start { attempt, target } => self.send_start(cx, attempt, target),
                dispatch::Effect::Stop { attempt, target } => self.send_stop(cx, attempt, &target),
                dispatch::Effect::Complete(number) => self.complete(cx, number),
                dispatch::Effect::Failed { job, failure } => {
                    self.close(cx, job, Outcome::Failed(failure));
                }
            }
        }
    }

    pub(super) fn propose_begin(&mut self, cx: &mut Context<'_>, numbers: &[JobNumber]) {
        let key = |number: &JobNumber| self.active_jobs.get(number).map(|job| job.key.clone());
        let keys: Vec<JobKey> = numbers.iter().filter_map(key).collect();
        if !keys.is_empty() {
            self.propose(cx, Command::Begin { keys });
        }
    }

    pub(super) fn complete(&mut self, cx: &mut Context<'_>, number: JobNumber) {
        let Some(job) = self.active_jobs.get_mut(&number) else {
            return;
        };
        let results: Vec<Payload> = job.results.iter_mut().filter_map(Option::take).collect();
        assert_eq!(
            results.len(),
            job.submission.tasks.len(),
            "a completed job has the result of each task"
        );
        self.close(cx, number, Outcome::Complete(results));
    }

    pub(super) fn send_start(
        &mut self,
        cx: &mut Context<'_>,
        attempt: Attempt,
        target: TargetName,
    ) {
        let job = &self.active_jobs[&attempt.job];
        assert_eq!(
            job.stage,
            JobStage::Begun,
            "a start follows the applied `Begin`"
        );
        let id = attempt_id(job, attempt);
        let start = Start {
            attempt: id.clone(),
            term: self.term,
            zone: self.name.clone(),
            template: job.submission.template.clone(),
            values: job.values.clone(),
            payload: job.submission.tasks[attempt.task as usize].clone(),
            time_left: job.spec.deadline.since(cx.now.time),
        };
        cx.record(
            Some(&id.key),
            Some(&target),
            format!("start of {}", task_label(&id)),
        );
        let token = self.next_token();
        self.track(token, attempt, id, &target, Phase::Starting);
        self.schedule_check(cx.now.time, token, attempt);
        self.send_call(cx, token, &target, Action::Start(start));
    }

    /// Sets the time at which an unanswered start counts as late, unless the target answers by
    /// itself before that.
    fn schedule_check(&mut self, now: Time, token: u64, attempt: Attempt) {
        let expected = self.dispatch.expected_run_time(attempt.job);
        let delay = expected.saturating_mul(2) + self.limits.start_patience;
        if delay >= START_HOLD {
            return;
        }
        if let Some(open_attempt) = self.open_attempts.get_mut(&token) {
            open_attempt.check_at = Some(now + delay);
            self.timers.set(now + delay, Timer::Check(token));
        }
    }

    /// Revokes a late start on a new connection while its own call goes on, since the connection of
    /// that call may have fallen silent.
    pub(super) fn check_start(&mut self, cx: &mut Context<'_>, token: u64) {
        let Some(open_attempt) = self.open_attempts.get_mut(&token) else {
            return;
        };
        open_attempt.check_at = None;
        let (attempt, target) = (open_attempt.id.clone(), open_attempt.target.clone());
        if open_attempt.phase != Phase::Starting || !self.targets.contains(&target) {
            return;
        }
        let check = self.next_token();
        self.checks.insert(check, token);
        self.send_call(cx, check, &target, Action::Revoke { attempt });
    }

    fn cancel_check(&mut self, token: u64) {
        let open_attempt = self.open_attempts.get_mut(&token);
        if let Some(at) = open_attempt.and_then(|open_attempt| open_attempt.check_at.take()) {
            self.timers.remove(at, Timer::Check(token));
        }
    }

    /// Handles the answer about a late start. The start's own call decides whatever this answer
    /// leaves open.
    fn check_ended(&mut self, cx: &mut Context<'_>, token: u64, result: CallResult) {
        let Some(open_attempt) = self.open_attempts.get(&token) else {
            return;
        };
        let phase = open_attempt.phase;
        match result {
            CallResult::State(AttemptState::Running)
            | CallResult::State(AttemptState::Guard(greengage_core::GuardAction::Throttled)) => {}
            CallResult::State(state) => self.apply_state(cx, token, phase, state),
            // `Restarted` doesn't show whether the earlier incarnation got the start.
            CallResult::NotRun { .. }
            | CallResult::Broken { .. }
            | CallResult::Restarted
            | CallResult::Forgotten
            | CallResult::Fenced { .. } => {}
        }
    }

    /// Tracks an attempt that an earlier leader started.
    pub(crate) fn adopt(&mut self, cx: &mut Context<'_>, attempt: Attempt, target: &TargetName) {
        let id = attempt_id(&self.active_jobs[&attempt.job], attempt);
        cx.record(
            Some(&id.key),
            Some(target),
            format!("adopted {}", task_label(&id)),
        );
        let token = self.next_token();
        self.track(token, attempt, id, target, Phase::Running);
        self.send_poll(cx, token);
    }

    pub(super) fn track(
        &mut self,
        token: u64,
        attempt: Attempt,
        id: AttemptId,
        target: &TargetName,
        phase: Phase,
    ) {
        let entry = self
            .targets
            .get_mut(target)
            .expect("a start names a known target");
        entry.open_attempts.insert(token);
        let incarnation = entry.announcement.incarnation;
        self.attempt_tokens.insert(attempt, token);
        self.open_attempts.insert(
            token,
            OpenAttempt {
                attempt,
                id,
                target: target.clone(),
                incarnation,
                phase,
                new_connection: false,
                check_at: None,
            },
        );
    }

    pub(super) fn send_stop(
        &mut self,
        cx: &mut Context<'_>,
        attempt: Attempt,
        target: &TargetName,
    ) {
        let Some(token) = self.attempt_tokens.get(&attempt) else {
            return;
        };
        let attempt = self.open_attempts[token].id.clone();
        cx.record(
            Some(&attempt.key),
            Some(target),
            format!("stop of {}", task_label(&attempt)),
        );
        let token = self.next_token();
        self.send_call(cx, token, target, Action::Stop { attempt });
    }

    pub(super) fn next_token(&mut self) -> u64 {
        self.last_token += 1;
        (self.term.0 << TOKEN_COUNTER_BITS) + self.last_token
    }

    pub(super) fn send_call(
        &mut self,
        cx: &mut Context<'_>,
        token: u64,
        target: &TargetName,
        action: Action,
    ) {
        let Some(entry) = self.targets.get(target) else {
            return;
        };
        let call = Call {
            target: target.clone(),
            incarnation: entry.announcement.incarnation,
            address: entry.announcement.address.clone(),
            action,
        };
        cx.outputs.push(Output::Call { token, call });
    }

    /// Asks the target about an attempt again.
    pub(super) fn send_poll(&mut self, cx: &mut Context<'_>, token: u64) {
        let Some(open_attempt) = self.open_attempts.get(&token) else {
            return;
        };
        let attempt = open_attempt.id.clone();
        let target = open_attempt.target.clone();
        let action = match open_attempt.phase {
            Phase::Revoking => Action::Revoke { attempt },
            Phase::Starting | Phase::Running => Action::Poll {
                attempt,
                new_connection: open_attempt.new_connection,
            },
        };
        self.send_call(cx, token, &target, action);
    }

    pub(super) fn schedule_poll(&mut self, now: Time, token: u64) {
        self.timers
            .set(now + self.limits.poll_interval, Timer::Poll(token));
    }

    /// Handles the result of a call.
    pub(crate) fn call_ended(&mut self, cx: &mut Context<'_>, token: u64, result: CallResult) {
        if let Some(target) = self.fences.remove(&token) {
            return self.fence_call_ended(cx, &target, result);
        }
        if let Some(attempt) = self.checks.remove(&token) {
            return self.check_ended(cx, attempt, result);
        }
        self.cancel_check(token);
        let Some(open_attempt) = self.open_attempts.get_mut(&token) else {
            return;
        };
        let phase = open_attempt.phase;
        match result {
            CallResult::State(state) => self.apply_state(cx, token, phase, state),
            CallResult::NotRun { reason } if phase == Phase::Starting => {
                log::debug!("start of {} refused: {reason}", open_attempt.id);
                self.settle(cx, token, AttemptOutcome::NotRun);
            }
            CallResult::Broken { reason } if phase == Phase::Starting => {
                log::warn!(
                    "start of {} failed after it was sent, revoking it: {reason}",
                    open_attempt.id
                );
                open_attempt.phase = Phase::Revoking;
                self.send_poll(cx, token);
            }
            CallResult::NotRun { .. } | CallResult::Broken { .. } => {
                // Only the start call itself can show that a task did not run. A later call that
                // does not get through shows nothing, so the target is asked again until its lease
                // ends.
                open_attempt.new_connection = true;
                self.schedule_poll(cx.now.time, token);
            }
            CallResult::Restarted => self.settle(cx, token, lost_or_not_run(phase)),
            // Only started attempts are asked about, so the target has lost its state.
            CallResult::Forgotten => self.settle(cx, token, AttemptOutcome::Lost),
            CallResult::Fenced { .. } => {
                log::error!("call {token} is not a fence but got the answer to one")
            }
        }
    }

    pub(super) fn apply_state(
        &mut self,
        cx: &mut Context<'_>,
        token: u64,
        phase: Phase,
        state: AttemptState,
    ) {
        match state {
            AttemptState::Done { result, service } => {
                let attempt = self.open_attempts[&token].attempt;
                if let Some(job) = self.active_jobs.get_mut(&attempt.job) {
                    job.results[attempt.task as usize] = Some(result);
                }
                self.settle(cx, token, AttemptOutcome::Done { service });
            }
            AttemptState::Running => {
                let open_attempt = self
                    .open_attempts
                    .get_mut(&token)
                    .expect("looked up by the caller");
                open_attempt.phase = Phase::Running;
                self.send_poll(cx, token);
            }
            AttemptState::Failed { message } => {
                self.settle(cx, token, AttemptOutcome::Failed { message })
            }
            AttemptState::Never => match phase {
                Phase::Starting | Phase::Revoking => self.settle(cx, token, AttemptOutcome::NotRun),
                // The target reported before that the task is running, so it has lost its state.
                Phase::Running => self.settle(cx, token, AttemptOutcome::Lost),
            },
            AttemptState::Guard(greengage_core::GuardAction::Throttled) => {
                let open_attempt = self
                    .open_attempts
                    .get_mut(&token)
                    .expect("looked up by the caller");
                open_attempt.phase = Phase::Running;
                self.schedule_poll(cx.now.time, token);
            }
            AttemptState::Guard(action) => self.settle(cx, token, AttemptOutcome::Guard(action)),
        }
    }

    pub(super) fn settle(&mut self, cx: &mut Context<'_>, token: u64, outcome: AttemptOutcome) {
        self.cancel_check(token);
        let Some(open_attempt) = self.open_attempts.remove(&token) else {
            return;
        };
        self.attempt_tokens.remove(&open_attempt.attempt);
        if let Some(entry) = self.targets.get_mut(&open_attempt.target) {
            entry.open_attempts.remove(&token);
        }
        match outcome {
            AttemptOutcome::NotRun => {}
            _ => self.add_dependent(
                open_attempt.attempt.job,
                &open_attempt.target,
                open_attempt.incarnation,
            ),
        }
        let what = match &outcome {
            AttemptOutcome::Done { .. } => "done",
            AttemptOutcome::Failed { .. } => "failed",
            AttemptOutcome::NotRun => "not run",
            AttemptOutcome::Lost => "lost",
            AttemptOutcome::Guard(_) => "ended by the guard",
        };
        let what = format!("{} {what}", task_label(&open_attempt.id));
        cx.record(Some(&open_attempt.id.key), Some(&open_attempt.target), what);
        let attempt = open_attempt.attempt;
        self.dispatch_step(cx, dispatch::Event::AttemptEnded { attempt, outcome });
    }
}

/// Result of an attempt whose target has restarted. A start that was refused because it names the
/// earlier incarnation did not run.
fn lost_or_not_run(phase: Phase) -> AttemptOutcome {
    match phase {
        Phase::Starting => AttemptOutcome::NotRun,
        Phase::Running | Phase::Revoking => AttemptOutcome::Lost,
    }
}

fn attempt_id(job: &ActiveJob, attempt: Attempt) -> AttemptId {
    AttemptId {
        key: job.key.clone(),
        task: attempt.task,
        number: attempt.number,
    }
}

/// Label of an attempt in the time line, next to its key.
fn task_label(id: &AttemptId) -> String {
    format!("task {} attempt {}", id.task, id.number)
}
