//! Weighted sharing between client accounts: start-time fair queueing over expected run time.
//!
//! A *lane* holds the queued jobs of one account and one shape. A *flow* is an account within a
//! pool; its tag is the expected run time of its starts, divided by its weight. The flow with the
//! lowest tag is served first. The virtual time of a pool is the tag of its last start. A flow that
//! becomes active is moved up to the virtual time, so that it gains no credit while idle, but not
//! behind the flows that already wait for the same shape.
//!
//! The begin of a recorded job is requested before its tasks can start. From then until they start
//! its queued tasks are *staged*. Begins are ordered by the tag that the flow will have once its
//! staged tasks have started.

use std::collections::BTreeSet;
use std::time::Duration;

use greengage_contention::Windows;
use greengage_core::Time;

use crate::event::Share;
use crate::ids::{AccountId, IdVec, JobId, PoolId, ShapeId, WorkId};
use crate::jobs::QueueKind;
use crate::queue::{Queue, QueueKey};

/// Number of size classes of the backlog; each covers a factor of four in size.
pub(crate) const SIZE_CLASSES: usize = 32;

/// An account's limits for a kind of work and the counts checked against them.
pub(crate) struct Limit {
    pub(crate) share: Share,
    /// Number of tasks in the queue.
    pub(crate) queued: u32,
    /// Number of tasks with an attempt that hasn't ended.
    pub(crate) running: u32,
    /// Number of staged tasks.
    pub(crate) staged: u32,
    /// Since when more tasks are queued than the quota; `None` while they are within it.
    pub(crate) over_since: Option<Time>,
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
            staged: 0,
            over_since: None,
        }
    }
}

impl Limit {
    /// Updates `over_since` after a change of `queued`.
    pub(crate) fn update_over_since(&mut self, now: Time) {
        self.over_since = match (self.queued > self.share.quota, self.over_since) {
            (false, _) => None,
            (true, None) => Some(now),
            (true, since) => since,
        };
    }
}

/// Length of the window over which arriving work is counted.
const ARRIVAL_SPAN: Duration = Duration::from_secs(1);

/// Work that arrived, in microseconds.
#[derive(Clone, Copy, Default)]
struct Arrived {
    /// By size class of the job.
    by_class: [u64; SIZE_CLASSES],
    /// Over all size classes.
    total: u64,
}

/// Work that arrived in the current and in the previous window.
#[derive(Default)]
pub(crate) struct Arrivals(Windows<Arrived>);

impl Arrivals {
    fn add(&mut self, now: Time, micros: u64) {
        let arrived = self.0.record(now, ARRIVAL_SPAN);
        arrived.by_class[size_class(micros)] += micros;
        arrived.total += micros;
    }

    /// Arrival rate of jobs below a size class, in microseconds of work per microsecond.
    pub(crate) fn rate_below(&self, now: Time, class: usize) -> f64 {
        let values = self.0.values().into_iter();
        let sum = values.flat_map(|work| &work.by_class[..class]).sum();
        self.0.rate(now, ARRIVAL_SPAN, sum)
    }

    /// Arrival rate of all jobs, in microseconds of work per microsecond.
    pub(crate) fn total_rate(&self, now: Time) -> f64 {
        let sum = self.0.values().into_iter().map(|work| work.total).sum();
        self.0.rate(now, ARRIVAL_SPAN, sum)
    }
}

/// The state of an account in a pool.
#[derive(Default)]
pub(crate) struct Flow {
    /// Microseconds of expected run time started, divided by the weight. 64 bits last for years.
    pub(crate) tag: u64,
    /// The increase of the tag when all staged tasks start.
    pub(crate) staged_cost: u64,
    /// Shapes for which the account has queued tasks, sorted.
    pub(crate) shapes: Vec<ShapeId>,
    /// Queued work in microseconds.
    pub(crate) backlog: u64,
    /// The weight at the last change of the backlog.
    pub(crate) weight: u64,
    /// Work that arrived within the last windows.
    pub(crate) arrivals: Arrivals,
    /// Whether the ranks in all lanes have to be recomputed.
    ranks_stale: bool,
}

/// The queued jobs of one account and one shape.
#[derive(Default)]
pub(crate) struct Lane {
    pub(crate) start_queue: Queue,
    pub(crate) begin_queue: Queue,
    /// Number of queued tasks, including those of paused jobs and of jobs whose begin is being
    /// recorded, which are in neither queue.
    pub(crate) queued: u32,
    /// Number of staged tasks.
    pub(crate) staged: u32,
    /// The increase of the flow's tag when these start.
    pub(crate) staged_cost: u64,
    /// Queued work in microseconds, by size class of the job.
    pub(crate) backlog: [u64; SIZE_CLASSES],
    /// The account's rank in each set of `ShapeQueue::waiting`; `None` where it isn't in the set.
    ranks: [Option<u64>; 3],
}

