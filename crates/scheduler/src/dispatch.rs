//! Placement of waiting tasks.
//!
//! Started jobs are placed first, since their completed runs are wasted if they end late; the
//! others follow in the order of their latest start. A job starts only when part of its tasks fit
//! at once. Its remaining tasks wait for targets on which they end in time, as long as there can be
//! one.

use std::time::Duration;

use greengage_core::{TargetName, Time, VmName};

use crate::event::{Effect, StartCall, TargetCall};
use crate::job::{Job, TaskState};
use crate::peer::{OffloadedTask, PeerMessage};
use crate::placement::{choose_slot, finish_time, Locality, Slot};
use crate::scheduler::Scheduler;
use crate::submit::{outlasts, BEST_CASE_PERCENT};
use crate::target::{Origin, Run, RunParams, Target};

/// Divisor of a job's waiting tasks: the part that has to fit at once when the job starts. The
/// others start as resources become free, within milliseconds under load.
const START_DIVISOR: usize = 8;

/// Round trip to a target of another VM: two trips between zones and that VM's processing time.
const REMOTE_ROUND_TRIP: Duration = Duration::from_millis(5);
/// Round trip to a target of this VM.
const LOCAL_ROUND_TRIP: Duration = Duration::from_millis(2);

/// After a lack of free resources, how long a VM asks others for immediate offers.
const SHORTAGE_PERIOD: Duration = Duration::from_millis(1000);

/// The target or offer behind a slot; `Remote` has the VM and the index of its offer.
enum Place {
    Local(TargetName),
    Remote(VmName, usize),
}

/// Which slots a job's tasks may use.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PlacementRule {
    /// Only those in which they end in time.
    InTime,
    /// All, even if the tasks end late.
    AnyTime,
}

/// All known free resources; `places` holds what each slot stands for.
struct SlotPool {
    slots: Vec<Slot>,
    places: Vec<Place>,
}

