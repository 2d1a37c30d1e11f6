//! The simulation: entry VMs, and messages with delays.
//!
//! `targets` holds the simulated targets and `callers` the callers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use greengage_config::{Document, Limits, Queue, Service};
use greengage_core::{Incarnation, Payload, TargetName, Time, Version, VmName, WallTime, ZoneName};
use greengage_scheduler::{
    Candidate, Effect, Event, Peer, PeerMessage, Scheduler, Setup, TargetCall,
};

use crate::callers::{Caller, Request, RESUBMIT_DELAY};
use crate::targets::{Delivery, Target, REPORT_INTERVAL};

/// One-way latency between VMs.
pub(crate) const PEER_LATENCY: Duration = Duration::from_micros(1400);
/// Time without a tick after which a VM doesn't count as live.
const PEER_TIMEOUT: Duration = Duration::from_millis(650);

/// Time from the start of a shutdown until all callers must have an answer.
pub(crate) const SHUTDOWN_ANSWER_LIMIT: Duration = Duration::from_millis(5400);
/// Limit on the delay of late messages between VMs, in milliseconds: how long sent bytes may stay
/// unacknowledged before their connection is closed.
const LATE_MESSAGE_MS: u64 = 900;

/// Limit on the time for which the held messages of a link arrive after it lets go of them, in
/// milliseconds.
const RELEASE_MS: u64 = 200;

/// Interval at which a listener reports until when it has reported all callers that have left.
const CALLER_CHECK_INTERVAL: Duration = Duration::from_millis(30);
/// Limit on the delay until the listener of a resumed VM runs, in milliseconds.
const LISTENER_DELAY_MS: u64 = 40;

/// How long after the end of its job at the VM that has offloaded it a task may start: the time for
/// which an offloaded run lasts without a renewal. With a lease of 650 ms it is shorter than
/// `RESUBMIT_DELAY`.
const LATE_START_BOUND: Duration = Duration::from_millis(450);

/// Longest time that a target takes to stop a run.
const STOP_LIMIT: Duration = Duration::from_millis(50);

/// Seeded generator (splitmix64).
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

    /// A random factor around 1 with roughly this deviation in percent.
    pub(crate) fn spread(&mut self, percent: u64) -> f64 {
        let sum: u64 = (0..4).map(|_| self.below(201)).sum();
        ((sum as f64 / 400.0 - 1.0) * 1.7 * percent as f64 / 100.0).exp()
    }
}

/// Kinds of messages between VMs whose loss is simulated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MessageKind {
    Run,
    Ended,
    Stop,
    Renew,
}

impl MessageKind {
    fn of(message: &PeerMessage) -> Option<MessageKind> {
        match message {
            PeerMessage::Run { .. } => Some(MessageKind::Run),
            PeerMessage::Ended(_) => Some(MessageKind::Ended),
            PeerMessage::Stop(_) => Some(MessageKind::Stop),
            PeerMessage::Renew { .. } => Some(MessageKind::Renew),
            PeerMessage::Offers { .. } => None,
        }
    }
}

pub(crate) struct Vm {
    pub(crate) scheduler: Scheduler,
    pub(crate) up: bool,
    pub(crate) paused: bool,
    pub(crate) leaving: bool,
    pub(crate) incarnation: u64,
    last_seen: Time,
    deferred: Vec<Event>,
    /// When the listener last looked for callers that have left.
    callers_checked: Time,
    /// When the listener runs again after a pause.
    listener_resumes: Time,
}

impl Vm {
    /// Drops the notices of callers that have left, as if the process ended before it reads them.
    pub(crate) fn drop_caller_events(&mut self) {
        self.deferred
            .retain(|event| !matches!(event, Event::CallerGone(_)));
    }
}

/// A link that delivers messages only when it lets go of them. The VMs lose each other meanwhile.
pub(crate) struct HeldLink {
    vms: (usize, usize),
    since: Time,
    until: Time,
}

impl HeldLink {
    fn connects(&self, a: usize, b: usize) -> bool {
        self.vms == (a, b) || self.vms == (b, a)
    }
}

pub(crate) enum Action {
    Event(usize, u64, Event),
    Call(Delivery),
    FinishDue(usize, usize),
    Tick(usize),
    CheckCallers(usize),
    Report(usize),
    Peers,
    Submit(usize),
    HoldEnd(usize, u64),
}

