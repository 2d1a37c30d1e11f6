//! Random sequences of edits, retries and restores.

use std::collections::BTreeMap;
use std::env;

use greengage_core::{
    AccountName, Demand, Name, OpId, Revision, SortedMap, Spread, TargetKind, TemplateName, Version,
};
use greengage_policy::{
    Command, Document, EditError, Outcome, Param, ParamKind, ParamValue, Params, Policy, State,
    Template,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn runner(cases: u32) -> TestRunner {
    let number = |name| env::var(name).ok().map(|text| text.parse().expect(name));
    let seed: u64 = number("GREENGAGE_SEED").unwrap_or(1);
    let cases = number("GREENGAGE_CASES").map_or(cases, |cases| cases as u32);
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &bytes))
}

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn values() -> impl Strategy<Value = ParamValue> {
    prop_oneof![
        any::<i64>().prop_map(ParamValue::Integer),
        any::<bool>().prop_map(ParamValue::Boolean),
    ]
}

fn declared() -> impl Strategy<Value = Param> {
    let kind = prop_oneof![Just(ParamKind::Integer), Just(ParamKind::Boolean)];
    let default = prop::option::of(values());
    (kind, default).prop_map(|(kind, default)| Param { kind, default })
}

fn named_values<V: std::fmt::Debug>(
    value: impl Strategy<Value = V>,
) -> impl Strategy<Value = SortedMap<Name, V>> {
    let entries = prop::collection::btree_map("[pq]", value, 0..2);
    entries.prop_map(|map| map.into_iter().map(|(n, v)| (name(&n), v)).collect())
}

fn templates() -> impl Strategy<Value = Template> {
    (0..30u64, named_values(declared())).prop_map(|(deadline_ms, params)| Template {
        target: TargetKind::Executor,
        demand: Demand::default(),
        spread: Spread::Any,
        deadline_ms,
        repeatable: true,
        retries: 1,
        max_tasks: 10,
        expected_ms: 50,
        params,
    })
}

fn params() -> impl Strategy<Value = Params> {
    (0..30u32, named_values(values())).prop_map(|(weight, values)| Params {
        weight,
        quota: 1,
        concurrency: 1,
        burst: 0,
        deadline_ms: None,
        values,
    })
}

fn documents() -> impl Strategy<Value = Document> {
    let template = ("[ab]", prop::option::weighted(0.7, templates()));
    let account = ("[ab]", "[xy]", prop::option::weighted(0.7, params()));
    prop_oneof![
        template.prop_map(|(name, content)| Document::Template {
            name: TemplateName::new(&name).unwrap(),
            content,
        }),
        account.prop_map(|(template, account, content)| Document::Params {
            template: TemplateName::new(&template).unwrap(),
            account: AccountName::new(&account).unwrap(),
            content,
        }),
    ]
}

/// An action of an operator.
#[derive(Clone, Debug)]
enum Operation {
    /// An edit, based on a version that is this far behind the current one.
    Edit(Document, u64),
    /// A retry of an earlier command.
    Retry(prop::sample::Index),
    /// Another edit with the operation id of an earlier command.
    ReuseId(prop::sample::Index, Document),
}

fn operations() -> impl Strategy<Value = Operation> {
    let index = any::<prop::sample::Index>;
    let versions_behind = prop_oneof![4 => Just(0u64), 1 => 1..3u64];
    prop_oneof![
        6 => (documents(), versions_behind)
            .prop_map(|(document, versions_behind)| Operation::Edit(document, versions_behind)),
        1 => index().prop_map(Operation::Retry),
        1 => (index(), documents()).prop_map(|(at, document)| Operation::ReuseId(at, document)),
    ]
}

fn document_key(document: &Document) -> String {
    match document {
        Document::Template { name, .. } => name.to_string(),
        Document::Params {
            template, account, ..
        } => format!("{template}/{account}"),
    }
}

/// Guards against versions that repeat or decrease, edits that are applied twice or to another
/// version than the one on which they are based, inconsistent documents, a retry that gets another
/// outcome, and replicas that differ after the same commands, one of them restored from a snapshot.
#[test]
fn edits_apply_once_and_replicas_agree() {
    let strategy = (
        prop::collection::vec(operations(), 1..150),
        any::<prop::sample::Index>(),
    );
    let test = |(operations, restore_at): (Vec<Operation>, prop::sample::Index)| {
        let restore_at = restore_at.index(operations.len());
        let mut policy = Policy::new();
        let mut replica = Policy::new();
        let mut versions: BTreeMap<String, u64> = BTreeMap::new();
        let mut sent: Vec<(Command, Outcome)> = Vec::new();
        for (i, operation) in operations.iter().enumerate() {
            if i == restore_at {
                let bytes = postcard::to_stdvec(&policy.snapshot()).unwrap();
                let state: State = postcard::from_bytes(&bytes).unwrap();
                replica = Policy::new();
                replica.restore(state).unwrap();
            }
            let (mut document, mut versions_behind, mut earlier_command) = (None, 0, None);
            match operation {
                Operation::Edit(edit, by) => (document, versions_behind) = (Some(edit), *by),
                Operation::Retry(_) | Operation::ReuseId(..) if sent.is_empty() => continue,
                Operation::Retry(at) => earlier_command = Some(at.get(&sent)),
                Operation::ReuseId(at, edit) => {
                    (document, earlier_command) = (Some(edit), Some(at.get(&sent)))
                }
            }
            let current = |d| versions.get(&document_key(d)).copied().unwrap_or(0);
            let command = match (document, earlier_command) {
                (Some(document), first) => Command::Edit {
                    op: match first {
                        Some((Command::Edit { op, .. }, _)) => op.clone(),
                        None => OpId(name(&format!("op{i}"))),
                    },
                    base_version: Version(current(document).saturating_sub(versions_behind)),
                    document: document.clone(),
                },
                (None, first) => first.expect("an operation edits or resends").0.clone(),
            };
            let before = policy.snapshot();
            let revision = Revision(3 * i as u64 + 1);
            let outcome = policy.apply(revision, &command);
            assert_eq!(outcome, replica.apply(revision, &command));
            policy.check_invariants();
            assert_eq!(policy.applied(), revision);
            let Command::Edit {
                op,
                base_version,
                document,
            } = &command;
            match earlier_command {
                Some((first, answer)) => {
                    let reused = Outcome::Refused(EditError::OtherEdit(op.clone()));
                    let expected = if *first == command { answer } else { &reused };
                    assert_eq!(&outcome, expected);
                    assert_eq!(policy.revision(), before.revision());
                }
                None => {
                    let known = current(document);
                    if let Outcome::Applied {
                        version,
                        revision: applied_at,
                    } = outcome
                    {
                        assert_eq!((version.0, applied_at), (known + 1, revision));
                        assert!(base_version.0 == known || base_version.0 == 0);
                        assert_eq!(policy.revision(), revision);
                        versions.insert(document_key(document), version.0);
                    } else {
                        assert_eq!(policy.revision(), before.revision());
                        let all = |p: &Policy| format!("{:?}", p.templates().collect::<Vec<_>>());
                        let mut earlier = Policy::new();
                        earlier.restore(before).unwrap();
                        assert_eq!(all(&policy), all(&earlier));
                    }
                    sent.push((command, outcome));
                }
            }
        }
        assert_eq!(policy.snapshot(), replica.snapshot());
        Ok(())
    };
    runner(100).run(&strategy, test).unwrap();
}
