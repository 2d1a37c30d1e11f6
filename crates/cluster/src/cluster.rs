//! The state machine that combines member list, control group, target reports and scheduler.

use std::sync::Arc;
use std::time::Duration;

use greengage_config as config;
use greengage_config::{Document, EditOutcome, Group};
use greengage_core::{
    Address, Incarnation, NodeId, RequestId, Revision, SortedMap, Time, Version, VmName, WallTime,
};
use greengage_distribution::{Download, Provider};
use greengage_gossip::{GossipMessage, Member, MemberList, Stamp, Timing};
use greengage_scheduler as scheduler;
use greengage_scheduler::{
    Candidate, Departure, Peer, PeerMessage, Reply, Scheduler, TargetReport, DEFAULT_WEIGHT,
};

use crate::cancels::Cancels;
use crate::evacuations::EvacuationState;
use crate::event::{Effect, Event, Hints, Outcome};
use crate::message::{Message, Versions};
use crate::reports::Reports;
use crate::shutdown::{Shutdown, Stage};

/// Time between two checks of which VMs are live.
const LIVENESS_INTERVAL: Duration = Duration::from_millis(100);
/// Retry delay for callers that are refused because this VM is shutting down; kept short, since
/// another VM can serve them immediately.
const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Initial state and settings of a VM.
pub struct Setup {
    /// This VM's record in the member list.
    pub member: Member,
    /// Addresses of the seeds.
    pub seeds: Vec<Address>,
    /// Intervals and timeouts of the gossip protocol.
    pub timing: Timing,
    /// Setup of its member of the control group; `None` unless this is a control VM.
    pub group: Option<config::Setup>,
    /// Setup of its scheduler; `None` unless this is an entry VM.
    pub scheduler: Option<scheduler::Setup>,
    /// Memory for the latest reports of targets, in bytes.
    pub report_memory: usize,
    /// Hints found on disk; empty unless this is a control VM.
    pub hints: Hints,
    /// Upper limit on the duration of a shutdown.
    pub grace_period: Duration,
}

/// Status of a VM, for health checks and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Status {
    /// Whether it accepts new connections.
    pub ready: bool,
    /// Stage of its shutdown.
    pub stage: Stage,
    /// Version of its configuration; `None` before it has one.
    pub version: Option<Version>,
    /// Limit of that configuration on bodies of jobs, in bytes.
    pub body_limit: Option<u64>,
    /// Revision of its evacuated zones; `None` before it knows them.
    pub revision: Option<Revision>,
    /// Number of evacuated zones.
    pub evacuated: usize,
    /// Number of targets that it owns.
    pub owned: usize,
    /// Number of targets that it knows.
    pub targets: usize,
    /// Number of reports of targets, and of notices that one has left, that were dropped, as there were
    /// too many.
    pub dropped: u64,
    /// Number of other VMs that are live.
    pub vms: usize,
    /// Number of callers and operators that wait for an answer.
    pub callers: usize,
    /// Whether it leads the control group.
    pub is_leader: bool,
}

/// Control state of one VM.
pub struct Cluster {
    pub(crate) members: MemberList,
    pub(crate) group: Option<Group>,
    pub(crate) scheduler: Option<Scheduler>,
    pub(crate) cancels: Cancels,
    pub(crate) reports: Reports,
    pub(crate) document: Option<Arc<Document>>,
    pub(crate) evacuations: EvacuationState,
    shutdown: Shutdown,
    grace_period: Duration,
    /// The live VMs and their incarnations at the last check.
    pub(crate) live: SortedMap<VmName, Incarnation>,
    liveness_due: Time,
    pub(crate) provider: Provider,
    pub(crate) download: Download,
}

