//! Targets, the grants on them, and the index of targets with room.
//!
//! A *shape* combines the attributes of a task that decide its placement: kind of work, demand,
//! spread and whether it is declared long. For each shape the index holds the targets with room for
//! one more such task, ordered by speed. It changes only when a target changes, and only for the
//! shapes of that target's kinds of work, so that finding a target takes logarithmic time.
//!
//! The free resources of a worker are its capacity minus the larger of two amounts: all grants, and
//! the last reported usage plus the grants that the report can't include yet. The demand of a task
//! that ended after the report, or shortly before it, is subtracted from the reported usage;
//! otherwise a worker with many short tasks would appear full until its next report.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use greengage_core::{Capacity, Demand, Spread, TargetName, Time};
use greengage_membership::Standing;

use crate::event::Attempt;
use crate::ids::{RackId, ShapeId, TargetId, WorkId};
use crate::reserve::WorkUsage;

/// How long a worker's report may lag behind its grants; workers report every second.
const USAGE_LAG: Duration = Duration::from_secs(1);

/// Most concurrent tasks on a worker, which bounds tasks without a demand.
const MAX_WORKER_TASKS: u32 = 1024;

/// First backoff of a target that refused a start.
const MIN_BACKOFF: Duration = Duration::from_millis(10);

/// Most doublings of the backoff; the longest is 640 ms.
const BACKOFF_DOUBLINGS: u32 = 6;

/// Weight of a new sample in the moving average of a target's run time ratio.
const SPEED_WEIGHT: f64 = 1.0 / 8.0;

/// Cap on a sample, as a multiple of the target's present ratio.
const MAX_SAMPLE_RATIO: f64 = 3.0;

/// Steps of the speed scale per doubling. Coarse, so that a target rarely moves in the index.
const STEPS_PER_DOUBLING: f64 = 4.0;

/// The step of a target of average speed.
const MEAN_SPEED_STEP: f64 = 64.0;

/// Number of shapes of a kind of work from which adding another drops those without users.
const SHAPE_GC_THRESHOLD: usize = 16;

/// The attributes of a task that decide its placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ShapeKey {
    pub(crate) work: WorkId,
    pub(crate) demand: Demand,
    pub(crate) spread: Spread,
    /// Whether the declared run time is long; used until enough run times were observed.
    pub(crate) declared_long: bool,
}

/// The sort key of a target in the index: speed step, tie-breaker, id.
type TargetOrder = (u32, u32, TargetId);

/// A shape and the targets with room for it.
pub(crate) struct Shape {
    pub(crate) key: ShapeKey,
    /// Number of jobs of this shape.
    pub(crate) users: u32,
    /// Number of targets that fit the demand when empty, whatever their standing.
    pub(crate) fitting_targets: u32,
    /// Number of tasks that fit now on all targets together.
    pub(crate) room: u64,
    /// Number of tasks that fit on all usable targets when empty; one on a target in probation.
    pub(crate) slots: u64,
    /// Service rate in thousandths of concurrent tasks: `slots`, weighted by each target's speed.
    pub(crate) rate: u64,
    /// Targets with room, by rack for shapes that are spread, else all under rack 0. BTreeSets,
    /// because each start may insert or remove one of thousands of targets.
    pub(crate) free_targets: BTreeMap<RackId, BTreeSet<TargetOrder>>,
}

/// What a target contributes to the counts and the index of a shape.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
struct Contribution {
    order: Option<(RackId, TargetOrder)>,
    fitting_targets: u32,
    room: u64,
    slots: u64,
    rate: u64,
}

/// A kind of work and the targets that run it.
#[derive(Default)]
pub(crate) struct Work {
    pub(crate) shapes: Vec<ShapeId>,
    pub(crate) targets: Vec<TargetId>,
    pub(crate) usage: WorkUsage,
}

