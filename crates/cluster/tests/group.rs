//! Disk failure on a control VM.

mod support;

use greengage_cluster::{Cluster, Effect, Event, Outcome};
use greengage_core::{RequestId, Time, WallTime};

use support::{control_setup, document, group};

/// Steps one tick per millisecond from `from` until `to`; saves complete immediately.
fn run(cluster: &mut Cluster, from: u64, to: u64) -> Vec<Effect> {
    let mut all_effects = Vec::new();
    for ms in from..to {
        let mut effects = cluster.step(Time::from_millis(ms), WallTime(ms), Event::Tick);
        while let Some(effect) = effects.pop() {
            if let Effect::Save(save) = &effect {
                let event = Event::Saved(save.seq);
                effects.extend(cluster.step(Time::from_millis(ms), WallTime(ms), event));
            }
            all_effects.push(effect);
        }
    }
    all_effects
}

fn outcomes(effects: &[Effect]) -> Vec<&Outcome> {
    let outcomes = effects.iter().filter_map(|effect| match effect {
        Effect::Answer { outcome, .. } => Some(outcome),
        _ => None,
    });
    outcomes.collect()
}

/// Guards against an edit that stays unanswered or is reported as accepted when the disk fails
/// before the edit is durable, and against a VM that needs a restart after the disk works again.
#[test]
fn disk_failure_leaves_edits_unknown_until_the_group_is_restored() {
    let start = Time::from_millis(1000);
    let mut cluster = Cluster::new(start, control_setup(start));
    run(&mut cluster, 1000, 3000);
    assert!(cluster.status(Time::from_millis(3000)).is_leader);
    let put = |request| Event::Put {
        request: RequestId(request),
        document: document(1),
    };
    let now = Time::from_millis(3000);
    let effects = cluster.step(now, WallTime(3000), put(1));
    assert!(outcomes(&effects).is_empty(), "the edit is not durable yet");
    let effects = cluster.drop_group(now, WallTime(3000));
    assert_eq!(outcomes(&effects), [&Outcome::Unknown]);
    let effects = cluster.step(now, WallTime(3000), Event::Get(RequestId(2)));
    assert_eq!(outcomes(&effects), [&Outcome::Unknown]);
    let effects = cluster.restore_group(now, WallTime(3000), group(now));
    assert!(effects.is_empty());
    run(&mut cluster, 3000, 5000);
    let mut effects = cluster.step(Time::from_millis(5000), WallTime(5000), put(3));
    let saves: Vec<_> = effects
        .iter()
        .filter_map(|e| match e {
            Effect::Save(save) => Some(save.seq),
            _ => None,
        })
        .collect();
    for seq in saves {
        effects.extend(cluster.step(Time::from_millis(5000), WallTime(5000), Event::Saved(seq)));
    }
    assert_eq!(outcomes(&effects), [&Outcome::Accepted]);
}

/// Guards against an operator's request that is forgotten because the group is restored again, as
/// after an attempt to reopen the data folder that restored the group and then failed.
#[test]
fn second_restore_of_the_group_answers_pending_requests() {
    let start = Time::from_millis(1000);
    let mut cluster = Cluster::new(start, control_setup(start));
    run(&mut cluster, 1000, 3000);
    let now = Time::from_millis(3000);
    let put = Event::Put {
        request: RequestId(1),
        document: document(1),
    };
    assert!(outcomes(&cluster.step(now, WallTime(3000), put)).is_empty());
    let mut effects = cluster.restore_group(now, WallTime(3000), group(now));
    effects.extend(run(&mut cluster, 3000, 8000));
    assert_eq!(outcomes(&effects), [&Outcome::Unknown]);
}
