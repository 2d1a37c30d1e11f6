//! Callers of the simulation: submitted jobs and received answers.

use std::time::Duration;

use greengage_core::{Demand, Name, RequestId, Time};
use greengage_scheduler::{Event, Reply, Step, Submission};

use crate::support::{Action, Simulation};

/// Delay after which a caller that lost its VM submits its job again.
pub(crate) const RESUBMIT_DELAY: Duration = Duration::from_millis(1300);

/// A caller with its job and its answer.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) queue: usize,
    pub(crate) sent: Time,
    pub(crate) objective: Duration,
    pub(crate) timeout: Duration,
    pub(crate) work: Vec<Duration>,
    pub(crate) vm: usize,
    pub(crate) answer: Option<(Time, Reply)>,
    pub(crate) attempts: u32,
    pub(crate) declared: Duration,
    pub(crate) id: Name,
}

impl Simulation {
    /// Submits a job with a task for each entry of `work`. The declared run time deviates from the
    /// mean.
    pub(crate) fn submit(&mut self, vm: usize, queue: usize, work: Vec<Duration>) -> usize {
        let longest = work.iter().max().copied().unwrap();
        let objective = longest * 8 / 5 + Duration::from_millis(60);
        let mean = work.iter().sum::<Duration>() / work.len() as u32;
        let declared = mean.mul_f64(self.rng.spread(40));
        let id = Name::new(&format!("j{}", self.callers.len())).unwrap();
        self.callers.push(Caller {
            queue,
            sent: self.now,
            objective,
            timeout: (objective * 3).max(Duration::from_millis(1500)),
            work,
            vm,
            answer: None,
            attempts: 0,
            declared,
            id,
        });
        let caller = self.callers.len() - 1;
        self.submit_now(caller);
        caller
    }

    pub(crate) fn submit_now(&mut self, index: usize) {
        let caller = &mut self.callers[index];
        if caller.answer.is_some() {
            return;
        }
        caller.attempts += 1;
        let mut vm = caller.vm;
        while !self.vms[vm].up {
            vm = (vm + 1) % self.vms.len();
        }
        caller.vm = vm;
        let queue = caller.queue % 3;
        let job = Submission {
            request: RequestId(index as u64 + 1),
            host: "h".into(),
            path: format!("/q{queue}/{}", caller.id).into(),
            id: caller.id.clone(),
            spec: "work".into(),
            steps: vec![Step {
                count: caller.work.len() as u32,
                demand: Demand {
                    milli_cores: self.task_milli_cores,
                    memory_mib: 64,
                    accelerators: 0,
                },
                declared: caller.declared,
                depends_on: Vec::new(),
                label: None,
            }],
            body_bytes: self.bytes,
            timeout: caller.timeout,
            unsupported: None,
        };
        let incarnation = self.vms[vm].incarnation;
        self.schedule(
            Duration::from_millis(3),
            Action::Event(vm, incarnation, Event::Submit(job)),
        );
    }

    pub(crate) fn record_answer(&mut self, vm: usize, request: RequestId, reply: Reply) {
        let now = self.now;
        let caller = &mut self.callers[request.0 as usize - 1];
        if caller.vm == vm && caller.answer.is_none() {
            caller.answer = Some((now, reply));
        }
    }

    /// Number of a queue's callers whose job completed within its objective, and number of all its
    /// callers.
    pub(crate) fn in_time(&self, queue: usize) -> (usize, usize) {
        let of_queue = || self.callers.iter().filter(|c| c.queue == queue);
        let served = of_queue().filter(|c| match &c.answer {
            Some((time, Reply::Completed)) => time.since(c.sent) <= c.objective,
            _ => false,
        });
        (served.count(), of_queue().count())
    }
}
