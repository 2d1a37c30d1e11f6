//! Assignment of targets to entry VMs.
//!
//! The assignment is a function of the list of live VMs, so VMs with the same list agree without
//! messages. A target is assigned to a VM of its zone if there is one; the targets of zones without
//! a VM are then shared by all VMs. Rendezvous hashing keeps most assignments when the lists change,
//! and a cap on the targets of each VM balances them. VMs with different lists may disagree for a
//! while; the generation that targets check then decides.
//!
//! The cost is one integer hash for each target and each VM of its zone.

use greengage_core::{value, SortedMap, TargetName, VmName, ZoneName};

/// Weight of a VM of unknown size.
pub const DEFAULT_WEIGHT: u32 = 100;

/// An entry VM that targets may be assigned to.
#[value]
pub struct Candidate {
    /// The VM.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its size relative to other VMs.
    pub weight: u32,
}

/// Hash of a name by FNV-1a, which gives the same values in all builds, unlike the standard
/// library's hasher.
pub(crate) fn name_hash(name: &str) -> u64 {
    let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    mix(hash)
}

/// Spreads a value over all bits: the values of FNV-1a differ in few bits between similar names.
fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (x ^ (x >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93)
}

/// Preference of a target for a VM, from the hashes of their names.
fn score(target: u64, vm: u64) -> u64 {
    mix(target ^ vm.rotate_left(32))
}

/// A hash of two VMs that doesn't depend on their order.
pub fn pair_hash(a: &VmName, b: &VmName) -> u64 {
    mix(name_hash(a.as_str()) ^ name_hash(b.as_str()))
}

/// VMs that share a set of targets.
#[derive(Default)]
struct Group {
    /// Indices of the VMs.
    vms: Vec<usize>,
    /// Sum of their weights.
    weight: u64,
    /// Number of targets that they share.
    targets: u64,
}

impl Group {
    fn add(&mut self, index: usize, vm: &Candidate) {
        self.vms.push(index);
        self.weight += u64::from(vm.weight);
    }
}

/// The assignment while it is worked out.
struct Shares<'a> {
    vms: &'a [Candidate],
    hashes: Vec<u64>,
    /// Number of targets of each VM.
    owned: Vec<u64>,
}

impl Shares<'_> {
    /// Assigns a target to a VM of the group and returns the VM's index.
    fn place(&mut self, target: &TargetName, group: &Group) -> Option<usize> {
        let hash = name_hash(target.as_str());
        let weight = |i: usize| u64::from(self.vms[i].weight);
        let cap = |i: usize| (group.targets * weight(i)).div_ceil(group.weight.max(1));
        let below_cap = group.vms.iter().filter(|i| self.owned[**i] < cap(**i));
        let best = below_cap
            .max_by_key(|i| score(hash, self.hashes[**i]))
            // VMs may exceed the cap by the targets of their own zone.
            .or_else(|| group.vms.iter().min_by_key(|i| self.owned[**i]))
            .copied()?;
        self.owned[best] += 1;
        Some(best)
    }
}

/// Assigns targets to VMs; both lists are sorted by name. Returns for each target an index into
/// `vms`, or `None` without any VM.
pub fn assign(targets: &[(&TargetName, &ZoneName)], vms: &[Candidate]) -> Vec<Option<usize>> {
    let mut zones: SortedMap<&ZoneName, Group> = SortedMap::new();
    let mut all = Group::default();
    for (i, vm) in vms.iter().enumerate() {
        zones
            .get_or_insert_with(&vm.zone, Group::default)
            .add(i, vm);
        all.add(i, vm);
    }
    for (_, zone) in targets {
        all.targets += 1;
        if let Some(group) = zones.get_mut(zone) {
            group.targets += 1;
        }
    }
    let mut shares = Shares {
        vms,
        hashes: vms.iter().map(|vm| name_hash(vm.vm.as_str())).collect(),
        owned: vec![0; vms.len()],
    };
    let mut owners = Vec::with_capacity(targets.len());
    for (target, zone) in targets {
        let group = zones.get(zone);
        owners.push(group.and_then(|group| shares.place(target, group)));
    }
    for ((target, zone), owner) in targets.iter().zip(&mut owners) {
        if !zones.contains(zone) {
            *owner = shares.place(target, &all);
        }
    }
    owners
}
