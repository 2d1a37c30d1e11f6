//! Resource demands of tasks and capacities of targets.

use std::fmt;

use greengage_derive::value;

/// Resources that a task needs, or that a worker has.
#[value(copy)]
#[derive(Default)]
pub struct Demand {
    /// CPU in thousandths of a core.
    pub milli_cores: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// Number of whole accelerators.
    pub accelerators: u32,
}

impl Demand {
    /// Whether `free` covers every resource of `self`.
    pub fn fits(&self, free: &Demand) -> bool {
        self.milli_cores <= free.milli_cores
            && self.memory_mib <= free.memory_mib
            && self.accelerators <= free.accelerators
    }

    /// How many times the demand fits into `free` at once.
    pub fn count_in(&self, free: &Demand) -> u32 {
        let count = |needed: u32, free: u32| free.checked_div(needed).unwrap_or(u32::MAX);
        count(self.milli_cores, free.milli_cores)
            .min(count(self.memory_mib, free.memory_mib))
            .min(count(self.accelerators, free.accelerators))
    }

    /// The sum of each resource, saturating.
    pub fn saturating_add(&self, other: &Demand) -> Demand {
        Demand {
            milli_cores: self.milli_cores.saturating_add(other.milli_cores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// The difference of each resource, saturating at zero.
    pub fn saturating_sub(&self, other: &Demand) -> Demand {
        Demand {
            milli_cores: self.milli_cores.saturating_sub(other.milli_cores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

impl fmt::Display for Demand {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} millicores, {} MiB, {} accelerators",
            self.milli_cores, self.memory_mib, self.accelerators
        )
    }
}

/// Which kind of capacity a target offers.
#[value(copy, key)]
#[serde(rename_all = "lowercase")]
pub enum TargetKind {
    /// Limits its tasks by a number of slots, one task in each.
    Executor,
    /// Limits its tasks by the sum of their demands.
    Worker,
}

/// What a target offers to tasks.
#[value(copy)]
#[serde(rename_all = "lowercase")]
pub enum Capacity {
    /// Capacity of an executor.
    Executor {
        /// Most tasks that run at the same time.
        slots: u32,
        /// Most connections that it accepts, over all VMs.
        connections: u32,
    },
    /// Total resources of a worker.
    Worker(Demand),
}

impl Capacity {
    /// The kind of target that offers this capacity.
    pub fn kind(&self) -> TargetKind {
        match self {
            Capacity::Executor { .. } => TargetKind::Executor,
            Capacity::Worker(_) => TargetKind::Worker,
        }
    }
}

/// Placement constraint on the tasks of one job.
#[value(copy)]
#[derive(Default)]
#[serde(rename_all = "lowercase")]
pub enum Spread {
    /// No constraint.
    #[default]
    Any,
    /// Spread over racks as evenly as the free targets allow.
    Racks,
}
