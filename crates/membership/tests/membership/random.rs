//! Randomized runs that check the invariants after each step.
//!
//! `GREENGAGE_SEED` and `GREENGAGE_CASES` set the seed and the number of runs.

use std::collections::BTreeMap;
use std::env;
use std::time::Duration;

use greengage_core::{Incarnation, TargetName, TemplateName, Time};
use greengage_membership::{AttemptResult, Effect, Event, Limits, Membership, Standing};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::{announcement, ms, target};

const NAMES: [&str; 7] = ["a", "b", "c", "d", "e", "f", "g"];
const KINDS: [&str; 2] = ["tours", "prices"];

/// An operation, on the target with the given index if there is one.
#[derive(Clone, Debug)]
enum Op {
    Announce {
        index: usize,
        restart: bool,
        late: bool,
        leaving: bool,
        work: u8,
    },
    Leave(usize),
    Attempts {
        index: usize,
        result: AttemptResult,
        count: usize,
    },
    Advance(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let index = 0..NAMES.len();
    let result = prop_oneof![
        2 => Just(AttemptResult::Success),
        3 => Just(AttemptResult::Failure),
        1 => Just(AttemptResult::Unreachable),
    ];
    let chance = |p| prop::bool::weighted(p);
    prop_oneof![
        6 => (index.clone(), chance(0.1), chance(0.1), chance(0.03), 1u8..4).prop_map(
            |(index, restart, late, leaving, work)| {
                Op::Announce { index, restart, late, leaving, work }
            }
        ),
        1 => index.clone().prop_map(Op::Leave),
        6 => (index, result, 1usize..12)
            .prop_map(|(index, result, count)| Op::Attempts { index, result, count }),
        4 => (1u64..1500).prop_map(Op::Advance),
    ]
}

/// Expected state of a target name.
#[derive(Default)]
struct TargetModel {
    /// The incarnation that is up and its standing, according to the effects.
    up: Option<(Incarnation, Standing)>,
    incarnation: u64,
    last_heard: Time,
    /// Consecutive successes since the last ejection; `None` before one and after the probation.
    successes: Option<u32>,
    gone_at: Time,
    leaving: bool,
}

struct Model {
    limits: Limits,
    machine: Membership,
    now: Time,
    known: BTreeMap<TargetName, TargetModel>,
}

impl Model {
    fn new() -> Model {
        // Short limits, so that a run of 30 seconds covers every rule.
        let limits = Limits {
            window: 6,
            ejection_base: Duration::from_secs(1),
            ejection_max: Duration::from_secs(4),
            ..Limits::default()
        };
        Model {
            machine: Membership::new(limits.clone(), ms(0)),
            limits,
            now: ms(0),
            known: NAMES
                .iter()
                .map(|n| (target(n), TargetModel::default()))
                .collect(),
        }
    }

    fn run(&mut self, op: &Op) {
        match op {
            Op::Announce {
                index,
                restart,
                late,
                leaving,
                work,
            } => {
                let name = target(NAMES[*index]);
                let known = self.known.get_mut(&name).unwrap();
                known.incarnation += u64::from(*restart || known.incarnation == 0);
                let incarnation = known.incarnation - u64::from(*late && known.incarnation > 1);
                let mut content = announcement(NAMES[*index], incarnation);
                content.leaving = *leaving;
                content.work = KINDS
                    .iter()
                    .enumerate()
                    .filter(|(i, _)| work & (1 << i) != 0)
                    .map(|(_, kind)| TemplateName::new(kind).unwrap())
                    .collect();
                self.step(Event::Announce(content));
            }
            Op::Leave(index) => self.step(Event::Leave(target(NAMES[*index]))),
            Op::Attempts {
                index,
                result,
                count,
            } => {
                for _ in 0..*count {
                    let target = target(NAMES[*index]);
                    let known = self.known.get_mut(&target).unwrap();
                    if known.up.map(|u| u.1) != Some(Standing::Ejected) {
                        known.successes = match (known.successes, result) {
                            (Some(n), AttemptResult::Success) => Some(n + 1),
                            (successes, AttemptResult::Success) => successes,
                            (successes, AttemptResult::Failure | AttemptResult::Unreachable) => {
                                successes.map(|_| 0)
                            }
                        }
                        .filter(|n| *n < self.limits.probation_successes);
                    }
                    self.step(Event::Attempt {
                        target,
                        result: *result,
                    });
                }
            }
            Op::Advance(millis) => {
                let end = self.now + Duration::from_millis(*millis);
                while let Some(wake) = self.machine.next_wake().filter(|wake| *wake <= end) {
                    self.now = wake;
                    self.step(Event::Tick);
                }
                self.now = end;
                self.step(Event::Tick);
            }
        }
    }

