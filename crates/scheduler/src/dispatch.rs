//! Placement of waiting tasks.
//!
//! Started jobs are placed first, since their completed runs are wasted if they end late; the
//! others follow by rank. A job starts when all of its tasks are expected to start in time, by what
//! is free and by the expected ends of the runs on this VM's targets; see
//! `greengage_contention`. The remaining tasks of a started job wait for targets on which they end
//! in time, as long as there can be one.

use std::time::Duration;

use greengage_contention::{
    decide, place_later, place_now, place_safe, Claim, Decision, Locality, Need, Placement, Rank,
    Room, Slot,
};
use greengage_core::{Demand, TargetName, Time, VmName};

use crate::event::{Effect, StartCall, TargetCall};
use crate::job::{Job, Task, TaskState};
use crate::peer::{OffloadedTask, PeerMessage};
use crate::scheduler::Scheduler;
use crate::submit::{outlasts, BEST_CASE_PERCENT};
use crate::target::{Origin, Run, RunParams, Target};

/// Round trip to a target of another VM: two trips between zones and that VM's processing time.
const REMOTE_ROUND_TRIP: Duration = Duration::from_millis(5);
/// Round trip to a target of this VM.
const LOCAL_ROUND_TRIP: Duration = Duration::from_millis(2);

/// After a lack of free resources, how long a VM asks others for immediate offers.
const SHORTAGE_PERIOD: Duration = Duration::from_millis(1000);

/// The target or offer behind a slot: the position of the target, or the VM and the index of its
/// offer.
enum Place {
    Local(usize),
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

/// Known resources; `places` holds what each slot stands for.
struct SlotPool {
    slots: Vec<Slot>,
    places: Vec<Place>,
    /// For each slot, when its VM's shutdown ends.
    exits: Vec<Option<Time>>,
    /// The offers of peers that fit this demand are added once a task has no place on this VM's own
    /// targets that are free; `None` afterwards.
    least: Option<Demand>,
}

/// Places of the tasks of a job.
struct Plan {
    decision: Decision,
    /// Number of waiting tasks.
    waiting: usize,
    /// Indices of the tasks that have a place, in the order of `placements`.
    tasks: Vec<usize>,
    placements: Vec<Placement>,
}

/// The smaller amount of each resource.
fn least_demand(a: Demand, b: &Demand) -> Demand {
    Demand {
        milli_cores: a.milli_cores.min(b.milli_cores),
        memory_mib: a.memory_mib.min(b.memory_mib),
        accelerators: a.accelerators.min(b.accelerators),
    }
}

impl Scheduler {
    /// Starts the waiting tasks for which there is room, and keeps room for others.
    pub(crate) fn dispatch(&mut self, now: Time, out: &mut Vec<Effect>) {
        let order = self.placement_order();
        if order.is_empty() || !self.knows_callers(now) {
            self.least_waiting = (!order.is_empty()).then(Demand::default);
            self.offers_changed |= self.targets.set_reserved(std::iter::empty());
            return;
        }
        let mut pool = self.slot_pool(now, order.iter().map(|(.., job_id)| *job_id));
        self.least_waiting = pool.least;
        let mut offloads = Vec::new();
        for (_, _, job_id) in order {
            let rule = self.placement_rule(now, job_id, &pool);
            self.place_job(now, job_id, rule, &mut pool, &mut offloads, out);
        }
        let reserved = pool.places.iter().zip(&pool.slots);
        let reserved = reserved.filter_map(|(place, slot)| match place {
            Place::Local(position) => Some((
                *position,
                slot.room.free().saturating_sub(&slot.room.least()),
            )),
            Place::Remote(..) => None,
        });
        self.offers_changed |= self.targets.set_reserved(reserved);
        let waits = |job: &Job| job.tasks.iter().any(|t| t.state == TaskState::Waiting);
        let waits = self.jobs.values().any(waits);
        self.least_waiting = self.least_waiting.filter(|_| waits);
        if !offloads.is_empty() || waits {
            self.shortage_until = now + SHORTAGE_PERIOD;
        }
        self.send_offloads(now, offloads, out);
    }

    /// The jobs with waiting tasks, in the order in which they are placed.
    pub(crate) fn placement_order(&self) -> Vec<(bool, Rank, u64)> {
        let waits = |job: &Job| job.tasks.iter().any(|t| t.state == TaskState::Waiting);
        let waiting = self.jobs.iter().filter(|(_, job)| waits(job));
        let mut order: Vec<(bool, Rank, u64)> = waiting
            .map(|(job_id, job)| (!job.started, self.rank(job), *job_id))
            .collect();
        order.sort_unstable();
        order
    }

