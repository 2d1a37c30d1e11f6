//! Start of jobs on one VM whose targets answer at once and run each task for its declared time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use greengage_config::{Document, Limits, Queue, Service};
use greengage_core::{
    Address, Demand, Incarnation, Name, Payload, RequestId, TargetName, Time, Version, VmName,
    WallTime, ZoneName,
};
use greengage_scheduler::{
    Candidate, Effect, EndKind, Event, HoldResult, Peer, PeerMessage, Reply, ResourceOffer, RunEnd,
    RunListing, Scheduler, Setup, StartResult, Step, Submission, TargetCall, TargetReport,
    DEFAULT_WEIGHT,
};

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn cores(cores: u32) -> Demand {
    Demand {
        milli_cores: cores * 1000,
        memory_mib: 64,
        accelerators: 0,
    }
}

/// Capacity for that many cores, and for any number of tasks on them.
fn room(of: u32) -> Demand {
    Demand {
        memory_mib: 4096,
        ..cores(of)
    }
}

fn report(name: &str, capacity: Demand) -> TargetReport {
    TargetReport {
        target: TargetName::new(name).unwrap(),
        service: "s".into(),
        address: Address::new(&format!("{name}:8080")).unwrap(),
        zone: ZoneName::new("a").unwrap(),
        capacity,
        labels: Vec::new(),
        draining: false,
        incarnation: Incarnation(1),
        sequence: 1,
    }
}

/// A run with its start and end.
struct Run {
    task: Arc<str>,
    number: u32,
    start: Time,
    end: Time,
}

impl Run {
    fn listed(&self, now: Time) -> RunListing {
        let (done, all) = (now.since(self.start), self.end.since(self.start));
        RunListing {
            task: self.task.clone(),
            run: self.number,
            percent: (done.as_millis() * 100 / all.as_millis()) as u32,
        }
    }
}

/// A target with its long poll (generation and end) and its runs.
#[derive(Default)]
struct Target {
    hold: Option<(u64, Time)>,
    runs: Vec<Run>,
    ended: Vec<RunEnd>,
    ends: u64,
}

struct Vm {
    scheduler: Scheduler,
    now: Time,
    targets: BTreeMap<TargetName, Target>,
    /// Run time in ms by the beginning of the task's name.
    run_ms: Vec<(String, u64)>,
    /// Tasks in the order of their starts, and the answers by request.
    started: Vec<(Time, String)>,
    answers: BTreeMap<u64, (Time, Reply)>,
    /// Offers of free resources that were sent last.
    offers: Vec<ResourceOffer>,
    result: StartResult,
}

impl Vm {
    /// A VM that owns targets with this capacity, and a queue whose jobs are in time within
    /// `slack_percent` of their run time.
    fn new(slack_percent: u32, reports: Vec<TargetReport>) -> Vm {
        let candidate = Candidate {
            vm: VmName::new("v1").unwrap(),
            zone: ZoneName::new("a").unwrap(),
            weight: DEFAULT_WEIGHT,
        };
        let setup = Setup {
            candidate,
            incarnation: Incarnation(1),
            stop_limit: millis(50),
            report_interval: millis(100),
        };
        let queue = Queue {
            name: "q".into(),
            host: "h".into(),
            prefix: "/q/".into(),
            service: "s".into(),
            timeout: millis(10_000),
            latency: millis(0),
            slack_percent,
            priority: 0,
            max_attempts: 3,
            uses_advisor: false,
        };
        let document = Document {
            version: Version(1),
            queues: vec![queue],
            services: vec![Service {
                name: "s".into(),
                max_connections: 64,
            }],
            limits: Limits {
                max_body_bytes: 1 << 18,
            },
            source: Payload::new(Vec::new()),
        };
        let now = Time::from_millis(1000);
        let mut vm = Vm {
            scheduler: Scheduler::new(now, setup),
            now,
            targets: BTreeMap::new(),
            run_ms: Vec::new(),
            started: Vec::new(),
            answers: BTreeMap::new(),
            offers: Vec::new(),
            result: StartResult::Running { clock: 1000 },
        };
        vm.step(Event::Configuration(document.validated().unwrap().into()));
        for report in reports {
            vm.step(Event::TargetReported(report));
        }
        vm.advance(3000);
        vm
    }

