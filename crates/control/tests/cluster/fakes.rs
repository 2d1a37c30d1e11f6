//! Simulated environment of the control thread: clock, disk and targets.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use greengage_agreement::{Config, Save};
use greengage_control::api::Group;
use greengage_control::call::{Action, AttemptState, Call, CallResult};
use greengage_control::{Control, DurableSave, GroupSave, Now, Site, StoredGroup, StoredState};
use greengage_core::{
    AttemptId, Capacity, Incarnation, Payload, SortedMap, TargetName, TemplateName, Term, Time,
    WallTime, ZoneName,
};
use greengage_ledger as ledger;
use greengage_membership::Announcement;
use greengage_policy as policy;

/// A millisecond and a second in microseconds of model time.
pub(crate) const MS: u64 = 1000;
pub(crate) const SEC: u64 = 1_000_000;
/// Time of day at the start of a run, in Unix milliseconds.
const START_WALL_MS: u64 = 1_800_000_000_000;
/// How long a target holds a start or poll before it answers "running", in microseconds.
pub(crate) const HOLD_LIMIT: u64 = 2 * SEC;

/// Applies a save to the stored state of a group.
fn apply_save<C: Clone, S: Clone>(group: &mut StoredGroup<C, S>, save: &Save<C, S>) {
    if let Some(hard) = &save.hard_state {
        group.hard_state = hard.clone();
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

/// A disk: the durable state, and saves that are not durable yet.
#[derive(Default)]
pub(crate) struct Disk {
    control: StoredGroup<policy::Command, policy::State>,
    ledgers: SortedMap<ZoneName, StoredGroup<ledger::Command, ledger::State>>,
    pub(crate) policy: Option<policy::State>,
    pending: VecDeque<GroupSave>,
    /// When the last pending save becomes durable.
    pub(crate) busy_until: u64,
    pub(crate) failed: bool,
}

impl Disk {
    /// A data folder after `--init` or a first start.
    pub(crate) fn new(site: &Site) -> Disk {
        let mut disk = Disk::default();
        disk.control.config = site.initial_control_config();
        let own = site.roles().ledger.then(|| site.zone().clone());
        for zone in own.into_iter().chain(site.roles().witness.clone()) {
            let config: Config = site.initial_ledger_config(&zone);
            let group = StoredGroup {
                config,
                ..StoredGroup::default()
            };
            disk.ledgers.insert(zone, group);
        }
        disk
    }

    pub(crate) fn save(&mut self, save: GroupSave) {
        self.pending.push_back(save);
    }

    /// Makes the oldest pending save durable.
    pub(crate) fn sync(&mut self) -> Option<DurableSave> {
        match self.pending.pop_front()? {
            GroupSave::Control(save) => {
                apply_save(&mut self.control, &save);
                Some(DurableSave::Group {
                    group: Group::Control,
                    seq: save.seq,
                })
            }
            GroupSave::Ledger { zone, save } => {
                apply_save(
                    self.ledgers.get_mut(&zone).expect("a group of this VM"),
                    &save,
                );
                Some(DurableSave::Group {
                    group: Group::Ledger(zone),
                    seq: save.seq,
                })
            }
            GroupSave::Policy(state) => {
                let saved = DurableSave::Policy(state.applied());
                self.policy = Some(state);
                Some(saved)
            }
        }
    }

    /// Loses the pending saves.
    pub(crate) fn crash(&mut self) {
        self.pending.clear();
        self.busy_until = 0;
    }

    pub(crate) fn durable(&self) -> StoredState {
        StoredState {
            control: self.control.clone(),
            ledgers: self.ledgers.clone(),
            policy: self.policy.clone(),
        }
    }
}

/// A VM. Its monotonic clock starts with its process; `held_events` are delivered when a pause
/// ends.
pub(crate) struct Vm<I> {
    pub(crate) site: Site,
    pub(crate) control: Option<Control>,
    pub(crate) incarnation: u64,
    pub(crate) started: u64,
    /// Error of its time of day, in milliseconds.
    pub(crate) wall_offset_ms: i64,
    pub(crate) disk: Disk,
    pub(crate) paused: bool,
    pub(crate) held_events: Vec<I>,
    pub(crate) drained: bool,
    /// Consecutive steps without an effect that ended with a wake time in the past.
    pub(crate) idle_steps: u32,
    /// When its drain started; `None` without one.
    pub(crate) drain_start: Option<u64>,
    pub(crate) last_request: u64,
}

impl<I> Vm<I> {
    pub(crate) fn now(&self, at: u64) -> Now {
        Now {
            time: Time(at - self.started),
            wall: WallTime((START_WALL_MS + at / MS).saturating_add_signed(self.wall_offset_ms)),
        }
    }

    pub(crate) fn up(&self) -> bool {
        self.control.is_some() && !self.paused
    }
}

/// A start that a target executed.
#[derive(Clone, Debug)]
pub(crate) struct TaskStart {
    pub(crate) at: u64,
    /// When the leader sent it.
    pub(crate) sent_at: u64,
    pub(crate) target: TargetName,
    pub(crate) fencing: bool,
    pub(crate) attempt: AttemptId,
    pub(crate) payload: Payload,
}

/// The VM, incarnation and token of a call.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) vm: usize,
    pub(crate) incarnation: u64,
    pub(crate) token: u64,
}

/// A target as section 3 of the design page requires it.
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
    pub(crate) attempts: BTreeMap<AttemptId, AttemptState>,
    pub(crate) holds: Vec<(AttemptId, Caller)>,
}

