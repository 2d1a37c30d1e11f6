//! Faults: crashes, partitions, pauses, lost disks and their repair.

use super::*;

impl Simulation {
    pub(crate) fn fault(&mut self) {
        let vm = self.rng.random_range(0..self.vms.len());
        let target = self.rng.random_range(0..self.targets.len());
        let delay_us = self.rng.random_range(20 * MS..4 * SEC);
        match self.rng.random_range(0..24) {
            0..=3 => self.stop_target(target),
            4..=7 => self.restart_target(target),
            8..=9 => self.leave_target(target),
            10 => {
                let zone = self.targets[target].zone.clone();
                let n = self.targets.len();
                if n < 12 {
                    self.targets.push(Target::new(n, zone, true));
                    self.announce(n);
                }
            }
            11..=13 if self.vms[vm].control.is_some() => {
                self.crash(vm);
                self.schedule(delay_us, SimEvent::Start { vm });
            }
            14..=15 if self.vms[vm].up() => {
                self.trace_event(|| format!("vm {vm} pauses"));
                self.vms[vm].paused = true;
                self.schedule(delay_us, SimEvent::Resume { vm });
            }
            16..=18 if self.cut_links.is_empty() => self.partition(vm),
            19 => {
                self.loss_rate = *[0.0, 0.02, 0.1, 0.3].choose(&mut self.rng).unwrap();
            }
            20 => {
                let wall_offset_ms = *[-7_200_000, -500, 0, 500, 7_200_000]
                    .choose(&mut self.rng)
                    .unwrap();
                self.trace_event(|| format!("vm {vm} clock shifted by {wall_offset_ms} ms"));
                self.vms[vm].wall_offset_ms = wall_offset_ms;
            }
            21 if self.vms[vm].up() => {
                self.trace_event(|| format!("vm {vm} drains"));
                self.vms[vm].drain_start = Some(self.now);
                self.step(vm, Event::Drain);
                self.schedule(DRAIN_LIMIT, SimEvent::Resume { vm });
            }
            22..=23 => self.lose_disk(vm),
            _ => {}
        }
    }

    /// Cuts off a VM or a zone, in one direction or both.
    pub(crate) fn partition(&mut self, vm: usize) {
        let zone = self.vms[vm].site.zone().clone();
        let whole_zone = self.chance(0.5);
        let inside = |v: &Vm<SimEvent>| {
            if whole_zone {
                *v.site.zone() == zone
            } else {
                v.site.vm == self.vms[vm].site.vm
            }
        };
        let (inside_vms, outside_vms): (Vec<usize>, Vec<usize>) =
            (0..self.vms.len()).partition(|v| inside(&self.vms[*v]));
        let (outbound, inbound) = *[(true, true), (true, true), (true, false), (false, true)]
            .choose(&mut self.rng)
            .unwrap();
        for (i, o) in inside_vms
            .iter()
            .flat_map(|i| outside_vms.iter().map(move |o| (*i, *o)))
        {
            if outbound {
                self.cut_links.insert((i, o));
            }
            if inbound {
                self.cut_links.insert((o, i));
            }
        }
        if inside_vms.len() == 1 && outbound && inbound {
            self.isolated.insert(vm, self.now);
        }
        self.trace_event(|| format!("partition {:?}", self.cut_links));
        let after = self.rng.random_range(100 * MS..6 * SEC);
        self.schedule(after, SimEvent::HealLinks);
    }

    /// Ends a pause; a VM whose drain limit has passed is restarted instead.
    pub(crate) fn resume(&mut self, vm: usize) {
        let ends = |since: &u64| self.now >= since + DRAIN_LIMIT;
        if let Some(since) = self.vms[vm].drain_start.filter(ends) {
            let undisturbed = self.last_disturbed < since;
            assert!(
                !undisturbed || self.vms[vm].drained,
                "(7) vm {vm} drains since {since}"
            );
            self.crash(vm);
            return self.start(vm);
        }
        if self.vms[vm].paused {
            self.trace_event(|| format!("vm {vm} continues"));
            self.vms[vm].paused = false;
            // Ask for recent submissions at a VM that may still take itself for the leader.
            let recent: Vec<JobKey> = self
                .submitted
                .iter()
                .rev()
                .take(20)
                .map(|s| s.0.clone())
                .collect();
            for key in recent {
                self.request(vm, RequestKind::Outcome(key.clone()), Request::Outcome(key));
            }
            for sim_event in std::mem::take(&mut self.vms[vm].held_events) {
                self.schedule(0, sim_event);
            }
        }
    }

