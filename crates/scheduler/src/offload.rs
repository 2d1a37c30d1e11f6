//! Errands: tasks that one entry VM runs for another one.

use std::time::Duration;

use greengage_core::{TargetName, Time, VmName};

use crate::ends::RunOutcome;
use crate::event::{Effect, Reply};
use crate::job::TaskState;
use crate::peer::{Errand, ErrandEnd, PeerMessage, Room};
use crate::placement::{choose, Owner, Slot};
use crate::scheduler::{Peer, PeerView, Scheduler};
use crate::target::{Order, Origin, Run};

/// Shortest time between two reports of free room while there are few VMs. A trip between zones
/// takes a few milliseconds and a short task 50, so older reports would send tasks to targets that
/// are full.
const ROOMS_EVERY: Duration = Duration::from_millis(25);
/// VMs up to which reports are as frequent as that; with more of them the time grows, so that what
/// a VM sends and reads in a second stays the same.
const FEW_VMS: usize = 5;
/// VMs up to which all of them get frequent reports; above, only those of the zone do.
const NEAR_VMS: usize = 16;
/// Time between two renewals of errands.
const RENEW_EVERY: Duration = Duration::from_millis(120);
/// Silence of a VM after which its errands are stopped: three renewals, and together with a lease
/// less than the time after which callers submit their jobs again.
const ERRAND_SILENCE: Duration = Duration::from_millis(450);
/// Longest time between two reports, for up to [`NEAR_VMS`]; it grows with their number.
const ROOMS_AT_LEAST: Duration = Duration::from_millis(300);

impl Scheduler {
    pub(crate) fn set_peers(&mut self, now: Time, peers: Vec<Peer>, out: &mut Vec<Effect>) {
        let lost: Vec<VmName> = self
            .peers
            .keys()
            .filter(|vm| !peers.iter().any(|peer| peer.own.vm == **vm))
            .cloned()
            .collect();
        for vm in lost {
            log::info!(event = "vm-lost", vm = vm.as_str(); "an entry VM is not heard any more");
            self.peers.remove(&vm);
            self.lose_peer(now, &vm, out);
            self.reassign = true;
        }
        for peer in peers {
            match self.peers.get_mut(&peer.own.vm) {
                Some(view) => {
                    let restarted = view.peer.life != peer.life;
                    self.reassign |= view.peer != peer;
                    view.peer = peer.clone();
                    if restarted {
                        log::info!(event = "vm-restarted", vm = peer.own.vm.as_str();
                            "an entry VM has started again");
                        (view.owned, view.rooms) = (Vec::new(), Vec::new());
                        self.lose_peer(now, &peer.own.vm, out);
                    }
                }
                None => {
                    log::info!(event = "vm-live", vm = peer.own.vm.as_str();
                        "an entry VM is live");
                    self.reassign = true;
                    self.joined = now;
                    self.rooms_changed = true;
                    let vm = peer.own.vm.clone();
                    let view = PeerView {
                        peer,
                        owned: Vec::new(),
                        rooms: Vec::new(),
                        needs: false,
                        heard: now,
                    };
                    self.peers.insert(vm, view);
                }
            }
        }
    }

