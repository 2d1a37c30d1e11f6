//! The world: targets with leases, generations and room; callers; messages with delays.
//!
//! The world checks at each start that no task runs twice at a time and that no run is started by
//! a VM whose generation is not the target's highest.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use greengage_config::{Document, Limits, Queue, Service};
use greengage_core::{
    Address, Demand, Incarnation, Name, Payload, RequestId, TargetName, Time, Version, VmName,
    Wall, ZoneName,
};
use greengage_scheduler::{
    Candidate, Effect, End, EndKind, Event, HoldResult, Listing, Peer, PeerMessage, Reply,
    Scheduler, Setup, StartResult, Step, StopResult, Submission, TargetCall, TargetReport,
};

/// Trip to a target.
const TRIP: Duration = Duration::from_micros(600);
/// Trip between VMs.
const PEER_TRIP: Duration = Duration::from_micros(1400);
/// Longest lease that a target grants.
const MOST_LEASE: u64 = 1000;
/// How long a call may take before it counts as unanswered.
const REPORT_EVERY: Duration = Duration::from_millis(1500);
/// Silence after which VMs don't count as live.
const LOST_AFTER: Duration = Duration::from_millis(650);
/// When a caller that lost its VM submits its job again.
pub(crate) const RESUBMIT: Duration = Duration::from_millis(1300);

/// A small seeded generator (splitmix64).
pub(crate) struct Rng(pub(crate) u64);

impl Rng {
    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub(crate) fn below(&mut self, n: u64) -> u64 {
        self.next() % n
    }

    pub(crate) fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    /// A factor around 1 with about this spread, in percent.
    pub(crate) fn spread(&mut self, percent: u64) -> f64 {
        let sum: u64 = (0..4).map(|_| self.below(201)).sum();
        ((sum as f64 / 400.0 - 1.0) * 1.7 * percent as f64 / 100.0).exp()
    }
}

struct Run {
    task: Arc<str>,
    number: u32,
    began: Time,
    ends: Time,
    fails: bool,
    hangs: bool,
}

pub(crate) struct Target {
    pub(crate) name: TargetName,
    zone: ZoneName,
    pub(crate) speed: f64,
    pub(crate) life: u64,
    sequence: u64,
    pub(crate) up: bool,
    pub(crate) cut: bool,
    pub(crate) hangs: bool,
    pub(crate) fails: bool,
    /// Percent of orders that get no answer and are carried out late.
    pub(crate) late_orders: u64,
    generation: u64,
    lease: u64,
    runs: Vec<Run>,
    ends: Vec<End>,
    last_end: u64,
    stopped: BTreeMap<Arc<str>, u32>,
    waiting: Vec<(usize, Time, u64, u64)>,
    pub(crate) starts: u64,
}

pub(crate) struct Vm {
    pub(crate) scheduler: Scheduler,
    pub(crate) up: bool,
    pub(crate) frozen: bool,
    pub(crate) leaving: bool,
    pub(crate) life: u64,
    heard: Time,
    held_back: Vec<Event>,
}

/// What a caller sees.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) queue: usize,
    pub(crate) sent: Time,
    pub(crate) objective: Duration,
    pub(crate) patience: Duration,
    pub(crate) work: Vec<Duration>,
    pub(crate) vm: usize,
    pub(crate) answer: Option<(Time, Reply)>,
    pub(crate) tries: u32,
    declared: Duration,
    id: Name,
}

/// A call on its way to a target.
struct Delivery {
    vm: usize,
    life: u64,
    target: usize,
    /// The life of the target when the call was sent.
    born: u64,
    generation: u64,
    call: TargetCall,
    /// Whether its answer reaches the VM.
    answered: bool,
}

enum Act {
    Event(usize, u64, Event),
    Call(Delivery),
    Expire(usize, usize),
    Tick(usize),
    Report(usize),
    Peers,
    Submit(usize),
    HoldEnd(usize, u64),
}

pub(crate) struct World {
    pub(crate) now: Time,
    pub(crate) rng: Rng,
    pub(crate) vms: Vec<Vm>,
    pub(crate) targets: Vec<Target>,
    pub(crate) callers: Vec<Caller>,
    /// The VM whose zone is cut off: reports of its targets reach only it, and the others' not it.
    pub(crate) cut_zone: Option<usize>,
    /// A VM that doesn't count another one as live, though its messages arrive.
    pub(crate) unheard: Option<(usize, usize)>,
    /// Errands that each VM has started, by VM and by the VM that sent them.
    errands: BTreeMap<(usize, usize), usize>,
    /// Pairs of VMs that don't hear each other.
    pub(crate) cut: Vec<(usize, usize)>,
    queue: BTreeMap<(Time, u64), Act>,
    seq: u64,
    pub(crate) twice: Vec<String>,
    pub(crate) demand: u32,
}