pub(crate) struct Simulation {
    pub(crate) now: Time,
    pub(crate) rng: Rng,
    pub(crate) vms: Vec<Vm>,
    pub(crate) targets: Vec<Target>,
    pub(crate) callers: Vec<Caller>,
    /// All submissions of the callers, by request id.
    pub(crate) requests: Vec<Request>,
    /// How long callers wait, if it doesn't depend on their work.
    pub(crate) caller_timeout: Option<Duration>,
    /// Whether callers submit jobs that have timed out again.
    pub(crate) resubmit_timeouts: bool,
    /// The VM whose zone is cut off: only it receives the reports of the zone's targets, and it
    /// receives no others.
    pub(crate) isolated_zone: Option<usize>,
    /// A VM, and a peer that it doesn't count as live although the peer's messages arrive.
    pub(crate) ignored_peer: Option<(usize, usize)>,
    /// Number of starts for offloaded tasks, by the VM that runs them and the VM that offloaded
    /// them.
    offloads: BTreeMap<(usize, usize), usize>,
    /// Pairs of VMs that can't reach each other.
    pub(crate) partitions: Vec<(usize, usize)>,
    /// Connections that are about to be replaced, by sender, receiver and the time until which
    /// messages are lost or late. Both VMs stay live.
    pub(crate) failing_links: Vec<(usize, usize, Time)>,
    pub(crate) held_links: Vec<HeldLink>,
    /// Starts of offloaded tasks later than `LATE_START_BOUND` after the end of their jobs.
    pub(crate) late_offloads: Vec<String>,
    /// Percentage of the messages on failing links that arrive late instead of being lost.
    pub(crate) late_message_percent: u64,
    /// The kind and number of the next messages between VMs that are lost.
    pub(crate) lost_messages: Option<(MessageKind, u32)>,
    pub(crate) queue: BTreeMap<(Time, u64), Action>,
    pub(crate) seq: u64,
    pub(crate) duplicates: Vec<String>,
    /// Callers of which a task was started.
    pub(crate) begun: BTreeSet<usize>,
    pub(crate) task_milli_cores: u32,
    /// Shortest delay of late calls.
    pub(crate) late_order_delay: Duration,
    /// Length of the callers' bodies in bytes.
    pub(crate) bytes: u64,
}

pub(crate) fn document(version: u64) -> Arc<Document> {
    let queue = |name: &str, latency, priority| Queue {
        name: name.into(),
        host: "h".into(),
        prefix: format!("/{name}/").into(),
        service: "s".into(),
        timeout: Duration::from_millis(1500),
        latency: Duration::from_millis(latency),
        slack_percent: 160,
        priority,
        max_attempts: 3,
        uses_advisor: false,
    };
    let document = Document {
        version: Version(version),
        queues: vec![queue("q0", 60, 0), queue("q1", 60, 2), queue("q2", 60, 1)],
        services: vec![Service {
            name: "s".into(),
            max_connections: 64,
        }],
        limits: Limits {
            max_body_bytes: 1 << 18,
        },
        source: Payload::new(Vec::new()),
    };
    Arc::new(document.validated().expect("a valid document"))
}

pub(crate) fn candidate(i: usize, zones: usize) -> Candidate {
    Candidate {
        vm: VmName::new(&format!("vm{i}")).unwrap(),
        zone: ZoneName::new(&format!("z{}", i % zones)).unwrap(),
        weight: 100,
    }
}

