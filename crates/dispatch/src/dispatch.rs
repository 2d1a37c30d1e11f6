//! The state machine: events in, effects out.
//!
//! Each event changes jobs, targets or limits and notes which shapes it touched. Only these can
//! have a task to start or a job to begin that they hadn't before, so the work per event doesn't
//! depend on the number of targets or queued tasks.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use greengage_core::{
    AccountName, Demand, Failure, GuardAction, JobNumber, RackName, SortedMap, Spread, TargetKind,
    TargetName, TemplateName, Time,
};

use crate::budget::Budget;
use crate::estimate::Estimates;
use crate::event::{Attempt, Effect, Event, Job, Mode, Placement, Running, Settled, TargetSpec};
use crate::event::{Share, Tuning};
use crate::fair::{Fair, Wait};
use crate::ids::{AccountId, JobId, RackId, ShapeId, Table, TargetId, WorkId};
use crate::jobs::{Entry, Jobs, Pending, Phase};
use crate::placement;
use crate::pools::Pools;
use crate::targets::{Grant, ShapeKey, Targets};
use crate::timers::{Alarm, Timers};

/// Begins are recorded ahead of the starts by this span, about that of a synced disk write.
const BEGIN_AHEAD: Duration = Duration::from_millis(10);

/// Timers handled in one step; the rest follows at once in the next.
const TIMERS_PER_STEP: usize = 1000;

/// Refused starts of one task before its job pauses.
const REFUSALS: u32 = 3;

/// First pause of such a job; doubled for each further refusal.
const PAUSE: Duration = Duration::from_millis(10);

/// Doublings of that pause; the longest is 1.28 s.
const PAUSE_DOUBLINGS: u32 = 7;

/// An attempt that isn't settled.
#[derive(Clone, Copy)]
pub(crate) struct Run {
    pub(crate) grant: Grant,
    pub(crate) account: AccountId,
    pub(crate) work: WorkId,
    /// What the account was charged.
    cost: u64,
    /// Earlier attempts of the task that were lost.
    lost: u32,
    /// Earlier attempts of the task that were refused.
    refused: u32,
}

/// The dispatcher of a zone.
pub struct Dispatch {
    pub(crate) tuning: Tuning,
    pub(crate) accounts: Table<AccountName>,
    pub(crate) kinds: Table<(TemplateName, TargetKind)>,
    racks: Table<Option<RackName>>,
    pub(crate) pools: Pools,
    pub(crate) jobs: Jobs,
    /// A BTreeMap, because tens of thousands of attempts start and settle in any order.
    pub(crate) attempts: BTreeMap<Attempt, Run>,
    pub(crate) targets: Targets,
    pub(crate) fair: Fair,
    pub(crate) estimates: Estimates,
    pub(crate) timers: Timers,
    budget: Budget,
    rng: StdRng,
    touched: Vec<ShapeId>,
    now: Time,
    steps: u64,
    pub(crate) queued_tasks: u64,
    pub(crate) queued_bytes: usize,
}

impl Dispatch {
    /// A dispatcher without targets and jobs; `seed` decides its random choices.
    pub fn new(tuning: Tuning, seed: u64) -> Dispatch {
        let fair = Fair::new(tuning.fair, tuning.shortest, tuning.limits.overtake);
        let mut racks = Table::new();
        racks.id(&None);
        let by_speed = match tuning.placement {
            Placement::Fastest => true,
            Placement::Random => false,
        };
        Dispatch {
            tuning,
            accounts: Table::new(),
            kinds: Table::new(),
            racks,
            pools: Pools::default(),
            jobs: Jobs::default(),
            attempts: BTreeMap::new(),
            targets: Targets::new(by_speed),
            fair,
            estimates: Estimates::default(),
            timers: Timers::default(),
            budget: Budget::default(),
            rng: StdRng::seed_from_u64(seed),
            touched: Vec::new(),
            now: Time::default(),
            steps: 0,
            queued_tasks: 0,
            queued_bytes: 0,
        }
    }

