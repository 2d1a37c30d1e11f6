//! Starts per second, bytes per queued task, and the time per admission and cancellation.

use std::time::{Duration, Instant};

use greengage_core::{JobNumber, Time};
use greengage_dispatch::{Attempt, AttemptOutcome, Dispatch, Effect, Event, Job, JobMode, Tuning};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use crate::model::{self, Arrival};

const ACCOUNTS: usize = 150;
const WORKS: [&str; 4] = ["a", "b", "c", "d"];
const TARGET_COUNTS: [usize; 3] = [50, 500, 4400];
const QUEUE_LENGTHS: [usize; 3] = [1000, 100_000, 1_000_000];
const START_COUNT: usize = 300_000;
const CANCEL_COUNT: usize = 100_000;

struct Bench {
    dispatch: Dispatch,
    rng: StdRng,
    /// One job for each account and kind of work, to be copied.
    templates: Vec<Job>,
    next: u64,
    now: Time,
    running: Vec<Attempt>,
}

impl Bench {
    fn job(&mut self) -> Job {
        self.next += 1;
        let mut job = self.templates[self.rng.random_range(0..self.templates.len())].clone();
        job.number = JobNumber(self.next);
        job
    }

    fn step(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for effect in self.dispatch.step(self.now, event) {
                match effect {
                    Effect::RecordBegin(jobs) => {
                        events.extend(jobs.into_iter().map(Event::BeginRecorded))
                    }
                    Effect::Start { attempt, .. } => self.running.push(attempt),
                    Effect::Stop { .. } | Effect::Complete(_) | Effect::Failed { .. } => {}
                }
            }
        }
    }

    fn settle(&mut self) {
        let i = self.rng.random_range(0..self.running.len());
        let attempt = self.running.swap_remove(i);
        let service = Duration::from_micros(self.rng.random_range(50_000..150_000));
        let outcome = AttemptOutcome::Done { service };
        self.step(Event::AttemptEnded { attempt, outcome });
    }
}

fn templates(mode: JobMode, tasks: usize) -> Vec<Job> {
    let mut jobs = Vec::new();
    for account in 0..ACCOUNTS {
        for work in WORKS {
            let arrival = Arrival {
                at: Time(0),
                account: format!("a{account}").leak(),
                work,
                declared: Duration::from_millis(100),
                service: vec![Duration::ZERO; tasks],
                deadline: Duration::from_secs(3600),
            };
            let mut job = model::job(0, &arrival, Time(0));
            job.mode = mode;
            jobs.push(job);
        }
    }
    jobs
}

/// CPU time of the main thread, which excludes other processes of the machine.
fn cpu_time() -> Duration {
    let text = std::fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    let nanos = text.split(' ').next().and_then(|n| n.parse().ok());
    Duration::from_nanos(nanos.expect("/proc/self/schedstat has the time on a processor"))
}

/// Resident memory of this process in bytes.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: usize = text
        .split(' ')
        .nth(1)
        .and_then(|p| p.parse().ok())
        .unwrap_or(0);
    pages * 4096
}

fn measure(targets: usize, queue: usize, mode: JobMode, tasks: usize, seed: u64) {
    let mut tuning = Tuning::default();
    tuning.limits.max_tasks = u32::MAX;
    let mut bench = Bench {
        dispatch: Dispatch::new(tuning, seed),
        rng: StdRng::seed_from_u64(seed),
        templates: templates(mode, tasks),
        next: 0,
        now: Time(0),
        running: Vec::new(),
    };
    for t in 0..targets {
        bench.step(Event::TargetAnnounced(model::executor(
            &format!("t{t}"),
            &WORKS,
        )));
    }
    for _ in 0..targets * 8 / tasks {
        let job = bench.job();
        bench.step(Event::Submit(job));
    }
    let before = resident_bytes();
    for _ in 0..queue / tasks {
        bench.now = bench.now + Duration::from_micros(1);
        let job = bench.job();
        bench.step(Event::Submit(job));
    }
    let bytes = resident_bytes().saturating_sub(before) / queue;
    let begin = cpu_time();
    for _ in 0..START_COUNT {
        bench.now = bench.now + Duration::from_micros(2);
        bench.settle();
        if bench.dispatch.queued_tasks() < queue as u64 {
            let job = bench.job();
            bench.step(Event::Submit(job));
        }
    }
    let rate = START_COUNT as f64 / (cpu_time() - begin).as_secs_f64();
    let admitted = Instant::now();
    for _ in 0..10_000 {
        let job = bench.job();
        bench.dispatch.admit(bench.now, &job);
    }
    let admit = admitted.elapsed().as_nanos() / 10_000;
    let mut cancel = String::from("      -");
    if queue / tasks >= CANCEL_COUNT {
        let mut numbers: Vec<u64> = (0..=bench.next).collect();
        numbers.shuffle(&mut bench.rng);
        let begin = Instant::now();
        let (mut count, mut slowest) = (0, Duration::ZERO);
        for number in numbers {
            let one = Instant::now();
            bench.step(Event::Cancel(JobNumber(number)));
            slowest = slowest.max(one.elapsed());
            count += 1;
            if count == CANCEL_COUNT {
                break;
            }
        }
        let mean = begin.elapsed().as_nanos() / count as u128;
        cancel = format!("{mean:5} ns (slowest {} us)", slowest.as_micros());
    }
    println!(
        "{targets:7} {queue:9} {rate:10.0} {bytes:6} {admit:8} {cancel}   {mode:?}, {tasks} tasks"
    );
}

pub(crate) fn run(seed: u64) {
    println!("targets    queued   starts/s  bytes admit ns cancellation");
    let repeatable = JobMode::Repeatable { retries: 2 };
    let recorded = JobMode::Recorded { begun: false };
    for (mode, tasks) in [(repeatable, 1), (recorded, 1), (recorded, 10)] {
        for targets in TARGET_COUNTS {
            for queue in QUEUE_LENGTHS {
                measure(targets, queue, mode, tasks, seed);
            }
        }
    }
}
