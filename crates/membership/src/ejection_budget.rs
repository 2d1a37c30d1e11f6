//! Number of targets for each kind of work, and which of them are ejected.
//!
//! For each kind of work, at most a percentage of its targets may be ejected at once. One target
//! may always be ejected unless it is the last one: in a group so small that the percentage rounds
//! to none, a target that fails everything would otherwise keep its work.

use std::collections::{BTreeMap, BTreeSet};

use greengage_core::{TargetName, TemplateName, Time};

/// How a target counts towards the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Availability {
    /// It may be sent work.
    Usable,
    /// It is ejected until the given time.
    Ejected(Time),
}

#[derive(Default)]
struct Kind {
    /// Number of usable and ejected targets.
    total: usize,
    /// The ejected targets, ordered by the end of their ejection.
    ejected: BTreeSet<(Time, TargetName)>,
}

/// Counts for each kind of work.
///
/// Trees instead of sorted vectors: with 4,400 targets each change would move thousands of entries.
pub(crate) struct EjectionBudget {
    max_percent: usize,
    kinds: BTreeMap<TemplateName, Kind>,
}

impl EjectionBudget {
    pub(crate) fn new(max_percent: u32) -> EjectionBudget {
        EjectionBudget {
            max_percent: max_percent.min(100) as usize,
            kinds: BTreeMap::new(),
        }
    }

    /// Maximum number of targets out of `total` that may be ejected; 0 if the percentage is 0.
    fn max_ejected(&self, total: usize) -> usize {
        let min = usize::from(self.max_percent > 0);
        (total * self.max_percent / 100)
            .max(min)
            .min(total.saturating_sub(1))
    }

    /// Adds a target that runs `work`.
    pub(crate) fn add(
        &mut self,
        target: &TargetName,
        work: &[TemplateName],
        availability: Availability,
    ) {
        for name in work {
            let kind = self.kinds.entry(name.clone()).or_default();
            kind.total += 1;
            if let Availability::Ejected(until) = availability {
                kind.ejected.insert((until, target.clone()));
            }
        }
    }

    /// Reverses `add` with the same arguments.
    pub(crate) fn remove(
        &mut self,
        target: &TargetName,
        work: &[TemplateName],
        availability: Availability,
    ) {
        for name in work {
            let Some(kind) = self.kinds.get_mut(name) else {
                continue;
            };
            kind.total -= 1;
            if let Availability::Ejected(until) = availability {
                kind.ejected.remove(&(until, target.clone()));
            }
            if kind.total == 0 {
                self.kinds.remove(name);
            }
        }
    }

    /// Whether one more target that runs `work` may be ejected.
    pub(crate) fn allows_ejection(&self, work: &[TemplateName]) -> bool {
        work.iter().all(|name| match self.kinds.get(name) {
            Some(kind) => kind.ejected.len() < self.max_ejected(kind.total),
            None => false,
        })
    }

    /// The target whose ejection must end early because too many targets of a kind in `work` are
    /// ejected: the one whose ejection ends first. `None` if no limit is exceeded.
    pub(crate) fn excess_ejection(&self, work: &[TemplateName]) -> Option<TargetName> {
        work.iter().find_map(|name| {
            let kind = self.kinds.get(name)?;
            if kind.ejected.len() <= self.max_ejected(kind.total) {
                return None;
            }
            kind.ejected.first().map(|(_, target)| target.clone())
        })
    }
}
