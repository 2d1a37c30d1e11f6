//! Evacuated zones, on whose targets nothing more is started.
//!
//! The owner of a target decides what starts there, so it refuses tasks that other VMs offload to an
//! evacuated target as well. What runs there goes on, and targets stay owned, so that they serve at once
//! when the evacuation is taken back. An evacuation is temporary: whether a job fits on any target is
//! judged without it.
//!
//! A VM of an evacuated zone lives on the offers of other zones. In a large deployment VMs exchange
//! updates of offers within their zone only; those of an evacuated zone exchange them with some of each
//! other zone as well.

use std::time::Duration;

use greengage_core::{SortedMap, Time, ZoneName};

use crate::assignment::pair_hash;
use crate::scheduler::Scheduler;

/// Number of VMs of each other zone with which a VM of an evacuated zone exchanges updates of offers, on
/// average.
const PARTNERS: u64 = 8;

/// Time from a change within which a VM of an evacuated zone may not know of it yet, so that its offers
/// are ignored. Later ones are of targets in other zones.
const SPREAD_TIME: Duration = Duration::from_secs(1);

impl Scheduler {
    /// Applies the evacuated zones, which are sorted.
    pub(crate) fn on_evacuations(&mut self, now: Time, zones: Vec<ZoneName>) {
        let is_evacuated = |zone: &ZoneName| zones.binary_search(zone).is_ok();
        for target in self.targets.values_mut() {
            target.evacuated = is_evacuated(&target.report.zone);
        }
        // Their VMs would refuse what is offloaded to them.
        for view in self.peers.values_mut() {
            if is_evacuated(&view.peer.candidate.zone) {
                view.offers.clear();
            }
        }
        (self.evacuated, self.evacuated_at) = (zones, now);
        self.review_partners();
        self.offers_changed = true;
        self.dispatch_due = true;
    }

    /// Whether a zone is evacuated.
    pub(crate) fn is_evacuated(&self, zone: &ZoneName) -> bool {
        self.evacuated.binary_search(zone).is_ok()
    }

    /// Whether offers that a VM of a zone has sent at a time may be of targets in its evacuated zone.
    pub(crate) fn ignores_offers(&self, zone: &ZoneName, sent: Time) -> bool {
        self.is_evacuated(zone) && sent < self.evacuated_at + SPREAD_TIME
    }

    /// Chooses the VMs of other zones that exchange updates of offers with this one, because either zone
    /// is evacuated. Two VMs that know the same VMs choose each other.
    pub(crate) fn review_partners(&mut self) {
        let own = &self.setup.candidate;
        let evacuated = &self.evacuated;
        let is_evacuated = |zone: &ZoneName| evacuated.binary_search(zone).is_ok();
        let mut zones: SortedMap<ZoneName, u64> = SortedMap::new();
        *zones.get_or_insert_with(own.zone.clone(), || 0) += 1;
        for view in self.peers.values() {
            *zones.get_or_insert_with(view.peer.candidate.zone.clone(), || 0) += 1;
        }
        for view in self.peers.values_mut() {
            let other = &view.peer.candidate;
            let host = match (is_evacuated(&own.zone), is_evacuated(&other.zone)) {
                (true, false) => Some(&other.zone),
                (false, true) => Some(&own.zone),
                (true, true) | (false, false) => None,
            };
            let hosts = host.and_then(|zone| zones.get(zone)).copied();
            view.partner = hosts.is_some_and(|n| pair_hash(&own.vm, &other.vm) % n < PARTNERS);
        }
    }
}
