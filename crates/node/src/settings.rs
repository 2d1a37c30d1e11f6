//! Settings of one VM, validated before anything starts.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use greengage_control::{Limits, Roles, Site, VmSpec};
use greengage_core::{Incarnation, SortedMap, VmName, ZoneName};

/// An entry of the list of VMs, which is the same on all VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmEntry {
    /// Name of the VM.
    pub vm: VmName,
    /// Address on which it listens for the other VMs.
    pub peer: SocketAddr,
    /// Its zone and roles.
    pub spec: VmSpec,
}

/// Settings of one VM.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this VM.
    pub vm: VmName,
    /// All VMs, including this one.
    pub vms: Vec<VmEntry>,
    /// Listen address for callers and targets.
    pub http: SocketAddr,
    /// Listen address for operators.
    pub admin: SocketAddr,
    /// The data folder; `None` for a VM whose roles need none.
    pub data_folder: Option<PathBuf>,
    /// The folder with the keys of this VM.
    pub keys_folder: PathBuf,
    /// Traffic that this VM can take, relative to the weights of the other VMs.
    pub weight: u32,
    /// How long draining may take before the VM ends anyway.
    pub drain_limit: Duration,
    /// Delay added to each synced write, to emulate a slower disk in measurements.
    pub sync_delay: Duration,
    /// Most concurrent calls to targets.
    pub max_calls: usize,
    /// Timeouts and sizes of the control thread.
    pub limits: Limits,
}

/// Why settings are invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// An entry of the list of VMs can't be parsed, or the list is empty.
    InvalidEntry {
        /// The text of the entry.
        entry: String,
        /// What is wrong with it, as a predicate of the entry.
        problem: String,
    },
    /// This VM is in the list twice.
    DuplicateVm(VmName),
    /// Two VMs have this address.
    DuplicateAddress(SocketAddr),
    /// The VM that the settings are for isn't in the list.
    UnlistedVm(VmName),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::InvalidEntry { entry, problem } => write!(
                f,
                "--vms: entry {entry:?} {problem}; write NAME=ZONE=IP:PORT=ROLES, with ROLES one \
                 or more of entry, control, ledger, witness:ZONE joined by +"
            ),
            SettingsError::DuplicateVm(vm) => {
                write!(f, "--vms: VM {vm} is in the list twice: remove one entry")
            }
            SettingsError::DuplicateAddress(address) => write!(
                f,
                "--vms: two VMs have the address {address}: give each its own"
            ),
            SettingsError::UnlistedVm(vm) => write!(
                f,
                "--vm: {vm} is not in --vms: add it to the list or correct the name"
            ),
        }
    }
}

impl std::error::Error for SettingsError {}

/// Parses a list of VMs: entries of the form `NAME=ZONE=IP:PORT=ROLES`, separated by commas.
pub fn parse_vms(text: &str) -> Result<Vec<VmEntry>, SettingsError> {
    let mut vms: Vec<VmEntry> = Vec::new();
    for entry in text.split(',').map(str::trim).filter(|e| !e.is_empty()) {
        let parsed = parse_entry(entry).map_err(|problem| SettingsError::InvalidEntry {
            entry: entry.to_string(),
            problem,
        })?;
        if vms.iter().any(|other| other.vm == parsed.vm) {
            return Err(SettingsError::DuplicateVm(parsed.vm));
        }
        if vms.iter().any(|other| other.peer == parsed.peer) {
            return Err(SettingsError::DuplicateAddress(parsed.peer));
        }
        vms.push(parsed);
    }
    if vms.is_empty() {
        return Err(SettingsError::InvalidEntry {
            entry: text.to_string(),
            problem: "names no VM".to_string(),
        });
    }
    Ok(vms)
}

fn parse_entry(entry: &str) -> Result<VmEntry, String> {
    let fields: Vec<&str> = entry.split('=').collect();
    let [vm, zone, peer, roles] = fields[..] else {
        return Err(format!("has {} fields instead of 4", fields.len()));
    };
    let vm = VmName::new(vm).map_err(|e| format!("has an invalid VM name: {e}"))?;
    let zone = ZoneName::new(zone).map_err(|e| format!("has an invalid zone: {e}"))?;
    let peer = peer
        .parse()
        .map_err(|_| format!("has the address {peer:?}, which isn't IP:PORT"))?;
    let roles = parse_roles(roles)?;
    let spec = VmSpec { zone, roles };
    Ok(VmEntry { vm, peer, spec })
}

fn parse_roles(text: &str) -> Result<Roles, String> {
    let mut roles = Roles::default();
    for role in text.split('+') {
        match role.split_once(':') {
            None if role == "entry" => {}
            None if role == "control" => roles.control = true,
            None if role == "ledger" => roles.ledger = true,
            Some(("witness", zone)) => {
                let zone = ZoneName::new(zone).map_err(|e| format!("has an invalid zone: {e}"))?;
                roles.witness.push(zone);
            }
            _ => return Err(format!("has the unknown role {role:?}")),
        }
    }
    Ok(roles)
}

impl Settings {
    /// This VM's entry in the list, or [`SettingsError::UnlistedVm`].
    pub fn own_entry(&self) -> Result<&VmEntry, SettingsError> {
        let own_entry = self.vms.iter().find(|entry| entry.vm == self.vm);
        own_entry.ok_or_else(|| SettingsError::UnlistedVm(self.vm.clone()))
    }

    /// The deployment as the control thread sees it.
    pub(crate) fn site(&self, folder: Option<u64>, incarnation: Incarnation, seed: u64) -> Site {
        let spec = |entry: &VmEntry| (entry.vm.clone(), entry.spec.clone());
        Site {
            vm: self.vm.clone(),
            vms: self.vms.iter().map(spec).collect(),
            folder,
            incarnation,
            weight: self.weight,
            seed,
            limits: self.limits.clone(),
        }
    }

    /// The addresses on which the other VMs listen.
    pub(crate) fn peers(&self) -> SortedMap<VmName, SocketAddr> {
        let others = self.vms.iter().filter(|entry| entry.vm != self.vm);
        others.map(|entry| (entry.vm.clone(), entry.peer)).collect()
    }
}