impl Scheduler {
    /// Starts the waiting tasks for which there are slots.
    pub(crate) fn dispatch(&mut self, now: Time, out: &mut Vec<Effect>) {
        let mut order: Vec<(bool, Time, u64)> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.tasks.iter().any(|t| t.state == TaskState::Waiting))
            .map(|(job_id, job)| (!job.started, self.latest_start(job), *job_id))
            .collect();
        if order.is_empty() || !self.knows_callers(now) {
            return;
        }
        order.sort_unstable();
        let mut pool = self.slot_pool(now);
        let mut offloads = Vec::new();
        for (_, _, job_id) in order {
            if pool.slots.is_empty() {
                break;
            }
            let rule = match self.jobs.get(&job_id) {
                Some(job) if job.started && now >= self.latest_useful_start(job, &pool) => {
                    PlacementRule::AnyTime
                }
                _ => PlacementRule::InTime,
            };
            self.place_job(now, job_id, rule, &mut pool, &mut offloads, out);
        }
        let waits = |job: &Job| job.tasks.iter().any(|t| t.state == TaskState::Waiting);
        if !offloads.is_empty() || self.jobs.values().any(waits) {
            self.shortage_until = now + SHORTAGE_PERIOD;
        }
        self.send_offloads(now, offloads, out);
    }

    /// Starts a job that has reached its longest wait, even if it will end late, where slots are
    /// free. Returns whether it was started.
    pub(crate) fn start_late(&mut self, now: Time, job_id: u64, out: &mut Vec<Effect>) -> bool {
        if !self.knows_callers(now) {
            return false;
        }
        let mut pool = self.slot_pool(now);
        let mut offloads = Vec::new();
        let started = self.place_job(
            now,
            job_id,
            PlacementRule::AnyTime,
            &mut pool,
            &mut offloads,
            out,
        );
        self.send_offloads(now, offloads, out);
        started
    }

    fn send_offloads(
        &self,
        now: Time,
        offloads: Vec<(VmName, OffloadedTask)>,
        out: &mut Vec<Effect>,
    ) {
        let mut by_vm: Vec<(VmName, Vec<OffloadedTask>)> = Vec::new();
        for (vm, offload) in offloads {
            match by_vm.iter_mut().find(|(v, _)| *v == vm) {
                Some((_, list)) => list.push(offload),
                None => by_vm.push((vm, vec![offload])),
            }
        }
        let sender = self.setup.incarnation;
        for (to, tasks) in by_vm {
            let message = PeerMessage::Run {
                sender,
                callers_age: self.callers_age(now),
                tasks,
            };
            out.push(Effect::Send { to, message });
        }
    }

    /// Expected run time of the job's longest task that isn't done.
    fn longest_run_time(&self, job: &Job) -> Duration {
        let steps = job.steps.iter().filter(|step| step.remaining > 0);
        let times = steps.map(|step| self.estimates.expected_run_time(&job.queue, step.declared));
        times.max().unwrap_or_default()
    }

    /// When the tasks have to start on a target of usual speed for the job to end in time.
    fn latest_start(&self, job: &Job) -> Time {
        job.objective - self.longest_run_time(job)
    }

    /// Like `latest_start`, on the fastest target; tasks that start later are late on any target.
    fn latest_useful_start(&self, job: &Job, pool: &SlotPool) -> Time {
        let fastest = pool.slots.iter().map(|slot| slot.speed).fold(1.0, f64::max);
        job.objective - self.longest_run_time(job).div_f64(fastest)
    }

    /// Collects the free resources of this VM's targets and the offers of its peers.
    fn slot_pool(&self, now: Time) -> SlotPool {
        let mut pool = SlotPool {
            slots: Vec::new(),
            places: Vec::new(),
        };
        for (name, target) in self.targets.used().filter(|(_, t)| t.accepts_tasks(now)) {
            let free = target.free();
            if free.milli_cores > 0 {
                pool.slots.push(Slot {
                    free,
                    speed: target.speed.factor(),
                    delay: LOCAL_ROUND_TRIP,
                    locality: Locality::Local,
                    excluded: false,
                });
                pool.places.push(Place::Local(name.clone()));
            }
        }
        for (vm, view) in self.peers.iter() {
            let locality = match view.peer.candidate.zone == *self.zone() {
                true => Locality::SameZone,
                false => Locality::OtherZone,
            };
            for (i, offer) in view.offers.iter().enumerate() {
                if offer.free.milli_cores > 0 {
                    pool.slots.push(Slot {
                        free: offer.free,
                        speed: f64::from(offer.speed) / 100.0,
                        delay: REMOTE_ROUND_TRIP,
                        locality,
                        excluded: false,
                    });
                    pool.places.push(Place::Remote(vm.clone(), i));
                }
            }
        }
        pool
    }

    /// Places the waiting tasks of a job. Returns whether any was placed.
    fn place_job(
        &mut self,
        now: Time,
        job_id: u64,
        rule: PlacementRule,
        pool: &mut SlotPool,
        offloads: &mut Vec<(VmName, OffloadedTask)>,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(job) = self.jobs.get(&job_id) else {
            return false;
        };
        let waiting = job.waiting_tasks();
        let mut placed = Vec::new();
        // Tasks of a step that avoid no target differ in nothing: they may use the same slots, and if
        // there is none for one of them, there is none for the next.
        let (mut marked, mut exhausted) = (None, None);
        for i in &waiting {
            let task = &job.tasks[*i];
            let step = &job.steps[task.step];
            let step_key = task.avoid_target.is_none().then_some(task.step);
            if step_key.is_some() && step_key == exhausted {
                continue;
            }
            let expected = self.estimates.expected_run_time(&job.queue, step.declared);
            if step_key.is_none() || step_key != marked {
                self.mark_excluded(now, job, *i, pool);
                marked = step_key;
            }
            let choice = choose_slot(now, &pool.slots, &step.demand, expected, job.objective);
            let best_case = expected * BEST_CASE_PERCENT / 100;
            let choice = choice.filter(|(slot, in_time)| {
                (*in_time || rule == PlacementRule::AnyTime)
                    && finish_time(now, &pool.slots[*slot], best_case) <= job.deadline
            });
            let Some((slot, _)) = choice else {
                exhausted = step_key.or(exhausted);
                continue;
            };
            pool.slots[slot].free = pool.slots[slot].free.saturating_sub(&step.demand);
            placed.push((*i, slot));
        }
        if !job.started && placed.len() * START_DIVISOR < waiting.len().max(1) || placed.is_empty()
        {
            let demand = |i: usize| job.steps[job.tasks[i].step].demand;
            for (i, slot) in placed {
                pool.slots[slot].free = pool.slots[slot].free.saturating_add(&demand(i));
            }
            return false;
        }
        for (i, slot) in placed {
            match &pool.places[slot] {
                Place::Local(target) => self.start_local(now, job_id, i, &target.clone(), out),
                Place::Remote(vm, index) => {
                    let (vm, index) = (vm.clone(), *index);
                    let offload = self.start_remote(now, job_id, i, &vm, index);
                    offloads.extend(offload.map(|offload| (vm, offload)));
                }
            }
        }
        true
    }

    /// Excludes the slots that a task may not use. It may use the target of its last run if no other
    /// one is known that can run it. It may not go to a VM whose shutdown it may outlast.
    fn mark_excluded(&self, now: Time, job: &Job, task: usize, pool: &mut SlotPool) {
        let task = &job.tasks[task];
        let step = &job.steps[task.step];
        let avoided = task.avoid_target.as_ref();
        let is_other = |name: &TargetName, target: &Target| {
            Some(name) != avoided
                && target.serves(&job.service, step.label.as_ref())
                && step.demand.fits(&target.report.capacity)
        };
        let expected = self.estimates.expected_run_time(&job.queue, step.declared);
        let exits = |vm: &VmName| {
            let end = self.peers.get(vm).and_then(|view| view.end);
            end.is_some_and(|end| outlasts(now, expected, end))
        };
        let avoided = avoided.filter(|_| self.targets.iter().any(|(n, t)| is_other(n, t)));
        for (slot, place) in pool.slots.iter_mut().zip(&pool.places) {
            slot.excluded = match place {
                Place::Local(name) => {
                    let target = self.targets.get(name);
                    let serves =
                        target.is_some_and(|t| t.serves(&job.service, step.label.as_ref()));
                    avoided == Some(name) || !serves
                }
                Place::Remote(vm, _) => exits(vm),
            };
        }
    }

    fn start_local(
        &mut self,
        now: Time,
        job_id: u64,
        task: usize,
        target: &TargetName,
        out: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get_mut(&job_id) else {
            return;
        };
        job.started = true;
        let step = &job.steps[job.tasks[task].step];
        let (demand, declared) = (step.demand, step.declared);
        let entry = &mut job.tasks[task];
        entry.number += 1;
        entry.state = TaskState::Local(target.clone());
        let params = RunParams {
            task: entry.name.clone(),
            number: entry.number,
            origin: Origin::Local(job_id),
            queue: job.queue.clone(),
            demand,
            declared,
            deadline: job.deadline,
        };
        let spec = job.spec.clone();
        let mut run = Run::new(now, params);
        run.renewed = self.callers_checked;
        self.start_run(now, target, run, spec, out);
    }

    /// Sends a start call to a target of this VM.
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
        let Some(lease) = target.grant_lease(now) else {
            return;
        };
        let (vm, offload_id) = match &run.origin {
            Origin::Local(_) => ("", 0),
            Origin::Peer { vm, offload_id } => (vm.as_str(), *offload_id),
        };
        log::info!(event = "start", task = &*run.task, run = run.number, target = name.as_str(),
            generation = target.generation, lease = lease, vm = vm, id = offload_id;
            "starting a task");
        let call = StartCall {
            task: run.task.clone(),
            number: run.number,
            spec,
            lease,
        };
        target.runs.push(run);
        self.offers_changed = true;
        self.call(name, TargetCall::Start(call), out);
    }

    fn start_remote(
        &mut self,
        now: Time,
        job_id: u64,
        task: usize,
        vm: &VmName,
        index: usize,
    ) -> Option<OffloadedTask> {
        let job = self.jobs.get_mut(&job_id)?;
        self.last_offload_id += 1;
        let offload_id = self.last_offload_id;
        job.started = true;
        let step = &job.steps[job.tasks[task].step];
        let entry = &mut job.tasks[task];
        entry.number += 1;
        entry.state = TaskState::Remote {
            vm: vm.clone(),
            offload_id,
        };
        let offload = OffloadedTask {
            offload_id,
            task: entry.name.clone(),
            number: entry.number,
            spec: job.spec.clone(),
            service: job.service.clone(),
            queue: job.queue.clone(),
            demand: step.demand,
            declared: step.declared,
            label: step.label.clone(),
            objective: job.objective.since(now),
            deadline: job.deadline.since(now),
        };
        log::debug!(event = "offload", task = &*offload.task, run = offload.number,
            vm = vm.as_str(), id = offload_id; "offloading a task to another VM");
        self.offloaded.insert(offload_id, job_id);
        if let Some(view) = self.peers.get_mut(vm) {
            view.renewal_due = true;
            if let Some(offer) = view.offers.get_mut(index) {
                offer.free = offer.free.saturating_sub(&offload.demand);
            }
        }
        Some(offload)
    }
}
