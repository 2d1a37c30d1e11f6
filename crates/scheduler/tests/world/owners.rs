//! Offloaded tasks whose caller's time or whose VM's time changes.

use std::time::Duration;

use greengage_scheduler::Reply;

use crate::support::{MessageKind, Simulation, SHUTDOWN_ANSWER_LIMIT};

const SECOND: Duration = Duration::from_secs(1);
/// How long a patient caller waits.
const PATIENCE: Duration = Duration::from_secs(30);

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against an offloaded run that is stopped for the first caller's deadline although the job
/// was submitted again by a caller that waits longer.
#[test]
fn offloaded_run_lasts_as_long_as_the_last_caller_waits() {
    for seed in [0, 3, 4, 7] {
        let mut sim = Simulation::new(seed, 2, 6);
        sim.caller_timeout = Some(PATIENCE);
        sim.submit(0, 1, vec![20 * SECOND; 6]);
        sim.run(millis(50));
        sim.caller_timeout = Some(millis(900));
        let caller = sim.submit(0, 1, vec![SECOND]);
        sim.run(millis(50));
        assert_eq!(sim.offload_starts(1, 0), 1, "seed {seed}: offloaded");
        sim.callers[caller].timeout = 10 * SECOND;
        sim.submit_now(caller);
        sim.run(4 * SECOND);
        let mut requests = sim.requests.iter().filter(|r| r.caller == caller);
        let last = requests.next_back().and_then(|r| r.answers.first());
        assert_eq!(last.map(|(_, reply)| reply), Some(&Reply::Completed));
        let starts = sim.offload_starts(1, 0);
        assert_eq!(starts, 1, "seed {seed}: no task runs again");
    }
}

/// Guards against a VM that shuts down and takes a task of another VM that can't end before its
/// exit, so that the other VM's caller gets no outcome.
#[test]
fn leaving_vm_takes_no_offloaded_task_that_outlasts_its_shutdown() {
    for seed in 0..10 {
        let mut sim = Simulation::new(seed, 2, 12);
        sim.caller_timeout = Some(PATIENCE);
        sim.submit(0, 1, vec![20 * SECOND; 12]);
        sim.submit(1, 1, [millis(600), 5 * SECOND].repeat(6));
        sim.run(millis(50));
        sim.shut_down_vm(1);
        let end = sim.now + SHUTDOWN_ANSWER_LIMIT;
        sim.run(millis(1200));
        let starts = sim.offload_starts(1, 0);
        let caller = sim.submit(0, 1, vec![8 * SECOND]);
        sim.run(end.since(sim.now));
        let taken = sim.offload_starts(1, 0) - starts;
        sim.answer_all(1);
        sim.kill_vm(1);
        sim.run(2 * SECOND);
        let answer = &sim.callers[caller].answer;
        assert_eq!(taken, 0, "seed {seed}: {answer:?}");
    }
}

/// Guards against a run for another VM that lasts until the exit of its own VM, so that the other
/// VM learns of its end too late to start the task elsewhere.
#[test]
fn run_that_outlasts_the_shutdown_of_its_vm_moves() {
    for seed in [0, 3, 4, 7] {
        let mut sim = Simulation::new(seed, 2, 6);
        sim.caller_timeout = Some(PATIENCE);
        sim.submit(0, 1, vec![20 * SECOND; 6]);
        sim.run(millis(50));
        let caller = sim.submit(0, 1, vec![7 * SECOND]);
        sim.run(millis(50));
        assert_eq!(sim.offload_starts(1, 0), 1, "seed {seed}: offloaded");
        sim.shut_down_vm(1);
        sim.run(SHUTDOWN_ANSWER_LIMIT + millis(200));
        sim.answer_all(1);
        sim.kill_vm(1);
        sim.run(20 * SECOND);
        let answer = sim.callers[caller].answer.clone();
        let reply = answer.map(|(_, reply)| reply);
        assert_eq!(reply, Some(Reply::Completed), "seed {seed}");
        assert!(sim.duplicates.is_empty(), "{:?}", sim.duplicates);
    }
}

/// Guards against an exit that leaves other VMs without the outcome of their runs, or that reports
/// a run as not running while it may be under way.
#[test]
fn exit_reports_runs_for_other_vms_as_unknown() {
    for seed in [0, 3, 4, 7] {
        let mut sim = Simulation::new(seed, 2, 6);
        sim.caller_timeout = Some(PATIENCE);
        sim.submit(0, 1, vec![20 * SECOND; 6]);
        sim.run(millis(50));
        let caller = sim.submit(0, 1, vec![7 * SECOND]);
        sim.run(millis(60));
        assert_eq!(sim.offload_starts(1, 0), 1, "seed {seed}: offloaded");
        sim.answer_all(1);
        sim.kill_vm(1);
        // VM 0 gets its next list of live VMs 31 ms later.
        sim.run(millis(20));
        let answer = sim.callers[caller].answer.clone();
        let reply = answer.map(|(_, reply)| reply);
        assert_eq!(reply, Some(Reply::TimedOut), "seed {seed}");
    }
}

/// Guards against an offloaded run that is stopped because the message with its later deadline was
/// lost, or because the job was submitted again just before the earlier one.
#[test]
fn deadline_of_an_offloaded_run_is_sent_at_once_and_repeated() {
    for (seed, lost) in [(0, 0), (3, 0), (0, 1), (3, 1)] {
        let mut sim = Simulation::new(seed, 2, 6);
        sim.caller_timeout = Some(PATIENCE);
        sim.submit(0, 1, vec![20 * SECOND; 6]);
        sim.run(millis(50));
        sim.caller_timeout = Some(millis(2000));
        let caller = sim.submit(0, 1, vec![SECOND]);
        sim.run(millis(50));
        sim.set_run_time("j1.0.0.0", millis(2050));
        sim.run(millis([1910, 1500][lost as usize]));
        assert_eq!(sim.offload_starts(1, 0), 1, "seed {seed}: offloaded");
        sim.lost_messages = Some((MessageKind::Renew, lost));
        sim.callers[caller].timeout = 10 * SECOND;
        sim.submit_now(caller);
        sim.run(SECOND);
        assert_eq!(sim.lost_messages, Some((MessageKind::Renew, 0)));
        let starts = sim.offload_starts(1, 0);
        assert_eq!(starts, 1, "seed {seed}, lost {lost}: no task runs again");
    }
}
