//! Scheduling: the next job to begin or start, and the counters that this changes.

use std::time::Duration;

use rand::Rng;

use greengage_core::{Spread, Time};

use crate::event::{Attempt, Effect, JobMode, Placement};
use crate::fair::Wait;
use crate::ids::{JobId, ShapeId, TargetId};
use crate::jobs::Phase;
use crate::placement;
use crate::targets::Grant;
use crate::timers::Timer;

use super::{Dispatch, OpenAttempt};

/// How far ahead of the starts begins are requested, about the time of a synced disk write.
const BEGIN_LEAD_TIME: Duration = Duration::from_millis(10);

impl Dispatch {
    /// Whether a task of the job that starts now is expected to end after the deadline. Without
    /// refusal of late work, whether the deadline has passed.
    pub(super) fn would_miss_deadline(&self, now: Time, id: JobId) -> bool {
        let entry = self.jobs.get(id);
        let run_time = match self.tuning.refuse_late {
            true => self.expected_us(entry.work, entry.declared),
            false => 0,
        };
        entry.deadline <= now + Duration::from_micros(run_time)
    }

    /// Starts tasks of the touched shapes while targets have room.
    pub(super) fn schedule(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let touched = std::mem::take(&mut self.touched_shapes);
        loop {
            let wait = |s| self.can_start(s).then_some(Wait::Start);
            let Some(id) = self.fair.next_job(now, &touched, wait) else {
                break;
            };
            if self.would_miss_deadline(now, id) {
                self.expire(now, id, effects);
            } else if !self.start(now, id, effects) {
                debug_assert!(false, "a shape has room but placement found no target");
                break;
            }
        }
        // Jobs that expired here touched only shapes of this list.
        self.touched_shapes = touched;
        self.arm_reserve_timer(now);
    }

    /// Sets a timer where only the reserve for short work prevents a start, because the reserve
    /// shrinks over time without any other event.
    pub(super) fn arm_reserve_timer(&mut self, now: Time) {
        for shape in &self.touched_shapes {
            let s = self.targets.shape(*shape);
            let work = s.key.work;
            let queue = self.fair.shape(*shape);
            let waiting = queue.first(Wait::Start).or(queue.first(Wait::Begin));
            if s.room == 0 || waiting.is_none() || self.can_start(*shape) {
                continue;
            }
            let usage = &mut self.targets.works[work.index()].usage;
            if !usage.timer_set {
                usage.timer_set = true;
                self.timers
                    .insert(usage.next_decay(now), Timer::ReserveDecay(work));
            }
        }
    }

    /// Starts the next task of a job; returns false if no target has room for it.
    pub(super) fn start(&mut self, now: Time, id: JobId, effects: &mut Vec<Effect>) -> bool {
        let entry = self.jobs.get(id);
        let avoid = entry.requeued.last().and_then(|p| p.avoid);
        let shape = self.targets.shape(entry.shape);
        let placement = self.tuning.placement;
        let rng = &mut self.rng;
        let Some(target) = placement::choose(shape, placement, &entry.rack_starts, avoid, rng)
        else {
            return false;
        };
        let (account, work, shape, declared) =
            (entry.account, entry.work, entry.shape, entry.declared);
        let (queued, staged_cost) = (entry.queued, entry.staged_cost);
        if let Some(cost) = staged_cost {
            self.count_staged(id, -1, -(cost as i64));
        }
        self.set_queued(now, id, queued - 1);
        let entry = self.jobs.get_mut(id);
        let pending = entry.take_task();
        if entry.requeued.is_empty() {
            entry.at_head = false;
        }
        if let Spread::Racks = self.targets.shape(shape).key.spread {
            *entry
                .rack_starts
                .get_or_insert_with(self.targets.get(target).rack, || 0) += 1;
        }
        let attempt = Attempt {
            job: entry.number,
            task: pending.task,
            number: pending.attempts,
        };
        let expected = self.expected_us(work, declared);
        let cost = self.fair.cost(account, work, expected);
        self.fair.charge(account, self.pools.pool_of(work), cost);
        let run = self.add_attempt(now, id, attempt, target, cost);
        run.lost = pending.lost;
        run.refused = pending.refused;
        self.retry_budget.record_start(now);
        self.update_queue(id);
        effects.push(Effect::Start {
            attempt,
            target: self.targets.get(target).name.clone(),
        });
        true
    }

    /// Adds an attempt and its grant to all counters.
    pub(super) fn add_attempt(
        &mut self,
        now: Time,
        id: JobId,
        attempt: Attempt,
        target: TargetId,
        cost: u64,
    ) -> &mut OpenAttempt {
        let entry = self.jobs.get_mut(id);
        entry.running += 1;
        entry.possible_runs += 1;
        let (account, work, shape) = (entry.account, entry.work, entry.shape);
        let grant = Grant {
            target,
            demand: self.targets.shape(shape).key.demand,
            units: self.units(shape),
            is_long: self.is_long(shape),
            started_at: now,
        };
        let tie_breaker = match self.tuning.placement {
            Placement::Fastest => None,
            Placement::Random => Some(self.rng.random()),
        };
        self.targets.add_grant(attempt, grant, tie_breaker);
        self.fair.limit_mut(account, work).running += 1;
        self.fair.mark_stale(account, self.pools.pool_of(work));
        let run = OpenAttempt {
            grant,
            account,
            work,
            cost,
            lost: 0,
            refused: 0,
        };
        self.attempts.entry(attempt).or_insert(run)
    }

