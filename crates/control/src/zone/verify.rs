//! Consistency checks of the zone leader's state, for tests.

use super::*;

impl Zone {
    /// Checks that the maps are consistent with each other.
    pub(crate) fn verify(&self) -> Result<(), String> {
        let check = |holds: bool, what: &str| match holds {
            true => Ok(()),
            false => Err(format!("zone {}: {what}", self.name)),
        };
        check(
            self.keys.len() == self.active_jobs.len(),
            "a job without a key",
        )?;
        for (key, number) in &self.keys {
            let same = self
                .active_jobs
                .get(number)
                .is_some_and(|job| job.key == *key);
            check(same, "a key without a job")?;
        }
        check(
            self.attempt_tokens.len() == self.open_attempts.len(),
            "an attempt token without an open attempt",
        )?;
        for (token, open_attempt) in &self.open_attempts {
            check(
                self.attempt_tokens.get(&open_attempt.attempt) == Some(token),
                "an open attempt without a token",
            )?;
            let entry = self.targets.get(&open_attempt.target);
            check(
                entry.is_some_and(|entry| entry.open_attempts.contains(token)),
                "an open attempt on an unknown target",
            )?;
        }
        for entry in self.targets.values() {
            let known = |token: &u64| self.open_attempts.contains_key(token);
            check(
                entry.open_attempts.iter().all(known),
                "a token of a target without an open attempt",
            )?;
        }
        Ok(())
    }

    /// Number of entries kept for unfinished work, by kind.
    pub(crate) fn unfinished_counts(&self) -> Vec<(&'static str, usize)> {
        vec![
            ("jobs", self.active_jobs.len()),
            ("open attempts", self.open_attempts.len()),
            ("fences", self.fences.len()),
            ("checks", self.checks.len()),
            ("waiters", self.waiters.len()),
            ("unconfirmed replies", self.unconfirmed_replies.len()),
            ("pending reads", self.pending_reads.len()),
            ("deferred commands", self.deferred_commands.len()),
            (
                "incarnations with dependent jobs",
                self.dependent_jobs.len(),
            ),
            ("lost incarnations", self.lost_incarnations.len()),
            (
                "pending deregistrations",
                self.pending_deregistrations.len(),
            ),
            // The timer for the next expiry is always set.
            ("timers", self.timers.len() - 1),
            ("recovery", usize::from(self.recovery.is_some())),
        ]
    }
}
