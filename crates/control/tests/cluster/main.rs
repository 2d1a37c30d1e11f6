//! Randomised test of several VMs' control state with simulated networks, disks and targets that
//! fail. The whole history is checked, and the state after all faults have ended.
//!
//! `GREENGAGE_SEED` sets the first seed, `GREENGAGE_CASES` the number of runs.

mod checker;
mod events;
mod fakes;
mod faults;
mod requests;
mod traffic;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use greengage_agreement::{Change, ChangeError, MemberRole};
use greengage_control::api::{ApiError, Group, NewJob, NewRequest, Reply, Request};
use greengage_control::call::{Action, AttemptState, Call, CallResult};
use greengage_control::{Body, Control, Effect, Envelope, Event, Limits, Roles, Site, VmSpec};
use greengage_core::{
    AccountName, Demand, Digest, Incarnation, JobKey, Name, NodeId, OpId, Payload, RequestId,
    Revision, SortedMap, Spread, TargetKind, TemplateName, Version, VmName, ZoneName,
};
use greengage_policy as policy;
use greengage_policy::{Document, Params, Template};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use checker::{Checker, OpenRequest, RequestKind};
use fakes::{task_end, Caller, Disk, Target, TargetAction, TaskStart, Vm, HOLD_LIMIT, MS, SEC};

/// Time limit of a drain without faults, in microseconds: a job's deadline plus a target's lease
/// and grace period.
const DRAIN_LIMIT: u64 = 20 * SEC;
/// Duration of the phase with faults, in microseconds of model time.
const FAULT_PERIOD: u64 = 40 * SEC;
/// Time after the last fault by which all VMs must have the same revision, in microseconds.
const CONVERGENCE_LIMIT: u64 = 6 * SEC;
/// Time after the last fault by which every submission must be closed, in microseconds: leader
/// election, fence timeout, the targets' lease and grace period, the jobs' deadline and one resend.
const ANSWER_LIMIT: u64 = 30 * SEC;
/// Time after the last fault by which no state of finished work may be left, in microseconds:
/// callers are kept for some time after the last answer.
const CLEANUP_LIMIT: u64 = ANSWER_LIMIT + 20 * SEC;

/// An event of the simulation.
enum SimEvent {
    Wake {
        vm: usize,
        incarnation: u64,
    },
    /// An effect is carried out, unless its process has ended.
    RunEffect {
        vm: usize,
        incarnation: u64,
        effect: Effect,
    },
    Message {
        from: usize,
        to: usize,
        envelope: Arc<Envelope>,
    },
    SaveDone {
        vm: usize,
        incarnation: u64,
    },
    /// A call arrives at its target; `answered` is false if its answer is lost.
    Arrive {
        caller: Caller,
        sent_at: u64,
        call: Call,
        answered: bool,
    },
    CallEnded {
        caller: Caller,
        result: CallResult,
    },
    Finish {
        target: usize,
        incarnation: Incarnation,
        attempt: greengage_core::AttemptId,
        state: AttemptState,
    },
    HoldEnd {
        target: usize,
        token: u64,
    },
    Announce {
        target: usize,
    },
    /// A random caller request, and sometimes a fault.
    Random,
    Resume {
        vm: usize,
    },
    Start {
        vm: usize,
    },
    /// Ends a partition.
    HealLinks,
    Repair,
}

/// Membership changes left for the replacement of a lost disk.
struct Repair {
    changes: Vec<(Group, Change)>,
    pending: Option<(usize, u64, RequestId)>,
}

struct Simulation {
    rng: StdRng,
    now: u64,
    sequence: u64,
    queue: BTreeMap<(u64, u64), SimEvent>,
    steps: u64,
    vms: Vec<Vm<SimEvent>>,
    targets: Vec<Target>,
    cut_links: BTreeSet<(usize, usize)>,
    /// Probability that a message is lost; a call fails with half of it.
    loss_rate: f64,
    /// When a VM was last down, or a link cut or lossy.
    last_disturbed: u64,
    /// Since when each isolated VM is cut off from all others.
    isolated: BTreeMap<usize, u64>,
    faults_active: bool,
    checker: Checker,
    /// Requests without a reply, by VM, incarnation and request id.
    open: BTreeMap<(usize, u64, RequestId), OpenRequest>,
    submitted: Vec<(JobKey, Request, u8)>,
    edits: Vec<(u64, Request)>,
    versions: BTreeMap<String, Version>,
    revisions: Vec<Revision>,
    repair: Option<Repair>,
    last_id: u64,
    trace: bool,
}