    fn placement_rule(&self, now: Time, job_id: u64, pool: &SlotPool) -> PlacementRule {
        match self.jobs.get(&job_id) {
            Some(job) if job.started && now >= self.latest_useful_start(job, pool) => {
                PlacementRule::AnyTime
            }
            _ => PlacementRule::InTime,
        }
    }

    /// Whether a job has room in time if it takes the place of another one in the order, and those
    /// between the two keep theirs.
    pub(crate) fn starts_instead(
        &self,
        now: Time,
        (job_id, other): (u64, u64),
        order: &[(bool, Rank, u64)],
    ) -> bool {
        let mut pool = self.slot_pool(now, order.iter().map(|(.., id)| *id));
        let mut replaced = false;
        for (.., id) in order.iter().take_while(|(.., id)| *id != job_id) {
            let id = match *id == other {
                true => job_id,
                false => *id,
            };
            replaced |= id == job_id;
            let rule = self.placement_rule(now, id, &pool);
            let plan = self.plan_job(now, id, rule, &mut pool);
            let had_room = self.jobs.get(&id).is_some_and(|job| job.kept.is_some());
            let needs_room = id == job_id || replaced && had_room;
            if needs_room && plan.decision == Decision::Wait {
                return false;
            }
        }
        replaced
    }

    /// Place of a job in the order.
    pub(crate) fn rank(&self, job: &Job) -> Rank {
        let own = || Rank::new(job.priority, self.latest_start(job), job.arrival);
        job.taken_rank.unwrap_or_else(own)
    }

    /// What a job asks for, which decides whether it gives way to another one.
    pub(crate) fn claim(&self, job: &Job) -> Claim {
        // The tasks of a step follow each other.
        let steps = job.tasks.chunk_by(|a, b| a.step == b.step);
        let work = steps.map(|tasks| {
            let step = &job.steps[tasks[0].step];
            let waits = |task: &&Task| task.state == TaskState::Waiting;
            let waiting = tasks.iter().filter(waits).count() as f64;
            let expected = self.estimates.expected_run_time(&job.queue, step.declared);
            expected.mul_f64(waiting * f64::from(step.demand.milli_cores) / 1000.0)
        });
        Claim {
            priority: job.priority,
            latest_start: self.latest_start(job),
            work: work.sum(),
            arrival: job.arrival,
        }
    }

