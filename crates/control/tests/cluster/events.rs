//! Event loop of the simulation.

use super::*;

impl Simulation {
    pub(crate) fn note_disturbance(&mut self) {
        let down = self.vms.iter().any(|vm| !vm.up());
        if down || !self.cut_links.is_empty() || self.loss_rate > 0.0 {
            self.last_disturbed = self.now;
        }
    }

    pub(crate) fn run_until(&mut self, end: u64) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), sim_event) = entry.remove_entry();
            self.now = at;
            self.note_disturbance();
            self.handle(sim_event);
        }
        self.now = end;
    }

    pub(crate) fn handle(&mut self, sim_event: SimEvent) {
        let owner = match &sim_event {
            SimEvent::Wake { vm, incarnation }
            | SimEvent::RunEffect {
                vm, incarnation, ..
            }
            | SimEvent::SaveDone { vm, incarnation } => Some((*vm, Some(*incarnation))),
            SimEvent::CallEnded { caller, .. } => Some((caller.vm, Some(caller.incarnation))),
            SimEvent::Message { to, .. } => Some((*to, None)),
            _ => None,
        };
        if let Some((vm, incarnation)) = owner {
            let v = &mut self.vms[vm];
            if v.control.is_none()
                || incarnation.is_some_and(|incarnation| incarnation != v.incarnation)
            {
                return;
            }
            if v.paused {
                return v.held_events.push(sim_event);
            }
        }
        match sim_event {
            SimEvent::Wake { vm, .. } => {
                let v = &self.vms[vm];
                if v.control
                    .as_ref()
                    .is_some_and(|control| control.next_wake() <= v.now(self.now).time)
                {
                    self.step(vm, Event::Tick);
                }
            }
            SimEvent::RunEffect {
                vm,
                incarnation,
                effect,
            } => self.run_effect(vm, incarnation, effect),
            SimEvent::Message { from, to, envelope } => {
                let from = self.vms[from].site.vm.clone();
                self.step(to, Event::Peer { from, envelope });
            }
            SimEvent::SaveDone { vm, .. } => {
                if !self.vms[vm].disk.failed {
                    if let Some(saved) = self.vms[vm].disk.sync() {
                        self.step(vm, Event::SaveDone(saved));
                    }
                }
            }
            SimEvent::Arrive {
                caller,
                sent_at,
                call,
                answered,
            } => self.arrive(caller, sent_at, call, answered),
            SimEvent::CallEnded { caller, result } => self.step(
                caller.vm,
                Event::CallEnded {
                    token: caller.token,
                    result,
                },
            ),
            SimEvent::Finish {
                target,
                incarnation,
                attempt,
                state,
            } => {
                let t = &mut self.targets[target];
                let running = t.attempts.get(&attempt) == Some(&AttemptState::Running);
                if t.up && t.incarnation == incarnation && running {
                    t.attempts.insert(attempt.clone(), state.clone());
                    self.release(target, &attempt, &CallResult::State(state));
                }
            }
            SimEvent::HoldEnd { target, token } => {
                let holds = &mut self.targets[target].holds;
                if let Some(index) = holds.iter().position(|(_, caller)| caller.token == token) {
                    let (_, caller) = holds.swap_remove(index);
                    self.answer(caller, CallResult::State(AttemptState::Running));
                }
            }
            SimEvent::Announce { target } => self.announce(target),
            SimEvent::Random => {
                if self.faults_active {
                    let after = self.rng.random_range(5 * MS..60 * MS);
                    self.schedule(after, SimEvent::Random);
                    self.client_event();
                    if self.chance(0.08) {
                        self.fault();
                    }
                }
            }
            SimEvent::Resume { vm } => self.resume(vm),
            SimEvent::Start { vm } => self.start(vm),
            SimEvent::HealLinks => {
                self.cut_links.clear();
                self.isolated.clear();
            }
            SimEvent::Repair => self.repair_step(),
        }
    }

    pub(crate) fn client_event(&mut self) {
        let known = self.submitted.choose(&mut self.rng).cloned();
        let kind = self.rng.random_range(0..100);
        match (kind, known) {
            (0..=34, _) | (_, None) => {
                self.last_id += 1;
                let zones = self.vms[0].site.zones();
                let key = JobKey {
                    account: name(
                        ["acme", "beta"].choose(&mut self.rng).unwrap(),
                        AccountName::new,
                    ),
                    zone: zones.choose(&mut self.rng).unwrap().clone(),
                    id: name(&format!("j{}", self.last_id), Name::new),
                };
                self.submit(key, 1);
            }
            (35..=49, Some((key, request, content))) => self.send_submission(key, request, content),
            (50..=52, Some((key, ..))) => self.submit(key, 2),
            (53..=66, _) => {
                self.last_id += 1;
                let task = Payload::new(format!("single{}", self.last_id).into_bytes());
                let request = NewRequest {
                    account: name("acme", AccountName::new),
                    zone: None,
                    id: None,
                    template: name("ping", TemplateName::new),
                    digest: Digest([0; 32]),
                    task: task.clone(),
                };
                self.send_request(RequestKind::Single(task), Request::Single(request));
            }
            (67..=73, Some((key, ..))) => {
                self.send_request(RequestKind::Cancel(key.clone()), Request::Cancel(key))
            }
            (74..=85, Some((key, ..))) => {
                self.send_request(RequestKind::Outcome(key.clone()), Request::Outcome(key))
            }
            (86..=91, _) => {
                let document = *["job", "ping", "x", "y"].choose(&mut self.rng).unwrap();
                for _ in 0..self.rng.random_range(1..=2) {
                    self.edit(document);
                }
            }
            (92..=95, _) => {
                if let Some((op, request)) = self.edits.choose(&mut self.rng).cloned() {
                    self.send_request(RequestKind::Edit(op), request);
                }
            }
            _ => {
                let document = *["job", "ping"].choose(&mut self.rng).unwrap();
                let min_revision = self.checker.acknowledged;
                let request = Request::Template {
                    name: name(document, TemplateName::new),
                    current: true,
                };
                self.send_request(
                    RequestKind::Read(document.to_string(), min_revision),
                    request,
                );
            }
        }
    }
}
