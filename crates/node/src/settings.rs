//! Settings of one VM, checked before anything starts.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use greengage_control::{Limits, Roles, Site, VmSpec};
use greengage_core::{Incarnation, SortedMap, VmName, ZoneName};

/// A VM in the list that all VMs share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmEntry {
    /// The VM.
    pub vm: VmName,
    /// Where the other VMs reach it.
    pub peer: SocketAddr,
    /// Its zone and roles.
    pub spec: VmSpec,
}

/// Settings of one VM.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This VM.
    pub vm: VmName,
    /// All VMs, this one included.
    pub vms: Vec<VmEntry>,
    /// Where callers and targets connect.
    pub http: SocketAddr,
    /// Where operators connect.
    pub admin: SocketAddr,
    /// The data folder, for roles that need one.
    pub data: Option<PathBuf>,
    /// The folder with the keys of this VM.
    pub keys: PathBuf,
    /// The traffic that this VM can take, relative to others.
    pub weight: u32,
    /// How long a shutdown may take.
    pub drain_limit: Duration,
    /// Added to each synced write, to measure with a slower disk.
    pub sync_delay: Duration,
    /// Most calls to targets at once.
    pub calls: usize,
    /// Time limits and sizes of the control thread.
    pub limits: Limits,
}

/// Why settings can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// An entry of the list of VMs can't be read.
    InvalidEntry {
        /// The entry.
        entry: String,
        /// What is wrong with it.
        problem: String,
    },
    /// A VM stands in the list twice.
    DuplicateVm(VmName),
    /// Two VMs have the same address.
    DuplicateAddress(SocketAddr),
    /// This VM isn't in the list.
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
                write!(
                    f,
                    "--vms: VM {vm} stands in the list twice: remove one entry"
                )
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

/// Reads a list of VMs, `NAME=ZONE=IP:PORT=ROLES` separated by commas.
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
    let vm = VmName::new(vm).map_err(|e| format!("has a wrong VM name: {e}"))?;
    let zone = ZoneName::new(zone).map_err(|e| format!("has a wrong zone: {e}"))?;
    let peer = peer
        .parse()
        .map_err(|_| format!("has the address {peer:?}, which is no IP:PORT"))?;
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
                let zone = ZoneName::new(zone).map_err(|e| format!("has a wrong zone: {e}"))?;
                roles.witness.push(zone);
            }
            _ => return Err(format!("has the unknown role {role:?}")),
        }
    }
    Ok(roles)
}

impl Settings {
    /// This VM's entry in the list.
    pub fn own(&self) -> Result<&VmEntry, SettingsError> {
        let own = self.vms.iter().find(|entry| entry.vm == self.vm);
        own.ok_or_else(|| SettingsError::UnlistedVm(self.vm.clone()))
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

    /// Where the other VMs listen.
    pub(crate) fn peers(&self) -> SortedMap<VmName, SocketAddr> {
        let others = self.vms.iter().filter(|entry| entry.vm != self.vm);
        others.map(|entry| (entry.vm.clone(), entry.peer)).collect()
    }
}
