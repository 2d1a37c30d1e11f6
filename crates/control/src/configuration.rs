//! Edits of the configuration through the control group, and their distribution to other VMs.
//!
//! Members apply committed edits from the group's log. The control leader pushes them to every
//! other VM when an edit is applied and when a VM reports an older revision. A VM that has lost
//! contact to the leader gets them from any VM that has a higher revision. Only committed edits are
//! pushed, and the revision of a VM never decreases.

use std::collections::VecDeque;

use greengage_agreement as agreement;
use greengage_agreement::{EntryKind, Role, Ticket};
use greengage_core::{Index, Revision, Time, VmName};
use greengage_membership::VmStatus;
use greengage_policy as policy;

use crate::api::{ApiError, Group, Reply, Request};
use crate::control::{Control, PolicyEffects};
use crate::message::{Body, Effect, GroupSave};
use crate::operators::read_document;
use crate::replica::refusal;
use crate::zone::Origin;

/// Status intervals without a push after which the control leader counts as unreachable.
const LEADER_TIMEOUT_INTERVALS: u32 = 4;

/// Status intervals after which a push is repeated; doubles with each repetition. A VM reports its old
/// revision until it has received and stored a push.
const PUSH_RETRY_INTERVALS: u32 = 2;
/// Maximum number of status intervals between two repetitions.
const MAX_PUSH_RETRY_INTERVALS: u32 = 16;

/// The latest push to a VM that was behind.
pub(crate) struct Push {
    /// Revision of the VM at that time.
    after: Revision,
    /// Revision to which the push leads.
    revision: Revision,
    at: Time,
    /// Status intervals until it is repeated.
    retry: u32,
}

/// The most recent edits, for VMs that are a few revisions behind.
pub(crate) struct EditLog {
    edits: VecDeque<(Revision, policy::Command)>,
    limit: usize,
    /// All edits after this revision are in `edits`.
    base: Revision,
}

impl EditLog {
    pub(crate) fn new(limit: usize) -> EditLog {
        EditLog {
            edits: VecDeque::new(),
            limit,
            base: Revision(0),
        }
    }

    fn push(&mut self, revision: Revision, command: policy::Command) {
        self.edits.push_back((revision, command));
        if self.edits.len() > self.limit {
            if let Some((dropped, _)) = self.edits.pop_front() {
                self.base = dropped;
            }
        }
    }

    pub(crate) fn reset(&mut self, revision: Revision) {
        self.edits.clear();
        self.base = revision;
    }

    /// The edits after `revision`; `None` if some of them are no longer kept.
    fn edits_after(&self, revision: Revision) -> Option<Vec<(Revision, policy::Command)>> {
        if revision < self.base {
            return None;
        }
        let first = self.edits.partition_point(|(r, _)| *r <= revision);
        Some(self.edits.iter().skip(first).cloned().collect())
    }
}

impl Control {
    /// Whether this VM is the control leader or has recent contact to it.
    pub(crate) fn has_control_leader(&self) -> bool {
        if let Some(group) = &self.control {
            if self.is_control_member() {
                return group.replica.is_leader() || group.replica.leader().is_some();
            }
        }
        let limit = self.site.limits.status_interval * LEADER_TIMEOUT_INTERVALS;
        let recent = |at| self.now.time.since(at) <= limit;
        self.last_push.as_ref().is_some_and(|(_, at)| recent(*at))
    }

    /// Whether this VM is a member of the control group now.
    pub(crate) fn is_control_member(&self) -> bool {
        self.control.as_ref().is_some_and(|group| {
            let config = group.replica.status().config;
            config.members.contains(group.replica.node())
        })
    }

    /// The VM that leads the control group; `None` if this VM knows none.
    pub(crate) fn control_leader(&self) -> Option<VmName> {
        if let Some(group) = &self.control {
            if let Some(leader) = group.replica.leader() {
                return Some(leader.vm.clone());
            }
        }
        match self.has_control_leader() {
            true => self.last_push.as_ref().map(|(vm, _)| vm.clone()),
            false => None,
        }
    }

    pub(crate) fn is_control_leader(&self) -> bool {
        self.control
            .as_ref()
            .is_some_and(|group| group.replica.is_leader())
    }

    /// Proposes an edit for a caller.
    pub(crate) fn edit(&mut self, origin: Origin, command: policy::Command) {
        let now = self.now.time;
        let Some(group) = &mut self.control else {
            return self.answer(origin, Reply::Error(ApiError::NoLeader(Group::Control)));
        };
        let (ticket, effects) = group.replica.propose(now, command);
        if refusal(ticket, &effects).is_some() {
            self.run_control_effects(effects);
            return self.redirect(origin);
        }
        if let Some((index, term)) = appended_at(ticket, &effects) {
            group.edits.insert(index, (term, origin));
        }
        self.run_control_effects(effects);
    }