impl Cluster {
    /// Creates a VM that knows only its seeds and the state on its disk.
    pub fn new(now: Time, setup: Setup) -> Cluster {
        let scheduler = setup.scheduler.map(|s| Scheduler::new(now, s));
        let group = setup.group.map(Group::new);
        let recovered = group.as_ref().and_then(|g| g.document().cloned());
        let hinted_zones = setup.hints.document.as_ref();
        let hinted_zones = hinted_zones.map(|_| setup.hints.evacuations);
        let candidates = recovered.into_iter().chain(setup.hints.document);
        let document = candidates.max_by_key(|document| document.version);
        let recovered = group.as_ref().and_then(|g| g.evacuations().cloned());
        let candidates = recovered.into_iter().chain(hinted_zones);
        let evacuations = candidates.max_by_key(|zones| zones.revision);
        let mut provider = Provider::default();
        if let Some(document) = &document {
            provider.set_document(now, document.clone());
        }
        let mut members = MemberList::new(now, setup.member, setup.seeds, setup.timing);
        members.set_stored_peers(now, setup.hints.vms);
        Cluster {
            members,
            group,
            scheduler,
            cancels: Cancels::default(),
            reports: Reports::new(now, setup.hints.targets, setup.report_memory),
            document,
            evacuations: EvacuationState::new(now, evacuations),
            shutdown: Shutdown::default(),
            grace_period: setup.grace_period,
            live: SortedMap::new(),
            liveness_due: now,
            provider,
            download: Download::default(),
        }
    }

    /// Drops this VM's member of the control group, for example after a disk failure. The VM
    /// still receives target reports and forwards them.
    pub fn drop_group(&mut self, now: Time, wall: WallTime) -> Vec<Effect> {
        let mut out = Vec::new();
        if let Some(group) = self.group.take() {
            for effect in group.shut_down() {
                self.handle_group_effect(now, wall, effect, &mut out);
            }
        }
        out
    }

    /// Answers all callers and operators that still wait, because the process is about to exit.
    pub fn answer_all(&mut self, now: Time, wall: WallTime) -> Vec<Effect> {
        let mut out = self.drop_group(now, wall);
        self.answer_cancels(&mut out);
        self.answer_orders(&mut out);
        let effects = self.scheduler.as_mut().map(|s| s.answer_all(now));
        for effect in effects.unwrap_or_default() {
            self.handle_scheduler_effect(now, effect, &mut out);
        }
        out
    }

    /// Paths of the jobs that have ended with an unknown outcome since the shutdown began. Their tasks
    /// may have run, so further requests for them must not be refused as not run.
    pub fn unfinished_jobs(&self) -> Vec<Arc<str>> {
        let scheduler = self.scheduler.as_ref();
        scheduler.map_or(Vec::new(), |s| s.unfinished().to_vec())
    }

    /// The refused jobs by queue and reason, if they have changed since the last call.
    pub fn changed_refusals(&mut self) -> Option<Vec<(Arc<str>, scheduler::ReasonCounts)>> {
        self.scheduler.as_mut()?.changed_refusals()
    }

    /// Rejoins the control group with the state recovered from disk. Requests that wait in a member
    /// that was not dropped before are answered as unknown.
    pub fn restore_group(
        &mut self,
        now: Time,
        wall: WallTime,
        setup: config::Setup,
    ) -> Vec<Effect> {
        let out = self.drop_group(now, wall);
        self.group = Some(Group::new(setup));
        out
    }

    /// When the next `Event::Tick` is due.
    pub fn next_wake(&self) -> Time {
        let group = self.group.as_ref().map(Group::next_wake);
        let scheduler = self.scheduler.as_ref().map(Scheduler::next_wake);
        let download = self.download.next_wake();
        let cancels = self.cancels.next_wake();
        let reports = self.reports.next_wake();
        let orders = self.evacuations.next_wake();
        let wake_times = [group, scheduler, download, cancels, reports, orders];
        let own = self.liveness_due.min(self.members.next_wake());
        wake_times.into_iter().flatten().fold(own, Time::min)
    }

    /// Time from `now` to the end of the grace period; `None` if no shutdown was requested.
    pub fn time_left(&self, now: Time) -> Option<Duration> {
        self.shutdown.time_left(now)
    }

