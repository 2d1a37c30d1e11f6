//! Targets: registration, fencing, standing and loss.

use std::collections::BTreeSet;

use greengage_core::{AttemptId, Capacity, Demand, Incarnation, TargetName, Time};
use greengage_dispatch as dispatch;
use greengage_dispatch::AttemptOutcome;
use greengage_ledger::Command;
use greengage_membership as membership;
use greengage_membership::{Announcement, Standing};

use super::{Context, Phase, TargetState, Timer, Zone};
use crate::call::{Action, AttemptState, CallResult};

/// Connections of an executor reserved for stops, fences and calls on new connections.
const RESERVED_CONNECTIONS: u32 = 4;

impl Zone {
    /// Handles an effect of membership.
    pub(crate) fn apply_membership(&mut self, cx: &mut Context<'_>, effect: &membership::Effect) {
        match effect {
            membership::Effect::TargetUp(announcement) => {
                let standing = match announcement.leaving {
                    true => Standing::Leaving,
                    false => Standing::Live,
                };
                self.target_up(cx, announcement.clone(), standing);
            }
            membership::Effect::Standing { target, standing } => {
                self.set_standing(cx, target, *standing);
            }
            membership::Effect::TargetGone {
                target,
                incarnation,
            } => self.target_gone(cx, target, *incarnation),
            membership::Effect::VmUp(_) | membership::Effect::VmDown(_) => {}
        }
    }

    /// The target of an attempt's call, and what the result shows of the target's health. A failed
    /// call on a reused connection shows nothing: that connection may stay silent while new ones
    /// work, and the next call opens a new one. A target that does not know a start that was sent
    /// counts as failing, since otherwise one that drops every start would never be ejected.
    pub(crate) fn health(
        &self,
        token: u64,
        seen: &CallResult,
    ) -> Option<(TargetName, membership::AttemptResult)> {
        let check = self.checks.get(&token);
        let open_attempt = self.open_attempts.get(check.unwrap_or(&token))?;
        let revoking = check.is_some() || open_attempt.phase == Phase::Revoking;
        let result = match seen {
            CallResult::State(AttemptState::Done { .. }) => membership::AttemptResult::Success,
            CallResult::State(AttemptState::Failed { .. }) => membership::AttemptResult::Failure,
            CallResult::State(AttemptState::Never) if revoking => {
                membership::AttemptResult::Failure
            }
            // After a check that broke off, the start's own call is still to end.
            CallResult::Broken { .. } if check.is_some() => return None,
            CallResult::Broken { .. } if revoking || open_attempt.new_connection => {
                membership::AttemptResult::Unreachable
            }
            CallResult::State(_)
            | CallResult::Broken { .. }
            | CallResult::NotRun { .. }
            | CallResult::Fenced { .. }
            | CallResult::Restarted
            | CallResult::Forgotten => return None,
        };
        Some((open_attempt.target.clone(), result))
    }

    pub(super) fn target_up(
        &mut self,
        cx: &mut Context<'_>,
        announcement: Announcement,
        standing: Standing,
    ) {
        let target = announcement.target.clone();
        let incarnation = announcement.incarnation;
        if let Some(entry) = self.targets.get_mut(&target) {
            if entry.announcement.incarnation == incarnation {
                entry.announcement = announcement;
                if entry.in_dispatcher {
                    self.add_to_dispatcher(cx, &target);
                }
                return;
            }
        }
        let registered = self.stays_registered(cx, &target, incarnation);
        let entry = TargetState {
            announcement,
            standing,
            registered,
            in_dispatcher: false,
            open_attempts: BTreeSet::new(),
        };
        self.targets.insert(target.clone(), entry);
        cx.record(None, Some(&target), "target up");
        self.deregister_earlier(cx, &target, incarnation);
        if registered {
            return self.send_fence(cx, &target);
        }
        self.propose(
            cx,
            Command::Register {
                target,
                incarnation,
            },
        );
    }

    pub(super) fn apply_register(
        &mut self,
        cx: &mut Context<'_>,
        target: &TargetName,
        incarnation: Incarnation,
    ) {
        let Some(entry) = self.targets.get_mut(target) else {
            return;
        };
        let leaving = self
            .pending_deregistrations
            .contains_key(&(target.clone(), incarnation));
        if entry.announcement.incarnation == incarnation && !entry.registered && !leaving {
            entry.registered = true;
            self.send_fence(cx, target);
        }
    }

    /// Fences a target against starts of earlier leaders; it is added to the dispatcher when it
    /// answers.
    pub(super) fn send_fence(&mut self, cx: &mut Context<'_>, target: &TargetName) {
        let Some(entry) = self.targets.get(target) else {
            return;
        };
        if entry.in_dispatcher || !entry.registered {
            return;
        }
        if !entry.announcement.fencing {
            let incarnation = entry.announcement.incarnation;
            self.fence_failed(target, incarnation);
            self.add_to_dispatcher(cx, target);
            return self.check_recovery(cx);
        }
        let token = self.next_token();
        self.fences.insert(token, target.clone());
        let action = Action::Fence {
            zone: self.name.clone(),
            term: self.term,
        };
        self.send_call(cx, token, target, action);
    }

