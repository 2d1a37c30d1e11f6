//! The dispatcher's effects, calls to targets and what is concluded from their answers.

use greengage_core::{AttemptId, JobKey, JobNumber, Outcome, Payload, TargetName, Time};
use greengage_dispatch as dispatch;
use greengage_dispatch::{Attempt, Settled};
use greengage_ledger::Command;

use super::{Cx, Flight, Live, LiveStage, Output, Phase, Timer, Zone, TOKEN_BITS};
use crate::call::{Action, Call, Seen, Start, State};

impl Zone {
    pub(crate) fn dispatch_step(&mut self, cx: &mut Cx<'_>, event: dispatch::Event) {
        for effect in self.dispatch.step(cx.now.time, event) {
            match effect {
                dispatch::Effect::Begin(numbers) => self.begin(cx, &numbers),
                dispatch::Effect::Start { attempt, target } => self.start(cx, attempt, target),
                dispatch::Effect::Stop { attempt, target } => self.stop(cx, attempt, &target),
                dispatch::Effect::Complete(number) => self.complete(cx, number),
                dispatch::Effect::Failed { job, failure } => {
                    self.close(cx, job, Outcome::Failed(failure));
                }
            }
        }
    }

    pub(super) fn begin(&mut self, cx: &mut Cx<'_>, numbers: &[JobNumber]) {
        let key = |number: &JobNumber| self.live.get(number).map(|live| live.key.clone());
        let keys: Vec<JobKey> = numbers.iter().filter_map(key).collect();
        if !keys.is_empty() {
            self.propose(cx, Command::Begin { keys });
        }
    }

    pub(super) fn complete(&mut self, cx: &mut Cx<'_>, number: JobNumber) {
        let Some(live) = self.live.get_mut(&number) else {
            return;
        };
        let results: Vec<Payload> = live.results.iter_mut().filter_map(Option::take).collect();
        assert_eq!(
            results.len(),
            live.submission.tasks.len(),
            "a complete job has the result of each task"
        );
        self.close(cx, number, Outcome::Complete(results));
    }

    pub(super) fn start(&mut self, cx: &mut Cx<'_>, attempt: Attempt, target: TargetName) {
        let live = &self.live[&attempt.job];
        assert_eq!(live.stage, LiveStage::Begun, "a start follows the begin");
        let id = attempt_id(live, attempt);
        let start = Start {
            attempt: id.clone(),
            term: self.term,
            zone: self.name.clone(),
            template: live.submission.template.clone(),
            values: live.values.clone(),
            payload: live.submission.tasks[attempt.task as usize].clone(),
            left: live.spec.deadline.since(cx.now.time),
        };
        cx.record(
            Some(&id.key),
            Some(&target),
            format!("start of {}", task(&id)),
        );
        let token = self.next_token();
        self.track(token, attempt, id, &target, Phase::Starting);
        self.call(cx, token, &target, Action::Start(start));
    }

    /// Follows an attempt that an earlier leader started.
    pub(crate) fn adopt(&mut self, cx: &mut Cx<'_>, attempt: Attempt, target: &TargetName) {
        let id = attempt_id(&self.live[&attempt.job], attempt);
        cx.record(
            Some(&id.key),
            Some(target),
            format!("adopted {}", task(&id)),
        );
        let token = self.next_token();
        self.track(token, attempt, id, target, Phase::Running);
        self.poll(cx, token);
    }

    pub(super) fn track(
        &mut self,
        token: u64,
        attempt: Attempt,
        id: AttemptId,
        target: &TargetName,
        phase: Phase,
    ) {
        let member = self
            .targets
            .get_mut(target)
            .expect("a start names a known target");
        member.flights.insert(token);
        let incarnation = member.announcement.incarnation;
        self.attempts.insert(attempt, token);
        self.flights.insert(
            token,
            Flight {
                attempt,
                id,
                target: target.clone(),
                incarnation,
                phase,
                fresh: false,
            },
        );
    }

    pub(super) fn stop(&mut self, cx: &mut Cx<'_>, attempt: Attempt, target: &TargetName) {
        let Some(token) = self.attempts.get(&attempt) else {
            return;
        };
        let attempt = self.flights[token].id.clone();
        cx.record(
            Some(&attempt.key),
            Some(target),
            format!("stop of {}", task(&attempt)),
        );
        let token = self.next_token();
        self.call(cx, token, target, Action::Stop { attempt });
    }

    pub(super) fn next_token(&mut self) -> u64 {
        self.tokens += 1;
        (self.term.0 << TOKEN_BITS) + self.tokens
    }

    pub(super) fn call(
        &mut self,
        cx: &mut Cx<'_>,
        token: u64,
        target: &TargetName,
        action: Action,
    ) {
        let Some(member) = self.targets.get(target) else {
            return;
        };
        let call = Call {
            target: target.clone(),
            incarnation: member.announcement.incarnation,
            address: member.announcement.address.clone(),
            action,
        };
        cx.out.push(Output::Call { token, call });
    }