    /// Status of this VM at `now`.
    pub fn status(&mut self, now: Time) -> Status {
        let scheduler = self.scheduler.as_ref();
        let operators =
            self.group.as_ref().map_or(0, Group::pending_requests) + self.evacuations.operators();
        let callers = scheduler.map_or(0, Scheduler::callers) + self.cancels.callers() + operators;
        let owned = scheduler.map_or(0, Scheduler::owned);
        let targets = scheduler.map_or(0, Scheduler::known);
        let is_leader = self.group.as_ref().is_some_and(Group::is_leader);
        let stage = self.shutdown.stage(now, callers, owned > 0 || is_leader);
        Status {
            ready: stage == Stage::Serving && self.knows_state() && targets > 0,
            stage,
            version: self.document.as_ref().map(|d| d.version),
            body_limit: self.document.as_ref().map(|d| d.limits.max_body_bytes),
            revision: self.evacuations.revision(),
            evacuated: self.evacuations.current().map_or(0, |e| e.zones.len()),
            owned,
            targets,
            dropped: self.reports.dropped(),
            vms: self.live.len(),
            callers,
            is_leader,
        }
    }

    /// Whether this VM knows a configuration and the evacuated zones.
    fn knows_state(&self) -> bool {
        self.document.is_some() && self.evacuations.current().is_some()
    }

    /// What this VM has in force.
    pub(crate) fn versions(&self) -> Versions {
        Versions {
            document: self.document.as_ref().map(|d| d.version),
            evacuations: self.evacuations.revision(),
        }
    }

    /// Handles one event and returns its effects.
    pub fn step(&mut self, now: Time, wall: WallTime, event: Event) -> Vec<Effect> {
        let mut out = Vec::new();
        self.evacuations.begin_step(now);
        match event {
            Event::Tick => self.tick(now, wall, &mut out),
            Event::Receive {
                from,
                stamp,
                message,
            } => self.receive(now, wall, (from, stamp, message), &mut out),
            Event::Saved(seq) => self.step_group(now, wall, config::Event::Saved(seq), &mut out),
            Event::Scheduler(event) => self.step_scheduler(now, wall, event, &mut out),
            Event::Cancel { request, job } => self.cancel(now, request, job, &mut out),
            Event::Report(report) => self.handle_report(now, wall, report, &mut out),
            Event::TargetLeft(departure) => {
                self.target_left(now, wall, departure.clone(), &mut out);
                let live: Vec<Address> = self
                    .members
                    .live(now)
                    .map(|vm| vm.address.clone())
                    .collect();
                for to in live {
                    out.push(self.send(now, to, Message::TargetLeft(departure.clone())));
                }
            }
            Event::Put { request, document } => {
                let event = config::Event::Edit { request, document };
                self.request_group(now, wall, request, event, &mut out);
            }
            Event::Get(request) => {
                self.request_group(now, wall, request, config::Event::Read(request), &mut out);
            }
            Event::Evacuate {
                request,
                order,
                received,
            } => self.order_evacuation(now, wall, (request, received), order, &mut out),
            Event::GetEvacuations(request) => {
                let outcome = Outcome::Evacuations(self.evacuations.current().cloned());
                out.push(Effect::Answer { request, outcome });
            }
            Event::OperatorGone(request) => self.evacuations.operator_gone(request),
            Event::SetSeeds(seeds) => self.members.set_seeds(seeds),
            Event::Shutdown { requested } => {
                let end = self.shutdown.begin(requested, self.grace_period);
                self.members.leave(now);
                self.step_group(now, wall, config::Event::TransferLeadership, &mut out);
                self.step_scheduler(now, wall, scheduler::Event::Leave { end }, &mut out);
            }
        }
        out
    }

