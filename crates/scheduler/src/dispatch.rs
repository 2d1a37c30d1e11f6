//! Placing waiting tasks.
//!
//! Jobs that have begun go first, since what they have run is lost if they end late; then those
//! whose latest start is nearest. A job begins only when there is room for a part of its tasks at
//! once; the others wait for targets on which they end in time, as long as there can be one.

use std::time::Duration;

use greengage_core::{TargetName, Time, VmName};

use crate::event::{Effect, StartCall, TargetCall};
use crate::job::{Job, TaskState};
use crate::peer::{Errand, PeerMessage};
use crate::placement::{choose, finish, Owner, Slot};
use crate::scheduler::Scheduler;
use crate::submit::OPTIMISM;
use crate::target::{Order, Origin, Run};

/// The part of a job's tasks, as a divisor, for which there has to be room when it begins. The
/// others start as further room comes free, within milliseconds under load.
const BEGIN_PART: usize = 8;

/// The way to a target of another VM and back: two trips between zones and the other VM's work.
const REMOTE_DELAY: Duration = Duration::from_millis(5);
/// The way to a target of this VM and back.
const LOCAL_DELAY: Duration = Duration::from_millis(2);

/// How long a VM that lacked room wants to know of others' room at once.
const NEED_TIME: Duration = Duration::from_millis(1000);

/// What a slot stands for.
enum Place {
    Here(TargetName),
    Away(VmName, usize),
}

/// How strictly a job's tasks are placed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Rule {
    /// Only where they end in time.
    InTime,
    /// Anywhere.
    Late,
}

/// All free room that is known, and what each slot stands for.
struct FreeRoom {
    slots: Vec<Slot>,
    places: Vec<Place>,
}

