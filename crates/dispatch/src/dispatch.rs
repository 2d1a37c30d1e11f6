//! The dispatcher's state machine, which turns events into effects.
//!
//! Each event changes jobs, targets or limits and records the shapes that it affects. Only these
//! can newly have a task to start or a job to begin, so the cost of an event doesn't grow linearly
//! with the number of targets or queued tasks.

mod order;
mod submission;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use greengage_core::{
    AccountName, Demand, Failure, RackName, TargetKind, TargetName, TemplateName, Time,
};

use crate::budget::RetryBudget;
use crate::estimate::Estimates;
use crate::event::{Attempt, Effect, Event, Job, Placement, TargetSpec};
use crate::event::{Share, Tuning};
use crate::fair::FairQueues;
use crate::ids::{AccountId, Interner, RackId, ShapeId, TargetId, WorkId};
use crate::jobs::Jobs;
use crate::pools::Pools;
use crate::targets::{Grant, ShapeKey, Targets};
use crate::timers::{Timer, Timers};

/// Most timers handled in one step. The rest stay due, so that `next_wake` asks for another at once.
const TIMERS_PER_STEP: usize = 1000;

/// An attempt that hasn't ended.
#[derive(Clone, Copy)]
pub(crate) struct OpenAttempt {
    pub(crate) grant: Grant,
    pub(crate) account: AccountId,
    pub(crate) work: WorkId,
    /// The charge to the account's tag.
    cost: u64,
    /// Number of earlier attempts at the task that were lost.
    lost: u32,
    /// Number of earlier attempts at the task that were refused or not sent.
    refused: u32,
}

/// The dispatcher of a zone.
pub struct Dispatch {
    pub(crate) tuning: Tuning,
    pub(crate) accounts: Interner<AccountName>,
    pub(crate) works: Interner<(TemplateName, TargetKind)>,
    racks: Interner<Option<RackName>>,
    pub(crate) pools: Pools,
    pub(crate) jobs: Jobs,
    /// A BTreeMap, because tens of thousands of attempts start and end in any order.
    pub(crate) attempts: BTreeMap<Attempt, OpenAttempt>,
    pub(crate) targets: Targets,
    pub(crate) fair: FairQueues,
    pub(crate) estimates: Estimates,
    pub(crate) timers: Timers,
    retry_budget: RetryBudget,
    rng: StdRng,
    /// Shapes affected by the current event, sorted.
    touched_shapes: Vec<ShapeId>,
    now: Time,
    steps: u64,
    pub(crate) queued_tasks: u64,
    pub(crate) queued_bytes: usize,
}

impl Dispatch {
    /// Creates a dispatcher without targets and jobs; `seed` determines its random choices.
    pub fn new(tuning: Tuning, seed: u64) -> Dispatch {
        let fair = FairQueues::new(
            tuning.fair_share,
            tuning.shortest_first,
            tuning.limits.max_overtake,
        );
        let mut racks = Interner::new();
        racks.intern(&None);
        let by_speed = match tuning.placement {
            Placement::Fastest => true,
            Placement::Random => false,
        };
        Dispatch {
            tuning,
            accounts: Interner::new(),
            works: Interner::new(),
            racks,
            pools: Pools::default(),
            jobs: Jobs::default(),
            attempts: BTreeMap::new(),
            targets: Targets::new(by_speed),
            fair,
            estimates: Estimates::default(),
            timers: Timers::default(),
            retry_budget: RetryBudget::default(),
            rng: StdRng::seed_from_u64(seed),
            touched_shapes: Vec::new(),
            now: Time::default(),
            steps: 0,
            queued_tasks: 0,
            queued_bytes: 0,
        }
    }

