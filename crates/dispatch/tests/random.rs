//! Randomised test over all events. After each event all counters are consistent, no task of a
//! recorded job starts again unless it is known not to have run, and no job ends twice. When all
//! deadlines have passed, each job has ended.
//!
//! `GREENGAGE_SEED` sets the first seed and `GREENGAGE_CASES` the number of runs.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use greengage_core::{
    AccountName, Capacity, Demand, GuardAction, JobNumber, RackName, Spread, TargetKind,
    TargetName, TemplateName, Time,
};
use greengage_dispatch::{
    Admission, Attempt, AttemptOutcome, Dispatch, Effect, Event, Job, JobMode, Limits, Placement,
    RunningAttempt, Share, TargetSpec, Tuning,
};
use greengage_membership::Standing;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

const EVENTS_PER_RUN: usize = 1500;

fn env_number(name: &str, default: u64) -> u64 {
    match std::env::var(name) {
        Ok(text) => text
            .parse()
            .unwrap_or_else(|_| panic!("{name} is not a number: {text}")),
        Err(_) => default,
    }
}

/// The expected state, from the events sent and the effects returned.
#[derive(Default)]
struct Model {
    now: Time,
    last_job: u64,
    /// Jobs that haven't ended: whether they are recorded, and their number of tasks.
    open_jobs: BTreeMap<JobNumber, (bool, u32)>,
    begins: Vec<JobNumber>,
    begun: BTreeSet<JobNumber>,
    running: BTreeMap<Attempt, TargetName>,
    /// Tasks with a start that isn't known to be `NotRun`.
    possible_runs: BTreeSet<(JobNumber, u32)>,
    done: BTreeMap<JobNumber, u32>,
}

fn random_name(rng: &mut StdRng, prefix: &str, count: u32) -> String {
    format!("{prefix}{}", rng.random_range(0..count))
}

impl Model {
    fn job(&mut self, rng: &mut StdRng) -> Job {
        self.last_job += 1;
        let kind = *[TargetKind::Executor, TargetKind::Worker]
            .choose(rng)
            .unwrap();
        let modes = [
            JobMode::Recorded { begun: false },
            JobMode::Recorded { begun: true },
            JobMode::Repeatable { retries: 2 },
        ];
        Job {
            number: JobNumber(self.last_job),
            account: AccountName::new(&random_name(rng, "a", 4)).unwrap(),
            work: TemplateName::new(&random_name(rng, "w", 4)).unwrap(),
            tasks: *[1, 1, 2, 5, 70].choose(rng).unwrap(),
            target_kind: kind,
            demand: Demand {
                milli_cores: rng.random_range(0..5) * 500,
                memory_mib: rng.random_range(0..3) * 1000,
                accelerators: rng.random_range(0..8) / 7,
            },
            spread: *[Spread::Any, Spread::Racks].choose(rng).unwrap(),
            deadline: self.now + Duration::from_millis(rng.random_range(0..5000)),
            declared: Duration::from_millis(rng.random_range(0..3000)),
            mode: *modes.choose(rng).unwrap(),
            bytes: rng.random_range(0..1000),
        }
    }

    fn target(&self, rng: &mut StdRng) -> TargetSpec {
        let n = rng.random_range(0..8);
        let capacity = match n % 2 {
            0 => Capacity::Executor {
                slots: rng.random_range(0..6),
                connections: 60,
            },
            _ => Capacity::Worker(Demand {
                milli_cores: rng.random_range(0..10) * 1000,
                memory_mib: 8000,
                accelerators: rng.random_range(0..2),
            }),
        };
        TargetSpec {
            target: TargetName::new(&format!("t{n}")).unwrap(),
            rack: (n % 3 > 0).then(|| RackName::new(&format!("r{}", n % 3)).unwrap()),
            work: (0..4)
                .filter(|_| rng.random_bool(0.6))
                .map(|w| TemplateName::new(&format!("w{w}")).unwrap())
                .collect(),
            capacity,
        }
    }