impl Simulation {
    pub(crate) fn new(seed: u64, vms: usize, targets: usize) -> Simulation {
        let zones = vms.min(3);
        let now = Time::from_millis(1000);
        let mut sim = Simulation {
            now,
            rng: Rng(seed),
            vms: Vec::new(),
            targets: Vec::new(),
            callers: Vec::new(),
            requests: Vec::new(),
            caller_timeout: None,
            resubmit_timeouts: false,
            isolated_zone: None,
            ignored_peer: None,
            offloads: BTreeMap::new(),
            partitions: Vec::new(),
            failing_links: Vec::new(),
            held_links: Vec::new(),
            late_offloads: Vec::new(),
            late_message_percent: 0,
            lost_messages: None,
            queue: BTreeMap::new(),
            seq: 0,
            duplicates: Vec::new(),
            begun: BTreeSet::new(),
            task_milli_cores: 6800,
            late_order_delay: Duration::from_millis(300),
            bytes: 300,
        };
        for i in 0..vms {
            let candidate = candidate(i, zones);
            sim.vms.push(Vm {
                scheduler: Scheduler::new(
                    now,
                    Setup {
                        candidate,
                        incarnation: Incarnation(1),
                        stop_limit: STOP_LIMIT,
                        report_interval: REPORT_INTERVAL,
                    },
                ),
                up: true,
                paused: false,
                leaving: false,
                incarnation: 1,
                last_seen: now,
                deferred: Vec::new(),
                callers_checked: now,
                listener_resumes: now,
            });
            sim.schedule(
                Duration::ZERO,
                Action::Event(i, 1, Event::Configuration(document(1))),
            );
            sim.schedule(Duration::from_millis(i as u64), Action::Tick(i));
            sim.schedule(CALLER_CHECK_INTERVAL, Action::CheckCallers(i));
        }
        for i in 0..targets {
            sim.targets.push(Target {
                name: TargetName::new(&format!("t{i}")).unwrap(),
                zone: ZoneName::new(&format!("z{}", i % zones)).unwrap(),
                speed: [0.6, 1.0, 1.6][(i / zones) % 3],
                incarnation: 1,
                sequence: 0,
                up: true,
                disconnected: false,
                unreported: false,
                hangs: false,
                fails: false,
                late_order_percent: 0,
                late_starts: false,
                late_stops: false,
                lost_holds: 0,
                generation: 0,
                lease: 0,
                runs: Vec::new(),
                ends: Vec::new(),
                last_end: 0,
                last_ended: BTreeMap::new(),
                pending_holds: Vec::new(),
                starts: 0,
            });
            sim.schedule(Duration::from_millis(i as u64 % 100), Action::Report(i));
        }
        sim.schedule(Duration::from_millis(1), Action::Peers);
        sim.run(Duration::from_secs(2));
        sim
    }

