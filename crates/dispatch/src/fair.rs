//! Shares of client accounts: start-time fair queueing over expected run time.
//!
//! A *lane* holds the queued jobs of one account and one shape. A *flow* is an account's part in
//! a pool; its tag is the work that it was granted, divided by its weight. The flow with the
//! lowest tag goes first. A flow that was idle joins at the tag of the last start, so that it has
//! no credit for that time, but never behind those that wait for the same shape already.
//!
//! Jobs that are begun before they start are ordered by the tag that the flow will have once its
//! begun tasks have started.

use std::collections::BTreeSet;
use std::time::Duration;

use greengage_core::Time;

use crate::event::Share;
use crate::ids::{AccountId, Dense, JobId, PoolId, ShapeId, WorkId};
use crate::jobs::Line;
use crate::queue::{Place, Queue};

/// Size classes of the backlog, two doublings of the size each.
pub(crate) const CLASSES: usize = 32;

/// An account's limits for a kind of work and what counts against them.
pub(crate) struct Limit {
    pub(crate) share: Share,
    /// Tasks in the queue.
    pub(crate) queued: u32,
    /// Tasks whose attempt isn't settled.
    pub(crate) running: u32,
    /// Tasks of recorded jobs that are begun, or about to be, and wait for a target.
    pub(crate) primed: u32,
    /// Since when more is queued than the quota.
    pub(crate) over: Option<Time>,
}

impl Default for Limit {
    fn default() -> Limit {
        Limit {
            share: Share {
                weight: 1,
                quota: u32::MAX,
                concurrency: u32::MAX,
                burst: 0,
            },
            queued: 0,
            running: 0,
            primed: 0,
            over: None,
        }
    }
}

impl Limit {
    /// Notes since when more is queued than the quota.
    pub(crate) fn note_quota(&mut self, now: Time) {
        self.over = match (self.queued > self.share.quota, self.over) {
            (false, _) => None,
            (true, None) => Some(now),
            (true, over) => over,
        };
    }
}

/// Span over which arriving work is counted.
const ARRIVAL_SPAN: Duration = Duration::from_secs(1);

/// Work that arrived in the present and in the last span, in microseconds.
#[derive(Default)]
pub(crate) struct Arrivals {
    since: Time,
    /// By size class.
    work: [[u64; CLASSES]; 2],
    /// Over all size classes.
    all: [u64; 2],
}

impl Arrivals {
    fn add(&mut self, now: Time, micros: u64) {
        let age = now.since(self.since);
        if age >= ARRIVAL_SPAN {
            let keep = age < ARRIVAL_SPAN * 2;
            let (work, all) = (self.work[0], self.all[0]);
            self.work = [[0; CLASSES], if keep { work } else { [0; CLASSES] }];
            self.all = [0, if keep { all } else { 0 }];
            self.since = now;
        }
        self.work[0][class(micros)] += micros;
        self.all[0] += micros;
    }

    /// Work below a size class per microsecond.
    pub(crate) fn below(&self, now: Time, class: usize) -> f64 {
        let sum = |work: &[u64; CLASSES]| work[..class].iter().sum::<u64>();
        self.rate(now, sum(&self.work[0]) + sum(&self.work[1]))
    }

    /// All work per microsecond.
    pub(crate) fn total(&self, now: Time) -> f64 {
        self.rate(now, self.all[0] + self.all[1])
    }

    fn rate(&self, now: Time, work: u64) -> f64 {
        let age = now.since(self.since);
        match age < ARRIVAL_SPAN * 2 {
            true => work as f64 / (ARRIVAL_SPAN + age).as_micros() as f64,
            false => 0.0,
        }
    }
}

/// An account in a pool.
#[derive(Default)]
pub(crate) struct Flow {
    /// Granted microseconds divided by the weight. 64 bits last for years at the size in view.
    pub(crate) tag: u64,
    /// What the tag will grow by when the primed tasks start.
    pub(crate) primed: u64,
    /// Shapes in which the account has queued tasks.
    pub(crate) lanes: Vec<ShapeId>,
    /// Queued work in microseconds.
    pub(crate) backlog: u64,
    /// The weight at the last change of the backlog.
    pub(crate) weight: u64,
    /// Work that arrived lately.
    pub(crate) arrivals: Arrivals,
    /// Whether ranks have to be computed anew.
    stale: bool,
}

