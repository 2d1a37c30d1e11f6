//! Operator requests that a VM answers from its own state or passes to a Raft group.

use greengage_agreement as agreement;
use greengage_agreement::{Change, RefusalReason, Ticket};
use greengage_core::{Index, NodeId, Term};
use greengage_policy::{EditError, Policy};

use crate::api::{ApiError, Documents, Group, Reply, Request, Versioned, VmInfo};
use crate::configuration::appended_at;
use crate::control::Control;
use crate::replica::refusal;
use crate::zone::Origin;

impl Control {
    pub(crate) fn handle_operator(&mut self, origin: Origin, request: Request) {
        let reply = match request {
            Request::Change { group, change } => return self.change_members(origin, group, change),
            Request::Transfer { group, to } => return self.transfer_leadership(origin, group, to),
            Request::Template { .. } | Request::Params { .. } => {
                read_document(&self.policy, &request)
            }
            Request::Documents => self.documents(),
            Request::Targets => Reply::Targets(self.membership.targets()),
            Request::Vms => self.vms(),
            Request::Group(group) => self.group_status(&group),
            Request::Timeline(filter) => {
                let events = self
                    .timeline
                    .select(filter.key.as_ref(), filter.target.as_ref());
                Reply::Timeline(events)
            }
            Request::Ready => self.readiness(),
            Request::Submit(_)
            | Request::Single(_)
            | Request::Outcome(_)
            | Request::Lookup { .. }
            | Request::Cancel(_)
            | Request::Announce(_)
            | Request::Leave(_)
            | Request::Edit(_) => unreachable!("answered by `handle`"),
        };
        self.answer(origin, reply);
    }

    fn documents(&self) -> Reply {
        let revision = self.policy.revision();
        let templates = self.policy.templates().map(|(name, version, template)| {
            let content = template.clone();
            let versioned = Versioned {
                version,
                revision,
                content,
            };
            (name.clone(), versioned)
        });
        let params = self
            .policy
            .all_params()
            .map(|(template, account, version, params)| {
                let content = params.clone();
                let versioned = Versioned {
                    version,
                    revision,
                    content,
                };
                (template.clone(), account.clone(), versioned)
            });
        Reply::Documents(Documents {
            revision,
            templates: templates.collect(),
            params: params.collect(),
        })
    }

    fn vms(&self) -> Reply {
        let view = self.membership.vms();
        let info = |(status, alive): (greengage_membership::VmStatus, bool)| VmInfo {
            folder: match status.vm == self.site.vm {
                true => self.site.folder,
                false => self.folders.get(&status.vm).copied().flatten(),
            },
            status,
            alive,
        };
        Reply::Vms(view.vms.into_iter().map(|(_, entry)| info(entry)).collect())
    }

    fn group_status(&self, group: &Group) -> Reply {
        let status = match group {
            Group::Control => self.control.as_ref().map(|group| group.replica.status()),
            Group::Ledger(zone) => self.ledgers.get(zone).map(|group| group.replica.status()),
        };
        match status {
            Some(status) => Reply::Group(status),
            None => Reply::Error(ApiError::NotMember(group.clone())),
        }
    }

    fn change_members(&mut self, origin: Origin, group: Group, change: Change) {
        let now = self.now.time;
        match &group {
            Group::Control => {
                let Some(state) = &mut self.control else {
                    return self.redirect(origin);
                };
                let (ticket, effects) = state.replica.change(now, change);
                let append_result = append_result(ticket, &effects);
                if let Ok(Some((index, term))) = append_result {
                    state.changes.insert(index, (term, origin.clone()));
                }
                self.run_control_effects(effects);
                self.answer_refused_change(origin, append_result);
            }
            Group::Ledger(zone) => {
                let Some(state) = self.ledgers.get_mut(zone) else {
                    return self.redirect(origin);
                };
                let (ticket, effects) = state.replica.change(now, change);
                let append_result = append_result(ticket, &effects);
                if let Ok(Some((index, term))) = append_result {
                    state.changes.insert(index, (term, origin.clone()));
                }
                self.run_ledger_effects(zone, effects);
                self.answer_refused_change(origin, append_result);
            }
        }
    }

    fn answer_refused_change(
        &mut self,
        origin: Origin,
        append_result: Result<Option<(Index, Term)>, RefusalReason>,
    ) {
        match append_result {
            Ok(_) => {}
            Err(RefusalReason::Change(error)) => {
                self.answer(origin, Reply::Error(ApiError::Change(error)));
            }
            Err(RefusalReason::NotLeader { .. } | RefusalReason::Transferring) => {
                self.redirect(origin)
            }
        }
    }

    fn transfer_leadership(&mut self, origin: Origin, group: Group, to: Option<NodeId>) {
        let now = self.now.time;
        let event = agreement::Event::Transfer(to.clone());
        match &group {
            Group::Control => {
                if let Some(state) = &mut self.control {
                    let effects = state.replica.step(now, event);
                    self.run_control_effects(effects);
                }
            }
            Group::Ledger(zone) => {
                if let Some(state) = self.ledgers.get_mut(zone) {
                    let effects = state.replica.step(now, agreement::Event::Transfer(to));
                    self.run_ledger_effects(zone, effects);
                }
            }
        }
        self.answer(origin, Reply::Acknowledged);
    }
}

/// Reads a template or parameters from a configuration.
pub(crate) fn read_document(policy: &Policy, request: &Request) -> Reply {
    let revision = policy.revision();
    match request {
        Request::Template { name, .. } => match policy.template(name) {
            Some((version, template)) => Reply::Template(Versioned {
                version,
                revision,
                content: template.clone(),
            }),
            None => Reply::Error(ApiError::Policy(EditError::UnknownTemplate(name.clone()))),
        },
        Request::Params {
            template, account, ..
        } => match policy.params(template, account) {
            Some((version, params)) => Reply::Params(Versioned {
                version,
                revision,
                content: params.clone(),
            }),
            None => Reply::Error(ApiError::Policy(EditError::UnknownAccount {
                template: template.clone(),
                account: account.clone(),
            })),
        },
        _ => unreachable!("only templates and parameters are read"),
    }
}

/// Where a change was appended in the same step; `None` if it was not, or why it was refused.
fn append_result<C, S>(
    ticket: Ticket,
    effects: &[agreement::Effect<C, S>],
) -> Result<Option<(Index, Term)>, RefusalReason> {
    match refusal(ticket, effects) {
        Some(reason) => Err(reason),
        None => Ok(appended_at(ticket, effects)),
    }
}