    /// Reviews a job that has reached its longest wait: it waits on if room is kept for it, and
    /// starts, even if it will end late, if there is room for all of its tasks. Returns whether it
    /// was started or waits on.
    pub(crate) fn start_late(&mut self, now: Time, job_id: u64, out: &mut Vec<Effect>) -> bool {
        if !self.knows_callers(now) {
            return false;
        }
        let waits_on = |job: &Job| job.kept.is_some() && now < job.deadline;
        if self.jobs.get(&job_id).is_some_and(waits_on) {
            return true;
        }
        let mut pool = self.slot_pool(now, std::iter::once(job_id));
        // It must not take the room that is kept for jobs which will be in time.
        for (place, slot) in pool.places.iter().zip(&mut pool.slots) {
            if let Place::Local(position) = place {
                let target = self.targets.at(*position).map(|(_, target)| target);
                let target = target.filter(|target| target.accepts_tasks(now));
                slot.room = target.map_or_else(Room::default, |t| Room::new(t.unreserved()));
            }
        }
        let mut offloads = Vec::new();
        let rule = PlacementRule::AnyTime;
        let decision = self.place_job(now, job_id, rule, &mut pool, &mut offloads, out);
        self.send_offloads(now, offloads, out);
        decision == Decision::Start
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
    pub(crate) fn longest_run_time(&self, job: &Job) -> Duration {
        let steps = job.steps.iter().filter(|step| step.remaining > 0);
        let times = steps.map(|step| self.estimates.expected_run_time(&job.queue, step.declared));
        times.max().unwrap_or_default()
    }

    /// Expected time that the job takes from now on if all of its steps that are ready start.
    fn remaining_time(&self, job: &Job) -> Duration {
        let steps = job.steps.iter().filter(|step| step.remaining > 0);
        let times = steps
            .map(|step| step.after + self.estimates.expected_run_time(&job.queue, step.declared));
        times.max().unwrap_or_default()
    }

    /// When the tasks have to start on a target of usual speed for the job to end in time.
    fn latest_start(&self, job: &Job) -> Time {
        job.objective - self.remaining_time(job)
    }

    /// Like `latest_start`, on the fastest target; tasks that start later are late on any target.
    fn latest_useful_start(&self, job: &Job, pool: &SlotPool) -> Time {
        let fastest = pool.slots.iter().map(|slot| slot.speed).fold(1.0, f64::max);
        job.objective - self.remaining_time(job).div_f64(fastest)
    }

    /// Collects the resources of this VM's targets, for the waiting tasks of some jobs.
    fn slot_pool(&self, now: Time, jobs: impl Iterator<Item = u64>) -> SlotPool {
        let jobs = jobs.filter_map(|job_id| self.jobs.get(&job_id));
        let demands = jobs.flat_map(|job| job.steps.iter().filter(|s| s.remaining > 0));
        let least = demands
            .map(|step| step.demand)
            .reduce(|a, b| least_demand(a, &b));
        let mut pool = SlotPool {
            slots: Vec::new(),
            places: Vec::new(),
            exits: Vec::new(),
            least,
        };
        for position in self.targets.used_positions() {
            let target = self.targets.at(position).map(|(_, target)| target);
            let Some((target, open)) = target.and_then(|t| Some((t, t.opens_at(now)?))) else {
                continue;
            };
            pool.slots.push(Slot {
                room: target.forecast(now, open),
                speed: target.speed.factor(),
                delay: LOCAL_ROUND_TRIP,
                locality: Locality::Local,
                excluded: false,
            });
            pool.places.push(Place::Local(position));
            pool.exits.push(None);
        }
        pool
    }

    /// Adds the offers of peers that fit the least demand. Returns whether there are new slots.
    fn add_offers(&self, pool: &mut SlotPool) -> bool {
        let Some(least) = pool.least.take() else {
            return false;
        };
        let known = pool.slots.len();
        for (vm, view) in self.peers.iter() {
            let locality = match view.peer.candidate.zone == *self.zone() {
                true => Locality::SameZone,
                false => Locality::OtherZone,
            };
            for (i, offer) in view.offers.iter().enumerate() {
                if offer.free.milli_cores > 0 && least.fits(&offer.free) {
                    pool.slots.push(Slot {
                        room: Room::new(offer.free),
                        speed: f64::from(offer.speed) / 100.0,
                        delay: REMOTE_ROUND_TRIP,
                        locality,
                        excluded: false,
                    });
                    pool.places.push(Place::Remote(vm.clone(), i));
                    pool.exits.push(view.end);
                }
            }
        }
        pool.slots.len() > known
    }

    /// Places the waiting tasks of a job, and starts those whose place is free if the job starts.
    fn place_job(
        &mut self,
        now: Time,
        job_id: u64,
        rule: PlacementRule,
        pool: &mut SlotPool,
        offloads: &mut Vec<(VmName, OffloadedTask)>,
        out: &mut Vec<Effect>,
    ) -> Decision {
        let Plan {
            decision,
            waiting,
            tasks,
            placements,
        } = self.plan_job(now, job_id, rule, pool);
        let counts = (waiting, placements.len());
        self.record_decision(now, job_id, decision, counts);
        if decision != Decision::Start {
            return decision;
        }
        for (i, placement) in tasks.into_iter().zip(placements) {
            if placement.start > now {
                continue;
            }
            match &pool.places[placement.slot] {
                Place::Local(position) => {
                    let name = self.targets.at(*position).map(|(name, _)| name.clone());
                    if let Some(name) = name {
                        self.start_local(now, job_id, i, &name, out);
                    }
                }
                Place::Remote(vm, index) => {
                    let (vm, index) = (vm.clone(), *index);
                    let offload = self.start_remote(now, job_id, i, &vm, index);
                    offloads.extend(offload.map(|offload| (vm, offload)));
                }
            }
        }
        decision
    }

    /// Finds places for the waiting tasks of a job. They are claimed in the pool unless the job has to
    /// wait.
    fn plan_job(&self, now: Time, job_id: u64, rule: PlacementRule, pool: &mut SlotPool) -> Plan {
        let Some(job) = self.jobs.get(&job_id) else {
            return Plan {
                decision: Decision::Wait,
                waiting: 0,
                tasks: Vec::new(),
                placements: Vec::new(),
            };
        };
        let waiting = job.waiting_tasks();
        let mut tasks = Vec::new();
        let mut placements = Vec::new();
        // Tasks of a step that avoid no target differ in nothing: they may use the same slots, and if
        // there is none for one of them, there is none for the next.
        let (mut marked, mut exhausted) = (None, None);
        let mut need = None;
        let mut waves = false;
        for i in &waiting {
            let task = &job.tasks[*i];
            let step_key = task.avoid_target.is_none().then_some(task.step);
            if step_key.is_some() && step_key == exhausted {
                continue;
            }
            if step_key.is_none() || step_key != marked {
                self.mark_excluded(now, job, *i, pool);
                (marked, need) = (step_key, None);
            }
            let need = need.get_or_insert_with(|| self.need(job, task.step, rule));
            let mut found = place_safe(now, &pool.slots, need);
            if found.is_none() {
                if self.add_offers(pool) {
                    self.mark_excluded(now, job, *i, pool);
                    found = place_safe(now, &pool.slots, need);
                }
                found = found.or_else(|| place_now(now, &pool.slots, need));
            }
            // A late job keeps no room from jobs that can be in time.
            let may_wait = rule == PlacementRule::InTime;
            let found = found.or_else(|| {
                let later = may_wait.then(|| place_later(now, &pool.slots, need));
                later.flatten()
            });
            let Some(placement) = found else {
                // A job of one step without any place has none in waves either.
                let may_go = !job.started && (job.steps.len() > 1 || !placements.is_empty());
                waves = waves || may_go && self.is_wide(job, &waiting, pool);
                if !job.started && !waves {
                    break;
                }
                exhausted = step_key.or(exhausted);
                continue;
            };
            placement.claim(now, &mut pool.slots);
            tasks.push(*i);
            placements.push(placement);
        }
        let decision = decide(now, (job.started, waves), waiting.len(), &placements);
        if decision == Decision::Wait {
            for placement in &placements {
                placement.withdraw(now, &mut pool.slots);
            }
        }
        Plan {
            decision,
            waiting: waiting.len(),
            tasks,
            placements,
        }
    }

    /// What a task of a step needs.
    fn need(&self, job: &Job, step: usize, rule: PlacementRule) -> Need {
        let step = &job.steps[step];
        let expected = self.estimates.expected_run_time(&job.queue, step.declared);
        Need {
            demand: step.demand,
            expected,
            best_case: expected * BEST_CASE_PERCENT / 100,
            objective: job.objective - step.after,
            deadline: job.deadline - step.after * BEST_CASE_PERCENT / 100,
            any_time: rule == PlacementRule::AnyTime,
        }
    }

    /// Whether a job has more waiting tasks than can run at once on the targets that can be used:
    /// those of this VM, if nothing else ran on them, and what is free in the offers of its peers.
    fn is_wide(&self, job: &Job, waiting: &[usize], pool: &SlotPool) -> bool {
        // The part of the targets that the tasks need.
        let mut needed = 0.0;
        for tasks in waiting.chunk_by(|a, b| job.tasks[*a].step == job.tasks[*b].step) {
            let step = &job.steps[job.tasks[tasks[0]].step];
            let count = |place: &Place| match place {
                Place::Local(position) => {
                    let target = self.targets.at(*position).map(|(_, target)| target);
                    let target = target.filter(|t| t.serves(&job.service, step.label.as_ref()));
                    target.map_or(0, |t| step.demand.count_in(&t.report.capacity))
                }
                Place::Remote(vm, index) => {
                    let offer = self.peers.get(vm).and_then(|view| view.offers.get(*index));
                    offer.map_or(0, |offer| step.demand.count_in(&offer.free))
                }
            };
            let slots: f64 = pool
                .places
                .iter()
                .map(|place| f64::from(count(place)))
                .sum();
            // Waves don't help a step that no target can run.
            if slots == 0.0 {
                return false;
            }
            needed += tasks.len() as f64 / slots;
        }
        needed > 1.0
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
        let avoided = avoided.filter(|_| self.targets.iter().any(|(n, t)| is_other(n, t)));
        let places = pool.places.iter().zip(&pool.exits);
        for (slot, (place, exit)) in pool.slots.iter_mut().zip(places) {
            slot.excluded = match place {
                Place::Local(position) => !self.targets.at(*position).is_some_and(|(name, t)| {
                    avoided != Some(name) && t.serves(&job.service, step.label.as_ref())
                }),
                Place::Remote(..) => exit.is_some_and(|end| outlasts(now, expected, end)),
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
        mut run: Run,
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
        run.expected = self.estimates.expected_run_time(&run.queue, run.declared);
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
            objective: (job.objective - step.after).since(now),
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