/// The queued jobs of an account and a shape.
#[derive(Default)]
pub(crate) struct Lane {
    pub(crate) starts: Queue,
    pub(crate) begins: Queue,
    /// Queued tasks, also of jobs that are being begun or pause.
    pub(crate) queued: u32,
    /// Tasks of recorded jobs that are primed.
    pub(crate) primed: u32,
    /// What these will cost the flow.
    pub(crate) primed_cost: u64,
    /// Remaining work in microseconds by size class of the job.
    pub(crate) backlog: [u64; CLASSES],
    /// The account's rank by `Wait`, where it waits.
    ranks: [Option<u64>; 3],
}

/// The size class of a job with `micros` of work left.
pub(crate) fn class(micros: u64) -> usize {
    (u64::BITS - micros.leading_zeros()) as usize / 2 % CLASSES
}

impl Lane {
    /// All remaining work in microseconds.
    pub(crate) fn total(&self) -> u64 {
        self.backlog.iter().sum()
    }

    /// Whether a job is in a queue.
    pub(crate) fn holds(&self, line: Line, place: Place) -> bool {
        match line {
            Line::Starts => self.starts.contains(place),
            Line::Begins => self.begins.contains(place),
        }
    }

    pub(crate) fn line(&mut self, line: Line) -> &mut Queue {
        match line {
            Line::Starts => &mut self.starts,
            Line::Begins => &mut self.begins,
        }
    }
}

/// What an account waits for in a shape.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Wait {
    /// A start.
    Start,
    /// A begin.
    Begin,
    /// A begin, and none of its jobs of this shape is begun yet.
    First,
}

/// The accounts that wait for a shape, in fair order.
pub(crate) struct ShapeQueue {
    /// By `Wait`. BTreeSets, because an account moves in them with each of its starts.
    waiting: [BTreeSet<(u64, AccountId)>; 3],
    /// By account id; an account without queued tasks has none.
    pub(crate) lanes: Dense<Option<Box<Lane>>>,
    /// Primed tasks of all accounts.
    pub(crate) primed: u32,
    pub(crate) work: WorkId,
}

impl ShapeQueue {
    /// The account that is first in line.
    pub(crate) fn first(&self, wait: Wait) -> Option<(u64, AccountId)> {
        self.waiting[wait as usize].first().copied()
    }
}

/// All shares and queues.
pub(crate) struct Fair {
    /// Whether accounts share by weight; else the oldest or shortest job of all goes first.
    pub(crate) by_weight: bool,
    /// Whether the shortest job of an account goes first.
    pub(crate) shortest: bool,
    /// How long a job may be overtaken.
    pub(crate) overtake: Duration,
    /// By work id, then account id.
    pub(crate) limits: Dense<Dense<Limit>>,
    /// By pool id, then account id.
    pub(crate) flows: Dense<Dense<Flow>>,
    /// By shape id.
    pub(crate) shapes: Vec<ShapeQueue>,
    /// The tag of the last start, by pool id.
    virtuals: Vec<u64>,
}

impl Fair {
    pub(crate) fn new(by_weight: bool, shortest: bool, overtake: Duration) -> Fair {
        Fair {
            by_weight,
            shortest,
            overtake,
            limits: Dense::default(),
            flows: Dense::default(),
            shapes: Vec::new(),
            virtuals: Vec::new(),
        }
    }

    pub(crate) fn limit(&mut self, account: AccountId, work: WorkId) -> &mut Limit {
        self.limits.make(work.at()).make(account.at())
    }

    /// Sets up the queue of a new shape, whose id may have been used by one without jobs.
    pub(crate) fn add_shape(&mut self, shape: ShapeId, work: WorkId) {
        let queue = ShapeQueue {
            waiting: Default::default(),
            lanes: Dense::default(),
            primed: 0,
            work,
        };
        match self.shapes.get_mut(shape.at()) {
            Some(old) => *old = queue,
            None => self.shapes.push(queue),
        }
    }

    pub(crate) fn limit_of(&self, account: AccountId, work: WorkId) -> Option<&Limit> {
        self.limits.get(work.at())?.get(account.at())
    }

    pub(crate) fn flow_of(&self, account: AccountId, pool: PoolId) -> Option<&Flow> {
        self.flows.get(pool.at())?.get(account.at())
    }

    pub(crate) fn lane_of(&self, shape: ShapeId, account: AccountId) -> Option<&Lane> {
        self.shapes
            .get(shape.at())?
            .lanes
            .get(account.at())?
            .as_deref()
    }

    pub(crate) fn shape(&self, shape: ShapeId) -> &ShapeQueue {
        &self.shapes[shape.at()]
    }

