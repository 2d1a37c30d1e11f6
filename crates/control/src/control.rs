//! State of the control thread and its single entry point.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use greengage_agreement as agreement;
use greengage_agreement::Ticket;
use greengage_core::{Index, NodeId, RequestId, Revision, SortedMap, Term, Time, VmName, ZoneName};
use greengage_ledger as ledger;
use greengage_ledger::Ledger;
use greengage_membership as membership;
use greengage_membership::{Membership, VmStatus};
use greengage_policy as policy;
use greengage_policy::Policy;
use greengage_timeline::Timeline;

use crate::api::{Group, NotReady, Reply, Request};
use crate::configuration::{EditLog, Push};
use crate::message::{Body, DurableSave, Effect, Envelope, Event, Now, StoredGroup};
use crate::replica::{self, Replica};
use crate::routing::{Caller, RouteTimer};
use crate::site::Site;
use crate::timers::Timers;
use crate::zone::{Origin, Zone};

/// The effects of one step of a ledger group.
pub(crate) type LedgerEffects = Vec<agreement::Effect<ledger::Command, ledger::State>>;
/// The effects of one step of the control group.
pub(crate) type PolicyEffects = Vec<agreement::Effect<policy::Command, policy::State>>;

/// State read from the data folder at start.
#[derive(Default)]
pub struct StoredState {
    /// State of the control group.
    pub control: StoredGroup<policy::Command, policy::State>,
    /// State of each ledger group, by zone.
    pub ledgers: SortedMap<ZoneName, StoredGroup<ledger::Command, ledger::State>>,
    /// The last configuration saved here; `None` if none was.
    pub policy: Option<policy::State>,
}

/// A ledger group of which this VM is, or may become, a member.
pub(crate) struct LedgerGroup {
    pub(crate) replica: Replica<ledger::Command, ledger::State>,
    pub(crate) ledger: Ledger,
    /// Callers of membership changes, by log index and term of the proposal.
    pub(crate) changes: SortedMap<Index, (Term, Origin)>,
}

/// The control group, of which this VM is, or may become, a member.
pub(crate) struct ControlGroup {
    pub(crate) replica: Replica<policy::Command, policy::State>,
    /// Callers of edits, by log index and term of the proposal.
    pub(crate) edits: SortedMap<Index, (Term, Origin)>,
    /// Callers of membership changes, by log index and term of the proposal.
    pub(crate) changes: SortedMap<Index, (Term, Origin)>,
    /// Callers of linearizable reads, by ticket.
    pub(crate) reads: SortedMap<Ticket, (Origin, Request)>,
}

/// The control thread's state.
pub struct Control {
    pub(crate) site: Site,
    pub(crate) now: Now,
    /// The configuration in force; durable on a VM with a data folder.
    pub(crate) policy: Policy,
    /// The latest committed configuration, which may not be durable here yet.
    pub(crate) committed_policy: Policy,
    /// Committed configurations that are not durable yet, oldest first.
    pub(crate) unsaved_policies: VecDeque<policy::State>,
    pub(crate) control: Option<ControlGroup>,
    pub(crate) ledgers: SortedMap<ZoneName, LedgerGroup>,
    pub(crate) zone: Option<Zone>,
    pub(crate) membership: Membership,
    pub(crate) timeline: Timeline,
    /// Unanswered requests of this VM's front ends. A `BTreeMap`, since tens of thousands of
    /// entries are inserted and removed in no particular order.
    pub(crate) callers: BTreeMap<RequestId, Caller>,
    pub(crate) route_timers: Timers<RouteTimer>,
    /// Last reported leader of each zone's ledger group.
    pub(crate) leaders: SortedMap<ZoneName, (Term, VmName)>,
    /// Last reported data folder of each VM.
    pub(crate) folders: SortedMap<VmName, Option<u64>>,
    /// Control leader and the time of its last push, on a VM that is not a member of the group.
    pub(crate) last_push: Option<(VmName, Time)>,
    pub(crate) edit_log: EditLog,
    /// The latest push to each VM that was behind.
    pub(crate) pushes: SortedMap<VmName, Push>,
    pub(crate) next_status: Time,
    /// End of the grace period of a graceful shutdown; `None` until one is requested.
    pub(crate) draining: Option<Time>,
    pub(crate) drained: bool,
    pub(crate) disk_failed: bool,
    pub(crate) effects: Vec<Effect>,
}

