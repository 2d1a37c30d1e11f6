//! Targets, what was granted on them, and the index of free ones.
//!
//! A *shape* is what placement has to know of a task: its kind of work, demand and spread. For
//! each shape the index keeps the targets that could take one more task of it, ordered by speed.
//! Only a change of a target touches the index, and it touches only the shapes of the target's
//! own work, so that finding a target costs the logarithm of the number of targets.
//!
//! Free is the capacity minus the larger of what was granted and what is reported plus grants
//! that the report can't show yet. A task that ended is taken off the report, since and also
//! shortly before it came; else a worker that runs many short tasks would look full until the
//! next report.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use greengage_core::{Capacity, Demand, Spread, TargetName, Time};
use greengage_membership::Standing;

use crate::event::Attempt;
use crate::ids::{RackId, ShapeId, TargetId, WorkId};
use crate::reserve::Use;

/// How long a worker's report may lag behind its grants; workers announce each second.
const USAGE_LAG: Duration = Duration::from_secs(1);

/// Most tasks on a worker at once, for tasks without a demand.
const WORKER_TASKS: u32 = 1024;

/// First pause of a target that refused a start.
const REST: Duration = Duration::from_millis(10);

/// Doublings of that pause; the longest is 640 ms.
const REST_DOUBLINGS: u32 = 6;

/// Weight of a new observation of a target's speed.
const SPEED_WEIGHT: f64 = 1.0 / 8.0;

/// Largest observation of a target's speed relative to its present factor.
const SPEED_CLIP: f64 = 3.0;

/// Steps of the speed scale per doubling. Coarse, so that a target seldom moves in the index.
const SPEED_STEPS: f64 = 4.0;

/// The step of a target of mean speed.
const SPEED_MEAN: f64 = 64.0;

/// Idle shapes that a kind of work keeps; more are dropped when another one is added.
const SHAPES_KEPT: usize = 16;

/// What placement has to know of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ShapeKey {
    pub(crate) work: WorkId,
    pub(crate) demand: Demand,
    pub(crate) spread: Spread,
    /// Whether the declared run time is long; counts until run times were observed.
    pub(crate) long: bool,
}

/// A target's place among those of one rack: speed, then a tie-breaker, then the target.
type Order = (u32, u32, TargetId);

/// A shape and the targets with room for it.
pub(crate) struct Shape {
    pub(crate) key: ShapeKey,
    /// Jobs and attempts of this shape.
    pub(crate) users: u32,
    /// Targets that fit the demand when empty, whatever their standing.
    pub(crate) could: u32,
    /// Tasks that fit now on all targets together.
    pub(crate) room: u64,
    /// Tasks that fit on all live targets when empty.
    pub(crate) slots: u64,
    /// Thousandths of tasks at once, each weighted by the speed of its target.
    pub(crate) rate: u64,
    /// Targets with room, by rack for shapes that are spread, else all under rack 0. BTreeSets,
    /// because thousands of targets enter and leave them with each start.
    pub(crate) ready: BTreeMap<RackId, BTreeSet<Order>>,
}

/// What a target contributes to a shape.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
struct Entry {
    order: Option<(RackId, Order)>,
    could: u32,
    room: u64,
    slots: u64,
    rate: u64,
}

/// A kind of work and the targets that offer it.
#[derive(Default)]
pub(crate) struct Work {
    pub(crate) shapes: Vec<ShapeId>,
    pub(crate) targets: Vec<TargetId>,
    pub(crate) used: Use,
}

/// A target.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) name: TargetName,
    pub(crate) rack: RackId,
    pub(crate) works: Vec<WorkId>,
    pub(crate) capacity: Option<Capacity>,
    pub(crate) standing: Standing,
    /// Whether it was announced and isn't gone.
    pub(crate) present: bool,
    pub(crate) running: u32,
    pub(crate) granted: Demand,
    /// The part of `granted` that the last report could show.
    seen: Demand,
    reported: Demand,
    /// Grants that the last report couldn't show, oldest first.
    fresh: VecDeque<(Time, Attempt, Demand)>,
    /// Tasks that ended so lately that the next report may still show them.
    ended: VecDeque<(Time, Demand)>,
    /// Slots or millicores in use, and those of long work among them.
    pub(crate) busy: u64,
    pub(crate) long: u64,
    /// What it counts in the capacity of its kinds of work.
    counted: u64,
    /// Run time here relative to the estimate.
    factor: f64,
    /// The step of `factor` on the speed scale, and the rate of a slot in thousandths.
    speed: (u32, u64),
    tie: u32,
    refusals: u32,
    pub(crate) resting: Option<Time>,
    /// Whether more may be granted than fits, after a smaller announcement or an adoption.
    pub(crate) excused: bool,
    entries: Vec<(ShapeId, Entry)>,
    free_slots: u64,
}

