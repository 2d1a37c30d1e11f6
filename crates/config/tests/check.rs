//! Tests of the warnings about a document and of the differences between two documents.

use std::time::Duration;

use greengage_config::{
    check, differences, Bounds, Document, Entry, Finding, Limits, Problem, Queue, Service,
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

/// Guards against a queue that loses some of its jobs to one whose prefix goes on like an id.
#[test]
fn hidden_ids_are_those_of_another_queue() {
    let document = document(vec![queue("wide", "/x/"), queue("long", "/x/0a")]);
    let problem = Problem::HiddenIds {
        other: "long".into(),
        start: "0a".into(),
    };
    let entry = Entry::Queue(0);
    assert_eq!(
        check(&document, &bounds(), None),
        [Finding { entry, problem }]
    );
    let document = document.validated().unwrap();
    for (path, name) in [("/x/0abc", "long"), ("/x/0bbc", "wide")] {
        assert_eq!(&*document.queue("h", path).unwrap().name, name);
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
    new.limits.max_body_bytes = 0;
    assert_eq!(check(&new, &bounds(), None)[0].problem, Problem::ZeroBody);
}
