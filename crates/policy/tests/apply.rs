//! Tests of single edits and their outcomes.

use greengage_core::{
    AccountName, Demand, Name, OpId, Revision, SortedMap, Spread, TargetKind, TemplateName, Version,
};
use greengage_policy::{
    Command, Document, EditError, Outcome, Param, ParamKind, ParamValue, Params, Policy, Template,
    MAX_RECORDS, MAX_TOMBSTONES,
};

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn template_name() -> TemplateName {
    TemplateName::new("tours").unwrap()
}

fn account_name() -> AccountName {
    AccountName::new("lampang").unwrap()
}

fn template() -> Template {
    Template {
        target: TargetKind::Executor,
        demand: Demand::default(),
        spread: Spread::Any,
        deadline_ms: 1000,
        repeatable: true,
        retries: 2,
        max_tasks: 10,
        expected_ms: 50,
        params: SortedMap::new(),
    }
}

fn template_with(params: &[(&str, ParamKind, Option<ParamValue>)]) -> Template {
    let params = params.iter().map(|(n, kind, default)| {
        let (kind, default) = (*kind, default.clone());
        (name(n), Param { kind, default })
    });
    Template {
        params: params.collect(),
        ..template()
    }
}

fn params(values: &[(&str, ParamValue)]) -> Params {
    Params {
        weight: 1,
        quota: 100,
        concurrency: 10,
        burst: 0,
        deadline_ms: None,
        values: values.iter().map(|(n, v)| (name(n), v.clone())).collect(),
    }
}

fn edit(op: &str, from: u64, document: Document) -> Command {
    Command::Edit {
        op: OpId(name(op)),
        base_version: Version(from),
        document,
    }
}

fn template_document(content: impl Into<Option<Template>>) -> Document {
    Document::Template {
        name: template_name(),
        content: content.into(),
    }
}

fn params_document(content: impl Into<Option<Params>>) -> Document {
    Document::Params {
        template: template_name(),
        account: account_name(),
        content: content.into(),
    }
}

fn apply_all(documents: &[(u64, Document)]) -> (Policy, Vec<Outcome>) {
    let mut policy = Policy::new();
    let mut outcomes = Vec::new();
    for (i, (from, document)) in documents.iter().enumerate() {
        let command = edit(&format!("op{i}"), *from, document.clone());
        outcomes.push(policy.apply(Revision(i as u64 + 1), &command));
        policy.check_invariants();
    }
    (policy, outcomes)
}

fn last_outcome(documents: &[(u64, Document)]) -> Outcome {
    apply_all(documents).1.pop().unwrap()
}

fn applied(version: u64, revision: u64) -> Outcome {
    Outcome::Applied {
        version: Version(version),
        revision: Revision(revision),
    }
}

fn conflict(current: u64, named: u64) -> Outcome {
    Outcome::Refused(EditError::Conflict {
        document: "template \"tours\"".to_string(),
        current: Version(current),
        edit_version: Version(named),
    })
}

/// Guards against lost updates: two edits based on the same version that are both applied.
#[test]
fn first_of_two_edits_from_one_version_wins() {
    let (policy, outcomes) = apply_all(&[
        (0, template_document(template())),
        (
            1,
            template_document(template_with(&[("a", ParamKind::Integer, None)])),
        ),
        (1, template_document(template())),
        (0, template_document(template())),
    ]);
    let expected = [applied(1, 1), applied(2, 2), conflict(2, 1), conflict(2, 0)];
    assert_eq!(outcomes, expected);
    assert_eq!(policy.revision(), Revision(2));
    assert_eq!(policy.applied(), Revision(4));
}

/// Guards against a retry after a lost response that is applied again or gets another outcome, also
/// after other edits, after a refusal and after a restore from a snapshot.
#[test]
fn retry_gets_the_original_outcome() {
    let mut policy = Policy::new();
    let create = edit("create", 0, template_document(template()));
    let stale = edit("stale", 7, template_document(template()));
    let change = edit("change", 1, template_document(template()));
    assert_eq!(policy.apply(Revision(1), &create), applied(1, 1));
    assert_eq!(policy.apply(Revision(2), &stale), conflict(1, 7));
    assert_eq!(policy.apply(Revision(3), &change), applied(2, 3));
    assert_eq!(policy.apply(Revision(4), &create), applied(1, 1));
    assert_eq!(policy.apply(Revision(5), &stale), conflict(1, 7));
    let mut restored = Policy::new();
    restored.restore(policy.snapshot()).unwrap();
    assert_eq!(restored.apply(Revision(6), &create), applied(1, 1));
    assert_eq!(restored.revision(), Revision(3));
}

/// Guards against an edit that gets the outcome of another edit with the same operation id.
#[test]
fn operation_id_of_another_edit_is_refused() {
    let mut policy = Policy::new();
    let create = edit("op", 0, template_document(template()));
    policy.apply(Revision(1), &create);
    let other = Outcome::Refused(EditError::OtherEdit(OpId(name("op"))));
    let same_from = edit("op", 0, template_document(None));
    let same_document = edit("op", 1, template_document(template()));
    assert_eq!(policy.apply(Revision(2), &same_from), other);
    assert_eq!(policy.apply(Revision(3), &same_document), other);
    assert_eq!(policy.apply(Revision(4), &create), applied(1, 1));
}

