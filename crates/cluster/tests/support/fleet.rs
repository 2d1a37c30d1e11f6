//! A large deployment in memory: entry VMs, control VMs, targets and callers, without sockets.
//!
//! Links have a fixed delay. Only what the VMs compute, the messages that they send and when they
//! learn of one another are simulated, so that a deployment of 600 VMs runs in a test.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use greengage_cluster::scheduler::{
    Candidate, EndKind, Event as SchedulerEvent, HoldResult, PeerMessage, Reply, RunEnd,
    RunListing, Setup as SchedulerSetup, StartResult, Step, StopResult, Submission, TargetCall,
    TargetReport, DEFAULT_WEIGHT,
};
use greengage_cluster::{gossip, Cluster, Effect, Event, Hints, Message, Outcome, Setup};
use greengage_config::{Document, Limits, Queue, Service};
use greengage_core::{
    Address, Demand, Incarnation, Name, Payload, RequestId, SortedMap, TargetName, Time, Version,
    VmName, WallTime, ZoneName,
};

/// Delay of a message, one way.
const LINK_DELAY: Duration = Duration::from_millis(1);
/// Interval at which a target reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(1500);
/// Incarnation and wall clock of all processes at the start, in milliseconds.
const START_MS: u64 = 1_000_000;
/// Interval at which a VM learns until when all callers that have left were reported.
const CALLER_CHECK_INTERVAL: Duration = Duration::from_millis(30);
/// How long a caller waits for its answer.
const CALLER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Size and load of a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) zones: usize,
    /// Entry VMs, spread evenly over the zones.
    pub(crate) entry: usize,
    /// Targets, spread evenly over the zones.
    pub(crate) targets: usize,
    /// Jobs a second in the whole fleet.
    pub(crate) jobs_per_s: u64,
}

/// Kinds of inputs, for counts and times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Kind {
    Tick,
    Gossip,
    Reports,
    Offers,
    Offload,
    Configuration,
    Job,
    Call,
}

fn kind(message: &Message) -> Kind {
    match message {
        Message::Gossip(..) => Kind::Gossip,
        Message::Reports(_) | Message::TargetLeft(_) => Kind::Reports,
        Message::Scheduler(PeerMessage::Offers { .. }) => Kind::Offers,
        Message::Scheduler(_) => Kind::Offload,
        Message::Group { .. } | Message::Configuration(_) | Message::Evacuations(_) => {
            Kind::Configuration
        }
        Message::Cancel { .. }
        | Message::Cancelled { .. }
        | Message::CancelAll { .. }
        | Message::CancelledAll(_) => Kind::Job,
    }
}

/// What the inputs of one kind have cost the VMs of one role.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Cost {
    pub(crate) inputs: u64,
    /// Inputs without an effect.
    pub(crate) idle: u64,
    pub(crate) time: Duration,
    /// Size of the received messages, and the time for decoding them.
    pub(crate) bytes: u64,
    pub(crate) decode: Duration,
    /// Number of sent messages, and the time for encoding them.
    pub(crate) sent: u64,
    pub(crate) encode: Duration,
}

impl Cost {
    /// Adds the cost of another kind of input.
    pub(crate) fn add(&mut self, other: &Cost) {
        self.inputs += other.inputs;
        self.idle += other.idle;
        self.time += other.time;
        self.bytes += other.bytes;
        self.decode += other.decode;
        self.sent += other.sent;
        self.encode += other.encode;
    }
}

/// Processor time of this thread, which other load on the machine affects little.
fn processor_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

pub(crate) struct Node {
    pub(crate) cluster: Cluster,
    pub(crate) vm: VmName,
    pub(crate) zone: usize,
    pub(crate) entry: bool,
    pub(crate) running: bool,
    wake: Time,
    /// When the listener reports next until when all callers that have left were reported.
    check: Time,
    /// Messages that this VM has sent, by kind.
    pub(crate) sent: BTreeMap<Kind, u64>,
}

struct Run {
    task: Arc<str>,
    number: u32,
    start: Time,
    end: Time,
}

struct Hold {
    vm: usize,
    generation: u64,
    observed: u64,
}

struct Target {
    report: TargetReport,
    generation: u64,
    runs: Vec<Run>,
    ended: Vec<RunEnd>,
    last_end: u64,
    hold: Option<(u64, Hold)>,
    /// The VM whose call it accepted last, and when.
    pub(crate) owner: Option<(usize, Time)>,
}

enum Delivery {
    Input(usize, Kind, Event),
    Report(usize),
    Call(usize, usize, u64, TargetCall),
    RunEnd(usize),
    HoldEnd(usize, u64),
    Submit,
}

