//! Consistency checks: all counters are recomputed and compared.

use std::collections::BTreeMap;

use greengage_core::Demand;

use crate::dispatch::Dispatch;
use crate::fair::Lane;
use crate::ids::{AccountId, ShapeId, TargetId, WorkId};

impl Dispatch {
    /// Checks all invariants over every job, attempt and target; the error describes the first
    /// violation.
    pub fn verify(&self) -> Result<(), String> {
        self.verify_targets()?;
        self.verify_queues()
    }

    fn verify_targets(&self) -> Result<(), String> {
        let mut sums: BTreeMap<TargetId, (u32, Demand, u64, u64)> = BTreeMap::new();
        for run in self.attempts.values() {
            let sum = sums.entry(run.grant.target).or_default();
            sum.0 += 1;
            sum.1 = sum.1.saturating_add(&run.grant.demand);
            sum.2 += run.grant.units;
            sum.3 += if run.grant.is_long {
                run.grant.units
            } else {
                0
            };
        }
        let mut free_slots = 0;
        for (id, target) in &self.targets.by_id {
            let name = &target.name;
            let sum = sums.remove(&TargetId::new(id)).unwrap_or_default();
            let counted = (
                target.running,
                target.granted,
                target.busy,
                target.long_busy,
            );
            check(sum == counted, || {
                format!("target {name}: attempts add up to {sum:?}, counted {target:?}")
            })?;
            check(!target.is_overcommitted() || target.may_overcommit, || {
                format!("target {name}: grants exceed its capacity: {target:?}")
            })?;
            free_slots += target.free_slots();
        }
        check(sums.is_empty(), || {
            format!("attempts on unknown targets: {sums:?}")
        })?;
        check(free_slots == self.targets.free_slots, || {
            format!(
                "{free_slots} free slots, counted {}",
                self.targets.free_slots
            )
        })?;
        for (s, shape) in &self.targets.shapes {
            let found = self.targets.recount(ShapeId::new(s));
            let counted = (shape.room, shape.slots, shape.rate, shape.fitting_targets);
            let free_targets: usize = shape.free_targets.values().map(|set| set.len()).sum();
            check(found == (counted, free_targets), || {
                format!(
                    "shape {:?}: found {found:?}, counted {counted:?}, {free_targets} targets",
                    shape.key
                )
            })?;
        }
        Ok(())
    }

    fn verify_queues(&self) -> Result<(), String> {
        let (mut tasks, mut bytes) = (0, 0);
        let mut running: BTreeMap<_, u32> = BTreeMap::new();
        for attempt in self.attempts.keys() {
            *running.entry(attempt.job).or_default() += 1;
        }
        let mut lanes: BTreeMap<_, (u32, u32, u64, usize)> = BTreeMap::new();
        for (id, job) in self.jobs.iter() {
            let n = job.number;
            tasks += u64::from(job.queued);
            bytes += if job.queued > 0 { job.bytes } else { 0 };
            let open = running.get(&n).copied().unwrap_or(0);
            check(open == job.running, || {
                format!("job {n}: {open} attempts are open, counted {job:?}")
            })?;
            let sum = job.queued + job.running + job.done;
            check(sum == job.tasks, || {
                format!("job {n}: queued, running and done tasks add up to {sum}: {job:?}")
            })?;
            let unstarted = job.tasks - job.next_task + job.requeued.len() as u32;
            check(unstarted == job.queued, || {
                format!("job {n}: {unstarted} tasks still to start, counted {job:?}")
            })?;
            check(job.queue == job.wanted_queue(), || {
                format!("job {n} is in the wrong queue: {job:?}")
            })?;
            let lane = lanes.entry((job.shape, job.account)).or_default();
            lane.0 += job.queued;
            lane.2 += job.task_us * u64::from(job.queued);
            if let Some(cost) = job.staged_cost {
                lane.1 += job.queued;
                check(cost > 0, || format!("job {n} is staged at no cost"))?;
            }
            if let Some(kind) = job.queue {
                lane.3 += 1;
                let queue = self.fair.lane_of(job.shape, job.account);
                let found = queue.is_some_and(|l| l.contains(kind, job.queue_key(id)));
                check(found, || format!("job {n} is not in its queue: {job:?}"))?;
            }
        }
        check(
            (tasks, bytes) == (self.queued_tasks, self.queued_bytes),
            || format!("{tasks} tasks and {bytes} bytes are queued, but the counters differ"),
        )?;
        for (s, _) in &self.targets.shapes {
            let shape = ShapeId::new(s);
            for (account, lane) in self.fair.shape(shape).lanes.iter() {
                let found = lanes
                    .remove(&(shape, AccountId::new(account)))
                    .unwrap_or_default();
                let Some(lane) = lane.as_deref() else {
                    check(found.0 == 0, || {
                        format!("no lane {shape:?} of account {account} for {found:?}")
                    })?;
                    continue;
                };
                let jobs = lane.start_queue.len() + lane.begin_queue.len();
                let counted = (lane.queued, lane.staged, lane.total(), jobs);
                check(found == counted, || {
                    format!("lane {shape:?} {account:?}: found {found:?}, counted {counted:?}")
                })?;
            }
        }
        self.verify_limits()
    }

    fn verify_limits(&self) -> Result<(), String> {
        for (work, limits) in self.fair.limits.iter() {
            for (account, limit) in limits.iter() {
                let (work, account) = (WorkId::new(work), AccountId::new(account));
                let open = self.attempts.values();
                let open = open.filter(|r| r.account == account && r.work == work);
                let shapes = self.targets.works[work.index()].shapes.iter();
                let lanes = shapes.filter_map(|s| self.fair.lane_of(*s, account));
                let sum = |sum: (u32, u32), l: &Lane| (sum.0 + l.queued, sum.1 + l.staged);
                let found = (open.count() as u32, lanes.fold((0, 0), sum));
                let counted = (limit.running, (limit.queued, limit.staged));
                check(found == counted, || {
                    format!("{account:?} {work:?}: found {found:?}, counted {counted:?}")
                })?;
            }
        }
        Ok(())
    }
}

fn check(holds: bool, message: impl FnOnce() -> String) -> Result<(), String> {
    match holds {
        true => Ok(()),
        false => Err(message()),
    }
}
