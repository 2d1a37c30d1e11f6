//! What a VM is started with.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use greengage_core::{Address, VmName, ZoneName};

/// The settings of a VM of a deployment that is found by seeds.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The VM's name, which is its IP address, since others know it by that before they hear it.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it takes jobs and owns targets.
    pub entry: bool,
    /// Where other VMs reach it.
    pub mesh_address: SocketAddr,
    /// Where it listens for other VMs.
    pub listen_address: SocketAddr,
    /// Where operators and targets reach it, for control VMs.
    pub api_address: Option<Address>,
    /// The addresses at which seeds listen for other VMs.
    pub seeds: Vec<Address>,
    /// The data folder; a VM with one stores the configuration.
    pub data_folder: Option<PathBuf>,
    /// Whether the whole deployment starts for the first time.
    pub bootstrap: bool,
    /// Voters of the control group.
    pub voter_count: usize,
    /// How long a shutdown may take.
    pub grace_period: Duration,
    /// How long a run goes on at most after its target has confirmed a stop.
    pub stop_delay: Duration,
}