/// A grant on a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Grant {
    pub(crate) target: TargetId,
    pub(crate) demand: Demand,
    /// Slots or millicores.
    pub(crate) units: u64,
    /// Whether the work is long.
    pub(crate) long: bool,
    pub(crate) since: Time,
}

/// All targets.
#[derive(Default)]
pub(crate) struct Targets {
    pub(crate) all: slab::Slab<Target>,
    names: greengage_core::SortedMap<TargetName, TargetId>,
    pub(crate) shapes: slab::Slab<Shape>,
    pub(crate) works: Vec<Work>,
    /// Free slots of live executors.
    pub(crate) free_slots: u64,
    /// Whether speed orders the index.
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
        &self.all[id.at()]
    }

    pub(crate) fn shape(&self, id: ShapeId) -> &Shape {
        &self.shapes[id.at()]
    }

    pub(crate) fn shape_mut(&mut self, id: ShapeId) -> &mut Shape {
        &mut self.shapes[id.at()]
    }

    /// Makes room for a new kind of work.
    pub(crate) fn add_work(&mut self, work: WorkId) {
        if work.at() == self.works.len() {
            self.works.push(Work::default());
        }
    }

    /// The shape of a key and whether it is new; a new one looks at each target of its work once.
    pub(crate) fn shape_of(&mut self, key: ShapeKey) -> (ShapeId, bool) {
        let shapes = &self.works[key.work.at()].shapes;
        if let Some(id) = shapes.iter().find(|s| self.shapes[s.at()].key == key) {
            return (*id, false);
        }
        if shapes.len() >= SHAPES_KEPT {
            self.drop_idle(key.work);
        }
        let id = ShapeId::new(self.shapes.insert(Shape {
            key,
            users: 0,
            could: 0,
            room: 0,
            slots: 0,
            rate: 0,
            ready: BTreeMap::new(),
        }));
        self.works[key.work.at()].shapes.push(id);
        let targets = self.works[key.work.at()].targets.clone();
        for target in targets {
            self.refresh_shape(target, id);
        }
        (id, true)
    }

    fn drop_idle(&mut self, work: WorkId) {
        let (idle, kept): (Vec<_>, Vec<_>) = self.works[work.at()]
            .shapes
            .iter()
            .partition(|s| self.shapes[s.at()].users == 0);
        for target in self.works[work.at()].targets.clone() {
            self.all[target.at()]
                .entries
                .retain(|(s, _)| !idle.contains(s));
        }
        for shape in &idle {
            self.shapes.remove(shape.at());
        }
        self.works[work.at()].shapes = kept;
    }

    /// The target of a name; one that was never announced holds grants but takes none.
    pub(crate) fn known(&mut self, name: &TargetName, tie: u32) -> TargetId {
        if let Some(id) = self.find(name) {
            return id;
        }
        let id = TargetId::new(self.all.insert(Target {
            name: name.clone(),
            rack: RackId(0),
            works: Vec::new(),
            capacity: None,
            standing: Standing::Live,
            present: false,
            running: 0,
            granted: Demand::default(),
            seen: Demand::default(),
            reported: Demand::default(),
            fresh: VecDeque::new(),
            ended: VecDeque::new(),
            busy: 0,
            long: 0,
            counted: 0,
            factor: 1.0,
            speed: speed(1.0),
            tie,
            refusals: 0,
            resting: None,
            excused: false,
            entries: Vec::new(),
            free_slots: 0,
        }));
        self.names.insert(name.clone(), id);
        id
    }

    /// Takes over an announcement; grants stay.
    pub(crate) fn announce(
        &mut self,
        id: TargetId,
        capacity: Capacity,
        rack: RackId,
        works: Vec<WorkId>,
    ) {
        let known = self.detach(id);
        let target = &mut self.all[id.at()];
        if !known {
            target.standing = Standing::Live;
            target.resting = None;
            target.refusals = 0;
        }
        target.present = true;
        target.capacity = Some(capacity);
        target.rack = rack;
        target.works = works;
        target.excused = true;
        let works = target.works.clone();
        for work in works {
            let targets = &mut self.works[work.at()].targets;
            if let Err(i) = targets.binary_search(&id) {
                targets.insert(i, id);
            }
        }
        self.refresh(id);
    }

    /// Takes a target out of the index; grants stay.
    pub(crate) fn gone(&mut self, id: TargetId) {
        self.detach(id);
        let target = &mut self.all[id.at()];
        target.present = false;
        target.works = Vec::new();
        self.refresh(id);
        self.reclaim(id);
    }

    /// Takes a target out of the index; returns whether it was in.
    fn detach(&mut self, id: TargetId) -> bool {
        let target = &mut self.all[id.at()];
        let (present, works) = (target.present, target.works.clone());
        target.present = false;
        self.refresh(id);
        if present {
            for work in works {
                let targets = &mut self.works[work.at()].targets;
                if let Ok(i) = targets.binary_search(&id) {
                    targets.remove(i);
                }
            }
        }
        self.all[id.at()].entries.clear();
        present
    }

    fn reclaim(&mut self, id: TargetId) {
        let target = &self.all[id.at()];
        if !target.present && target.running == 0 {
            self.names.remove(&target.name.clone());
            self.all.remove(id.at());
        }
    }

    pub(crate) fn stand(&mut self, id: TargetId, standing: Standing) {
        self.all[id.at()].standing = standing;
        self.refresh(id);
    }

    /// Takes over a worker's report of what it uses.
    pub(crate) fn usage(&mut self, id: TargetId, used: Demand, now: Time) {
        let target = &mut self.all[id.at()];
        let until = now - USAGE_LAG;
        while target.fresh.front().is_some_and(|f| f.0 <= until) {
            if let Some((_, _, demand)) = target.fresh.pop_front() {
                target.seen = target.seen.plus(&demand);
            }
        }
        target.forget_ended(now);
        let ended = target.ended.iter();
        target.reported = ended.fold(used, |left, (_, demand)| left.minus(demand));
        self.refresh(id);
    }

    /// Counts a start.
    pub(crate) fn grant(&mut self, attempt: Attempt, grant: Grant, tie: Option<u32>) {
        let target = &mut self.all[grant.target.at()];
        target.running += 1;
        target.granted = target.granted.plus(&grant.demand);
        if grant.demand != Demand::default() {
            target.fresh.push_back((grant.since, attempt, grant.demand));
        }
        if let Some(tie) = tie {
            target.tie = tie;
        }
        self.use_units(&grant, grant.since, 1);
        self.refresh(grant.target);
    }

    /// Counts the end of an attempt.
    pub(crate) fn settle(&mut self, attempt: Attempt, grant: Grant, now: Time) {
        let target = &mut self.all[grant.target.at()];
        target.running -= 1;
        target.granted = target.granted.minus(&grant.demand);
        let from = target.fresh.partition_point(|f| f.0 < grant.since);
        let same = target
            .fresh
            .range(from..)
            .take_while(|f| f.0 == grant.since);
        match same.into_iter().position(|f| f.1 == attempt) {
            Some(i) => drop(target.fresh.remove(from + i)),
            None => {
                target.seen = target.seen.minus(&grant.demand);
                target.reported = target.reported.minus(&grant.demand);
            }
        }
        if grant.demand != Demand::default() {
            target.forget_ended(now);
            target.ended.push_back((now, grant.demand));
        }
        self.use_units(&grant, now, -1);
        self.refresh(grant.target);
        self.reclaim(grant.target);
    }

    /// Learns a target's speed from a completed task.
    pub(crate) fn observe(&mut self, id: TargetId, service: Duration, expected: Duration) {
        let target = &mut self.all[id.at()];
        let seen = service.as_secs_f64() / expected.as_secs_f64().max(1e-6);
        let seen = seen.min(target.factor * SPEED_CLIP);
        target.factor = (target.factor + (seen - target.factor) * SPEED_WEIGHT).clamp(0.01, 100.0);
        target.speed = speed(target.factor);
        target.refusals = 0;
    }

    /// Lets a target that refused a start rest; returns until when, unless it rests already.
    pub(crate) fn refused(&mut self, id: TargetId, now: Time) -> Option<Time> {
        let target = &mut self.all[id.at()];
        if target.resting.is_some() {
            return None;
        }
        let until = now + REST * (1 << target.refusals.min(REST_DOUBLINGS));
        target.refusals = target.refusals.saturating_add(1);
        target.resting = Some(until);
        self.refresh(id);
        Some(until)
    }

    /// Ends a rest that was to last until `until`.
    pub(crate) fn rested(&mut self, id: TargetId, until: Time) -> bool {
        match self.all.get_mut(id.at()) {
            Some(target) if target.resting == Some(until) => {
                target.resting = None;
                self.refresh(id);
                true
            }
            Some(_) | None => false,
        }
    }

    fn use_units(&mut self, grant: &Grant, now: Time, sign: i64) {
        let target = &mut self.all[grant.target.at()];
        let units = grant.units as i64 * sign;
        let long = if grant.long { units } else { 0 };
        target.busy = target.busy.saturating_add_signed(units);
        target.long = target.long.saturating_add_signed(long);
        if target.counted > 0 {
            for work in &target.works {
                let used = &mut self.works[work.at()].used;
                used.busy = used.busy.saturating_add_signed(units);
                used.long = used.long.saturating_add_signed(long);
                used.note(now);
            }
        }
    }

    /// Brings the index up to date with one target.
    fn refresh(&mut self, id: TargetId) {
        let target = &mut self.all[id.at()];
        target.excused &= target.exceeded();
        let counted = target.units();
        if counted != target.counted {
            for work in &target.works {
                let used = &mut self.works[work.at()].used;
                used.capacity = used.capacity + counted - target.counted;
                match (target.counted > 0, counted > 0) {
                    (false, true) => {
                        used.busy += target.busy;
                        used.long += target.long;
                    }
                    (true, false) => {
                        used.busy -= target.busy;
                        used.long -= target.long;
                    }
                    (true, true) | (false, false) => {}
                }
            }
            target.counted = counted;
        }
        let free = target.free_slots();
        self.free_slots = self.free_slots + free - target.free_slots;
        target.free_slots = free;
        for w in 0..self.all[id.at()].works.len() {
            let work = self.all[id.at()].works[w];
            for s in 0..self.works[work.at()].shapes.len() {
                let shape = self.works[work.at()].shapes[s];
                self.refresh_shape(id, shape);
            }
        }
    }

    fn refresh_shape(&mut self, id: TargetId, shape: ShapeId) {
        let target = &mut self.all[id.at()];
        let entry = target.entry(id, &self.shapes[shape.at()].key, self.by_speed);
        let i = match target.entries.binary_search_by(|e| e.0.cmp(&shape)) {
            Ok(i) => i,
            Err(i) => {
                target.entries.insert(i, (shape, Entry::default()));
                i
            }
        };
        let old = std::mem::replace(&mut target.entries[i].1, entry);
        if old == entry {
            return;
        }
        let shape = &mut self.shapes[shape.at()];
        shape.could = shape.could + entry.could - old.could;
        shape.room = shape.room + entry.room - old.room;
        shape.slots = shape.slots + entry.slots - old.slots;
        shape.rate = shape.rate + entry.rate - old.rate;
        if old.order == entry.order {
            return;
        }
        if let Some((rack, order)) = old.order {
            let rack_is_empty = match shape.ready.get_mut(&rack) {
                Some(set) => set.remove(&order) && set.is_empty(),
                None => false,
            };
            // The one set of a shape without spread stays, because a full zone would free and allocate it each time.
            if rack_is_empty && shape.key.spread == Spread::Racks {
                shape.ready.remove(&rack);
            }
        }
        if let Some((rack, order)) = entry.order {
            shape.ready.entry(rack).or_default().insert(order);
        }
    }
}

