//! The deployment as described by this VM's settings.

use std::fmt;
use std::time::Duration;

use greengage_agreement::{Config, MemberRole, Timing};
use greengage_core::{value, AccountName, Incarnation, Name, NodeId, SortedMap, VmName, ZoneName};
use greengage_dispatch::Tuning;

/// Maximum length of a VM name in bytes; the ids of repeatable requests contain it and are limited
/// in length themselves.
pub(crate) const MAX_VM_NAME_BYTES: usize = 64;

/// Roles of a VM besides accepting callers.
#[value]
#[derive(Default)]
pub struct Roles {
    /// Whether it votes in the control group.
    pub control: bool,
    /// Whether it votes in the ledger group of its zone.
    pub ledger: bool,
    /// Zones in whose ledger groups it is a witness.
    pub witness: Vec<ZoneName>,
}

impl Roles {
    /// Whether any of the roles needs a data folder.
    pub fn needs_disk(&self) -> bool {
        self.control || self.ledger || !self.witness.is_empty()
    }
}

/// A VM of the deployment.
#[value]
pub struct VmSpec {
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Roles of the VM.
    pub roles: Roles,
}

/// Time limits and sizes of the control state.
#[value]
pub struct Limits {
    /// Election and heartbeat times of Raft.
    pub timing: Timing,
    /// Interval of status reports to the other VMs.
    pub status_interval: Duration,
    /// How long a forwarded request may stay unanswered before it is sent again.
    pub resend_timeout: Duration,
    /// How long a closed submission is kept in the ledger.
    pub retention: Duration,
    /// How long a new leader waits for registered targets to answer its fence.
    pub fence_timeout: Duration,
    /// Delay between two calls about an attempt or a fence that got no usable answer.
    pub poll_interval: Duration,
    /// How long a start may stay unanswered beyond twice the expected run time before the target is
    /// asked about it on a new connection. The client keeps idle connections for a shorter time, so
    /// that the next start isn't sent on one that may have fallen silent at the same time.
    pub start_patience: Duration,
    /// Number of applied entries after which a log is compacted.
    pub compact_after: u64,
    /// Maximum number of events in the time line.
    pub max_events: usize,
    /// Maximum number of edits kept for VMs that are behind; a VM further behind gets the whole
    /// state.
    pub max_edits: usize,
    /// Dispatch settings of a zone's leader.
    pub tuning: Tuning,
    /// How long a draining VM still accepts callers, so that the load balancer sees that it is not
    /// ready.
    pub drain_grace: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            timing: Timing::default(),
            status_interval: Duration::from_millis(500),
            resend_timeout: Duration::from_secs(2),
            retention: Duration::from_secs(3600),
            fence_timeout: Duration::from_millis(3500),
            poll_interval: Duration::from_millis(200),
            start_patience: Duration::from_millis(600),
            compact_after: 10_000,
            max_events: 50_000,
            max_edits: 1_000,
            tuning: Tuning::default(),
            drain_grace: Duration::from_secs(1),
        }
    }
}

/// This VM and its deployment.
#[value]
pub struct Site {
    /// Name of this VM.
    pub vm: VmName,
    /// All VMs, including this one.
    pub vms: SortedMap<VmName, VmSpec>,
    /// Id of the data folder; `None` without one. 0 marks a founding member's folder.
    pub folder: Option<u64>,
    /// Number of this start of the process; greater than that of each earlier start.
    pub incarnation: Incarnation,
    /// Traffic that this VM can take, relative to other VMs.
    pub weight: u32,
    /// Seed of all random choices.
    pub seed: u64,
    /// Time limits and sizes of the control state.
    pub limits: Limits,
}

/// Why the settings do not describe a valid deployment.
#[value(local)]
pub enum SiteError {
    /// This VM is not in the list of VMs.
    Absent(VmName),
    /// A VM name is longer than the maximum.
    LongName(VmName),
    /// No VM votes in the control group.
    NoControl,
    /// No VM votes in the ledger group of a zone.
    NoLedger(ZoneName),
    /// A VM is a witness of its own zone or of an unknown one.
    Witness {
        /// VM with the invalid role.
        vm: VmName,
        /// Zone that the role names.
        zone: ZoneName,
    },
    /// This VM has a role that needs a data folder, and none is set.
    NoFolder(VmName),
}