fn name<T>(text: &str, make: impl Fn(&str) -> Result<T, greengage_core::NameError>) -> T {
    make(text).unwrap()
}

/// A VM as (name, zone, votes in the control group, votes in its ledger group, witness of zones).
type VmRow = (
    &'static str,
    &'static str,
    bool,
    bool,
    &'static [&'static str],
);
/// A zone of two ledger voters, a witness in another zone and an entry VM; two zones of one voter.
const THREE_ZONES: &[VmRow] = &[
    ("a1", "a", true, true, &[]),
    ("a2", "a", false, true, &[]),
    ("a3", "a", false, false, &[]),
    ("b1", "b", true, true, &["a"]),
    ("c1", "c", true, true, &[]),
];
/// A zone of three voters; a zone of two voters with a witness, and an entry VM.
const TWO_ZONES: &[VmRow] = &[
    ("a1", "a", true, true, &["b"]),
    ("a2", "a", false, true, &[]),
    ("a3", "a", true, true, &[]),
    ("b1", "b", true, true, &[]),
    ("b2", "b", false, true, &[]),
    ("b3", "b", false, false, &[]),
];
/// A zone of two voters and an entry VM; a zone of one voter, which is the witness of the other.
const FOUR_VMS: &[VmRow] = &[
    ("a1", "a", true, true, &[]),
    ("a2", "a", true, true, &[]),
    ("a3", "a", false, false, &[]),
    ("b1", "b", true, true, &["a"]),
];