    pub(crate) fn shape_mut(&mut self, shape: ShapeId) -> &mut ShapeQueue {
        &mut self.shapes[shape.at()]
    }

    pub(crate) fn lane(&mut self, shape: ShapeId, account: AccountId) -> &mut Lane {
        let lane = self.shape_mut(shape).lanes.make(account.at());
        lane.get_or_insert_default()
    }

    fn flow(&mut self, account: AccountId, pool: PoolId) -> &mut Flow {
        self.flows.make(pool.at()).make(account.at())
    }

    /// The tag of the last start in a pool.
    pub(crate) fn current(&self, pool: PoolId) -> u64 {
        self.virtuals.get(pool.at()).copied().unwrap_or(0)
    }

    /// The weight of an account for a kind of work.
    pub(crate) fn weight(&self, account: AccountId, work: WorkId) -> u64 {
        let limit = self.limit_of(account, work);
        limit.map_or(1, |l| u64::from(l.share.weight.max(1)))
    }

    /// Counts a job that arrived.
    pub(crate) fn arrived(&mut self, account: AccountId, pool: PoolId, now: Time, micros: u64) {
        self.flow(account, pool).arrivals.add(now, micros);
    }

    /// Counts a change of what the account's begun tasks will cost.
    pub(crate) fn prime(&mut self, account: AccountId, pool: PoolId, cost: i64) {
        let flow = self.flow(account, pool);
        flow.primed = flow.primed.saturating_add_signed(cost);
        flow.stale = true;
    }

    /// Counts a change of a job's queued tasks of `unit` microseconds each.
    pub(crate) fn resize(
        &mut self,
        account: AccountId,
        shape: ShapeId,
        pool: PoolId,
        unit: u64,
        (old, new): (u32, u32),
    ) {
        let lane = self.lane(shape, account);
        let empty = lane.queued == 0;
        lane.queued = lane.queued - old + new;
        let (before, after) = (unit * u64::from(old), unit * u64::from(new));
        lane.backlog[class(before)] -= before;
        lane.backlog[class(after)] += after;
        if empty {
            self.enter(account, pool, shape);
        }
        let weight = self.weight(account, self.shape(shape).work);
        let flow = self.flow(account, pool);
        flow.backlog = flow.backlog - before + after;
        flow.weight = weight;
    }

    /// The cost of `micros` of work in the account's tag.
    pub(crate) fn cost(&self, account: AccountId, work: WorkId, micros: u64) -> u64 {
        (micros / self.weight(account, work)).max(1)
    }

    /// Notes that an account has queued tasks of a shape.
    fn enter(&mut self, account: AccountId, pool: PoolId, shape: ShapeId) {
        let queue = self.shape(shape);
        let ahead = [Wait::Start, Wait::Begin]
            .into_iter()
            .filter_map(|w| queue.first(w).map(|(rank, _)| rank))
            .min();
        let current = self.current(pool);
        let by_weight = self.by_weight;
        let flow = self.flow(account, pool);
        if flow.lanes.is_empty() {
            let join = match ahead {
                Some(rank) if by_weight => current.min(rank),
                Some(_) | None => current,
            };
            flow.tag = flow.tag.max(join);
        }
        if let Err(i) = flow.lanes.binary_search(&shape) {
            flow.lanes.insert(i, shape);
        }
    }

    /// Notes that an account has no queued task of a shape any more.
    pub(crate) fn leave(&mut self, account: AccountId, pool: PoolId, shape: ShapeId) {
        let flow = self.flow(account, pool);
        if let Ok(i) = flow.lanes.binary_search(&shape) {
            flow.lanes.remove(i);
        }
        *self.shape_mut(shape).lanes.make(account.at()) = None;
    }

    /// Charges a flow for a start.
    pub(crate) fn charge(&mut self, account: AccountId, pool: PoolId, cost: u64) {
        if self.virtuals.len() <= pool.at() {
            self.virtuals.resize(pool.at() + 1, 0);
        }
        let flow = self.flow(account, pool);
        let tag = flow.tag;
        flow.tag = tag.saturating_add(cost);
        flow.stale = true;
        let current = &mut self.virtuals[pool.at()];
        *current = tag.max(*current);
    }

    /// Takes back the charge of a start that didn't run.
    pub(crate) fn refund(&mut self, account: AccountId, pool: PoolId, cost: u64) {
        let flow = self.flow(account, pool);
        flow.tag = flow.tag.saturating_sub(cost);
        flow.stale = true;
    }