impl fmt::Display for SiteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SiteError::Absent(vm) => {
                write!(
                    f,
                    "VM {vm} is not in the list of VMs: add it or correct the name"
                )
            }
            SiteError::LongName(vm) => {
                write!(
                    f,
                    "VM name {vm} has more than {MAX_VM_NAME_BYTES} bytes: shorten it"
                )
            }
            SiteError::NoControl => {
                write!(
                    f,
                    "no VM has the role control: give it to an odd number of VMs"
                )
            }
            SiteError::NoLedger(zone) => write!(
                f,
                "zone {zone} has no VM with the role ledger: give it to the zone's VMs with disks"
            ),
            SiteError::Witness { vm, zone } => write!(
                f,
                "VM {vm} can't be a witness of zone {zone}: name another configured zone"
            ),
            SiteError::NoFolder(vm) => write!(
                f,
                "VM {vm} has a role that needs a disk: set a data folder or drop the role"
            ),
        }
    }
}

impl std::error::Error for SiteError {}

impl Site {
    /// Checks that the deployment is valid; returns the first fault that it finds.
    pub fn verify(&self) -> Result<(), SiteError> {
        let own = match self.vms.get(&self.vm) {
            Some(own) => own,
            None => return Err(SiteError::Absent(self.vm.clone())),
        };
        if let Some(vm) = self
            .vms
            .keys()
            .find(|vm| vm.as_str().len() > MAX_VM_NAME_BYTES)
        {
            return Err(SiteError::LongName(vm.clone()));
        }
        if !self.vms.values().any(|spec| spec.roles.control) {
            return Err(SiteError::NoControl);
        }
        let zones = self.zones();
        for zone in &zones {
            let voter = |spec: &VmSpec| spec.roles.ledger && spec.zone == *zone;
            if !self.vms.values().any(voter) {
                return Err(SiteError::NoLedger(zone.clone()));
            }
        }
        for (vm, spec) in self.vms.iter() {
            let invalid = |zone: &&ZoneName| **zone == spec.zone || !zones.contains(zone);
            if let Some(zone) = spec.roles.witness.iter().find(invalid) {
                return Err(SiteError::Witness {
                    vm: vm.clone(),
                    zone: zone.clone(),
                });
            }
        }
        if own.roles.needs_disk() && self.folder.is_none() {
            return Err(SiteError::NoFolder(self.vm.clone()));
        }
        Ok(())
    }

    /// This VM's availability zone.
    pub fn zone(&self) -> &ZoneName {
        &self.vms.get(&self.vm).expect("verified").zone
    }

    /// This VM's roles.
    pub fn roles(&self) -> &Roles {
        &self.vms.get(&self.vm).expect("verified").roles
    }

    /// The configured zones in order of their names.
    pub fn zones(&self) -> Vec<ZoneName> {
        let mut zones: Vec<ZoneName> = self.vms.values().map(|spec| spec.zone.clone()).collect();
        zones.sort();
        zones.dedup();
        zones
    }

    /// The other VMs.
    pub fn others(&self) -> impl Iterator<Item = (&VmName, &VmSpec)> {
        self.vms.iter().filter(|(vm, _)| **vm != self.vm)
    }

    /// This VM's node id in its groups.
    pub fn node(&self) -> NodeId {
        NodeId {
            vm: self.vm.clone(),
            folder: self.folder.unwrap_or(0),
        }
    }

    /// Initial members of the control group; empty for a data folder created later.
    pub fn initial_control_config(&self) -> Config {
        self.initial_config(|spec| spec.roles.control.then_some(MemberRole::Voter))
    }

    /// Initial members of a zone's ledger group; empty for a data folder created later.
    pub fn initial_ledger_config(&self, zone: &ZoneName) -> Config {
        self.initial_config(|spec| {
            if spec.roles.ledger && spec.zone == *zone {
                return Some(MemberRole::Voter);
            }
            spec.roles
                .witness
                .contains(zone)
                .then_some(MemberRole::Witness)
        })
    }

    fn initial_config(&self, seat: impl Fn(&VmSpec) -> Option<MemberRole>) -> Config {
        // A folder with an id other than 0 was created after the group. The leader must add its VM,
        // because the folder may replace one that has voted.
        if self.folder != Some(0) {
            return Config::default();
        }
        let member = |(vm, spec): (&VmName, &VmSpec)| {
            let vm = vm.clone();
            seat(spec).map(|seat| (NodeId { vm, folder: 0 }, seat))
        };
        Config {
            members: self.vms.iter().filter_map(member).collect(),
        }
    }
}

/// Home zone of a key whose caller names none: the same for each resubmission and on each VM.
pub fn home_zone(zones: &[ZoneName], account: &AccountName, id: &Name) -> ZoneName {
    assert!(!zones.is_empty(), "a verified site has a zone");
    let hash = fnv1a(account.as_str().as_bytes(), FNV_OFFSET);
    let hash = fnv1a(&[0], hash);
    let hash = fnv1a(id.as_str().as_bytes(), hash);
    zones[(hash % zones.len() as u64) as usize].clone()
}

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

fn fnv1a(bytes: &[u8], start: u64) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    bytes.iter().fold(start, step)
}
