//! Ledger commands: proposes them in order and handles those that are applied.

use std::sync::Arc;

use greengage_core::{JobKey, JobNumber, Outcome, Time, WallTime};
use greengage_dispatch as dispatch;
use greengage_dispatch::JobMode;
use greengage_ledger::{Applied, Command, Stage};

use super::{
    Context, JobStage, Timer, Zone, EXPIRE_BACKLOG_INTERVAL, EXPIRE_INTERVAL, REPROPOSE_DELAY,
};
use crate::api::Reply;

impl Zone {
    /// Proposes a command behind all commands that wait for a repeated proposal.
    pub(crate) fn propose(&mut self, cx: &mut Context<'_>, command: Command) {
        if self.deferred_commands.is_empty() {
            cx.propose(command);
        } else {
            self.deferred_commands.push(command);
        }
    }

    /// Queues a command that was refused because leadership is being transferred.
    pub(crate) fn defer(&mut self, now: Time, command: Command) {
        if self.deferred_commands.is_empty() {
            self.timers.set(now + REPROPOSE_DELAY, Timer::Repropose);
        }
        self.deferred_commands.push(command);
    }

    pub(super) fn repropose(&mut self, cx: &mut Context<'_>) {
        for command in std::mem::take(&mut self.deferred_commands) {
            cx.propose(command);
        }
    }

    pub(super) fn expire(&mut self, cx: &mut Context<'_>) {
        let retention = self.limits.retention.as_millis() as u64;
        let before = WallTime(self.accept_time(cx.now.time).0.saturating_sub(retention));
        // One command removes a bounded number of submissions, so it does not delay others.
        let next = match cx.ledger.has_expired(before) {
            true => EXPIRE_BACKLOG_INTERVAL,
            false => EXPIRE_INTERVAL,
        };
        self.timers.set(cx.now.time + next, Timer::Expire);
        if next == EXPIRE_BACKLOG_INTERVAL {
            self.propose(cx, Command::Expire { before });
        }
    }

    /// Handles a command that is committed and applied.
    pub(crate) fn command_applied(
        &mut self,
        cx: &mut Context<'_>,
        command: &Command,
        applied: Applied,
    ) {
        match (command, applied) {
            (Command::Accept { key, begun, .. }, Applied::Accepted) => {
                self.apply_accept(cx, key, *begun);
            }
            (Command::Accept { key, .. }, Applied::Duplicate(stage)) => match stage {
                Stage::Accepted => self.apply_accept(cx, key, false),
                Stage::Begun => self.apply_accept(cx, key, true),
                Stage::Closed(outcome) => self.apply_close(cx, key, &outcome),
            },
            (Command::Begin { .. }, Applied::Begun(keys)) => self.apply_begin(cx, &keys),
            (Command::Close { key, outcome }, Applied::Closed) => {
                self.apply_close(cx, key, outcome)
            }
            (Command::Close { key, .. }, Applied::AlreadyClosed(outcome)) => {
                self.apply_close(cx, key, &outcome);
            }
            (
                Command::Register {
                    target,
                    incarnation,
                },
                Applied::Done,
            ) => {
                self.apply_register(cx, target, *incarnation);
            }
            (
                Command::Deregister {
                    target,
                    incarnation,
                },
                Applied::Done,
            ) => self.apply_deregister(target, *incarnation),
            (_, Applied::Refused(refused)) => {
                log::error!("ledger refused a command of its own leader: {refused}");
            }
            (_, _) => {}
        }
    }

    pub(super) fn apply_accept(&mut self, cx: &mut Context<'_>, key: &JobKey, begun: bool) {
        let Some(number) = self.keys.get(key).copied() else {
            return;
        };
        let job = self
            .active_jobs
            .get_mut(&number)
            .expect("each key has its job");
        if job.stage != JobStage::Proposed {
            return;
        }
        job.stage = match begun {
            true => JobStage::Begun,
            false => JobStage::Queued,
        };
        job.spec.mode = JobMode::Recorded { begun };
        let spec = job.spec.clone();
        let cancel = job.cancel_requested;
        cx.record(
            Some(key),
            None,
            if begun {
                "accepted and begun"
            } else {
                "accepted"
            },
        );
        self.dispatch_step(cx, dispatch::Event::Submit(spec));
        self.answer_due_waiters(cx, key);
        if cancel {
            self.dispatch_step(cx, dispatch::Event::Cancel(number));
        }
    }

    pub(super) fn apply_begin(&mut self, cx: &mut Context<'_>, keys: &[JobKey]) {
        for key in keys {
            let Some(number) = self.keys.get(key).copied() else {
                continue;
            };
            let job = self
                .active_jobs
                .get_mut(&number)
                .expect("each key has its job");
            if job.stage == JobStage::Queued {
                job.stage = JobStage::Begun;
            }
            cx.record(Some(key), None, "begun");
            self.dispatch_step(cx, dispatch::Event::BeginRecorded(number));
        }
    }

    pub(super) fn apply_close(
        &mut self,
        cx: &mut Context<'_>,
        key: &JobKey,
        outcome: &Arc<Outcome>,
    ) {
        let what = match outcome.as_ref() {
            Outcome::Complete(_) => "closed: complete".to_string(),
            Outcome::Failed(failure) => format!("closed: {failure}"),
        };
        cx.record(Some(key), None, what);
        if let Some(number) = self.keys.get(key).copied() {
            self.remove_job(number);
        }
        self.answer_waiters(cx, key, outcome);
    }

    /// Closes a job: proposes its `Close`, or answers a repeatable request directly.
    pub(crate) fn close(&mut self, cx: &mut Context<'_>, number: JobNumber, outcome: Outcome) {
        let Some(job) = self.active_jobs.get_mut(&number) else {
            return;
        };
        let outcome = Arc::new(outcome);
        if let Some(origin) = job.caller.clone() {
            self.remove_job(number);
            return cx.answer(origin, Reply::Single(outcome));
        }
        if job.stage == JobStage::Closing {
            return;
        }
        job.stage = JobStage::Closing;
        let key = job.key.clone();
        let ran_on = std::mem::take(&mut job.ran_on);
        self.propose(cx, Command::Close { key, outcome });
        self.release_incarnations(cx, ran_on);
    }
}