    pub(super) fn fence_call_ended(
        &mut self,
        cx: &mut Context<'_>,
        target: &TargetName,
        result: CallResult,
    ) {
        let Some(entry) = self.targets.get(target) else {
            return;
        };
        // The answer may belong to an earlier registration of the same incarnation.
        if entry.in_dispatcher || !entry.registered {
            return;
        }
        let expected = entry.announcement.incarnation;
        match result {
            CallResult::Fenced {
                incarnation,
                attempts,
            } if incarnation == expected => {
                self.add_to_dispatcher(cx, target);
                self.fence_answered(cx, target, incarnation, attempts);
                self.check_recovery(cx);
            }
            _ => {
                let again = cx.now.time + self.limits.poll_interval;
                self.timers.set(again, Timer::Fence(target.clone()));
            }
        }
    }

    pub(super) fn add_to_dispatcher(&mut self, cx: &mut Context<'_>, target: &TargetName) {
        let entry = self
            .targets
            .get_mut(target)
            .expect("looked up by the caller");
        let is_new = !std::mem::replace(&mut entry.in_dispatcher, true);
        let announcement = &entry.announcement;
        let spec = dispatch::TargetSpec {
            target: target.clone(),
            rack: announcement.rack.clone(),
            work: announcement.work.clone(),
            capacity: usable_capacity(announcement.capacity),
        };
        let standing = entry.standing;
        let usage = announcement.usage;
        if is_new {
            // The dispatcher assumes that a new target is live. It gets capacity only after its
            // standing is set, so that a leaving target is not sent the queue.
            let no_capacity = dispatch::TargetSpec {
                capacity: zero_capacity(spec.capacity),
                ..spec.clone()
            };
            self.dispatch_step(cx, dispatch::Event::TargetAnnounced(no_capacity));
        }
        self.set_standing(cx, target, standing);
        self.dispatch_step(cx, dispatch::Event::TargetAnnounced(spec));
        if let Some(used) = usage {
            let target = target.clone();
            self.dispatch_step(cx, dispatch::Event::WorkerUsage { target, used });
        }
    }

    pub(super) fn set_standing(
        &mut self,
        cx: &mut Context<'_>,
        target: &TargetName,
        standing: Standing,
    ) {
        let Some(entry) = self.targets.get_mut(target) else {
            return;
        };
        if entry.standing != standing {
            cx.record(None, Some(target), format!("target is {standing:?}"));
        }
        entry.standing = standing;
        if entry.in_dispatcher {
            let target = target.clone();
            self.dispatch_step(cx, dispatch::Event::TargetStanding { target, standing });
        }
    }

    pub(super) fn target_gone(
        &mut self,
        cx: &mut Context<'_>,
        target: &TargetName,
        incarnation: Incarnation,
    ) {
        let same = |entry: &TargetState| entry.announcement.incarnation == incarnation;
        if self.targets.get(target).is_some_and(same) {
            let entry = self.targets.remove(target).expect("looked up above");
            cx.record(None, Some(target), "target gone");
            if entry.in_dispatcher {
                self.dispatch_step(cx, dispatch::Event::TargetRemoved(target.clone()));
            }
            for token in entry.open_attempts {
                // The start may have arrived in any phase.
                self.settle(cx, token, AttemptOutcome::Lost);
            }
        }
        self.fence_failed(target, incarnation);
        self.check_recovery(cx);
        self.deregister(cx, target.clone(), incarnation);
    }

    /// Stops an attempt that belongs to no job of this leader, to free its slot.
    pub(crate) fn stop_unknown_attempt(
        &mut self,
        cx: &mut Context<'_>,
        target: &TargetName,
        id: AttemptId,
    ) {
        let token = self.next_token();
        self.send_call(cx, token, target, Action::Stop { attempt: id });
    }

    pub(crate) fn set_recovery_timer(&mut self, at: Time) {
        self.timers.set(at, Timer::Recovery);
    }
}

/// Capacity that starts may use. Each start holds a connection while its task runs, and calls on
/// new connections need some more. Only a zone's leader calls its targets, so it may use all
/// connections that an executor accepts.
fn usable_capacity(capacity: Capacity) -> Capacity {
    match capacity {
        Capacity::Executor { slots, connections } => Capacity::Executor {
            slots: slots.min(connections.saturating_sub(RESERVED_CONNECTIONS).max(1)),
            connections,
        },
        Capacity::Worker(_) => capacity,
    }
}

/// The same kind of target without any capacity.
fn zero_capacity(capacity: Capacity) -> Capacity {
    match capacity {
        Capacity::Executor { connections, .. } => Capacity::Executor {
            slots: 0,
            connections,
        },
        Capacity::Worker(_) => Capacity::Worker(Demand::default()),
    }
}
