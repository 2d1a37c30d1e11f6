//! Tests of the warnings about a document and of the differences between two documents.

use std::time::Duration;

use greengage_config::{
    check, differences, Bounds, Document, Entry, Limits, Problem, Queue, Service,
};
use greengage_core::{Payload, Version};

fn queue(name: &str, prefix: &str) -> Queue {
    Queue {
        name: name.into(),
        host: "h".into(),
        prefix: prefix.into(),
        service: "desk".into(),
        timeout: Duration::from_millis(1500),
        latency: Duration::from_millis(60),
        slack_percent: 160,
        priority: 0,
        max_attempts: 3,
        uses_advisor: false,
    }
}

fn document(queues: Vec<Queue>) -> Document {
    Document {
        version: Version(7),
        queues,
        services: vec![Service {
            name: "desk".into(),
            max_connections: 64,
        }],
        limits: Limits {
            max_body_bytes: 1000,
        },
        source: Payload::new(Vec::new()),
    }
}

fn bounds() -> Bounds {
    Bounds {
        shortest_run: Duration::from_millis(50),
        body: 1000,
        served: None,
    }
}

/// The entries and the codes of what is found.
fn codes(document: &Document, bounds: &Bounds) -> Vec<(Entry, &'static str)> {
    let findings = check(document, bounds, None);
    findings
        .iter()
        .map(|f| (f.entry, f.problem.code()))
        .collect()
}

/// Guards against warnings about a configuration that has no fault: nobody reads the others then.
#[test]
fn sound_document_has_no_findings() {
    let queues = vec![queue("a", "/x/"), queue("b", "/x/y/"), queue("c", "/")];
    let mut bounds = bounds();
    bounds.served = Some(vec!["desk".into()]);
    assert_eq!(codes(&document(queues), &bounds), []);
}

/// Guards against queues whose jobs can't arrive or can't run, and against entries that nothing uses.
#[test]
fn entries_that_never_match_are_found() {
    let found = |change: fn(&mut Queue)| {
        let mut changed = queue("a", "/x/");
        change(&mut changed);
        let found = codes(&document(vec![changed]), &bounds());
        found.into_iter().map(|(_, code)| code).collect::<Vec<_>>()
    };
    for host in ["h:80", "[::1]", "h /", "http://h"] {
        let mut changed = queue("a", "/x/");
        changed.host = host.into();
        let expected = [(Entry::Queue(0), "unreachable-host")];
        assert_eq!(
            codes(&document(vec![changed]), &bounds()),
            expected,
            "{host}"
        );
    }
    for prefix in ["", "x/", "/x?y=", "/x y/", "/#/", "/x%20"] {
        let expected = [(Entry::Queue(0), "unreachable-prefix")];
        let document = document(vec![queue("a", prefix)]);
        assert_eq!(codes(&document, &bounds()), expected, "{prefix}");
    }
    assert_eq!(found(|q| q.uses_advisor = true), ["advisor"]);
    let mut served = bounds();
    served.served = Some(vec!["other".into()]);
    let mut document = document(vec![queue("a", "/x/"), queue("a", "/y/")]);
    let (first, second) = (Entry::Queue(0), Entry::Queue(1));
    let expected = [
        (first, "no-targets"),
        (second, "no-targets"),
        (second, "repeated-queue"),
    ];
    assert_eq!(codes(&document, &served), expected);
    document.queues.truncate(1);
    document.services.push(document.services[0].clone());
    document.services.push(Service {
        name: "spare".into(),
        max_connections: 1,
    });
    let expected = [
        (Entry::Service(1), "repeated-service"),
        (Entry::Service(2), "unused-service"),
    ];
    assert_eq!(codes(&document, &bounds()), expected);
}

/// Guards against a queue that loses some of its jobs to one whose prefix goes on like an id.
#[test]
fn hidden_ids_are_found() {
    let queues = vec![
        queue("wide", "/x/"),
        queue("thief", "/x/0a"),
        queue("sub", "/x/0a/"),
    ];
    let document = document(queues);
    let findings = check(&document, &bounds(), None);
    let problem = Problem::HiddenIds {
        other: "thief".into(),
        start: "0a".into(),
    };
    assert_eq!(findings.len(), 1, "{findings:?}");
    assert_eq!(
        (findings[0].entry, &findings[0].problem),
        (Entry::Queue(0), &problem)
    );
    assert_eq!(
        &*document
            .validated()
            .unwrap()
            .queue("h", "/x/0abc")
            .unwrap()
            .name,
        "thief"
    );
}

/// Guards against limits that can't all be kept, and are found only when jobs are late or refused.
#[test]
fn contradicting_limits_are_found() {
    type Edit = fn(&mut Queue);
    let cases: [(Edit, &str); 6] = [
        (|q| q.timeout = Duration::from_millis(40), "short-timeout"),
        (
            |q| (q.timeout, q.max_attempts) = (Duration::from_millis(139), 1),
            "late-objective",
        ),
        (|q| q.max_attempts = 31, "many-attempts"),
        (|q| q.max_attempts = 0, "zero-attempts"),
        (
            |q| (q.slack_percent, q.latency) = (0, Duration::from_millis(49)),
            "early-objective",
        ),
        (|q| q.timeout = Duration::ZERO, "zero-timeout"),
    ];
    for (change, code) in cases {
        let mut changed = queue("a", "/x/");
        change(&mut changed);
        let expected = [(Entry::Queue(0), code)];
        assert_eq!(codes(&document(vec![changed]), &bounds()), expected);
    }
    for (limit, code) in [(0, "zero-body"), (1001, "large-body")] {
        let mut document = document(vec![queue("a", "/x/")]);
        document.limits.max_body_bytes = limit;
        assert_eq!(codes(&document, &bounds()), [(Entry::Limits, code)]);
    }
}

/// Guards against a change that is acknowledged without effect, and against differences left out.
#[test]
fn differences_and_old_versions_are_found() {
    let old = document(vec![queue("a", "/x/"), queue("b", "/y/")]);
    let mut new = document(vec![queue("c", "/z/"), queue("a", "/x/")]);
    new.queues[1].timeout = Duration::from_secs(2);
    new.limits.max_body_bytes = 900;
    new.source = Payload::new(b"{}".to_vec());
    let lines: Vec<String> = differences(&old, &new)
        .iter()
        .map(|d| d.to_string())
        .collect();
    let expected = [
        "changed limits: body limit 1000 -> 900",
        "changed queue h/x/: time-out 1.5s -> 2s",
        "added queue h/z/",
        "removed queue h/y/",
    ];
    assert_eq!(lines, expected);
    assert_eq!(
        check(&new, &bounds(), Some(&old))[0].problem.code(),
        "old-version"
    );
    assert_eq!(check(&old, &bounds(), Some(&old)), [], "sent again");
    new.version = Version(8);
    assert_eq!(check(&new, &bounds(), Some(&old)), []);
}