    fn tick(&mut self, now: Time, wall: WallTime, out: &mut Vec<Effect>) {
        let versions = self.versions();
        if now >= self.members.next_wake() {
            let peers = self.members.peers_to_reconnect(now);
            out.extend(peers.into_iter().map(Effect::Reconnect));
            for envelope in self.members.tick(now) {
                let message = Message::Gossip(envelope.message, versions);
                out.push(self.send(now, envelope.to, message));
            }
        }
        if now >= self.liveness_due {
            self.liveness_due = now + LIVENESS_INTERVAL;
            self.update_live(now, wall, out);
            self.repeat_offers(now, out);
            self.repeat_evacuations(now, out);
        }
        self.propose_orders(now, wall, out);
        self.step_group(now, wall, config::Event::Tick, out);
        self.step_scheduler(now, wall, scheduler::Event::Tick, out);
        let request = self.download.tick(now, versions.document);
        self.request_part(now, request, out);
        self.review_cancels(now, out);
        self.forward_reports(now, out);
        let due_reports = self.reports.take_for_storage(now);
        // A control VM without its group has no working disk.
        if let Some(targets) = due_reports.filter(|_| self.group.is_some()) {
            let vms = self
                .members
                .live(now)
                .map(|vm| vm.address.clone())
                .collect();
            let document = self.document.clone();
            out.push(Effect::Store(Hints {
                document,
                targets,
                vms,
                evacuations: self.evacuations.current().cloned().unwrap_or_default(),
            }));
        }
    }

    fn forward_reports(&mut self, now: Time, out: &mut Vec<Effect>) {
        let batch = self.reports.take_batch(now);
        if batch.is_empty() {
            return;
        }
        for to in self.entry_addresses(now) {
            out.push(self.send(now, to, Message::Reports(batch.clone())));
        }
    }

    /// Addresses of the other live entry VMs.
    fn entry_addresses(&self, now: Time) -> Vec<Address> {
        let live = self.members.live(now).filter(|vm| vm.roles.entry);
        live.map(|vm| vm.address.clone()).collect()
    }

    fn update_live(&mut self, now: Time, wall: WallTime, out: &mut Vec<Effect>) {
        let live: Vec<Member> = self.members.live(now).cloned().collect();
        let started: Vec<&Member> = live
            .iter()
            .filter(|vm| self.live.get(&vm.vm) != Some(&vm.incarnation))
            .collect();
        for vm in started.iter().filter(|vm| vm.roles.entry) {
            let recent = self.reports.recent(now);
            if !recent.is_empty() {
                out.push(self.send(now, vm.address.clone(), Message::Reports(recent)));
            }
        }
        if !started.is_empty() {
            self.reports.mark_dirty();
        }
        let started = started.iter().filter(|vm| vm.roles.entry);
        let started: Vec<VmName> = started.map(|vm| vm.vm.clone()).collect();
        let incarnations = live.iter().map(|vm| (vm.vm.clone(), vm.incarnation));
        self.live = incarnations.collect();
        self.tell_cancelled(now, &started, out);
        let peers = live
            .iter()
            .filter(|vm| vm.roles.entry)
            .map(|vm| Peer {
                candidate: Candidate {
                    vm: vm.vm.clone(),
                    zone: vm.zone.clone(),
                    weight: DEFAULT_WEIGHT,
                },
                incarnation: vm.incarnation,
                leaving: vm.leaving,
            })
            .collect();
        self.step_scheduler(now, wall, scheduler::Event::Peers(peers), out);
    }

    fn receive(
        &mut self,
        now: Time,
        wall: WallTime,
        (from, stamp, message): (VmName, Stamp, Message),
        out: &mut Vec<Effect>,
    ) {
        let sent = self.members.receive_stamp(now, &from, &stamp);
        match message {
            Message::Gossip(gossip, versions) => {
                let is_hello = matches!(gossip, GossipMessage::Hello { .. });
                let own = self.versions();
                let was_leaving = self.is_leaving(&from);
                for envelope in self.members.receive(now, sent, gossip) {
                    let message = Message::Gossip(envelope.message, own);
                    out.push(self.send(now, envelope.to, message));
                }
                if self.is_leaving(&from) && !was_leaving {
                    self.step_group(now, wall, config::Event::PeerLeaving, out);
                }
                if let Some(member) = self.members.member(&from).filter(|_| is_hello).cloned() {
                    self.compare_versions(now, &member, versions.document, out);
                    self.compare_revisions(now, wall, &member, versions.evacuations, out);
                }
            }
            Message::Group { from, to, message } => {
                if self.members.own().node() == Some(to) {
                    let message = *message;
                    let event = config::Event::Receive { from, message };
                    self.step_group(now, wall, event, out);
                }
            }
            Message::Configuration(message) => {
                self.receive_configuration(now, wall, &from, message, out);
            }
            Message::Evacuations(zones) => {
                self.adopt_evacuations(now, wall, zones, out);
                self.confirm_evacuations(now, &from, out);
            }
            Message::Reports(reports) => {
                for report in reports {
                    self.step_scheduler(now, wall, scheduler::Event::TargetReported(report), out);
                }
            }
            Message::TargetLeft(departure) => self.target_left(now, wall, departure, out),
            Message::Scheduler(message) => {
                self.receive_from_scheduler(now, wall, (from, stamp, sent), message, out);
            }
            Message::Cancel { job, age } => self.cancel_for(now, &from, (job, age), out),
            Message::Cancelled { job, held } => self.cancel_confirmed(&from, &job, held, out),
            Message::CancelAll { number, jobs } => {
                self.cancel_all_for(now, &from, (number, jobs), out);
            }
            Message::CancelledAll(number) => self.list_confirmed(now, &from, number, out),
        }
    }