pub(crate) struct Fleet {
    pub(crate) now: Time,
    pub(crate) nodes: Vec<Node>,
    addresses: SortedMap<Address, usize>,
    targets: Vec<Target>,
    target_index: SortedMap<TargetName, usize>,
    queue: BTreeMap<(Time, u64), Delivery>,
    wakes: BTreeSet<(Time, usize)>,
    last_id: u64,
    size: Size,
    submitted: BTreeMap<u64, Time>,
    /// Times from submission to completion.
    pub(crate) completed: Vec<Duration>,
    /// Answers other than a completion, by their text.
    pub(crate) failed: BTreeMap<String, u64>,
    /// Number of connections that VMs have replaced.
    pub(crate) reconnects: u64,
    /// Costs by role (whether it is an entry VM) and kind of input.
    pub(crate) costs: BTreeMap<(bool, Kind), Cost>,
}

fn zone_name(zone: usize) -> ZoneName {
    ZoneName::new(&format!("zone-{zone}")).unwrap()
}

fn document() -> Arc<Document> {
    Arc::new(Document {
        version: Version(1),
        queues: vec![Queue {
            name: Arc::from("q"),
            host: Arc::from("h"),
            prefix: Arc::from("/q/"),
            service: Arc::from("desk"),
            timeout: CALLER_TIMEOUT,
            latency: Duration::from_millis(60),
            slack_percent: 160,
            priority: 0,
            max_attempts: 3,
            uses_advisor: false,
        }],
        services: vec![Service {
            name: Arc::from("desk"),
            max_connections: 64,
        }],
        limits: Limits {
            max_body_bytes: 1 << 20,
        },
        source: Payload::new(Vec::new()),
    })
}

fn node(now: Time, index: usize, zone: usize, entry: bool, seeds: &[Address]) -> Node {
    let ip = format!("10.{}.{}.{}", zone, index / 250, index % 250);
    let vm = VmName::new(&ip).unwrap();
    let address = Address::new(&format!("{ip}:7700")).unwrap();
    let member = gossip::Member {
        vm: vm.clone(),
        zone: zone_name(zone),
        address: address.clone(),
        api: (!entry).then_some(address),
        incarnation: Incarnation(START_MS),
        roles: gossip::Roles {
            entry,
            control: !entry,
        },
        folder_id: None,
        leaving: false,
    };
    let scheduler = entry.then(|| SchedulerSetup {
        candidate: Candidate {
            vm: vm.clone(),
            zone: member.zone.clone(),
            weight: DEFAULT_WEIGHT,
        },
        incarnation: member.incarnation,
        stop_limit: Duration::from_millis(50),
        report_interval: REPORT_INTERVAL,
    });
    let setup = Setup {
        member,
        seeds: seeds.to_vec(),
        timing: gossip::Timing::default(),
        report_memory: 1 << 26,
        group: None,
        scheduler,
        // Control VMs restart with a configuration, which the entry VMs download.
        hints: Hints {
            document: (!entry).then(document),
            ..Hints::default()
        },
        grace_period: Duration::from_secs(6),
    };
    let cluster = Cluster::new(now, setup);
    Node {
        check: now,
        wake: cluster.next_wake(),
        cluster,
        vm,
        zone,
        entry,
        running: true,
        sent: BTreeMap::new(),
    }
}

fn target(index: usize, zones: usize) -> Target {
    let report = TargetReport {
        target: TargetName::new(&format!(
            "t{:016x}",
            (index as u64).wrapping_mul(0x9e37_79b9_97f4_a7c1)
        ))
        .unwrap(),
        service: Arc::from("desk"),
        address: Address::new(&format!("10.200.{}.{}:8080", index / 250, index % 250)).unwrap(),
        zone: zone_name(index % zones),
        capacity: Demand {
            milli_cores: 16_000,
            memory_mib: 32_768,
            accelerators: 0,
        },
        labels: vec![Arc::from("a"), Arc::from(format!("rack-{}", index / 20))],
        draining: false,
        incarnation: Incarnation(START_MS),
        sequence: 0,
    };
    Target {
        report,
        generation: 0,
        runs: Vec::new(),
        ended: Vec::new(),
        last_end: 0,
        hold: None,
        owner: None,
    }
}

