//! Admission control: decides whether a job is accepted, by quotas and by its expected end.
//!
//! The expected end follows the fair order. Before the job's last task starts, the account's own
//! queue ahead of it is served, and as much of each other account's queue as that account's weight
//! entitles it to while the job's flow advances to its finish tag, at most all of that queue. Work
//! that arrives meanwhile and is served first is estimated from the arrival rate of the last
//! seconds. The service rate is the sum over the live targets that accept the job's tasks.

use std::time::Duration;

use greengage_core::{Refusal, Time};

use crate::dispatch::Dispatch;
use crate::event::{Admission, Job};
use crate::fair::{size_class, Flow, Wait};
use crate::ids::{AccountId, PoolId, ShapeId, WorkId};

/// How long an account may stay above its quota before its burst is refused.
const MAX_BURST_TIME: Duration = Duration::from_secs(5);

/// Bounds of the retry time that a refused caller is given, in milliseconds.
const RETRY_RANGE_MS: (u64, u64) = (10, 60_000);

/// Retry time in milliseconds while no capacity is known.
const DEFAULT_RETRY_MS: u64 = 1000;

/// Most iterations of the estimate, each of which visits all accounts of the pool.
const MAX_ROUNDS: usize = 12;

/// Wait in microseconds at which the estimate stops.
const MAX_WAIT_US: u64 = 60_000_000;

/// A job that asks for admission, and where it would queue.
struct Request<'a> {
    job: &'a Job,
    account: AccountId,
    work: WorkId,
    shape: ShapeId,
    pool: PoolId,
    /// Expected run time of one task in microseconds.
    task_us: u64,
}

impl Dispatch {
    /// Decides whether `job` is accepted; the queue doesn't change.
    pub fn admit(&mut self, now: Time, job: &Job) -> Admission {
        let work = self.work_id(&job.work, job.target_kind);
        let request = Request {
            job,
            account: self.account_id(&job.account),
            work,
            shape: self.shape_id(work, job),
            pool: self.pools.pool_of(work),
            task_us: self.expected_us(work, job.declared),
        };
        match self.refusal(now, &request) {
            Some(refusal) => Admission::Refuse(refusal),
            None if self.can_start_now(&request) => Admission::Start,
            None => Admission::Queue,
        }
    }

    /// The reason to refuse a job; `None` if it can be accepted.
    fn refusal(&self, now: Time, request: &Request<'_>) -> Option<Refusal> {
        let job = request.job;
        let shape = self.targets.shape(request.shape);
        if shape.fitting_targets == 0
            && !self.targets.works[request.work.index()].targets.is_empty()
        {
            let demand = job.demand;
            return Some(Refusal::Unsatisfiable { demand });
        }
        let limits = &self.tuning.limits;
        let tasks = u64::from(job.tasks);
        let excess = (self.queued_tasks + tasks).saturating_sub(u64::from(limits.max_tasks));
        if excess > 0 || self.queued_bytes.saturating_add(job.bytes) > limits.max_bytes {
            let retry_ms = self.drain_ms(request, excess.max(tasks), 100);
            return Some(Refusal::QueueFull { retry_ms });
        }
        if let Some(limit) = self.fair.limit_of(request.account, request.work) {
            let quota = u64::from(limit.share.quota);
            let queued = u64::from(limit.queued) + tasks;
            let burst_allowed = limit
                .over_since
                .is_none_or(|since| now.since(since) < MAX_BURST_TIME);
            let burst = if burst_allowed {
                u64::from(limit.share.burst)
            } else {
                0
            };
            if queued > quota + burst {
                let retry_ms = self.drain_ms(request, queued - quota, self.share_percent(request));
                let limit = limit.share.quota;
                return Some(Refusal::QuotaExceeded { limit, retry_ms });
            }
        }
        if !self.tuning.refuse_late {
            return None;
        }
        let end = now + self.time_to_end(now, request)?;
        (end > job.deadline).then(|| Refusal::DeadlineUnreachable {
            retry_ms: retry_after_ms(end.since(job.deadline)),
        })
    }