pub(crate) fn document(version: u64) -> Arc<Document> {
    let queue = |name: &str, latency, priority| Queue {
        name: name.into(),
        host: "h".into(),
        prefix: format!("/{name}/").into(),
        service: "s".into(),
        timeout: Duration::from_millis(1500),
        latency: Duration::from_millis(latency),
        slack: 160,
        priority,
        attempts: 3,
        advised: false,
    };
    let document = Document {
        version: Version(version),
        queues: vec![queue("q0", 60, 0), queue("q1", 60, 2), queue("q2", 60, 1)],
        services: vec![Service {
            name: "s".into(),
            connections: 64,
        }],
        limits: Limits { body: 1 << 18 },
        source: Payload::new(Vec::new()),
    };
    Arc::new(document.verified().expect("a valid document"))
}

fn candidate(i: usize, zones: usize) -> Candidate {
    Candidate {
        vm: VmName::new(&format!("vm{i}")).unwrap(),
        zone: ZoneName::new(&format!("z{}", i % zones)).unwrap(),
        weight: 100,
    }
}

impl World {
    pub(crate) fn new(seed: u64, vms: usize, targets: usize) -> World {
        let zones = vms.min(3);
        let now = Time::from_millis(1000);
        let mut world = World {
            now,
            rng: Rng(seed),
            vms: Vec::new(),
            targets: Vec::new(),
            callers: Vec::new(),
            cut_zone: None,
            unheard: None,
            errands: BTreeMap::new(),
            cut: Vec::new(),
            queue: BTreeMap::new(),
            seq: 0,
            twice: Vec::new(),
            demand: 6800,
        };
        for i in 0..vms {
            let own = candidate(i, zones);
            world.vms.push(Vm {
                scheduler: Scheduler::new(
                    now,
                    Setup {
                        own,
                        life: Incarnation(1),
                    },
                ),
                up: true,
                frozen: false,
                leaving: false,
                life: 1,
                heard: now,
                held_back: Vec::new(),
            });
            world.later(
                Duration::ZERO,
                Act::Event(i, 1, Event::Configuration(document(1))),
            );
            world.later(Duration::from_millis(i as u64), Act::Tick(i));
        }
        for i in 0..targets {
            world.targets.push(Target {
                name: TargetName::new(&format!("t{i}")).unwrap(),
                zone: ZoneName::new(&format!("z{}", i % zones)).unwrap(),
                speed: [0.6, 1.0, 1.6][(i / zones) % 3],
                life: 1,
                sequence: 0,
                up: true,
                cut: false,
                hangs: false,
                fails: false,
                late_orders: 0,
                generation: 0,
                lease: 0,
                runs: Vec::new(),
                ends: Vec::new(),
                last_end: 0,
                stopped: BTreeMap::new(),
                waiting: Vec::new(),
                starts: 0,
            });
            world.later(Duration::from_millis(i as u64 % 100), Act::Report(i));
        }
        world.later(Duration::from_millis(1), Act::Peers);
        world.run(Duration::from_secs(2));
        world
    }

