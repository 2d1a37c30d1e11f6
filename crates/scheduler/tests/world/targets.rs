//! Simulated targets with leases, generations and limited resources, and the calls to them.
//!
//! Each start checks that no task has more than one run at a time, and records violations in
//! `duplicates`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use greengage_core::{Address, Demand, Incarnation, TargetName, Time, ZoneName};
use greengage_scheduler::{
    Departure, EndKind, Event, HoldResult, RunEnd, RunListing, StartResult, StopResult, TargetCall,
    TargetReport,
};

use crate::support::{candidate, Action, Simulation, PEER_LATENCY};

/// One-way latency between a VM and a target.
const TARGET_LATENCY: Duration = Duration::from_micros(600);
/// Longest lease that a target grants, in milliseconds.
const MAX_LEASE_MS: u64 = 1000;
/// Interval between the reports of a target.
pub(crate) const REPORT_INTERVAL: Duration = Duration::from_millis(1500);

pub(crate) struct Run {
    pub(crate) task: Arc<str>,
    pub(crate) number: u32,
    pub(crate) start_time: Time,
    pub(crate) end_time: Time,
    pub(crate) fails: bool,
    pub(crate) hangs: bool,
}

pub(crate) struct Target {
    pub(crate) name: TargetName,
    pub(crate) zone: ZoneName,
    pub(crate) speed: f64,
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
    pub(crate) up: bool,
    pub(crate) disconnected: bool,
    /// Whether it reports no more, but answers calls.
    pub(crate) unreported: bool,
    pub(crate) hangs: bool,
    pub(crate) fails: bool,
    /// Percentage of start and stop calls that get no answer and are carried out late.
    pub(crate) late_order_percent: u64,
    /// Whether this applies to all start calls.
    pub(crate) late_starts: bool,
    /// Whether it applies to all stop calls.
    pub(crate) late_stops: bool,
    /// Number of next holds that get no answer.
    pub(crate) lost_holds: u32,
    pub(crate) generation: u64,
    pub(crate) lease: u64,
    pub(crate) runs: Vec<Run>,
    pub(crate) ends: Vec<RunEnd>,
    pub(crate) last_end: u64,
    pub(crate) last_ended: BTreeMap<Arc<str>, u32>,
    pub(crate) pending_holds: Vec<(usize, Time, u64, u64)>,
    pub(crate) starts: u64,
}

/// A call on its way to a target.
pub(crate) struct Delivery {
    pub(crate) vm: usize,
    pub(crate) incarnation: u64,
    pub(crate) target: usize,
    /// Incarnation of the target when the call was sent.
    pub(crate) target_incarnation: u64,
    pub(crate) generation: u64,
    pub(crate) call: TargetCall,
    /// Whether the answer reaches the VM.
    pub(crate) answered: bool,
}

impl Simulation {
    pub(crate) fn call(&mut self, vm: usize, name: &TargetName, generation: u64, call: TargetCall) {
        let target = self.targets.iter().position(|t| t.name == *name).unwrap();
        let (incarnation, target_incarnation) =
            (self.vms[vm].incarnation, self.targets[target].incarnation);
        let order = !matches!(call, TargetCall::Hold(_));
        let late_start = self.targets[target].late_starts && matches!(call, TargetCall::Start(_));
        if matches!(call, TargetCall::Hold(_)) && self.targets[target].lost_holds > 0 {
            self.targets[target].lost_holds -= 1;
            let unanswered_event = self.unanswered_event(name, generation, &call);
            return self.schedule(
                call.timeout(),
                Action::Event(vm, incarnation, unanswered_event),
            );
        }
        let late_stop = self.targets[target].late_stops && matches!(call, TargetCall::Stop(_));
        let lost = late_start
            || late_stop
            || order && self.rng.chance(self.targets[target].late_order_percent);
        let limit = call.timeout();
        let unreachable = self.targets[target].disconnected || !self.targets[target].up;
        if lost || unreachable {
            let unanswered_event = self.unanswered_event(name, generation, &call);
            self.schedule(limit, Action::Event(vm, incarnation, unanswered_event));
        }
        if !unreachable {
            let delay = match lost {
                true => self.late_order_delay + Duration::from_millis(self.rng.below(3000)),
                false => TARGET_LATENCY,
            };
            let answered = !lost;
            self.schedule(
                delay,
                Action::Call(Delivery {
                    vm,
                    incarnation,
                    target,
                    target_incarnation,
                    generation,
                    call,
                    answered,
                }),
            );
        }
    }

