//! How the configuration in force changes: control VMs apply what their group has committed and offer
//! it, entry VMs download it.

use std::sync::Arc;

use greengage_config::{Document, Group};
use greengage_core::{Time, Version, VmName, WallTime};
use greengage_distribution::{DistributionMessage, PartRequest, Received};
use greengage_gossip::Member;
use greengage_scheduler as scheduler;

use crate::cluster::Cluster;
use crate::event::Effect;
use crate::message::Message;

impl Cluster {
    /// Compares the versions of this VM's and another VM's configuration. A control VM offers its
    /// newer one to an entry VM, which downloads it.
    pub(crate) fn compare_versions(
        &mut self,
        now: Time,
        member: &Member,
        version: Option<Version>,
        out: &mut Vec<Effect>,
    ) {
        if member.roles.entry && self.members.own().roles.control {
            self.provider.report(&member.vm, version);
            let offer = self.provider.offer(version);
            let message = offer.map(Message::Configuration);
            out.extend(message.map(|message| self.send(now, member.address.clone(), message)));
        }
        if let Some(version) = version.filter(|_| member.roles.control) {
            self.consider_offer(now, member, version, out);
        }
    }

    /// Downloads the configuration of another VM if it is newer. A VM without the entry role receives
    /// it from the control group.
    fn consider_offer(
        &mut self,
        now: Time,
        member: &Member,
        version: Version,
        out: &mut Vec<Effect>,
    ) {
        let in_force = self.document.as_ref().map(|d| d.version);
        if self.members.own().roles.entry && Some(version) > in_force {
            let in_zone = member.zone == self.members.own().zone;
            let request = self
                .download
                .offered(now, in_force, &member.vm, in_zone, version);
            self.request_part(now, request, out);
        }
    }

    pub(crate) fn receive_configuration(
        &mut self,
        now: Time,
        wall: WallTime,
        from: &VmName,
        message: DistributionMessage,
        out: &mut Vec<Effect>,
    ) {
        let in_force = self.document.as_ref().map(|d| d.version);
        match message {
            DistributionMessage::Offer(version) => {
                if let Some(member) = self.members.member(from).cloned() {
                    self.consider_offer(now, &member, version, out);
                    if in_force >= Some(version) {
                        // The heartbeat that tells it of the version is on its way, or not due yet.
                        let message = Message::Gossip(self.members.greeting(), self.versions());
                        out.push(self.send(now, member.address, message));
                    }
                }
            }
            DistributionMessage::Request { version, first } => {
                let answer = self.provider.answer(now, version, first);
                if let (Some(answer), Some(member)) = (answer, self.members.member(from)) {
                    let message = Message::Configuration(answer);
                    out.push(self.send(now, member.address.clone(), message));
                }
            }
            DistributionMessage::Part(_) if !self.members.own().roles.entry => {}
            DistributionMessage::Part(part) => {
                match self.download.receive(now, in_force, from, part) {
                    Received::Ignored => {}
                    Received::Next(request) => self.request_part(now, Some(request), out),
                    Received::Document(document) => {
                        self.adopt_configuration(now, wall, document, out);
                    }
                }
            }
            DistributionMessage::Unavailable { requested, newest } => {
                let request = self
                    .download
                    .unavailable(now, in_force, from, requested, newest);
                self.request_part(now, request, out);
            }
        }
    }

    pub(crate) fn request_part(
        &self,
        now: Time,
        request: Option<PartRequest>,
        out: &mut Vec<Effect>,
    ) {
        let Some(request) = request else {
            return;
        };
        let Some(member) = self.members.member(&request.to) else {
            return log::info!(event = "configuration-source-forgotten", vm = request.to.as_str();
                "the VM that offered a configuration is no longer known");
        };
        let message = Message::Configuration(DistributionMessage::Request {
            version: request.version,
            first: request.first,
        });
        out.push(self.send(now, member.address.clone(), message));
    }

    /// Applies a committed configuration on this VM, unless its version is not newer.
    fn adopt_configuration(
        &mut self,
        now: Time,
        wall: WallTime,
        document: Arc<Document>,
        out: &mut Vec<Effect>,
    ) {
        let version = self.document.as_ref().map(|d| d.version);
        if Some(document.version) > version {
            self.document = Some(document.clone());
            self.provider.set_document(now, document.clone());
            self.reports.mark_dirty();
            // The scheduler starts nothing before it knows where it may.
            if self.evacuations.current().is_some() {
                self.step_scheduler(now, wall, scheduler::Event::Configuration(document), out);
            }
        }
    }

    /// Applies a newly committed configuration and announces it: the leader to all entry VMs, other
    /// members to those of their zone.
    pub(crate) fn configuration_applied(
        &mut self,
        now: Time,
        wall: WallTime,
        document: Arc<Document>,
        out: &mut Vec<Effect>,
    ) {
        log::info!(event = "configuration-applied", version = document.version.0;
            "configuration applied");
        self.adopt_configuration(now, wall, document, out);
        let evacuations = self.group.as_ref().and_then(Group::evacuations);
        if let Some(zones) = evacuations.cloned() {
            self.evacuations_applied(now, wall, zones, out);
        }
        let message = match self.leads_group() {
            true => self.provider.announcement(),
            false => self.provider.offer(None),
        };
        if let Some(message) = message.map(Message::Configuration) {
            for vm in self.receivers() {
                out.push(self.send(now, vm.address.clone(), message.clone()));
            }
        }
    }

    fn leads_group(&self) -> bool {
        self.group.as_ref().is_some_and(Group::is_leader)
    }

    /// The entry VMs to which this VM offers what its group has applied: all for the leader, those of the zone
    /// for another member. Overloaded VMs may count as lost, so VMs needn't be live.
    pub(crate) fn receivers(&self) -> impl Iterator<Item = &Member> {
        let zone = (!self.leads_group()).then_some(&self.members.own().zone);
        let known = self.members.last_heard().map(|(member, _)| member);
        known.filter(move |vm| vm.roles.entry && zone.is_none_or(|zone| vm.zone == *zone))
    }

    /// Offers the configuration again to entry VMs that haven't reported its version.
    pub(crate) fn repeat_offers(&mut self, now: Time, out: &mut Vec<Effect>) {
        if !self.members.own().roles.control {
            return;
        }
        let receivers: Vec<VmName> = self.receivers().map(|vm| vm.vm.clone()).collect();
        for vm in self.provider.offers_due(now, &receivers) {
            if let (Some(offer), Some(member)) =
                (self.provider.offer(None), self.members.member(&vm))
            {
                let message = Message::Configuration(offer);
                out.push(self.send(now, member.address.clone(), message));
            }
        }
    }
}
