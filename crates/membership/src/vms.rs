//! Liveness of the VMs, derived from their status reports.

use greengage_core::{SortedMap, Time, VmName};

use crate::event::{VmStatus, VmView};

/// A VM with its last report.
struct Vm {
    status: VmStatus,
    up: bool,
    deadline: Time,
}

/// All VMs; a sorted vector suffices for at most a few hundred.
#[derive(Default)]
pub(crate) struct Vms {
    vms: SortedMap<VmName, Vm>,
}

/// Consequences of a status report.
pub(crate) struct ReportOutcome {
    /// Whether the VM came up or restarted.
    pub(crate) up: bool,
    /// The deadline that no longer applies; `None` for a new VM.
    pub(crate) old_deadline: Option<Time>,
}

impl Vms {
    /// Records a report that is valid until `deadline`; `None` if it is from an older incarnation.
    pub(crate) fn report(&mut self, status: VmStatus, deadline: Time) -> Option<ReportOutcome> {
        let old = self.vms.get(&status.vm);
        if old.is_some_and(|vm| vm.status.incarnation > status.incarnation) {
            return None;
        }
        let report = ReportOutcome {
            up: old.is_none_or(|vm| !vm.up || vm.status.incarnation < status.incarnation),
            old_deadline: old.map(|vm| vm.deadline),
        };
        let vm = Vm {
            status,
            up: true,
            deadline,
        };
        self.vms.insert(vm.status.vm.clone(), vm);
        Some(report)
    }

    /// Sets a VM's next deadline.
    pub(crate) fn set_deadline(&mut self, name: &VmName, deadline: Time) {
        if let Some(vm) = self.vms.get_mut(name) {
            vm.deadline = deadline;
        }
    }

    /// Marks a VM as down and returns true. Removes it and returns false if it was down already.
    pub(crate) fn expire(&mut self, name: &VmName) -> bool {
        match self.vms.get_mut(name) {
            Some(vm) if vm.up => {
                vm.up = false;
                true
            }
            Some(_) | None => {
                self.vms.remove(name);
                false
            }
        }
    }

    pub(crate) fn view(&self) -> VmView {
        VmView {
            vms: self
                .vms
                .iter()
                .map(|(name, vm)| (name.clone(), (vm.status.clone(), vm.up)))
                .collect(),
        }
    }
}
