//! Tests of document validation, queue selection and the replicated state.

use std::sync::Arc;
use std::time::Duration;

use greengage_config::{Document, DocumentError, Edit, Limits, Queue, Service, State, StateChange};
use greengage_core::{Payload, Version};

fn queue(name: &str, host: &str, prefix: &str) -> Queue {
    Queue {
        name: name.into(),
        host: host.into(),
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

fn document(version: u64, queues: Vec<Queue>) -> Document {
    Document {
        version: Version(version),
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

/// Guards against a request that is routed by a shorter prefix or to another host's queue.
#[test]
fn longest_prefix_of_the_host_wins() {
    let queues = vec![
        queue("b", "two", "/"),
        queue("a", "one", "/x/"),
        queue("c", "one", "/x/y/"),
    ];
    let document = document(1, queues).validated().unwrap();
    let name = |host, path| document.queue(host, path).map(|q| q.name.to_string());
    assert_eq!(name("one", "/x/1"), Some("a".to_string()));
    assert_eq!(name("one", "/x/y/1"), Some("c".to_string()));
    assert_eq!(name("two", "/x/y/1"), Some("b".to_string()));
    assert_eq!(name("one", "/z/1"), None);
    assert_eq!(name("three", "/x/1"), None);
}

/// Guards against an invalid document that is accepted.
#[test]
fn invalid_documents_are_rejected() {
    let duplicate = vec![queue("a", "one", "/x/"), queue("b", "one", "/x/")];
    let error = document(1, duplicate).validated().unwrap_err();
    assert!(matches!(error, DocumentError::DuplicateRoute { .. }));
    let mut unknown_service = queue("a", "one", "/x/");
    unknown_service.service = "none".into();
    let error = document(1, vec![unknown_service]).validated().unwrap_err();
    assert!(matches!(error, DocumentError::UnknownService { .. }));
    let mut zero_timeout = queue("a", "one", "/x/");
    zero_timeout.timeout = Duration::ZERO;
    let error = document(1, vec![zero_timeout]).validated().unwrap_err();
    assert!(matches!(error, DocumentError::ZeroTimeout(_)));
}

/// Guards against a state whose version decreases or whose content changes under the same version.
#[test]
fn highest_version_and_its_first_content_win() {
    let edit = |version, name: &str| {
        let queues = vec![queue(name, "one", "/x/")];
        Edit::Document(Arc::new(document(version, queues)))
    };
    let mut state = State::default();
    let applied: Vec<bool> = [(5, "a"), (5, "b"), (4, "c"), (9, "d"), (9, "d")]
        .into_iter()
        .map(|(version, name)| state.apply(edit(version, name)) == StateChange::Document)
        .collect();
    assert_eq!(applied, [true, false, false, true, false]);
    assert_eq!(&*state.document.unwrap().queues[0].name, "d");
}
