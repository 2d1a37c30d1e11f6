//! Callers of a VM that shuts down.

use std::time::Duration;

use greengage_core::{RequestId, Time};
use greengage_scheduler::{Event, Reply};

use crate::support::{Simulation, SHUTDOWN_ANSWER_LIMIT};

const SECOND: Duration = Duration::from_secs(1);
/// The longest time from the end of a job's time until its caller is answered.
const REVIEW_DELAY: Duration = Duration::from_millis(25);

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Submits a job with one task of this length to VM 0.
fn submit_task(sim: &mut Simulation, work: Duration) -> usize {
    sim.submit(0, 0, vec![work])
}

fn answer(sim: &Simulation, caller: usize) -> (Time, Reply) {
    sim.callers[caller].answer.clone().expect("an answer")
}

/// Guards against a process that exits while a caller still waits for a long job.
#[test]
fn job_that_outlasts_the_shutdown_is_answered_before_its_end() {
    let mut sim = Simulation::new(41, 2, 6);
    let caller = submit_task(&mut sim, SECOND * 12);
    sim.run(millis(100));
    let started = sim.now;
    sim.shut_down_vm(0);
    sim.run(SHUTDOWN_ANSWER_LIMIT + REVIEW_DELAY);
    let (time, reply) = answer(&sim, caller);
    assert_eq!(reply, Reply::TimedOut);
    assert!(time.since(started) >= SHUTDOWN_ANSWER_LIMIT, "{time:?}");
}

/// Guards against a job that is submitted again during a shutdown and so outlasts it.
#[test]
fn resubmission_does_not_extend_a_job_beyond_the_shutdown() {
    let mut sim = Simulation::new(44, 2, 6);
    let caller = submit_task(&mut sim, SECOND * 12);
    sim.run(millis(100));
    sim.shut_down_vm(0);
    sim.run(SECOND);
    sim.submit_now(caller);
    sim.run(SHUTDOWN_ANSWER_LIMIT - SECOND + REVIEW_DELAY);
    assert_eq!(answer(&sim, caller).1, Reply::TimedOut);
    assert_eq!(sim.vms[0].scheduler.callers(), 0);
}

/// Guards against accepting a job during a shutdown that would end after it.
#[test]
fn job_that_would_outlast_the_shutdown_is_refused_at_once() {
    let mut sim = Simulation::new(42, 2, 6);
    sim.shut_down_vm(0);
    sim.run(millis(300));
    let (long, short) = (
        submit_task(&mut sim, SECOND * 4),
        submit_task(&mut sim, millis(200)),
    );
    let sent = sim.now;
    sim.run(SECOND);
    let (time, reply) = answer(&sim, long);
    assert!(matches!(reply, Reply::Refused { .. }), "{reply:?}");
    assert!(time.since(sent) < millis(20), "{time:?}");
    assert_eq!(answer(&sim, short).1, Reply::Completed);
}

/// Guards against an exit that leaves the callers of running or waiting jobs without an answer.
#[test]
fn exit_answers_running_and_waiting_jobs() {
    let mut sim = Simulation::new(43, 1, 1);
    for _ in 0..4 {
        submit_task(&mut sim, SECOND * 3);
    }
    sim.run(millis(100));
    assert!(sim.callers.iter().any(|c| c.answer.is_none()));
    sim.answer_all(0);
    let replies: Vec<Reply> = (0..4).map(|caller| answer(&sim, caller).1).collect();
    assert!(replies.contains(&Reply::TimedOut), "{replies:?}");
    let waited = |reply: &Reply| matches!(reply, Reply::Refused { .. });
    assert!(replies.iter().any(waited), "{replies:?}");
    assert_eq!(sim.vms[0].scheduler.callers(), 0);
}

/// Guards against an exit that doesn't know which jobs have run: a request for one of them that is
/// still queued would be refused as not run.
#[test]
fn jobs_that_ran_until_the_exit_are_unfinished() {
    let mut sim = Simulation::new(43, 1, 1);
    for _ in 0..5 {
        submit_task(&mut sim, SECOND * 8);
    }
    sim.run(millis(100));
    sim.shut_down_vm(0);
    let gone = Event::CallerGone(RequestId(1));
    sim.event(0, 1, gone);
    sim.run(millis(300));
    sim.answer_all(0);
    let unfinished = sim.vms[0].scheduler.unfinished().iter();
    let mut unfinished: Vec<&str> = unfinished.map(|path| &**path).collect();
    unfinished.sort_unstable();
    // The target has room for the first two; the caller of one has disconnected.
    assert_eq!(unfinished, ["/q0/j0", "/q0/j1"]);
    let waited = |caller| matches!(answer(&sim, caller).1, Reply::Refused { .. });
    assert_eq!(answer(&sim, 1).1, Reply::TimedOut);
    assert!((2..5).all(waited));
}
