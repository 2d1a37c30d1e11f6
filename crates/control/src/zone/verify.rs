//! Checks of the leader's state, for tests.

use super::*;

impl Zone {
    /// Checks that the maps of the leader agree.
    pub(crate) fn verify(&self) -> Result<(), String> {
        let check = |holds: bool, what: &str| match holds {
            true => Ok(()),
            false => Err(format!("zone {}: {what}", self.name)),
        };
        check(self.keys.len() == self.live.len(), "a job without its key")?;
        for (key, number) in &self.keys {
            let same = self.live.get(number).is_some_and(|live| live.key == *key);
            check(same, "a key without its job")?;
        }
        check(
            self.attempts.len() == self.flights.len(),
            "an attempt without its flight",
        )?;
        for (token, flight) in &self.flights {
            check(
                self.attempts.get(&flight.attempt) == Some(token),
                "a flight without its attempt",
            )?;
            let member = self.targets.get(&flight.target);
            check(
                member.is_some_and(|member| member.flights.contains(token)),
                "a flight on an unknown target",
            )?;
        }
        for member in self.targets.values() {
            let known = |token: &u64| self.flights.contains_key(token);
            check(member.flights.iter().all(known), "a target's lost flight")?;
        }
        Ok(())
    }

    /// What is kept for work that hasn't ended, by kind.
    pub(crate) fn leftover(&self) -> Vec<(&'static str, usize)> {
        vec![
            ("jobs", self.live.len()),
            ("flights", self.flights.len()),
            ("fences", self.fences.len()),
            ("waiters", self.waiters.len()),
            ("unconfirmed", self.unconfirmed.len()),
            ("reading", self.reading.len()),
            ("delayed", self.delayed.len()),
            ("users of incarnations", self.users.len()),
            ("waiting deregistrations", self.lost.len()),
            ("proposed deregistrations", self.leaving.len()),
            // One is always set, for the next expiry.
            ("timers", self.timers.len() - 1),
            ("recovery", usize::from(self.recovery.is_some())),
        ]
    }
}
