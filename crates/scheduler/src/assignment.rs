//! Assignment of targets to entry VMs.
//!
//! The assignment is a function of the list of live VMs, so VMs with the same list agree without
//! messages. A target is assigned to a VM of its zone if there is one. Rendezvous hashing keeps
//! most assignments when the lists change, and a cap on the targets of each VM balances them. VMs
//! with different lists may disagree for a while; the generation that targets check then decides.

use std::hash::{Hash, Hasher};

use greengage_core::{value, TargetName, VmName, ZoneName};

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

/// FNV-1a, which gives the same values in all builds, unlike the standard library's hasher.
struct Fnv(u64);

impl Hasher for Fnv {
    fn finish(&self) -> u64 {
        // Mixes in the high bits: the low bits of FNV-1a differ little between similar names.
        let x = self.0 ^ (self.0 >> 32);
        x.wrapping_mul(0x9e37_79b9_7f4a_7c15)
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

fn score(target: &TargetName, vm: &VmName) -> u64 {
    let mut hasher = Fnv(0xcbf2_9ce4_8422_2325);
    target.as_str().hash(&mut hasher);
    vm.as_str().hash(&mut hasher);
    hasher.finish()
}

/// Assigns targets to VMs; both lists are sorted by name. Returns for each target an index into
/// `vms`, or `None` without any VM.
pub fn assign(targets: &[(&TargetName, &ZoneName)], vms: &[Candidate]) -> Vec<Option<usize>> {
    let mut owned = vec![0u32; vms.len()];
    let mut owners = Vec::with_capacity(targets.len());
    for (target, zone) in targets {
        let has_zone_vm = vms.iter().any(|vm| vm.zone == **zone);
        let eligible = |vm: &Candidate| !has_zone_vm || vm.zone == **zone;
        let zone_targets = targets
            .iter()
            .filter(|(_, z)| !has_zone_vm || z == zone)
            .count() as u64;
        let total: u64 = vms
            .iter()
            .filter(|vm| eligible(vm))
            .map(|vm| u64::from(vm.weight))
            .sum();
        let best = vms
            .iter()
            .enumerate()
            .filter(|(i, vm)| {
                let cap = (zone_targets * u64::from(vm.weight)).div_ceil(total.max(1));
                eligible(vm) && u64::from(owned[*i]) < cap
            })
            .max_by_key(|(_, vm)| score(target, &vm.vm))
            .map(|(i, _)| i)
            .or_else(|| vms.iter().position(eligible));
        if let Some(i) = best {
            owned[i] += 1;
        }
        owners.push(best);
    }
    owners
}