impl Fleet {
    /// Starts all VMs at the same time; the first control VMs are the seeds.
    pub(crate) fn new(size: Size) -> Fleet {
        let now = Time::from_millis(10_000);
        let control_address =
            |zone: usize| Address::new(&format!("10.{zone}.0.{zone}:7700")).unwrap();
        let seeds: Vec<Address> = (0..size.zones.min(3)).map(control_address).collect();
        let total = size.zones + size.entry;
        let nodes: Vec<Node> = (0..total)
            .map(|i| node(now, i, i % size.zones, i >= size.zones, &seeds))
            .collect();
        let addresses = nodes.iter().enumerate();
        let addresses =
            addresses.map(|(i, n)| (Address::new(&format!("{}:7700", n.vm.as_str())).unwrap(), i));
        let targets: Vec<Target> = (0..size.targets).map(|i| target(i, size.zones)).collect();
        let target_index = targets.iter().enumerate();
        let target_index = target_index.map(|(i, t)| (t.report.target.clone(), i));
        let mut fleet = Fleet {
            now,
            addresses: addresses.collect(),
            target_index: target_index.collect(),
            wakes: nodes.iter().enumerate().map(|(i, n)| (n.wake, i)).collect(),
            nodes,
            targets,
            queue: BTreeMap::new(),
            last_id: 0,
            size,
            submitted: BTreeMap::new(),
            completed: Vec::new(),
            failed: BTreeMap::new(),
            reconnects: 0,
            costs: BTreeMap::new(),
        };
        for i in 0..size.targets {
            let offset = REPORT_INTERVAL * i as u32 / size.targets as u32;
            fleet.schedule(now + offset, Delivery::Report(i));
        }
        fleet
    }

    /// Starts the callers.
    pub(crate) fn start_callers(&mut self) {
        if self.size.jobs_per_s > 0 {
            self.schedule(self.now, Delivery::Submit);
        }
    }

    /// Clears all counts.
    pub(crate) fn reset_counts(&mut self) {
        self.costs.clear();
        self.reconnects = 0;
        self.nodes.iter_mut().for_each(|node| node.sent.clear());
    }

    /// Ends a VM without notice.
    pub(crate) fn kill(&mut self, index: usize) {
        self.nodes[index].running = false;
        let wake = self.nodes[index].wake;
        self.wakes.remove(&(wake, index));
    }

    /// Targets whose last accepted call came from a VM.
    pub(crate) fn owned_by(&self, index: usize) -> Vec<usize> {
        let targets = self.targets.iter().enumerate();
        let owned = targets.filter(|(_, t)| t.owner.is_some_and(|(vm, _)| vm == index));
        owned.map(|(i, _)| i).collect()
    }

    /// Number of targets without a live VM whose call they have accepted.
    pub(crate) fn without_owner(&self) -> usize {
        let has_owner = |t: &&Target| t.owner.is_none_or(|(vm, _)| !self.nodes[vm].running);
        self.targets.iter().filter(has_owner).count()
    }

    /// Number of live entry VMs by the list of a VM.
    pub(crate) fn live(&mut self, index: usize) -> usize {
        let now = self.now;
        self.nodes[index].cluster.status(now).vms
    }

