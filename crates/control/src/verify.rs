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
        let mut left = vec![("callers", self.callers.len())];
        left.push(("unsaved configurations", self.unsaved_policies.len()));
        if let Some(control) = &self.control {
            left.push(("edits", control.edits.len()));
            left.push(("control changes", control.changes.len()));
            left.push(("reads", control.reads.len()));
        }
        for group in self.ledgers.values() {
            left.push(("ledger changes", group.changes.len()));
            left.push(("open submissions", group.ledger.counts().open as usize));
        }
        left.extend(self.zone.iter().flat_map(|zone| zone.unfinished_counts()));
        left.retain(|(_, count)| *count > 0);
        left
    }
}