    /// Handles an event; `now` must not go back.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Effect> {
        let now = now.max(self.now);
        self.now = now;
        let mut effects = Vec::new();
        match event {
            Event::Submit(job) => self.submit(now, &job, &mut effects),
            Event::Adopt { job, done, running } => {
                self.adopt(now, &job, &done, &running, &mut effects)
            }
            Event::Begun(number) => self.begun(now, number),
            Event::Settled { attempt, settled } => {
                self.settled(now, attempt, settled, &mut effects)
            }
            Event::Cancel(number) => {
                if let Some(id) = self.jobs.find(number) {
                    let begun = self.jobs.get(id).begun > 0;
                    self.fail(now, id, Failure::Cancelled { begun }, &mut effects);
                }
            }
            Event::Target(spec) => self.announce(&spec),
            Event::Standing { target, standing } => {
                if let Some(id) = self.targets.find(&target) {
                    self.targets.stand(id, standing);
                    self.touch_target(id);
                }
            }
            Event::Gone(target) => self.gone(&target),
            Event::Usage { target, used } => {
                if let Some(id) = self.targets.find(&target) {
                    self.targets.usage(id, used, now);
                    self.touch_target(id);
                }
            }
            Event::Share {
                work,
                account,
                share,
            } => self.share(&work, &account, &share),
            Event::Tick => {}
        }
        self.ring(now, &mut effects);
        self.schedule(now, &mut effects);
        self.prime(now, &mut effects);
        self.touched.clear();
        self.steps += 1;
        debug_assert!(!self.steps.is_multiple_of(1024) || self.verify() == Ok(()));
        effects
    }

    /// When the next `Event::Tick` is due.
    pub fn wake(&self) -> Option<Time> {
        self.timers.first()
    }

    pub(crate) fn work(&mut self, name: &TemplateName, kind: TargetKind) -> WorkId {
        let work = WorkId::new(self.kinds.id(&(name.clone(), kind)));
        self.pools.add(work);
        self.targets.add_work(work);
        work
    }

    pub(crate) fn account(&mut self, name: &AccountName) -> AccountId {
        AccountId::new(self.accounts.id(name))
    }

    /// The shape of a job's tasks.
    pub(crate) fn shape(&mut self, work: WorkId, job: &Job) -> ShapeId {
        let demand = match job.target {
            TargetKind::Executor => Demand::default(),
            TargetKind::Worker => job.demand,
        };
        let (shape, new) = self.targets.shape_of(ShapeKey {
            work,
            demand,
            spread: job.spread,
            long: job.expected >= self.tuning.long,
        });
        if new {
            self.fair.add_shape(shape, work);
        }
        shape
    }

    pub(crate) fn expected(&self, work: WorkId, declared: Duration) -> u64 {
        self.estimates.expected(work, declared).as_micros() as u64
    }

    fn submit(&mut self, now: Time, job: &Job, effects: &mut Vec<Effect>) {
        if self.jobs.find(job.number).is_some() {
            return;
        }
        if job.tasks == 0 {
            effects.push(Effect::Complete(job.number));
            return;
        }
        let phase = match job.mode {
            Mode::Recorded { begun: false } => Phase::Unbegun,
            Mode::Recorded { begun: true } | Mode::Repeatable { .. } => Phase::Begun,
        };
        let id = self.insert(now, job, phase);
        self.set_queued(now, id, job.tasks);
        let entry = self.jobs.get(id);
        let pool = self.pools.of(entry.work);
        let size = entry.unit * u64::from(job.tasks);
        self.fair.arrived(entry.account, pool, now, size);
        if phase == Phase::Begun {
            self.add_primed(id);
        }
        self.line_up(id);
    }

    fn adopt(
        &mut self,
        now: Time,
        job: &Job,
        done: &[u32],
        running: &[Running],
        effects: &mut Vec<Effect>,
    ) {
        if self.jobs.find(job.number).is_some() {
            return;
        }
        let id = self.insert(now, job, Phase::Begun);
        let entry = self.jobs.get_mut(id);
        entry.next = job.tasks;
        entry.begun = 1;
        for task in done.iter().filter(|t| **t < job.tasks) {
            if entry.started.insert(*task) {
                entry.done += 1;
            }
        }
        for run in running {
            let Attempt { task, .. } = run.attempt;
            if task >= job.tasks || !self.jobs.get_mut(id).started.insert(task) {
                continue;
            }
            let tie = self.rng.random();
            let target = self.targets.known(&run.target, tie);
            self.targets.all[target.at()].excused = true;
            self.run(now, id, run.attempt, target, 0);
        }
        let entry = self.jobs.get_mut(id);
        let tasks = (0..job.tasks).rev();
        entry.back = tasks
            .filter(|t| !entry.started.contains(*t))
            .map(|task| Pending {
                task,
                attempts: 0,
                lost: 0,
                refused: 0,
                avoid: None,
            })
            .collect();
        let queued = entry.back.len() as u32;
        if entry.done == job.tasks {
            self.complete(now, id, effects);
            return;
        }
        self.set_queued(now, id, queued);
        self.add_primed(id);
        self.line_up(id);
    }

    fn insert(&mut self, now: Time, job: &Job, phase: Phase) -> JobId {
        let work = self.work(&job.work, job.target);
        let account = self.account(&job.account);
        let shape = self.shape(work, job);
        self.targets.shape_mut(shape).users += 1;
        let id = self.jobs.insert(Entry {
            number: job.number,
            account,
            work,
            shape,
            tasks: job.tasks,
            next: 0,
            queued: 0,
            running: 0,
            done: 0,
            back: Vec::new(),
            deadline: job.deadline,
            arrival: now,
            declared: job.expected,
            unit: self.expected(work, job.expected),
            line: None,
            size: 0,
            front: false,
            mode: job.mode,
            phase,
            bytes: job.bytes,
            primed: None,
            paused: None,
            begun: 0,
            started: Jobs::bits(job.tasks),
            racks: SortedMap::new(),
        });
        self.timers.insert(job.deadline, Alarm::Deadline(id));
        id
    }

    fn begun(&mut self, _now: Time, number: JobNumber) {
        let Some(id) = self.jobs.find(number) else {
            return;
        };
        let entry = self.jobs.get_mut(id);
        match entry.phase {
            Phase::Beginning => {
                entry.phase = Phase::Begun;
                self.line_up(id);
            }
            Phase::Unbegun => {
                entry.phase = Phase::Begun;
                self.add_primed(id);
                self.line_up(id);
            }
            Phase::Begun => {}
        }
    }

    fn settled(
        &mut self,
        now: Time,
        attempt: Attempt,
        settled: Settled,
        effects: &mut Vec<Effect>,
    ) {
        if settled == Settled::Guard(GuardAction::Throttled) {
            return;
        }
        let Some(run) = self.attempts.remove(&attempt) else {
            return;
        };
        let target = run.grant.target;
        let name = self.targets.get(target).name.clone();
        self.touch_target(target);
        self.touch_work(run.work);
        match settled {
            Settled::Done { service } => {
                self.estimates.observe(run.work, service);
                let expected = self.estimates.expected(run.work, service);
                self.targets.observe(target, service, expected);
            }
            Settled::NotRun => {
                if let Some(until) = self.targets.refused(target, now) {
                    self.timers.insert(until, Alarm::Rested(target));
                }
                self.fair
                    .refund(run.account, self.pools.of(run.work), run.cost);
            }
            Settled::Failed { .. } | Settled::Lost | Settled::Guard(_) => {}
        }
        self.targets.settle(attempt, run.grant, now);
        let pool = self.pools.of(run.work);
        let limit = self.fair.limit(run.account, run.work);
        limit.running -= 1;
        let counted = u64::from(limit.running) + u64::from(limit.primed) + 1;
        if counted >= u64::from(limit.share.concurrency) {
            self.fair.stale(run.account, pool);
        }
        self.fair.refresh(run.account, pool, None);
        let Some(id) = self.jobs.find(attempt.job) else {
            return;
        };
        let entry = self.jobs.get_mut(id);
        entry.running -= 1;
        let task = attempt.task;
        match settled {
            Settled::Done { .. } => {
                entry.done += 1;
                if entry.done == entry.tasks {
                    self.complete(now, id, effects);
                }
            }
            Settled::Failed { message } => {
                self.fail(now, id, Failure::TaskFailed { task, message }, effects)
            }
            Settled::Guard(action) => self.fail(now, id, Failure::Guard { task, action }, effects),
            Settled::NotRun => {
                entry.begun -= 1;
                entry.started.remove(task);
                self.put_back(now, id, attempt, run, run.lost, run.refused + 1);
            }
            Settled::Lost => {
                let retries = match entry.mode {
                    Mode::Recorded { .. } => 0,
                    Mode::Repeatable { retries } => retries,
                };
                if run.lost < retries && self.budget.take(now) {
                    self.put_back(now, id, attempt, run, run.lost + 1, run.refused);
                } else {
                    let target = Some(name);
                    self.fail(now, id, Failure::MayHaveRun { task, target }, effects);
                }
            }
        }
    }

    /// Puts a task back to the head of its lane.
    fn put_back(
        &mut self,
        now: Time,
        id: JobId,
        attempt: Attempt,
        run: Run,
        lost: u32,
        refused: u32,
    ) {
        let entry = self.jobs.get_mut(id);
        entry.back.push(Pending {
            task: attempt.task,
            attempts: attempt.number,
            lost,
            refused,
            avoid: Some(run.grant.target),
        });
        entry.front = true;
        if refused >= REFUSALS && refused > run.refused && entry.paused.is_none() {
            let until = now + PAUSE * (1 << (refused - REFUSALS).min(PAUSE_DOUBLINGS));
            entry.paused = Some(until);
            self.timers.insert(until, Alarm::Resume(id));
        }
        let (queued, primed) = (entry.queued + 1, entry.primed);
        self.set_queued(now, id, queued);
        if let Some(cost) = primed {
            self.count_primed(id, 1, cost as i64);
        }
        self.line_up(id);
    }

    fn complete(&mut self, now: Time, id: JobId, effects: &mut Vec<Effect>) {
        let entry = self.remove(now, id);
        effects.push(Effect::Complete(entry.number));
    }

    /// Fails a job and stops its running tasks; their slots stay taken until they are settled.
    fn fail(&mut self, now: Time, id: JobId, failure: Failure, effects: &mut Vec<Effect>) {
        let entry = self.remove(now, id);
        let attempt = |task, number| Attempt {
            job: entry.number,
            task,
            number,
        };
        let runs = self
            .attempts
            .range(attempt(0, 0)..=attempt(u32::MAX, u32::MAX));
        effects.extend(runs.map(|(attempt, run)| Effect::Stop {
            attempt: *attempt,
            target: self.targets.get(run.grant.target).name.clone(),
        }));
        effects.push(Effect::Failed {
            job: entry.number,
            failure,
        });
    }

    fn remove(&mut self, now: Time, id: JobId) -> Entry {
        // A job that only runs is in no line and counts in no lane.
        if self.jobs.get(id).queued > 0 {
            self.drop_primed(id);
            self.set_queued(now, id, 0);
            self.line_up(id);
        }
        let entry = self.jobs.remove(id);
        self.timers.remove(entry.deadline, Alarm::Deadline(id));
        if let Some(until) = entry.paused {
            self.timers.remove(until, Alarm::Resume(id));
        }
        self.targets.shape_mut(entry.shape).users -= 1;
        entry
    }

    fn announce(&mut self, spec: &TargetSpec) {
        let tie = self.rng.random();
        let id = self.targets.known(&spec.target, tie);
        self.touch_target(id);
        let kind = spec.capacity.kind();
        let mut works: Vec<WorkId> = spec.work.iter().map(|w| self.work(w, kind)).collect();
        works.sort_unstable();
        works.dedup();
        let rack = RackId(self.racks.id(&spec.rack) as u32);
        let old = self.targets.get(id);
        let withdrawn = old.present.then(|| old.works.clone());
        let mut regroup = self.pools.offer(&works);
        if let Some(old) = withdrawn {
            regroup |= self.pools.withdraw(&old);
        }
        self.targets.announce(id, spec.capacity, rack, works);
        if regroup {
            self.regroup();
        }
        self.touch_target(id);
    }

    fn gone(&mut self, name: &TargetName) {
        let Some(id) = self.targets.find(name) else {
            return;
        };
        let target = self.targets.get(id);
        if !target.present {
            return;
        }
        let works = target.works.clone();
        self.targets.gone(id);
        if self.pools.withdraw(&works) {
            self.regroup();
        }
    }

    fn regroup(&mut self) {
        let (pools, targets) = (&self.pools, &self.targets);
        self.fair.regroup(|work| pools.of(work));
        // Flows start anew, so another account may be next anywhere.
        self.touched = targets
            .shapes
            .iter()
            .map(|(s, _)| ShapeId::new(s))
            .collect();
    }

    fn share(&mut self, work: &TemplateName, account: &AccountName, share: &Share) {
        let account = self.account(account);
        for kind in [TargetKind::Executor, TargetKind::Worker] {
            let work = self.work(work, kind);
            let pool = self.pools.of(work);
            self.fair.share(account, work, pool, share.clone());
            self.touch_work(work);
        }
    }

    fn touch(&mut self, shape: ShapeId) {
        if let Err(i) = self.touched.binary_search(&shape) {
            self.touched.insert(i, shape);
        }
    }

    fn touch_work(&mut self, work: WorkId) {
        for s in 0..self.targets.works[work.at()].shapes.len() {
            self.touch(self.targets.works[work.at()].shapes[s]);
        }
    }

    fn touch_target(&mut self, id: TargetId) {
        for w in 0..self.targets.get(id).works.len() {
            self.touch_work(self.targets.get(id).works[w]);
        }
    }

    /// Handles timers that are due.
    fn ring(&mut self, now: Time, effects: &mut Vec<Effect>) {
        for _ in 0..TIMERS_PER_STEP {
            match self.timers.due(now) {
                Some((_, Alarm::Deadline(id))) => self.expire(now, id, effects),
                Some((_, Alarm::Resume(id))) => {
                    self.jobs.get_mut(id).paused = None;
                    self.line_up(id);
                }
                Some((until, Alarm::Rested(id))) => {
                    if self.targets.rested(id, until) {
                        self.touch_target(id);
                    }
                }
                Some((_, Alarm::Reserve(work))) => {
                    let used = &mut self.targets.works[work.at()].used;
                    used.armed = false;
                    used.note(now);
                    self.touch_work(work);
                }
                None => break,
            }
        }
    }

    fn expire(&mut self, now: Time, id: JobId, effects: &mut Vec<Effect>) {
        let begun = self.jobs.get(id).begun > 0;
        self.fail(now, id, Failure::Deadline { begun }, effects);
    }

    /// Whether a task of a shape can start.
    pub(crate) fn open(&self, shape: ShapeId) -> bool {
        let s = self.targets.shape(shape);
        if s.room == 0 {
            return false;
        }
        let work = &self.targets.works[s.key.work.at()];
        let percent = self.tuning.short_percent;
        !self.is_long(shape) || work.used.allows(self.now, self.units(shape), percent)
    }

    /// Whether a shape's work counts as long.
    pub(crate) fn is_long(&self, shape: ShapeId) -> bool {
        let key = &self.targets.shape(shape).key;
        match self.estimates.observed(key.work) {
            Some(observed) => observed >= self.tuning.long,
            None => key.long,
        }
    }

    /// Slots or millicores that a task takes.
    fn units(&self, shape: ShapeId) -> u64 {
        let key = &self.targets.shape(shape).key;
        match self.kinds.name(key.work.at()).1 {
            TargetKind::Executor => 1,
            TargetKind::Worker => u64::from(key.demand.milli_cores).max(1),
        }
    }

    /// Whether a task of the job that starts now would end after the deadline.
    fn is_hopeless(&self, now: Time, id: JobId) -> bool {
        let entry = self.jobs.get(id);
        let needed = match self.tuning.admission {
            true => self.expected(entry.work, entry.declared),
            false => 0,
        };
        entry.deadline <= now + Duration::from_micros(needed)
    }

    /// Starts tasks of the touched shapes while there is room.
    fn schedule(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let touched = std::mem::take(&mut self.touched);
        loop {
            let open = |s| self.open(s).then_some(Wait::Start);
            let Some(id) = self.fair.next(now, &touched, open) else {
                break;
            };
            if self.is_hopeless(now, id) {
                self.expire(now, id, effects);
            } else if !self.start(now, id, effects) {
                debug_assert!(false, "a shape has room but no target");
                break;
            }
        }
        // Jobs that expired here touched their shapes, all of which were looked at.
        self.touched = touched;
        self.watch_reserve(now);
    }

    /// Sets a timer where only the reserve for short work keeps a task from its start, since the
    /// reserve shrinks with time alone.
    fn watch_reserve(&mut self, now: Time) {
        for shape in &self.touched {
            let s = self.targets.shape(*shape);
            let work = s.key.work;
            let queue = self.fair.shape(*shape);
            let waits = queue.first(Wait::Start).or(queue.first(Wait::Begin));
            if s.room == 0 || waits.is_none() || self.open(*shape) {
                continue;
            }
            let used = &mut self.targets.works[work.at()].used;
            if !used.armed {
                used.armed = true;
                self.timers.insert(used.fades(now), Alarm::Reserve(work));
            }
        }
    }

    fn start(&mut self, now: Time, id: JobId, effects: &mut Vec<Effect>) -> bool {
        let entry = self.jobs.get(id);
        let avoid = entry.back.last().and_then(|p| p.avoid);
        let shape = self.targets.shape(entry.shape);
        let placement = self.tuning.placement;
        let rng = &mut self.rng;
        let Some(target) = placement::choose(shape, placement, &entry.racks, avoid, rng) else {
            return false;
        };
        let (account, work, shape, declared) =
            (entry.account, entry.work, entry.shape, entry.declared);
        let (queued, primed) = (entry.queued, entry.primed);
        if let Some(cost) = primed {
            self.count_primed(id, -1, -(cost as i64));
        }
        self.set_queued(now, id, queued - 1);
        let entry = self.jobs.get_mut(id);
        let pending = entry.take();
        if entry.back.is_empty() {
            entry.front = false;
        }
        if let Spread::Racks = self.targets.shape(shape).key.spread {
            *entry.racks.entry(self.targets.get(target).rack, || 0) += 1;
        }
        let attempt = Attempt {
            job: entry.number,
            task: pending.task,
            number: pending.attempts,
        };
        let expected = self.expected(work, declared);
        let cost = self.fair.cost(account, work, expected);
        self.fair.charge(account, self.pools.of(work), cost);
        let run = self.run(now, id, attempt, target, cost);
        run.lost = pending.lost;
        run.refused = pending.refused;
        self.budget.started(now);
        self.line_up(id);
        effects.push(Effect::Start {
            attempt,
            target: self.targets.get(target).name.clone(),
        });
        true
    }

    /// Counts an attempt on a target.
    fn run(
        &mut self,
        now: Time,
        id: JobId,
        attempt: Attempt,
        target: TargetId,
        cost: u64,
    ) -> &mut Run {
        let entry = self.jobs.get_mut(id);
        entry.running += 1;
        entry.begun += 1;
        let (account, work, shape) = (entry.account, entry.work, entry.shape);
        let grant = Grant {
            target,
            demand: self.targets.shape(shape).key.demand,
            units: self.units(shape),
            long: self.is_long(shape),
            since: now,
        };
        let tie = match self.tuning.placement {
            Placement::Fastest => None,
            Placement::Random => Some(self.rng.random()),
        };
        self.targets.grant(attempt, grant, tie);
        self.fair.limit(account, work).running += 1;
        self.fair.stale(account, self.pools.of(work));
        let run = Run {
            grant,
            account,
            work,
            cost,
            lost: 0,
            refused: 0,
        };
        self.attempts.entry(attempt).or_insert(run)
    }

    /// Begins jobs that could start soon.
    fn prime(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let mut batch = Vec::new();
        let touched = std::mem::take(&mut self.touched);
        while let Some(id) = self.fair.next(now, &touched, |s| self.begin_wait(s)) {
            if self.is_hopeless(now, id) {
                self.expire(now, id, effects);
                continue;
            }
            let entry = self.jobs.get_mut(id);
            entry.phase = Phase::Beginning;
            batch.push(entry.number);
            self.add_primed(id);
            self.line_up(id);
        }
        self.touched = touched;
        if !batch.is_empty() {
            effects.push(Effect::Begin(batch));
        }
    }

    /// Which jobs of a shape may be begun: those that fit the free slots and those that end
    /// within the time of a durable write; beyond that, one for each account, so that none
    /// waits behind the begun jobs of others.
    fn begin_wait(&self, shape: ShapeId) -> Option<Wait> {
        let s = self.targets.shape(shape);
        if s.slots == 0 {
            return None;
        }
        let expected = self.expected(s.key.work, Duration::from_millis(100));
        let ahead = s.slots * BEGIN_AHEAD.as_micros() as u64 / expected;
        let room = if self.open(shape) { s.room } else { 0 };
        let budget = room + ahead.clamp(1, s.slots);
        match u64::from(self.fair.shape(shape).primed) < budget {
            true => Some(Wait::Begin),
            false => Some(Wait::First),
        }
    }

    /// Counts the queued tasks of a recorded job as primed.
    fn add_primed(&mut self, id: JobId) {
        let entry = self.jobs.get(id);
        let (queued, account, work) = (entry.queued, entry.account, entry.work);
        let expected = self.expected(work, entry.declared);
        match entry.mode {
            Mode::Recorded { .. } => {}
            Mode::Repeatable { .. } => return,
        }
        let cost = self.fair.cost(account, work, expected);
        self.jobs.get_mut(id).primed = Some(cost);
        self.count_primed(id, i64::from(queued), cost as i64 * i64::from(queued));
    }

    fn drop_primed(&mut self, id: JobId) {
        let entry = self.jobs.get_mut(id);
        let queued = i64::from(entry.queued);
        if let Some(cost) = entry.primed.take() {
            self.count_primed(id, -queued, -(cost as i64 * queued));
        }
    }

    fn count_primed(&mut self, id: JobId, tasks: i64, cost: i64) {
        let entry = self.jobs.get(id);
        let (account, shape, work) = (entry.account, entry.shape, entry.work);
        let pool = self.pools.of(work);
        let add = |n: u32| u32::try_from(i64::from(n) + tasks).expect("primed counts match");
        let limit = self.fair.limit(account, work);
        limit.primed = add(limit.primed);
        let queue = self.fair.shape_mut(shape);
        queue.primed = add(queue.primed);
        let lane = self.fair.lane(shape, account);
        lane.primed = add(lane.primed);
        lane.primed_cost = lane.primed_cost.saturating_add_signed(cost);
        self.fair.prime(account, pool, cost);
    }

    /// Sets how many tasks of a job are queued and keeps all counters in step.
    fn set_queued(&mut self, now: Time, id: JobId, queued: u32) {
        let entry = self.jobs.get_mut(id);
        let old = std::mem::replace(&mut entry.queued, queued);
        if old == queued {
            return;
        }
        let (account, work, shape, unit) = (entry.account, entry.work, entry.shape, entry.unit);
        if old == 0 {
            self.queued_bytes += entry.bytes;
        }
        if queued == 0 {
            self.queued_bytes -= entry.bytes;
        }
        self.queued_tasks = self.queued_tasks + u64::from(queued) - u64::from(old);
        let limit = self.fair.limit(account, work);
        limit.queued = limit.queued - old + queued;
        limit.note_quota(now);
        let pool = self.pools.of(work);
        self.fair.resize(account, shape, pool, unit, (old, queued));
    }

    /// Puts a job into the line in which it belongs now and brings its account's ranks in order.
    fn line_up(&mut self, id: JobId) {
        let entry = self.jobs.get_mut(id);
        let (account, work, shape) = (entry.account, entry.work, entry.shape);
        let (old, place) = (entry.line, entry.place(id));
        let (new, size) = (entry.wanted(), entry.remaining());
        entry.line = new;
        entry.size = size;
        let shortest = self.fair.shortest;
        match (old, new) {
            (None, None) => {}
            (Some(line), Some(to)) if line == to => {
                self.fair
                    .lane(shape, account)
                    .line(line)
                    .resize(place, size);
            }
            (_, _) => {
                let to = self.jobs.get(id).place(id);
                let lane = self.fair.lane(shape, account);
                if let Some(line) = old {
                    lane.line(line).remove(place);
                }
                if let Some(line) = new {
                    lane.line(line).insert(to, shortest);
                }
            }
        }
        let pool = self.pools.of(work);
        let lane = self.fair.lane_of(shape, account).map(|l| l.queued);
        self.fair.refresh(account, pool, lane.map(|_| shape));
        if lane == Some(0) {
            self.fair.leave(account, pool, shape);
        }
        self.touch(shape);
    }
}
