//! The edges of the control thread as plain values: the clock, the disk of a VM, and targets.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use greengage_agreement::{Config, Save};
use greengage_control::api::Group;
use greengage_control::call::{Action, Call, Seen, State};
use greengage_control::{Control, Durable, GroupSave, Now, Restored, Saved, Site};
use greengage_core::{
    AttemptId, Capacity, Incarnation, Payload, SortedMap, TargetName, TemplateName, Term, Time,
    Wall, ZoneName,
};
use greengage_ledger as ledger;
use greengage_membership::Announcement;
use greengage_policy as policy;

/// Microseconds of model time in a millisecond and in a second.
pub(crate) const MS: u64 = 1000;
pub(crate) const SEC: u64 = 1_000_000;
/// Time of day at the start of a run.
const START_WALL_MS: u64 = 1_800_000_000_000;
/// How long a target holds a start or a poll.
pub(crate) const HOLD_LIMIT: u64 = 2 * SEC;

/// The stored part of one log group.
fn apply_save<C: Clone, SEC: Clone>(group: &mut Restored<C, SEC>, save: &Save<C, SEC>) {
    if let Some(hard) = &save.hard {
        group.hard = hard.clone();
    }
    if save.clear {
        group.entries.clear();
    }
    if let Some(snapshot) = &save.snapshot {
        group.entries.retain(|entry| entry.index > snapshot.index);
        group.snapshot = Some(snapshot.clone());
    }
    if let Some(first) = save.entries.first() {
        group.entries.retain(|entry| entry.index < first.index);
        group.entries.extend(save.entries.iter().cloned());
    }
}

/// What is durable, and what is saved but not yet durable.
#[derive(Default)]
pub(crate) struct Disk {
    control: Restored<policy::Command, policy::State>,
    ledgers: SortedMap<ZoneName, Restored<ledger::Command, ledger::State>>,
    pub(crate) policy: Option<policy::State>,
    pending: VecDeque<GroupSave>,
    /// When the last save so far becomes durable.
    pub(crate) busy_until: u64,
    pub(crate) failed: bool,
}

impl Disk {
    /// A folder as `--init` or a first start leaves it.
    pub(crate) fn new(site: &Site) -> Disk {
        let mut disk = Disk::default();
        disk.control.config = site.first_control();
        let own = site.roles().ledger.then(|| site.zone().clone());
        for zone in own.into_iter().chain(site.roles().witness.clone()) {
            let config: Config = site.first_ledger(&zone);
            let group = Restored {
                config,
                ..Restored::default()
            };
            disk.ledgers.insert(zone, group);
        }
        disk
    }

    pub(crate) fn save(&mut self, save: GroupSave) {
        self.pending.push_back(save);
    }

    /// Makes the oldest save durable.
    pub(crate) fn sync(&mut self) -> Option<Saved> {
        match self.pending.pop_front()? {
            GroupSave::Control(save) => {
                apply_save(&mut self.control, &save);
                Some(Saved::Group {
                    group: Group::Control,
                    seq: save.seq,
                })
            }
            GroupSave::Ledger { zone, save } => {
                apply_save(
                    self.ledgers.get_mut(&zone).expect("a group of this VM"),
                    &save,
                );
                Some(Saved::Group {
                    group: Group::Ledger(zone),
                    seq: save.seq,
                })
            }
            GroupSave::Policy(state) => {
                let saved = Saved::Policy(state.applied());
                self.policy = Some(state);
                Some(saved)
            }
        }
    }

    /// Loses what is not durable.
    pub(crate) fn crash(&mut self) {
        self.pending.clear();
        self.busy_until = 0;
    }

    pub(crate) fn durable(&self) -> Durable {
        Durable {
            control: self.control.clone(),
            ledgers: self.ledgers.clone(),
            policy: self.policy.clone(),
        }
    }
}

/// A VM. Its clock starts with its process; `held` is what waits while the process is frozen.
pub(crate) struct Vm<I> {
    pub(crate) site: Site,
    pub(crate) control: Option<Control>,
    pub(crate) incarnation: u64,
    pub(crate) started: u64,
    /// How far its time of day is off, in milliseconds.
    pub(crate) wall_offset_ms: i64,
    pub(crate) disk: Disk,
    pub(crate) paused: bool,
    pub(crate) held_events: Vec<I>,
    pub(crate) drained: bool,
    /// Steps in a row without an effect whose deadline had passed already.
    pub(crate) idle_steps: u32,
    /// Since when it drains.
    pub(crate) drain_start: Option<u64>,
    pub(crate) last_request: u64,
}

impl<I> Vm<I> {
    pub(crate) fn now(&self, at: u64) -> Now {
        Now {
            time: Time(at - self.started),
            wall: Wall((START_WALL_MS + at / MS).saturating_add_signed(self.wall_offset_ms)),
        }
    }

    pub(crate) fn up(&self) -> bool {
        self.control.is_some() && !self.paused
    }
}

/// A start that ran.
#[derive(Clone, Debug)]
pub(crate) struct TaskStart {
    pub(crate) at: u64,
    /// When the leader asked for it.
    pub(crate) sent_at: u64,
    pub(crate) target: TargetName,
    pub(crate) fencing: bool,
    pub(crate) attempt: AttemptId,
    pub(crate) payload: Payload,
}

/// A call that waits for an attempt's end: who made it.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) vm: usize,
    pub(crate) incarnation: u64,
    pub(crate) token: u64,
}