    pub(crate) fn unanswered_event(
        &self,
        name: &TargetName,
        generation: u64,
        call: &TargetCall,
    ) -> Event {
        let target = name.clone();
        match call {
            TargetCall::Start(c) => Event::StartEnded {
                target,
                task: c.task.clone(),
                number: c.number,
                generation,
                result: StartResult::Unknown,
            },
            TargetCall::Stop(c) => Event::StopEnded {
                target,
                task: c.task.clone(),
                number: c.number,
                generation,
                result: StopResult::Unknown,
            },
            TargetCall::Hold(_) => Event::HoldEnded {
                target,
                generation,
                result: HoldResult::Unknown,
            },
        }
    }

    pub(crate) fn clock(&self) -> u64 {
        self.now.0 / 1000
    }

    pub(crate) fn deliver(&mut self, delivery: Delivery) {
        let Delivery {
            vm,
            incarnation,
            target: index,
            target_incarnation,
            generation,
            call,
            answered,
        } = delivery;
        self.expire_lease(index);
        let clock = self.clock();
        let target = &mut self.targets[index];
        if !target.up || target.disconnected {
            return;
        }
        let name = target.name.clone();
        if target.incarnation != target_incarnation {
            return;
        }
        let fenced = generation < target.generation;
        target.generation = target.generation.max(generation);
        let event = match call {
            TargetCall::Start(c) => {
                let result = match fenced {
                    true => StartResult::Fenced,
                    false => self.start(index, &c.task, c.number, c.lease, clock),
                };
                Event::StartEnded {
                    target: name,
                    task: c.task,
                    number: c.number,
                    generation,
                    result,
                }
            }
            TargetCall::Stop(c) => {
                let result = match fenced {
                    true => StopResult::Fenced,
                    false => {
                        let last = target.last_ended.entry(c.task.clone()).or_default();
                        *last = (*last).max(c.number);
                        self.end(index, &c.task, c.number, EndKind::Stopped);
                        StopResult::Done
                    }
                };
                Event::StopEnded {
                    target: name,
                    task: c.task,
                    number: c.number,
                    generation,
                    result,
                }
            }
            TargetCall::Hold(c) => {
                if fenced {
                    Event::HoldEnded {
                        target: name,
                        generation,
                        result: HoldResult::Fenced,
                    }
                } else {
                    target.ends.retain(|end| end.number > c.observed);
                    if let Some(lease) = c.lease {
                        target.lease = target.lease.max(lease.min(clock + MAX_LEASE_MS));
                    }
                    self.seq += 1;
                    let number = self.seq;
                    let target = &mut self.targets[index];
                    target
                        .pending_holds
                        .push((vm, self.now, generation, number));
                    let must_wait = target.ends.is_empty() && !c.wait.is_zero();
                    match must_wait {
                        true => self.schedule(c.wait, Action::HoldEnd(index, number)),
                        false => self.answer_hold(index, Some(number)),
                    }
                    return;
                }
            }
        };
        if answered {
            self.schedule(TARGET_LATENCY, Action::Event(vm, incarnation, event));
        }
    }

