//! The known targets of a VM.
//!
//! A VM knows all targets of the deployment, since it may have to take them over, but uses few of
//! them: those that it owns, or that are assigned to it, or whose last runs it still waits for. What
//! is done often walks only these, so that its cost doesn't grow with the deployment.

use greengage_core::{Address, Demand, SortedMap, TargetName};

use crate::target::{Ownership, Target};

#[derive(Debug, Default)]
pub(crate) struct Targets {
    all: SortedMap<TargetName, Target>,
    /// Positions in `all` of the targets in use, and of some that no longer are, ascending. The walks
    /// over them are the most frequent ones, so that a search by name for each would cost more than
    /// what is done with it.
    used: Vec<usize>,
    /// The target that has last reported each address.
    by_address: SortedMap<Address, TargetName>,
}

fn is_used(target: &Target) -> bool {
    target.ownership != Ownership::Unowned
        || target.assigned_since.is_some()
        || !target.runs.is_empty()
}

impl Targets {
    /// Number of known targets.
    pub(crate) fn len(&self) -> usize {
        self.all.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    pub(crate) fn contains(&self, name: &TargetName) -> bool {
        self.all.contains(name)
    }

    pub(crate) fn get(&self, name: &TargetName) -> Option<&Target> {
        self.all.get(name)
    }

    pub(crate) fn get_mut(&mut self, name: &TargetName) -> Option<&mut Target> {
        self.all.get_mut(name)
    }

    /// The target that has reported an address.
    pub(crate) fn at_address(&self, address: &Address) -> Option<&TargetName> {
        self.by_address.get(address)
    }

    pub(crate) fn insert(&mut self, name: TargetName, target: Target) {
        self.by_address
            .insert(target.report.address.clone(), name.clone());
        let is_new = !self.all.contains(&name);
        self.all.insert(name.clone(), target);
        if let Some(added) = self.all.position(&name).filter(|_| is_new) {
            let behind = self.used.iter_mut().filter(|position| **position >= added);
            behind.for_each(|position| *position += 1);
        }
    }

    /// Records that a target has another address than the one in its last report.
    pub(crate) fn set_address(&mut self, name: &TargetName, address: &Address) {
        let earlier = self.all.get(name).map(|target| &target.report.address);
        if let Some(earlier) = earlier.filter(|earlier| *earlier != address).cloned() {
            self.clear_address(name, &earlier);
            self.by_address.insert(address.clone(), name.clone());
        }
    }

    pub(crate) fn remove(&mut self, name: &TargetName) {
        let Some(removed) = self.all.position(name) else {
            return;
        };
        self.used.retain(|position| *position != removed);
        let behind = self.used.iter_mut().filter(|position| **position > removed);
        behind.for_each(|position| *position -= 1);
        if let Some(target) = self.all.remove(name) {
            self.clear_address(name, &target.report.address);
        }
    }

    /// Forgets the address of a target, unless another one has reported it since.
    fn clear_address(&mut self, name: &TargetName, address: &Address) {
        if self.at_address(address) == Some(name) {
            self.by_address.remove(address);
        }
    }

    /// All known targets, in the order of their names.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&TargetName, &Target)> {
        self.all.iter()
    }

    /// All known targets, mutable, in the order of their names.
    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut Target> {
        self.all.values_mut()
    }

    /// Determines which targets are in use, after targets were assigned. Only an assigned target is
    /// claimed, and only an owned one gets runs, so no other change adds one.
    pub(crate) fn review_used(&mut self) {
        let used = self.all.values().enumerate();
        let used = used.filter(|(_, target)| is_used(target));
        self.used = used.map(|(position, _)| position).collect();
    }

    /// Forgets targets that are no longer in use.
    pub(crate) fn prune_used(&mut self) {
        let all = &self.all;
        let used = |position: usize| all.at(position).is_some_and(|(_, target)| is_used(target));
        self.used.retain(|position| used(*position));
    }

    /// The target at a position that [`Targets::used_positions`] has returned, while no target is
    /// added or removed.
    pub(crate) fn at(&self, position: usize) -> Option<(&TargetName, &Target)> {
        self.all.at(position)
    }

    /// Sets what is kept for waiting jobs on the targets at some positions, ascending, and nothing on
    /// the others in use. Returns whether that is a change.
    pub(crate) fn set_reserved(&mut self, reserved: impl Iterator<Item = (usize, Demand)>) -> bool {
        let mut reserved = reserved.peekable();
        let mut changed = false;
        for position in &self.used {
            let found = reserved.next_if(|(kept, _)| kept == position);
            let demand = found.map_or_else(Demand::default, |(_, demand)| demand);
            if let Some((_, target)) = self.all.at_mut(*position) {
                changed |= target.reserved != demand;
                target.reserved = demand;
            }
        }
        changed
    }

    /// Positions of the targets in use, and of some others.
    pub(crate) fn used_positions(&self) -> impl Iterator<Item = usize> + '_ {
        self.used.iter().copied()
    }

    /// The targets in use, and some others, in the order of their names.
    pub(crate) fn used(&self) -> impl Iterator<Item = (&TargetName, &Target)> {
        self.used_positions()
            .filter_map(|position| self.at(position))
    }

    /// Calls a function for each target in use, and some others, in the order of their names.
    pub(crate) fn for_each_used(&mut self, mut function: impl FnMut(&TargetName, &mut Target)) {
        for position in &self.used {
            if let Some((name, target)) = self.all.at_mut(*position) {
                function(name, target);
            }
        }
    }
}
