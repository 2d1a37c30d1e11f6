//! Inputs and outputs of the membership state machine.

use std::time::Duration;

use greengage_core::{
    value, Address, Capacity, Demand, Incarnation, RackName, Revision, SortedMap, TargetName,
    TemplateName, Term, VmName, ZoneName,
};

/// What a target says about itself, each second.
#[value]
pub struct Announcement {
    /// The target.
    pub target: TargetName,
    /// One life of its process.
    pub incarnation: Incarnation,
    /// Where it takes starts.
    pub address: Address,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its rack, for a worker.
    pub rack: Option<RackName>,
    /// The kinds of work that it runs.
    pub work: Vec<TemplateName>,
    /// What it offers.
    pub capacity: Capacity,
    /// What its tasks use now, for a worker; lags behind.
    pub usage: Option<Demand>,
    /// Whether it answers fences.
    pub fencing: bool,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
}

/// How an attempt on a target ended, as far as the target's health goes.
#[value(copy)]
pub enum Result {
    /// The task ran and gave a result.
    Success,
    /// The task failed on the target.
    Failure,
    /// The start was refused or the target can't be reached.
    Unreachable,
}

/// Whether a target may be sent work.
#[value(copy)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// Any work.
    Live,
    /// One task at a time, after an ejection.
    Probation,
    /// None, because its failure rate is too high.
    Ejected,
    /// None, because its lease ran out; its attempts are still asked after.
    Suspect,
    /// None, because it is leaving.
    Leaving,
}

/// A VM's report on itself, sent to the other VMs each 500 ms.
#[value]
pub struct VmStatus {
    /// The VM.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// One life of its process.
    pub incarnation: Incarnation,
    /// The revision in force there.
    pub revision: Revision,
    /// Whether it hears the control leader.
    pub control: bool,
    /// Whether it leads its zone's ledger group, and in which term.
    pub leading: Option<Term>,
    /// The traffic that it can take, relative to others.
    pub weight: u32,
    /// Requests in flight there.
    pub load: u32,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Whether its disk failed.
    pub disk_failed: bool,
}

/// An input.
#[value]
pub enum Event {
    /// A target announced itself or renewed.
    Announce(Announcement),
    /// A target leaves for good.
    Leave(TargetName),
    /// An attempt on a target ended.
    Attempt {
        /// The target.
        target: TargetName,
        /// How it ended.
        result: Result,
    },
    /// A VM reported.
    Vm(VmStatus),
    /// The time that `wake` named has come.
    Tick,
}

/// An output.
#[value]
pub enum Effect {
    /// A target is new, has a new incarnation, or announced something else.
    Up(Announcement),
    /// A target's standing changed.
    Standing {
        /// The target.
        target: TargetName,
        /// The new standing.
        standing: Standing,
    },
    /// A target incarnation is gone: its lease ended twice over, it left, or it restarted.
    Gone {
        /// The target.
        target: TargetName,
        /// The incarnation.
        incarnation: Incarnation,
    },
    /// A VM is up, or restarted.
    VmUp(VmName),
    /// A VM hasn't reported for a while.
    VmDown(VmName),
}

/// Time limits and rates.
#[value]
pub struct Limits {
    /// How long an announcement holds.
    pub lease: Duration,
    /// How long a suspect target is kept before it counts as gone.
    pub grace: Duration,
    /// Attempts in the window that decides on an ejection.
    pub window: u32,
    /// Failures in a window of attempts, in percent, from which a target is ejected.
    pub eject_percent: u32,
    /// How long the first ejection lasts; doubled for each further one.
    pub ejection_base: Duration,
    /// Longest ejection.
    pub ejection_max: Duration,
    /// Most targets ejected at once, in percent.
    pub max_ejected_percent: u32,
    /// Successes in a row that end a probation.
    pub probation_successes: u32,
    /// How long a VM's report holds.
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

/// A target as operators see it.
#[value]
pub struct TargetView {
    /// Its last announcement.
    pub announcement: Announcement,
    /// Its standing.
    pub standing: Standing,
}

/// The VMs as operators see them.
#[value]
pub struct VmView {
    /// The last report of each VM and whether it still holds.
    pub vms: SortedMap<VmName, (VmStatus, bool)>,
}