/// The size class of a job with `micros` of queued work.
pub(crate) fn size_class(micros: u64) -> usize {
    (u64::BITS - micros.leading_zeros()) as usize / 2 % SIZE_CLASSES
}

impl Lane {
    /// All queued work in microseconds.
    pub(crate) fn total(&self) -> u64 {
        self.backlog.iter().sum()
    }

    /// Whether a job is in the given queue.
    pub(crate) fn contains(&self, kind: QueueKind, key: QueueKey) -> bool {
        match kind {
            QueueKind::Start => self.start_queue.contains(key),
            QueueKind::Begin => self.begin_queue.contains(key),
        }
    }

    pub(crate) fn queue_mut(&mut self, kind: QueueKind) -> &mut Queue {
        match kind {
            QueueKind::Start => &mut self.start_queue,
            QueueKind::Begin => &mut self.begin_queue,
        }
    }
}

/// What an account waits for in a lane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Wait {
    /// The start of a task.
    Start,
    /// The begin of a job.
    Begin,
    /// The begin of a job, with no staged task in the lane.
    FirstBegin,
}

/// The accounts that wait for a start or begin of a shape, in rank order.
pub(crate) struct ShapeQueue {
    /// Ranks and accounts, by `Wait`. BTreeSets, because each start changes the account's rank.
    waiting: [BTreeSet<(u64, AccountId)>; 3],
    /// By account id; `None` for an account without queued tasks.
    pub(crate) lanes: IdVec<Option<Box<Lane>>>,
    /// Number of staged tasks of all accounts.
    pub(crate) staged: u32,
    pub(crate) work: WorkId,
}

impl ShapeQueue {
    /// The account with the lowest rank, and that rank.
    pub(crate) fn first(&self, wait: Wait) -> Option<(u64, AccountId)> {
        self.waiting[wait as usize].first().copied()
    }
}

/// Flows, limits and queues of all accounts.
pub(crate) struct FairQueues {
    /// Whether accounts share by weight; else the oldest or shortest job of all accounts is first.
    pub(crate) by_weight: bool,
    /// Whether the shortest job of an account is first.
    pub(crate) shortest_first: bool,
    /// How long a job may be overtaken by shorter ones.
    pub(crate) max_overtake: Duration,
    /// By work id, then account id.
    pub(crate) limits: IdVec<IdVec<Limit>>,
    /// By pool id, then account id.
    pub(crate) flows: IdVec<IdVec<Flow>>,
    /// By shape id.
    pub(crate) shapes: Vec<ShapeQueue>,
    /// The tag of the last start, by pool id; 0 beyond the end.
    virtual_times: Vec<u64>,
}

impl FairQueues {
    pub(crate) fn new(by_weight: bool, shortest_first: bool, max_overtake: Duration) -> FairQueues {
        FairQueues {
            by_weight,
            shortest_first,
            max_overtake,
            limits: IdVec::default(),
            flows: IdVec::default(),
            shapes: Vec::new(),
            virtual_times: Vec::new(),
        }
    }

    pub(crate) fn limit_mut(&mut self, account: AccountId, work: WorkId) -> &mut Limit {
        self.limits
            .get_or_default(work.index())
            .get_or_default(account.index())
    }

    /// Adds an empty queue for a new shape, whose id may be that of a dropped shape.
    pub(crate) fn add_shape(&mut self, shape: ShapeId, work: WorkId) {
        let queue = ShapeQueue {
            waiting: Default::default(),
            lanes: IdVec::default(),
            staged: 0,
            work,
        };
        match self.shapes.get_mut(shape.index()) {
            Some(old) => *old = queue,
            None => self.shapes.push(queue),
        }
    }

    pub(crate) fn limit_of(&self, account: AccountId, work: WorkId) -> Option<&Limit> {
        self.limits.get(work.index())?.get(account.index())
    }

    pub(crate) fn flow_of(&self, account: AccountId, pool: PoolId) -> Option<&Flow> {
        self.flows.get(pool.index())?.get(account.index())
    }

    pub(crate) fn lane_of(&self, shape: ShapeId, account: AccountId) -> Option<&Lane> {
        self.shapes
            .get(shape.index())?
            .lanes
            .get(account.index())?
            .as_deref()
    }

    pub(crate) fn shape(&self, shape: ShapeId) -> &ShapeQueue {
        &self.shapes[shape.index()]
    }

    pub(crate) fn shape_mut(&mut self, shape: ShapeId) -> &mut ShapeQueue {
        &mut self.shapes[shape.index()]
    }

    pub(crate) fn lane_mut(&mut self, shape: ShapeId, account: AccountId) -> &mut Lane {
        let lane = self.shape_mut(shape).lanes.get_or_default(account.index());
        lane.get_or_insert_default()
    }

