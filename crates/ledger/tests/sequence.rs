//! Random command sequences, checked against a simple model.
//!
//! `GREENGAGE_SEED` and `GREENGAGE_CASES` set the seed and the number of cases.

use std::collections::BTreeMap;
use std::env;
use std::sync::Arc;

use greengage_core::{
    AccountName, Digest, Failure, Incarnation, Index, JobKey, Name, Outcome, Payload, TargetName,
    TemplateName, Version, WallTime, ZoneName,
};
use greengage_ledger::{Applied, Command, Ledger, Refused, Stage, State, Submission};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn runner(cases: u32) -> TestRunner {
    let env_number = |name| env::var(name).ok().map(|text| text.parse().expect(name));
    let seed: u64 = env_number("GREENGAGE_SEED").unwrap_or(1);
    let cases = env_number("GREENGAGE_CASES").map_or(cases, |cases| cases as u32);
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &bytes))
}

fn key_strategy() -> impl Strategy<Value = JobKey> {
    ("[ab]", "[xy]", 0..40u32).prop_map(|(account, zone, id)| JobKey {
        account: AccountName::new(&account).unwrap(),
        zone: ZoneName::new(&zone).unwrap(),
        id: Name::new(&id.to_string()).unwrap(),
    })
}

fn submission(tasks: usize) -> Arc<Submission> {
    Arc::new(Submission {
        template: TemplateName::new("tours").unwrap(),
        account: AccountName::new("a").unwrap(),
        version: Version(1),
        tasks: vec![Payload::new(*b"task"); tasks],
        deadline: WallTime(100),
    })
}

fn command_strategy() -> impl Strategy<Value = Command> {
    let accept = (key_strategy(), 0..2u8, 0..4usize, any::<bool>(), 0..50u64);
    let accept = accept.prop_map(|(key, digest, tasks, begun, at)| Command::Accept {
        key,
        digest: Digest([digest; 32]),
        submission: submission(tasks),
        begun,
        accepted_at: WallTime(at),
    });
    let begin =
        prop::collection::vec(key_strategy(), 0..5).prop_map(|keys| Command::Begin { keys });
    let close = (key_strategy(), 0..3usize).prop_map(|(key, results)| Command::Close {
        key,
        outcome: Arc::new(match results {
            0 => Outcome::Failed(Failure::NoTarget),
            n => Outcome::Complete(vec![Payload::new(*b"result"); n]),
        }),
    });
    let target = |name: String| TargetName::new(&name).unwrap();
    let register = ("[tu]", 0..3u64).prop_map(move |(name, n)| Command::Register {
        target: target(name),
        incarnation: Incarnation(n),
    });
    let deregister = ("[tu]", 0..3u64).prop_map(move |(name, n)| Command::Deregister {
        target: target(name),
        incarnation: Incarnation(n),
    });
    let expire = (0..50u64).prop_map(|at| Command::Expire {
        before: WallTime(at),
    });
    prop_oneof![
        8 => accept,
        2 => begin,
        6 => close,
        1 => register,
        1 => deregister,
        1 => expire,
    ]
}

/// The expected entries: position in order of acceptance, digest, stage and time of acceptance.
type Model = BTreeMap<JobKey, (usize, Digest, Stage, WallTime)>;

fn apply_to_model(model: &mut Model, order: usize, command: &Command) -> Applied {
    match command {
        Command::Accept {
            key,
            digest,
            begun,
            accepted_at,
            ..
        } => match model.get(key) {
            Some((_, known_digest, stage, _)) if known_digest == digest => {
                Applied::Duplicate(stage.clone())
            }
            Some(_) => Applied::Refused(Refused::OtherContent { key: key.clone() }),
            None => {
                let stage = if *begun {
                    Stage::Begun
                } else {
                    Stage::Accepted
                };
                model.insert(key.clone(), (order, *digest, stage, *accepted_at));
                Applied::Accepted
            }
        },
        Command::Begin { keys } => {
            let mut begun = Vec::new();
            for key in keys {
                if let Some((_, _, stage @ Stage::Accepted, _)) = model.get_mut(key) {
                    *stage = Stage::Begun;
                    begun.push(key.clone());
                }
            }
            Applied::Begun(begun)
        }
        Command::Close { key, outcome } => match model.get_mut(key) {
            None => Applied::Refused(Refused::Unknown { key: key.clone() }),
            Some((_, _, Stage::Closed(first), _)) => Applied::AlreadyClosed(first.clone()),
            Some((_, _, stage, _)) => {
                *stage = Stage::Closed(outcome.clone());
                Applied::Closed
            }
        },
        Command::Register { .. } | Command::Deregister { .. } => Applied::Done,
        Command::Expire { before } => {
            model.retain(|_, (_, _, stage, accepted_at)| {
                !matches!(stage, Stage::Closed(_)) || *accepted_at >= *before
            });
            Applied::Done
        }
    }
}

fn check_against_model(ledger: &Ledger, model: &Model) {
    ledger.verify();
    assert_eq!(ledger.counts().entries, model.len() as u64);
    for (key, (_, digest, stage, at)) in model {
        let entry = ledger.get(key).expect("the model has the key");
        assert_eq!(
            (entry.digest, &entry.stage, entry.accepted_at),
            (*digest, stage, *at)
        );
    }
    let mut open: Vec<_> = model
        .iter()
        .filter(|(_, e)| !matches!(e.2, Stage::Closed(_)))
        .collect();
    open.sort_by_key(|(_, entry)| entry.0);
    let keys = open.into_iter().map(|(key, _)| key);
    assert!(ledger.open().map(|(key, _)| key).eq(keys));
}

/// Guards against differences from the model, against voters that differ after the same commands
/// (one of them restored from an encoded snapshot), and against a snapshot that changes after it
/// was made.
#[test]
fn ledgers_agree_with_the_model_and_each_other() {
    let sequence = prop::collection::vec(command_strategy(), 1..400);
    let strategy = (sequence, any::<prop::sample::Index>());
    let test = |(commands, position): (Vec<Command>, prop::sample::Index)| {
        let snapshot_at = position.index(commands.len());
        let mut ledger = Ledger::new();
        let mut replica = Ledger::new();
        let mut model = Model::new();
        let mut encoded_snapshot = None;
        for (i, command) in commands.iter().enumerate() {
            if i == snapshot_at {
                let state = ledger.snapshot();
                let bytes = postcard::to_stdvec(&state).unwrap();
                let decoded: State = postcard::from_bytes(&bytes).unwrap();
                assert_eq!(decoded, state);
                replica = Ledger::new();
                replica.restore(decoded);
                encoded_snapshot = Some((state, bytes));
            }
            // Indexes have gaps, as in a log with entries that aren't commands.
            let index = Index(2 * i as u64 + 1);
            let applied = ledger.apply(index, command);
            assert_eq!(applied, apply_to_model(&mut model, i, command));
            assert_eq!(applied, replica.apply(index, command));
            assert_eq!(ledger.applied_index(), index);
        }
        check_against_model(&ledger, &model);
        replica.verify();
        assert_eq!(ledger.snapshot(), replica.snapshot());
        assert_eq!(ledger.counts(), replica.counts());
        assert!(ledger
            .registered_incarnations()
            .eq(replica.registered_incarnations()));
        let (state, bytes) = encoded_snapshot.expect("the index is in the sequence");
        assert_eq!(postcard::to_stdvec(&state).unwrap(), bytes);
        Ok(())
    };
    runner(150).run(&strategy, test).unwrap();
}
