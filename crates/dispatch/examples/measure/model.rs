//! Simulation of arrivals and service on a virtual clock.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use greengage_core::{
    AccountName, Capacity, Demand, JobNumber, Spread, TargetKind, TargetName, TemplateName, Time,
};
use greengage_dispatch::{
    Admission, Attempt, AttemptOutcome, Dispatch, Effect, Event, Job, JobMode, TargetSpec, Tuning,
};
use rand::rngs::StdRng;
use rand::Rng;

/// Time of a synced ledger write.
const SYNC_WRITE: Duration = Duration::from_millis(5);

/// Round-trip time to a target.
pub(crate) const ROUND_TRIP: Duration = Duration::from_millis(1);

/// A job that arrives, with the service time of each task on a target with a time factor of 1.
pub(crate) struct Arrival {
    pub(crate) at: Time,
    pub(crate) account: &'static str,
    pub(crate) work: &'static str,
    pub(crate) declared: Duration,
    pub(crate) service: Vec<Duration>,
    pub(crate) deadline: Duration,
}

/// The outcome of a job.
#[derive(Clone, Default)]
pub(crate) struct Outcome {
    /// When the job was completed; `None` if it wasn't.
    pub(crate) complete: Option<Time>,
    /// The time of each start of a task.
    pub(crate) starts: Vec<Time>,
    pub(crate) refused: bool,
}

/// An executor with 8 slots.
pub(crate) fn executor(name: &str, work: &[&str]) -> TargetSpec {
    TargetSpec {
        target: TargetName::new(name).unwrap(),
        rack: None,
        work: work.iter().map(|w| TemplateName::new(w).unwrap()).collect(),
        capacity: Capacity::Executor {
            slots: 8,
            connections: 60,
        },
    }
}

pub(crate) fn job(number: u64, arrival: &Arrival, now: Time) -> Job {
    Job {
        number: JobNumber(number),
        account: AccountName::new(arrival.account).unwrap(),
        work: TemplateName::new(arrival.work).unwrap(),
        tasks: arrival.service.len() as u32,
        target_kind: TargetKind::Executor,
        demand: Demand::default(),
        spread: Spread::Any,
        deadline: now + arrival.deadline,
        declared: arrival.declared,
        mode: JobMode::Recorded { begun: false },
        bytes: 100 * arrival.service.len(),
    }
}

enum Next {
    Arrive(usize),
    Event(Event),
}

/// Simulates all arrivals, after the events of `setup` at time 0. `time_factors` multiply the
/// service time.
pub(crate) fn run(
    tuning: Tuning,
    seed: u64,
    setup: Vec<Event>,
    time_factors: &BTreeMap<TargetName, f64>,
    arrivals: &[Arrival],
) -> Vec<Outcome> {
    let mut dispatch = Dispatch::new(tuning, seed);
    for event in setup {
        dispatch.step(Time(0), event);
    }
    let mut outcomes = vec![Outcome::default(); arrivals.len()];
    let mut items: Vec<Option<Next>> = Vec::new();
    let mut queue = BinaryHeap::new();
    let push = |queue: &mut BinaryHeap<_>, items: &mut Vec<_>, at: Time, next: Next| {
        items.push(Some(next));
        queue.push(Reverse((at, items.len() - 1)));
    };
    for (i, arrival) in arrivals.iter().enumerate() {
        push(&mut queue, &mut items, arrival.at, Next::Arrive(i));
    }
    loop {
        let next = queue.peek().map(|Reverse((at, _))| *at);
        let (now, event) = match (next, dispatch.next_wake()) {
            (Some(at), Some(wake)) if wake < at => (wake, Event::Tick),
            (None, Some(wake)) => (wake, Event::Tick),
            (None, None) => break,
            (Some(_), _) => {
                let Reverse((at, i)) = queue.pop().unwrap();
                match items[i].take().unwrap() {
                    Next::Event(event) => (at, event),
                    Next::Arrive(i) => {
                        let mut job = job(i as u64, &arrivals[i], at);
                        let begun = match dispatch.admit(at, &job) {
                            Admission::Refuse(_) => {
                                outcomes[i].refused = true;
                                continue;
                            }
                            Admission::Start => true,
                            Admission::Queue => false,
                        };
                        job.mode = JobMode::Recorded { begun };
                        let event = Next::Event(Event::Submit(job));
                        push(&mut queue, &mut items, at + SYNC_WRITE, event);
                        continue;
                    }
                }
            }
        };
        for effect in dispatch.step(now, event) {
            let mut later = |after, event| {
                push(&mut queue, &mut items, now + after, Next::Event(event));
            };
            match effect {
                Effect::RecordBegin(jobs) => {
                    jobs.into_iter()
                        .for_each(|job| later(SYNC_WRITE, Event::BeginRecorded(job)));
                }
                Effect::Start { attempt, target } => {
                    let i = attempt.job.0 as usize;
                    outcomes[i].starts.push(now);
                    let service = arrivals[i].service[attempt.task as usize];
                    let service = service.mul_f64(time_factors[&target]);
                    later(
                        ROUND_TRIP + service,
                        settled(attempt, AttemptOutcome::Done { service }),
                    );
                }
                Effect::Stop { attempt, .. } => {
                    let message = "stopped".to_string();
                    later(
                        ROUND_TRIP,
                        settled(attempt, AttemptOutcome::Failed { message }),
                    );
                }
                Effect::Complete(job) => outcomes[job.0 as usize].complete = Some(now),
                Effect::Failed { .. } => {}
            }
        }
    }
    outcomes
}

fn settled(attempt: Attempt, outcome: AttemptOutcome) -> Event {
    Event::AttemptEnded { attempt, outcome }
}

/// A sample of an exponential distribution.
pub(crate) fn exponential(rng: &mut StdRng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}