/// A target.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) name: TargetName,
    pub(crate) rack: RackId,
    pub(crate) works: Vec<WorkId>,
    pub(crate) capacity: Option<Capacity>,
    pub(crate) standing: Standing,
    /// Whether the target was announced and hasn't been removed since.
    pub(crate) present: bool,
    pub(crate) running: u32,
    pub(crate) granted: Demand,
    /// The part of `granted` that the last report can include.
    reported_grants: Demand,
    reported: Demand,
    /// Grants that the last report can't include yet, oldest first.
    recent_grants: VecDeque<(Time, Attempt, Demand)>,
    /// Demands of tasks that ended within `USAGE_LAG`, which the next report may still include.
    recent_ends: VecDeque<(Time, Demand)>,
    /// Slots or millicores in use by all work.
    pub(crate) busy: u64,
    /// Slots or millicores in use by long work.
    pub(crate) long_busy: u64,
    /// Units currently included in `WorkUsage::capacity` of its kinds of work.
    counted_capacity: u64,
    /// Moving average of the run times on this target relative to the estimate.
    time_ratio: f64,
    /// The step of `time_ratio` on the speed scale, and the service rate of a slot in thousandths.
    speed: (u32, u64),
    tie_breaker: u32,
    /// Refusals since the last completed task.
    refusals: u32,
    /// Until when the target gets no task after a refusal; `None` while not backing off.
    pub(crate) backoff_until: Option<Time>,
    /// Whether grants may exceed the capacity, after an announcement of less or an adoption.
    pub(crate) may_overcommit: bool,
    contributions: Vec<(ShapeId, Contribution)>,
    free_slots: u64,
}

/// Capacity of a target that is assigned to an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Grant {
    pub(crate) target: TargetId,
    pub(crate) demand: Demand,
    /// Slots or millicores, as counted for the reserve of short work.
    pub(crate) units: u64,
    /// Whether the work was long at the start.
    pub(crate) is_long: bool,
    pub(crate) started_at: Time,
}

/// All targets, their shapes and kinds of work.
#[derive(Default)]
pub(crate) struct Targets {
    pub(crate) by_id: slab::Slab<Target>,
    names: greengage_core::SortedMap<TargetName, TargetId>,
    pub(crate) shapes: slab::Slab<Shape>,
    pub(crate) works: Vec<Work>,
    /// Number of free slots of executors that accept new tasks.
    pub(crate) free_slots: u64,
    /// Whether the index is ordered by speed; else by tie-breaker alone.
    pub(crate) by_speed: bool,
}

impl Targets {
    pub(crate) fn new(by_speed: bool) -> Targets {
        Targets {
            by_speed,
            ..Targets::default()
        }
    }

    pub(crate) fn find(&self, name: &TargetName) -> Option<TargetId> {
        self.names.get(name).copied()
    }

    pub(crate) fn get(&self, id: TargetId) -> &Target {
        &self.by_id[id.index()]
    }

    pub(crate) fn shape(&self, id: ShapeId) -> &Shape {
        &self.shapes[id.index()]
    }

    pub(crate) fn shape_mut(&mut self, id: ShapeId) -> &mut Shape {
        &mut self.shapes[id.index()]
    }

    /// Adds a kind of work if `work` is the next id.
    pub(crate) fn add_work(&mut self, work: WorkId) {
        if work.index() == self.works.len() {
            self.works.push(Work::default());
        }
    }

    /// Returns the shape of a key and whether it was added, which visits each target of its work.
    pub(crate) fn find_or_add_shape(&mut self, key: ShapeKey) -> (ShapeId, bool) {
        let shapes = &self.works[key.work.index()].shapes;
        if let Some(id) = shapes.iter().find(|s| self.shapes[s.index()].key == key) {
            return (*id, false);
        }
        if shapes.len() >= SHAPE_GC_THRESHOLD {
            self.drop_idle_shapes(key.work);
        }
        let id = ShapeId::new(self.shapes.insert(Shape {
            key,
            users: 0,
            fitting_targets: 0,
            room: 0,
            slots: 0,
            rate: 0,
            free_targets: BTreeMap::new(),
        }));
        self.works[key.work.index()].shapes.push(id);
        let targets = self.works[key.work.index()].targets.clone();
        for target in targets {
            self.update_shape(target, id);
        }
        (id, true)
    }