    /// Forgets a target that has left. Other control VMs do so too, since they forward the reports that
    /// they hold to entry VMs that start.
    fn target_left(
        &mut self,
        now: Time,
        wall: WallTime,
        departure: Departure,
        out: &mut Vec<Effect>,
    ) {
        self.reports.remove(now, &departure);
        self.step_scheduler(now, wall, scheduler::Event::TargetLeft(departure), out);
    }

    /// Whether another VM has announced that it shuts down.
    fn is_leaving(&self, vm: &VmName) -> bool {
        self.members.member(vm).is_some_and(|member| member.leaving)
    }

    /// Passes on a message of another scheduler, unless its age has no bound or it is from an earlier
    /// incarnation than the known one.
    fn receive_from_scheduler(
        &mut self,
        now: Time,
        wall: WallTime,
        (from, stamp, sent): (VmName, Stamp, Option<Time>),
        message: PeerMessage,
        out: &mut Vec<Effect>,
    ) {
        let member = self.members.member(&from);
        let current = member.is_none_or(|member| member.incarnation == stamp.incarnation);
        let Some(sent) = sent.filter(|_| current) else {
            log::info!(event = "message-outdated", vm = from.as_str(), current = current;
                "dropped a message whose age is unknown or whose sender has restarted");
            return;
        };
        if !matches!(message, PeerMessage::Offers { .. }) {
            self.members.mark_active(now, &from);
        }
        let event = scheduler::Event::Peer {
            from,
            sent,
            message,
        };
        self.step_scheduler(now, wall, event, out);
    }

    /// A message with timestamps for its receiver.
    pub(crate) fn send(&self, now: Time, to: Address, message: Message) -> Effect {
        let stamp = self.members.stamp(now, &to);
        Effect::Send { to, stamp, message }
    }

    fn handle_report(
        &mut self,
        now: Time,
        wall: WallTime,
        report: TargetReport,
        out: &mut Vec<Effect>,
    ) {
        self.step_scheduler(
            now,
            wall,
            scheduler::Event::TargetReported(report.clone()),
            out,
        );
        let document = self.document.as_deref();
        let is_configured = |service: &str| document.is_none_or(|d| d.service(service).is_some());
        self.reports.add(now, report, is_configured);
        self.forward_reports(now, out);
    }

    /// Passes an operator's request to the control group; without one the outcome is unknown.
    pub(crate) fn request_group(
        &mut self,
        now: Time,
        wall: WallTime,
        request: RequestId,
        event: config::Event,
        out: &mut Vec<Effect>,
    ) {
        if self.group.is_some() {
            self.step_group(now, wall, event, out);
        } else {
            let outcome = Outcome::Unknown;
            out.push(Effect::Answer { request, outcome });
        }
    }

    fn step_group(
        &mut self,
        now: Time,
        wall: WallTime,
        event: config::Event,
        out: &mut Vec<Effect>,
    ) {
        let Some(group) = &mut self.group else {
            return;
        };
        let own = (self.members.own(), now);
        let peers: Vec<config::Peer> = self
            .members
            .last_heard()
            .chain([own])
            .filter_map(|(member, last_heard)| {
                let leaving = member.leaving;
                member.node().map(|node| config::Peer {
                    node,
                    last_heard,
                    leaving,
                })
            })
            .collect();
        for effect in group.step(now, event, &peers) {
            self.handle_group_effect(now, wall, effect, out);
        }
    }