impl Targets {
    /// Room, slots, rate and fitting targets of a shape and how many have room, found by looking
    /// at all targets.
    pub(crate) fn recount(&self, shape: ShapeId) -> ((u64, u64, u64, u32), usize) {
        let key = &self.shapes[shape.at()].key;
        let mut sum = ((0, 0, 0, 0), 0);
        for (id, target) in &self.all {
            if target.present && target.works.contains(&key.work) {
                let entry = target.entry(TargetId::new(id), key, self.by_speed);
                sum.0 .0 += entry.room;
                sum.0 .1 += entry.slots;
                sum.0 .2 += entry.rate;
                sum.0 .3 += entry.could;
                sum.1 += usize::from(entry.order.is_some());
            }
        }
        sum
    }
}

impl Target {
    pub(crate) fn free_slots(&self) -> u64 {
        self.room_of(&Demand::default(), true)
    }

    /// Slots or millicores that count for the reserve of short work.
    fn units(&self) -> u64 {
        match (self.present, self.standing, self.capacity) {
            (true, Standing::Live, Some(Capacity::Executor { slots, .. })) => u64::from(slots),
            (true, Standing::Live, Some(Capacity::Worker(all))) => u64::from(all.milli_cores),
            _ => 0,
        }
    }

    /// Whether more is granted than the capacity.
    pub(crate) fn exceeded(&self) -> bool {
        match self.capacity {
            Some(Capacity::Executor { slots, .. }) => self.running > slots,
            Some(Capacity::Worker(all)) => !self.granted.fits(&all),
            None => true,
        }
    }

