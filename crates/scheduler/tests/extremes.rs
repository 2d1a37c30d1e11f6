//! Values at the ends of their ranges, as another writer may send them.

use std::time::Duration;

use greengage_config::{Document, Limits, Queue, Service};
use greengage_core::{
    Address, Demand, Incarnation, Name, Payload, RequestId, TargetName, Time, Version, VmName,
    WallTime, ZoneName,
};
use greengage_scheduler::{
    Candidate, Effect, Event, HoldResult, Scheduler, Setup, StartResult, Step, Submission,
    TargetCall, TargetReport, DEFAULT_WEIGHT,
};

const NUMBERS: [u32; 3] = [0, 1, u32::MAX];
const TIMES: [u64; 3] = [0, 1, (1 << 53) - 1];

fn demand(number: u32) -> Demand {
    Demand {
        milli_cores: number,
        memory_mib: number,
        accelerators: number,
    }
}

fn report(name: &str, capacity: u32, order: u64) -> TargetReport {
    TargetReport {
        target: TargetName::new(name).unwrap(),
        service: "s".into(),
        address: Address::new(&format!("{name}:8080")).unwrap(),
        zone: ZoneName::new("a").unwrap(),
        capacity: demand(capacity),
        labels: Vec::new(),
        draining: false,
        incarnation: Incarnation(order),
        sequence: order,
    }
}

fn document(time: Duration, number: u32) -> Document {
    let queue = Queue {
        name: "q".into(),
        host: "h".into(),
        prefix: "/q/".into(),
        service: "s".into(),
        timeout: time,
        latency: time,
        slack_percent: number,
        priority: number,
        max_attempts: number,
        uses_advisor: false,
    };
    Document {
        version: Version(1),
        queues: vec![queue],
        services: vec![Service {
            name: "s".into(),
            max_connections: number,
        }],
        limits: Limits {
            max_body_bytes: u64::MAX,
        },
        source: Payload::new(Vec::new()),
    }
}

fn job(request: u64, received: Time, demand: Demand, times: [Duration; 2]) -> Submission {
    let [declared, timeout] = times;
    Submission {
        request: RequestId(request),
        host: "h".into(),
        path: format!("/q/j{request}").into(),
        id: Name::new(&format!("j{request}")).unwrap(),
        spec: "".into(),
        steps: vec![Step {
            count: 3,
            demand,
            declared,
            depends_on: Vec::new(),
            label: None,
        }],
        body_bytes: u64::MAX,
        received,
        timeout,
        unsupported: None,
    }
}

/// A VM whose targets answer each call at once, with a clock that shows `clock`.
struct Vm {
    scheduler: Scheduler,
    now: Time,
    clock: u64,
    answered: usize,
}

impl Vm {
    fn new(clock: u64) -> Vm {
        let now = Time::from_millis(1000);
        let candidate = Candidate {
            vm: VmName::new("v1").unwrap(),
            zone: ZoneName::new("a").unwrap(),
            weight: DEFAULT_WEIGHT,
        };
        let setup = Setup {
            candidate,
            incarnation: Incarnation(1),
            stop_limit: Duration::from_millis(50),
            report_interval: Duration::from_millis(100),
        };
        Vm {
            scheduler: Scheduler::new(now, setup),
            now,
            clock,
            answered: 0,
        }
    }

    fn step(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let wall = WallTime(self.now.0 / 1000);
            for effect in self.scheduler.step(self.now, wall, event) {
                match effect {
                    Effect::Call {
                        target,
                        generation,
                        call: TargetCall::Start(start),
                        ..
                    } => events.push(Event::StartEnded {
                        target,
                        task: start.task,
                        number: start.number,
                        generation,
                        result: StartResult::Running { clock: self.clock },
                    }),
                    Effect::Call {
                        target,
                        generation,
                        call: TargetCall::Hold(hold),
                        ..
                    } if hold.wait < Duration::from_millis(100) => events.push(Event::HoldEnded {
                        target,
                        generation,
                        result: HoldResult::Lists {
                            clock: self.clock,
                            incarnation: None,
                            running: Vec::new(),
                            ended: Vec::new(),
                        },
                    }),
                    Effect::Answer { .. } => self.answered += 1,
                    Effect::Call { .. } | Effect::Send { .. } => {}
                }
            }
        }
    }

    fn advance(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now = self.now + Duration::from_millis(10);
            self.step(Event::CallersChecked { until: self.now });
            self.step(Event::Tick);
        }
    }
}

/// Guards against a report, a configuration or a job whose numbers end the control thread.
#[test]
fn extreme_numbers_end_no_process() {
    for time in TIMES {
        for number in NUMBERS {
            let mut vm = Vm::new(time);
            let duration = Duration::from_millis(time);
            vm.step(Event::Configuration(document(duration, number).into()));
            for (i, capacity) in NUMBERS.into_iter().enumerate() {
                let report = report(&format!("t{i}"), capacity, time);
                vm.step(Event::TargetReported(report));
            }
            vm.advance(2000);
            let mut request = 0;
            for timeout in TIMES {
                for declared in [Duration::from_millis(1), Duration::from_secs(86_400)] {
                    request += 1;
                    let timeout = Duration::from_millis(timeout);
                    let job = job(request, vm.now, demand(number), [declared, timeout]);
                    vm.step(Event::Submit(job));
                }
            }
            vm.advance(1000);
            assert!(vm.answered > 0, "{time} {number}");
        }
    }
}