impl Control {
    /// Creates the state from a verified site and the stored state.
    pub fn new(site: Site, durable: StoredState, now: Now) -> Control {
        let mut policy = Policy::new();
        let snapshot = durable.control.snapshot.as_ref();
        let snapshot = snapshot.map(|snapshot| snapshot.state.clone());
        // `restore` refuses a state that is older than the present one, so the later of the two
        // stays.
        for state in snapshot.into_iter().chain(durable.policy) {
            let _ = policy.restore(state);
        }
        let mut committed_policy = Policy::new();
        let restored = committed_policy.restore(policy.snapshot());
        restored.expect("no configuration is older than an empty one");
        let mut edit_log = EditLog::new(site.limits.max_edits);
        edit_log.reset(policy.applied());
        let mut control = Control {
            now,
            policy,
            committed_policy,
            unsaved_policies: VecDeque::new(),
            control: None,
            ledgers: SortedMap::new(),
            zone: None,
            membership: Membership::new(membership::Limits::default(), now.time),
            timeline: Timeline::new(site.vm.clone(), site.limits.max_events),
            callers: BTreeMap::new(),
            route_timers: Timers::new(),
            leaders: SortedMap::new(),
            folders: SortedMap::new(),
            last_push: None,
            edit_log,
            pushes: SortedMap::new(),
            next_status: now.time,
            draining: None,
            drained: false,
            disk_failed: false,
            effects: Vec::new(),
            site,
        };
        control.start_groups(durable.control, durable.ledgers);
        control
    }

    fn start_groups(
        &mut self,
        control: StoredGroup<policy::Command, policy::State>,
        mut ledgers: SortedMap<ZoneName, StoredGroup<ledger::Command, ledger::State>>,
    ) {
        let roles = self.site.roles().clone();
        if roles.control {
            self.control = Some(ControlGroup {
                replica: self.new_replica(control, 0),
                edits: SortedMap::new(),
                changes: SortedMap::new(),
                reads: SortedMap::new(),
            });
        }
        let own = roles.ledger.then(|| self.site.zone().clone());
        for (i, zone) in own.into_iter().chain(roles.witness).enumerate() {
            let restored = ledgers.remove(&zone).unwrap_or_default();
            let mut ledger = Ledger::new();
            if let Some(snapshot) = &restored.snapshot {
                ledger.restore(snapshot.state.clone());
            }
            let group = LedgerGroup {
                replica: self.new_replica(restored, i as u64 + 1),
                ledger,
                changes: SortedMap::new(),
            };
            self.ledgers.insert(zone, group);
        }
    }

    fn new_replica<C: Clone, S: Clone>(
        &self,
        restored: StoredGroup<C, S>,
        salt: u64,
    ) -> Replica<C, S> {
        Replica::new(replica::Setup {
            node: self.site.node(),
            timing: self.site.limits.timing.clone(),
            restored,
            seed: self.site.seed.wrapping_add(salt),
            now: self.now.time,
        })
    }

    /// Handles one event and all deadlines up to `now`.
    pub fn step(&mut self, now: Now, event: Event) -> Vec<Effect> {
        self.now = now;
        match event {
            Event::Tick => {}
            Event::Request { id, wait, request } => self.request(id, wait, request),
            Event::Peer { from, envelope } => self.receive_peer(&from, &envelope),
            Event::Reconnected { vm } => self.resend_requests(&vm),
            Event::SaveDone(saved) => self.save_completed(saved),
            Event::DiskFailed => self.on_disk_failure(),
            Event::CallEnded { token, result } => self.call_ended(token, result),
            Event::Drain => self.drain(),
        }
        self.tick();
        std::mem::take(&mut self.effects)
    }

    /// Time at which the next `Event::Tick` is due.
    pub fn next_wake(&self) -> Time {
        let mut wake = self.next_status;
        let groups = self.ledgers.values().map(|group| group.replica.next_wake());
        let control = self.control.iter().map(|group| group.replica.next_wake());
        let zone = self.zone.iter().filter_map(Zone::next_wake);
        let rest = self
            .route_timers
            .next_due()
            .into_iter()
            .chain(self.membership.next_wake());
        for at in groups.chain(control).chain(zone).chain(rest) {
            wake = wake.min(at);
        }
        wake
    }

    /// Revision of the configuration in force.
    pub fn revision(&self) -> Revision {
        self.policy.revision()
    }

    /// Number of unanswered requests of this VM's front ends.
    pub fn open_requests(&self) -> usize {
        self.callers.len()
    }