    fn step(&mut self, event: Event) {
        let mut events = vec![Event::CallersChecked { until: self.now }, event];
        while !events.is_empty() {
            let event = events.remove(0);
            let wall = WallTime(self.now.0 / 1000);
            for effect in self.scheduler.step(self.now, wall, event) {
                events.extend(self.carry_out(effect));
            }
        }
    }

    fn carry_out(&mut self, effect: Effect) -> Option<Event> {
        let clock = self.now.0 / 1000;
        match effect {
            Effect::Answer { request, reply } => {
                self.answers.insert(request.0, (self.now, reply));
                None
            }
            Effect::Send { message, .. } => {
                if let PeerMessage::Offers { offers, .. } = message {
                    self.offers = offers;
                }
                None
            }
            Effect::Call {
                target: name,
                generation,
                call,
                ..
            } => {
                let target = self.targets.entry(name.clone()).or_default();
                match call {
                    TargetCall::Hold(hold) => {
                        target.ended.retain(|end| end.number > hold.observed);
                        target.hold = Some((generation, self.now + hold.wait));
                        None
                    }
                    TargetCall::Start(start) => {
                        let mut result = self.result.clone();
                        if let StartResult::Running { clock: read } = &mut result {
                            *read = clock;
                            let known = |(task, _): &&(String, _)| start.task.starts_with(task);
                            let run_ms = self.run_ms.iter().find(known).unwrap().1;
                            target.runs.push(Run {
                                task: start.task.clone(),
                                number: start.number,
                                start: self.now,
                                end: self.now + millis(run_ms),
                            });
                            self.started.push((self.now, start.task.to_string()));
                        }
                        Some(Event::StartEnded {
                            target: name,
                            task: start.task,
                            number: start.number,
                            generation,
                            result,
                        })
                    }
                    TargetCall::Stop(_) => None,
                }
            }
        }
    }

    fn advance(&mut self, ms: u64) {
        for _ in 0..ms / 5 {
            self.now = self.now + millis(5);
            let now = self.now;
            let names: Vec<TargetName> = self.targets.keys().cloned().collect();
            for name in names {
                let target = self.targets.get_mut(&name).unwrap();
                for run in target.runs.extract_if(.., |run| run.end <= now) {
                    target.ends += 1;
                    target.ended.push(RunEnd {
                        number: target.ends,
                        task: run.task,
                        run: run.number,
                        kind: EndKind::Done,
                    });
                }
                let due = |hold: &mut (u64, Time)| now >= hold.1 || !target.ended.is_empty();
                if let Some((generation, _)) = target.hold.take_if(due) {
                    let result = HoldResult::Lists {
                        clock: now.0 / 1000,
                        incarnation: Some(Incarnation(1)),
                        running: target.runs.iter().map(|run| run.listed(now)).collect(),
                        ended: target.ended.clone(),
                    };
                    self.step(Event::HoldEnded {
                        target: name,
                        generation,
                        result,
                    });
                }
            }
            self.step(Event::Tick);
        }
    }

    /// Submits a job of `steps`, each after the one before, of tasks with a demand and a run time.
    fn submit(&mut self, request: u64, steps: &[(u32, Demand, u64)]) {
        let id = format!("j{request}");
        let step = |(i, (count, demand, run_ms)): (usize, &(u32, Demand, u64))| {
            self.run_ms.push((format!("{id}.0.{i}."), *run_ms));
            Step {
                count: *count,
                demand: *demand,
                declared: millis(*run_ms),
                depends_on: (0..i as u32).rev().take(1).collect(),
                label: None,
            }
        };
        let steps = steps.iter().enumerate().map(step).collect();
        self.step(Event::Submit(Submission {
            request: RequestId(request),
            host: "h".into(),
            path: format!("/q/{id}").into(),
            id: Name::new(&id).unwrap(),
            spec: "".into(),
            steps,
            body_bytes: 100,
            received: self.now,
            timeout: millis(10_000),
            unsupported: None,
        }));
    }

    /// Number of tasks of a job that were started.
    fn starts_of(&self, request: u64) -> usize {
        let prefix = format!("j{request}.");
        let of_job = |(_, task): &&(Time, String)| task.starts_with(&prefix);
        self.started.iter().filter(of_job).count()
    }

