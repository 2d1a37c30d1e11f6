//! Ledger groups: carries out the effects of Raft, and starts and stops this VM's role as its
//! zone's leader.

use greengage_agreement as agreement;
use greengage_agreement::{EntryKind, Role};
use greengage_core::{Term, VmName, ZoneName};
use greengage_ledger as ledger;
use greengage_membership as membership;

use crate::api::{ApiError, Reply};
use crate::call::CallResult;
use crate::control::{Control, LedgerEffects};
use crate::message::{Body, Effect, GroupSave};
use crate::replica::refusal;
use crate::zone::{Context, Origin, Output, Zone, ZoneLimits};

impl Control {
    pub(crate) fn run_ledger_effects(&mut self, name: &ZoneName, effects: LedgerEffects) {
        for effect in effects {
            match effect {
                agreement::Effect::Save(save) => {
                    let zone = name.clone();
                    self.effects
                        .push(Effect::Save(GroupSave::Ledger { zone, save }));
                }
                agreement::Effect::Send { to, message } => {
                    let body = Body::Ledger {
                        zone: name.clone(),
                        from: self.site.node(),
                        to: to.clone(),
                        message,
                    };
                    self.send(&to.vm, body);
                }
                agreement::Effect::Apply(entries) => {
                    for entry in entries {
                        self.apply_ledger(name, entry);
                    }
                    self.compact_ledger(name);
                }
                agreement::Effect::Restore(snapshot) => {
                    if let Some(group) = self.ledgers.get_mut(name) {
                        group.ledger.restore(snapshot.state);
                    }
                }
                agreement::Effect::ReadReady { ticket, .. } => {
                    if name == self.site.zone() {
                        self.with_zone(|zone, cx| zone.read_confirmed(cx, ticket));
                    }
                }
                agreement::Effect::Role { role, term, .. } => {
                    self.ledger_role_changed(name, role, term)
                }
                // Evaluated where the proposal is made.
                agreement::Effect::Appended { .. } | agreement::Effect::Refused { .. } => {}
            }
        }
    }

    pub(crate) fn apply_ledger(
        &mut self,
        name: &ZoneName,
        entry: agreement::Entry<ledger::Command>,
    ) {
        let Some(group) = self.ledgers.get_mut(name) else {
            return;
        };
        match entry.kind {
            EntryKind::Command(command) => {
                let applied = group.ledger.apply(entry.index, &command);
                if name == self.site.zone() {
                    self.with_zone(|zone, cx| zone.command_applied(cx, &command, applied));
                }
            }
            EntryKind::Noop => {}
            EntryKind::Config(config) => {
                let change = group.changes.remove(&entry.index);
                self.answer_change(change, entry.term, config);
            }
        }
        self.start_zone(name, entry.term);
    }

    /// Answers the caller of a committed membership change.
    pub(crate) fn answer_change(
        &mut self,
        change: Option<(Term, Origin)>,
        term: Term,
        config: agreement::Config,
    ) {
        if let Some((proposed, origin)) = change {
            let reply = match proposed == term {
                true => Reply::Changed(config),
                false => Reply::Error(ApiError::UnknownOutcome { key: None }),
            };
            self.answer(origin, reply);
        }
    }

    pub(crate) fn compact_ledger(&mut self, name: &ZoneName) {
        let now = self.now.time;
        let compact_after = self.site.limits.compact_after;
        if let Some(group) = self.ledgers.get_mut(name) {
            let ledger = &group.ledger;
            let effects = group
                .replica
                .compact(now, compact_after, || ledger.snapshot());
            self.run_ledger_effects(name, effects);
        }
    }

    pub(crate) fn ledger_role_changed(&mut self, name: &ZoneName, role: Role, term: Term) {
        self.record(&format!("ledger group of {name}: {role:?} in term {term}"));
        if name == self.site.zone() && !matches!(role, Role::Leader) {
            self.stop_zone();
        }
    }