    /// Asks again after an attempt.
    pub(super) fn poll(&mut self, cx: &mut Cx<'_>, token: u64) {
        let Some(flight) = self.flights.get(&token) else {
            return;
        };
        let attempt = flight.id.clone();
        let target = flight.target.clone();
        let action = match flight.phase {
            Phase::Revoking => Action::Revoke { attempt },
            Phase::Starting | Phase::Running => Action::Poll {
                attempt,
                fresh: flight.fresh,
            },
        };
        self.call(cx, token, &target, action);
    }

    pub(super) fn poll_later(&mut self, now: Time, token: u64) {
        self.timers
            .set(now + self.limits.repoll, Timer::Poll(token));
    }

    /// Takes what a client saw of a call.
    pub(crate) fn seen(&mut self, cx: &mut Cx<'_>, token: u64, seen: Seen) {
        if let Some(target) = self.fences.remove(&token) {
            return self.fence_seen(cx, &target, seen);
        }
        let Some(flight) = self.flights.get_mut(&token) else {
            return;
        };
        let phase = flight.phase;
        match seen {
            Seen::State(state) => self.state(cx, token, phase, state),
            Seen::NotRun { reason } if phase == Phase::Starting => {
                log::debug!("start of {} refused: {reason}", flight.id);
                self.settle(cx, token, Settled::NotRun);
            }
            Seen::Broken { reason } if phase == Phase::Starting => {
                log::warn!("start of {} broke off: {reason}", flight.id);
                flight.phase = Phase::Revoking;
                self.poll(cx, token);
            }
            Seen::NotRun { .. } | Seen::Broken { .. } => {
                // Only the start's own call can tell that a task didn't run. A later call that
                // doesn't get through says nothing, so the target is asked again until its lease
                // ends.
                flight.fresh = true;
                self.poll_later(cx.now.time, token);
            }
            Seen::Restarted => self.settle(cx, token, lost_or_not_run(phase)),
            // Only an attempt that was started is asked about, so the target has lost its memory.
            Seen::Forgotten => self.settle(cx, token, Settled::Lost),
            Seen::Fenced { .. } => log::error!("call {token} was no fence but got its answer"),
        }
    }

    pub(super) fn state(&mut self, cx: &mut Cx<'_>, token: u64, phase: Phase, state: State) {
        match state {
            State::Done { result, service } => {
                let attempt = self.flights[&token].attempt;
                if let Some(live) = self.live.get_mut(&attempt.job) {
                    live.results[attempt.task as usize] = Some(result);
                }
                self.settle(cx, token, Settled::Done { service });
            }
            State::Running => {
                let flight = self
                    .flights
                    .get_mut(&token)
                    .expect("looked up by the caller");
                flight.phase = Phase::Running;
                self.poll(cx, token);
            }
            State::Failed { message } => self.settle(cx, token, Settled::Failed { message }),
            State::Never => match phase {
                Phase::Starting | Phase::Revoking => self.settle(cx, token, Settled::NotRun),
                // The target said before that the task runs, so it has lost its memory.
                Phase::Running => self.settle(cx, token, Settled::Lost),
            },
            State::Guard(greengage_core::GuardAction::Throttled) => {
                let flight = self
                    .flights
                    .get_mut(&token)
                    .expect("looked up by the caller");
                flight.phase = Phase::Running;
                self.poll_later(cx.now.time, token);
            }
            State::Guard(action) => self.settle(cx, token, Settled::Guard(action)),
        }
    }

    pub(super) fn settle(&mut self, cx: &mut Cx<'_>, token: u64, settled: Settled) {
        let Some(flight) = self.flights.remove(&token) else {
            return;
        };
        self.attempts.remove(&flight.attempt);
        if let Some(member) = self.targets.get_mut(&flight.target) {
            member.flights.remove(&token);
        }
        match settled {
            Settled::NotRun => {}
            _ => self.ended_on(flight.attempt.job, &flight.target, flight.incarnation),
        }
        let what = match &settled {
            Settled::Done { .. } => "done",
            Settled::Failed { .. } => "failed",
            Settled::NotRun => "not run",
            Settled::Lost => "lost",
            Settled::Guard(_) => "ended by the guard",
        };
        let what = format!("{} {what}", task(&flight.id));
        cx.record(Some(&flight.id.key), Some(&flight.target), what);
        let attempt = flight.attempt;
        self.dispatch_step(cx, dispatch::Event::Settled { attempt, settled });
    }
}

/// How an attempt ends whose target restarted and has forgotten it. A start that was refused for
/// naming the earlier incarnation did not run.
fn lost_or_not_run(phase: Phase) -> Settled {
    match phase {
        Phase::Starting => Settled::NotRun,
        Phase::Running | Phase::Revoking => Settled::Lost,
    }
}

fn attempt_id(live: &Live, attempt: Attempt) -> AttemptId {
    AttemptId {
        key: live.key.clone(),
        task: attempt.task,
        number: attempt.number,
    }
}

/// An attempt as the time line names it beside its key.
fn task(id: &AttemptId) -> String {
    format!("task {} attempt {}", id.task, id.number)
}
