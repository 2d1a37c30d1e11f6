//! Submissions whose callers leave while they wait for the control thread.

use std::time::Duration;

use greengage_budget::Shares;
use greengage_cluster::{scheduler, Event, Outcome, Status};
use greengage_core::{Address, Name, RequestId, TargetName, Time, VmName, ZoneName};
use greengage_runtime::{inputs, run, Clock, Frontend, Input, Settings};

/// A front end whose callers all wait, or have all left.
struct Callers {
    waiting: bool,
    answered: Vec<RequestId>,
}

impl Frontend for Callers {
    fn answer(&mut self, request: RequestId, _: Outcome) {
        self.answered.push(request);
    }

    fn call(&mut self, _: TargetName, _: Address, _: u64, _: scheduler::TargetCall) {}

    fn is_waiting(&self, _: RequestId) -> bool {
        self.waiting
    }

    fn status_changed(&mut self, _: &Status) {}
}

fn submission(received: Time) -> Input {
    let job = scheduler::Submission {
        request: RequestId(1),
        host: "h".into(),
        path: "/q/j1".into(),
        id: Name::new("j1").unwrap(),
        spec: "".into(),
        steps: Vec::new(),
        body_bytes: 0,
        received,
        timeout: Duration::from_secs(30),
        unsupported: None,
    };
    Input::Event(Event::Scheduler(scheduler::Event::Submit(job)))
}

/// The requests that a VM answers of one submission that waits for its control thread.
fn answered(waiting: bool) -> Vec<RequestId> {
    let address = "127.0.0.1:0".parse().unwrap();
    let settings = Settings {
        vm: VmName::new("127.0.0.1").unwrap(),
        zone: ZoneName::new("north").unwrap(),
        entry: true,
        mesh_address: address,
        listen_address: address,
        api_address: None,
        seeds: Vec::new(),
        data_folder: None,
        bootstrap: true,
        voter_count: 1,
        grace_period: Duration::from_secs(1),
        stop_delay: Duration::ZERO,
        shares: Shares::new(None, None),
        report_interval: Duration::from_secs(1),
    };
    let (sender, inputs) = inputs();
    let now = Clock.now();
    sender.send(submission(now)).unwrap();
    let shutdown = Event::Shutdown { requested: now };
    sender.send(Input::Event(shutdown)).unwrap();
    let mut frontend = Callers {
        waiting,
        answered: Vec::new(),
    };
    run(&settings, sender, &inputs, &mut frontend).unwrap();
    frontend.answered
}

/// Guards against a job that is taken although its caller has left, and may have submitted it
/// elsewhere.
#[test]
fn job_of_a_caller_that_has_left_is_not_taken() {
    assert_eq!(answered(false), []);
    assert_eq!(answered(true), [RequestId(1)]);
}
