//! What a task needs and what a target offers.

use std::fmt;

use greengage_derive::value;

/// Resources of a worker, or a task's share of them.
#[value(copy)]
#[derive(Default)]
pub struct Demand {
    /// Thousandths of a core.
    pub milli_cores: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// Whole accelerators.
    pub accelerators: u32,
}

impl Demand {
    /// Whether `self` fits into `free`.
    pub fn fits(&self, free: &Demand) -> bool {
        self.milli_cores <= free.milli_cores
            && self.memory_mib <= free.memory_mib
            && self.accelerators <= free.accelerators
    }

    /// The sum, saturating.
    pub fn plus(&self, other: &Demand) -> Demand {
        Demand {
            milli_cores: self.milli_cores.saturating_add(other.milli_cores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// The difference, at least zero.
    pub fn minus(&self, other: &Demand) -> Demand {
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

/// The two kinds of target.
#[value(copy, key)]
#[serde(rename_all = "lowercase")]
pub enum TargetKind {
    /// Runs a task in each slot.
    Executor,
    /// Runs tasks as long as their demands fit.
    Worker,
}

/// What a target offers.
#[value(copy)]
#[serde(rename_all = "lowercase")]
pub enum Capacity {
    /// An executor.
    Executor {
        /// Tasks at once.
        slots: u32,
        /// Connections that it accepts from all VMs together.
        connections: u32,
    },
    /// A worker and its resources.
    Worker(Demand),
}

impl Capacity {
    /// The kind of target that offers this.
    pub fn kind(&self) -> TargetKind {
        match self {
            Capacity::Executor { .. } => TargetKind::Executor,
            Capacity::Worker(_) => TargetKind::Worker,
        }
    }
}

/// Where the tasks of one job may go.
#[value(copy)]
#[derive(Default)]
#[serde(rename_all = "lowercase")]
pub enum Spread {
    /// Anywhere.
    #[default]
    Any,
    /// Over racks as evenly as the free targets allow.
    Racks,
}