    /// The account's share of its pool in percent, among the accounts with queued work; at least 1.
    fn share_percent(&self, request: &Request<'_>) -> u64 {
        let own = self.fair.weight(request.account, request.work);
        let others = self
            .fair
            .flows
            .get(request.pool.index())
            .map_or(0, |flows| {
                flows
                    .iter()
                    .filter(|(a, f)| *a != request.account.index() && f.backlog > 0)
                    .map(|(_, f)| f.weight)
                    .sum()
            });
        (own * 100 / (own + others)).max(1)
    }

    /// How long `tasks` tasks take at `percent` of the capacity, in milliseconds.
    fn drain_ms(&self, request: &Request<'_>, tasks: u64, percent: u64) -> u64 {
        let rate = self.targets.shape(request.shape).rate * percent / 100;
        match rate {
            0 => DEFAULT_RETRY_MS,
            rate => retry_after_ms(Duration::from_micros(
                tasks.saturating_mul(request.task_us).saturating_mul(1000) / rate,
            )),
        }
    }

    /// Expected time until the job's last task ends; `None` while no capacity is known.
    ///
    /// Work that arrives meanwhile and is served first lengthens the wait, in which more of it
    /// arrives, so the wait is iterated until it grows by at most 1/64.
    fn time_to_end(&self, now: Time, request: &Request<'_>) -> Option<Duration> {
        let shape = self.targets.shape(request.shape);
        if shape.rate == 0 {
            return None;
        }
        let task_us = request.task_us;
        let rate = self.service_rate(now, request);
        let (own_queued, own_rate) = self.own_work(now, request);
        let mut wait = 0;
        for _ in 0..MAX_ROUNDS {
            let own = own_queued.saturating_add((own_rate * wait as f64) as u64);
            let work_ahead = own.saturating_add(self.others_work(now, request, own, wait));
            let mut next = queue_delay_us(work_ahead, task_us, shape.room.max(1), rate);
            if let Some(limit) = self.fair.limit_of(request.account, request.work) {
                let max_running = u64::from(limit.share.concurrency).max(1);
                let room = max_running.saturating_sub(u64::from(limit.running)).max(1);
                next = next.max(queue_delay_us(
                    own,
                    task_us,
                    room,
                    max_running.saturating_mul(1000),
                ));
            }
            let converged = next <= wait.saturating_add(wait / 64);
            wait = next.max(wait);
            if converged || wait > MAX_WAIT_US {
                break;
            }
        }
        Some(Duration::from_micros(wait.saturating_add(task_us)))
    }

    /// The rate at which the job's kind of work is served, in thousandths of concurrent tasks; for
    /// long work without the capacity reserved for short work.
    fn service_rate(&self, now: Time, request: &Request<'_>) -> u64 {
        let rate = self.targets.shape(request.shape).rate;
        let usage = &self.targets.works[request.work.index()].usage;
        if !self.is_long(request.shape) || usage.capacity == 0 {
            return rate;
        }
        let limit = usage.long_limit(now, self.tuning.reserve_percent);
        (u128::from(rate) * u128::from(limit) / u128::from(usage.capacity)) as u64
    }

    /// The account's own work up to the end of the job, in microseconds, and the rate at which more
    /// that is served first arrives, in microseconds of work per microsecond.
    fn own_work(&self, now: Time, request: &Request<'_>) -> (u64, f64) {
        let size = request.task_us.saturating_mul(u64::from(request.job.tasks));
        let Some(flow) = self.fair.flow_of(request.account, request.pool) else {
            return (size, 0.0);
        };
        let own = size.saturating_add(self.backlog_ahead(request, request.account, flow));
        match self.tuning.shortest_first {
            true => (own, flow.arrivals.rate_below(now, size_class(size))),
            false => (own, 0.0),
        }
    }