    fn flow_mut(&mut self, account: AccountId, pool: PoolId) -> &mut Flow {
        self.flows
            .get_or_default(pool.index())
            .get_or_default(account.index())
    }

    /// The tag of the last start in a pool, 0 before the first one.
    pub(crate) fn virtual_time(&self, pool: PoolId) -> u64 {
        self.virtual_times.get(pool.index()).copied().unwrap_or(0)
    }

    /// The weight of an account for a kind of work, at least 1.
    pub(crate) fn weight(&self, account: AccountId, work: WorkId) -> u64 {
        let limit = self.limit_of(account, work);
        limit.map_or(1, |l| u64::from(l.share.weight.max(1)))
    }

    /// Counts the work of a new job in the arrival rate.
    pub(crate) fn record_arrival(
        &mut self,
        account: AccountId,
        pool: PoolId,
        now: Time,
        micros: u64,
    ) {
        self.flow_mut(account, pool).arrivals.add(now, micros);
    }

    /// Adds the cost of newly staged tasks, or a negative cost of tasks no longer staged.
    pub(crate) fn add_staged_cost(&mut self, account: AccountId, pool: PoolId, cost: i64) {
        let flow = self.flow_mut(account, pool);
        flow.staged_cost = flow.staged_cost.saturating_add_signed(cost);
        flow.ranks_stale = true;
    }

    /// Updates the counts after a job's queued tasks of `task_us` each change from `old` to `new`.
    pub(crate) fn update_queued(
        &mut self,
        account: AccountId,
        shape: ShapeId,
        pool: PoolId,
        task_us: u64,
        (old, new): (u32, u32),
    ) {
        let lane = self.lane_mut(shape, account);
        let empty = lane.queued == 0;
        lane.queued = lane.queued - old + new;
        let (before, after) = (task_us * u64::from(old), task_us * u64::from(new));
        lane.backlog[size_class(before)] -= before;
        lane.backlog[size_class(after)] += after;
        if empty {
            self.add_lane(account, pool, shape);
        }
        let weight = self.weight(account, self.shape(shape).work);
        let flow = self.flow_mut(account, pool);
        flow.backlog = flow.backlog - before + after;
        flow.weight = weight;
    }

    /// The increase of an account's tag for `micros` of work, at least 1.
    pub(crate) fn cost(&self, account: AccountId, work: WorkId, micros: u64) -> u64 {
        (micros / self.weight(account, work)).max(1)
    }

    /// Adds a lane to its flow. A flow without other lanes becomes active: its tag is raised to the
    /// virtual time, or to the lowest rank that waits for the shape where that is lower.
    fn add_lane(&mut self, account: AccountId, pool: PoolId, shape: ShapeId) {
        let queue = self.shape(shape);
        let lowest_rank = [Wait::Start, Wait::Begin]
            .into_iter()
            .filter_map(|w| queue.first(w).map(|(rank, _)| rank))
            .min();
        let current = self.virtual_time(pool);
        let by_weight = self.by_weight;
        let flow = self.flow_mut(account, pool);
        if flow.shapes.is_empty() {
            let min_tag = match lowest_rank {
                Some(rank) if by_weight => current.min(rank),
                Some(_) | None => current,
            };
            flow.tag = flow.tag.max(min_tag);
        }
        if let Err(i) = flow.shapes.binary_search(&shape) {
            flow.shapes.insert(i, shape);
        }
    }

    /// Removes the lane of an account that has no queued task of the shape any more.
    pub(crate) fn remove_lane(&mut self, account: AccountId, pool: PoolId, shape: ShapeId) {
        let flow = self.flow_mut(account, pool);
        if let Ok(i) = flow.shapes.binary_search(&shape) {
            flow.shapes.remove(i);
        }
        *self.shape_mut(shape).lanes.get_or_default(account.index()) = None;
    }

    /// Adds the cost of a start to the flow's tag.
    pub(crate) fn charge(&mut self, account: AccountId, pool: PoolId, cost: u64) {
        if self.virtual_times.len() <= pool.index() {
            self.virtual_times.resize(pool.index() + 1, 0);
        }
        let flow = self.flow_mut(account, pool);
        let tag = flow.tag;
        flow.tag = tag.saturating_add(cost);
        flow.ranks_stale = true;
        let current = &mut self.virtual_times[pool.index()];
        *current = tag.max(*current);
    }

    /// Reverts the charge for a start that didn't run.
    pub(crate) fn refund(&mut self, account: AccountId, pool: PoolId, cost: u64) {
        let flow = self.flow_mut(account, pool);
        flow.tag = flow.tag.saturating_sub(cost);
        flow.ranks_stale = true;
    }