    pub(crate) fn start(
        &mut self,
        index: usize,
        task: &Arc<str>,
        number: u32,
        lease: u64,
        clock: u64,
    ) -> StartResult {
        let target = &mut self.targets[index];
        if lease <= clock {
            return StartResult::Late;
        }
        target.lease = target.lease.max(lease.min(clock + MAX_LEASE_MS));
        if target
            .last_ended
            .get(task)
            .is_some_and(|last| *last >= number)
        {
            return StartResult::OldNumber;
        }
        if target
            .runs
            .iter()
            .any(|run| run.task == *task && run.number == number)
        {
            return StartResult::Running { clock };
        }
        let used = target.runs.len() as u32 * self.task_milli_cores;
        if used + self.task_milli_cores > 16_000 {
            return StartResult::NoRoom;
        }
        target.starts += 1;
        let (id, task_index) = task.split_once(".0.0.").expect("a task's name");
        let caller = self.callers.iter().position(|c| c.id.as_str() == id);
        let caller = caller.unwrap();
        self.begun.insert(caller);
        let caller = &self.callers[caller];
        let work = caller.work[task_index.parse::<usize>().unwrap()];
        let speed = target.speed;
        let run = Run {
            task: task.clone(),
            number,
            start_time: self.now,
            end_time: self.now + work.div_f64(speed),
            fails: target.fails || (caller.queue == 9),
            hangs: target.hangs,
        };
        let after = if run.fails {
            Duration::from_millis(5)
        } else {
            run.end_time.since(self.now)
        };
        let hangs = run.hangs;
        target.runs.push(run);
        self.seq += 1;
        if !hangs {
            let end_time = self.now + after;
            let target = &mut self.targets[index];
            target.runs.last_mut().unwrap().end_time = end_time;
            self.schedule(after, Action::FinishDue(index, number as usize));
        }
        let running: usize = (0..self.targets.len())
            .map(|i| {
                self.expire_lease(i);
                let target = &self.targets[i];
                let up = target.up;
                target
                    .runs
                    .iter()
                    .filter(|run| up && run.task == *task)
                    .count()
            })
            .sum();
        if running > 1 {
            self.duplicates
                .push(format!("{task} run {number} at {:?}", self.now));
        }
        StartResult::Running { clock }
    }

    /// Changes the run time of a task that is running.
    pub(crate) fn set_run_time(&mut self, task: &str, time: Duration) {
        for index in 0..self.targets.len() {
            let mut runs = self.targets[index].runs.iter_mut();
            if let Some(run) = runs.find(|run| *run.task == *task) {
                run.end_time = run.start_time + time;
                let (after, number) = (run.end_time.since(self.now), run.number);
                self.schedule(after, Action::FinishDue(index, number as usize));
            }
        }
    }

    /// Ends the runs that have reached their end time.
    pub(crate) fn finish_due_runs(&mut self, index: usize, _run: usize) {
        self.expire_lease(index);
        let now = self.now;
        let due: Vec<(Arc<str>, u32, bool)> = self.targets[index]
            .runs
            .iter()
            .filter(|run| !run.hangs && now >= run.end_time)
            .map(|run| (run.task.clone(), run.number, run.fails))
            .collect();
        for (task, number, fails) in due {
            let kind = if fails {
                EndKind::Failed
            } else {
                EndKind::Done
            };
            self.end(index, &task, number, kind);
        }
    }

    pub(crate) fn end(&mut self, index: usize, task: &Arc<str>, number: u32, kind: EndKind) {
        let target = &mut self.targets[index];
        let run_index = target
            .runs
            .iter()
            .position(|run| run.task == *task && run.number == number);
        let Some(run_index) = run_index else {
            return;
        };
        target.runs.remove(run_index);
        let last = target.last_ended.entry(task.clone()).or_default();
        *last = (*last).max(number);
        target.last_end += 1;
        target.ends.push(RunEnd {
            number: target.last_end,
            task: task.clone(),
            run: number,
            kind,
        });
        self.answer_hold(index, None);
    }

    /// Ends all runs if the lease has expired.
    pub(crate) fn expire_lease(&mut self, index: usize) {
        let clock = self.clock();
        if self.targets[index].lease <= clock {
            while let Some(run) = self.targets[index].runs.first() {
                let (task, number) = (run.task.clone(), run.number);
                self.end(index, &task, number, EndKind::Stopped);
            }
        }
    }