    fn drop_idle_shapes(&mut self, work: WorkId) {
        let (idle, kept): (Vec<_>, Vec<_>) = self.works[work.index()]
            .shapes
            .iter()
            .partition(|s| self.shapes[s.index()].users == 0);
        for target in self.works[work.index()].targets.clone() {
            self.by_id[target.index()]
                .contributions
                .retain(|(s, _)| !idle.contains(s));
        }
        for shape in &idle {
            self.shapes.remove(shape.index());
        }
        self.works[work.index()].shapes = kept;
    }

    /// Returns the target of a name. A new one isn't present: it can hold adopted grants but gets
    /// no tasks until it is announced.
    pub(crate) fn find_or_add(&mut self, name: &TargetName, tie_breaker: u32) -> TargetId {
        if let Some(id) = self.find(name) {
            return id;
        }
        let id = TargetId::new(self.by_id.insert(Target {
            name: name.clone(),
            rack: RackId(0),
            works: Vec::new(),
            capacity: None,
            standing: Standing::Live,
            present: false,
            running: 0,
            granted: Demand::default(),
            reported_grants: Demand::default(),
            reported: Demand::default(),
            recent_grants: VecDeque::new(),
            recent_ends: VecDeque::new(),
            busy: 0,
            long_busy: 0,
            counted_capacity: 0,
            time_ratio: 1.0,
            speed: speed_step(1.0),
            tie_breaker,
            refusals: 0,
            backoff_until: None,
            may_overcommit: false,
            contributions: Vec::new(),
            free_slots: 0,
        }));
        self.names.insert(name.clone(), id);
        id
    }

    /// Applies an announcement; existing grants stay.
    pub(crate) fn announce(
        &mut self,
        id: TargetId,
        capacity: Capacity,
        rack: RackId,
        works: Vec<WorkId>,
    ) {
        let was_present = self.detach(id);
        let target = &mut self.by_id[id.index()];
        if !was_present {
            target.standing = Standing::Live;
            target.backoff_until = None;
            target.refusals = 0;
        }
        target.present = true;
        target.capacity = Some(capacity);
        target.rack = rack;
        target.works = works;
        target.may_overcommit = true;
        let works = target.works.clone();
        for work in works {
            let targets = &mut self.works[work.index()].targets;
            if let Err(i) = targets.binary_search(&id) {
                targets.insert(i, id);
            }
        }
        self.update_index(id);
    }

    /// Removes a target from the index; it is kept while it has grants.
    pub(crate) fn remove(&mut self, id: TargetId) {
        self.detach(id);
        let target = &mut self.by_id[id.index()];
        target.present = false;
        target.works = Vec::new();
        self.update_index(id);
        self.remove_if_unused(id);
    }

    /// Removes a target from the index and from its kinds of work; returns whether it was present.
    fn detach(&mut self, id: TargetId) -> bool {
        let target = &mut self.by_id[id.index()];
        let (present, works) = (target.present, target.works.clone());
        target.present = false;
        self.update_index(id);
        if present {
            for work in works {
                let targets = &mut self.works[work.index()].targets;
                if let Ok(i) = targets.binary_search(&id) {
                    targets.remove(i);
                }
            }
        }
        self.by_id[id.index()].contributions.clear();
        present
    }

    fn remove_if_unused(&mut self, id: TargetId) {
        let target = &self.by_id[id.index()];
        if !target.present && target.running == 0 {
            self.names.remove(&target.name.clone());
            self.by_id.remove(id.index());
        }
    }

    pub(crate) fn set_standing(&mut self, id: TargetId, standing: Standing) {
        self.by_id[id.index()].standing = standing;
        self.update_index(id);
    }

    /// Applies a worker's report of its resource usage.
    pub(crate) fn record_usage(&mut self, id: TargetId, used: Demand, now: Time) {
        let target = &mut self.by_id[id.index()];
        let cutoff = now - USAGE_LAG;
        while target.recent_grants.front().is_some_and(|f| f.0 <= cutoff) {
            if let Some((_, _, demand)) = target.recent_grants.pop_front() {
                target.reported_grants = target.reported_grants.saturating_add(&demand);
            }
        }
        target.drop_old_ends(now);
        let ended = target.recent_ends.iter();
        target.reported = ended.fold(used, |left, (_, demand)| left.saturating_sub(demand));
        self.update_index(id);
    }

