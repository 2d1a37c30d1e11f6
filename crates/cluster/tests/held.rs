//! Two entry VMs whose link holds messages for seconds and then lets go of them.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use greengage_cluster::scheduler::{
    EndKind, Event as SchedulerEvent, HoldResult, RunEnd, RunListing, StartResult, Step,
    StopResult, Submission, TargetCall,
};
use greengage_cluster::{gossip, Cluster, Effect, Event, Message, Outcome, Setup};
use greengage_config::{Document, Limits, Queue, Service};
use greengage_core::{
    Address, Demand, Incarnation, Name, RequestId, TargetName, Time, VmName, WallTime, ZoneName,
};
use greengage_scheduler::Reply;

/// Longest time after the end of its job at the VM that has offloaded it in which a task may start.
const LATE_START_BOUND_MS: u64 = 450;
/// One-way latency between the VMs, and between a VM and the target.
const LATENCY_MS: u64 = 2;
/// Run time of each task.
const RUN_MS: u64 = 300;
/// Time after a hold in which no connection is opened: an attempt has to time out first, and the
/// next one follows after a delay.
const CONNECT_DELAY_MS: u64 = 190;
/// Start of the hold.
const HOLD_START_MS: u64 = 5000;

/// The VM that takes jobs, and the one that owns the target.
const SENDER: usize = 0;
const OWNER: usize = 1;

fn address(vm: usize) -> Address {
    Address::new(&format!("10.0.0.{vm}:7700")).unwrap()
}

fn setup(vm: usize, incarnation: u64) -> Setup {
    let mut setup = support::entry_setup();
    setup.member.vm = VmName::new(&format!("10.0.0.{vm}")).unwrap();
    setup.member.zone = ZoneName::new(["b", "a"][vm]).unwrap();
    setup.member.address = address(vm);
    setup.member.incarnation = Incarnation(incarnation);
    setup.seeds = vec![address(1 - vm)];
    let scheduler = setup.scheduler.as_mut().unwrap();
    scheduler.candidate.vm = setup.member.vm.clone();
    scheduler.candidate.zone = setup.member.zone.clone();
    scheduler.incarnation = setup.member.incarnation;
    setup
}

fn document() -> Arc<Document> {
    Arc::new(Document {
        queues: vec![Queue {
            name: "q".into(),
            host: "h".into(),
            prefix: "/q/".into(),
            service: "desk".into(),
            timeout: Duration::from_secs(30),
            latency: Duration::from_secs(1),
            slack_percent: 300,
            priority: 0,
            max_attempts: 3,
            uses_advisor: false,
        }],
        services: vec![Service {
            name: "desk".into(),
            max_connections: 64,
        }],
        limits: Limits {
            max_body_bytes: 1000,
        },
        ..(*support::document(1)).clone()
    })
}

struct Run {
    task: Arc<str>,
    number: u32,
    end_ms: u64,
}

/// The target, which answers each call after `LATENCY_MS` and each hold at once or after 20 ms.
#[derive(Default)]
struct Target {
    runs: Vec<Run>,
    ends: Vec<RunEnd>,
    ended: u64,
}

impl Target {
    fn end(&mut self, index: usize, kind: EndKind) {
        let run = self.runs.remove(index);
        self.ended += 1;
        self.ends.push(RunEnd {
            number: self.ended,
            task: run.task,
            run: run.number,
            kind,
        });
    }
}

/// Bytes of a process that are on their way, in order.
struct Connection {
    from: usize,
    /// Whether it was opened while the link held messages, so that messages are lost until another
    /// attempt succeeds.
    blocked: bool,
    queue: Vec<(gossip::Stamp, Message)>,
}

struct World {
    ms: u64,
    vms: [Cluster; 2],
    /// The time from which each VM's clock counts.
    clock_offsets: [u64; 2],
    events: BTreeMap<(u64, u64), (usize, Event)>,
    last_event: u64,
    /// The connections; the last one of each VM is the current one.
    connections: Vec<Connection>,
    /// Times at which the link holds messages.
    hold: std::ops::Range<u64>,
    /// Time between two held messages that arrive after the hold.
    gap_ms: u64,
    target: Target,
    /// Task and time of each start call.
    starts: Vec<(String, u64)>,
    answers: BTreeMap<u64, (u64, Reply)>,
}

impl World {
    fn new() -> World {
        let clock_offsets = [100_000, 7_000_000];
        let vms = [0, 1].map(|vm| Cluster::new(Time::from_millis(clock_offsets[vm]), setup(vm, 1)));
        let mut world = World {
            ms: 0,
            vms,
            clock_offsets,
            events: BTreeMap::new(),
            last_event: 0,
            connections: Vec::new(),
            hold: 0..0,
            gap_ms: 1,
            target: Target::default(),
            starts: Vec::new(),
            answers: BTreeMap::new(),
        };
        for vm in [SENDER, OWNER] {
            world.connect(vm);
            world.configure(vm);
        }
        world
    }

