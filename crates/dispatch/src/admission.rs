//! Whether a job may join, judged by what is queued ahead of it.
//!
//! The expected end follows the fair order. Until the job's last task starts, the account's own
//! queue ahead of it runs, and of each other account's queue as much as that account's weight
//! entitles it to in the same span of tags, at most all of it. Work that will arrive meanwhile
//! and go first counts at the rate of the last seconds. All this is done at the summed speed of
//! the live targets that take the job's tasks.

use std::time::Duration;

use greengage_core::{Refusal, Time};

use crate::dispatch::Dispatch;
use crate::event::{Admission, Job};
use crate::fair::{class, Flow, Wait};
use crate::ids::{AccountId, PoolId, ShapeId, WorkId};

/// How long an account may use its burst before it has to go below its quota.
const BURST_TIME: Duration = Duration::from_secs(5);

/// Shortest and longest time after which a refused caller is asked to try again.
const RETRY_MS: (u64, u64) = (10, 60_000);

/// Retry time where no capacity is known.
const RETRY_UNKNOWN_MS: u64 = 1000;

/// Rounds of the estimate; each costs one look at the accounts of the pool.
const ROUNDS: usize = 12;

/// Wait in microseconds beyond which it isn't computed further.
const LONGEST_WAIT: u64 = 60_000_000;

/// A job and where it would queue.
struct Asked<'a> {
    job: &'a Job,
    account: AccountId,
    work: WorkId,
    shape: ShapeId,
    pool: PoolId,
    /// Expected run time of a task in microseconds.
    unit: u64,
}

impl Dispatch {
    /// Whether `job` may join; the queue doesn't change.
    pub fn admit(&mut self, now: Time, job: &Job) -> Admission {
        let work = self.work(&job.work, job.target);
        let asked = Asked {
            job,
            account: self.account(&job.account),
            work,
            shape: self.shape(work, job),
            pool: self.pools.of(work),
            unit: self.expected(work, job.expected),
        };
        match self.refusal(now, &asked) {
            Some(refusal) => Admission::Refuse(refusal),
            None if self.starts_now(&asked) => Admission::Start,
            None => Admission::Queue,
        }
    }

    fn refusal(&self, now: Time, asked: &Asked<'_>) -> Option<Refusal> {
        let job = asked.job;
        let shape = self.targets.shape(asked.shape);
        if shape.could == 0 && !self.targets.works[asked.work.at()].targets.is_empty() {
            let demand = job.demand;
            return Some(Refusal::Impossible { demand });
        }
        let limits = &self.tuning.limits;
        let tasks = u64::from(job.tasks);
        let excess = (self.queued_tasks + tasks).saturating_sub(u64::from(limits.tasks));
        if excess > 0 || self.queued_bytes.saturating_add(job.bytes) > limits.bytes {
            let retry_ms = self.drained_ms(asked, excess.max(tasks), 100);
            return Some(Refusal::Full { retry_ms });
        }
        if let Some(limit) = self.fair.limit_of(asked.account, asked.work) {
            let quota = u64::from(limit.share.quota);
            let queued = u64::from(limit.queued) + tasks;
            let rested = limit.over.is_none_or(|over| now.since(over) < BURST_TIME);
            let burst = if rested {
                u64::from(limit.share.burst)
            } else {
                0
            };
            if queued > quota + burst {
                let retry_ms = self.drained_ms(asked, queued - quota, self.percent(asked));
                let limit = limit.share.quota;
                return Some(Refusal::Quota { limit, retry_ms });
            }
        }
        if !self.tuning.admission {
            return None;
        }
        let end = now + self.time_to_end(now, asked)?;
        (end > job.deadline).then(|| Refusal::Late {
            retry_ms: retry(end.since(job.deadline)),
        })
    }

    /// The account's share of its pool in percent.
    fn percent(&self, asked: &Asked<'_>) -> u64 {
        let own = self.fair.weight(asked.account, asked.work);
        let others = self.fair.flows.get(asked.pool.at()).map_or(0, |flows| {
            flows
                .iter()
                .filter(|(a, f)| *a != asked.account.at() && f.backlog > 0)
                .map(|(_, f)| f.weight)
                .sum()
        });
        (own * 100 / (own + others)).max(1)
    }

    /// When `tasks` will have left the queue at `percent` of the capacity.
    fn drained_ms(&self, asked: &Asked<'_>, tasks: u64, percent: u64) -> u64 {
        let rate = self.targets.shape(asked.shape).rate * percent / 100;
        match rate {
            0 => RETRY_UNKNOWN_MS,
            rate => retry(Duration::from_micros(
                tasks.saturating_mul(asked.unit).saturating_mul(1000) / rate,
            )),
        }
    }

    /// How long until the job's last task ends; `None` while no capacity is known.
    ///
    /// What arrives meanwhile and goes first lengthens the wait, which lets more of it arrive;
    /// the wait is computed again until it grows no more.
    fn time_to_end(&self, now: Time, asked: &Asked<'_>) -> Option<Duration> {
        let shape = self.targets.shape(asked.shape);
        if shape.rate == 0 {
            return None;
        }
        let unit = asked.unit;
        let rate = self.rate(now, asked);
        let (own_now, own_rate) = self.own_work(now, asked);
        let mut wait = 0;
        for _ in 0..ROUNDS {
            let own = own_now.saturating_add((own_rate * wait as f64) as u64);
            let work = own.saturating_add(self.others_work(now, asked, own, wait));
            let mut next = span(work, unit, shape.room.max(1), rate);
            if let Some(limit) = self.fair.limit_of(asked.account, asked.work) {
                let most = u64::from(limit.share.concurrency).max(1);
                let room = most.saturating_sub(u64::from(limit.running)).max(1);
                next = next.max(span(own, unit, room, most.saturating_mul(1000)));
            }
            let settled = next <= wait.saturating_add(wait / 64);
            wait = next.max(wait);
            if settled || wait > LONGEST_WAIT {
                break;
            }
        }
        Some(Duration::from_micros(wait.saturating_add(unit)))
    }