    fn event(&mut self, rng: &mut StdRng) -> Event {
        let target = TargetName::new(&random_name(rng, "t", 8)).unwrap();
        match rng.random_range(0..100) {
            0..25 => self.submit(rng),
            25..27 => self.adopt(rng),
            27..70 if !self.running.is_empty() => self.settle(rng),
            27..45 if !self.begins.is_empty() => {
                let i = rng.random_range(0..self.begins.len());
                let job = self.begins.swap_remove(i);
                self.begun.insert(job);
                Event::BeginRecorded(job)
            }
            70..74 => Event::Cancel(JobNumber(rng.random_range(0..=self.last_job))),
            74..82 => Event::TargetAnnounced(self.target(rng)),
            82..85 => Event::TargetRemoved(target),
            85..89 => Event::TargetStanding {
                target,
                standing: *[
                    Standing::Live,
                    Standing::Live,
                    Standing::Probation,
                    Standing::Ejected,
                    Standing::Suspect,
                    Standing::Leaving,
                ]
                .choose(rng)
                .unwrap(),
            },
            89..92 => Event::WorkerUsage {
                target,
                used: Demand {
                    milli_cores: rng.random_range(0..6000),
                    memory_mib: rng.random_range(0..6000),
                    accelerators: 0,
                },
            },
            92..95 => Event::SetShare {
                work: TemplateName::new(&random_name(rng, "w", 4)).unwrap(),
                account: AccountName::new(&random_name(rng, "a", 4)).unwrap(),
                share: Share {
                    weight: rng.random_range(0..5),
                    quota: rng.random_range(0..100),
                    concurrency: rng.random_range(0..20),
                    burst: rng.random_range(0..10),
                },
            },
            _ => Event::Tick,
        }
    }

    fn submit(&mut self, rng: &mut StdRng) -> Event {
        let job = self.job(rng);
        let recorded = matches!(job.mode, JobMode::Recorded { .. });
        if job.mode == (JobMode::Recorded { begun: true }) {
            self.begun.insert(job.number);
        }
        self.open_jobs.insert(job.number, (recorded, job.tasks));
        Event::Submit(job)
    }

    fn adopt(&mut self, rng: &mut StdRng) -> Event {
        let mut job = self.job(rng);
        job.mode = JobMode::Recorded { begun: true };
        self.open_jobs.insert(job.number, (true, job.tasks));
        self.begun.insert(job.number);
        let mut done = Vec::new();
        let mut running = Vec::new();
        for task in 0..job.tasks {
            let attempt = Attempt {
                job: job.number,
                task,
                number: 1,
            };
            match rng.random_range(0..4) {
                0 => done.push(task),
                1 => running.push(RunningAttempt {
                    attempt,
                    target: TargetName::new(&random_name(rng, "t", 10)).unwrap(),
                }),
                _ => continue,
            }
            self.possible_runs.insert((job.number, task));
        }
        self.done.insert(job.number, done.len() as u32);
        for run in &running {
            self.running.insert(run.attempt, run.target.clone());
        }
        Event::Adopt { job, done, running }
    }

    fn settle(&mut self, rng: &mut StdRng) -> Event {
        let i = rng.random_range(0..self.running.len());
        let attempt = *self.running.keys().nth(i).unwrap();
        let outcome = match rng.random_range(0..20) {
            0 => AttemptOutcome::Failed {
                message: "failed".into(),
            },
            1 => AttemptOutcome::Lost,
            2..5 => AttemptOutcome::NotRun,
            5 => AttemptOutcome::Guard(GuardAction::Throttled),
            6 => AttemptOutcome::Guard(GuardAction::Stopped),
            _ => AttemptOutcome::Done {
                service: Duration::from_millis(rng.random_range(1..2000)),
            },
        };
        if outcome != AttemptOutcome::Guard(GuardAction::Throttled) {
            self.running.remove(&attempt);
        }
        if outcome == AttemptOutcome::NotRun {
            self.possible_runs.remove(&(attempt.job, attempt.task));
        }
        if let AttemptOutcome::Done { .. } = outcome {
            *self.done.entry(attempt.job).or_default() += 1;
        }
        Event::AttemptEnded { attempt, outcome }
    }