/// Guards against a version that is reused after a removal, which would let a stale edit apply.
#[test]
fn versions_increase_across_removal() {
    let (_, outcomes) = apply_all(&[
        (0, template_document(template())),
        (1, template_document(None)),
        (1, template_document(template())),
        (0, template_document(template())),
        (3, template_document(None)),
        (4, template_document(template())),
        (0, template_document(template())),
    ]);
    let versions = [applied(1, 1), applied(2, 2), conflict(2, 1), applied(3, 4)];
    assert_eq!(outcomes[..4], versions);
    let versions = [applied(4, 5), applied(5, 6), conflict(5, 0)];
    assert_eq!(outcomes[4..], versions);
}

/// Guards against a template change that leaves accounts whose parameters can't be resolved.
#[test]
fn changed_template_must_match_the_account_params() {
    let number = |v| ("n", ParamValue::Integer(v));
    let before = [
        (
            0,
            template_document(template_with(&[("n", ParamKind::Integer, None)])),
        ),
        (0, params_document(params(&[number(1)]))),
    ];
    let missing = [
        ("n", ParamKind::Integer, None),
        ("m", ParamKind::Integer, None),
    ];
    let mistyped = EditError::Mistyped {
        param: name("n"),
        kind: ParamKind::Text,
    };
    let cases = [
        (template(), EditError::Undeclared(name("n"))),
        (template_with(&missing), EditError::Missing(name("m"))),
        (template_with(&[("n", ParamKind::Text, None)]), mistyped),
    ];
    for (template, error) in cases {
        let error = Box::new(error);
        let account = account_name();
        let unfit = EditError::Unfit { account, error };
        let edits = [before.to_vec(), vec![(1, template_document(template))]].concat();
        assert_eq!(last_outcome(&edits), Outcome::Refused(unfit));
    }
    let in_use = EditError::InUse {
        template: template_name(),
        accounts: 1,
    };
    let edits = [before.to_vec(), vec![(1, template_document(None))]].concat();
    assert_eq!(last_outcome(&edits), Outcome::Refused(in_use));
    let edits = [
        before.to_vec(),
        vec![(1, params_document(None)), (1, template_document(None))],
    ]
    .concat();
    assert_eq!(last_outcome(&edits), applied(2, 4));
}

/// Guards against edits and lookups of nonexistent documents that succeed or name the wrong one.
#[test]
fn unknown_documents_are_reported() {
    let no_template = EditError::UnknownTemplate(template_name());
    let no_account = EditError::UnknownAccount {
        template: template_name(),
        account: account_name(),
    };
    let refused = |error: &EditError| Outcome::Refused(error.clone());
    assert_eq!(
        last_outcome(&[(0, template_document(None))]),
        refused(&no_template)
    );
    assert_eq!(
        last_outcome(&[(0, params_document(params(&[])))]),
        refused(&no_template)
    );
    let (policy, outcomes) = apply_all(&[
        (0, template_document(template())),
        (0, params_document(None)),
    ]);
    assert_eq!(outcomes[1], refused(&no_account));
    assert_eq!(
        policy.resolve(&template_name(), &account_name()),
        Err(no_account)
    );
    let none = Policy::new().resolve(&template_name(), &account_name());
    assert_eq!(none, Err(no_template));
}

/// Guards against a resolved template that ignores an account's value, its deadline or a default.
#[test]
fn resolve_fills_in_values() {
    let declared = [
        ("a", ParamKind::Integer, Some(ParamValue::Integer(1))),
        ("b", ParamKind::Boolean, Some(ParamValue::Boolean(true))),
    ];
    let mut account_params = params(&[("a", ParamValue::Integer(5))]);
    account_params.deadline_ms = Some(77);
    let (policy, _) = apply_all(&[
        (0, template_document(template_with(&declared))),
        (0, params_document(account_params)),
    ]);
    let resolved = policy.resolve(&template_name(), &account_name()).unwrap();
    let values = [
        ("a", ParamValue::Integer(5)),
        ("b", ParamValue::Boolean(true)),
    ];
    assert_eq!(resolved.values, params(&values).values);
    assert_eq!((resolved.deadline_ms, resolved.version), (77, Version(1)));
}