    /// Starts dispatching for the zone once an entry of the leader's own term is applied: every
    /// entry of earlier terms is then applied too.
    pub(crate) fn start_zone(&mut self, name: &ZoneName, term: Term) {
        if name != self.site.zone() || self.zone.is_some() {
            return;
        }
        let Some(group) = self.ledgers.get(name) else {
            return;
        };
        if !group.replica.is_leader() || group.replica.term() != term {
            return;
        }
        let limits = ZoneLimits {
            retention: self.site.limits.retention,
            fence_timeout: self.site.limits.fence_timeout,
            poll_interval: self.site.limits.poll_interval,
            start_patience: self.site.limits.start_patience,
            tuning: self.site.limits.tuning.clone(),
        };
        let targets = self.membership.targets();
        let seed = self.site.seed ^ term.0;
        let mut cx = Context::new(self.now, &group.ledger, &self.policy, &mut self.timeline);
        let zone = Zone::new(name.clone(), term, seed, limits, targets, &mut cx);
        let outputs = cx.outputs;
        self.zone = Some(zone);
        self.leaders
            .insert(name.clone(), (term, self.site.vm.clone()));
        self.record(&format!("dispatching for zone {name} in term {term}"));
        self.send_status();
        self.run_zone_outputs(outputs);
        self.reroute();
    }

    pub(crate) fn stop_zone(&mut self) {
        let Some(zone) = self.zone.take() else { return };
        let name = zone.name.clone();
        self.record(&format!("no longer dispatching for zone {name}"));
        let own = |leader: &(Term, VmName)| leader.1 == self.site.vm;
        if self.leaders.get(&name).is_some_and(own) {
            self.leaders.remove(&name);
        }
        self.send_status();
        self.reroute();
    }

    /// Calls `act` on the zone leader's state, if this VM is the leader, and carries out its
    /// outputs.
    pub(crate) fn with_zone(&mut self, act: impl FnOnce(&mut Zone, &mut Context<'_>)) {
        let Some(zone) = &mut self.zone else { return };
        let group = self.ledgers.get(&zone.name).expect("a leader is a member");
        let mut cx = Context::new(self.now, &group.ledger, &self.policy, &mut self.timeline);
        act(zone, &mut cx);
        let outputs = cx.outputs;
        self.run_zone_outputs(outputs);
    }

    pub(crate) fn run_zone_outputs(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Propose(command) => self.propose_ledger(command),
                Output::Read => self.read_ledger(),
                Output::Call { token, call } => self.effects.push(Effect::Call { token, call }),
                Output::Answer { origin, reply } => self.answer(origin, reply),
            }
        }
    }

    pub(crate) fn propose_ledger(&mut self, command: ledger::Command) {
        let now = self.now.time;
        let name = self.site.zone().clone();
        let Some(group) = self.ledgers.get_mut(&name) else {
            return;
        };
        let (ticket, effects) = group.replica.propose(now, command.clone());
        if refusal(ticket, &effects).is_some() {
            if let Some(zone) = &mut self.zone {
                zone.defer(now, command);
            }
        }
        self.run_ledger_effects(&name, effects);
    }

    pub(crate) fn read_ledger(&mut self) {
        let now = self.now.time;
        let name = self.site.zone().clone();
        let Some(group) = self.ledgers.get_mut(&name) else {
            return;
        };
        let (ticket, effects) = group.replica.read(now);
        if let Some(zone) = &mut self.zone {
            match refusal(ticket, &effects) {
                None => zone.read_started(ticket),
                // Leadership is being transferred; if that fails, this VM must still answer.
                Some(_) => zone.retry_read(now),
            }
        }
        self.run_ledger_effects(&name, effects);
    }

    pub(crate) fn call_ended(&mut self, token: u64, result: CallResult) {
        let zone = self.zone.as_ref();
        let health = zone.and_then(|zone| zone.health(token, &result));
        self.with_zone(|zone, cx| zone.call_ended(cx, token, result));
        if let Some((target, result)) = health {
            self.step_membership(membership::Event::Attempt { target, result });
        }
    }
}