    /// Replaces a VM's disk by an empty one: only one at a time, and never the last copy of a
    /// group.
    pub(crate) fn lose_disk(&mut self, vm: usize) {
        let site = &self.vms[vm].site;
        let zone = site.zone().clone();
        let voters = site
            .vms
            .values()
            .filter(|spec| spec.roles.ledger && spec.zone == zone)
            .count();
        let controls = site.vms.values().filter(|spec| spec.roles.control).count();
        let roles = site.roles().clone();
        let last_copy = roles.ledger && voters < 2 || roles.control && controls < 3;
        if self.repair.is_some()
            || site.folder.is_none()
            || last_copy
            || self.vms[vm].control.is_none()
        {
            return;
        }
        self.trace_event(|| format!("vm {vm} loses its disk"));
        if self.chance(0.3) && self.vms[vm].up() {
            self.vms[vm].disk.failed = true;
            self.step(vm, Event::DiskFailed);
        }
        self.last_id += 1;
        let folder = 1000 + self.last_id;
        let old = self.vms[vm].site.node();
        let new = NodeId {
            vm: old.vm.clone(),
            folder,
        };
        let mut groups = Vec::new();
        groups.extend(roles.control.then_some((Group::Control, MemberRole::Voter)));
        groups.extend(
            roles
                .ledger
                .then_some((Group::Ledger(zone), MemberRole::Voter)),
        );
        groups.extend(
            roles
                .witness
                .into_iter()
                .map(|zone| (Group::Ledger(zone), MemberRole::Witness)),
        );
        let changes = groups.into_iter().flat_map(|(group, seat)| {
            let promote = Change::Promote {
                node: new.clone(),
                seat,
            };
            let changes = [
                Change::Remove(old.clone()),
                Change::AddLearner(new.clone()),
                promote,
            ];
            changes.map(|change| (group.clone(), change))
        });
        self.repair = Some(Repair {
            changes: changes.collect(),
            pending: None,
        });
        let delay = self.rng.random_range(MS..3 * SEC);
        self.schedule(delay, SimEvent::Repair);
        self.crash(vm);
        self.vms[vm].site.folder = Some(folder);
        self.vms[vm].disk = Disk::new(&self.vms[vm].site);
        self.revisions[vm] = Revision(0);
        self.schedule(delay / 2, SimEvent::Start { vm });
    }

    pub(crate) fn repair_step(&mut self) {
        let Some(repair) = &self.repair else { return };
        let (pending, next) = (repair.pending, repair.changes.first().cloned());
        self.schedule(300 * MS, SimEvent::Repair);
        if pending.is_some_and(|key| self.open.contains_key(&key)) {
            return;
        }
        let Some((group, change)) = next else {
            self.repair = None;
            return;
        };
        if let Some(vm) = self.any_vm(None) {
            let pending = self.request(vm, RequestKind::Change, Request::Change { group, change });
            if let Some(repair) = &mut self.repair {
                repair.pending = pending.filter(|key| self.open.contains_key(key));
            }
        }
    }

    pub(crate) fn apply_change_reply(&mut self, reply: &Reply) {
        let Some(repair) = &mut self.repair else {
            return;
        };
        let Some((_, change)) = repair.changes.first() else {
            return;
        };
        let error = match reply {
            Reply::Error(ApiError::Change(error)) => Some(error),
            _ => None,
        };
        let done = match change {
            Change::Remove(_) => matches!(error, Some(ChangeError::Unknown(_))),
            _ => matches!(error, Some(ChangeError::Present(_))),
        };
        let done = done || matches!(reply, Reply::Changed(_));
        if done {
            repair.changes.remove(0);
        }
    }
}