    /// Starts a linearizable read for a caller.
    pub(crate) fn read_control(&mut self, origin: Origin, request: Request) {
        let now = self.now.time;
        let Some(group) = &mut self.control else {
            return self.answer(origin, Reply::Error(ApiError::NoLeader(Group::Control)));
        };
        let (ticket, effects) = group.replica.read(now);
        if refusal(ticket, &effects).is_some() {
            self.run_control_effects(effects);
            return self.redirect(origin);
        }
        group.reads.insert(ticket, (origin, request));
        self.run_control_effects(effects);
    }

    pub(crate) fn read_ready(&mut self, ticket: Ticket) {
        let Some(group) = &mut self.control else {
            return;
        };
        if let Some((origin, request)) = group.reads.remove(&ticket) {
            let reply = read_document(&self.committed_policy, &request);
            self.answer(origin, reply);
        }
    }

    pub(crate) fn apply_control(&mut self, entries: Vec<agreement::Entry<policy::Command>>) {
        let old_revision = self.committed_policy.revision();
        for entry in entries {
            let (index, term) = (entry.index, entry.term);
            match entry.kind {
                EntryKind::Noop => {}
                EntryKind::Command(command) => {
                    let outcome = self.apply_edit(Revision(index.0), command);
                    self.answer_edit(index, term, outcome);
                }
                EntryKind::Config(config) => {
                    let group = self.control.as_mut().expect("entries come from the group");
                    let change = group.changes.remove(&index);
                    self.answer_change(change, term, config);
                }
            }
        }
        self.compact_control();
        self.revision_changed(old_revision);
    }

    fn answer_edit(
        &mut self,
        index: Index,
        term: greengage_core::Term,
        outcome: Option<policy::Outcome>,
    ) {
        let group = self.control.as_mut().expect("entries come from the group");
        let Some((proposed, origin)) = group.edits.remove(&index) else {
            return;
        };
        match outcome {
            Some(outcome) if proposed == term => self.answer(origin, Reply::Edit(outcome)),
            _ => self.redirect(origin),
        }
    }

    /// Applies a committed edit, unless the stored configuration already includes it.
    fn apply_edit(
        &mut self,
        revision: Revision,
        command: policy::Command,
    ) -> Option<policy::Outcome> {
        if revision <= self.committed_policy.applied() {
            return None;
        }
        let outcome = self.committed_policy.apply(revision, &command);
        self.edit_log.push(revision, command);
        Some(outcome)
    }

    /// Redirects the callers of pending edits and reads to the next leader. An edit that is sent
    /// again with the same operation id is answered and not applied twice.
    pub(crate) fn redirect_pending(&mut self) {
        let Some(group) = &mut self.control else {
            return;
        };
        let edits = std::mem::take(&mut group.edits);
        let reads = std::mem::take(&mut group.reads);
        let edits = edits.into_iter().map(|(_, (_, origin))| origin);
        let reads = reads.into_iter().map(|(_, (origin, _))| origin);
        for origin in edits.chain(reads).collect::<Vec<_>>() {
            self.redirect(origin);
        }
    }

    fn compact_control(&mut self) {
        let now = self.now.time;
        let compact_after = self.site.limits.compact_after;
        let state = || self.committed_policy.snapshot();
        if let Some(group) = &mut self.control {
            let effects = group.replica.compact(now, compact_after, state);
            self.run_control_effects(effects);
        }
    }

    /// Replaces the configuration by `state`, unless that is older.
    pub(crate) fn restore_policy(&mut self, state: policy::State) {
        let old_revision = self.committed_policy.revision();
        if self.committed_policy.restore(state).is_ok() {
            self.edit_log.reset(self.committed_policy.applied());
            self.revision_changed(old_revision);
        }
    }

    /// Saves and pushes the committed configuration if its revision has increased.
    fn revision_changed(&mut self, old_revision: Revision) {
        let revision = self.committed_policy.revision();
        assert!(
            revision >= old_revision,
            "the committed revision never decreases"
        );
        if revision == old_revision {
            return;
        }
        let state = self.committed_policy.snapshot();
        if self.site.folder.is_some() && !self.disk_failed {
            self.unsaved_policies.push_back(state.clone());
            self.effects.push(Effect::Save(GroupSave::Policy(state)));
        } else {
            self.activate_policy(state);
        }
        self.push_all(old_revision);
    }

    /// Puts committed configurations up to `applied` in force, since they are durable now.
    pub(crate) fn policy_saved(&mut self, applied: Revision) {
        while self
            .unsaved_policies
            .front()
            .is_some_and(|state| state.applied() <= applied)
        {
            if let Some(state) = self.unsaved_policies.pop_front() {
                self.activate_policy(state);
            }
        }
    }

    /// Puts a configuration in force, unless a later one is.
    pub(crate) fn activate_policy(&mut self, state: policy::State) {
        let old_revision = self.policy.revision();
        if self.policy.restore(state).is_err() {
            return;
        }
        let revision = self.policy.revision();
        assert!(
            revision >= old_revision,
            "the revision in force never decreases"
        );
        if revision > old_revision {
            self.record(&format!("revision {revision} is in force"));
            self.with_zone(|zone, cx| zone.update_shares(cx));
            self.send_status();
        }
    }

