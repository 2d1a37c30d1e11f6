//! Targets: registration, fences, standing and loss.

use std::collections::BTreeSet;

use greengage_core::{AttemptId, Capacity, Demand, Incarnation, TargetName, Time};
use greengage_dispatch as dispatch;
use greengage_dispatch::Settled;
use greengage_ledger::Command;
use greengage_membership as membership;
use greengage_membership::{Announcement, Standing};

use super::{Cx, Member, Phase, Timer, Zone};
use crate::call::{Action, Seen, State};

/// Connections of an executor that are left for stops, fences and calls on new connections.
const SPARE_CONNECTIONS: u32 = 4;

impl Zone {
    /// Takes a membership effect.
    pub(crate) fn member(&mut self, cx: &mut Cx<'_>, effect: &membership::Effect) {
        match effect {
            membership::Effect::Up(announcement) => {
                let standing = match announcement.leaving {
                    true => Standing::Leaving,
                    false => Standing::Live,
                };
                self.target_up(cx, announcement.clone(), standing);
            }
            membership::Effect::Standing { target, standing } => {
                self.standing(cx, target, *standing);
            }
            membership::Effect::Gone {
                target,
                incarnation,
            } => self.target_gone(cx, target, *incarnation),
            membership::Effect::VmUp(_) | membership::Effect::VmDown(_) => {}
        }
    }

    /// The target of an attempt's call, and what the call says of the target's health. A call that
    /// breaks off on a connection that was used before says nothing: the connection may be silent
    /// for good while new ones work, and the next call goes over a new one. A target that has not
    /// heard of a start that was sent counts as failing, or one that drops every start would never
    /// be ejected.
    pub(crate) fn health(
        &self,
        token: u64,
        seen: &Seen,
    ) -> Option<(TargetName, membership::Result)> {
        let flight = self.flights.get(&token)?;
        let revoking = flight.phase == Phase::Revoking;
        let result = match seen {
            Seen::State(State::Done { .. }) => membership::Result::Success,
            Seen::State(State::Failed { .. }) => membership::Result::Failure,
            Seen::State(State::Never) if revoking => membership::Result::Failure,
            Seen::Broken { .. } if revoking || flight.fresh => membership::Result::Unreachable,
            Seen::State(_)
            | Seen::Broken { .. }
            | Seen::NotRun { .. }
            | Seen::Fenced { .. }
            | Seen::Restarted
            | Seen::Forgotten => return None,
        };
        Some((flight.target.clone(), result))
    }

    pub(super) fn target_up(
        &mut self,
        cx: &mut Cx<'_>,
        announcement: Announcement,
        standing: Standing,
    ) {
        let target = announcement.target.clone();
        let incarnation = announcement.incarnation;
        if let Some(member) = self.targets.get_mut(&target) {
            if member.announcement.incarnation == incarnation {
                member.announcement = announcement;
                if member.joined {
                    self.join(cx, &target);
                }
                return;
            }
        }
        let registered = self.keeps(cx, &target, incarnation);
        let member = Member {
            announcement,
            standing,
            registered,
            joined: false,
            flights: BTreeSet::new(),
        };
        self.targets.insert(target.clone(), member);
        cx.record(None, Some(&target), "target up");
        self.supersede(cx, &target, incarnation);
        if registered {
            return self.fence(cx, &target);
        }
        self.propose(
            cx,
            Command::Register {
                target,
                incarnation,
            },
        );
    }

    pub(super) fn registered(
        &mut self,
        cx: &mut Cx<'_>,
        target: &TargetName,
        incarnation: Incarnation,
    ) {
        let Some(member) = self.targets.get_mut(target) else {
            return;
        };
        let leaving = self.leaving.contains_key(&(target.clone(), incarnation));
        if member.announcement.incarnation == incarnation && !member.registered && !leaving {
            member.registered = true;
            self.fence(cx, target);
        }
    }

    /// Forbids a target the starts of earlier leaders; it joins the dispatcher when it answers.
    pub(super) fn fence(&mut self, cx: &mut Cx<'_>, target: &TargetName) {
        let Some(member) = self.targets.get(target) else {
            return;
        };
        if member.joined || !member.registered {
            return;
        }
        if !member.announcement.fencing {
            let incarnation = member.announcement.incarnation;
            self.not_fenced(target, incarnation);
            self.join(cx, target);
            return self.check_recovery(cx);
        }
        let token = self.next_token();
        self.fences.insert(token, target.clone());
        let action = Action::Fence {
            zone: self.name.clone(),
            term: self.term,
        };
        self.call(cx, token, target, action);
    }

