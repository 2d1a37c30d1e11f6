//! Inputs and outputs of the membership state machine.

use std::time::Duration;

use greengage_core::{
    value, Address, Capacity, Demand, Incarnation, RackName, Revision, SortedMap, TargetName,
    TemplateName, Term, VmName, ZoneName,
};

/// A target's announcement of itself, sent every second.
#[value]
pub struct Announcement {
    /// The target.
    pub target: TargetName,
    /// Incarnation of its process; a later start has a higher number.
    pub incarnation: Incarnation,
    /// Address on which it accepts start requests.
    pub address: Address,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its rack; `None` unless it is a worker.
    pub rack: Option<RackName>,
    /// Templates of the work that it runs.
    pub work: Vec<TemplateName>,
    /// Its total capacity.
    pub capacity: Capacity,
    /// Resources used by its tasks, measured with a delay; `None` unless it is a worker.
    pub usage: Option<Demand>,
    /// Whether it supports fencing requests.
    pub fencing: bool,
    /// Whether it is leaving and accepts no new work.
    pub leaving: bool,
}

/// Result of an attempt on a target, as it counts for the target's health.
#[value(copy)]
pub enum AttemptResult {
    /// The task ran and returned a result.
    Success,
    /// The task failed on the target.
    Failure,
    /// The start was refused or the target could not be reached.
    Unreachable,
}

/// Which work a target may be sent.
#[value(copy)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// Any work.
    Live,
    /// One task at a time, after an ejection.
    Probation,
    /// None, because its failure rate is too high.
    Ejected,
    /// None, because its lease expired or attempts could not reach it; its running attempts are
    /// still queried.
    Suspect,
    /// None, because it is leaving.
    Leaving,
}

/// A VM's status report, sent to the other VMs every 500 ms.
#[value]
pub struct VmStatus {
    /// The VM.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Incarnation of its process; a later start has a higher number.
    pub incarnation: Incarnation,
    /// Revision of the configuration in force on the VM.
    pub revision: Revision,
    /// Whether it is in contact with the control leader.
    pub control_reachable: bool,
    /// The term in which it leads its zone's ledger group; `None` if it does not lead.
    pub leading_term: Option<Term>,
    /// Share of the traffic that it can take, relative to other VMs.
    pub weight: u32,
    /// Number of requests in flight on the VM.
    pub load: u32,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Whether its disk failed.
    pub disk_failed: bool,
}

/// An input of the state machine.
#[value]
pub enum Event {
    /// A target announced itself or renewed its lease.
    Announce(Announcement),
    /// A target is leaving; its current incarnation does not come back.
    Leave(TargetName),
    /// An attempt on a target ended.
    Attempt {
        /// The target.
        target: TargetName,
        /// The result.
        result: AttemptResult,
    },
    /// A status report of a VM.
    Vm(VmStatus),
    /// The time returned by `next_wake` has been reached.
    Tick,
}

/// An output of the state machine.
#[value]
pub enum Effect {
    /// A target is new, has a new incarnation, or changed its announcement.
    TargetUp(Announcement),
    /// A target's standing changed.
    Standing {
        /// The target.
        target: TargetName,
        /// The new standing.
        standing: Standing,
    },
    /// A target incarnation is gone: its lease and the grace period expired, or it restarted.
    TargetGone {
        /// The target.
        target: TargetName,
        /// The incarnation.
        incarnation: Incarnation,
    },
    /// A VM is up or has restarted.
    VmUp(VmName),
    /// A VM has not reported within its lease.
    VmDown(VmName),
}

/// Leases, timeouts and thresholds.
#[value]
pub struct Limits {
    /// Validity of a target's announcement.
    pub lease: Duration,
    /// Time after the end of its lease until a target counts as gone.
    pub grace: Duration,
    /// Number of attempts in the window over which the failure rate is measured.
    pub window: u32,
    /// Minimum failure rate over a full window, in percent, at which a target is ejected.
    pub eject_percent: u32,
    /// Duration of the first ejection; doubled for each further one.
    pub ejection_base: Duration,
    /// Maximum duration of an ejection, and the healthy time after which the doubling is reset.
    pub ejection_max: Duration,
    /// Maximum percentage of the targets of a kind of work that may be ejected at once.
    pub max_ejected_percent: u32,
    /// Consecutive successes that end a probation.
    pub probation_successes: u32,
    /// Validity of a VM's status report.
    pub vm_lease: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            lease: Duration::from_secs(3),
            grace: Duration::from_secs(5),
            window: 20,
            eject_percent: 50,
            ejection_base: Duration::from_secs(5),
            ejection_max: Duration::from_secs(300),
            max_ejected_percent: 30,
            probation_successes: 3,
            vm_lease: Duration::from_secs(2),
        }
    }
}

/// State of a target, for operators.
#[value]
pub struct TargetView {
    /// Its last announcement.
    pub announcement: Announcement,
    /// Its standing.
    pub standing: Standing,
}

/// State of the VMs, for operators.
#[value]
pub struct VmView {
    /// The last report of each VM and whether the VM is up.
    pub vms: SortedMap<VmName, (VmStatus, bool)>,
}