    fn step(&mut self, event: Event) {
        let now = self.now;
        let announced = match &event {
            Event::Announce(a) => Some(a.clone()),
            _ => None,
        };
        for effect in self.machine.step(now, event.clone()) {
            match effect {
                Effect::TargetUp(a) => {
                    let known = self.known.get_mut(&a.target).unwrap();
                    assert_eq!(
                        Some(&a.incarnation),
                        announced.as_ref().map(|a| &a.incarnation)
                    );
                    match known.up {
                        Some((up, _)) => assert_eq!(up, a.incarnation, "Up without Gone"),
                        None => {
                            known.up = Some((a.incarnation, Standing::Live));
                            known.leaving = false;
                            // The history of a gone target expires after this time.
                            if now.since(known.gone_at) >= self.limits.ejection_max * 2 {
                                known.successes = None;
                            }
                        }
                    }
                }
                Effect::TargetGone {
                    target,
                    incarnation,
                } => {
                    let known = self.known.get_mut(&target).unwrap();
                    assert_eq!(
                        known.up.take().map(|u| u.0),
                        Some(incarnation),
                        "Gone without Up"
                    );
                    known.gone_at = now;
                }
                Effect::Standing { target, standing } => {
                    let known = self.known.get_mut(&target).unwrap();
                    let (_, old) = known
                        .up
                        .as_mut()
                        .expect("a standing of a target that is up");
                    assert_ne!(*old, standing, "a standing that did not change");
                    let has_announced = announced.as_ref().is_some_and(|a| a.target == target);
                    if *old == Standing::Suspect && standing != Standing::Leaving {
                        assert!(
                            has_announced,
                            "{target} is no longer suspect without an announcement"
                        );
                    }
                    assert_ne!(*old, Standing::Leaving, "{target} is no longer leaving");
                    *old = standing;
                    if standing == Standing::Ejected {
                        known.successes = Some(0);
                    }
                }
                Effect::VmUp(_) | Effect::VmDown(_) => unreachable!("no VM reported"),
            }
        }
        if let Some(a) = &announced {
            let known = self.known.get_mut(&a.target).unwrap();
            if known.up.map(|u| u.0) == Some(a.incarnation) {
                known.last_heard = now;
                known.leaving |= a.leaving;
            }
        }
        if let Event::Leave(target) = &event {
            let known = self.known.get_mut(target).unwrap();
            known.leaving = known.up.is_some();
        }
        self.check();
    }

    fn check(&self) {
        assert!(self.machine.next_wake().is_none_or(|wake| wake > self.now));
        let targets = self.machine.targets();
        let from_view: Vec<_> = targets
            .iter()
            .map(|t| {
                (
                    &t.announcement.target,
                    (t.announcement.incarnation, t.standing),
                )
            })
            .collect();
        let from_effects: Vec<_> = self
            .known
            .iter()
            .filter_map(|(name, known)| Some((name, known.up?)))
            .collect();
        assert_eq!(from_view, from_effects, "the view differs from the effects");
        for (name, known) in &self.known {
            let Some((_, standing)) = known.up else {
                continue;
            };
            let silence = self.now.since(known.last_heard);
            assert!(
                silence < self.limits.lease + self.limits.grace,
                "{name} is not gone after its grace period"
            );
            if known.leaving {
                assert_eq!(standing, Standing::Leaving, "{name} is leaving");
            } else if silence >= self.limits.lease {
                assert_eq!(standing, Standing::Suspect, "{name} is silent");
            }
            if standing == Standing::Live {
                assert!(
                    known.successes.is_none(),
                    "{name} is live without a probation"
                );
            }
        }
        for kind in KINDS {
            let count = |standings: &[Standing]| {
                let matching = targets.iter().filter(|t| {
                    standings.contains(&t.standing)
                        && t.announcement.work.iter().any(|w| w.as_str() == kind)
                });
                matching.count()
            };
            let ejected = count(&[Standing::Ejected]);
            let present = ejected + count(&[Standing::Live, Standing::Probation]);
            let share = (present * self.limits.max_ejected_percent as usize / 100).max(1);
            assert!(
                ejected <= share.min(present.saturating_sub(1)),
                "{ejected} of {present} targets that run {kind} are ejected"
            );
        }
    }
}

fn env_number(variable: &str, default: u64) -> u64 {
    match env::var(variable) {
        Ok(text) => text.parse().expect("the variable must be a number"),
        Err(_) => default,
    }
}

/// Guards against sequences of events that break an invariant: a target that is live without having
/// passed its probation, too many ejected targets, or an incarnation that is up or gone twice.
#[test]
fn the_invariants_hold_after_each_step() {
    let mut seed = [0; 32];
    seed[..8].copy_from_slice(&env_number("GREENGAGE_SEED", 1).to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let config = Config {
        cases: env_number("GREENGAGE_CASES", 200) as u32,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, rng)
        .run(&vec(op(), 1..150), |ops| {
            let mut model = Model::new();
            for op in &ops {
                model.run(op);
            }
            Ok(())
        })
        .unwrap();
}