fn site(rows: &[VmRow], vm: usize, folder: Option<u64>, incarnation: u64, seed: u64) -> Site {
    let spec = |row: &VmRow| {
        let roles = Roles {
            control: row.2,
            ledger: row.3,
            witness: row.4.iter().map(|zone| name(zone, ZoneName::new)).collect(),
        };
        let zone = name(row.1, ZoneName::new);
        (name(row.0, VmName::new), VmSpec { zone, roles })
    };
    Site {
        vm: name(rows[vm].0, VmName::new),
        vms: rows.iter().map(spec).collect(),
        folder,
        incarnation: Incarnation(incarnation),
        weight: 1,
        seed: seed.wrapping_add(incarnation * 1000 + vm as u64 * 10),
        limits: Limits {
            compact_after: 40,
            max_edits: 8,
            ..Limits::default()
        },
    }
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut rng = StdRng::seed_from_u64(seed);
        let rows = *[THREE_ZONES, TWO_ZONES, FOUR_VMS].choose(&mut rng).unwrap();
        let vm = |vm: usize| {
            let row = &rows[vm];
            let folder = (row.2 || row.3 || !row.4.is_empty()).then_some(0);
            let site = site(rows, vm, folder, 1, seed);
            site.verify().unwrap();
            let disk = Disk::new(&site);
            Vm {
                site,
                control: None,
                incarnation: 0,
                started: 0,
                wall_offset_ms: 0,
                disk,
                paused: false,
                held_events: Vec::new(),
                drained: false,
                drain_start: None,
                idle_steps: 0,
                last_request: 0,
            }
        };
        let vms: Vec<Vm<SimEvent>> = (0..rows.len()).map(vm).collect();
        let mut targets = Vec::new();
        for (n, zone) in vms[0].site.zones().into_iter().cycle().take(7).enumerate() {
            targets.push(Target::new(n, zone, n != 6));
        }
        let mut simulation = Simulation {
            rng,
            now: 0,
            sequence: 0,
            queue: BTreeMap::new(),
            steps: 0,
            targets,
            cut_links: BTreeSet::new(),
            loss_rate: 0.0,
            last_disturbed: 0,
            isolated: BTreeMap::new(),
            faults_active: false,
            checker: Checker::default(),
            open: BTreeMap::new(),
            submitted: Vec::new(),
            edits: Vec::new(),
            versions: BTreeMap::new(),
            revisions: vec![Revision(0); vms.len()],
            vms,
            repair: None,
            last_id: 0,
            trace: std::env::var("GREENGAGE_TRACE").is_ok(),
        };
        for vm in 0..simulation.vms.len() {
            simulation.start(vm);
        }
        for target in 0..simulation.targets.len() {
            simulation.schedule(target as u64 * MS, SimEvent::Announce { target });
        }
        simulation
    }

    fn schedule(&mut self, after: u64, sim_event: SimEvent) {
        self.sequence += 1;
        self.queue
            .insert((self.now + after, self.sequence), sim_event);
    }

    fn chance(&mut self, share: f64) -> bool {
        self.rng.random_bool(share)
    }

    fn trace_event(&self, what: impl FnOnce() -> String) {
        if self.trace {
            eprintln!("{:>10.3} {}", self.now as f64 / 1000.0, what());
        }
    }

    // VMs.

    fn start(&mut self, vm: usize) {
        if self.vms[vm].control.is_some() {
            return;
        }
        self.trace_event(|| format!("vm {vm} starts"));
        let now = self.now;
        let v = &mut self.vms[vm];
        v.incarnation += 1;
        v.started = now;
        v.paused = false;
        v.drained = false;
        v.drain_start = None;
        v.last_request = 0;
        v.site.incarnation = Incarnation(v.incarnation);
        v.site.seed = v.site.seed.wrapping_add(1000);
        let control = Control::new(v.site.clone(), v.disk.durable(), v.now(now));
        if v.site.folder.is_none() {
            self.revisions[vm] = Revision(0);
        }
        v.control = Some(control);
        let incarnation = v.incarnation;
        self.schedule(0, SimEvent::Wake { vm, incarnation });
    }

    fn crash(&mut self, vm: usize) {
        self.trace_event(|| format!("vm {vm} crashes"));
        let synced = self.rng.random_range(0..4);
        let v = &mut self.vms[vm];
        v.control = None;
        v.paused = false;
        v.held_events.clear();
        for _ in 0..synced {
            v.disk.sync();
        }
        v.disk.crash();
        let incarnation = v.incarnation;
        self.open.retain(|(owner, owner_incarnation, _), _| {
            (*owner, *owner_incarnation) != (vm, incarnation)
        });
    }

    fn step(&mut self, vm: usize, event: Event) {
        let now = self.now;
        let v = &mut self.vms[vm];
        let (incarnation, time) = (v.incarnation, v.now(now));
        let Some(control) = &mut v.control else {
            return;
        };
        self.steps += 1;
        let effects = control.step(time, event);
        control
            .verify()
            .unwrap_or_else(|error| panic!("vm {vm}: {error}"));
        let revision = control.revision();
        let wake = control.next_wake();
        let idle = wake <= time.time && effects.is_empty();
        v.idle_steps = if idle { v.idle_steps + 1 } else { 0 };
        assert!(v.idle_steps < 3, "vm {vm} wakes without work");
        let wake = wake.0.max(time.time.0 + 1) - time.time.0;
        assert!(
            revision >= self.revisions[vm],
            "(8) vm {vm} goes back from {} to {revision}",
            self.revisions[vm]
        );
        self.revisions[vm] = revision;
        self.schedule(wake, SimEvent::Wake { vm, incarnation });
        for effect in effects {
            match effect {
                Effect::Reply { id, reply } => self.reply(vm, id, reply),
                Effect::Send { .. } | Effect::Call { .. } => {
                    let after = self.rng.random_range(1..200);
                    self.schedule(
                        after,
                        SimEvent::RunEffect {
                            vm,
                            incarnation,
                            effect,
                        },
                    );
                }
                Effect::Save(save) => self.save(vm, save),
                Effect::Drained => {
                    let left: Vec<_> = self
                        .open
                        .range((vm, incarnation, RequestId(0))..(vm, incarnation + 1, RequestId(0)))
                        .collect();
                    assert!(
                        left.is_empty(),
                        "(7) vm {vm} drained without an answer to {left:?}"
                    );
                    self.vms[vm].drained = true;
                }
            }
        }
    }

    fn save(&mut self, vm: usize, save: greengage_control::GroupSave) {
        let slow = self.faults_active && self.chance(0.01);
        let duration_us = if slow {
            150 * MS
        } else {
            self.rng.random_range(MS..6 * MS)
        };
        let now = self.now;
        let v = &mut self.vms[vm];
        assert!(v.site.folder.is_some(), "save on a VM without a disk");
        v.disk.save(save);
        v.disk.busy_until = v.disk.busy_until.max(now) + duration_us;
        let (after, incarnation) = (v.disk.busy_until - now, v.incarnation);
        self.schedule(after, SimEvent::SaveDone { vm, incarnation });
    }

    fn setup(&mut self) {
        self.run_until(3 * SEC);
        for document in ["job", "ping", "x", "y"] {
            self.edit(document);
        }
        self.run_until(4 * SEC);
        for template in ["job", "ping"] {
            for account in ["acme", "beta"] {
                let params = Params {
                    weight: 1,
                    quota: 60,
                    concurrency: 30,
                    burst: 10,
                    deadline_ms: None,
                    values: SortedMap::new(),
                };
                let document = Document::Params {
                    template: name(template, TemplateName::new),
                    account: name(account, AccountName::new),
                    content: Some(params),
                };
                self.edit_to(&format!("{template}/{account}"), document);
            }
        }
        self.run_until(5 * SEC);
        assert!(
            self.open.is_empty(),
            "unanswered without faults: {:?}",
            self.open
        );
        assert_eq!(self.checker.applied, 8);
    }

    fn heal(&mut self) {
        self.trace_event(|| "healing".to_string());
        self.faults_active = false;
        self.loss_rate = 0.0;
        self.cut_links.clear();
        self.isolated.clear();
        for vm in 0..self.vms.len() {
            self.resume(vm);
            if self.vms[vm].drain_start.is_some() {
                self.crash(vm);
            }
            self.start(vm);
            self.vms[vm].wall_offset_ms = 0;
        }
        for n in 0..self.targets.len() {
            self.restart_target(n);
        }
    }

    fn run(&mut self) {
        self.setup();
        self.faults_active = true;
        self.schedule(0, SimEvent::Random);
        self.run_until(self.now + FAULT_PERIOD);
        self.heal();
        let healed = self.now;
        self.run_until(healed + CONVERGENCE_LIMIT);
        let revisions = &self.revisions;
        assert!(
            revisions.iter().all(|revision| *revision == revisions[0]),
            "(8) revisions after healing: {revisions:?}"
        );
        assert!(
            revisions[0] >= self.checker.acknowledged,
            "(8) {revisions:?}, acknowledged {}",
            self.checker.acknowledged
        );
        while self.now < healed + ANSWER_LIMIT {
            for (key, request, content) in self.submitted.clone() {
                if self.checker.open().contains(&key) {
                    self.send_submission(key, request, content);
                }
            }
            self.run_until(self.now + 6 * SEC);
        }
        let open = self.checker.open();
        assert!(open.is_empty(), "(9) submissions without an end: {open:?}");
        assert!(self.repair.is_none(), "(9) the repair did not finish");
        for vm in 0..self.vms.len() {
            self.request(vm, RequestKind::Other, Request::Ready);
        }
        self.run_until(healed + CLEANUP_LIMIT);
        assert!(
            self.open
                .values()
                .all(|open| matches!(open.kind, RequestKind::Other)
                    && open.issued_at + SEC > self.now),
            "(9) {:?}",
            self.open
        );
        for (n, vm) in self.vms.iter().enumerate() {
            let left = vm.control.as_ref().unwrap().unfinished_counts();
            assert!(left.is_empty(), "(9) left over at vm {n}: {left:?}");
        }
    }
}

