//! Handling of runs: results of starts and stops, ends, stalled runs and lost targets.

use std::time::Duration;

use greengage_core::{TargetName, Time};

use crate::event::{
    Effect, EndKind, Reply, RunEnd, RunListing, StartResult, StopCall, StopResult, TargetCall,
};
use crate::job::TaskState;
use crate::peer::OffloadOutcome;
use crate::progress::earliest_end;
use crate::scheduler::Scheduler;
use crate::target::{Origin, Ownership, Run, RunState, STOP_RETRY};

/// Outcome of a run for its task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunOutcome {
    /// The task succeeded.
    Done,
    /// The task failed.
    Failed,
    /// The run doesn't exist or was stopped; the task may be started again.
    NotRunning,
    /// The run never began and can't any more; the task may be started again.
    NotStarted,
    /// The run was stopped because it could not end before the deadline.
    TooLong,
}

/// A start or stop call that has ended.
#[derive(Clone, Copy)]
pub(crate) struct EndedCall<'a> {
    pub(crate) target: &'a TargetName,
    pub(crate) task: &'a str,
    pub(crate) number: u32,
    /// The generation that the call was sent with.
    pub(crate) generation: u64,
}

/// Added to the time that a stop may take, for the trip of its confirmation.
const STOP_MARGIN: Duration = Duration::from_millis(10);
/// Added to a task's run number after a target had seen a number already.
const RUN_NUMBER_STEP: u32 = 16;
/// Number of overruns after which a job is given up. The first one may be caused by its target.
const MAX_OVERRUNS: u32 = 2;
/// Pause in starts on a target after one without effect.
const FULL_BACKOFF: Duration = Duration::from_millis(30);
/// A run counts as stalled after this many times its expected run time without progress. Runs that
/// take seven times their usual time still progress by a percent or more in that time.
const STALL_FACTOR: u32 = 2;
/// Shortest time without progress after which a run counts as stalled.
const STALL_MIN: Duration = Duration::from_millis(150);

impl Scheduler {
    pub(crate) fn on_start_result(
        &mut self,
        now: Time,
        call: EndedCall<'_>,
        result: StartResult,
        out: &mut Vec<Effect>,
    ) {
        let EndedCall {
            target: name,
            task,
            number,
            generation,
        } = call;
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        if let StartResult::Running { clock } = result {
            target.clock = Some((clock, now));
        }
        let Some(index) = target.find_run(task, number) else {
            return;
        };
        let run = &mut target.runs[index];
        match result {
            StartResult::Running { .. } => {
                if run.state == RunState::Starting {
                    run.state = RunState::Running;
                }
            }
            StartResult::NoRoom => {
                target.full_until = now + FULL_BACKOFF;
                self.end_run(now, name, index, RunOutcome::NotStarted, out);
            }
            // A run of the task's name has been there.
            StartResult::OldNumber => {
                self.skip_run_numbers(name, index);
                self.end_run(now, name, index, RunOutcome::NotRunning, out);
            }
            StartResult::Late | StartResult::NotSent | StartResult::Rejected => {
                if result == StartResult::Rejected {
                    target.health.record_stall(now);
                }
                log::info!(event = "start-refused", task = task, run = number,
                    target = name.as_str(), result:? = result; "a start had no effect");
                target.full_until = now + FULL_BACKOFF;
                self.end_run(now, name, index, RunOutcome::NotStarted, out);
            }
            StartResult::Fenced => {
                self.end_run(now, name, index, RunOutcome::NotStarted, out);
                self.on_fenced(now, name, generation);
            }
            StartResult::OtherLife => {
                // The call had no effect, so this run need not wait for the lease.
                self.end_run(now, name, index, RunOutcome::NotStarted, out);
                self.target_lost(now, name, out);
            }
            StartResult::Unknown => {
                log::info!(event = "start-unknown", task = task, run = number,
                    target = name.as_str(); "a start got no answer; the run is stopped");
                target.health.record_stall(now);
                self.stop_run(now, name, task, number, out);
            }
        }
    }

    /// Raises a task's run number above those that its target has seen.
    fn skip_run_numbers(&mut self, name: &TargetName, index: usize) {
        let Some(run) = self.targets.get(name).and_then(|t| t.runs.get(index)) else {
            return;
        };
        if let Origin::Local(job) = run.origin {
            let job = self.jobs.get_mut(&job);
            if let Some((job, i)) = job.and_then(|j| j.find_task(&run.task).map(|i| (j, i))) {
                job.tasks[i].number += RUN_NUMBER_STEP;
            }
        }
    }

