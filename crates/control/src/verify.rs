//! Consistency checks of the whole state, for tests.

use crate::control::Control;

impl Control {
    /// Checks that the parts of the state are consistent with each other.
    pub fn verify(&self) -> Result<(), String> {
        match &self.zone {
            Some(zone) => zone.verify(),
            None => Ok(()),
        }
    }

    /// Number of entries kept for unfinished work, by kind; empty when no work is in flight.
    pub fn unfinished_counts(&self) -> Vec<(&'static str, usize)> {
        let mut counts = vec![("callers", self.callers.len())];
        counts.push(("unsaved configurations", self.unsaved_policies.len()));
        if let Some(control) = &self.control {
            counts.push(("edits", control.edits.len()));
            counts.push(("control changes", control.changes.len()));
            counts.push(("reads", control.reads.len()));
        }
        for group in self.ledgers.values() {
            counts.push(("ledger changes", group.changes.len()));
            counts.push(("open submissions", group.ledger.counts().open as usize));
        }
        counts.extend(self.zone.iter().flat_map(|zone| zone.unfinished_counts()));
        counts.retain(|(_, count)| *count > 0);
        counts
    }
}