    fn forget_ended(&mut self, now: Time) {
        while self.ended.front().is_some_and(|e| e.0 + USAGE_LAG <= now) {
            self.ended.pop_front();
        }
    }

    /// Resources that a worker can still grant.
    fn free(&self, all: &Demand) -> Demand {
        let unseen = self.granted.minus(&self.seen);
        let used = self.reported.plus(&unseen);
        all.minus(&Demand {
            milli_cores: used.milli_cores.max(self.granted.milli_cores),
            memory_mib: used.memory_mib.max(self.granted.memory_mib),
            accelerators: used.accelerators.max(self.granted.accelerators),
        })
    }

    /// How many tasks fit now; `slots` asks for executor slots only.
    fn room_of(&self, demand: &Demand, slots: bool) -> u64 {
        if !self.present || self.resting.is_some() {
            return 0;
        }
        let most = match self.standing {
            Standing::Live => u64::MAX,
            Standing::Probation if self.running == 0 => 1,
            Standing::Probation | Standing::Ejected | Standing::Suspect | Standing::Leaving => 0,
        };
        let fit = match self.capacity {
            Some(Capacity::Executor { slots, .. }) => u64::from(slots.saturating_sub(self.running)),
            Some(Capacity::Worker(all)) if !slots => times(&self.free(&all), demand)
                .min(u64::from(WORKER_TASKS.saturating_sub(self.running))),
            Some(Capacity::Worker(_)) | None => 0,
        };
        fit.min(most)
    }

    /// How many tasks fit when nothing else runs.
    fn empty_room(&self, demand: &Demand) -> u64 {
        match self.capacity {
            Some(Capacity::Executor { slots, .. }) => u64::from(slots),
            Some(Capacity::Worker(all)) => times(&all, demand).min(u64::from(WORKER_TASKS)),
            None => 0,
        }
    }

    fn entry(&self, id: TargetId, key: &ShapeKey, by_speed: bool) -> Entry {
        if !self.present {
            return Entry::default();
        }
        let empty = self.empty_room(&key.demand);
        let room = self.room_of(&key.demand, false);
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
        Entry {
            order: (room > 0).then_some((rack, (rank, self.tie, id))),
            could: u32::from(empty > 0),
            room,
            slots,
            rate: slots * rate,
        }
    }
}

/// The step of a factor on the speed scale and the rate of one slot there, in thousandths.
fn speed(factor: f64) -> (u32, u64) {
    let step = (SPEED_MEAN + factor.log2() * SPEED_STEPS).round();
    let factor = ((step - SPEED_MEAN) / SPEED_STEPS).exp2();
    (step as u32, (1000.0 / factor) as u64)
}

/// How often `demand` fits into `free`.
fn times(free: &Demand, demand: &Demand) -> u64 {
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