    /// Sends a stop call for a run, unless one was sent recently or confirmed.
    pub(crate) fn stop_run(
        &mut self,
        now: Time,
        name: &TargetName,
        task: &str,
        number: u32,
        out: &mut Vec<Effect>,
    ) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        let Some(index) = target.find_run(task, number) else {
            return;
        };
        let run = &mut target.runs[index];
        let must_send = match run.state {
            RunState::Stopping(sent) => now.since(sent) >= STOP_RETRY,
            RunState::Stopped(_) => false,
            RunState::Starting | RunState::Running => true,
        };
        if must_send {
            if run.stop_requested.is_none() {
                log::info!(event = "stop", task = &*run.task, run = run.number,
                    target = name.as_str(), age_ms = now.since(run.sent).as_millis() as u64;
                    "stopping a run");
            }
            run.state = RunState::Stopping(now);
            run.stop_requested = run.stop_requested.or(Some(now));
            let call = StopCall {
                task: run.task.clone(),
                number,
            };
            self.call(name, TargetCall::Stop(call), out);
        }
    }

    pub(crate) fn on_stop_result(
        &mut self,
        now: Time,
        call: EndedCall<'_>,
        result: StopResult,
        out: &mut Vec<Effect>,
    ) {
        let EndedCall {
            target: name,
            task,
            number,
            generation,
        } = call;
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        match result {
            StopResult::Done => {
                if let Some(index) = target.find_run(task, number) {
                    target.runs[index].state = RunState::Stopped(now);
                }
            }
            StopResult::Fenced => self.on_fenced(now, name, generation),
            StopResult::OtherLife => self.target_lost(now, name, out),
            StopResult::Unknown => {}
        }
    }

    /// Applies the lists of a target; `sent` is when they were requested.
    pub(crate) fn apply_lists(
        &mut self,
        now: Time,
        name: &TargetName,
        sent: Time,
        lists: (Vec<RunListing>, Vec<RunEnd>),
        out: &mut Vec<Effect>,
    ) {
        let (running, ended) = lists;
        for end in ended {
            let Some(target) = self.targets.get_mut(name) else {
                return;
            };
            if end.number <= target.observed {
                continue;
            }
            target.observed = end.number;
            let Some(index) = target.find_run(&end.task, end.run) else {
                continue;
            };
            let outcome = match end.kind {
                EndKind::Done => RunOutcome::Done,
                EndKind::Failed => RunOutcome::Failed,
                EndKind::Stopped => RunOutcome::NotRunning,
            };
            self.end_run(now, name, index, outcome, out);
        }
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        for row in &running {
            if let Some(index) = target.find_run(&row.task, row.run) {
                let run = &mut target.runs[index];
                run.last_listed = now;
                if row.percent != run.percent {
                    (run.percent, run.progressed) = (row.percent, now);
                }
            }
        }
        // A run that was stopped before the lists were requested and isn't listed has ended, or
        // never existed.
        let has_ended = |run: &Run| {
            let listed = running
                .iter()
                .any(|row| row.run == run.number && row.task == run.task);
            matches!(run.state, RunState::Stopped(time) if time < sent) && !listed
        };
        while let Some(index) = self
            .targets
            .get(name)
            .and_then(|target| target.runs.iter().position(has_ended))
        {
            self.end_run(now, name, index, RunOutcome::NotRunning, out);
        }
    }

    /// Removes a run and reports its outcome to its origin.
    pub(crate) fn end_run(
        &mut self,
        now: Time,
        name: &TargetName,
        index: usize,
        outcome: RunOutcome,
        out: &mut Vec<Effect>,
    ) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        let run = target.runs.remove(index);
        self.offers_changed = true;
        self.dispatch_due = true;
        match outcome {
            RunOutcome::Done => {
                let elapsed = now.since(run.sent);
                self.estimates
                    .observe(&run.queue, &mut target.speed, run.declared, elapsed);
                target.health.record_success();
            }
            RunOutcome::Failed => {
                if target.health.record_failure(now, run.origin.job_key()) {
                    log::info!(event = "target-left-out", target = name.as_str(),
                        task = &*run.task; "a target that fails its tasks is excluded");
                }
            }
            RunOutcome::NotRunning | RunOutcome::NotStarted | RunOutcome::TooLong => {}
        }
        let outcome = match outcome {
            RunOutcome::NotRunning => run.stopped_outcome(),
            outcome => outcome,
        };
        if outcome != RunOutcome::Done {
            log::info!(event = "run-ended", task = &*run.task, run = run.number,
                target = name.as_str(), outcome:? = outcome, percent = run.percent,
                age_ms = now.since(run.sent).as_millis() as u64,
                misses = target.hold.misses, generation = target.generation;
                "a run has ended without success");
        }
        if !run.notified {
            self.notify_origin(now, name, &run, outcome, out);
        }
    }

    /// Reports the outcome of a run to its job, or to the VM that offloaded it.
    fn notify_origin(
        &mut self,
        now: Time,
        name: &TargetName,
        run: &Run,
        outcome: RunOutcome,
        out: &mut Vec<Effect>,
    ) {
        match &run.origin {
            Origin::Local(job) => {
                let task = self.jobs.get(job).and_then(|j| j.find_task(&run.task));
                if let Some(task) = task {
                    self.task_ended(now, *job, task, outcome, Some(name), out);
                }
            }
            Origin::Peer { vm, offload_id } => {
                let end = match outcome {
                    RunOutcome::Done => OffloadOutcome::Done,
                    RunOutcome::Failed => OffloadOutcome::Failed,
                    RunOutcome::NotRunning => OffloadOutcome::NotRunning,
                    RunOutcome::NotStarted => OffloadOutcome::NotStarted,
                    RunOutcome::TooLong => OffloadOutcome::TooLong,
                };
                self.report_outcome(now, vm, *offload_id, end);
            }
        }
    }

    /// Reports stopped runs to their origins once they have ended for certain. A start that was
    /// stopped before it arrived is in no list, so waiting for the lists would delay its task by up
    /// to two holds.
    fn notify_stopped(&mut self, now: Time, out: &mut Vec<Effect>) {
        let stop_limit = self.setup.stop_limit + STOP_MARGIN;
        let mut stopped = Vec::new();
        self.targets.for_each_used(|name, target| {
            for run in target.runs.iter_mut().filter(|run| !run.notified) {
                if matches!(run.state, RunState::Stopped(time) if now.since(time) >= stop_limit) {
                    run.notified = true;
                    stopped.push((name.clone(), run.clone()));
                }
            }
        });
        for (name, run) in stopped {
            self.notify_origin(now, &name, &run, run.stopped_outcome(), out);
        }
    }

    /// Applies the outcome of a task's local or offloaded run.
    pub(crate) fn task_ended(
        &mut self,
        now: Time,
        job_id: u64,
        task: usize,
        outcome: RunOutcome,
        target: Option<&TargetName>,
        out: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get_mut(&job_id) else {
            return;
        };
        self.dispatch_due = true;
        let attempts = job.attempts;
        let entry = &mut job.tasks[task];
        entry.may_have_run |= outcome != RunOutcome::NotStarted;
        match outcome {
            RunOutcome::Done => {
                entry.state = TaskState::Done;
                let step = entry.step;
                job.steps[step].remaining -= 1;
                if job.steps.iter().all(|step| step.remaining == 0) {
                    self.finish(now, job_id, Reply::Completed, out);
                }
            }
            RunOutcome::Failed => {
                entry.state = TaskState::Waiting;
                entry.failures += 1;
                entry.avoid_target = target.cloned();
                if entry.failures >= attempts {
                    self.finish(now, job_id, Reply::Failed, out);
                }
            }
            RunOutcome::NotRunning | RunOutcome::NotStarted => {
                entry.state = TaskState::Waiting;
                entry.avoid_target = target.cloned();
            }
            RunOutcome::TooLong => {
                entry.state = TaskState::Waiting;
                entry.avoid_target = target.cloned();
                entry.overruns += 1;
                if entry.overruns >= MAX_OVERRUNS {
                    self.finish(now, job_id, Reply::TimedOut, out);
                }
            }
        }
    }

    /// Stops runs that are stalled, past their deadline or unable to end before it. Drops runs
    /// whose lease has ended while their target doesn't answer or belongs to another VM.
    pub(crate) fn review_runs(&mut self, now: Time, out: &mut Vec<Effect>) {
        let mut stops = Vec::new();
        let mut expired = Vec::new();
        let exit = self.leaving.map(|leaving| leaving.end);
        let estimates = &self.estimates;
        self.targets.for_each_used(|name, target| {
            let speed = target.speed;
            let mut stalled = false;
            for run in &mut target.runs {
                let usual_run_time = estimates.expected_run_time(&run.queue, run.declared);
                let expected = usual_run_time.div_f64(speed.factor().max(0.01));
                let limit = (expected * STALL_FACTOR).max(STALL_MIN);
                // Progress is known only from the target's lists, so time since the last one
                // doesn't count.
                let idle = run.last_listed.since(run.progressed);
                let is_stalled = run.state == RunState::Running && idle > limit;
                let retry =
                    matches!(run.state, RunState::Stopping(sent) if now.since(sent) >= STOP_RETRY);
                let end = match run.state {
                    RunState::Running => earliest_end(run.sent, run.last_listed, run.percent),
                    _ => None,
                };
                run.too_long |= end.is_some_and(|end| end > run.deadline);
                // The VM that offloaded a run learns of its end before this VM exits.
                let limit = match exit.filter(|_| run.origin.is_remote()) {
                    Some(exit) => run.deadline.min(exit),
                    None => run.deadline,
                };
                let too_late = end.is_some_and(|end| end > limit);
                if now >= limit || retry || is_stalled || too_late {
                    stalled |= is_stalled && now < limit;
                    stops.push((name.clone(), run.task.clone(), run.number));
                }
            }
            if stalled {
                log::info!(event = "target-stalls", target = name.as_str();
                    "a run on a target has stalled; the target is excluded");
                target.health.record_stall(now);
            }
            if target.ownership == Ownership::Unowned
                && !target.runs.is_empty()
                && now >= target.lease_end
            {
                expired.push(name.clone());
            }
            if target.hold.misses > 0 && !target.runs.is_empty() && now >= target.lease_end {
                expired.push(name.clone());
            }
        });
        for (name, task, number) in stops {
            self.stop_run(now, &name, &task, number, out);
        }
        for name in expired {
            self.drop_runs(now, &name, out);
        }
        self.notify_stopped(now, out);
    }

    /// Ends all runs of a target that can't be running any more.
    pub(crate) fn drop_runs(&mut self, now: Time, name: &TargetName, out: &mut Vec<Effect>) {
        while self.targets.get(name).is_some_and(|t| !t.runs.is_empty()) {
            self.end_run(now, name, 0, RunOutcome::NotRunning, out);
        }
    }

    /// Handles a target that is said to have left or to have been replaced. That isn't the end of
    /// its runs: a process whose notice isn't acknowledged goes on for a while. No task is started
    /// on it, and it is removed once its runs have ended or their lease has expired.
    pub(crate) fn target_lost(&mut self, now: Time, name: &TargetName, out: &mut Vec<Effect>) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        if target.lost {
            return;
        }
        target.lost = true;
        log::info!(event = "target-lost", target = name.as_str(), runs = target.runs.len(),
            lease_ms = target.lease_end.since(now).as_millis() as u64;
            "a target has left or was replaced; it gets no more tasks");
        self.reassign = true;
        self.offers_changed = true;
        if target.runs_have_ended(now) {
            self.remove_target(now, name, out);
        }
    }

    /// Removes the lost targets whose runs have ended. While a target answers holds, its lease is
    /// renewed and its runs go on.
    pub(crate) fn review_lost_targets(&mut self, now: Time, out: &mut Vec<Effect>) {
        let used = self.targets.used();
        let ended = used.filter(|(_, target)| target.lost && target.runs_have_ended(now));
        let ended: Vec<TargetName> = ended.map(|(name, _)| name.clone()).collect();
        for name in ended {
            self.remove_target(now, &name, out);
        }
    }

    fn remove_target(&mut self, now: Time, name: &TargetName, out: &mut Vec<Effect>) {
        log::info!(event = "target-gone", target = name.as_str();
            "removing a target and its runs");
        self.drop_runs(now, name, out);
        self.targets.remove(name);
        self.reassign = true;
    }
}
