//! Commands of the ledger: their proposal in order, and what follows when one is applied.

use std::sync::Arc;

use greengage_core::{JobKey, JobNumber, Outcome, Time, Wall};
use greengage_dispatch as dispatch;
use greengage_dispatch::Mode;
use greengage_ledger::{Applied, Command, Stage};

use super::{Cx, LiveStage, Timer, Zone, EXPIRE_AGAIN, EXPIRE_EVERY, REPROPOSE_AFTER};
use crate::api::Reply;

impl Zone {
    /// Proposes a command behind all that were refused and wait.
    pub(crate) fn propose(&mut self, cx: &mut Cx<'_>, command: Command) {
        if self.delayed.is_empty() {
            cx.propose(command);
        } else {
            self.delayed.push(command);
        }
    }

    /// Takes back a command that was refused because leadership is being transferred.
    pub(crate) fn delay(&mut self, now: Time, command: Command) {
        if self.delayed.is_empty() {
            self.timers.set(now + REPROPOSE_AFTER, Timer::Repropose);
        }
        self.delayed.push(command);
    }

    pub(super) fn repropose(&mut self, cx: &mut Cx<'_>) {
        for command in std::mem::take(&mut self.delayed) {
            cx.propose(command);
        }
    }

    pub(super) fn expire(&mut self, cx: &mut Cx<'_>) {
        let retention = self.limits.retention.as_millis() as u64;
        let before = Wall(self.stamp(cx.now.time).0.saturating_sub(retention));
        // One command removes a bounded number of submissions, so that it delays no other.
        let next = match cx.ledger.due(before) {
            true => EXPIRE_AGAIN,
            false => EXPIRE_EVERY,
        };
        self.timers.set(cx.now.time + next, Timer::Expire);
        if next == EXPIRE_AGAIN {
            self.propose(cx, Command::Expire { before });
        }
    }

    /// Acts on a command that is committed and applied.
    pub(crate) fn applied(&mut self, cx: &mut Cx<'_>, command: &Command, applied: Applied) {
        match (command, applied) {
            (Command::Accept { key, begun, .. }, Applied::Accepted) => {
                self.accepted(cx, key, *begun);
            }
            (Command::Accept { key, .. }, Applied::Duplicate(stage)) => match stage {
                Stage::Accepted => self.accepted(cx, key, false),
                Stage::Begun => self.accepted(cx, key, true),
                Stage::Closed(outcome) => self.closed(cx, key, &outcome),
            },
            (Command::Begin { .. }, Applied::Begun(keys)) => self.begun(cx, &keys),
            (Command::Close { key, outcome }, Applied::Closed) => self.closed(cx, key, outcome),
            (Command::Close { key, .. }, Applied::AlreadyClosed(outcome)) => {
                self.closed(cx, key, &outcome);
            }
            (
                Command::Register {
                    target,
                    incarnation,
                },
                Applied::Done,
            ) => {
                self.registered(cx, target, *incarnation);
            }
            (
                Command::Deregister {
                    target,
                    incarnation,
                },
                Applied::Done,
            ) => self.deregistered(target, *incarnation),
            (_, Applied::Refused(refused)) => {
                log::error!("the ledger refused a command of its leader: {refused}");
            }
            (_, _) => {}
        }
    }

    pub(super) fn accepted(&mut self, cx: &mut Cx<'_>, key: &JobKey, begun: bool) {
        let Some(number) = self.keys.get(key).copied() else {
            return;
        };
        let live = self.live.get_mut(&number).expect("keys and jobs agree");
        if live.stage != LiveStage::Proposed {
            return;
        }
        live.stage = match begun {
            true => LiveStage::Begun,
            false => LiveStage::Queued,
        };
        live.spec.mode = Mode::Recorded { begun };
        let spec = live.spec.clone();
        let cancel = live.cancel;
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
        self.answer_due(cx, key);
        if cancel {
            self.dispatch_step(cx, dispatch::Event::Cancel(number));
        }
    }

    pub(super) fn begun(&mut self, cx: &mut Cx<'_>, keys: &[JobKey]) {
        for key in keys {
            let Some(number) = self.keys.get(key).copied() else {
                continue;
            };
            let live = self.live.get_mut(&number).expect("keys and jobs agree");
            if live.stage == LiveStage::Queued {
                live.stage = LiveStage::Begun;
            }
            cx.record(Some(key), None, "begun");
            self.dispatch_step(cx, dispatch::Event::Begun(number));
        }
    }

    pub(super) fn closed(&mut self, cx: &mut Cx<'_>, key: &JobKey, outcome: &Arc<Outcome>) {
        let what = match outcome.as_ref() {
            Outcome::Complete(_) => "closed: complete".to_string(),
            Outcome::Failed(failure) => format!("closed: {failure}"),
        };
        cx.record(Some(key), None, what);
        if let Some(number) = self.keys.get(key).copied() {
            self.leave(number);
        }
        self.answer_waiters(cx, key, outcome);
    }

    /// Ends a job: proposes its close, or answers a repeatable request at once.
    pub(crate) fn close(&mut self, cx: &mut Cx<'_>, number: JobNumber, outcome: Outcome) {
        let Some(live) = self.live.get_mut(&number) else {
            return;
        };
        let outcome = Arc::new(outcome);
        if let Some(origin) = live.single.clone() {
            self.leave(number);
            return cx.answer(origin, Reply::Single(outcome));
        }
        if live.stage == LiveStage::Closing {
            return;
        }
        live.stage = LiveStage::Closing;
        let key = live.key.clone();
        let ran = std::mem::take(&mut live.ran);
        self.propose(cx, Command::Close { key, outcome });
        self.release(cx, ran);
    }
}
