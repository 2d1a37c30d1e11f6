//! Callers of the simulation: submitted jobs and received answers.

use std::time::Duration;

use greengage_core::{Demand, Name, RequestId, Time};
use greengage_scheduler::{Event, Reply, Step, Submission};

use crate::support::{Action, Simulation};

/// One-way latency between a caller and a VM.
const SUBMIT_LATENCY: Duration = Duration::from_millis(3);
/// Limit on the submissions of a caller whose jobs time out.
const MAX_SUBMISSIONS: u32 = 4;
/// Delay after which a caller that lost its VM submits its job again.
pub(crate) const RESUBMIT_DELAY: Duration = Duration::from_millis(1300);

/// How late an answer may be: a VM reviews its jobs every 20 ms and answers 15 ms before the time
/// that a caller waits is over; a trip takes 3 ms.
pub(crate) const ANSWER_BOUND: Duration = Duration::from_millis(25);

/// One submission of a caller's job, over a connection of its own.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) caller: usize,
    pub(crate) vm: usize,
    pub(crate) sent: Time,
    pub(crate) timeout: Duration,
    pub(crate) answers: Vec<(Time, Reply)>,
    /// Whether the connection was closed by the caller or with the VM.
    pub(crate) closed: bool,
    /// When it was answered or its VM was killed, whichever was first.
    pub(crate) ended: Option<Time>,
}

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
            timeout: self
                .caller_timeout
                .unwrap_or((objective * 3).max(Duration::from_millis(1500))),
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
        let request = RequestId(self.requests.len() as u64 + 1);
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
            request,
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
            received: self.now + SUBMIT_LATENCY,
            timeout: caller.timeout,
            unsupported: None,
        };
        self.requests.push(Request {
            caller: index,
            vm,
            sent: self.now,
            timeout: caller.timeout,
            answers: Vec::new(),
            closed: false,
            ended: None,
        });
        let incarnation = self.vms[vm].incarnation;
        self.schedule(
            SUBMIT_LATENCY,
            Action::Event(vm, incarnation, Event::Submit(job)),
        );
    }

    pub(crate) fn record_answer(&mut self, vm: usize, request: RequestId, reply: Reply) {
        let now = self.now;
        let request = &mut self.requests[request.0 as usize - 1];
        request.answers.push((now, reply.clone()));
        request.ended = request.ended.or(Some(now));
        if request.closed {
            return;
        }
        let index = request.caller;
        let caller = &mut self.callers[index];
        if caller.vm != vm || caller.answer.is_some() {
            return;
        }
        if self.resubmit_timeouts && reply == Reply::TimedOut && caller.attempts < MAX_SUBMISSIONS {
            return self.schedule(RESUBMIT_DELAY, Action::Submit(index));
        }
        caller.answer = Some((now, reply));
    }

    /// Closes the open connections of a caller, which submits its job again later, to the next VM.
    pub(crate) fn close_caller(&mut self, index: usize) {
        if self.callers[index].answer.is_some() {
            return;
        }
        let mut closed = Vec::new();
        for (i, request) in self.requests.iter_mut().enumerate() {
            if request.caller == index && !request.closed && request.answers.is_empty() {
                request.closed = true;
                closed.push((RequestId(i as u64 + 1), request.vm));
            }
        }
        if closed.is_empty() {
            return;
        }
        for (request, vm) in closed {
            let incarnation = self.vms[vm].incarnation;
            let event = Event::CallerGone(request);
            self.schedule(SUBMIT_LATENCY, Action::Event(vm, incarnation, event));
        }
        self.callers[index].vm = (self.callers[index].vm + 1) % self.vms.len();
        self.schedule(RESUBMIT_DELAY, Action::Submit(index));
    }

    /// Requests that break the rule of answers: each one gets exactly one answer in time, unless
    /// its connection was closed. Those whose time isn't over may be open.
    pub(crate) fn answer_faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        for (i, request) in self.requests.iter().enumerate() {
            let limit = request.sent + request.timeout + ANSWER_BOUND;
            let fault = match request.answers.as_slice() {
                [] if !request.closed && self.now > limit => "no answer",
                [(time, _)] if !request.closed && *time > limit => "a late answer",
                [_, _, ..] => "several answers",
                _ => continue,
            };
            faults.push(format!("request {}: {fault}: {request:?}", i + 1));
        }
        faults
    }

    /// Callers whose only submission was refused, which says "not run", although a task was started.
    pub(crate) fn untrue_refusals(&self) -> Vec<&Caller> {
        let begun = self.begun.iter().map(|index| &self.callers[*index]);
        let refused = |caller: &&Caller| matches!(caller.answer, Some((_, Reply::Refused { .. })));
        begun.filter(|c| c.attempts == 1).filter(refused).collect()
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
