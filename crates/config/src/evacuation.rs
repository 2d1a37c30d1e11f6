//! Evacuated availability zones.
//!
//! Nothing is started on the targets of an evacuated zone. The zones are part of the replicated
//! state; each change raises their revision, so that of two states the newer one is known.

use greengage_core::{value, Revision, WallTime, ZoneName};

/// Most zones that are evacuated at once, since each VM holds them all and anyone who reaches the
/// operators' port may invent names where the settings name no zones.
pub const MAX_EVACUATED_ZONES: usize = 256;

/// What an order does to its zone.
#[value(copy)]
pub enum EvacuationAction {
    /// Evacuates the zone.
    Start,
    /// Takes the evacuation back.
    Finish,
}

/// An operator's order about one zone.
#[value]
pub struct EvacuationOrder {
    /// The zone.
    pub zone: ZoneName,
    /// What is to be done.
    pub action: EvacuationAction,
    /// When the order was received, for people who read it.
    pub received: WallTime,
}

/// An evacuated zone.
#[value]
pub struct EvacuatedZone {
    /// Name of the zone.
    pub zone: ZoneName,
    /// When the order was received.
    pub since: WallTime,
    /// The revision that the order made.
    pub revision: Revision,
}

/// The evacuated zones of a deployment.
#[value]
#[derive(Default)]
pub struct Evacuations {
    /// Number of changes so far.
    pub revision: Revision,
    /// When the order of the last change was received.
    pub changed: WallTime,
    /// The zones, sorted by name.
    pub zones: Vec<EvacuatedZone>,
}

impl Evacuations {
    /// Whether a zone is evacuated.
    pub fn contains(&self, zone: &ZoneName) -> bool {
        self.position(zone).is_ok()
    }

    fn position(&self, zone: &ZoneName) -> Result<usize, usize> {
        self.zones.binary_search_by(|z| z.zone.cmp(zone))
    }

    /// Applies an order; returns whether it changed anything.
    pub fn apply(&mut self, order: &EvacuationOrder) -> bool {
        let next = Revision(self.revision.0 + 1);
        match (self.position(&order.zone), order.action) {
            (Ok(_), EvacuationAction::Start) | (Err(_), EvacuationAction::Finish) => return false,
            (Ok(i), EvacuationAction::Finish) => {
                self.zones.remove(i);
            }
            (Err(i), EvacuationAction::Start) => {
                let zone = EvacuatedZone {
                    zone: order.zone.clone(),
                    since: order.received,
                    revision: next,
                };
                self.zones.insert(i, zone);
            }
        }
        (self.revision, self.changed) = (next, order.received);
        true
    }
}