    fn handle_group_effect(
        &mut self,
        now: Time,
        wall: WallTime,
        effect: config::Effect,
        out: &mut Vec<Effect>,
    ) {
        match effect {
            config::Effect::Save(save) => out.push(Effect::Save(save)),
            config::Effect::Send { to, message } => self.send_group_message(now, to, message, out),
            config::Effect::Edited { request, outcome } => {
                let outcome = match outcome {
                    EditOutcome::Accepted => Outcome::Accepted,
                    EditOutcome::Unknown => Outcome::Unknown,
                    EditOutcome::TooManyZones => Outcome::TooManyZones,
                };
                out.push(Effect::Answer { request, outcome });
            }
            config::Effect::Read { request, document } => {
                let outcome = match document {
                    Some(document) => Outcome::Configuration(document),
                    None => Outcome::Unknown,
                };
                out.push(Effect::Answer { request, outcome });
            }
            config::Effect::Redirect { request, leader } => {
                let api = leader.and_then(|node| self.members.member(&node.vm)?.api.clone());
                let outcome = api.map_or(Outcome::Unknown, Outcome::Redirect);
                out.push(Effect::Answer { request, outcome });
            }
            config::Effect::DocumentApplied(document) => {
                self.configuration_applied(now, wall, document, out)
            }
            config::Effect::EvacuationsApplied(zones) => {
                self.evacuations_applied(now, wall, zones, out)
            }
        }
    }

    fn send_group_message(
        &self,
        now: Time,
        to: NodeId,
        message: config::GroupMessage,
        out: &mut Vec<Effect>,
    ) {
        let from = self.members.own().node();
        if let (Some(from), Some(member)) = (from, self.members.member(&to.vm)) {
            let address = member.address.clone();
            let message = Message::Group {
                from,
                to,
                message: Box::new(message),
            };
            out.push(self.send(now, address, message));
        }
    }

    pub(crate) fn step_scheduler(
        &mut self,
        now: Time,
        wall: WallTime,
        event: scheduler::Event,
        out: &mut Vec<Effect>,
    ) {
        if let scheduler::Event::Submit(job) = &event {
            let stage = self.status(now).stage;
            let scheduler = self.scheduler.as_ref();
            let is_current = || scheduler.is_some_and(|s| s.has_job(now, job));
            if matches!(stage, Stage::Closing | Stage::Done) && !is_current() {
                let unfinished = scheduler.map_or(&[][..], Scheduler::unfinished);
                let reply = match unfinished.contains(&job.path) {
                    true => Reply::TimedOut,
                    false => Reply::Refused {
                        after: SHUTDOWN_RETRY_AFTER,
                    },
                };
                let (request, outcome) = (job.request, Outcome::Scheduler(reply));
                return out.push(Effect::Answer { request, outcome });
            }
        }
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        for effect in scheduler.step(now, wall, event) {
            self.handle_scheduler_effect(now, effect, out);
        }
    }

    pub(crate) fn handle_scheduler_effect(
        &mut self,
        now: Time,
        effect: scheduler::Effect,
        out: &mut Vec<Effect>,
    ) {
        match effect {
            scheduler::Effect::Answer { request, reply } => {
                let outcome = Outcome::Scheduler(reply);
                out.push(Effect::Answer { request, outcome });
            }
            scheduler::Effect::Call {
                target,
                address,
                generation,
                call,
            } => out.push(Effect::Call {
                target,
                address,
                generation,
                call,
            }),
            scheduler::Effect::Send { to, message } => {
                if !matches!(message, PeerMessage::Offers { .. }) {
                    self.members.mark_active(now, &to);
                }
                if let Some(member) = self.members.member(&to) {
                    let message = Message::Scheduler(message);
                    out.push(self.send(now, member.address.clone(), message));
                }
            }
        }
    }
}
