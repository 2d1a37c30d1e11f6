//! The known targets of a VM.
//!
//! A VM knows all targets of the deployment, since it may have to take them over, but uses few of
//! them: those that it owns, or that are assigned to it, or whose last runs it still waits for. What
//! is done often walks only these, so that its cost doesn't grow with the deployment.

use greengage_core::{Address, SortedMap, TargetName};

use crate::target::{Ownership, Target};

#[derive(Debug, Default)]
pub(crate) struct Targets {
    all: SortedMap<TargetName, Target>,
    /// Names of the targets in use, and of some that no longer are, ascending.
    used: Vec<TargetName>,
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
        self.all.insert(name, target);
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
        let used = self.all.iter().filter(|(_, target)| is_used(target));
        self.used = used.map(|(name, _)| name.clone()).collect();
    }

    /// Forgets targets that are no longer in use.
    pub(crate) fn prune_used(&mut self) {
        let all = &self.all;
        self.used.retain(|name| all.get(name).is_some_and(is_used));
    }

    /// The targets in use, and some others, in the order of their names.
    pub(crate) fn used(&self) -> impl Iterator<Item = (&TargetName, &Target)> {
        let used = self.used.iter();
        used.filter_map(|name| self.all.get(name).map(|target| (name, target)))
    }

    /// Calls a function for each target in use, and some others, in the order of their names.
    pub(crate) fn for_each_used(&mut self, mut function: impl FnMut(&TargetName, &mut Target)) {
        for name in &self.used {
            if let Some(target) = self.all.get_mut(name) {
                function(name, target);
            }
        }
    }
}
