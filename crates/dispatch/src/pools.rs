//! Pools: the connected components of the kinds of work, linked by the targets that run them.
//!
//! Accounts compete only within a pool. Shares and waiting times are computed per pool, so that
//! work on one group of targets never counts against work on another.

use greengage_core::SortedMap;

use crate::ids::{PoolId, WorkId};

/// The current pools.
#[derive(Default)]
pub(crate) struct Pools {
    /// Number of targets per distinct list of kinds of work.
    offer_counts: SortedMap<Vec<WorkId>, u32>,
    pool_of: Vec<PoolId>,
    members: Vec<Vec<WorkId>>,
}

impl Pools {
    pub(crate) fn pool_of(&self, work: WorkId) -> PoolId {
        self.pool_of[work.index()]
    }

    /// The kinds of work in a pool.
    pub(crate) fn members(&self, pool: PoolId) -> &[WorkId] {
        &self.members[pool.index()]
    }

    /// Adds a new kind of work as a pool of its own.
    pub(crate) fn add(&mut self, work: WorkId) {
        if work.index() == self.pool_of.len() {
            self.pool_of.push(PoolId(work.0));
            self.members.push(vec![work]);
        }
    }

    /// Counts a target that runs `works`; returns whether the pools changed.
    pub(crate) fn add_target(&mut self, works: &[WorkId]) -> bool {
        let count = self.offer_counts.get_or_insert_with(works.to_vec(), || 0);
        *count += 1;
        *count == 1 && self.rebuild()
    }

    /// Removes a target that ran `works`; returns whether the pools changed.
    pub(crate) fn remove_target(&mut self, works: &[WorkId]) -> bool {
        let Some(count) = self.offer_counts.get_mut(works) else {
            return false;
        };
        *count -= 1;
        if *count > 0 {
            return false;
        }
        self.offer_counts.remove(works);
        self.rebuild()
    }

    /// Recomputes the pools with a union-find over the distinct lists of kinds of work, of which
    /// there are few; returns whether they changed.
    fn rebuild(&mut self) -> bool {
        let mut parent: Vec<usize> = (0..self.pool_of.len()).collect();
        for works in self.offer_counts.keys() {
            for pair in works.windows(2) {
                let (a, b) = (
                    find_root(&mut parent, pair[0].index()),
                    find_root(&mut parent, pair[1].index()),
                );
                parent[a.max(b)] = a.min(b);
            }
        }
        let pool_of: Vec<PoolId> = (0..self.pool_of.len())
            .map(|w| PoolId::new(find_root(&mut parent, w)))
            .collect();
        let changed = pool_of != self.pool_of;
        self.members = vec![Vec::new(); pool_of.len()];
        for (work, pool) in pool_of.iter().enumerate() {
            self.members[pool.index()].push(WorkId::new(work));
        }
        self.pool_of = pool_of;
        changed
    }
}

/// Finds the representative of a set and halves the path to it.
fn find_root(parent: &mut [usize], mut w: usize) -> usize {
    while parent[w] != w {
        parent[w] = parent[parent[w]];
        w = parent[w];
    }
    w
}