    fn has_completed(&self, request: u64) -> bool {
        let answer = self.answers.get(&request);
        matches!(answer, Some((_, Reply::Completed)))
    }
}

/// Guards against a job that never starts, because targets that can't be used, or that lack another
/// resource than cores, count as able to run all of its tasks at once.
#[test]
fn job_wider_than_the_usable_targets_goes_in_waves() {
    let small_memory = Demand {
        milli_cores: 64_000,
        ..cores(0)
    };
    let mut draining = report("t1", cores(64));
    draining.draining = true;
    for unusable in [draining, report("t1", small_memory)] {
        let seen = format!("{unusable:?}");
        let mut vm = Vm::new(150, vec![report("t0", two_tasks()), unusable]);
        vm.submit(1, &[(8, one_task(), 200)]);
        vm.advance(1500);
        assert_eq!(
            vm.answers.get(&1).map(|a| &a.1),
            Some(&Reply::Completed),
            "{seen}"
        );
    }
}

fn one_task() -> Demand {
    Demand {
        memory_mib: 100,
        ..cores(4)
    }
}

fn two_tasks() -> Demand {
    Demand {
        memory_mib: 200,
        ..cores(8)
    }
}

/// Guards against a job that is refused because its targets pause for a moment.
#[test]
fn job_waits_for_a_target_that_pauses_after_a_start_without_effect() {
    let mut vm = Vm::new(300, vec![report("t0", two_tasks())]);
    vm.result = StartResult::NoRoom;
    vm.submit(1, &[(1, one_task(), 40)]);
    vm.result = StartResult::Running { clock: 0 };
    vm.submit(2, &[(1, one_task(), 40)]);
    assert_eq!(vm.starts_of(2), 0);
    vm.advance(200);
    assert!(vm.has_completed(2), "{:?}", vm.answers);
}

/// Guards against room that is expected beyond the capacity of a target, which has become smaller
/// than what runs there.
#[test]
fn no_room_is_kept_beyond_the_capacity_of_a_target() {
    let mut vm = Vm::new(400, vec![report("t0", room(16))]);
    vm.submit(1, &[(1, cores(8), 1000)]);
    vm.submit(2, &[(1, cores(8), 140)]);
    let mut smaller = report("t0", room(8));
    smaller.sequence = 2;
    vm.step(Event::TargetReported(smaller));
    vm.submit(3, &[(1, cores(8), 100)]);
    vm.advance(125);
    let answer = vm.answers.get(&3).map(|answer| &answer.1);
    assert!(matches!(answer, Some(Reply::Refused { .. })), "{answer:?}");
}

/// Guards against peers that send tasks into room which is kept for this VM's own jobs.
#[test]
fn peers_are_told_at_once_of_room_that_is_kept() {
    let mut vm = Vm::new(400, vec![report("t0", room(16))]);
    let candidate = Candidate {
        vm: VmName::new("v2").unwrap(),
        zone: ZoneName::new("b").unwrap(),
        weight: DEFAULT_WEIGHT,
    };
    vm.step(Event::Peers(vec![Peer {
        candidate: candidate.clone(),
        incarnation: Incarnation(1),
        leaving: false,
    }]));
    vm.step(Event::Peer {
        from: candidate.vm,
        sent: vm.now,
        message: PeerMessage::Offers {
            owned: Vec::new(),
            offers: Vec::new(),
            shortage: true,
            time_left: None,
        },
    });
    // This VM is short of room, which is told for a second, and gets it back.
    vm.submit(1, &[(1, cores(16), 100)]);
    vm.submit(2, &[(1, cores(16), 100)]);
    vm.advance(310);
    vm.submit(3, &[(1, cores(8), 100)]);
    vm.advance(50);
    assert_eq!(vm.offers.len(), 1, "half of the target is free");
    vm.submit(4, &[(1, cores(16), 100)]);
    vm.advance(30);
    assert_eq!((vm.starts_of(4), vm.offers.len()), (0, 0), "half is kept");
}