    fn later(&mut self, after: Duration, act: Act) {
        self.seq += 1;
        self.queue.insert((self.now + after, self.seq), act);
    }

    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            let (time, _) = *entry.key();
            if time > end {
                break;
            }
            self.now = time;
            let act = entry.remove();
            self.act(act);
        }
        self.now = end;
    }

    fn act(&mut self, act: Act) {
        match act {
            Act::Event(vm, life, event) => self.event(vm, life, event),
            Act::Call(delivery) => self.carry_out(delivery),
            Act::Expire(target, seq) => self.expire(target, seq),
            Act::Tick(vm) => {
                let life = self.vms[vm].life;
                if self.vms[vm].up && !self.vms[vm].frozen {
                    self.vms[vm].heard = self.now;
                }
                self.event(vm, life, Event::Tick);
                self.later(Duration::from_millis(20), Act::Tick(vm));
            }
            Act::Report(target) => self.report(target),
            Act::Peers => self.peers(),
            Act::Submit(caller) => self.submit_now(caller),
            Act::HoldEnd(target, number) => self.answer_hold(target, Some(number)),
        }
    }

    fn event(&mut self, vm: usize, life: u64, event: Event) {
        let state = &mut self.vms[vm];
        if !state.up || state.life != life {
            return;
        }
        if state.frozen {
            if !matches!(event, Event::Tick) {
                state.held_back.push(event);
            }
            return;
        }
        let wall = Wall(1_000_000 + self.now.0 / 1000);
        let sender = match &event {
            Event::Peer {
                from,
                message: PeerMessage::Run(_),
            } => Some(from.clone()),
            _ => None,
        };
        let effects = state.scheduler.step(self.now, wall, event);
        if let Some(other) = (0..self.vms.len()).find(|i| Some(candidate(*i, 3).vm) == sender) {
            let is_start = |effect: &&Effect| {
                matches!(
                    effect,
                    Effect::Call {
                        call: TargetCall::Start(_),
                        ..
                    }
                )
            };
            let starts = effects.iter().filter(is_start).count();
            *self.errands.entry((vm, other)).or_default() += starts;
        }
        for effect in effects {
            self.effect(vm, effect);
        }
    }

    fn effect(&mut self, vm: usize, effect: Effect) {
        match effect {
            Effect::Answer { request, reply } => self.answered(vm, request, reply),
            Effect::Call {
                target,
                generation,
                call,
                ..
            } => self.call(vm, &target, generation, call),
            Effect::Send { to, message } => self.send(vm, &to, message),
        }
    }

    fn send(&mut self, vm: usize, to: &VmName, message: PeerMessage) {
        let Some(other) = (0..self.vms.len()).find(|i| candidate(*i, 3).vm == *to) else {
            return;
        };
        if self.is_cut(vm, other) {
            return;
        }
        let from = candidate(vm, 3).vm;
        let life = self.vms[other].life;
        self.later(
            PEER_TRIP,
            Act::Event(other, life, Event::Peer { from, message }),
        );
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        self.cut.contains(&(a, b)) || self.cut.contains(&(b, a))
    }

    fn call(&mut self, vm: usize, name: &TargetName, generation: u64, call: TargetCall) {
        let target = self.targets.iter().position(|t| t.name == *name).unwrap();
        let (life, born) = (self.vms[vm].life, self.targets[target].life);
        let order = !matches!(call, TargetCall::Hold(_));
        let lost = order && self.rng.chance(self.targets[target].late_orders);
        let limit = call.limit();
        let unreachable = self.targets[target].cut || !self.targets[target].up;
        if lost || unreachable {
            let unanswered = self.unanswered(name, generation, &call);
            self.later(limit, Act::Event(vm, life, unanswered));
        }
        if !unreachable {
            let delay = match lost {
                true => Duration::from_millis(300 + self.rng.below(3000)),
                false => TRIP,
            };
            let answered = !lost;
            self.later(
                delay,
                Act::Call(Delivery {
                    vm,
                    life,
                    target,
                    born,
                    generation,
                    call,
                    answered,
                }),
            );
        }
    }

    fn unanswered(&self, name: &TargetName, generation: u64, call: &TargetCall) -> Event {
        let target = name.clone();
        match call {
            TargetCall::Start(c) => Event::Started {
                target,
                task: c.task.clone(),
                number: c.number,
                result: StartResult::Unknown,
            },
            TargetCall::Stop(c) => Event::Stopped {
                target,
                task: c.task.clone(),
                number: c.number,
                result: StopResult::Unknown,
            },
            TargetCall::Hold(_) => Event::Held {
                target,
                generation,
                result: HoldResult::Unknown,
            },
        }
    }

    fn clock(&self) -> u64 {
        self.now.0 / 1000
    }

    fn carry_out(&mut self, delivery: Delivery) {
        let Delivery {
            vm,
            life,
            target: index,
            born,
            generation,
            call,
            answered,
        } = delivery;
        self.lapse(index);
        let clock = self.clock();
        let target = &mut self.targets[index];
        if !target.up || target.cut {
            return;
        }
        let name = target.name.clone();
        if target.life != born {
            return;
        }
        let fenced = generation < target.generation;
        target.generation = target.generation.max(generation);
        let event = match call {
            TargetCall::Start(c) => {
                let result = match fenced {
                    true => StartResult::Fenced,
                    false => self.start(index, &c.task, c.number, c.lease, clock),
                };
                Event::Started {
                    target: name,
                    task: c.task,
                    number: c.number,
                    result,
                }
            }
            TargetCall::Stop(c) => {
                let result = match fenced {
                    true => StopResult::Fenced,
                    false => {
                        let last = target.stopped.entry(c.task.clone()).or_default();
                        *last = (*last).max(c.number);
                        self.end(index, &c.task, c.number, EndKind::Stopped);
                        StopResult::Done
                    }
                };
                Event::Stopped {
                    target: name,
                    task: c.task,
                    number: c.number,
                    result,
                }
            }
            TargetCall::Hold(c) => {
                if fenced {
                    Event::Held {
                        target: name,
                        generation,
                        result: HoldResult::Fenced,
                    }
                } else {
                    target.ends.retain(|end| end.number > c.observed);
                    if let Some(lease) = c.lease {
                        target.lease = target.lease.max(lease.min(clock + MOST_LEASE));
                    }
                    self.seq += 1;
                    let number = self.seq;
                    let target = &mut self.targets[index];
                    target.waiting.push((vm, self.now, generation, number));
                    let now = target.ends.is_empty() && !c.wait.is_zero();
                    match now {
                        true => self.later(c.wait, Act::HoldEnd(index, number)),
                        false => self.answer_hold(index, Some(number)),
                    }
                    return;
                }
            }
        };
        if answered {
            self.later(TRIP, Act::Event(vm, life, event));
        }
    }

    fn start(
        &mut self,
        index: usize,
        task: &Arc<str>,
        number: u32,
        lease: u64,
        clock: u64,
    ) -> StartResult {
        let target = &mut self.targets[index];
        if lease <= clock {
            return StartResult::Late;
        }
        target.lease = target.lease.max(lease.min(clock + MOST_LEASE));
        if target.stopped.get(task).is_some_and(|last| *last >= number) {
            return StartResult::OldNumber;
        }
        if target
            .runs
            .iter()
            .any(|run| run.task == *task && run.number == number)
        {
            return StartResult::Running { clock };
        }
        let used = target.runs.len() as u32 * self.demand;
        if used + self.demand > 16_000 {
            return StartResult::NoRoom;
        }
        target.starts += 1;
        let (id, task_index) = task.split_once(".0.0.").expect("a task's name");
        let caller = self.callers.iter().find(|c| c.id.as_str() == id).unwrap();
        let work = caller.work[task_index.parse::<usize>().unwrap()];
        let speed = target.speed;
        let run = Run {
            task: task.clone(),
            number,
            began: self.now,
            ends: self.now + work.div_f64(speed),
            fails: target.fails || (caller.queue == 9),
            hangs: target.hangs,
        };
        let after = if run.fails {
            Duration::from_millis(5)
        } else {
            run.ends.since(self.now)
        };
        let hangs = run.hangs;
        target.runs.push(run);
        self.seq += 1;
        if !hangs {
            let ends = self.now + after;
            let target = &mut self.targets[index];
            target.runs.last_mut().unwrap().ends = ends;
            self.later(after, Act::Expire(index, number as usize));
        }
        let running: usize = (0..self.targets.len())
            .map(|i| {
                self.lapse(i);
                let target = &self.targets[i];
                let up = target.up;
                target
                    .runs
                    .iter()
                    .filter(|run| up && run.task == *task)
                    .count()
            })
            .sum();
        if running > 1 {
            self.twice
                .push(format!("{task} run {number} at {:?}", self.now));
        }
        StartResult::Running { clock }
    }

    /// Ends the runs whose time has come.
    fn expire(&mut self, index: usize, _seq: usize) {
        self.lapse(index);
        let now = self.now;
        let over: Vec<(Arc<str>, u32, bool)> = self.targets[index]
            .runs
            .iter()
            .filter(|run| !run.hangs && now >= run.ends)
            .map(|run| (run.task.clone(), run.number, run.fails))
            .collect();
        for (task, number, fails) in over {
            let kind = if fails {
                EndKind::Failed
            } else {
                EndKind::Done
            };
            self.end(index, &task, number, kind);
        }
    }

    fn end(&mut self, index: usize, task: &Arc<str>, number: u32, kind: EndKind) {
        let target = &mut self.targets[index];
        let at = target
            .runs
            .iter()
            .position(|run| run.task == *task && run.number == number);
        let Some(at) = at else {
            return;
        };
        target.runs.remove(at);
        let last = target.stopped.entry(task.clone()).or_default();
        *last = (*last).max(number);
        target.last_end += 1;
        target.ends.push(End {
            number: target.last_end,
            task: task.clone(),
            run: number,
            kind,
        });
        self.answer_hold(index, None);
    }

    /// Ends all runs once the lease is over.
    fn lapse(&mut self, index: usize) {
        let clock = self.clock();
        if self.targets[index].lease <= clock {
            while let Some(run) = self.targets[index].runs.first() {
                let (task, number) = (run.task.clone(), run.number);
                self.end(index, &task, number, EndKind::Stopped);
            }
        }
    }

    fn answer_hold(&mut self, index: usize, only: Option<u64>) {
        let (clock, now) = (self.clock(), self.now);
        let target = &mut self.targets[index];
        let (answered, kept): (Vec<_>, Vec<_>) = target
            .waiting
            .drain(..)
            .partition(|(.., number)| only.is_none_or(|o| o == *number));
        target.waiting = kept;
        let percent = |run: &Run| match run.hangs {
            true => 0,
            false => {
                let total = run.ends.since(run.began).as_micros().max(1);
                (now.since(run.began).as_micros() * 100 / total).min(99) as u32
            }
        };
        let running: Vec<Listing> = target
            .runs
            .iter()
            .map(|run| Listing {
                task: run.task.clone(),
                run: run.number,
                percent: percent(run),
            })
            .collect();
        let result = HoldResult::Lists {
            clock,
            life: Some(Incarnation(target.life)),
            running,
            ended: target.ends.clone(),
        };
        let (name, silent) = (target.name.clone(), target.cut || !target.up);
        for (vm, _, generation, _) in answered {
            let life = self.vms[vm].life;
            let result = match silent {
                true => HoldResult::Unknown,
                false => result.clone(),
            };
            let event = Event::Held {
                target: name.clone(),
                generation,
                result,
            };
            let delay = if silent {
                Duration::from_millis(400)
            } else {
                TRIP
            };
            self.later(delay, Act::Event(vm, life, event));
        }
    }

    fn report(&mut self, index: usize) {
        self.later(REPORT_EVERY, Act::Report(index));
        let target = &mut self.targets[index];
        if !target.up || target.cut {
            return;
        }
        target.sequence += 1;
        let report = TargetReport {
            target: target.name.clone(),
            service: "s".into(),
            address: Address::new(&format!("{}:1", target.name)).unwrap(),
            zone: target.zone.clone(),
            capacity: Demand {
                milli_cores: 16_000,
                memory_mib: 65_536,
                accelerators: 0,
            },
            labels: Vec::new(),
            draining: false,
            life: Incarnation(target.life),
            sequence: target.sequence,
        };
        for vm in 0..self.vms.len() {
            let inside = |zone: usize| report.zone == candidate(zone, 3).zone;
            if self
                .cut_zone
                .is_some_and(|zone| inside(zone) != (vm == zone))
            {
                continue;
            }
            let life = self.vms[vm].life;
            self.later(
                PEER_TRIP,
                Act::Event(vm, life, Event::Report(report.clone())),
            );
        }
    }

    fn peers(&mut self) {
        self.later(Duration::from_millis(100), Act::Peers);
        for vm in 0..self.vms.len() {
            let mut peers = Vec::new();
            for other in 0..self.vms.len() {
                let heard = self.now.since(self.vms[other].heard) < LOST_AFTER;
                let unheard = self.unheard == Some((vm, other));
                if other != vm && heard && !unheard && !self.is_cut(vm, other) {
                    peers.push(Peer {
                        own: candidate(other, 3),
                        life: Incarnation(self.vms[other].life),
                        leaving: self.vms[other].leaving,
                    });
                }
            }
            let life = self.vms[vm].life;
            self.event(vm, life, Event::Peers(peers));
        }
    }

    /// A caller submits a job of tasks with this work; declared times are off.
    pub(crate) fn submit(&mut self, vm: usize, queue: usize, work: Vec<Duration>) -> usize {
        let longest = work.iter().max().copied().unwrap();
        let objective = longest * 8 / 5 + Duration::from_millis(60);
        let mean = work.iter().sum::<Duration>() / work.len() as u32;
        let declared = mean.mul_f64(self.rng.spread(40));
        let id = Name::new(&format!("j{}", self.callers.len())).unwrap();
        self.callers.push(Caller {
            queue,
            sent: self.now,
            objective,
            patience: (objective * 3).max(Duration::from_millis(1500)),
            work,
            vm,
            answer: None,
            tries: 0,
            declared,
            id,
        });
        let caller = self.callers.len() - 1;
        self.submit_now(caller);
        caller
    }

    pub(crate) fn submit_now(&mut self, index: usize) {
        let caller = &mut self.callers[index];
        if caller.answer.is_some() {
            return;
        }
        caller.tries += 1;
        let mut vm = caller.vm;
        while !self.vms[vm].up {
            vm = (vm + 1) % self.vms.len();
        }
        caller.vm = vm;
        let queue = caller.queue % 3;
        let job = Submission {
            request: RequestId(index as u64 + 1),
            host: "h".into(),
            path: format!("/q{queue}/{}", caller.id).into(),
            id: caller.id.clone(),
            spec: "work".into(),
            steps: vec![Step {
                count: caller.work.len() as u32,
                demand: Demand {
                    milli_cores: self.demand,
                    memory_mib: 64,
                    accelerators: 0,
                },
                expected: caller.declared,
                after: Vec::new(),
                label: None,
            }],
            patience: caller.patience,
            missing: None,
        };
        let life = self.vms[vm].life;
        self.later(
            Duration::from_millis(3),
            Act::Event(vm, life, Event::Submit(job)),
        );
    }

    fn answered(&mut self, vm: usize, request: RequestId, reply: Reply) {
        let now = self.now;
        let caller = &mut self.callers[request.0 as usize - 1];
        if caller.vm == vm && caller.answer.is_none() {
            caller.answer = Some((now, reply));
        }
    }

    /// Kills a VM; its callers notice and submit again elsewhere.
    pub(crate) fn kill(&mut self, vm: usize) {
        if !self.vms[vm].up {
            return;
        }
        self.vms[vm].up = false;
        self.vms[vm].held_back.clear();
        self.vms[vm].life += 1;
        let orphans: Vec<usize> = (0..self.callers.len())
            .filter(|i| self.callers[*i].vm == vm && self.callers[*i].answer.is_none())
            .collect();
        for caller in orphans {
            self.later(RESUBMIT, Act::Submit(caller));
        }
    }

    /// Asks a VM to shut down; it stays until its work is done.
    pub(crate) fn leave(&mut self, vm: usize) {
        self.vms[vm].leaving = true;
        let life = self.vms[vm].life;
        self.event(vm, life, Event::Leave);
    }

    pub(crate) fn restart(&mut self, vm: usize) {
        let own = candidate(vm, self.vms.len().min(3));
        let state = &mut self.vms[vm];
        if !state.up {
            let life = state.life;
            let setup = Setup {
                own,
                life: Incarnation(life),
            };
            state.scheduler = Scheduler::new(self.now, setup);
            state.up = true;
            self.later(
                Duration::ZERO,
                Act::Event(vm, life, Event::Configuration(document(1))),
            );
        }
    }

    /// Lets a frozen VM go on with all that has arrived.
    pub(crate) fn thaw(&mut self, vm: usize) {
        self.vms[vm].frozen = false;
        let life = self.vms[vm].life;
        for event in std::mem::take(&mut self.vms[vm].held_back) {
            self.event(vm, life, event);
        }
    }

    /// Crashes a target; it returns under its name as another life.
    pub(crate) fn crash(&mut self, index: usize) {
        let target = &mut self.targets[index];
        target.up = false;
        target.runs.clear();
        target.ends.clear();
        target.stopped.clear();
        (target.generation, target.lease, target.last_end) = (0, 0, 0);
        target.waiting.clear();
    }

    pub(crate) fn revive(&mut self, index: usize) {
        let target = &mut self.targets[index];
        if !target.up {
            target.up = true;
            target.life += 1;
            target.sequence = 0;
        }
    }

    /// How many starts `vm` has sent for errands of `other`.
    pub(crate) fn targets_of_errands(&self, vm: usize, other: usize) -> usize {
        self.errands.get(&(vm, other)).copied().unwrap_or(0)
    }

    /// The callers that were answered with success within their objective, and all.
    pub(crate) fn in_time(&self, queue: usize) -> (usize, usize) {
        let of_queue = || self.callers.iter().filter(|c| c.queue == queue);
        let served = of_queue().filter(|c| match &c.answer {
            Some((at, Reply::Completed)) => at.since(c.sent) <= c.objective,
            _ => false,
        });
        (served.count(), of_queue().count())
    }
}
