//! How many targets run each kind of work, and which of them are ejected.
//!
//! For each kind of work, at most a share of the targets that run it is ejected at once. One may
//! always be ejected, unless it is the last: in a group smaller than the share allows for, a
//! target that fails everything would otherwise keep its work.

use std::collections::{BTreeMap, BTreeSet};

use greengage_core::{TargetName, TemplateName, Time};

/// How a target counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Availability {
    /// It may be sent work.
    Usable,
    /// It is ejected until then.
    Ejected(Time),
}

#[derive(Default)]
struct Kind {
    /// Usable and ejected targets.
    total: usize,
    /// The ejected ones, the first to be tried again first.
    ejected: BTreeSet<(Time, TargetName)>,
}

/// Counts per kind of work.
///
/// Trees and not sorted vectors: at 4,400 targets each change would move thousands of entries.
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

    /// Most targets that may be ejected of `total`.
    fn max_ejected(&self, total: usize) -> usize {
        let min = usize::from(self.max_percent > 0);
        (total * self.max_percent / 100)
            .max(min)
            .min(total.saturating_sub(1))
    }

    /// Counts a target that runs `work`.
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

    /// An ejected target that must be tried early, because more than the share of the targets
    /// that run a kind in `work` is ejected.
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
