//! The evacuated zones: orders of operators, and how the zones in force reach all VMs.
//!
//! The control group puts the orders in one sequence. Whoever applies one sends the zones with their
//! revision to entry VMs, whole, since they take some tens of bytes. Each heartbeat names its sender's
//! revision, and a VM that hears a lower one than its own sends its zones. A VM takes over only a higher
//! revision, so that messages that arrive late bring nothing back.
//!
//! Orders have no version, so one that is carried out after a later one undoes it. An operator sends a
//! later order for a zone once it has the answer to the earlier one, or has given up waiting for it.
//! An order is therefore carried out only while its operator is known to wait.

use std::time::Duration;

use greengage_config as config;
use greengage_config::{EvacuationOrder, Evacuations, Group};
use greengage_core::{RequestId, Revision, SortedMap, Time, VmName, WallTime, ZoneName};
use greengage_gossip::Member;
use greengage_scheduler as scheduler;

use crate::cluster::Cluster;
use crate::event::{Effect, Outcome};
use crate::message::Message;

/// Interval at which a VM that hasn't named the newest revision gets the zones again.
const REPEAT_INTERVAL: Duration = Duration::from_millis(300);
/// The same for a VM that isn't live, which may be overloaded or gone. One that returns is told as its
/// heartbeat names a lower revision.
const LOST_REPEAT_INTERVAL: Duration = Duration::from_secs(3);
/// How long an entry VM has held a revision before it tells others of it. Until then the control VMs
/// do.
const SETTLED_AFTER: Duration = Duration::from_millis(500);
/// How long an order waits before it is proposed. The end of a connection whose bytes a link has held
/// arrives within milliseconds after the request.
const DISCONNECT_TIME: Duration = Duration::from_millis(40);
/// Time between two steps from which the process counts as paused. Without a pause it takes a step at
/// each check of the live VMs, every 100 ms.
const PAUSE_GAP: Duration = Duration::from_millis(250);
/// Limit on the time from the end of a pause within which a request that is read may have arrived during
/// it. After a short pause it is as long as the pause, since less has arrived.
const MAX_BACKLOG_TIME: Duration = Duration::from_secs(1);

/// An order that waits until its operator is known to be there.
struct HeldOrder {
    request: RequestId,
    order: EvacuationOrder,
    /// When the request was read.
    received: Time,
    due: Time,
}

/// What a VM knows of evacuations.
pub(crate) struct EvacuationState {
    /// The zones in force; `None` before they are known.
    current: Option<Evacuations>,
    /// Since when.
    since: Time,
    /// The revision that each VM has named last, on a control VM.
    named: SortedMap<VmName, Option<Revision>>,
    repeat_due: Time,
    /// When VMs that aren't live get them again.
    lost_due: Time,
    held: Vec<HeldOrder>,
    last_step: Time,
    /// Until when requests that are read may have arrived during a pause.
    backlog_end: Time,
}

impl EvacuationState {
    pub(crate) fn new(now: Time, current: Option<Evacuations>) -> EvacuationState {
        EvacuationState {
            current,
            since: now,
            named: SortedMap::new(),
            repeat_due: now,
            lost_due: now,
            held: Vec::new(),
            last_step: now,
            backlog_end: now,
        }
    }

    /// The zones in force; `None` before they are known.
    pub(crate) fn current(&self) -> Option<&Evacuations> {
        self.current.as_ref()
    }

    /// Their revision.
    pub(crate) fn revision(&self) -> Option<Revision> {
        self.current.as_ref().map(|zones| zones.revision)
    }

    /// Number of operators that wait for an order to be proposed.
    pub(crate) fn operators(&self) -> usize {
        self.held.len()
    }

    /// When the next order is due; `None` without one.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        self.held.iter().map(|held| held.due).min()
    }

    /// Notices a pause of the process.
    pub(crate) fn begin_step(&mut self, now: Time) {
        let gap = now.since(self.last_step);
        if gap > PAUSE_GAP {
            let end = now + gap.min(MAX_BACKLOG_TIME);
            self.backlog_end = self.backlog_end.max(end);
        }
        self.last_step = now;
    }

    /// Whether a request that was read at this time may have arrived during a pause.
    fn may_be_old(&self, received: Time) -> bool {
        received < self.backlog_end
    }

    /// Drops the order of an operator that has disconnected.
    pub(crate) fn operator_gone(&mut self, request: RequestId) {
        let before = self.held.len();
        self.held.retain(|held| held.request != request);
        if self.held.len() < before {
            log::info!(event = "order-abandoned", request = request.0;
                "dropped an order whose operator has disconnected");
        }
    }
}

impl Cluster {
    /// Accepts an operator's order. A VM that doesn't lead the group names the leader at once.
    pub(crate) fn order_evacuation(
        &mut self,
        now: Time,
        wall: WallTime,
        (request, received): (RequestId, Time),
        order: EvacuationOrder,
        out: &mut Vec<Effect>,
    ) {
        if !self.group.as_ref().is_some_and(Group::is_leader) {
            let event = config::Event::Order {
                request,
                order,
                received,
            };
            return self.request_group(now, wall, request, event, out);
        }
        if self.evacuations.may_be_old(received) {
            log::info!(event = "order-after-pause", request = request.0,
                zone = order.zone.as_str(), action:? = order.action;
                "refused an order that may have arrived while this process was paused");
            let outcome = Outcome::Unknown;
            return out.push(Effect::Answer { request, outcome });
        }
        self.evacuations.held.push(HeldOrder {
            request,
            order,
            received,
            due: now + DISCONNECT_TIME,
        });
    }