    /// Adds the grant of a new attempt.
    pub(crate) fn add_grant(&mut self, attempt: Attempt, grant: Grant, tie_breaker: Option<u32>) {
        let target = &mut self.by_id[grant.target.index()];
        target.running += 1;
        target.granted = target.granted.saturating_add(&grant.demand);
        if grant.demand != Demand::default() {
            target
                .recent_grants
                .push_back((grant.started_at, attempt, grant.demand));
        }
        if let Some(tie_breaker) = tie_breaker {
            target.tie_breaker = tie_breaker;
        }
        self.add_units(&grant, grant.started_at, 1);
        self.update_index(grant.target);
    }

    /// Releases the grant of an attempt that ended.
    pub(crate) fn release(&mut self, attempt: Attempt, grant: Grant, now: Time) {
        let target = &mut self.by_id[grant.target.index()];
        target.running -= 1;
        target.granted = target.granted.saturating_sub(&grant.demand);
        let from = target
            .recent_grants
            .partition_point(|f| f.0 < grant.started_at);
        let same_time = target
            .recent_grants
            .range(from..)
            .take_while(|f| f.0 == grant.started_at);
        match same_time.into_iter().position(|f| f.1 == attempt) {
            Some(i) => drop(target.recent_grants.remove(from + i)),
            None => {
                target.reported_grants = target.reported_grants.saturating_sub(&grant.demand);
                target.reported = target.reported.saturating_sub(&grant.demand);
            }
        }
        if grant.demand != Demand::default() {
            target.drop_old_ends(now);
            target.recent_ends.push_back((now, grant.demand));
        }
        self.add_units(&grant, now, -1);
        self.update_index(grant.target);
        self.remove_if_unused(grant.target);
    }

    /// Updates a target's speed with a completed task. The index follows with the next
    /// `update_index`.
    pub(crate) fn observe(&mut self, id: TargetId, service: Duration, expected: Duration) {
        let target = &mut self.by_id[id.index()];
        let sample = service.as_secs_f64() / expected.as_secs_f64().max(1e-6);
        let sample = sample.min(target.time_ratio * MAX_SAMPLE_RATIO);
        target.time_ratio =
            (target.time_ratio + (sample - target.time_ratio) * SPEED_WEIGHT).clamp(0.01, 100.0);
        target.speed = speed_step(target.time_ratio);
        target.refusals = 0;
    }

    /// Excludes a target that refused a start for a backoff; returns its end, or `None` if the
    /// target is backing off already.
    pub(crate) fn back_off(&mut self, id: TargetId, now: Time) -> Option<Time> {
        let target = &mut self.by_id[id.index()];
        if target.backoff_until.is_some() {
            return None;
        }
        let until = now + MIN_BACKOFF * (1 << target.refusals.min(BACKOFF_DOUBLINGS));
        target.refusals = target.refusals.saturating_add(1);
        target.backoff_until = Some(until);
        self.update_index(id);
        Some(until)
    }

    /// Ends the backoff that lasts until `until`; returns false if there is no such backoff.
    pub(crate) fn end_backoff(&mut self, id: TargetId, until: Time) -> bool {
        match self.by_id.get_mut(id.index()) {
            Some(target) if target.backoff_until == Some(until) => {
                target.backoff_until = None;
                self.update_index(id);
                true
            }
            Some(_) | None => false,
        }
    }

    fn add_units(&mut self, grant: &Grant, now: Time, sign: i64) {
        let target = &mut self.by_id[grant.target.index()];
        let units = grant.units as i64 * sign;
        let long_units = if grant.is_long { units } else { 0 };
        target.busy = target.busy.saturating_add_signed(units);
        target.long_busy = target.long_busy.saturating_add_signed(long_units);
        if target.counted_capacity > 0 {
            for work in &target.works {
                let usage = &mut self.works[work.index()].usage;
                usage.busy = usage.busy.saturating_add_signed(units);
                usage.long_busy = usage.long_busy.saturating_add_signed(long_units);
                usage.record_peak(now);
            }
        }
    }