    /// The rate at which the job's work is done, in thousandths of tasks at once; for long work
    /// without the reserve.
    fn rate(&self, now: Time, asked: &Asked<'_>) -> u64 {
        let rate = self.targets.shape(asked.shape).rate;
        let used = &self.targets.works[asked.work.at()].used;
        if !self.is_long(asked.shape) || used.capacity == 0 {
            return rate;
        }
        let most = used.most(now, self.tuning.short_percent);
        (u128::from(rate) * u128::from(most) / u128::from(used.capacity)) as u64
    }

    /// Work of the account up to the end of the job: what is queued, and what arrives and goes
    /// first per microsecond.
    fn own_work(&self, now: Time, asked: &Asked<'_>) -> (u64, f64) {
        let size = asked.unit.saturating_mul(u64::from(asked.job.tasks));
        let Some(flow) = self.fair.flow_of(asked.account, asked.pool) else {
            return (size, 0.0);
        };
        let ahead = size.saturating_add(self.ahead(asked, asked.account, flow));
        match self.tuning.shortest {
            true => (ahead, flow.arrivals.below(now, class(size))),
            false => (ahead, 0.0),
        }
    }

    /// Queued work of an account that goes first where weights don't count.
    fn ahead(&self, asked: &Asked<'_>, account: AccountId, flow: &Flow) -> u64 {
        if !self.tuning.shortest {
            return flow.backlog;
        }
        let class = class(asked.unit.saturating_mul(u64::from(asked.job.tasks)));
        let lanes = flow.lanes.iter();
        lanes
            .filter_map(|s| self.fair.lane_of(*s, account))
            .map(|lane| lane.backlog[..=class].iter().sum::<u64>())
            .sum()
    }

    /// Work of other accounts that goes first when the own flow has to grow by `own`.
    fn others_work(&self, now: Time, asked: &Asked<'_>, own: u64, wait: u64) -> u64 {
        let Some(flows) = self.fair.flows.get(asked.pool.at()) else {
            return 0;
        };
        let current = self.fair.current(asked.pool);
        let tag = match flows.get(asked.account.at()) {
            Some(flow) if !flow.lanes.is_empty() => flow.tag,
            Some(flow) => flow.tag.max(current),
            None => current,
        };
        let weight = self.fair.weight(asked.account, asked.work);
        let end = tag.saturating_add(own / weight);
        flows
            .iter()
            .filter(|(a, flow)| *a != asked.account.at() && flow.backlog > 0)
            .map(|(a, flow)| match self.tuning.fair {
                true => {
                    let entitled = end.saturating_sub(flow.tag).saturating_mul(flow.weight);
                    let arrives = (flow.arrivals.total(now) * wait as f64) as u64;
                    flow.backlog.saturating_add(arrives).min(entitled)
                }
                false => self.ahead(asked, AccountId::new(a), flow),
            })
            .fold(0, u64::saturating_add)
    }

    /// Whether the first task could start at once, with nobody eligible waiting ahead.
    fn starts_now(&self, asked: &Asked<'_>) -> bool {
        if !self.open(asked.shape) {
            return false;
        }
        if let Some(limit) = self.fair.limit_of(asked.account, asked.work) {
            if limit.running + limit.primed >= limit.share.concurrency {
                return false;
            }
        }
        let mut primed = 0;
        let members = self.pools.members(asked.pool).iter();
        for shape in members.flat_map(|w| &self.targets.works[w.at()].shapes) {
            let queue = self.fair.shape(*shape);
            let waits = |w| queue.first(w).is_some();
            if !self.open(*shape) {
                continue;
            }
            if waits(Wait::Start) || waits(Wait::Begin) {
                return false;
            }
            if queue.primed > 0 {
                primed += self.startable(queue);
            }
        }
        self.targets.shape(asked.shape).room > primed
    }

    /// Primed tasks that their accounts' limits allow to start.
    fn startable(&self, queue: &crate::fair::ShapeQueue) -> u64 {
        let lanes = queue.lanes.iter();
        lanes
            .filter_map(|(account, lane)| {
                let primed = lane.as_deref()?.primed;
                let limit = self.fair.limit_of(AccountId::new(account), queue.work)?;
                let free = limit.share.concurrency.saturating_sub(limit.running);
                Some(u64::from(primed.min(free)))
            })
            .sum()
    }
}

/// How long until the last of `work` starts, when `room` tasks start at once and the rest at
/// `rate` thousandths of tasks at once.
fn span(work: u64, unit: u64, room: u64, rate: u64) -> u64 {
    let rest = work.saturating_sub(unit.saturating_mul(room));
    (u128::from(rest) * 1000 / u128::from(rate.max(1))) as u64
}

fn retry(span: Duration) -> u64 {
    (span.as_millis() as u64 + 1).clamp(RETRY_MS.0, RETRY_MS.1)
}