    pub(crate) fn schedule(&mut self, after: Duration, action: Action) {
        self.seq += 1;
        self.queue.insert((self.now + after, self.seq), action);
    }

    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            let (time, _) = *entry.key();
            if time > end {
                break;
            }
            self.now = time;
            let action = entry.remove();
            self.perform(action);
        }
        self.now = end;
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Event(vm, incarnation, event) => self.event(vm, incarnation, event),
            Action::Call(delivery) => self.deliver(delivery),
            Action::FinishDue(target, seq) => self.finish_due_runs(target, seq),
            Action::Tick(vm) => {
                let incarnation = self.vms[vm].incarnation;
                if self.vms[vm].up && !self.vms[vm].paused {
                    self.vms[vm].last_seen = self.now;
                }
                self.event(vm, incarnation, Event::Tick);
                self.schedule(Duration::from_millis(20), Action::Tick(vm));
            }
            Action::CheckCallers(vm) => self.check_callers(vm),
            Action::Report(target) => self.report(target),
            Action::Peers => self.peers(),
            Action::Submit(caller) => self.submit_now(caller),
            Action::HoldEnd(target, number) => self.answer_hold(target, Some(number)),
        }
    }

    /// Lets the listener of a VM report until when it has reported all callers that have left.
    fn check_callers(&mut self, vm: usize) {
        self.schedule(CALLER_CHECK_INTERVAL, Action::CheckCallers(vm));
        let state = &mut self.vms[vm];
        if !state.up || state.paused || self.now < state.listener_resumes {
            return;
        }
        let until = std::mem::replace(&mut state.callers_checked, self.now);
        let incarnation = state.incarnation;
        self.event(vm, incarnation, Event::CallersChecked { until });
    }

    pub(crate) fn event(&mut self, vm: usize, incarnation: u64, event: Event) {
        let state = &mut self.vms[vm];
        if !state.up || state.incarnation != incarnation {
            return;
        }
        if state.paused {
            if !matches!(event, Event::Tick) {
                state.deferred.push(event);
            }
            return;
        }
        let listener_delay = state.listener_resumes.since(self.now);
        if matches!(event, Event::CallerGone(_)) && !listener_delay.is_zero() {
            return self.schedule(listener_delay, Action::Event(vm, incarnation, event));
        }
        let wall = WallTime(1_000_000 + self.now.0 / 1000);
        let sender = match &event {
            Event::Peer {
                from,
                message: PeerMessage::Run { .. },
                ..
            } => Some(from.clone()),
            _ => None,
        };
        let effects = state.scheduler.step(self.now, wall, event);
        if let Some(peer) = (0..self.vms.len()).find(|i| Some(candidate(*i, 3).vm) == sender) {
            let tasks = effects.iter().filter_map(|effect| match effect {
                Effect::Call {
                    call: TargetCall::Start(start),
                    ..
                } => Some(start.task.clone()),
                _ => None,
            });
            let tasks: Vec<Arc<str>> = tasks.collect();
            *self.offloads.entry((vm, peer)).or_default() += tasks.len();
            for task in tasks {
                self.check_offload_start(peer, &task);
            }
        }
        for effect in effects {
            self.effect(vm, effect);
        }
    }

    /// Records a violation if the job of an offloaded task has ended long ago at the VM that has
    /// offloaded it.
    fn check_offload_start(&mut self, peer: usize, task: &str) {
        let is_caller = |caller: &Caller| task.split('.').next() == Some(caller.id.as_str());
        let caller = self.callers.iter().position(is_caller);
        let requests = self.requests.iter();
        let mut requests = requests.filter(|r| Some(r.caller) == caller && r.vm == peer);
        // A job that its caller has left ends when its VM learns of that.
        let ended = requests.try_fold(Time::default(), |end, request| {
            request.ended.map(|time| end.max(time))
        });
        if let Some(ended) = ended.filter(|time| self.now.since(*time) > LATE_START_BOUND) {
            self.late_offloads.push(format!(
                "{task}, offloaded by VM {peer}, started {:?} after its job",
                self.now.since(ended)
            ));
        }
    }

    pub(crate) fn effect(&mut self, vm: usize, effect: Effect) {
        match effect {
            Effect::Answer { request, reply } => self.record_answer(vm, request, reply),
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
        let Some(peer) = (0..self.vms.len()).find(|i| candidate(*i, 3).vm == *to) else {
            return;
        };
        if self.is_partitioned(vm, peer) {
            return;
        }
        if let Some((kind, left)) = &mut self.lost_messages {
            if *left > 0 && MessageKind::of(&message) == Some(*kind) {
                *left -= 1;
                return;
            }
        }
        let now = self.now;
        self.failing_links.retain(|(.., until)| now < *until);
        let mut delay = PEER_LATENCY;
        let mut failing = self.failing_links.iter();
        if failing.any(|(from, to, _)| (*from, *to) == (vm, peer)) {
            if !self.rng.chance(self.late_message_percent) {
                return;
            }
            delay += Duration::from_millis(self.rng.below(LATE_MESSAGE_MS));
        }
        self.held_links.retain(|link| now < link.until);
        if let Some(link) = self.held_links.iter().find(|l| l.connects(vm, peer)) {
            delay += link.until.since(now) + Duration::from_millis(self.rng.below(RELEASE_MS));
        }
        let from = candidate(vm, 3).vm;
        let incarnation = self.vms[peer].incarnation;
        // The receiver knows the time of sending except for one trip.
        let sent = now - PEER_LATENCY;
        let event = Event::Peer {
            from,
            sent,
            message,
        };
        self.schedule(delay, Action::Event(peer, incarnation, event));
    }

    pub(crate) fn is_partitioned(&self, a: usize, b: usize) -> bool {
        self.partitions.contains(&(a, b)) || self.partitions.contains(&(b, a))
    }

    /// Whether two VMs count each other as lost, since the link between them holds their messages.
    fn is_held(&self, a: usize, b: usize) -> bool {
        let lost = |link: &HeldLink| self.now.since(link.since) >= PEER_TIMEOUT;
        let mut links = self.held_links.iter();
        links.any(|link| link.connects(a, b) && self.now < link.until && lost(link))
    }

    /// Lets the link between two VMs hold all messages for a time.
    pub(crate) fn hold_link(&mut self, a: usize, b: usize, span: Duration) {
        if self.held_links.iter().any(|link| link.connects(a, b)) {
            return;
        }
        self.held_links.push(HeldLink {
            vms: (a, b),
            since: self.now,
            until: self.now + span,
        });
    }

    fn peers(&mut self) {
        self.schedule(Duration::from_millis(100), Action::Peers);
        for vm in 0..self.vms.len() {
            let mut peers = Vec::new();
            for peer in 0..self.vms.len() {
                let last_seen = self.now.since(self.vms[peer].last_seen) < PEER_TIMEOUT;
                let ignored_peer = self.ignored_peer == Some((vm, peer));
                let unreachable = self.is_partitioned(vm, peer) || self.is_held(vm, peer);
                if peer != vm && last_seen && !ignored_peer && !unreachable {
                    peers.push(Peer {
                        candidate: candidate(peer, 3),
                        // The loss of a VM shows only after its time-out.
                        incarnation: Incarnation(
                            self.vms[peer].incarnation - u64::from(!self.vms[peer].up),
                        ),
                        leaving: self.vms[peer].leaving,
                    });
                }
            }
            let incarnation = self.vms[vm].incarnation;
            self.event(vm, incarnation, Event::Peers(peers));
        }
    }

    /// Kills a VM; its callers submit their jobs again to another one.
    pub(crate) fn kill_vm(&mut self, vm: usize) {
        if !self.vms[vm].up {
            return;
        }
        self.vms[vm].up = false;
        self.vms[vm].deferred.clear();
        self.vms[vm].incarnation += 1;
        let mut disconnected_callers = Vec::new();
        for request in self.requests.iter_mut().filter(|r| r.vm == vm) {
            request.ended = request.ended.or(Some(self.now));
        }
        for request in self.requests.iter_mut().filter(|r| r.vm == vm && !r.closed) {
            request.closed = true;
            if request.answers.is_empty() && !disconnected_callers.contains(&request.caller) {
                disconnected_callers.push(request.caller);
            }
        }
        for caller in disconnected_callers {
            self.schedule(RESUBMIT_DELAY, Action::Submit(caller));
        }
    }

    /// Starts the shutdown of a VM, which keeps running.
    pub(crate) fn shut_down_vm(&mut self, vm: usize) {
        self.vms[vm].leaving = true;
        let incarnation = self.vms[vm].incarnation;
        let end = self.now + SHUTDOWN_ANSWER_LIMIT;
        self.event(vm, incarnation, Event::Leave { end });
    }

    /// Ends all jobs of a VM, as before the exit of its process.
    pub(crate) fn answer_all(&mut self, vm: usize) {
        for effect in self.vms[vm].scheduler.answer_all(self.now) {
            self.effect(vm, effect);
        }
    }

    pub(crate) fn restart_vm(&mut self, vm: usize) {
        let candidate = candidate(vm, self.vms.len().min(3));
        let state = &mut self.vms[vm];
        if !state.up {
            let incarnation = state.incarnation;
            let setup = Setup {
                candidate,
                incarnation: Incarnation(incarnation),
                stop_limit: STOP_LIMIT,
                report_interval: REPORT_INTERVAL,
            };
            state.scheduler = Scheduler::new(self.now, setup);
            state.up = true;
            state.leaving = false;
            (state.callers_checked, state.listener_resumes) = (self.now, self.now);
            self.schedule(
                Duration::ZERO,
                Action::Event(vm, incarnation, Event::Configuration(document(1))),
            );
            self.forward_reports(vm);
        }
    }

    /// Resumes a paused VM and delivers the deferred events. Its threads get a CPU in any order, so
    /// it may learn only later which callers have left.
    pub(crate) fn resume_vm(&mut self, vm: usize) {
        self.vms[vm].paused = false;
        let incarnation = self.vms[vm].incarnation;
        let listener_delay = Duration::from_millis(self.rng.below(LISTENER_DELAY_MS));
        let resumes = &mut self.vms[vm].listener_resumes;
        *resumes = (*resumes).max(self.now + listener_delay);
        for event in std::mem::take(&mut self.vms[vm].deferred) {
            match event {
                Event::CallerGone(_) => {
                    self.schedule(listener_delay, Action::Event(vm, incarnation, event));
                }
                event => self.event(vm, incarnation, event),
            }
        }
    }

    /// Pauses the listener of a VM, whose other threads go on.
    pub(crate) fn pause_listener(&mut self, vm: usize, span: Duration) {
        let resumes = &mut self.vms[vm].listener_resumes;
        *resumes = (*resumes).max(self.now + span);
    }

    /// Number of starts that `vm` has sent for tasks offloaded by `peer`.
    pub(crate) fn offload_starts(&self, vm: usize, peer: usize) -> usize {
        self.offloads.get(&(vm, peer)).copied().unwrap_or(0)
    }
}