/// A target as section 3 of the design asks for it.
pub(crate) struct Target {
    pub(crate) name: TargetName,
    pub(crate) zone: ZoneName,
    pub(crate) incarnation: Incarnation,
    pub(crate) fencing: bool,
    pub(crate) slots: u32,
    pub(crate) up: bool,
    pub(crate) leaving: bool,
    /// Whether it still announces itself.
    pub(crate) announces: bool,
    fence: Term,
    pub(crate) attempts: BTreeMap<AttemptId, State>,
    pub(crate) holds: Vec<(AttemptId, Caller)>,
}

/// What a target does with a call.
pub(crate) enum TargetAction {
    Answer(Seen),
    /// Answers when the attempt ends, at the latest after `HOLD_LIMIT`.
    Hold(AttemptId),
    /// As `Hold`, and the task runs from now on.
    Run(AttemptId, Payload),
    /// Answers, and whoever holds the attempt hears of its end.
    Ended(AttemptId, Seen),
}

fn refused(reason: &str) -> TargetAction {
    TargetAction::Answer(Seen::NotRun {
        reason: reason.to_string(),
    })
}

impl Target {
    pub(crate) fn new(n: usize, zone: ZoneName, fencing: bool) -> Target {
        Target {
            name: TargetName::new(&format!("t{n}")).unwrap(),
            zone,
            incarnation: Incarnation(1),
            fencing,
            slots: 3,
            up: true,
            leaving: false,
            announces: true,
            fence: Term(0),
            attempts: BTreeMap::new(),
            holds: Vec::new(),
        }
    }

    /// Ends with the loss of its memory; starts again under the next incarnation.
    pub(crate) fn restart_target(&mut self) {
        let fresh = Target::new(0, self.zone.clone(), self.fencing);
        let incarnation = self.incarnation.next();
        *self = Target {
            name: self.name.clone(),
            incarnation,
            ..fresh
        };
    }

    pub(crate) fn announcement(&self) -> Announcement {
        Announcement {
            target: self.name.clone(),
            incarnation: self.incarnation,
            address: greengage_core::Address::new("127.0.0.1:1").unwrap(),
            zone: self.zone.clone(),
            rack: None,
            work: ["job", "ping"]
                .iter()
                .map(|work| TemplateName::new(work).unwrap())
                .collect(),
            capacity: Capacity::Executor {
                slots: self.slots,
                connections: 60,
            },
            usage: None,
            fencing: self.fencing,
            leaving: self.leaving,
        }
    }

    fn running(&self) -> usize {
        self.attempts
            .values()
            .filter(|state| matches!(state, State::Running))
            .count()
    }

    fn report(&self, id: &AttemptId) -> TargetAction {
        match &self.attempts[id] {
            State::Running => TargetAction::Hold(id.clone()),
            state => TargetAction::Answer(Seen::State(state.clone())),
        }
    }

    pub(crate) fn call(&mut self, call: &Call) -> TargetAction {
        if call.incarnation != self.incarnation {
            return TargetAction::Answer(Seen::Restarted);
        }
        match &call.action {
            Action::Start(start) => {
                let id = &start.attempt;
                if self.fencing && start.term < self.fence {
                    return refused("the term is fenced off");
                }
                match self.attempts.get(id) {
                    Some(State::Never) => return refused("the attempt was revoked"),
                    Some(_) => return self.report(id),
                    None => {}
                }
                if self.running() >= self.slots as usize {
                    return refused("no slot is free");
                }
                self.attempts.insert(id.clone(), State::Running);
                TargetAction::Run(id.clone(), start.payload.clone())
            }
            Action::Poll { attempt, .. } => match self.attempts.contains_key(attempt) {
                true => self.report(attempt),
                false => TargetAction::Answer(Seen::State(State::Never)),
            },
            Action::Revoke { attempt } => {
                let state = self.attempts.entry(attempt.clone()).or_insert(State::Never);
                TargetAction::Answer(Seen::State(state.clone()))
            }
            Action::Stop { attempt } => {
                let state = self.attempts.entry(attempt.clone()).or_insert(State::Never);
                if matches!(state, State::Running) {
                    *state = State::Failed {
                        message: "stopped".to_string(),
                    };
                    return TargetAction::Ended(attempt.clone(), Seen::State(state.clone()));
                }
                TargetAction::Answer(Seen::State(state.clone()))
            }
            Action::Fence { term, .. } => {
                if !self.fencing {
                    return TargetAction::Answer(Seen::Broken {
                        reason: "unknown path".to_string(),
                    });
                }
                if *term < self.fence {
                    return refused("a higher term has fenced this one off");
                }
                self.fence = *term;
                TargetAction::Answer(Seen::Fenced {
                    incarnation: self.incarnation,
                    attempts: self.attempts.clone().into_iter().collect(),
                })
            }
        }
    }
}

/// The result that a target gives for a task.
pub(crate) fn task_result(task: &Payload) -> Payload {
    Payload::new([b"result of ", &task[..]].concat())
}

/// The end of a task: mostly its result, now and then an error.
pub(crate) fn task_end(task: &Payload, draw: f64, service: u64) -> State {
    match draw {
        draw if draw < 0.02 => State::Failed {
            message: "bad input".to_string(),
        },
        draw if draw < 0.03 => State::Guard(greengage_core::GuardAction::Stopped),
        _ => State::Done {
            result: task_result(task),
            service: Duration::from_micros(service),
        },
    }
}