    /// Updates the index and all counts after a change of one target.
    fn update_index(&mut self, id: TargetId) {
        let target = &mut self.by_id[id.index()];
        target.may_overcommit &= target.is_overcommitted();
        let capacity = target.counted_units();
        if capacity != target.counted_capacity {
            for work in &target.works {
                let usage = &mut self.works[work.index()].usage;
                usage.capacity = usage.capacity + capacity - target.counted_capacity;
                match (target.counted_capacity > 0, capacity > 0) {
                    (false, true) => {
                        usage.busy += target.busy;
                        usage.long_busy += target.long_busy;
                    }
                    (true, false) => {
                        usage.busy -= target.busy;
                        usage.long_busy -= target.long_busy;
                    }
                    (true, true) | (false, false) => {}
                }
            }
            target.counted_capacity = capacity;
        }
        let free = target.free_slots();
        self.free_slots = self.free_slots + free - target.free_slots;
        target.free_slots = free;
        for w in 0..self.by_id[id.index()].works.len() {
            let work = self.by_id[id.index()].works[w];
            for s in 0..self.works[work.index()].shapes.len() {
                let shape = self.works[work.index()].shapes[s];
                self.update_shape(id, shape);
            }
        }
    }

    fn update_shape(&mut self, id: TargetId, shape: ShapeId) {
        let target = &mut self.by_id[id.index()];
        let contribution = target.contribution(id, &self.shapes[shape.index()].key, self.by_speed);
        let i = match target.contributions.binary_search_by(|e| e.0.cmp(&shape)) {
            Ok(i) => i,
            Err(i) => {
                target
                    .contributions
                    .insert(i, (shape, Contribution::default()));
                i
            }
        };
        let old = std::mem::replace(&mut target.contributions[i].1, contribution);
        if old == contribution {
            return;
        }
        let shape = &mut self.shapes[shape.index()];
        shape.fitting_targets =
            shape.fitting_targets + contribution.fitting_targets - old.fitting_targets;
        shape.room = shape.room + contribution.room - old.room;
        shape.slots = shape.slots + contribution.slots - old.slots;
        shape.rate = shape.rate + contribution.rate - old.rate;
        if old.order == contribution.order {
            return;
        }
        if let Some((rack, order)) = old.order {
            let rack_is_empty = match shape.free_targets.get_mut(&rack) {
                Some(set) => set.remove(&order) && set.is_empty(),
                None => false,
            };
            // The only set of a shape without spread is kept, because a full zone would free and
            // allocate it each time.
            if rack_is_empty && shape.key.spread == Spread::Racks {
                shape.free_targets.remove(&rack);
            }
        }
        if let Some((rack, order)) = contribution.order {
            shape.free_targets.entry(rack).or_default().insert(order);
        }
    }
}

impl Targets {
    /// Room, slots, rate and fitting targets of a shape, and the number of targets with room,
    /// recomputed from all targets.
    pub(crate) fn recount(&self, shape: ShapeId) -> ((u64, u64, u64, u32), usize) {
        let key = &self.shapes[shape.index()].key;
        let mut sum = ((0, 0, 0, 0), 0);
        for (id, target) in &self.by_id {
            if target.present && target.works.contains(&key.work) {
                let contribution = target.contribution(TargetId::new(id), key, self.by_speed);
                sum.0 .0 += contribution.room;
                sum.0 .1 += contribution.slots;
                sum.0 .2 += contribution.rate;
                sum.0 .3 += contribution.fitting_targets;
                sum.1 += usize::from(contribution.order.is_some());
            }
        }
        sum
    }
}

impl Target {
    pub(crate) fn free_slots(&self) -> u64 {
        self.room_for(&Demand::default(), true)
    }

    /// Slots or millicores that the target adds to `WorkUsage::capacity`.
    fn counted_units(&self) -> u64 {
        match (self.present, self.standing, self.capacity) {
            (true, Standing::Live, Some(Capacity::Executor { slots, .. })) => u64::from(slots),
            (true, Standing::Live, Some(Capacity::Worker(capacity))) => {
                u64::from(capacity.milli_cores)
            }
            _ => 0,
        }
    }

