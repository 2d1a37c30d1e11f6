//! Pools: kinds of work that share targets, directly or through others.
//!
//! Accounts compete only within a pool. Shares and waiting times are computed per pool, so that
//! work on one group of targets never counts against work on another.

use greengage_core::SortedMap;

use crate::ids::{PoolId, WorkId};

/// The pool of each kind of work.
#[derive(Default)]
pub(crate) struct Pools {
    offers: SortedMap<Vec<WorkId>, u32>,
    of: Vec<PoolId>,
    members: Vec<Vec<WorkId>>,
}

impl Pools {
    /// The pool of a kind of work.
    pub(crate) fn of(&self, work: WorkId) -> PoolId {
        self.of[work.at()]
    }

    /// The kinds of work of a pool.
    pub(crate) fn members(&self, pool: PoolId) -> &[WorkId] {
        &self.members[pool.at()]
    }

    /// Makes room for a new kind of work in a pool of its own.
    pub(crate) fn add(&mut self, work: WorkId) {
        if work.at() == self.of.len() {
            self.of.push(PoolId(work.0));
            self.members.push(vec![work]);
        }
    }

    /// Counts a target that offers `works`; returns whether pools changed.
    pub(crate) fn offer(&mut self, works: &[WorkId]) -> bool {
        let count = self.offers.entry(works.to_vec(), || 0);
        *count += 1;
        *count == 1 && self.rebuild()
    }

    /// Removes a target that offered `works`; returns whether pools changed.
    pub(crate) fn withdraw(&mut self, works: &[WorkId]) -> bool {
        let Some(count) = self.offers.get_mut(works) else {
            return false;
        };
        *count -= 1;
        if *count > 0 {
            return false;
        }
        self.offers.remove(works);
        self.rebuild()
    }

    /// Joins works by the distinct lists of targets, of which there are few.
    fn rebuild(&mut self) -> bool {
        let mut parent: Vec<usize> = (0..self.of.len()).collect();
        for works in self.offers.keys() {
            for pair in works.windows(2) {
                let (a, b) = (
                    root(&mut parent, pair[0].at()),
                    root(&mut parent, pair[1].at()),
                );
                parent[a.max(b)] = a.min(b);
            }
        }
        let of: Vec<PoolId> = (0..self.of.len())
            .map(|w| PoolId::new(root(&mut parent, w)))
            .collect();
        let changed = of != self.of;
        self.members = vec![Vec::new(); of.len()];
        for (work, pool) in of.iter().enumerate() {
            self.members[pool.at()].push(WorkId::new(work));
        }
        self.of = of;
        changed
    }
}

fn root(parent: &mut [usize], mut w: usize) -> usize {
    while parent[w] != w {
        parent[w] = parent[parent[w]];
        w = parent[w];
    }
    w
}
