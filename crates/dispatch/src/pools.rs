//! Pools: kinds of work that share targets, directly or through others.
//!
//! Accounts compete only within a pool. Shares and waiting times are computed per pool, so that
//! work on one group of targets never counts against work on another.

use greengage_core::SortedMap;

use crate::ids::{PoolId, WorkId};

/// The pool of each kind of work.
#[derive(Default)]
pub(crate) struct Pools {
    offer_counts: SortedMap<Vec<WorkId>, u32>,
    pool_of: Vec<PoolId>,
    members: Vec<Vec<WorkId>>,
}

impl Pools {
    /// The pool of a kind of work.
    pub(crate) fn pool_of(&self, work: WorkId) -> PoolId {
        self.pool_of[work.index()]
    }

    /// The kinds of work of a pool.
    pub(crate) fn members(&self, pool: PoolId) -> &[WorkId] {
        &self.members[pool.index()]
    }

    /// Makes room for a new kind of work in a pool of its own.
    pub(crate) fn add(&mut self, work: WorkId) {
        if work.index() == self.pool_of.len() {
            self.pool_of.push(PoolId(work.0));
            self.members.push(vec![work]);
        }
    }

    /// Counts a target that offers `works`; returns whether pools changed.
    pub(crate) fn add_target(&mut self, works: &[WorkId]) -> bool {
        let count = self.offer_counts.entry(works.to_vec(), || 0);
        *count += 1;
        *count == 1 && self.rebuild()
    }

    /// Removes a target that offered `works`; returns whether pools changed.
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

    /// Joins works by the distinct lists of targets, of which there are few.
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

fn find_root(parent: &mut [usize], mut w: usize) -> usize {
    while parent[w] != w {
        parent[w] = parent[parent[w]];
        w = parent[w];
    }
    w
}
