//! Test harness: helpers that send events to a dispatcher and format its effects as text.
// No test file uses all of it.
#![allow(dead_code)]

use std::time::Duration;

use greengage_core::{
    AccountName, Capacity, Demand, JobNumber, RackName, Spread, TargetKind, TargetName,
    TemplateName, Time,
};
use greengage_dispatch::{
    Admission, Attempt, AttemptOutcome, Dispatch, Effect, Event, Job, JobMode, Share, TargetSpec,
    Tuning,
};

pub(crate) const RECORDED: JobMode = JobMode::Recorded { begun: true };
pub(crate) const NOT_BEGUN: JobMode = JobMode::Recorded { begun: false };

pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A dispatcher with a clock that the test sets.
pub(crate) struct Harness {
    pub(crate) dispatch: Dispatch,
    /// Current time in milliseconds.
    pub(crate) now_ms: u64,
    /// Time in milliseconds from the creation of a job to its deadline.
    pub(crate) deadline_ms: u64,
    /// Number of the last job.
    last_job: u64,
}

impl Harness {
    pub(crate) fn new(tuning: Tuning) -> Harness {
        Harness {
            dispatch: Dispatch::new(tuning, 1),
            now_ms: 0,
            deadline_ms: 10_000,
            last_job: 0,
        }
    }

    /// Handles an event, checks all counters and returns the formatted effects.
    pub(crate) fn step(&mut self, event: Event) -> Vec<String> {
        let effects = self.dispatch.step(Time::from_millis(self.now_ms), event);
        assert_eq!(self.dispatch.verify(), Ok(()));
        effects.iter().map(format_effect).collect()
    }

    pub(crate) fn executor(&mut self, name: &str, slots: u32, work: &[&str]) -> Vec<String> {
        self.target(
            name,
            None,
            work,
            Capacity::Executor {
                slots,
                connections: 60,
            },
        )
    }

    pub(crate) fn worker(&mut self, name: &str, rack: &str, cores: u32) -> Vec<String> {
        let capacity = Capacity::Worker(demand(cores * 1000));
        self.target(name, Some(rack), &["w"], capacity)
    }

    pub(crate) fn target(
        &mut self,
        name: &str,
        rack: Option<&str>,
        work: &[&str],
        capacity: Capacity,
    ) -> Vec<String> {
        self.step(Event::TargetAnnounced(TargetSpec {
            target: target(name),
            rack: rack.map(|r| RackName::new(r).unwrap()),
            work: work.iter().map(|w| TemplateName::new(w).unwrap()).collect(),
            capacity,
        }))
    }

    /// A job with the next number and a declared run time of 100 ms per task.
    pub(crate) fn job(&mut self, account: &str, work: &str, tasks: u32, mode: JobMode) -> Job {
        self.last_job += 1;
        Job {
            number: JobNumber(self.last_job),
            account: AccountName::new(account).unwrap(),
            work: TemplateName::new(work).unwrap(),
            tasks,
            target_kind: TargetKind::Executor,
            demand: demand(1000),
            spread: Spread::Any,
            deadline: Time::from_millis(self.now_ms + self.deadline_ms),
            declared: ms(100),
            mode,
            bytes: 10,
        }
    }

    pub(crate) fn submit(
        &mut self,
        account: &str,
        work: &str,
        tasks: u32,
        mode: JobMode,
    ) -> Vec<String> {
        let job = self.job(account, work, tasks, mode);
        self.step(Event::Submit(job))
    }

    pub(crate) fn admit(&mut self, job: &Job) -> Admission {
        let queued = self.dispatch.queued_tasks();
        let answer = self.dispatch.admit(Time::from_millis(self.now_ms), job);
        assert_eq!(
            self.dispatch.queued_tasks(),
            queued,
            "admit changed the queue"
        );
        answer
    }

    /// Settles an attempt written as `job/task#number`.
    pub(crate) fn settle(&mut self, attempt: &str, outcome: AttemptOutcome) -> Vec<String> {
        let attempt = parse_attempt(attempt);
        self.step(Event::AttemptEnded { attempt, outcome })
    }

    pub(crate) fn complete(&mut self, attempt: &str, millis: u64) -> Vec<String> {
        let service = ms(millis);
        self.settle(attempt, AttemptOutcome::Done { service })
    }

    pub(crate) fn share(
        &mut self,
        account: &str,
        weight: u32,
        quota: u32,
        concurrency: u32,
        burst: u32,
    ) {
        self.step(Event::SetShare {
            work: TemplateName::new("w").unwrap(),
            account: AccountName::new(account).unwrap(),
            share: Share {
                weight,
                quota,
                concurrency,
                burst,
            },
        });
    }

    /// Advances the clock to `until_ms` with a tick at each time that `next_wake` returns before.
    pub(crate) fn advance_to(&mut self, until_ms: u64) -> Vec<String> {
        let mut all = Vec::new();
        while let Some(at) = self
            .dispatch
            .next_wake()
            .filter(|at| at.0 <= until_ms * 1000)
        {
            self.now_ms = self.now_ms.max(at.0.div_ceil(1000));
            let effects = self.step(Event::Tick);
            all.extend(
                effects
                    .into_iter()
                    .map(|e| format!("{} ms: {e}", self.now_ms)),
            );
        }
        self.now_ms = until_ms;
        all
    }
}

pub(crate) fn target(name: &str) -> TargetName {
    TargetName::new(name).unwrap()
}

pub(crate) fn demand(milli_cores: u32) -> Demand {
    Demand {
        milli_cores,
        memory_mib: 0,
        accelerators: 0,
    }
}

pub(crate) fn parse_attempt(attempt: &str) -> Attempt {
    let numbers: Vec<u64> = attempt
        .split(['/', '#'])
        .map(|n| n.parse().unwrap())
        .collect();
    Attempt {
        job: JobNumber(numbers[0]),
        task: numbers[1] as u32,
        number: numbers[2] as u32,
    }
}

fn format_effect(effect: &Effect) -> String {
    let name = |a: &Attempt| format!("{}/{}#{}", a.job, a.task, a.number);
    match effect {
        Effect::RecordBegin(jobs) => {
            let jobs: Vec<String> = jobs.iter().map(|j| j.to_string()).collect();
            format!("begin {}", jobs.join(" "))
        }
        Effect::Start { attempt, target } => format!("start {} on {target}", name(attempt)),
        Effect::Stop { attempt, target } => format!("stop {} on {target}", name(attempt)),
        Effect::Complete(job) => format!("complete {job}"),
        Effect::Failed { job, failure } => format!("failed {job}: {failure}"),
    }
}
