//! Which job starts next, and where.

use std::time::Duration;

use rand::Rng;

use greengage_core::{Spread, Time};

use crate::event::{Attempt, Effect, Mode, Placement};
use crate::fair::Wait;
use crate::ids::{JobId, ShapeId, TargetId};
use crate::jobs::Phase;
use crate::placement;
use crate::targets::Grant;
use crate::timers::Alarm;

use super::{Dispatch, Run};

/// Begins are recorded ahead of the starts by this span, about that of a synced disk write.
const BEGIN_AHEAD: Duration = Duration::from_millis(10);

impl Dispatch {
    /// Whether a task of the job that starts now would end after the deadline.
    pub(super) fn is_hopeless(&self, now: Time, id: JobId) -> bool {
        let entry = self.jobs.get(id);
        let needed = match self.tuning.admission {
            true => self.expected(entry.work, entry.declared),
            false => 0,
        };
        entry.deadline <= now + Duration::from_micros(needed)
    }

    /// Starts tasks of the touched shapes while there is room.
    pub(super) fn schedule(&mut self, now: Time, effects: &mut Vec<Effect>) {
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
    pub(super) fn watch_reserve(&mut self, now: Time) {
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

    pub(super) fn start(&mut self, now: Time, id: JobId, effects: &mut Vec<Effect>) -> bool {
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
    pub(super) fn run(
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
    pub(super) fn prime(&mut self, now: Time, effects: &mut Vec<Effect>) {
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
    pub(super) fn begin_wait(&self, shape: ShapeId) -> Option<Wait> {
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
    pub(super) fn add_primed(&mut self, id: JobId) {
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

    pub(super) fn drop_primed(&mut self, id: JobId) {
        let entry = self.jobs.get_mut(id);
        let queued = i64::from(entry.queued);
        if let Some(cost) = entry.primed.take() {
            self.count_primed(id, -queued, -(cost as i64 * queued));
        }
    }

    pub(super) fn count_primed(&mut self, id: JobId, tasks: i64, cost: i64) {
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
    pub(super) fn set_queued(&mut self, now: Time, id: JobId, queued: u32) {
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
    pub(super) fn line_up(&mut self, id: JobId) {
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