    /// Whether the grants exceed the capacity, or the capacity is unknown.
    pub(crate) fn is_overcommitted(&self) -> bool {
        match self.capacity {
            Some(Capacity::Executor { slots, .. }) => self.running > slots,
            Some(Capacity::Worker(capacity)) => !self.granted.fits(&capacity),
            None => true,
        }
    }

    fn drop_old_ends(&mut self, now: Time) {
        while self
            .recent_ends
            .front()
            .is_some_and(|e| e.0 + USAGE_LAG <= now)
        {
            self.recent_ends.pop_front();
        }
    }

    /// Resources that a worker can still grant.
    fn free_resources(&self, capacity: &Demand) -> Demand {
        let unreported = self.granted.saturating_sub(&self.reported_grants);
        let used = self.reported.saturating_add(&unreported);
        capacity.saturating_sub(&Demand {
            milli_cores: used.milli_cores.max(self.granted.milli_cores),
            memory_mib: used.memory_mib.max(self.granted.memory_mib),
            accelerators: used.accelerators.max(self.granted.accelerators),
        })
    }

    /// How many tasks fit now; with `slots` only executor slots count.
    fn room_for(&self, demand: &Demand, slots: bool) -> u64 {
        if !self.present || self.backoff_until.is_some() {
            return 0;
        }
        let max_tasks = match self.standing {
            Standing::Live => u64::MAX,
            Standing::Probation if self.running == 0 => 1,
            Standing::Probation | Standing::Ejected | Standing::Suspect | Standing::Leaving => 0,
        };
        let fitting = match self.capacity {
            Some(Capacity::Executor { slots, .. }) => u64::from(slots.saturating_sub(self.running)),
            Some(Capacity::Worker(capacity)) if !slots => {
                fit_count(&self.free_resources(&capacity), demand)
                    .min(u64::from(MAX_WORKER_TASKS.saturating_sub(self.running)))
            }
            Some(Capacity::Worker(_)) | None => 0,
        };
        fitting.min(max_tasks)
    }

    /// How many tasks fit on the empty target.
    fn room_when_empty(&self, demand: &Demand) -> u64 {
        match self.capacity {
            Some(Capacity::Executor { slots, .. }) => u64::from(slots),
            Some(Capacity::Worker(capacity)) => {
                fit_count(&capacity, demand).min(u64::from(MAX_WORKER_TASKS))
            }
            None => 0,
        }
    }

    fn contribution(&self, id: TargetId, key: &ShapeKey, by_speed: bool) -> Contribution {
        if !self.present {
            return Contribution::default();
        }
        let empty = self.room_when_empty(&key.demand);
        let room = self.room_for(&key.demand, false);
        let slots = match self.standing {
            Standing::Live => empty,
            Standing::Probation => empty.min(1),
            Standing::Ejected | Standing::Suspect | Standing::Leaving => 0,
        };
        let rack = match key.spread {
            Spread::Any => RackId(0),
            Spread::Racks => self.rack,
        };
        let (step, rate) = self.speed;
        let rank = if by_speed { step } else { 0 };
        Contribution {
            order: (room > 0).then_some((rack, (rank, self.tie_breaker, id))),
            fitting_targets: u32::from(empty > 0),
            room,
            slots,
            rate: slots * rate,
        }
    }
}

/// The step of a run time ratio on the speed scale, and the service rate of one slot at that step
/// in thousandths.
fn speed_step(time_ratio: f64) -> (u32, u64) {
    let step = (MEAN_SPEED_STEP + time_ratio.log2() * STEPS_PER_DOUBLING).round();
    let time_ratio = ((step - MEAN_SPEED_STEP) / STEPS_PER_DOUBLING).exp2();
    (step as u32, (1000.0 / time_ratio) as u64)
}

/// How many times `demand` fits into `free`; `u64::MAX` for an empty demand.
fn fit_count(free: &Demand, demand: &Demand) -> u64 {
    [
        (free.milli_cores, demand.milli_cores),
        (free.memory_mib, demand.memory_mib),
        (free.accelerators, demand.accelerators),
    ]
    .into_iter()
    .filter(|(_, d)| *d > 0)
    .map(|(f, d)| u64::from(f / d))
    .min()
    .unwrap_or(u64::MAX)
}