    /// Runs for some time.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        loop {
            let due = self.queue.first_key_value().map(|(key, _)| key.0);
            let wake = self.wakes.first().copied();
            match (due, wake) {
                (Some(due), wake) if wake.is_none_or(|(at, _)| due <= at) => {
                    if due > end {
                        break;
                    }
                    self.now = self.now.max(due);
                    let delivery = self.queue.pop_first().map(|(_, delivery)| delivery);
                    delivery.into_iter().for_each(|d| self.deliver(d));
                }
                (_, Some((at, index))) if at <= end => {
                    self.now = self.now.max(at);
                    self.check_callers(index);
                    self.step(index, Kind::Tick, Event::Tick);
                }
                _ => break,
            }
        }
        self.now = end;
    }

    fn schedule(&mut self, at: Time, delivery: Delivery) {
        self.last_id += 1;
        self.queue.insert((at, self.last_id), delivery);
    }

    /// Reports that no caller of an entry VM has left.
    fn check_callers(&mut self, index: usize) {
        let (now, node) = (self.now, &mut self.nodes[index]);
        if node.entry && now >= node.check {
            node.check = now + CALLER_CHECK_INTERVAL;
            let checked = SchedulerEvent::CallersChecked { until: now };
            self.step(index, Kind::Job, Event::Scheduler(checked));
        }
    }

    fn step(&mut self, index: usize, kind: Kind, event: Event) {
        let (now, wall) = (self.now, WallTime(START_MS + self.now.0 / 1000));
        let node = &mut self.nodes[index];
        if !node.running {
            return;
        }
        let started = processor_time();
        let effects = node.cluster.step(now, wall, event);
        let time = processor_time() - started;
        self.wakes.remove(&(node.wake, index));
        // A VM that is due at once is stepped again only after time has passed.
        node.wake = node
            .cluster
            .next_wake()
            .max(now + Duration::from_micros(100));
        self.wakes.insert((node.wake, index));
        let cost = self.costs.entry((node.entry, kind)).or_default();
        cost.inputs += 1;
        cost.idle += u64::from(effects.is_empty());
        cost.time += time;
        for effect in effects {
            self.apply(index, effect);
        }
    }

    fn apply(&mut self, from: usize, effect: Effect) {
        match effect {
            Effect::Send { to, stamp, message } => {
                let kind = kind(&message);
                *self.nodes[from].sent.entry(kind).or_default() += 1;
                let Some(to) = self.addresses.get(&to).copied() else {
                    return;
                };
                let started = processor_time();
                let bytes = greengage_wire::encode(&(&stamp, &message));
                let encoded = processor_time();
                let decoded = greengage_wire::decode::<(gossip::Stamp, Message)>(&bytes);
                let decode = processor_time() - encoded;
                assert!(decoded.is_ok(), "a VM sent an unreadable message");
                let sender = (self.nodes[from].entry, kind);
                let cost = self.costs.entry(sender).or_default();
                cost.sent += 1;
                cost.encode += encoded - started;
                let cost = self.costs.entry((self.nodes[to].entry, kind)).or_default();
                cost.bytes += bytes.len() as u64;
                cost.decode += decode;
                let from = self.nodes[from].vm.clone();
                let event = Event::Receive {
                    from,
                    stamp,
                    message,
                };
                self.schedule(self.now + LINK_DELAY, Delivery::Input(to, kind, event));
            }
            Effect::Call {
                target,
                generation,
                call,
                ..
            } => {
                let target = self.target_index.get(&target).copied();
                let delivery = |t| Delivery::Call(from, t, generation, call);
                let delivery = target.map(delivery);
                delivery
                    .into_iter()
                    .for_each(|d| self.schedule(self.now + LINK_DELAY, d));
            }
            Effect::Answer { request, outcome } => {
                let Some(submitted) = self.submitted.remove(&request.0) else {
                    return;
                };
                match outcome {
                    Outcome::Scheduler(Reply::Completed) => {
                        self.completed.push(self.now.since(submitted));
                    }
                    Outcome::Scheduler(Reply::Refused { .. }) => self.count_failure("refused"),
                    other => self.count_failure(&format!("{other:?}")),
                }
            }
            Effect::Reconnect(_) => self.reconnects += 1,
            Effect::Save(_) | Effect::Store(_) => {}
        }
    }

    fn count_failure(&mut self, reply: &str) {
        *self.failed.entry(reply.to_string()).or_default() += 1;
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Input(to, kind, event) => self.step(to, kind, event),
            Delivery::Report(index) => {
                let target = &mut self.targets[index];
                target.report.sequence += 1;
                let report = target.report.clone();
                self.schedule(self.now + REPORT_INTERVAL, Delivery::Report(index));
                let control = (index + report.sequence as usize) % self.size.zones;
                self.step(control, Kind::Reports, Event::Report(report));
            }
            Delivery::Call(vm, target, generation, call) => {
                self.call(vm, target, generation, call);
            }
            Delivery::RunEnd(index) => {
                let (now, target) = (self.now, &mut self.targets[index]);
                let (ended, running) = std::mem::take(&mut target.runs)
                    .into_iter()
                    .partition(|run| run.end <= now);
                target.runs = running;
                let ended: Vec<Run> = ended;
                for run in ended {
                    target.list_end(run, EndKind::Done);
                }
                self.answer_hold(index, None);
            }
            Delivery::HoldEnd(index, id) => self.answer_hold(index, Some(id)),
            Delivery::Submit => self.submit(),
        }
    }

    fn submit(&mut self) {
        let interval = Duration::from_secs(1) / self.size.jobs_per_s as u32;
        self.schedule(self.now + interval, Delivery::Submit);
        self.last_id += 1;
        let request = self.last_id;
        let hash = request.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 16;
        let index = self.size.zones + (hash % self.size.entry as u64) as usize;
        let (count, declared, cores) = match hash % 10 {
            0 | 1 => (8, 51, 8000),
            2 => (4, 500, 8000),
            _ => (2, 170, 8000),
        };
        let id = format!("{request:016x}");
        let job = Submission {
            request: RequestId(request),
            host: Arc::from("h"),
            path: Arc::from(format!("/q/{id}")),
            id: Name::new(&id).unwrap(),
            spec: Arc::from(format!("{declared}")),
            steps: vec![Step {
                count,
                demand: Demand {
                    milli_cores: cores,
                    memory_mib: 64,
                    accelerators: 0,
                },
                declared: Duration::from_millis(declared),
                depends_on: Vec::new(),
                label: None,
            }],
            body_bytes: 100,
            received: self.now,
            timeout: CALLER_TIMEOUT,
            unsupported: None,
        };
        self.submitted.insert(request, self.now);
        self.step(
            index,
            Kind::Job,
            Event::Scheduler(SchedulerEvent::Submit(job)),
        );
    }

    fn call(&mut self, vm: usize, index: usize, generation: u64, call: TargetCall) {
        let (now, clock) = (self.now, self.now.0 / 1000);
        let target = &mut self.targets[index];
        let is_fenced = generation < target.generation;
        let name = target.report.target.clone();
        if !is_fenced {
            target.generation = generation;
            target.owner = Some((vm, now));
        }
        let event = match call {
            TargetCall::Start(start) => {
                let result = match is_fenced {
                    true => StartResult::Fenced,
                    false => StartResult::Running { clock },
                };
                if !is_fenced {
                    let run_time = Duration::from_millis(start.spec.parse().unwrap());
                    target.runs.push(Run {
                        task: start.task.clone(),
                        number: start.number,
                        start: now,
                        end: now + run_time,
                    });
                    self.schedule(now + run_time, Delivery::RunEnd(index));
                }
                SchedulerEvent::StartEnded {
                    target: name,
                    task: start.task,
                    number: start.number,
                    generation,
                    result,
                }
            }
            TargetCall::Stop(stop) => {
                let runs = &mut target.runs;
                let found = runs
                    .iter()
                    .position(|r| r.task == stop.task && r.number == stop.number);
                if let Some(run) = found.filter(|_| !is_fenced).map(|i| runs.remove(i)) {
                    target.list_end(run, EndKind::Stopped);
                }
                let result = match is_fenced {
                    true => StopResult::Fenced,
                    false => StopResult::Done,
                };
                SchedulerEvent::StopEnded {
                    target: name,
                    task: stop.task,
                    number: stop.number,
                    generation,
                    result,
                }
            }
            TargetCall::Hold(hold) if !is_fenced => {
                target.ended.retain(|end| end.number > hold.observed);
                self.last_id += 1;
                let id = self.last_id;
                let waits = target.ended.is_empty() && !hold.wait.is_zero();
                let held = Hold {
                    vm,
                    generation,
                    observed: hold.observed,
                };
                target.hold = Some((id, held));
                match waits {
                    true => self.schedule(now + hold.wait, Delivery::HoldEnd(index, id)),
                    false => self.answer_hold(index, Some(id)),
                }
                return;
            }
            TargetCall::Hold(_) => SchedulerEvent::HoldEnded {
                target: name,
                generation,
                result: HoldResult::Fenced,
            },
        };
        let delivery = Delivery::Input(vm, Kind::Call, Event::Scheduler(event));
        self.schedule(now + LINK_DELAY, delivery);
    }

    /// Answers the current hold of a target, if it is `id` or that is `None`.
    fn answer_hold(&mut self, index: usize, id: Option<u64>) {
        let now = self.now;
        let target = &mut self.targets[index];
        let Some((_, hold)) = target
            .hold
            .take_if(|(held, _)| id.is_none_or(|id| id == *held))
        else {
            return;
        };
        let running = target.runs.iter().map(|run| RunListing {
            task: run.task.clone(),
            run: run.number,
            percent: (now.since(run.start).as_millis() * 100
                / run.end.since(run.start).as_millis().max(1)) as u32,
        });
        let ended = target.ended.iter().filter(|end| end.number > hold.observed);
        let result = HoldResult::Lists {
            clock: now.0 / 1000,
            incarnation: Some(target.report.incarnation),
            running: running.collect(),
            ended: ended.cloned().collect(),
        };
        let event = SchedulerEvent::HoldEnded {
            target: target.report.target.clone(),
            generation: hold.generation,
            result,
        };
        let delivery = Delivery::Input(hold.vm, Kind::Call, Event::Scheduler(event));
        self.schedule(now + LINK_DELAY, delivery);
    }
}

impl Target {
    fn list_end(&mut self, run: Run, kind: EndKind) {
        self.last_end += 1;
        self.ended.push(RunEnd {
            number: self.last_end,
            task: run.task,
            run: run.number,
            kind,
        });
    }
}