impl Scheduler {
    /// Starts what waits and fits.
    pub(crate) fn dispatch(&mut self, now: Time, out: &mut Vec<Effect>) {
        let mut order: Vec<(bool, Time, u64)> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.tasks.iter().any(|t| t.state == TaskState::Waiting))
            .map(|(number, job)| (!job.begun, self.latest_start(job), *number))
            .collect();
        if order.is_empty() {
            return;
        }
        order.sort_unstable();
        let mut room = self.room(now);
        let mut errands = Vec::new();
        for (_, _, number) in order {
            if room.slots.is_empty() {
                break;
            }
            let rule = match self.jobs.get(&number) {
                Some(job) if job.begun && now >= self.last_chance(job, &room) => Rule::Late,
                _ => Rule::InTime,
            };
            self.place_job(now, number, rule, &mut room, &mut errands, out);
        }
        let waits = |job: &Job| job.tasks.iter().any(|t| t.state == TaskState::Waiting);
        if !errands.is_empty() || self.jobs.values().any(waits) {
            self.need = now + NEED_TIME;
        }
        self.send_errands(errands, out);
    }

    /// Begins a job whose wait is over, even if it will be late, where its room is free anyway.
    pub(crate) fn begin_late(&mut self, now: Time, number: u64, out: &mut Vec<Effect>) -> bool {
        let mut room = self.room(now);
        let mut errands = Vec::new();
        let begun = self.place_job(now, number, Rule::Late, &mut room, &mut errands, out);
        self.send_errands(errands, out);
        begun
    }

    fn send_errands(&self, errands: Vec<(VmName, Errand)>, out: &mut Vec<Effect>) {
        let mut by_vm: Vec<(VmName, Vec<Errand>)> = Vec::new();
        for (vm, errand) in errands {
            match by_vm.iter_mut().find(|(v, _)| *v == vm) {
                Some((_, list)) => list.push(errand),
                None => by_vm.push((vm, vec![errand])),
            }
        }
        for (to, errands) in by_vm {
            let message = PeerMessage::Run(errands);
            out.push(Effect::Send { to, message });
        }
    }

    /// The expected run time of the longest task that a job still lacks.
    fn longest_task(&self, job: &Job) -> Duration {
        let steps = job.steps.iter().filter(|step| step.left > 0);
        let times = steps.map(|step| self.estimates.expected(&job.queue, step.declared));
        times.max().unwrap_or_default()
    }

    /// When the tasks of a job have to start on a usual target so that it ends in time.
    fn latest_start(&self, job: &Job) -> Time {
        job.objective - self.longest_task(job)
    }

    /// When a job's tasks have to start on the fastest target; after that they are late anywhere.
    fn last_chance(&self, job: &Job, room: &FreeRoom) -> Time {
        let fastest = room.slots.iter().map(|slot| slot.speed).fold(1.0, f64::max);
        job.objective - self.longest_task(job).div_f64(fastest)
    }

    /// All free room that is known.
    fn room(&self, now: Time) -> FreeRoom {
        let mut room = FreeRoom {
            slots: Vec::new(),
            places: Vec::new(),
        };
        for (name, target) in self.targets.iter().filter(|(_, t)| t.is_open(now)) {
            let free = target.free();
            if free.milli_cores > 0 {
                room.slots.push(Slot {
                    free,
                    speed: target.speed.factor(),
                    delay: LOCAL_DELAY,
                    owner: Owner::Own,
                    barred: false,
                });
                room.places.push(Place::Here(name.clone()));
            }
        }
        for (vm, view) in self.peers.iter() {
            let owner = match view.peer.own.zone == *self.zone() {
                true => Owner::Zone,
                false => Owner::Far,
            };
            for (i, free) in view.rooms.iter().enumerate() {
                if free.free.milli_cores > 0 {
                    room.slots.push(Slot {
                        free: free.free,
                        speed: f64::from(free.speed) / 100.0,
                        delay: REMOTE_DELAY,
                        owner,
                        barred: false,
                    });
                    room.places.push(Place::Away(vm.clone(), i));
                }
            }
        }
        room
    }

    /// Places the waiting tasks of a job; returns whether it has begun.
    fn place_job(
        &mut self,
        now: Time,
        number: u64,
        rule: Rule,
        room: &mut FreeRoom,
        errands: &mut Vec<(VmName, Errand)>,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(job) = self.jobs.get(&number) else {
            return false;
        };
        let waiting = job.waiting();
        let mut placed = Vec::new();
        for i in &waiting {
            let task = &job.tasks[*i];
            let step = &job.steps[task.step];
            let expected = self.estimates.expected(&job.queue, step.declared);
            self.bar(job, *i, room);
            let Some((slot, in_time)) =
                choose(now, &room.slots, &step.demand, expected, job.objective)
            else {
                continue;
            };
            if !in_time && rule == Rule::InTime {
                continue;
            }
            let optimistic = expected * OPTIMISM / 100;
            if finish(now, &room.slots[slot], optimistic) > job.end {
                continue;
            }
            room.slots[slot].free = room.slots[slot].free.minus(&step.demand);
            placed.push((*i, slot));
        }
        if !job.begun && placed.len() * BEGIN_PART < waiting.len().max(1) || placed.is_empty() {
            let demand = |i: usize| job.steps[job.tasks[i].step].demand;
            for (i, slot) in placed {
                room.slots[slot].free = room.slots[slot].free.plus(&demand(i));
            }
            return false;
        }
        for (i, slot) in placed {
            match &room.places[slot] {
                Place::Here(target) => self.start_here(now, number, i, &target.clone(), out),
                Place::Away(vm, index) => {
                    let (vm, index) = (vm.clone(), *index);
                    let errand = self.start_away(now, number, i, &vm, index);
                    errands.extend(errand.map(|errand| (vm, errand)));
                }
            }
        }
        true
    }

    /// Marks the slots that a task may not use.
    fn bar(&self, job: &Job, task: usize, room: &mut FreeRoom) {
        let task = &job.tasks[task];
        let step = &job.steps[task.step];
        for (slot, place) in room.slots.iter_mut().zip(&room.places) {
            slot.barred = match place {
                Place::Here(name) => {
                    let target = self.targets.get(name);
                    let serves =
                        target.is_some_and(|t| t.serves(&job.service, step.label.as_ref()));
                    task.avoid.as_ref() == Some(name) || !serves
                }
                Place::Away(..) => false,
            };
        }
    }

    fn start_here(
        &mut self,
        now: Time,
        number: u64,
        task: usize,
        target: &TargetName,
        out: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        job.begun = true;
        let step = &job.steps[job.tasks[task].step];
        let (demand, declared) = (step.demand, step.declared);
        let entry = &mut job.tasks[task];
        entry.number += 1;
        entry.state = TaskState::Here(target.clone());
        let order = Order {
            task: entry.name.clone(),
            number: entry.number,
            origin: Origin::Own(number),
            queue: job.queue.clone(),
            demand,
            declared,
            end: job.end,
        };
        let spec = job.spec.clone();
        self.start_run(now, target, Run::new(now, order), spec, out);
    }

    /// Sends a start to a target of this VM.
    pub(crate) fn start_run(
        &mut self,
        now: Time,
        name: &TargetName,
        run: Run,
        spec: std::sync::Arc<str>,
        out: &mut Vec<Effect>,
    ) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        let Some(lease) = target.grant(now) else {
            return;
        };
        log::debug!(event = "start", task = &*run.task, run = run.number, target = name.as_str();
            "a task is started");
        let call = StartCall {
            task: run.task.clone(),
            number: run.number,
            spec,
            lease,
        };
        target.runs.push(run);
        self.rooms_changed = true;
        self.call(name, TargetCall::Start(call), out);
    }

    fn start_away(
        &mut self,
        now: Time,
        number: u64,
        task: usize,
        vm: &VmName,
        index: usize,
    ) -> Option<Errand> {
        let job = self.jobs.get_mut(&number)?;
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        job.begun = true;
        let step = &job.steps[job.tasks[task].step];
        let entry = &mut job.tasks[task];
        entry.number += 1;
        entry.state = TaskState::Away {
            vm: vm.clone(),
            ticket,
        };
        let errand = Errand {
            ticket,
            task: entry.name.clone(),
            number: entry.number,
            spec: job.spec.clone(),
            service: job.service.clone(),
            queue: job.queue.clone(),
            demand: step.demand,
            declared: step.declared,
            label: step.label.clone(),
            objective: job.objective.since(now),
            end: job.end.since(now),
        };
        self.away.insert(ticket, number);
        if let Some(view) = self.peers.get_mut(vm) {
            if let Some(room) = view.rooms.get_mut(index) {
                room.free = room.free.minus(&errand.demand);
            }
        }
        Some(errand)
    }
}