    /// Replaces an account's limits. A tag behind the virtual time is moved up to it, so that a lag
    /// under the old limits gives no credit.
    pub(crate) fn set_share(
        &mut self,
        account: AccountId,
        work: WorkId,
        pool: PoolId,
        share: Share,
    ) {
        self.limit_mut(account, work).share = share;
        let current = self.virtual_time(pool);
        let flow = self.flow_mut(account, pool);
        flow.tag = flow.tag.max(current);
        flow.ranks_stale = true;
        self.update_ranks(account, pool, None);
    }

    /// Makes the next `update_ranks` recompute all lanes of an account, because its counts have
    /// reached or left a limit.
    pub(crate) fn mark_stale(&mut self, account: AccountId, pool: PoolId) {
        self.flow_mut(account, pool).ranks_stale = true;
    }

    /// Recreates all flows, with tags of 0, from the lanes after the pools changed.
    pub(crate) fn rebuild_flows(&mut self, pool_of: impl Fn(WorkId) -> PoolId) {
        self.flows = IdVec::default();
        self.virtual_times.clear();
        let mut active = Vec::new();
        for (s, queue) in self.shapes.iter().enumerate() {
            let shape = ShapeId::new(s);
            let lanes = queue.lanes.iter();
            active.extend(lanes.filter_map(|(account, lane)| {
                let lane = lane.as_deref()?;
                let account = AccountId::new(account);
                Some((account, shape, queue.work, lane.staged_cost, lane.total()))
            }));
        }
        for (account, shape, work, staged_cost, backlog) in &active {
            let weight = self.weight(*account, *work);
            let flow = self.flow_mut(*account, pool_of(*work));
            flow.staged_cost += staged_cost;
            flow.backlog += backlog;
            flow.weight = weight;
            flow.ranks_stale = true;
            flow.shapes.push(*shape);
        }
        for (account, _, work, _, _) in active {
            self.update_ranks(account, pool_of(work), None);
        }
    }

    /// Updates an account's ranks in a pool: those of one lane, or of all lanes if they are stale.
    pub(crate) fn update_ranks(
        &mut self,
        account: AccountId,
        pool: PoolId,
        shape: Option<ShapeId>,
    ) {
        let flow = self
            .flows
            .get_or_default(pool.index())
            .get_or_default(account.index());
        let (tag, staged_cost) = (flow.tag, flow.staged_cost);
        let shapes = match (std::mem::take(&mut flow.ranks_stale), &shape) {
            (true, _) => flow.shapes.as_slice(),
            (false, Some(shape)) => std::slice::from_ref(shape),
            (false, None) => &[],
        };
        for shape in shapes {
            let queue = &mut self.shapes[shape.index()];
            let Some(lane) = queue.lanes.get_or_default(account.index()) else {
                continue;
            };
            let limit = self
                .limits
                .get_or_default(queue.work.index())
                .get_or_default(account.index());
            let free = limit.share.concurrency.saturating_sub(limit.running);
            let start = match self.by_weight {
                true => tag,
                false => lane.start_queue.rank(),
            };
            let begin = match self.by_weight {
                true => tag.saturating_add(staged_cost),
                false => lane.begin_queue.rank(),
            };
            let may_start = !lane.start_queue.is_empty() && free > 0;
            let may_begin = !lane.begin_queue.is_empty() && free > limit.staged;
            let ranks = [
                may_start.then_some(start),
                may_begin.then_some(begin),
                (may_begin && lane.staged == 0).then_some(begin),
            ];
            for (i, new) in ranks.into_iter().enumerate() {
                replace_rank(&mut queue.waiting[i], account, &mut lane.ranks[i], new);
            }
        }
    }

    /// The next job to start or begin: the first job of the account with the lowest rank among
    /// `shapes`, of which `wait` selects the set to look at, or `None` to skip the shape.
    pub(crate) fn next_job(
        &self,
        now: Time,
        shapes: &[ShapeId],
        wait: impl Fn(ShapeId) -> Option<Wait>,
    ) -> Option<JobId> {
        let first = |s: &ShapeId| self.shapes.get(s.index())?.first(wait(*s)?);
        let (_, account) = shapes.iter().filter_map(first).min()?;
        let head = |s: &ShapeId| {
            let lane = self.lane_of(*s, account)?;
            let wait = wait(*s)?;
            lane.ranks[wait as usize]?;
            match wait {
                Wait::Start => lane.start_queue.head(now, self.max_overtake),
                Wait::Begin | Wait::FirstBegin => lane.begin_queue.head(now, self.max_overtake),
            }
        };
        let (_, _, job) = shapes.iter().filter_map(head).min()?;
        Some(job)
    }
}

/// Replaces the rank of an account in a set.
fn replace_rank(
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