    fn tick(&mut self) {
        if self.groups_due() {
            self.tick_groups();
        }
        let now = self.now.time;
        let due = |at: Option<Time>| at.is_some_and(|at| at <= now);
        if due(self.membership.next_wake()) {
            self.step_membership(membership::Event::Tick);
        }
        if self.zone.as_ref().is_some_and(|zone| due(zone.next_wake())) {
            self.with_zone(|zone, cx| zone.tick(cx));
        }
        self.tick_routes();
        if self.next_status <= self.now.time {
            self.send_status();
        }
        self.check_drained();
    }

    fn groups_due(&self) -> bool {
        let now = self.now.time;
        let control = self
            .control
            .iter()
            .any(|group| group.replica.next_wake() <= now);
        control
            || self
                .ledgers
                .values()
                .any(|group| group.replica.next_wake() <= now)
    }

    fn tick_groups(&mut self) {
        let now = self.now.time;
        if let Some(group) = &mut self.control {
            if group.replica.next_wake() <= now {
                let effects = group.replica.step(now, agreement::Event::Tick);
                self.run_control_effects(effects);
            }
        }
        for zone in self.ledger_zones() {
            let group = self.ledgers.get_mut(&zone).expect("listed above");
            if group.replica.next_wake() <= now {
                let effects = group.replica.step(now, agreement::Event::Tick);
                self.run_ledger_effects(&zone, effects);
            }
        }
    }

    pub(crate) fn ledger_zones(&self) -> Vec<ZoneName> {
        self.ledgers.keys().cloned().collect()
    }

    // Messages between VMs.

    pub(crate) fn send(&mut self, to: &VmName, body: Body) {
        let timestamp = self.timeline.stamp(self.now.wall);
        self.effects.push(Effect::Send {
            to: to.clone(),
            envelope: Envelope { timestamp, body },
        });
    }

    fn receive_peer(&mut self, from: &VmName, envelope: &Arc<Envelope>) {
        self.timeline.observe(envelope.timestamp, self.now.wall);
        match &envelope.body {
            Body::Control {
                from: node,
                to,
                message,
            } => {
                if node.vm == *from && *to == self.site.node() {
                    self.receive_control(node.clone(), message.clone());
                }
            }
            Body::Ledger {
                zone,
                from: node,
                to,
                message,
            } => {
                if node.vm == *from && *to == self.site.node() {
                    self.receive_ledger(zone, node.clone(), message.clone());
                }
            }
            Body::Forward {
                incarnation,
                id,
                wait,
                request,
            } => {
                let origin = Origin {
                    vm: from.clone(),
                    incarnation: *incarnation,
                    id: *id,
                };
                self.receive_forward(origin, *wait, request.clone());
            }
            Body::Reply {
                incarnation,
                id,
                reply,
            } => {
                if *incarnation == self.site.incarnation {
                    self.deliver_reply(*id, reply.clone());
                }
            }
            Body::Redirect { incarnation, id } => {
                if *incarnation == self.site.incarnation {
                    self.reset_route(*id);
                }
            }
            Body::Announce(announcement) => {
                self.step_membership(membership::Event::Announce(announcement.clone()));
            }
            Body::Leave(target) => self.step_membership(membership::Event::Leave(target.clone())),
            Body::Status { status, folder } => self.receive_status(from, status.clone(), *folder),
            Body::Edits {
                after,
                edits,
                leading,
            } => {
                self.record_push(from, *leading);
                self.receive_edits(*after, edits);
            }
            Body::Policy { state, leading } => {
                self.record_push(from, *leading);
                self.receive_policy(state);
            }
        }
    }

    fn receive_control(&mut self, from: NodeId, message: crate::PolicyMessage) {
        let now = self.now.time;
        if let Some(group) = &mut self.control {
            let event = agreement::Event::Receive { from, message };
            let effects = group.replica.step(now, event);
            self.run_control_effects(effects);
        }
    }

    fn receive_ledger(&mut self, zone: &ZoneName, from: NodeId, message: crate::LedgerMessage) {
        let now = self.now.time;
        if let Some(group) = self.ledgers.get_mut(zone) {
            let event = agreement::Event::Receive { from, message };
            let effects = group.replica.step(now, event);
            self.run_ledger_effects(zone, effects);
        }
    }

