//! The settings of a VM.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use greengage_budget::Shares;
use greengage_core::{Address, VmName, ZoneName};

/// The settings of a VM that discovers its deployment through seeds.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The VM's name. It is the VM's IP address, since other VMs know only that before the first
    /// message.
    pub vm: VmName,
    /// The VM's availability zone.
    pub zone: ZoneName,
    /// Whether the VM accepts jobs and owns targets.
    pub entry: bool,
    /// Address that the VM announces to other VMs.
    pub mesh_address: SocketAddr,
    /// Address on which the VM listens for other VMs; differs behind address translation.
    pub listen_address: SocketAddr,
    /// Address for operators and targets; `None` unless this is a control VM.
    pub api_address: Option<Address>,
    /// Addresses at which the seeds listen for other VMs.
    pub seeds: Vec<Address>,
    /// Folder in which a control VM stores its part of the control group's state; `None` on others.
    pub data_folder: Option<PathBuf>,
    /// Whether the deployment as a whole starts for the first time.
    pub bootstrap: bool,
    /// Number of voters that the control group aims for.
    pub voter_count: usize,
    /// Longest time for a shutdown.
    pub grace_period: Duration,
    /// Longest time for which a run continues after its target has confirmed a stop.
    pub stop_delay: Duration,
    /// The parts of the VM's memory and descriptors.
    pub shares: Shares,
    /// Interval at which targets report.
    pub report_interval: Duration,
}