    fn connect(&mut self, from: usize) {
        let blocked = self.hold.contains(&self.ms);
        self.connections.push(Connection {
            from,
            blocked,
            queue: Vec::new(),
        });
    }

    fn configure(&mut self, vm: usize) {
        self.schedule(1, vm, support::no_evacuations());
        let event = Event::Receive {
            from: VmName::new("10.0.0.9").unwrap(),
            stamp: support::stamp(Time::default(), None),
            message: support::configuration_message(document()),
        };
        self.schedule(1, vm, event);
    }

    fn schedule(&mut self, after_ms: u64, vm: usize, event: Event) {
        self.last_event += 1;
        let key = (self.ms + after_ms, self.last_event);
        self.events.insert(key, (vm, event));
    }

    fn step(&mut self, vm: usize, event: Event) {
        let now = Time::from_millis(self.clock_offsets[vm] + self.ms);
        let effects = self.vms[vm].step(now, WallTime(1_000_000 + self.ms), event);
        for effect in effects {
            match effect {
                Effect::Send { to, stamp, message } if to == address(1 - vm) => {
                    self.send(vm, stamp, message);
                }
                Effect::Reconnect(_) => self.connect(vm),
                Effect::Answer {
                    request,
                    outcome: Outcome::Scheduler(reply),
                } => {
                    self.answers.insert(request.0, (self.ms, reply));
                }
                Effect::Call {
                    target,
                    generation,
                    call,
                    ..
                } => self.call(vm, target, generation, call),
                _ => {}
            }
        }
    }

    fn send(&mut self, vm: usize, stamp: gossip::Stamp, message: Message) {
        let held = self.hold.contains(&self.ms);
        let opened = self.ms >= self.hold.end + CONNECT_DELAY_MS;
        let mut connections = self.connections.iter_mut().rev();
        let connection = connections.find(|c| c.from == vm).unwrap();
        if connection.blocked && !opened {
            return;
        }
        if held || !connection.queue.is_empty() {
            connection.queue.push((stamp, message));
        } else {
            self.deliver(vm, stamp, message);
        }
    }

    fn deliver(&mut self, from: usize, stamp: gossip::Stamp, message: Message) {
        let event = Event::Receive {
            from: VmName::new(&format!("10.0.0.{from}")).unwrap(),
            stamp,
            message,
        };
        self.schedule(LATENCY_MS, 1 - from, event);
    }

    fn call(&mut self, vm: usize, target: TargetName, generation: u64, call: TargetCall) {
        let clock = self.ms;
        let (after_ms, event) = match call {
            TargetCall::Start(call) => {
                self.starts.push((call.task.to_string(), self.ms));
                self.target.runs.push(Run {
                    task: call.task.clone(),
                    number: call.number,
                    end_ms: self.ms + RUN_MS,
                });
                let event = SchedulerEvent::StartEnded {
                    target,
                    generation,
                    task: call.task,
                    number: call.number,
                    result: StartResult::Running { clock },
                };
                (LATENCY_MS, event)
            }
            TargetCall::Stop(call) => {
                let runs = &self.target.runs;
                let is_run = |run: &Run| run.task == call.task && run.number == call.number;
                if let Some(index) = runs.iter().position(is_run) {
                    self.target.end(index, EndKind::Stopped);
                }
                let event = SchedulerEvent::StopEnded {
                    target,
                    generation,
                    task: call.task,
                    number: call.number,
                    result: StopResult::Done,
                };
                (LATENCY_MS, event)
            }
            TargetCall::Hold(call) => {
                self.target.ends.retain(|end| end.number > call.observed);
                let running = self.target.runs.iter().map(|run| RunListing {
                    task: run.task.clone(),
                    run: run.number,
                    percent: 50,
                });
                let result = HoldResult::Lists {
                    clock,
                    incarnation: None,
                    running: running.collect(),
                    ended: self.target.ends.clone(),
                };
                let event = SchedulerEvent::HoldEnded {
                    target,
                    generation,
                    result,
                };
                (20.min(call.wait.as_millis() as u64), event)
            }
        };
        self.schedule(after_ms, vm, Event::Scheduler(event));
    }