    fn save_completed(&mut self, saved: DurableSave) {
        let now = self.now.time;
        let (group, seq) = match saved {
            DurableSave::Group { group, seq } => (group, seq),
            DurableSave::Policy(applied) => return self.policy_saved(applied),
        };
        match group {
            Group::Control => {
                if let Some(group) = &mut self.control {
                    let effects = group.replica.step(now, agreement::Event::Saved(seq));
                    self.run_control_effects(effects);
                }
            }
            Group::Ledger(zone) => {
                if let Some(group) = self.ledgers.get_mut(&zone) {
                    let effects = group.replica.step(now, agreement::Event::Saved(seq));
                    self.run_ledger_effects(&zone, effects);
                }
            }
        }
    }

    /// Continues as an entry VM without votes, since it can't store votes and log entries any more.
    fn on_disk_failure(&mut self) {
        if self.disk_failed {
            return;
        }
        self.disk_failed = true;
        self.record("disk failed; this VM no longer votes or leads");
        self.redirect_pending();
        self.control = None;
        self.ledgers.clear();
        self.stop_zone();
        self.activate_policy(self.committed_policy.snapshot());
        self.send_status();
        self.reroute();
    }

    pub(crate) fn record(&mut self, what: &str) {
        let wall = self.now.wall;
        self.timeline.record(wall, None, None, what.to_string());
    }

    // Membership.

    pub(crate) fn step_membership(&mut self, event: membership::Event) {
        for effect in self.membership.step(self.now.time, event) {
            match &effect {
                membership::Effect::VmDown(vm) => self.vm_down(&vm.clone()),
                membership::Effect::VmUp(_) => {}
                _ => self.with_zone(|zone, cx| zone.apply_membership(cx, &effect)),
            }
        }
    }

    fn vm_down(&mut self, vm: &VmName) {
        // After a pause of the process this VM's own report is overdue too. Its leadership ends
        // with its Raft role only.
        if *vm == self.site.vm {
            return;
        }
        self.record(&format!("VM {vm} stopped reporting"));
        let zones: Vec<ZoneName> = self
            .leaders
            .iter()
            .filter(|(_, leader)| leader.1 == *vm)
            .map(|(zone, _)| zone.clone())
            .collect();
        for zone in zones {
            self.leaders.remove(&zone);
        }
    }

    fn receive_status(&mut self, from: &VmName, status: VmStatus, folder: Option<u64>) {
        if status.vm != *from {
            return;
        }
        self.folders.insert(from.clone(), folder);
        let changed = self.update_leader(&status);
        self.push_to_reporter(&status);
        self.step_membership(membership::Event::Vm(status));
        if changed {
            self.reroute();
        }
    }

    fn update_leader(&mut self, status: &VmStatus) -> bool {
        let known = self.leaders.get(&status.zone).cloned();
        match (status.leading_term, known) {
            (Some(term), Some((old, vm))) if term < old || (term == old && vm == status.vm) => {
                false
            }
            (Some(term), _) => {
                let leader = (term, status.vm.clone());
                self.leaders.insert(status.zone.clone(), leader);
                true
            }
            (None, Some((_, vm))) if vm == status.vm => {
                self.leaders.remove(&status.zone);
                false
            }
            (None, _) => false,
        }
    }

    /// This VM's status report.
    pub(crate) fn own_status(&self) -> VmStatus {
        VmStatus {
            vm: self.site.vm.clone(),
            zone: self.site.zone().clone(),
            incarnation: self.site.incarnation,
            revision: self.policy.revision(),
            control_reachable: self.has_control_leader(),
            leading_term: self.zone.as_ref().map(|zone| zone.term),
            weight: self.site.weight,
            load: self.callers.len() as u32 + self.zone.as_ref().map_or(0, Zone::load),
            draining: self.draining.is_some(),
            disk_failed: self.disk_failed,
        }
    }

    /// Sends the status report to all other VMs.
    pub(crate) fn send_status(&mut self) {
        self.next_status = self.now.time + self.site.limits.status_interval;
        let status = self.own_status();
        let folder = self.site.folder;
        let others: Vec<VmName> = self.site.others().map(|(vm, _)| vm.clone()).collect();
        for vm in others {
            let status = status.clone();
            self.send(&vm, Body::Status { status, folder });
        }
        self.step_membership(membership::Event::Vm(status));
    }

    pub(crate) fn readiness(&self) -> Reply {
        if self.draining.is_some() {
            return Reply::NotReady(NotReady::Draining);
        }
        if self.policy.revision() == Revision(0) && !self.has_control_leader() {
            return Reply::NotReady(NotReady::NoConfiguration);
        }
        if !self.leaders.contains(self.site.zone()) {
            return Reply::NotReady(NotReady::NoLeader);
        }
        Reply::Ready
    }
}