    /// Queued work of an account that is served before the job, regardless of weights.
    fn backlog_ahead(&self, request: &Request<'_>, account: AccountId, flow: &Flow) -> u64 {
        if !self.tuning.shortest_first {
            return flow.backlog;
        }
        let class = size_class(request.task_us.saturating_mul(u64::from(request.job.tasks)));
        let lanes = flow.shapes.iter();
        lanes
            .filter_map(|s| self.fair.lane_of(*s, account))
            .map(|lane| lane.backlog[..=class].iter().sum::<u64>())
            .sum()
    }

    /// Work of other accounts that is served before the job's flow has been served `own`.
    fn others_work(&self, now: Time, request: &Request<'_>, own: u64, wait: u64) -> u64 {
        let Some(flows) = self.fair.flows.get(request.pool.index()) else {
            return 0;
        };
        let current = self.fair.virtual_time(request.pool);
        let tag = match flows.get(request.account.index()) {
            Some(flow) if !flow.shapes.is_empty() => flow.tag,
            Some(flow) => flow.tag.max(current),
            None => current,
        };
        let weight = self.fair.weight(request.account, request.work);
        let finish_tag = tag.saturating_add(own / weight);
        flows
            .iter()
            .filter(|(a, flow)| *a != request.account.index() && flow.backlog > 0)
            .map(|(a, flow)| match self.tuning.fair_share {
                true => {
                    let entitlement = finish_tag
                        .saturating_sub(flow.tag)
                        .saturating_mul(flow.weight);
                    let arriving = (flow.arrivals.total_rate(now) * wait as f64) as u64;
                    flow.backlog.saturating_add(arriving).min(entitlement)
                }
                false => self.backlog_ahead(request, AccountId::new(a), flow),
            })
            .fold(0, u64::saturating_add)
    }

    /// Whether the first task can start at once, with no eligible task or begin ahead of it.
    fn can_start_now(&self, request: &Request<'_>) -> bool {
        if !self.can_start(request.shape) {
            return false;
        }
        if let Some(limit) = self.fair.limit_of(request.account, request.work) {
            if limit.running + limit.staged >= limit.share.concurrency {
                return false;
            }
        }
        let mut staged = 0;
        let members = self.pools.members(request.pool).iter();
        for shape in members.flat_map(|w| &self.targets.works[w.index()].shapes) {
            let queue = self.fair.shape(*shape);
            let has_waiting = |w| queue.first(w).is_some();
            if !self.can_start(*shape) {
                continue;
            }
            if has_waiting(Wait::Start) || has_waiting(Wait::Begin) {
                return false;
            }
            if queue.staged > 0 {
                staged += self.startable_tasks(queue);
            }
        }
        self.targets.shape(request.shape).room > staged
    }

    /// Number of staged tasks that may start within the concurrency limits of their accounts.
    fn startable_tasks(&self, queue: &crate::fair::ShapeQueue) -> u64 {
        let lanes = queue.lanes.iter();
        lanes
            .filter_map(|(account, lane)| {
                let staged = lane.as_deref()?.staged;
                let limit = self.fair.limit_of(AccountId::new(account), queue.work)?;
                let free = limit.share.concurrency.saturating_sub(limit.running);
                Some(u64::from(staged.min(free)))
            })
            .sum()
    }
}

/// Microseconds until the last task of `work` starts, when `room` tasks start at once and the rest
/// is served at `rate` thousandths of concurrent tasks.
fn queue_delay_us(work: u64, task_us: u64, room: u64, rate: u64) -> u64 {
    let rest = work.saturating_sub(task_us.saturating_mul(room));
    (u128::from(rest) * 1000 / u128::from(rate.max(1))) as u64
}

/// The time after which a caller should retry, within `RETRY_RANGE_MS`.
fn retry_after_ms(span: Duration) -> u64 {
    (span.as_millis() as u64 + 1).clamp(RETRY_RANGE_MS.0, RETRY_RANGE_MS.1)
}
