//! Checks of the leader's state, for tests.

use super::*;

impl Zone {
    /// Checks that the maps of the leader agree.
    pub(crate) fn verify(&self) -> Result<(), String> {
        let check = |holds: bool, what: &str| match holds {
            true => Ok(()),
            false => Err(format!("zone {}: {what}", self.name)),
        };
        check(
            self.keys.len() == self.active.len(),
            "a job without its key",
        )?;
        for (key, number) in &self.keys {
            let same = self
                .active
                .get(number)
                .is_some_and(|active| active.key == *key);
            check(same, "a key without its job")?;
        }
        check(
            self.attempt_tokens.len() == self.open_attempts.len(),
            "an attempt without its flight",
        )?;
        for (token, open) in &self.open_attempts {
            check(
                self.attempt_tokens.get(&open.attempt) == Some(token),
                "a flight without its attempt",
            )?;
            let entry = self.targets.get(&open.target);
            check(
                entry.is_some_and(|entry| entry.open_attempts.contains(token)),
                "a flight on an unknown target",
            )?;
        }
        for entry in self.targets.values() {
            let known = |token: &u64| self.open_attempts.contains_key(token);
            check(
                entry.open_attempts.iter().all(known),
                "a target's lost flight",
            )?;
        }
        Ok(())
    }

    /// What is kept for work that hasn't ended, by kind.
    pub(crate) fn unfinished_counts(&self) -> Vec<(&'static str, usize)> {
        vec![
            ("jobs", self.active.len()),
            ("flights", self.open_attempts.len()),
            ("fences", self.fences.len()),
            ("waiters", self.waiters.len()),
            ("unconfirmed", self.unconfirmed_replies.len()),
            ("reading", self.pending_reads.len()),
            ("delayed", self.deferred_commands.len()),
            ("users of incarnations", self.dependent_jobs.len()),
            ("waiting deregistrations", self.lost_incarnations.len()),
            (
                "proposed deregistrations",
                self.pending_deregistrations.len(),
            ),
            // One is always set, for the next expiry.
            ("timers", self.timers.len() - 1),
            ("recovery", usize::from(self.recovery.is_some())),
        ]
    }
}
