//! The events of a run in the order of their times.

use super::*;

impl World {
    pub(crate) fn watch(&mut self) {
        let down = self.vms.iter().any(|vm| !vm.up());
        if down || !self.cut.is_empty() || self.loss > 0.0 {
            self.disturbed = self.now;
        }
    }

    pub(crate) fn run_until(&mut self, end: u64) {
        while let Some(entry) = self.items.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), item) = entry.remove_entry();
            self.now = at;
            self.watch();
            self.handle(item);
        }
        self.now = end;
    }

    pub(crate) fn handle(&mut self, item: Item) {
        let owner = match &item {
            Item::Wake { vm, life } | Item::Leave { vm, life, .. } | Item::Durable { vm, life } => {
                Some((*vm, Some(*life)))
            }
            Item::Seen { caller, .. } => Some((caller.vm, Some(caller.life))),
            Item::Message { to, .. } => Some((*to, None)),
            _ => None,
        };
        if let Some((vm, life)) = owner {
            let v = &mut self.vms[vm];
            if v.control.is_none() || life.is_some_and(|life| life != v.life) {
                return;
            }
            if v.frozen {
                return v.held.push(item);
            }
        }
        match item {
            Item::Wake { vm, .. } => {
                let v = &self.vms[vm];
                if v.control
                    .as_ref()
                    .is_some_and(|control| control.wake() <= v.now(self.now).time)
                {
                    self.step(vm, Event::Tick);
                }
            }
            Item::Leave { vm, life, effect } => self.leave(vm, life, effect),
            Item::Message { from, to, envelope } => {
                let from = self.vms[from].site.vm.clone();
                self.step(to, Event::Peer { from, envelope });
            }
            Item::Durable { vm, .. } => {
                if !self.vms[vm].disk.failed {
                    if let Some(saved) = self.vms[vm].disk.sync() {
                        self.step(vm, Event::Saved(saved));
                    }
                }
            }
            Item::Arrive {
                caller,
                asked,
                call,
                answered,
            } => self.arrive(caller, asked, call, answered),
            Item::Seen { caller, seen } => self.step(
                caller.vm,
                Event::Seen {
                    token: caller.token,
                    seen,
                },
            ),
            Item::Finish {
                target,
                incarnation,
                attempt,
                state,
            } => {
                let t = &mut self.targets[target];
                let running = t.attempts.get(&attempt) == Some(&State::Running);
                if t.up && t.incarnation == incarnation && running {
                    t.attempts.insert(attempt.clone(), state.clone());
                    self.release(target, &attempt, &Seen::State(state));
                }
            }
            Item::HoldEnd { target, token } => {
                let holds = &mut self.targets[target].holds;
                if let Some(place) = holds.iter().position(|(_, caller)| caller.token == token) {
                    let (_, caller) = holds.swap_remove(place);
                    self.answer(caller, Seen::State(State::Running));
                }
            }
            Item::Announce { target } => self.announce(target),
            Item::Next => {
                if self.chaos {
                    let after = self.rng.random_range(5 * MS..60 * MS);
                    self.at(after, Item::Next);
                    self.client_event();
                    if self.luck(0.08) {
                        self.fault();
                    }
                }
            }
            Item::Thaw { vm } => self.thaw(vm),
            Item::Start { vm } => self.start(vm),
            Item::Mend => {
                self.cut.clear();
                self.alone.clear();
            }
            Item::Repair => self.repair_step(),
        }
    }

    pub(crate) fn client_event(&mut self) {
        let known = self.submitted.choose(&mut self.rng).cloned();
        let kind = self.rng.random_range(0..100);
        match (kind, known) {
            (0..=34, _) | (_, None) => {
                self.counter += 1;
                let zones = self.vms[0].site.zones();
                let key = JobKey {
                    account: name(
                        ["acme", "beta"].choose(&mut self.rng).unwrap(),
                        AccountName::new,
                    ),
                    zone: zones.choose(&mut self.rng).unwrap().clone(),
                    id: name(&format!("j{}", self.counter), Name::new),
                };
                self.submit(key, 1);
            }
            (35..=49, Some((key, request, content))) => self.send_submission(key, request, content),
            (50..=52, Some((key, ..))) => self.submit(key, 2),
            (53..=66, _) => {
                self.counter += 1;
                let task = Payload::new(format!("single{}", self.counter).into_bytes());
                let request = NewRequest {
                    account: name("acme", AccountName::new),
                    zone: None,
                    id: None,
                    template: name("ping", TemplateName::new),
                    digest: Digest([0; 32]),
                    task: task.clone(),
                };
                self.ask(Ask::Single(task), Request::Single(request));
            }
            (67..=73, Some((key, ..))) => self.ask(Ask::Cancel(key.clone()), Request::Cancel(key)),
            (74..=85, Some((key, ..))) => {
                self.ask(Ask::Outcome(key.clone()), Request::Outcome(key))
            }
            (86..=91, _) => {
                let document = *["job", "ping", "x", "y"].choose(&mut self.rng).unwrap();
                for _ in 0..self.rng.random_range(1..=2) {
                    self.edit(document);
                }
            }
            (92..=95, _) => {
                if let Some((op, request)) = self.edits.choose(&mut self.rng).cloned() {
                    self.ask(Ask::Edit(op), request);
                }
            }
            _ => {
                let document = *["job", "ping"].choose(&mut self.rng).unwrap();
                let floor = self.checker.acknowledged;
                let request = Request::Template {
                    name: name(document, TemplateName::new),
                    current: true,
                };
                self.ask(Ask::Read(document.to_string(), floor), request);
            }
        }
    }
}
