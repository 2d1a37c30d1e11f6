//! Jobs whose offloaded tasks are refused by the VM that should run them.

use std::time::Duration;

use greengage_core::{Incarnation, Time};
use greengage_scheduler::{
    Effect, Event, OffloadOutcome, OffloadedTask, PeerMessage, Reply, ResourceOffer, Scheduler,
    Step,
};

use crate::{deliver, demand, peer, started_vm, step, submission};

const START: Time = Time(1_000_000);

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Receives what `v2` has free on each of its targets.
fn receive_offers(scheduler: &mut Scheduler, now: Time, free: &[u32]) -> Vec<Effect> {
    let offers = free.iter().map(|milli_cores| ResourceOffer {
        free: demand(*milli_cores),
        speed: 100,
    });
    let message = PeerMessage::Offers {
        owned: Vec::new(),
        offers: offers.collect(),
        shortage: false,
        time_left: None,
    };
    deliver(scheduler, now, message)
}

/// A VM that owns no target, and its peer `v2` with an offer of 4 cores and one of 2.
fn vm_with_offers() -> Scheduler {
    let mut scheduler = started_vm(START);
    step(&mut scheduler, START, Event::Peers(vec![peer("v2")]));
    receive_offers(&mut scheduler, START, &[4000, 2000]);
    scheduler
}

/// Submits a job of tasks with these demands, and returns those that are offloaded.
fn submit(
    scheduler: &mut Scheduler,
    now: Time,
    request: u64,
    milli_cores: &[u32],
) -> Vec<OffloadedTask> {
    let Event::Submit(mut job) = submission(now, request) else {
        unreachable!();
    };
    let step_of = |milli_cores: &u32| Step {
        demand: demand(*milli_cores),
        ..job.steps[0].clone()
    };
    job.steps = milli_cores.iter().map(step_of).collect();
    offloaded(&step(scheduler, now, Event::Submit(job)))
}

fn offloaded(effects: &[Effect]) -> Vec<OffloadedTask> {
    let runs = effects.iter().filter_map(|effect| match effect {
        Effect::Send {
            message: PeerMessage::Run { tasks, .. },
            ..
        } => Some(tasks.clone()),
        _ => None,
    });
    runs.flatten().collect()
}

fn answers(effects: &[Effect]) -> Vec<Reply> {
    let answers = effects.iter().filter_map(|effect| match effect {
        Effect::Answer { reply, .. } => Some(reply.clone()),
        _ => None,
    });
    answers.collect()
}

/// Goes on while `v2` has nothing free, until there is an answer; also returns its time.
fn wait_for_answer(scheduler: &mut Scheduler, from: Time) -> (Duration, Vec<Reply>) {
    for i in 1..2000 {
        let now = from + millis(20 * i);
        let mut effects = receive_offers(scheduler, now, &[]);
        effects.extend(step(scheduler, now, Event::Tick));
        let found = answers(&effects);
        if !found.is_empty() {
            return (now.since(START), found);
        }
    }
    panic!("no answer");
}

/// Plays a job of two tasks whose placements end so, and returns its answer.
fn answer_after(outcomes: [Option<OffloadOutcome>; 2]) -> (Duration, Vec<Reply>) {
    let mut scheduler = vm_with_offers();
    let tasks = submit(&mut scheduler, START, 1, &[3000, 2000]);
    assert_eq!(tasks.len(), 2);
    let now = START + millis(5);
    receive_offers(&mut scheduler, now, &[]);
    for (task, outcome) in tasks.iter().zip(outcomes) {
        if let Some(outcome) = outcome {
            let ended = PeerMessage::Ended(vec![(task.offload_id, outcome)]);
            let effects = deliver(&mut scheduler, now, ended);
            assert_eq!(answers(&effects), []);
        }
    }
    wait_for_answer(&mut scheduler, now)
}

/// Guards against a job that ends with an unknown outcome at its deadline although none of its tasks
/// was ever started.
#[test]
fn job_whose_placements_were_all_refused_is_refused_at_its_longest_wait() {
    let (after, replies) = answer_after([Some(OffloadOutcome::NotStarted); 2]);
    assert!(
        matches!(replies.as_slice(), [Reply::Refused { .. }]),
        "{replies:?}"
    );
    assert!(after < Duration::from_secs(10), "{after:?}");
}

/// Guards against a refusal, which says "not run", while a placement has run, may have run or may
/// still run.
#[test]
fn job_with_a_placement_of_unknown_end_is_never_refused() {
    let refused = Some(OffloadOutcome::NotStarted);
    for other in [
        Some(OffloadOutcome::NotRunning),
        Some(OffloadOutcome::Failed),
        Some(OffloadOutcome::TooLong),
        Some(OffloadOutcome::Done),
        None,
    ] {
        for outcomes in [[refused, other], [other, refused]] {
            let (_, replies) = answer_after(outcomes);
            assert_eq!(replies, [Reply::TimedOut], "{outcomes:?}");
        }
    }
}

/// Guards against a refused task that hides the offers of smaller targets.
#[test]
fn refusal_of_a_large_task_keeps_offers_for_small_ones() {
    let mut scheduler = vm_with_offers();
    let tasks = submit(&mut scheduler, START, 1, &[3000]);
    let [task] = tasks.as_slice() else {
        panic!("{tasks:?}");
    };
    let refusal = vec![(task.offload_id, OffloadOutcome::NotStarted)];
    let now = START + millis(5);
    let effects = deliver(&mut scheduler, now, PeerMessage::Ended(refusal));
    assert_eq!(offloaded(&effects), []);
    assert_eq!(submit(&mut scheduler, now, 2, &[2000]).len(), 1);
}

/// Guards against a task whose outcome is forgotten, so that it would be reported as never started, when
/// a renewal that is older than the task arrives after it has ended.
#[test]
fn late_renewal_drops_no_outcome_of_a_later_task() {
    let mut sender = vm_with_offers();
    let [mut task] = submit(&mut sender, START, 1, &[2000]).try_into().unwrap();
    let mut scheduler = vm_with_offers();
    task.offload_id = 5;
    let run = PeerMessage::Run {
        sender: Incarnation(1),
        callers_age: Duration::ZERO,
        tasks: vec![task],
    };
    deliver(&mut scheduler, START, run);
    let renewal = |number, needed| PeerMessage::Renew {
        sender: Incarnation(1),
        receiver: Incarnation(1),
        callers_age: Duration::ZERO,
        number,
        needed,
    };
    // The outcome is kept, so it isn't sent again before it has had time to arrive.
    deliver(&mut scheduler, START + millis(5), renewal(4, Vec::new()));
    let needed = vec![(5, Duration::from_secs(1))];
    let effects = deliver(&mut scheduler, START + millis(6), renewal(6, needed));
    let repeats = |effect: &Effect| {
        matches!(
            effect,
            Effect::Send {
                message: PeerMessage::Ended(_),
                ..
            }
        )
    };
    assert!(!effects.iter().any(repeats), "{effects:?}");
}
