//! Messages between VMs, calls to targets and what targets do.

use super::*;

impl World {
    pub(crate) fn leave(&mut self, vm: usize, life: u64, effect: Effect) {
        match effect {
            Effect::Send { to, envelope } => {
                let to = self.vms.iter().position(|v| v.site.vm == to).unwrap();
                // The transport never sends a message twice; a second copy of work that starts
                // comes only from the control thread's own resend.
                let single = matches!(
                    &envelope.body,
                    Body::Forward {
                        request: Request::Submit(_) | Request::Single(_),
                        ..
                    }
                );
                let copies = if !single && self.luck(self.loss / 4.0) {
                    2
                } else {
                    1
                };
                let envelope = Arc::new(envelope);
                for _ in 0..copies {
                    if self.cut.contains(&(vm, to)) || self.luck(self.loss) {
                        continue;
                    }
                    let slow = self.luck(self.loss / 2.0);
                    let after = if slow {
                        self.rng.random_range(MS..400 * MS)
                    } else {
                        self.rng.random_range(300..2 * MS)
                    };
                    self.at(
                        after,
                        Item::Message {
                            from: vm,
                            to,
                            envelope: envelope.clone(),
                        },
                    );
                }
            }
            Effect::Call { token, call } => {
                let caller = Caller { vm, life, token };
                let asked = self.now;
                let after = self.rng.random_range(200..MS);
                if !self.luck(self.loss / 2.0) {
                    return self.at(
                        after,
                        Item::Arrive {
                            caller,
                            asked,
                            call,
                            answered: true,
                        },
                    );
                }
                let reason = "the connection broke".to_string();
                let broken = self.rng.random_range(MS..2500 * MS);
                self.at(
                    broken,
                    Item::Seen {
                        caller: caller.clone(),
                        seen: Seen::Broken { reason },
                    },
                );
                // Half of the broken calls reach the target, some of them late.
                if self.luck(0.5) {
                    let after = *[after, after, 50 * MS, 500 * MS, 5 * S]
                        .choose(&mut self.rng)
                        .unwrap();
                    self.at(
                        after,
                        Item::Arrive {
                            caller,
                            asked,
                            call,
                            answered: false,
                        },
                    );
                }
            }
            _ => unreachable!("only messages and calls leave"),
        }
    }

    pub(crate) fn answer(&mut self, caller: Caller, seen: Seen) {
        let late = self.chaos && self.luck(0.02);
        let after = if late {
            self.rng.random_range(MS..400 * MS)
        } else {
            self.rng.random_range(200..MS)
        };
        self.at(after, Item::Seen { caller, seen });
    }

    pub(crate) fn arrive(&mut self, caller: Caller, asked: u64, call: Call, answered: bool) {
        let n = self
            .targets
            .iter()
            .position(|target| target.name == call.target)
            .unwrap();
        let target = &mut self.targets[n];
        if !target.up {
            let reason = "connection refused".to_string();
            let seen = match &call.action {
                Action::Start(_) => Seen::NotRun { reason },
                _ => Seen::Broken { reason },
            };
            return if answered {
                self.answer(caller, seen)
            };
        }
        let act = target.call(&call);
        let incarnation = target.incarnation;
        let target_fencing = target.fencing;
        self.note(|| {
            format!(
                "call {} of vm {} to t{n}: {:?}",
                caller.token, caller.vm, call.action
            )
        });
        let hold = match act {
            Act::Answer(seen) => {
                return if answered {
                    self.answer(caller, seen)
                }
            }
            Act::Ended(attempt, seen) => {
                self.release(n, &attempt, &seen);
                return if answered {
                    self.answer(caller, seen)
                };
            }
            Act::Hold(attempt) => attempt,
            Act::Run(attempt, payload) => {
                let fencing = target_fencing;
                let took = match self.luck(0.05) {
                    true => self.rng.random_range(S..5 * S),
                    false => self.rng.random_range(30 * MS..600 * MS),
                };
                let state = end(&payload, self.rng.random(), took);
                let ran = Ran {
                    at: self.now,
                    asked,
                    target: call.target.clone(),
                    fencing,
                    attempt: attempt.clone(),
                    payload,
                };
                self.checker.started(ran, self.disturbed);
                self.at(
                    took,
                    Item::Finish {
                        target: n,
                        incarnation,
                        attempt: attempt.clone(),
                        state,
                    },
                );
                attempt
            }
        };
        if answered {
            let token = caller.token;
            self.targets[n].holds.push((hold, caller));
            self.at(HOLD, Item::HoldEnd { target: n, token });
        }
    }

    pub(crate) fn release(&mut self, n: usize, attempt: &greengage_core::AttemptId, seen: &Seen) {
        let holds = std::mem::take(&mut self.targets[n].holds);
        let (done, rest): (Vec<_>, Vec<_>) =
            holds.into_iter().partition(|(held, _)| held == attempt);
        self.targets[n].holds = rest;
        for (_, caller) in done {
            self.answer(caller, seen.clone());
        }
    }

    pub(crate) fn kill(&mut self, n: usize) {
        self.note(|| format!("t{n} dies"));
        self.targets[n].up = false;
        for (_, caller) in std::mem::take(&mut self.targets[n].holds) {
            self.answer(
                caller,
                Seen::Broken {
                    reason: "connection reset".to_string(),
                },
            );
        }
    }

    pub(crate) fn restart(&mut self, n: usize) {
        self.kill(n);
        self.targets[n].restart();
        let name = self.targets[n].name.clone();
        self.checker.leaving.remove(&name);
    }

    pub(crate) fn announce(&mut self, n: usize) {
        self.at(S, Item::Announce { target: n });
        let target = &self.targets[n];
        if !target.up || !target.announces {
            return;
        }
        let announcement = target.announcement();
        if let Some(vm) = self.any_vm(Some(&announcement.zone)) {
            let (name, leaving) = (announcement.target.clone(), announcement.leaving);
            self.request(vm, Ask::Other, Request::Announce(announcement));
            if leaving {
                self.checker.leaving.entry(name).or_insert(self.now);
            }
        }
    }

    pub(crate) fn leave_target(&mut self, n: usize) {
        let zone = self.targets[n].zone.clone();
        if let (Some(vm), true) = (self.any_vm(Some(&zone)), self.targets[n].up) {
            self.targets[n].leaving = true;
            // Some targets say so with each renewal, others once, and announce no more.
            if self.luck(0.5) {
                self.targets[n].announces = false;
                let name = self.targets[n].name.clone();
                self.request(vm, Ask::Other, Request::Leave(name.clone()));
                self.checker.leaving.entry(name).or_insert(self.now);
            }
        }
    }
}