    /// Proposes the orders that have waited long enough.
    pub(crate) fn propose_orders(&mut self, now: Time, wall: WallTime, out: &mut Vec<Effect>) {
        let held = &mut self.evacuations.held;
        let due: Vec<HeldOrder> = held.extract_if(.., |held| now >= held.due).collect();
        for held in due {
            let event = config::Event::Order {
                request: held.request,
                order: held.order,
                received: held.received,
            };
            self.request_group(now, wall, held.request, event, out);
        }
    }

    /// Answers the operators whose orders haven't been proposed, because the process is about to exit.
    pub(crate) fn answer_orders(&mut self, out: &mut Vec<Effect>) {
        let held = self.evacuations.held.drain(..);
        out.extend(held.map(|held| Effect::Answer {
            request: held.request,
            outcome: Outcome::Unknown,
        }));
    }

    /// Takes over the evacuated zones unless those in force are newer.
    pub(crate) fn adopt_evacuations(
        &mut self,
        now: Time,
        wall: WallTime,
        zones: Evacuations,
        out: &mut Vec<Effect>,
    ) {
        let is_first = self.evacuations.current.is_none();
        if Some(zones.revision) <= self.evacuations.revision() {
            return;
        }
        let names: Vec<ZoneName> = zones.zones.iter().map(|z| z.zone.clone()).collect();
        if !is_first || zones.revision > Revision(0) {
            let list: Vec<&str> = names.iter().map(ZoneName::as_str).collect();
            log::info!(event = "evacuations", revision = zones.revision.0,
                zones = list.join(",").as_str(), age_ms = wall.0.saturating_sub(zones.changed.0); "the evacuated zones have changed");
        }
        (self.evacuations.current, self.evacuations.since) = (Some(zones), now);
        self.reports.mark_dirty();
        self.step_scheduler(now, wall, scheduler::Event::Evacuations(names), out);
        if let Some(document) = self.document.clone().filter(|_| is_first) {
            self.step_scheduler(now, wall, scheduler::Event::Configuration(document), out);
        }
    }

    /// Tells a control VM that has sent its zones which revision this VM has. The next heartbeat to it
    /// may be seconds away in a large deployment.
    pub(crate) fn confirm_evacuations(&self, now: Time, from: &VmName, out: &mut Vec<Effect>) {
        let member = self.members.member(from);
        if let Some(member) = member.filter(|member| member.roles.control) {
            let message = Message::Gossip(self.members.greeting(), self.versions());
            out.push(self.send(now, member.address.clone(), message));
        }
    }

    /// Takes over the zones that the control group has applied, and sends them to entry VMs.
    pub(crate) fn evacuations_applied(
        &mut self,
        now: Time,
        wall: WallTime,
        zones: Evacuations,
        out: &mut Vec<Effect>,
    ) {
        let is_newer = Some(zones.revision) > self.evacuations.revision();
        self.adopt_evacuations(now, wall, zones, out);
        if is_newer {
            self.evacuations.repeat_due = now + REPEAT_INTERVAL;
            self.evacuations.lost_due = now + LOST_REPEAT_INTERVAL;
            let receivers: Vec<VmName> = self.receivers().map(|vm| vm.vm.clone()).collect();
            self.send_evacuations(now, &receivers, out);
        }
    }

    fn send_evacuations(&self, now: Time, receivers: &[VmName], out: &mut Vec<Effect>) {
        // A heartbeat tells all that there is to know of the first revision.
        let zones = self.evacuations.current.as_ref();
        let Some(zones) = zones.filter(|zones| zones.revision > Revision(0)) else {
            return;
        };
        for member in receivers.iter().filter_map(|vm| self.members.member(vm)) {
            let message = Message::Evacuations(zones.clone());
            out.push(self.send(now, member.address.clone(), message));
        }
    }

    /// Compares the revision that another VM has named with that of this VM.
    pub(crate) fn compare_revisions(
        &mut self,
        now: Time,
        wall: WallTime,
        member: &Member,
        revision: Option<Revision>,
        out: &mut Vec<Effect>,
    ) {
        if revision == Some(Revision(0)) {
            self.adopt_evacuations(now, wall, Evacuations::default(), out);
        }
        let is_control = self.members.own().roles.control;
        if is_control {
            self.evacuations.named.insert(member.vm.clone(), revision);
        }
        let is_settled = now.since(self.evacuations.since) >= SETTLED_AFTER;
        if (is_control || is_settled) && revision < self.evacuations.revision() {
            self.send_evacuations(now, std::slice::from_ref(&member.vm), out);
        }
    }

    /// Sends the zones again to entry VMs that haven't named their revision.
    pub(crate) fn repeat_evacuations(&mut self, now: Time, out: &mut Vec<Effect>) {
        if !self.members.own().roles.control || now < self.evacuations.repeat_due {
            return;
        }
        self.evacuations.repeat_due = now + REPEAT_INTERVAL;
        let members = &self.members;
        self.evacuations
            .named
            .retain(|vm, _| members.member(vm).is_some());
        let Some(own) = self.evacuations.revision().filter(|r| *r > Revision(0)) else {
            return;
        };
        let tells_lost = now >= self.evacuations.lost_due;
        if tells_lost {
            self.evacuations.lost_due = now + LOST_REPEAT_INTERVAL;
        }
        let named = |vm: &VmName| self.evacuations.named.get(vm).copied().flatten();
        let receivers = self.receivers().map(|vm| vm.vm.clone());
        let outdated = receivers.filter(|vm| named(vm) < Some(own));
        let outdated: Vec<VmName> = outdated
            .filter(|vm| tells_lost || self.live.contains(vm))
            .collect();
        self.send_evacuations(now, &outdated, out);
    }
}