    pub(crate) fn answer_hold(&mut self, index: usize, hold: Option<u64>) {
        let (clock, now) = (self.clock(), self.now);
        let target = &mut self.targets[index];
        let (answered, kept): (Vec<_>, Vec<_>) = target
            .pending_holds
            .drain(..)
            .partition(|(.., number)| hold.is_none_or(|h| h == *number));
        target.pending_holds = kept;
        let percent = |run: &Run| match run.hangs {
            true => 0,
            false => {
                let total = run.end_time.since(run.start_time).as_micros().max(1);
                (now.since(run.start_time).as_micros() * 100 / total).min(99) as u32
            }
        };
        let running: Vec<RunListing> = target
            .runs
            .iter()
            .map(|run| RunListing {
                task: run.task.clone(),
                run: run.number,
                percent: percent(run),
            })
            .collect();
        let result = HoldResult::Lists {
            clock,
            incarnation: Some(Incarnation(target.incarnation)),
            running,
            ended: target.ends.clone(),
        };
        let (name, silent) = (target.name.clone(), target.disconnected || !target.up);
        for (vm, _, generation, _) in answered {
            let incarnation = self.vms[vm].incarnation;
            let result = match silent {
                true => HoldResult::Unknown,
                false => result.clone(),
            };
            let event = Event::HoldEnded {
                target: name.clone(),
                generation,
                result,
            };
            let delay = if silent {
                Duration::from_millis(400)
            } else {
                TARGET_LATENCY
            };
            self.schedule(delay, Action::Event(vm, incarnation, event));
        }
    }

    pub(crate) fn report(&mut self, index: usize) {
        self.schedule(REPORT_INTERVAL, Action::Report(index));
        let target = &mut self.targets[index];
        if !target.up || target.disconnected || target.unreported {
            return;
        }
        target.sequence += 1;
        let report = self.target_report(index);
        self.broadcast_report(&report);
    }

    pub(crate) fn target_report(&self, index: usize) -> TargetReport {
        let target = &self.targets[index];
        TargetReport {
            target: target.name.clone(),
            service: "s".into(),
            address: Address::new(&format!("{}:1", target.name)).unwrap(),
            zone: target.zone.clone(),
            capacity: Demand {
                milli_cores: 16_000,
                memory_mib: 65_536,
                accelerators: 0,
            },
            labels: Vec::new(),
            draining: false,
            incarnation: Incarnation(target.incarnation),
            sequence: target.sequence,
        }
    }

    /// Sends the last reports of all targets to a VM that has started, as control VMs do.
    pub(crate) fn forward_reports(&mut self, vm: usize) {
        for index in 0..self.targets.len() {
            if self.targets[index].up && !self.targets[index].disconnected {
                self.forward_report(vm, self.target_report(index));
            }
        }
    }

    /// Sends a report to all VMs.
    pub(crate) fn broadcast_report(&mut self, report: &TargetReport) {
        for vm in 0..self.vms.len() {
            self.forward_report(vm, report.clone());
        }
    }

    /// Tells all VMs that a target has left, which goes on until it is crashed.
    pub(crate) fn announce_departure(&mut self, index: usize) {
        let target = &self.targets[index];
        let departure = Departure {
            target: target.name.clone(),
            incarnation: Some(Incarnation(target.incarnation)),
        };
        for vm in 0..self.vms.len() {
            let incarnation = self.vms[vm].incarnation;
            let event = Event::TargetLeft(departure.clone());
            self.schedule(PEER_LATENCY, Action::Event(vm, incarnation, event));
        }
    }

    /// The index of a target that runs a task.
    pub(crate) fn busy_target(&self) -> usize {
        let busy = |target: &Target| target.up && !target.runs.is_empty();
        self.targets.iter().position(busy).expect("a busy target")
    }

    /// Number of tasks that targets have started.
    pub(crate) fn total_starts(&self) -> u64 {
        self.targets.iter().map(|target| target.starts).sum()
    }

    fn forward_report(&mut self, vm: usize, report: TargetReport) {
        let inside = |zone: usize| report.zone == candidate(zone, 3).zone;
        if self
            .isolated_zone
            .is_some_and(|zone| inside(zone) != (vm == zone))
        {
            return;
        }
        let incarnation = self.vms[vm].incarnation;
        let event = Event::TargetReported(report);
        self.schedule(PEER_LATENCY, Action::Event(vm, incarnation, event));
    }

    /// Crashes a target; `restart_target` starts it again as a new incarnation.
    pub(crate) fn crash_target(&mut self, index: usize) {
        let target = &mut self.targets[index];
        target.up = false;
        target.runs.clear();
        target.ends.clear();
        target.last_ended.clear();
        (target.generation, target.lease, target.last_end) = (0, 0, 0);
        target.pending_holds.clear();
    }

    pub(crate) fn restart_target(&mut self, index: usize) {
        let target = &mut self.targets[index];
        if !target.up {
            target.up = true;
            target.incarnation += 1;
            target.sequence = 0;
        }
    }
}