    /// Changes an account's limits; what it lagged behind under the old ones is no credit.
    pub(crate) fn share(&mut self, account: AccountId, work: WorkId, pool: PoolId, share: Share) {
        self.limit(account, work).share = share;
        let current = self.current(pool);
        let flow = self.flow(account, pool);
        flow.tag = flow.tag.max(current);
        flow.stale = true;
        self.refresh(account, pool, None);
    }

    /// Notes that an account's limits may allow more or less than before.
    pub(crate) fn stale(&mut self, account: AccountId, pool: PoolId) {
        self.flow(account, pool).stale = true;
    }

    /// Starts all flows anew after the pools changed.
    pub(crate) fn regroup(&mut self, pool_of: impl Fn(WorkId) -> PoolId) {
        self.flows = Dense::default();
        self.virtuals.clear();
        let mut used = Vec::new();
        for (s, queue) in self.shapes.iter().enumerate() {
            let shape = ShapeId::new(s);
            let lanes = queue.lanes.iter();
            used.extend(lanes.filter_map(|(account, lane)| {
                let lane = lane.as_deref()?;
                let account = AccountId::new(account);
                Some((account, shape, queue.work, lane.primed_cost, lane.total()))
            }));
        }
        for (account, shape, work, primed, backlog) in &used {
            let weight = self.weight(*account, *work);
            let flow = self.flow(*account, pool_of(*work));
            flow.primed += primed;
            flow.backlog += backlog;
            flow.weight = weight;
            flow.stale = true;
            flow.lanes.push(*shape);
        }
        for (account, _, work, _, _) in used {
            self.refresh(account, pool_of(work), None);
        }
    }

    /// Brings an account's ranks in a pool up to date: those of one lane, and all where the tag
    /// or a limit changed.
    pub(crate) fn refresh(&mut self, account: AccountId, pool: PoolId, shape: Option<ShapeId>) {
        let flow = self.flows.make(pool.at()).make(account.at());
        let (tag, primed) = (flow.tag, flow.primed);
        let shapes = match (std::mem::take(&mut flow.stale), &shape) {
            (true, _) => flow.lanes.as_slice(),
            (false, Some(shape)) => std::slice::from_ref(shape),
            (false, None) => &[],
        };
        for shape in shapes {
            let queue = &mut self.shapes[shape.at()];
            let Some(lane) = queue.lanes.make(account.at()) else {
                continue;
            };
            let limit = self.limits.make(queue.work.at()).make(account.at());
            let free = limit.share.concurrency.saturating_sub(limit.running);
            let start = match self.by_weight {
                true => tag,
                false => lane.starts.rank(),
            };
            let begin = match self.by_weight {
                true => tag.saturating_add(primed),
                false => lane.begins.rank(),
            };
            let may_start = !lane.starts.is_empty() && free > 0;
            let may_begin = !lane.begins.is_empty() && free > limit.primed;
            let ranks = [
                may_start.then_some(start),
                may_begin.then_some(begin),
                (may_begin && lane.primed == 0).then_some(begin),
            ];
            for (i, new) in ranks.into_iter().enumerate() {
                rerank(&mut queue.waiting[i], account, &mut lane.ranks[i], new);
            }
        }
    }

    /// The job that goes next among the shapes for which `wait` names a line.
    pub(crate) fn next(
        &self,
        now: Time,
        shapes: &[ShapeId],
        wait: impl Fn(ShapeId) -> Option<Wait>,
    ) -> Option<JobId> {
        let first = |s: &ShapeId| self.shapes.get(s.at())?.first(wait(*s)?);
        let (_, account) = shapes.iter().filter_map(first).min()?;
        let head = |s: &ShapeId| {
            let lane = self.lane_of(*s, account)?;
            let wait = wait(*s)?;
            lane.ranks[wait as usize]?;
            match wait {
                Wait::Start => lane.starts.head(now, self.overtake),
                Wait::Begin | Wait::First => lane.begins.head(now, self.overtake),
            }
        };
        let (_, _, job) = shapes.iter().filter_map(head).min()?;
        Some(job)
    }
}

fn rerank(
    set: &mut BTreeSet<(u64, AccountId)>,
    account: AccountId,
    old: &mut Option<u64>,
    new: Option<u64>,
) {
    if *old == new {
        return;
    }
    if let Some(rank) = old.take() {
        set.remove(&(rank, account));
    }
    if let Some(rank) = new {
        set.insert((rank, account));
    }
    *old = new;
}