/// Guards against values outside the ranges that dispatch supports.
#[test]
fn ranges_are_checked() {
    let text = |bytes: usize| Some(ParamValue::Text("x".repeat(bytes)));
    let worker = |milli_cores| Template {
        target: TargetKind::Worker,
        demand: Demand {
            milli_cores,
            ..Demand::default()
        },
        ..template()
    };
    let change = |f: fn(&mut Template)| {
        let mut t = template();
        f(&mut t);
        t
    };
    let templates = [
        (change(|t| t.deadline_ms = 0), Some("deadline_ms")),
        (change(|t| t.deadline_ms = 3_600_000), None),
        (change(|t| t.deadline_ms = 3_600_001), Some("deadline_ms")),
        (change(|t| t.expected_ms = 0), Some("expected_ms")),
        (change(|t| t.max_tasks = 0), Some("max_tasks")),
        (change(|t| t.max_tasks = 1_200), None),
        (change(|t| t.max_tasks = 1_201), Some("max_tasks")),
        (change(|t| t.retries = 10), None),
        (change(|t| t.retries = 11), Some("retries")),
        (worker(0), Some("demand.milli_cores")),
        (worker(1), None),
        (template_with(&[("a", ParamKind::Text, text(1_024))]), None),
        (
            template_with(&[("a", ParamKind::Text, text(1_025))]),
            Some("length in bytes of parameter a"),
        ),
    ];
    for (template, field) in templates {
        assert_eq!(out_of_range(template.check()).as_deref(), field);
    }
    let change = |f: fn(&mut Params)| {
        let mut p = params(&[]);
        f(&mut p);
        p
    };
    let accounts = [
        (change(|p| p.weight = 0), Some("weight")),
        (change(|p| p.weight = 1_000), None),
        (change(|p| p.weight = 1_001), Some("weight")),
        (change(|p| p.quota = 0), Some("quota")),
        (change(|p| p.concurrency = 0), Some("concurrency")),
        (change(|p| p.deadline_ms = Some(0)), Some("deadline_ms")),
        (change(|p| p.deadline_ms = Some(3_600_000)), None),
    ];
    for (params, field) in accounts {
        assert_eq!(out_of_range(params.check(&template())).as_deref(), field);
    }
}

fn out_of_range(result: Result<(), EditError>) -> Option<String> {
    match result {
        Ok(()) => None,
        Err(EditError::Range { field, .. }) => Some(field),
        Err(other) => panic!("{other}"),
    }
}

/// Guards against operation records that fill the memory, and against the loss of the newest ones.
#[test]
fn oldest_operation_ids_are_dropped_first() {
    let mut policy = Policy::new();
    let stale = |i: usize| edit(&format!("op{i}"), 7, template_document(template()));
    for i in 0..=MAX_RECORDS {
        policy.apply(Revision(i as u64 + 1), &stale(i));
    }
    policy.check_invariants();
    let revision = Revision(MAX_RECORDS as u64 + 2);
    // Operation 1 is still known. Operation 0 is not, so its id can be used for another edit.
    let other = edit("op1", 0, template_document(template()));
    let refused = Outcome::Refused(EditError::OtherEdit(OpId(name("op1"))));
    assert_eq!(policy.apply(revision, &other), refused);
    let other = edit("op0", 0, template_document(template()));
    let revision = revision.next();
    assert_eq!(policy.apply(revision, &other), applied(1, revision.0));
    // A restore renumbers the records.
    policy.restore(policy.snapshot()).unwrap();
    policy.check_invariants();
}

/// Guards against tombstones that fill the memory, and against a version that is reused after the
/// tombstone of a removed document was dropped.
#[test]
fn dropped_tombstones_raise_the_version_floor() {
    let mut policy = Policy::new();
    let mut revision = Revision(0);
    let mut apply = |name: &str, from, content| {
        revision = revision.next();
        let name = TemplateName::new(name).unwrap();
        let document = Document::Template { name, content };
        policy.apply(revision, &edit(&format!("op{revision}"), from, document))
    };
    for i in 0..=MAX_TOMBSTONES {
        apply(&format!("t{i}"), 0, Some(template()));
        apply(&format!("t{i}"), 1, None);
    }
    let Outcome::Applied { version, .. } = apply("t0", 0, Some(template())) else {
        panic!("a document whose tombstone was dropped can't be recreated");
    };
    assert_eq!(version, Version(3));
    let Outcome::Applied { version, .. } = apply("t1", 0, Some(template())) else {
        panic!("a removed document can't be recreated");
    };
    assert_eq!(version, Version(3));
    apply("t0", 3, None);
    apply("t1", 3, None);
    policy.check_invariants();
}

/// Guards against a log entry that is applied twice after a restart.
#[test]
#[should_panic(expected = "applied twice")]
fn repeated_revision_panics() {
    let mut policy = Policy::new();
    policy.apply(Revision(2), &edit("a", 0, template_document(template())));
    policy.apply(Revision(2), &edit("b", 0, template_document(template())));
}

/// Guards against a restore from an older state.
#[test]
fn older_state_is_refused() {
    let (old, _) = apply_all(&[(0, template_document(template()))]);
    let (mut policy, _) = apply_all(&[
        (0, template_document(template())),
        (1, template_document(None)),
    ]);
    let stale = policy.restore(old.snapshot()).unwrap_err();
    assert_eq!(
        (stale.applied, stale.state_revision),
        (Revision(2), Revision(1))
    );
    assert_eq!(policy.revision(), Revision(2));
    assert!(policy.template(&template_name()).is_none());
}
