//! Graceful shutdown: transfers leadership and ends the VM when no work is in flight.

use greengage_agreement as agreement;
use greengage_agreement::MemberRole;

use crate::control::Control;
use crate::message::Effect;

impl Control {
    pub(crate) fn drain(&mut self) {
        if self.draining.is_some() {
            return;
        }
        self.draining = Some(self.now.time + self.site.limits.drain_grace);
        self.record("draining");
        self.send_status();
    }

    /// Transfers leadership and reports when no work is in flight any more.
    pub(crate) fn check_drained(&mut self) {
        let Some(until) = self.draining else { return };
        if self.drained {
            return;
        }
        let transferring = self.transfer_all();
        let busy = self.zone.as_ref().is_some_and(|zone| !zone.is_idle());
        if !transferring && !busy && self.callers.is_empty() && self.now.time >= until {
            self.drained = true;
            self.effects.push(Effect::Drained);
        }
    }

    /// Transfers the leadership of each group that has another voter; returns whether a transfer is
    /// in progress.
    pub(crate) fn transfer_all(&mut self) -> bool {
        let now = self.now.time;
        let mut transferring = false;
        if let Some(group) = &mut self.control {
            if group.replica.is_leader() && voters(&group.replica.status()) > 1 {
                transferring = true;
                let effects = group.replica.step(now, agreement::Event::Transfer(None));
                self.run_control_effects(effects);
            }
        }
        for name in self.ledger_zones() {
            let Some(group) = self.ledgers.get_mut(&name) else {
                continue;
            };
            if !group.replica.is_leader() {
                continue;
            }
            if voters(&group.replica.status()) > 1 {
                transferring = true;
                let effects = group.replica.step(now, agreement::Event::Transfer(None));
                self.run_ledger_effects(&name, effects);
            } else if let Some(zone) = &mut self.zone {
                zone.drain();
            }
        }
        transferring
    }
}

/// Number of members that vote and can lead.
fn voters(status: &agreement::Status) -> usize {
    let votes = |seat: &&MemberRole| matches!(seat, MemberRole::Voter);
    status.config.members.values().filter(votes).count()
}