    /// Ends the jobs that have tasks at a lost VM, whose outcome can't be known in time, and stops
    /// what runs here for it: its callers submit their jobs again elsewhere.
    fn lose_peer(&mut self, now: Time, vm: &VmName, out: &mut Vec<Effect>) {
        let away = |state: &TaskState| matches!(state, TaskState::Away { vm: v, .. } if v == vm);
        let jobs: Vec<u64> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.tasks.iter().any(|task| away(&task.state)))
            .map(|(number, _)| *number)
            .collect();
        for number in jobs {
            self.finish(now, number, Reply::TimedOut, out);
        }
        self.stop_where(now, |run| run.origin.is_errand_of(vm), out);
    }

    /// Renews the errands of this VM and stops those of VMs that have fallen silent: their callers
    /// submit their jobs again.
    pub(crate) fn review_errands(&mut self, now: Time, out: &mut Vec<Effect>) {
        if now.since(self.renewed) >= RENEW_EVERY {
            self.renewed = now;
            let mut vms: Vec<&VmName> = Vec::new();
            for task in self.jobs.values().flat_map(|job| &job.tasks) {
                if let TaskState::Away { vm, .. } = &task.state {
                    if let Err(at) = vms.binary_search(&vm) {
                        vms.insert(at, vm);
                    }
                }
            }
            out.extend(vms.into_iter().map(|vm| Effect::Send {
                to: vm.clone(),
                message: PeerMessage::Renew,
            }));
        }
        let silent: Vec<VmName> = self
            .peers
            .iter()
            .filter(|(_, view)| now.since(view.heard) >= ERRAND_SILENCE)
            .map(|(vm, _)| vm.clone())
            .collect();
        if !silent.is_empty() {
            let of_silent = |run: &Run| silent.iter().any(|vm| run.origin.is_errand_of(vm));
            self.stop_where(now, of_silent, out);
        }
    }

    fn stop_where(&mut self, now: Time, which: impl Fn(&Run) -> bool, out: &mut Vec<Effect>) {
        let mut stops = Vec::new();
        for (name, target) in self.targets.iter() {
            for run in target.runs.iter().filter(|run| which(run)) {
                stops.push((name.clone(), run.task.clone(), run.number));
            }
        }
        for (name, task, number) in stops {
            self.stop_run(now, &name, &task, number, out);
        }
    }

    pub(crate) fn peer_message(
        &mut self,
        now: Time,
        from: VmName,
        message: PeerMessage,
        out: &mut Vec<Effect>,
    ) {
        if let Some(view) = self.peers.get_mut(&from) {
            view.heard = now;
        }
        match message {
            PeerMessage::Renew => {}
            PeerMessage::Rooms {
                owned,
                rooms,
                needs,
            } => {
                if let Some(view) = self.peers.get_mut(&from) {
                    self.rooms_changed |= needs && !view.needs;
                    view.owned = owned;
                    view.rooms = rooms;
                    view.needs = needs;
                    self.stale = true;
                }
            }
            PeerMessage::Run(errands) => {
                for errand in errands {
                    self.run_errand(now, &from, errand, out);
                }
            }
            PeerMessage::Ended(ends) => {
                for (ticket, end) in ends {
                    self.errand_ended(now, &from, ticket, end, out);
                }
            }
            PeerMessage::Stop(tickets) => {
                let asked = |run: &Run| match &run.origin {
                    Origin::Peer { vm, ticket } => *vm == from && tickets.contains(ticket),
                    Origin::Own(_) => false,
                };
                self.stop_where(now, asked, out);
            }
        }
    }

    fn run_errand(&mut self, now: Time, from: &VmName, errand: Errand, out: &mut Vec<Effect>) {
        // An errand of a VM that isn't heard here would run on when that VM is lost.
        let heard = self.peers.contains(from);
        let target = heard.then(|| self.errand_target(now, &errand)).flatten();
        let Some(target) = target else {
            let end = (errand.ticket, ErrandEnd::NotRunning);
            self.ended.entry(from.clone(), Vec::new).push(end);
            self.rooms_changed = true;
            return;
        };
        let order = Order {
            task: errand.task,
            number: errand.number,
            origin: Origin::Peer {
                vm: from.clone(),
                ticket: errand.ticket,
            },
            queue: errand.queue,
            demand: errand.demand,
            declared: errand.declared,
            end: now + errand.end,
        };
        self.start_run(now, &target, Run::new(now, order), errand.spec, out);
    }

    fn errand_target(&self, now: Time, errand: &Errand) -> Option<TargetName> {
        let mut slots = Vec::new();
        let mut names = Vec::new();
        for (name, target) in self.targets.iter().filter(|(_, t)| t.is_open(now)) {
            slots.push(Slot {
                free: target.free(),
                speed: target.speed.factor(),
                delay: Duration::ZERO,
                owner: Owner::Own,
                barred: !target.serves(&errand.service, errand.label.as_ref()),
            });
            names.push(name);
        }
        let expected = self.estimates.expected(&errand.queue, errand.declared);
        let objective = now + errand.objective;
        let (slot, _) = choose(now, &slots, &errand.demand, expected, objective)?;
        Some(names[slot].clone())
    }

    fn errand_ended(
        &mut self,
        now: Time,
        from: &VmName,
        ticket: u64,
        end: ErrandEnd,
        out: &mut Vec<Effect>,
    ) {
        let Some(number) = self.away.remove(&ticket) else {
            return;
        };
        let is_it =
            |state: &TaskState| matches!(state, TaskState::Away { ticket: t, .. } if *t == ticket);
        let job = self.jobs.get(&number);
        let task = job.and_then(|job| job.tasks.iter().position(|task| is_it(&task.state)));
        let Some(task) = task else {
            return;
        };
        let outcome = match end {
            ErrandEnd::Done => RunOutcome::Done,
            ErrandEnd::Failed => RunOutcome::Failed,
            ErrandEnd::TooLong => RunOutcome::TooLong,
            ErrandEnd::NotRunning => {
                // What it reported was out of date.
                if let Some(view) = self.peers.get_mut(from) {
                    view.rooms.clear();
                }
                RunOutcome::NotRunning
            }
        };
        self.task_ended(now, number, task, outcome, None, out);
    }

    /// Tells other entry VMs what is owned and free here: those that lately lacked room at once,
    /// the others now and then.
    pub(crate) fn share_rooms(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.peers.is_empty() {
            return;
        }
        let needs = now < self.need;
        let told_every = ROOMS_AT_LEAST * self.peers.len().div_ceil(NEAR_VMS) as u32;
        let all = now.since(self.rooms_told) >= told_every || needs && !self.need_told;
        let needy = self.peers.values().filter(|view| self.is_served(view));
        let every = ROOMS_EVERY * needy.count().div_ceil(FEW_VMS).max(1) as u32;
        let soon = self.rooms_changed && now.since(self.rooms_sent) >= every;
        if !all && !soon {
            return;
        }
        (self.rooms_sent, self.rooms_changed) = (now, false);
        if all {
            (self.rooms_told, self.need_told) = (now, needs);
        }
        let (owned, rooms) = self.own_rooms(now);
        for (vm, _) in self.peers.iter().filter(|(_, v)| all || self.is_served(v)) {
            out.push(Effect::Send {
                to: vm.clone(),
                message: PeerMessage::Rooms {
                    owned: owned.clone(),
                    rooms: rooms.clone(),
                    needs,
                },
            });
        }
    }

    /// Whether a VM gets reports as soon as room changes.
    fn is_served(&self, view: &PeerView) -> bool {
        let near = view.peer.own.zone == *self.zone() || self.peers.len() <= NEAR_VMS;
        near && view.needs
    }

    fn own_rooms(&self, now: Time) -> (Vec<TargetName>, Vec<Room>) {
        let mut owned = Vec::new();
        let mut rooms = Vec::new();
        for (name, target) in self.targets.iter() {
            if target.lease != crate::target::Lease::None {
                owned.push(name.clone());
            }
            let free = target.free();
            if target.is_open(now) && free.milli_cores > 0 {
                rooms.push(Room {
                    free,
                    speed: (target.speed.factor() * 100.0) as u32,
                });
            }
        }
        (owned, rooms)
    }
}