fn variable(name: &str, default: u64) -> u64 {
    match std::env::var(name) {
        Ok(text) => text
            .parse()
            .unwrap_or_else(|_| panic!("{name} is not a number: {text}")),
        Err(_) => default,
    }
}

/// Guards against every fault that breaks a guarantee of section 1 of the design page; the numbers
/// in the assertions are those of the guarantees.
#[test]
fn guarantees_hold_under_faults() {
    let first = variable("GREENGAGE_SEED", 1);
    let mut total = [0u64; 7];
    for seed in first..first + variable("GREENGAGE_CASES", 10) {
        eprintln!("seed {seed}");
        let mut simulation = Simulation::new(seed);
        simulation.run();
        let c = &simulation.checker;
        let counts = [
            simulation.steps,
            c.starts,
            c.replies,
            c.completed,
            c.refusals,
            c.unknown,
            c.applied,
        ];
        total
            .iter_mut()
            .zip(counts)
            .for_each(|(sum, count)| *sum += count);
    }
    let [steps, starts, replies, completed, refusals, unknown, applied] = total;
    eprintln!("{steps} steps, {starts} starts, {replies} replies, {completed} ends heard, {refusals} refusals, {unknown} unknown, {applied} edits");
    assert!(
        starts > 0 && completed > 0,
        "no start or no outcome in any run"
    );
}