    pub(super) fn fence_seen(&mut self, cx: &mut Cx<'_>, target: &TargetName, seen: Seen) {
        let Some(member) = self.targets.get(target) else {
            return;
        };
        // The answer may belong to an earlier stay of the same incarnation.
        if member.joined || !member.registered {
            return;
        }
        let expected = member.announcement.incarnation;
        match seen {
            Seen::Fenced {
                incarnation,
                attempts,
            } if incarnation == expected => {
                self.join(cx, target);
                self.fenced(cx, target, incarnation, attempts);
                self.check_recovery(cx);
            }
            _ => {
                let again = cx.now.time + self.limits.repoll;
                self.timers.set(again, Timer::Fence(target.clone()));
            }
        }
    }

    pub(super) fn join(&mut self, cx: &mut Cx<'_>, target: &TargetName) {
        let member = self
            .targets
            .get_mut(target)
            .expect("looked up by the caller");
        let first = !std::mem::replace(&mut member.joined, true);
        let announcement = &member.announcement;
        let spec = dispatch::TargetSpec {
            target: target.clone(),
            rack: announcement.rack.clone(),
            work: announcement.work.clone(),
            capacity: usable(announcement.capacity),
        };
        let standing = member.standing;
        let usage = announcement.usage;
        if first {
            // The dispatcher takes a new target as live. It gets room only once the standing is
            // known, so that a target that is leaving isn't sent what waits.
            let none = dispatch::TargetSpec {
                capacity: without_room(spec.capacity),
                ..spec.clone()
            };
            self.dispatch_step(cx, dispatch::Event::Target(none));
        }
        self.standing(cx, target, standing);
        self.dispatch_step(cx, dispatch::Event::Target(spec));
        if let Some(used) = usage {
            let target = target.clone();
            self.dispatch_step(cx, dispatch::Event::Usage { target, used });
        }
    }

    pub(super) fn standing(&mut self, cx: &mut Cx<'_>, target: &TargetName, standing: Standing) {
        let Some(member) = self.targets.get_mut(target) else {
            return;
        };
        if member.standing != standing {
            cx.record(None, Some(target), format!("target is {standing:?}"));
        }
        member.standing = standing;
        if member.joined {
            let target = target.clone();
            self.dispatch_step(cx, dispatch::Event::Standing { target, standing });
        }
    }

    pub(super) fn target_gone(
        &mut self,
        cx: &mut Cx<'_>,
        target: &TargetName,
        incarnation: Incarnation,
    ) {
        let same = |member: &Member| member.announcement.incarnation == incarnation;
        if self.targets.get(target).is_some_and(same) {
            let member = self.targets.remove(target).expect("just looked up");
            cx.record(None, Some(target), "target gone");
            if member.joined {
                self.dispatch_step(cx, dispatch::Event::Gone(target.clone()));
            }
            for token in member.flights {
                // In every phase a start may have arrived.
                self.settle(cx, token, Settled::Lost);
            }
        }
        self.not_fenced(target, incarnation);
        self.check_recovery(cx);
        self.deregister(cx, target.clone(), incarnation);
    }

    /// Stops an attempt that belongs to no job of this leader, so that its slot becomes free.
    pub(crate) fn stop_unknown(&mut self, cx: &mut Cx<'_>, target: &TargetName, id: AttemptId) {
        let token = self.next_token();
        self.call(cx, token, target, Action::Stop { attempt: id });
    }

    pub(crate) fn set_recovery_timer(&mut self, at: Time) {
        self.timers.set(at, Timer::Recovery);
    }
}

/// What starts may use of a target: each takes a connection for as long as the task runs, and
/// calls on new connections need some more. Only a zone's leader calls its targets, so it may use
/// all connections that an executor accepts.
fn usable(capacity: Capacity) -> Capacity {
    match capacity {
        Capacity::Executor { slots, connections } => Capacity::Executor {
            slots: slots.min(connections.saturating_sub(SPARE_CONNECTIONS).max(1)),
            connections,
        },
        Capacity::Worker(_) => capacity,
    }
}

/// The same kind of target, with room for nothing.
fn without_room(capacity: Capacity) -> Capacity {
    match capacity {
        Capacity::Executor { connections, .. } => Capacity::Executor {
            slots: 0,
            connections,
        },
        Capacity::Worker(_) => Capacity::Worker(Demand::default()),
    }
}