    fn run_until(&mut self, end_ms: u64) {
        while self.ms < end_ms {
            self.ms += 1;
            if self.ms.is_multiple_of(1000) {
                let report = support::report("t-1", self.ms);
                let event = Event::Scheduler(SchedulerEvent::TargetReported(report));
                self.step(OWNER, event);
            }
            let over = |run: &Run, ms: u64| ms >= run.end_ms;
            while let Some(index) = self.target.runs.iter().position(|r| over(r, self.ms)) {
                self.target.end(index, EndKind::Done);
            }
            if !self.hold.contains(&self.ms) && self.ms.is_multiple_of(self.gap_ms) {
                self.release();
            }
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > self.ms {
                    break;
                }
                let (vm, event) = entry.remove();
                self.step(vm, event);
            }
            for vm in [SENDER, OWNER] {
                let until = Time::from_millis(self.clock_offsets[vm] + self.ms);
                let checked = SchedulerEvent::CallersChecked { until };
                self.step(vm, Event::Scheduler(checked));
                self.step(vm, Event::Tick);
            }
        }
    }

    /// Delivers the first held message of each connection.
    fn release(&mut self) {
        let mut released = Vec::new();
        for connection in self.connections.iter_mut().filter(|c| !c.queue.is_empty()) {
            let (stamp, message) = connection.queue.remove(0);
            released.push((connection.from, stamp, message));
        }
        for (from, stamp, message) in released {
            self.deliver(from, stamp, message);
        }
    }

    /// Submits a job of one task to the sender.
    fn submit(&mut self, request: u64, timeout: Duration) {
        let id = Name::new(&format!("j{request}")).unwrap();
        let submission = Submission {
            request: RequestId(request),
            host: "h".into(),
            path: format!("/q/{id}").into(),
            id,
            spec: "".into(),
            steps: vec![Step {
                count: 1,
                demand: Demand {
                    milli_cores: 1000,
                    memory_mib: 1,
                    accelerators: 0,
                },
                declared: Duration::from_millis(RUN_MS),
                depends_on: Vec::new(),
                label: None,
            }],
            body_bytes: 1,
            received: Time::from_millis(self.clock_offsets[SENDER] + self.ms),
            timeout,
            unsupported: None,
        };
        let event = Event::Scheduler(SchedulerEvent::Submit(submission));
        self.step(SENDER, event);
    }

    /// Replaces the sender's process by a new one, as after a kill.
    fn restart_sender(&mut self) {
        let now = Time::from_millis(self.clock_offsets[SENDER] + self.ms);
        self.vms[SENDER] = Cluster::new(now, setup(SENDER, 2));
        self.events.retain(|_, (vm, _)| *vm != SENDER);
        self.connect(SENDER);
        self.configure(SENDER);
    }

    /// Times at which tasks of a job were started.
    fn starts_of(&self, request: u64) -> Vec<u64> {
        let job = format!("j{request}.");
        let starts = self.starts.iter();
        let of_job = starts.filter(|(task, _)| task.starts_with(&job));
        of_job.map(|(_, ms)| *ms).collect()
    }
}

/// Holds the link while the sender offloads a task, checks that the task doesn't start long after
/// its job has ended, and that both VMs work together again afterwards.
fn check_hold(hold_ms: u64, submit_ms: u64, gap_ms: u64, restart: bool) {
    let case = format!("held {hold_ms} ms, submitted after {submit_ms}, gap {gap_ms}");
    let mut world = World::new();
    world.gap_ms = gap_ms;
    world.run_until(4000);
    world.submit(1, Duration::from_secs(3));
    world.run_until(HOLD_START_MS);
    let answer = world.answers.get(&1).map(|(_, reply)| reply);
    assert_eq!(answer, Some(&Reply::Completed), "{case}: before the hold");

    let release_ms = HOLD_START_MS + hold_ms;
    world.hold = HOLD_START_MS..release_ms;
    world.run_until(HOLD_START_MS + submit_ms);
    world.submit(2, Duration::from_secs(3));
    let mut ended_ms = None;
    if restart {
        world.run_until(HOLD_START_MS + 900);
        world.restart_sender();
        ended_ms = Some(world.ms);
    }
    world.run_until(release_ms + 3000);
    let answered_ms = world.answers.get(&2).map(|(ms, _)| *ms);
    let ended_ms = ended_ms.into_iter().chain(answered_ms).min();
    let ended_ms = ended_ms.expect("the job has ended");
    for start_ms in world.starts_of(2) {
        assert!(
            start_ms <= ended_ms + LATE_START_BOUND_MS,
            "{case}: started at {start_ms}, the job ended at {ended_ms}"
        );
    }

    world.submit(3, Duration::from_secs(3));
    world.run_until(release_ms + 6000);
    let answer = world.answers.get(&3).map(|(_, reply)| reply);
    assert_eq!(answer, Some(&Reply::Completed), "{case}: after the hold");
}

/// The lengths of a hold, the times of the submission in it, and the gaps between the held messages
/// after it.
fn check_holds(restart: bool) {
    for hold_ms in (1000..=4000).step_by(330) {
        for submit_ms in [10, 160, 310] {
            for gap_ms in [1, 20, 60] {
                check_hold(hold_ms, submit_ms, gap_ms, restart);
            }
        }
    }
}

/// Guards against an offloaded task that the network held and that starts after its job has ended.
#[test]
fn held_offload_does_not_start_after_its_job() {
    check_holds(false);
}

/// Guards against held heartbeats of an ended process that make it live, so that a task that it has
/// offloaded starts beside a new run of the same task.
#[test]
fn held_messages_of_an_ended_process_start_nothing() {
    check_holds(true);
}