    fn push_all(&mut self, old_revision: Revision) {
        if !self.is_control_leader() {
            return;
        }
        for vm in self.non_members() {
            self.push(&vm, old_revision);
        }
    }

    /// The VMs that are not members of the control group.
    fn non_members(&self) -> Vec<VmName> {
        let Some(group) = &self.control else {
            return Vec::new();
        };
        let config = group.replica.status().config;
        let member = |vm: &VmName| config.members.keys().any(|node| node.vm == *vm);
        let others = self.site.others().map(|(vm, _)| vm);
        others.filter(|vm| !member(vm)).cloned().collect()
    }

    /// Pushes missing edits to a VM that reported its status. The control leader does so at each
    /// report of a non-member, any other VM only for one that has lost contact to the leader.
    pub(crate) fn push_to_reporter(&mut self, status: &VmStatus) {
        let behind = status.revision < self.committed_policy.revision();
        let push_always = self.is_control_leader() && self.non_members().contains(&status.vm);
        if push_always || (behind && !status.control_reachable) {
            self.push(&status.vm, status.revision);
        }
    }

    /// Pushes the edits after a revision, or the whole configuration. While an earlier push of the same
    /// may be on its way, only the contact is renewed: repetitions on a slow link would delay it.
    fn push(&mut self, vm: &VmName, after: Revision) {
        let revision = self.committed_policy.revision();
        let after = match after < revision && !self.push_due(vm, after, revision) {
            true => revision,
            false => after,
        };
        let leading = self.is_control_leader();
        let body = match self.edit_log.edits_after(after) {
            Some(edits) => Body::Edits {
                after,
                edits,
                leading,
            },
            None => Body::Policy {
                state: self.committed_policy.snapshot(),
                leading,
            },
        };
        self.send(vm, body);
    }

    /// Whether a VM that is behind gets another push, which is then recorded.
    fn push_due(&mut self, vm: &VmName, after: Revision, revision: Revision) -> bool {
        let now = self.now.time;
        let interval = self.site.limits.status_interval;
        let last = self.pushes.get(vm);
        let same = last.filter(|push| push.revision == revision && push.after <= after);
        let retry = match same {
            Some(push) if now.since(push.at) < interval * push.retry => return false,
            Some(push) => (push.retry * 2).min(MAX_PUSH_RETRY_INTERVALS),
            None => PUSH_RETRY_INTERVALS,
        };
        let push = Push {
            after,
            revision,
            at: now,
            retry,
        };
        self.pushes.insert(vm.clone(), push);
        true
    }

    /// Records contact to the control leader, on a VM that is not a member of the group.
    pub(crate) fn record_push(&mut self, from: &VmName, leading: bool) {
        if leading {
            self.last_push = Some((from.clone(), self.now.time));
        }
    }

    pub(crate) fn receive_edits(&mut self, after: Revision, edits: &[(Revision, policy::Command)]) {
        let old_revision = self.committed_policy.revision();
        if self.is_control_member() || after > self.committed_policy.applied() {
            return;
        }
        for (revision, command) in edits {
            self.apply_edit(*revision, command.clone());
        }
        self.revision_changed(old_revision);
    }

    pub(crate) fn receive_policy(&mut self, state: &policy::State) {
        if !self.is_control_member() {
            self.restore_policy(state.clone());
        }
    }

    /// Carries out the effects of one Raft step of the control group.
    pub(crate) fn run_control_effects(&mut self, effects: PolicyEffects) {
        for effect in effects {
            match effect {
                agreement::Effect::Save(save) => {
                    self.effects.push(Effect::Save(GroupSave::Control(save)));
                }
                agreement::Effect::Send { to, message } => {
                    let body = Body::Control {
                        from: self.site.node(),
                        to: to.clone(),
                        message,
                    };
                    self.send(&to.vm, body);
                }
                agreement::Effect::Apply(entries) => self.apply_control(entries),
                agreement::Effect::Restore(snapshot) => self.restore_policy(snapshot.state),
                agreement::Effect::ReadReady { ticket, .. } => self.read_ready(ticket),
                agreement::Effect::Role { role, term, .. } => {
                    self.record(&format!("control group: {role:?} in term {term}"));
                    if !matches!(role, Role::Leader) {
                        self.redirect_pending();
                    }
                    self.reroute();
                }
                // Evaluated where the proposal is made.
                agreement::Effect::Appended { .. } | agreement::Effect::Refused { .. } => {}
            }
        }
    }
}

/// Log index and term at which a proposal was appended in the same step.
pub(crate) fn appended_at<C, S>(
    ticket: Ticket,
    effects: &[agreement::Effect<C, S>],
) -> Option<(Index, greengage_core::Term)> {
    effects.iter().find_map(|effect| match effect {
        agreement::Effect::Appended {
            ticket: t,
            index,
            term,
        } if *t == ticket => Some((*index, *term)),
        _ => None,
    })
}