    /// Requests the begins of jobs whose tasks can start soon.
    pub(super) fn begin_jobs(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let mut batch = Vec::new();
        let touched = std::mem::take(&mut self.touched_shapes);
        while let Some(id) = self.fair.next_job(now, &touched, |s| self.begin_wait(s)) {
            if self.would_miss_deadline(now, id) {
                self.expire(now, id, effects);
                continue;
            }
            let entry = self.jobs.get_mut(id);
            entry.phase = Phase::Beginning;
            batch.push(entry.number);
            self.add_staged(id);
            self.update_queue(id);
        }
        self.touched_shapes = touched;
        if !batch.is_empty() {
            effects.push(Effect::RecordBegin(batch));
        }
    }

    /// Which begins of a shape may be requested: as many as there are free slots, plus the slots
    /// that are expected to become free within `BEGIN_LEAD_TIME`; beyond that, one for each account
    /// without staged tasks, so that no account waits behind the staged jobs of others.
    pub(super) fn begin_wait(&self, shape: ShapeId) -> Option<Wait> {
        let s = self.targets.shape(shape);
        if s.slots == 0 {
            return None;
        }
        let expected = self.expected_us(s.key.work, Duration::from_millis(100));
        let freed_slots = s.slots * BEGIN_LEAD_TIME.as_micros() as u64 / expected;
        let room = if self.can_start(shape) { s.room } else { 0 };
        let max_staged = room + freed_slots.clamp(1, s.slots);
        match u64::from(self.fair.shape(shape).staged) < max_staged {
            true => Some(Wait::Begin),
            false => Some(Wait::FirstBegin),
        }
    }

    /// Counts the queued tasks of a recorded job as staged.
    pub(super) fn add_staged(&mut self, id: JobId) {
        let entry = self.jobs.get(id);
        let (queued, account, work) = (entry.queued, entry.account, entry.work);
        let expected = self.expected_us(work, entry.declared);
        match entry.mode {
            JobMode::Recorded { .. } => {}
            JobMode::Repeatable { .. } => return,
        }
        let cost = self.fair.cost(account, work, expected);
        self.jobs.get_mut(id).staged_cost = Some(cost);
        self.count_staged(id, i64::from(queued), cost as i64 * i64::from(queued));
    }

    /// Removes the queued tasks of a job from the counts of staged tasks.
    pub(super) fn drop_staged(&mut self, id: JobId) {
        let entry = self.jobs.get_mut(id);
        let queued = i64::from(entry.queued);
        if let Some(cost) = entry.staged_cost.take() {
            self.count_staged(id, -queued, -(cost as i64 * queued));
        }
    }

    /// Adds `tasks` and `cost`, which may be negative, to the counts of staged tasks.
    pub(super) fn count_staged(&mut self, id: JobId, tasks: i64, cost: i64) {
        let entry = self.jobs.get(id);
        let (account, shape, work) = (entry.account, entry.shape, entry.work);
        let pool = self.pools.pool_of(work);
        let add =
            |n: u32| u32::try_from(i64::from(n) + tasks).expect("staged task count fits 32 bits");
        let limit = self.fair.limit_mut(account, work);
        limit.staged = add(limit.staged);
        let queue = self.fair.shape_mut(shape);
        queue.staged = add(queue.staged);
        let lane = self.fair.lane_mut(shape, account);
        lane.staged = add(lane.staged);
        lane.staged_cost = lane.staged_cost.saturating_add_signed(cost);
        self.fair.add_staged_cost(account, pool, cost);
    }

    /// Sets the number of queued tasks of a job and updates all counters that include it.
    pub(super) fn set_queued(&mut self, now: Time, id: JobId, queued: u32) {
        let entry = self.jobs.get_mut(id);
        let old = std::mem::replace(&mut entry.queued, queued);
        if old == queued {
            return;
        }
        let (account, work, shape, task_us) =
            (entry.account, entry.work, entry.shape, entry.task_us);
        if old == 0 {
            self.queued_bytes += entry.bytes;
        }
        if queued == 0 {
            self.queued_bytes -= entry.bytes;
        }
        self.queued_tasks = self.queued_tasks + u64::from(queued) - u64::from(old);
        let limit = self.fair.limit_mut(account, work);
        limit.queued = limit.queued - old + queued;
        limit.update_over_since(now);
        let pool = self.pools.pool_of(work);
        self.fair
            .update_queued(account, shape, pool, task_us, (old, queued));
    }

    /// Moves a job to the queue that fits its state and updates the ranks of its account.
    pub(super) fn update_queue(&mut self, id: JobId) {
        let entry = self.jobs.get_mut(id);
        let (account, work, shape) = (entry.account, entry.work, entry.shape);
        let (old, key) = (entry.queue, entry.queue_key(id));
        let (new, size) = (entry.wanted_queue(), entry.remaining());
        entry.queue = new;
        entry.size = size;
        let shortest_first = self.fair.shortest_first;
        match (old, new) {
            (None, None) => {}
            (Some(kind), Some(new_kind)) if kind == new_kind => {
                self.fair
                    .lane_mut(shape, account)
                    .queue_mut(kind)
                    .update_size(key, size);
            }
            (_, _) => {
                let new_key = self.jobs.get(id).queue_key(id);
                let lane = self.fair.lane_mut(shape, account);
                if let Some(kind) = old {
                    lane.queue_mut(kind).remove(key);
                }
                if let Some(kind) = new {
                    lane.queue_mut(kind).insert(new_key, shortest_first);
                }
            }
        }
        let pool = self.pools.pool_of(work);
        let lane = self.fair.lane_of(shape, account).map(|l| l.queued);
        self.fair.update_ranks(account, pool, lane.map(|_| shape));
        if lane == Some(0) {
            self.fair.remove_lane(account, pool, shape);
        }
        self.touch(shape);
    }
}