    /// Handles an event and returns its effects. A `now` before that of the last step is raised to
    /// it.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Effect> {
        let now = now.max(self.now);
        self.now = now;
        let mut effects = Vec::new();
        match event {
            Event::Submit(job) => self.submit(now, &job, &mut effects),
            Event::Adopt { job, done, running } => {
                self.adopt(now, &job, &done, &running, &mut effects)
            }
            Event::BeginRecorded(number) => self.mark_begun(now, number),
            Event::AttemptEnded { attempt, outcome } => {
                self.settle(now, attempt, outcome, &mut effects)
            }
            Event::Cancel(number) => {
                if let Some(id) = self.jobs.find(number) {
                    let maybe_started = self.jobs.get(id).possible_runs > 0;
                    self.fail(now, id, Failure::Cancelled { maybe_started }, &mut effects);
                }
            }
            Event::TargetAnnounced(spec) => self.announce(&spec),
            Event::TargetStanding { target, standing } => {
                if let Some(id) = self.targets.find(&target) {
                    self.targets.set_standing(id, standing);
                    self.touch_target(id);
                }
            }
            Event::TargetRemoved(target) => self.remove_target(&target),
            Event::WorkerUsage { target, used } => {
                if let Some(id) = self.targets.find(&target) {
                    self.targets.record_usage(id, used, now);
                    self.touch_target(id);
                }
            }
            Event::SetShare {
                work,
                account,
                share,
            } => self.set_share(&work, &account, &share),
            Event::Tick => {}
        }
        self.fire_timers(now, &mut effects);
        self.schedule(now, &mut effects);
        self.begin_jobs(now, &mut effects);
        self.touched_shapes.clear();
        self.steps += 1;
        debug_assert!(!self.steps.is_multiple_of(1024) || self.verify() == Ok(()));
        effects
    }

    /// When the next `Event::Tick` is due; `None` without pending timers.
    pub fn next_wake(&self) -> Option<Time> {
        self.timers.next_at()
    }

    pub(crate) fn work_id(&mut self, name: &TemplateName, kind: TargetKind) -> WorkId {
        let work = WorkId::new(self.works.intern(&(name.clone(), kind)));
        self.pools.add(work);
        self.targets.add_work(work);
        work
    }

    pub(crate) fn account_id(&mut self, name: &AccountName) -> AccountId {
        AccountId::new(self.accounts.intern(name))
    }

    /// The shape of a job's tasks, added where it is new.
    pub(crate) fn shape_id(&mut self, work: WorkId, job: &Job) -> ShapeId {
        let demand = match job.target_kind {
            TargetKind::Executor => Demand::default(),
            TargetKind::Worker => job.demand,
        };
        let (shape, new) = self.targets.find_or_add_shape(ShapeKey {
            work,
            demand,
            spread: job.spread,
            declared_long: job.declared >= self.tuning.long_threshold,
        });
        if new {
            self.fair.add_shape(shape, work);
        }
        shape
    }

    /// Expected run time in microseconds: the estimate, or `declared` until there is one.
    pub(crate) fn expected_us(&self, work: WorkId, declared: Duration) -> u64 {
        self.estimates.expected(work, declared).as_micros() as u64
    }

    fn announce(&mut self, spec: &TargetSpec) {
        let tie_breaker = self.rng.random();
        let id = self.targets.find_or_add(&spec.target, tie_breaker);
        self.touch_target(id);
        let kind = spec.capacity.kind();
        let mut works: Vec<WorkId> = spec.work.iter().map(|w| self.work_id(w, kind)).collect();
        works.sort_unstable();
        works.dedup();
        let rack = RackId(self.racks.intern(&spec.rack) as u32);
        let old = self.targets.get(id);
        let old_works = old.present.then(|| old.works.clone());
        let mut pools_changed = self.pools.add_target(&works);
        if let Some(old) = old_works {
            pools_changed |= self.pools.remove_target(&old);
        }
        self.targets.announce(id, spec.capacity, rack, works);
        if pools_changed {
            self.rebuild_flows();
        }
        self.touch_target(id);
    }

    fn remove_target(&mut self, name: &TargetName) {
        let Some(id) = self.targets.find(name) else {
            return;
        };
        let target = self.targets.get(id);
        if !target.present {
            return;
        }
        let works = target.works.clone();
        self.targets.remove(id);
        if self.pools.remove_target(&works) {
            self.rebuild_flows();
        }
    }

    fn rebuild_flows(&mut self) {
        let (pools, targets) = (&self.pools, &self.targets);
        self.fair.rebuild_flows(|work| pools.pool_of(work));
        // All tags are reset, so the next account may have changed for every shape.
        self.touched_shapes = targets
            .shapes
            .iter()
            .map(|(s, _)| ShapeId::new(s))
            .collect();
    }

    fn set_share(&mut self, work: &TemplateName, account: &AccountName, share: &Share) {
        let account = self.account_id(account);
        for kind in [TargetKind::Executor, TargetKind::Worker] {
            let work = self.work_id(work, kind);
            let pool = self.pools.pool_of(work);
            self.fair.set_share(account, work, pool, share.clone());
            self.touch_work(work);
        }
    }

    fn touch(&mut self, shape: ShapeId) {
        if let Err(i) = self.touched_shapes.binary_search(&shape) {
            self.touched_shapes.insert(i, shape);
        }
    }

    fn touch_work(&mut self, work: WorkId) {
        for s in 0..self.targets.works[work.index()].shapes.len() {
            self.touch(self.targets.works[work.index()].shapes[s]);
        }
    }

    fn touch_target(&mut self, id: TargetId) {
        for w in 0..self.targets.get(id).works.len() {
            self.touch_work(self.targets.get(id).works[w]);
        }
    }

    /// Handles due timers, at most `TIMERS_PER_STEP`.
    fn fire_timers(&mut self, now: Time, effects: &mut Vec<Effect>) {
        for _ in 0..TIMERS_PER_STEP {
            match self.timers.pop_due(now) {
                Some((_, Timer::Deadline(id))) => self.expire(now, id, effects),
                Some((_, Timer::PauseEnd(id))) => {
                    self.jobs.get_mut(id).paused_until = None;
                    self.update_queue(id);
                }
                Some((until, Timer::BackoffEnd(id))) => {
                    if self.targets.end_backoff(id, until) {
                        self.touch_target(id);
                    }
                }
                Some((_, Timer::ReserveDecay(work))) => {
                    let usage = &mut self.targets.works[work.index()].usage;
                    usage.timer_set = false;
                    usage.record_peak(now);
                    self.touch_work(work);
                }
                None => break,
            }
        }
    }

    /// Whether a target has room for a task of the shape, within the limit for long work.
    pub(crate) fn can_start(&self, shape: ShapeId) -> bool {
        let s = self.targets.shape(shape);
        if s.room == 0 {
            return false;
        }
        let work = &self.targets.works[s.key.work.index()];
        let percent = self.tuning.reserve_percent;
        !self.is_long(shape) || work.usage.allows_long(self.now, self.units(shape), percent)
    }

    /// Whether a shape's work counts as long.
    pub(crate) fn is_long(&self, shape: ShapeId) -> bool {
        let key = &self.targets.shape(shape).key;
        match self.estimates.observed(key.work) {
            Some(observed) => observed >= self.tuning.long_threshold,
            None => key.declared_long,
        }
    }

    /// Slots or millicores that a task of the shape uses.
    fn units(&self, shape: ShapeId) -> u64 {
        let key = &self.targets.shape(shape).key;
        match self.works.name(key.work.index()).1 {
            TargetKind::Executor => 1,
            TargetKind::Worker => u64::from(key.demand.milli_cores).max(1),
        }
    }
}
