//! Messages between VMs, calls to targets, and the behaviour of targets.

use super::*;

impl Simulation {
    pub(crate) fn run_effect(&mut self, vm: usize, incarnation: u64, effect: Effect) {
        match effect {
            Effect::Send { to, envelope } => {
                let to = self.vms.iter().position(|v| v.site.vm == to).unwrap();
                // The transport never sends a message twice; a second copy of a request that starts
                // work comes only from a resend by the control thread.
                let single = matches!(
                    &envelope.body,
                    Body::Forward {
                        request: Request::Submit(_) | Request::Single(_),
                        ..
                    }
                );
                let copies = if !single && self.chance(self.loss_rate / 4.0) {
                    2
                } else {
                    1
                };
                let envelope = Arc::new(envelope);
                for _ in 0..copies {
                    if self.cut_links.contains(&(vm, to)) || self.chance(self.loss_rate) {
                        continue;
                    }
                    let slow = self.chance(self.loss_rate / 2.0);
                    let after = if slow {
                        self.rng.random_range(MS..400 * MS)
                    } else {
                        self.rng.random_range(300..2 * MS)
                    };
                    self.schedule(
                        after,
                        SimEvent::Message {
                            from: vm,
                            to,
                            envelope: envelope.clone(),
                        },
                    );
                }
            }
            Effect::Call { token, call } => {
                let caller = Caller {
                    vm,
                    incarnation,
                    token,
                };
                let sent_at = self.now;
                let after = self.rng.random_range(200..MS);
                if !self.chance(self.loss_rate / 2.0) {
                    return self.schedule(
                        after,
                        SimEvent::Arrive {
                            caller,
                            sent_at,
                            call,
                            answered: true,
                        },
                    );
                }
                let reason = "the connection broke".to_string();
                let broken = self.rng.random_range(MS..2500 * MS);
                self.schedule(
                    broken,
                    SimEvent::CallEnded {
                        caller: caller.clone(),
                        result: CallResult::Broken { reason },
                    },
                );
                // Half of the failed calls reach the target, some of them late.
                if self.chance(0.5) {
                    let after = *[after, after, 50 * MS, 500 * MS, 5 * SEC]
                        .choose(&mut self.rng)
                        .unwrap();
                    self.schedule(
                        after,
                        SimEvent::Arrive {
                            caller,
                            sent_at,
                            call,
                            answered: false,
                        },
                    );
                }
            }
            _ => unreachable!("only messages and calls leave"),
        }
    }

    pub(crate) fn answer(&mut self, caller: Caller, result: CallResult) {
        let late = self.faults_active && self.chance(0.02);
        let after = if late {
            self.rng.random_range(MS..400 * MS)
        } else {
            self.rng.random_range(200..MS)
        };
        self.schedule(after, SimEvent::CallEnded { caller, result });
    }

    pub(crate) fn arrive(&mut self, caller: Caller, sent_at: u64, call: Call, answered: bool) {
        let n = self
            .targets
            .iter()
            .position(|target| target.name == call.target)
            .unwrap();
        let target = &mut self.targets[n];
        if !target.up {
            let reason = "connection refused".to_string();
            let result = match &call.action {
                Action::Start(_) => CallResult::NotRun { reason },
                _ => CallResult::Broken { reason },
            };
            return if answered {
                self.answer(caller, result)
            };
        }
        let act = target.call(&call);
        let incarnation = target.incarnation;
        let target_fencing = target.fencing;
        self.trace_event(|| {
            format!(
                "call {} of vm {} to t{n}: {:?}",
                caller.token, caller.vm, call.action
            )
        });
        let hold = match act {
            TargetAction::Answer(result) => {
                return if answered {
                    self.answer(caller, result)
                }
            }
            TargetAction::Ended(attempt, result) => {
                self.release(n, &attempt, &result);
                return if answered {
                    self.answer(caller, result)
                };
            }
            TargetAction::Hold(attempt) => attempt,
            TargetAction::Run(attempt, payload) => {
                let fencing = target_fencing;
                let duration_us = match self.chance(0.05) {
                    true => self.rng.random_range(SEC..5 * SEC),
                    false => self.rng.random_range(30 * MS..600 * MS),
                };
                let state = task_end(&payload, self.rng.random(), duration_us);
                let start = TaskStart {
                    at: self.now,
                    sent_at,
                    target: call.target.clone(),
                    fencing,
                    attempt: attempt.clone(),
                    payload,
                };
                self.checker.check_start(start, self.last_disturbed);
                self.schedule(
                    duration_us,
                    SimEvent::Finish {
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
            self.schedule(HOLD_LIMIT, SimEvent::HoldEnd { target: n, token });
        }
    }

    pub(crate) fn release(
        &mut self,
        n: usize,
        attempt: &greengage_core::AttemptId,
        result: &CallResult,
    ) {
        let holds = std::mem::take(&mut self.targets[n].holds);
        let (done, rest): (Vec<_>, Vec<_>) =
            holds.into_iter().partition(|(held, _)| held == attempt);
        self.targets[n].holds = rest;
        for (_, caller) in done {
            self.answer(caller, result.clone());
        }
    }

    pub(crate) fn stop_target(&mut self, n: usize) {
        self.trace_event(|| format!("t{n} dies"));
        self.targets[n].up = false;
        for (_, caller) in std::mem::take(&mut self.targets[n].holds) {
            self.answer(
                caller,
                CallResult::Broken {
                    reason: "connection reset".to_string(),
                },
            );
        }
    }

    pub(crate) fn restart_target(&mut self, n: usize) {
        self.stop_target(n);
        self.targets[n].restart_target();
        let name = self.targets[n].name.clone();
        self.checker.leaving.remove(&name);
    }

    pub(crate) fn announce(&mut self, n: usize) {
        self.schedule(SEC, SimEvent::Announce { target: n });
        let target = &self.targets[n];
        if !target.up || !target.announces {
            return;
        }
        let announcement = target.announcement();
        if let Some(vm) = self.any_vm(Some(&announcement.zone)) {
            let (name, leaving) = (announcement.target.clone(), announcement.leaving);
            self.request(vm, RequestKind::Other, Request::Announce(announcement));
            if leaving {
                self.checker.leaving.entry(name).or_insert(self.now);
            }
        }
    }

    pub(crate) fn leave_target(&mut self, n: usize) {
        let zone = self.targets[n].zone.clone();
        if let (Some(vm), true) = (self.any_vm(Some(&zone)), self.targets[n].up) {
            self.targets[n].leaving = true;
            // Some targets announce their leaving with each renewal, others once and then stop
            // announcing.
            if self.chance(0.5) {
                self.targets[n].announces = false;
                let name = self.targets[n].name.clone();
                self.request(vm, RequestKind::Other, Request::Leave(name.clone()));
                self.checker.leaving.entry(name).or_insert(self.now);
            }
        }
    }
}