    fn check(&mut self, effects: &[Effect]) {
        for effect in effects {
            match effect {
                Effect::RecordBegin(jobs) => {
                    for job in jobs {
                        assert!(!self.begun.contains(job), "{job} begins twice");
                        assert!(!self.begins.contains(job), "{job} begins twice");
                        self.begins.push(*job);
                    }
                }
                Effect::Start { attempt, target } => {
                    let (recorded, tasks) = self.open_jobs[&attempt.job];
                    assert!(
                        attempt.task < tasks,
                        "{attempt:?}: the job has no such task"
                    );
                    let new = self.possible_runs.insert((attempt.job, attempt.task));
                    assert!(new || !recorded, "{attempt:?} starts a second time");
                    assert!(
                        !recorded || self.begun.contains(&attempt.job),
                        "{attempt:?} starts before its job is begun"
                    );
                    let old = self.running.insert(*attempt, target.clone());
                    assert!(
                        old.is_none(),
                        "{attempt:?} has the number of a running attempt"
                    );
                }
                Effect::Stop { attempt, target } => {
                    assert_eq!(
                        self.running.get(attempt),
                        Some(target),
                        "stopped an attempt that isn't running"
                    );
                }
                Effect::Complete(job) => {
                    let (_, tasks) = self.open_jobs.remove(job).expect("a job ends once");
                    assert_eq!(
                        self.done.get(job).copied().unwrap_or(0),
                        tasks,
                        "completed with missing results"
                    );
                }
                Effect::Failed { job, .. } => {
                    self.open_jobs.remove(job).expect("a job ends once");
                }
            }
        }
    }
}

fn run(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let tuning = Tuning {
        placement: *[Placement::Random, Placement::Fastest]
            .choose(&mut rng)
            .unwrap(),
        fair_share: rng.random_bool(0.7),
        shortest_first: rng.random_bool(0.7),
        reserve_percent: rng.random_range(0..60),
        refuse_late: rng.random(),
        limits: Limits {
            max_overtake: Duration::from_millis(rng.random_range(0..3000)),
            ..Tuning::default().limits
        },
        ..Tuning::default()
    };
    let mut dispatch = Dispatch::new(tuning, seed);
    let mut model = Model::default();
    for n in 0..EVENTS_PER_RUN {
        model.now = model.now + Duration::from_millis(rng.random_range(0..20));
        if rng.random_bool(0.2) {
            let job = model.job(&mut rng);
            let before = dispatch.queued_tasks();
            let _: Admission = dispatch.admit(model.now, &job);
            assert_eq!(before, dispatch.queued_tasks(), "admit changed the queue");
        }
        let event = model.event(&mut rng);
        let event_text = format!("{event:?}");
        let effects = dispatch.step(model.now, event);
        model.check(&effects);
        if let Err(message) = dispatch.verify() {
            panic!("seed {seed}, event {n}, {event_text}: {message}");
        }
    }
    // After all attempts are settled and all deadlines have passed, no state may remain.
    while let Some((attempt, _)) = model.running.pop_first() {
        let outcome = AttemptOutcome::Lost;
        let effects = dispatch.step(model.now, Event::AttemptEnded { attempt, outcome });
        model.check(&effects);
    }
    while let Some(at) = dispatch.next_wake() {
        model.now = model.now.max(at);
        let effects = dispatch.step(model.now, Event::Tick);
        model.check(&effects);
        while let Some((attempt, _)) = model.running.pop_first() {
            let outcome = AttemptOutcome::Lost;
            let effects = dispatch.step(model.now, Event::AttemptEnded { attempt, outcome });
            model.check(&effects);
        }
    }
    assert!(
        model.open_jobs.is_empty(),
        "seed {seed}: jobs that never ended: {:?}",
        model.open_jobs
    );
    assert_eq!(
        (
            dispatch.jobs(),
            dispatch.running_tasks(),
            dispatch.queued_tasks()
        ),
        (0, 0, 0)
    );
    assert_eq!(dispatch.queued_bytes(), 0);
}

#[test]
fn counters_and_at_most_once_hold_over_random_events() {
    let seed = env_number("GREENGAGE_SEED", 1);
    for case in 0..env_number("GREENGAGE_CASES", 12) {
        run(seed + case);
    }
}