/// Guards against a first step that waits until the later ones can't end in time any more.
#[test]
fn first_step_leaves_time_for_the_later_ones() {
    let mut vm = Vm::new(150, vec![report("t0", room(8))]);
    vm.submit(1, &[(1, cores(8), 240)]);
    // It counts as in time until 600 ms, and would end after 640 ms.
    vm.submit(2, &[(1, cores(8), 100), (1, cores(8), 300)]);
    vm.advance(200);
    let answer = vm.answers.get(&2).map(|answer| &answer.1);
    assert!(matches!(answer, Some(Reply::Refused { .. })), "{answer:?}");
}

/// Guards against a started job that keeps room although it will be late on any target.
#[test]
fn late_job_keeps_no_room_from_jobs_in_time() {
    let mut vm = Vm::new(150, vec![report("t0", room(16))]);
    vm.run_ms.push(("j1.0.0.".into(), 500));
    vm.submit(1, &[(1, cores(8), 100), (1, cores(16), 100)]);
    vm.submit(2, &[(1, cores(8), 10)]);
    vm.advance(350);
    vm.submit(3, &[(1, cores(8), 300)]);
    vm.advance(160);
    assert_eq!(
        (vm.starts_of(1), vm.starts_of(3)),
        (1, 1),
        "{:?} {:?}",
        vm.answers,
        vm.started
    );
    vm.submit(4, &[(1, cores(8), 200)]);
    assert_eq!(vm.starts_of(4), 1, "half is free");
}

/// Guards against a job that starts late in the room that is kept for one which will be in time.
#[test]
fn job_that_starts_late_takes_no_kept_room() {
    let mut vm = Vm::new(300, vec![report("t0", room(16)), report("a0", room(10))]);
    // Ten runs make the backlog short, for which a job is refused at once.
    vm.submit(1, &[(10, cores(1), 2000)]);
    vm.submit(2, &[(1, cores(8), 250)]);
    vm.submit(3, &[(1, cores(16), 260)]);
    vm.submit(4, &[(1, cores(8), 280)]);
    vm.advance(195);
    assert!(!vm.answers.contains_key(&4));
    vm.advance(70);
    assert_eq!(
        (vm.starts_of(3), vm.starts_of(4)),
        (1, 0),
        "{:?} {:?}",
        vm.answers,
        vm.started
    );
    assert!(vm.answers.contains_key(&4), "refused at its longest wait");
}

/// Guards against a job that is refused although there is room for it and only its objective is
/// missed.
#[test]
fn job_that_can_only_be_late_starts_at_its_longest_wait() {
    let mut vm = Vm::new(100, vec![report("t0", room(8)), report("a0", room(10))]);
    vm.submit(1, &[(10, cores(1), 2000)]);
    vm.advance(600);
    vm.submit(2, &[(1, cores(8), 400)]);
    vm.advance(90);
    assert_eq!((vm.starts_of(1), vm.starts_of(2)), (10, 0));
    vm.advance(450);
    assert!(vm.has_completed(2), "{:?}", vm.answers);
}

/// Guards against a job that starts, and ends with an unknown outcome, although no usable target has the
/// label of one of its steps.
#[test]
fn job_with_a_step_that_no_usable_target_runs_is_not_started() {
    let mut labelled = report("t1", cores(16));
    labelled.labels = vec!["x".into()];
    labelled.draining = true;
    let mut vm = Vm::new(150, vec![report("t0", cores(16)), labelled]);
    vm.run_ms.push(("j1.0.".into(), 200));
    let one = |label: Option<&str>| Step {
        count: 1,
        demand: cores(4),
        declared: millis(200),
        depends_on: Vec::new(),
        label: label.map(Into::into),
    };
    vm.step(Event::Submit(Submission {
        request: RequestId(1),
        host: "h".into(),
        path: "/q/j1".into(),
        id: Name::new("j1").unwrap(),
        spec: "".into(),
        steps: vec![one(None), one(Some("x"))],
        body_bytes: 100,
        received: vm.now,
        timeout: millis(3_000),
        unsupported: None,
    }));
    vm.advance(3000);
    assert_eq!(vm.started, []);
    let answer = vm.answers.get(&1).map(|a| &a.1);
    assert!(matches!(answer, Some(Reply::Refused { .. })), "{answer:?}");
}