/// How a target handles a call.
pub(crate) enum TargetAction {
    Answer(CallResult),
    /// Answers when the attempt ends, or after `HOLD_LIMIT`.
    Hold(AttemptId),
    /// Runs the task and answers as with `Hold`.
    Run(AttemptId, Payload),
    /// Answers this call and all held calls of the attempt.
    Ended(AttemptId, CallResult),
}

fn refused(reason: &str) -> TargetAction {
    TargetAction::Answer(CallResult::NotRun {
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

    /// Restarts under the next incarnation without any state.
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
            .filter(|state| matches!(state, AttemptState::Running))
            .count()
    }

    fn report(&self, id: &AttemptId) -> TargetAction {
        match &self.attempts[id] {
            AttemptState::Running => TargetAction::Hold(id.clone()),
            state => TargetAction::Answer(CallResult::State(state.clone())),
        }
    }

    pub(crate) fn call(&mut self, call: &Call) -> TargetAction {
        if call.incarnation != self.incarnation {
            return TargetAction::Answer(CallResult::Restarted);
        }
        match &call.action {
            Action::Start(start) => {
                let id = &start.attempt;
                if self.fencing && start.term < self.fence {
                    return refused("the term is below the fence");
                }
                match self.attempts.get(id) {
                    Some(AttemptState::Never) => return refused("the attempt was revoked"),
                    Some(_) => return self.report(id),
                    None => {}
                }
                if self.running() >= self.slots as usize {
                    return refused("no slot is free");
                }
                self.attempts.insert(id.clone(), AttemptState::Running);
                TargetAction::Run(id.clone(), start.payload.clone())
            }
            Action::Poll { attempt, .. } => match self.attempts.contains_key(attempt) {
                true => self.report(attempt),
                false => TargetAction::Answer(CallResult::State(AttemptState::Never)),
            },
            Action::Revoke { attempt } => {
                let state = self
                    .attempts
                    .entry(attempt.clone())
                    .or_insert(AttemptState::Never);
                TargetAction::Answer(CallResult::State(state.clone()))
            }
            Action::Stop { attempt } => {
                let state = self
                    .attempts
                    .entry(attempt.clone())
                    .or_insert(AttemptState::Never);
                if matches!(state, AttemptState::Running) {
                    *state = AttemptState::Failed {
                        message: "stopped".to_string(),
                    };
                    return TargetAction::Ended(attempt.clone(), CallResult::State(state.clone()));
                }
                TargetAction::Answer(CallResult::State(state.clone()))
            }
            Action::Fence { term, .. } => {
                if !self.fencing {
                    return TargetAction::Answer(CallResult::Broken {
                        reason: "unknown path".to_string(),
                    });
                }
                if *term < self.fence {
                    return refused("a higher term has set the fence");
                }
                self.fence = *term;
                TargetAction::Answer(CallResult::Fenced {
                    incarnation: self.incarnation,
                    attempts: self.attempts.clone().into_iter().collect(),
                })
            }
        }
    }
}

/// Result of a task.
pub(crate) fn task_result(task: &Payload) -> Payload {
    Payload::new([b"result of ", &task[..]].concat())
}

/// End of a task: an error for a `draw` below 0.02, a stop by the guard below 0.03, else its
/// result.
pub(crate) fn task_end(task: &Payload, draw: f64, service: u64) -> AttemptState {
    match draw {
        draw if draw < 0.02 => AttemptState::Failed {
            message: "bad input".to_string(),
        },
        draw if draw < 0.03 => AttemptState::Guard(greengage_core::GuardAction::Stopped),
        _ => AttemptState::Done {
            result: task_result(task),
            service: Duration::from_micros(service),
        },
    }
}
