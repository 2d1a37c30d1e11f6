//! Downloads, played against providers in memory.

use std::sync::Arc;
use std::time::Duration;

use greengage_config::{Document, Limits, Queue, Service};
use greengage_core::{Payload, Time, Version, VmName};
use greengage_distribution::{
    DistributionMessage, Download, Part, PartRequest, Provider, Received, MAX_PART_BYTES,
};

const QUEUES: usize = 4000;
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);
const OFFER_INTERVAL: Duration = Duration::from_millis(300);
const ZONE_WAIT: Duration = Duration::from_millis(100);

fn queue(i: usize) -> Queue {
    Queue {
        name: format!("r-{i:07}").into(),
        host: "desk.example".into(),
        prefix: format!("/prefix{i:07}/").into(),
        service: "desk".into(),
        timeout: Duration::from_millis(1500),
        latency: Duration::from_millis(60),
        slack_percent: 160,
        priority: 1,
        max_attempts: 4,
        uses_advisor: false,
    }
}

fn document(version: u64, queues: usize) -> Arc<Document> {
    let service = |name: &str| Service {
        name: name.into(),
        max_connections: 64,
    };
    let document = Document {
        version: Version(version),
        queues: (0..queues).map(queue).collect(),
        services: vec![service("bus"), service("desk")],
        limits: Limits { max_body_bytes: 7 },
        source: Payload::new(b"the operator's text".to_vec()),
    };
    Arc::new(document.validated().unwrap())
}

fn provider(documents: &[Arc<Document>]) -> Provider {
    let mut provider = Provider::default();
    for document in documents {
        provider.set_document(Time(0), document.clone());
    }
    provider
}

fn vm(name: &str) -> VmName {
    VmName::new(name).unwrap()
}

fn part(provider: &mut Provider, now: Time, request: &PartRequest) -> Part {
    match provider.answer(now, request.version, request.first) {
        Some(DistributionMessage::Part(part)) => part,
        other => panic!("{request:?} is answered by {other:?}"),
    }
}

/// Exchanges requests and parts until the download is complete; returns the document and the number
/// of its parts.
fn finish(
    download: &mut Download,
    provider: &mut Provider,
    now: Time,
    in_force: Option<Version>,
    mut request: PartRequest,
) -> (Arc<Document>, usize) {
    for parts in 1.. {
        let part = part(provider, now, &request);
        match download.receive(now, in_force, &request.to, part) {
            Received::Next(next) => request = next,
            Received::Document(document) => return (document, parts),
            Received::Ignored => panic!("the part for {request:?} was not waited for"),
        }
    }
    unreachable!()
}

/// Guards against parts that are missing, repeated or larger than the limit.
#[test]
fn document_arrives_whole_in_bounded_parts() {
    let now = Time::from_millis(1);
    let original = document(3, QUEUES);
    let mut provider = provider(std::slice::from_ref(&original));
    let mut download = Download::default();
    let request = download.offered(now, None, &vm("c-1"), true, Version(3));
    let (received, parts) = finish(&mut download, &mut provider, now, None, request.unwrap());
    assert_eq!(received.queues, original.queues);
    assert_eq!(received.services, original.services);
    assert_eq!(received.limits, original.limits);
    let text = |q: &Queue| q.name.len() + q.host.len() + q.prefix.len() + q.service.len() + 16;
    let bytes: usize = original.queues.iter().map(text).sum();
    assert_eq!(parts, bytes.div_ceil(MAX_PART_BYTES));
}

/// Guards against a second copy of a document that is on its way.
#[test]
fn offers_during_a_download_lead_to_no_further_request() {
    let now = Time::from_millis(1);
    let mut download = Download::default();
    assert!(download
        .offered(now, None, &vm("c-1"), true, Version(3))
        .is_some());
    for name in ["c-1", "c-2", "c-3"] {
        let later = now + REQUEST_TIMEOUT / 2;
        assert_eq!(
            download.offered(later, None, &vm(name), true, Version(3)),
            None
        );
        assert_eq!(
            download.offered(later, None, &vm(name), true, Version(4)),
            None
        );
    }
}

/// Guards against a part that arrives twice and doubles the requests of the rest of the download.
#[test]
fn repeated_part_is_ignored() {
    let now = Time::from_millis(1);
    let mut provider = provider(&[document(3, QUEUES)]);
    let mut download = Download::default();
    let request = download.offered(now, None, &vm("c-1"), true, Version(3));
    let first = part(&mut provider, now, &request.unwrap());
    let next = download.receive(now, None, &vm("c-1"), first.clone());
    assert!(matches!(next, Received::Next(_)), "{next:?}");
    assert_eq!(
        download.receive(now, None, &vm("c-1"), first),
        Received::Ignored
    );
}

/// Guards against a download that starts from the beginning, or ends, because its source is lost.
#[test]
fn download_continues_with_another_vm() {
    let now = Time::from_millis(1);
    let original = document(3, QUEUES);
    let mut provider = provider(std::slice::from_ref(&original));
    let mut download = Download::default();
    let request = download.offered(now, None, &vm("c-1"), true, Version(3));
    let first = part(&mut provider, now, &request.unwrap());
    let items = first.services.len() + first.queues.len();
    download.receive(now, None, &vm("c-1"), first);
    assert_eq!(
        download.offered(now, None, &vm("c-2"), false, Version(3)),
        None
    );
    let late = download.next_wake().unwrap();
    assert_eq!(late, now + REQUEST_TIMEOUT);
    let request = download.tick(late, None).unwrap();
    assert_eq!((request.to.as_str(), request.first), ("c-2", items));
    let (received, _) = finish(&mut download, &mut provider, late, None, request);
    assert_eq!(received.queues, original.queues);
}

/// Guards against a download that ends, or asks without pause, while its only source is silent.
#[test]
fn only_source_is_asked_again_with_growing_pauses() {
    let mut download = Download::default();
    let mut now = Time::from_millis(1);
    download.offered(now, None, &vm("c-1"), true, Version(3));
    let mut pauses = Vec::new();
    for _ in 0..5 {
        let due = download.next_wake().unwrap();
        pauses.push(due.since(now).as_millis());
        now = due;
        let request = download.tick(now, None).unwrap();
        assert_eq!((request.to.as_str(), request.first), ("c-1", 0));
    }
    assert_eq!(pauses, [400, 800, 1600, 1600, 1600]);
}

/// Guards against a VM that receives nothing while versions change faster than a download takes.
#[test]
fn frequent_changes_do_not_keep_a_download_from_its_end() {
    let mut now = Time::from_millis(1);
    let mut provider = provider(&[document(1, QUEUES)]);
    let mut download = Download::default();
    let request = download.offered(now, None, &vm("c-1"), true, Version(1));
    let mut request = request.unwrap();
    for version in 2..100 {
        let part = part(&mut provider, now, &request);
        match download.receive(now, None, &vm("c-1"), part) {
            Received::Next(next) => request = next,
            Received::Document(document) => return assert_eq!(document.version, Version(1)),
            Received::Ignored => panic!("the part for {request:?} was not waited for"),
        }
        now = now + Duration::from_millis(50);
        provider.set_document(now, document(version, QUEUES));
        let offered = download.offered(now, None, &vm("c-1"), true, Version(version));
        assert_eq!(offered, None);
    }
    panic!("no version arrived");
}

/// Guards against a download that waits forever for a version that its source has replaced.
#[test]
fn replaced_document_is_answered_with_the_newest_version() {
    let now = Time::from_millis(1);
    let mut provider = provider(&[document(1, QUEUES), document(2, QUEUES)]);
    let mut download = Download::default();
    let request = download.offered(now, None, &vm("c-1"), true, Version(1));
    let request = request.unwrap();
    let answer = provider.answer(now, request.version, request.first);
    let unavailable = DistributionMessage::Unavailable {
        requested: Version(1),
        newest: Version(2),
    };
    assert_eq!(answer, Some(unavailable));
    let request = download.unavailable(now, None, &vm("c-1"), Version(1), Version(2));
    let (received, _) = finish(&mut download, &mut provider, now, None, request.unwrap());
    assert_eq!(received.version, Version(2));
}

/// Guards against replaced documents that fill the memory of a provider.
#[test]
fn replaced_documents_are_dropped_once_nobody_downloads_them() {
    let now = Time::from_millis(1);
    let mut provider = provider(&[document(1, QUEUES)]);
    assert!(provider.answer(now, Version(1), 0).is_some());
    let replaced = document(2, QUEUES);
    provider.set_document(now, replaced.clone());
    provider.set_document(now + Duration::from_secs(3), document(3, QUEUES));
    assert_eq!(Arc::strong_count(&replaced), 1);
    let answer = provider.answer(now + Duration::from_secs(3), Version(1), 0);
    assert!(matches!(
        answer,
        Some(DistributionMessage::Unavailable { .. })
    ));
}

/// Guards against offers without end, and against none to VMs that have not reported.
#[test]
fn offers_are_repeated_until_the_version_is_reported() {
    let mut provider = provider(&[document(3, 1)]);
    let vms = [vm("e-1"), vm("e-2"), vm("e-3")];
    provider.report(&vms[0], Some(Version(3)));
    provider.report(&vms[1], Some(Version(2)));
    let due = Time(0) + OFFER_INTERVAL;
    assert!(provider
        .offers_due(due - Duration::from_micros(1), &vms)
        .is_empty());
    assert_eq!(provider.offers_due(due, &vms), vms[1..]);
    assert!(provider.offers_due(due, &vms).is_empty());
    provider.report(&vms[1], Some(Version(3)));
    assert_eq!(provider.offers_due(due + OFFER_INTERVAL, &vms), vms[2..]);
}

/// Guards against a version that goes back.
#[test]
fn older_documents_are_ignored() {
    let now = Time::from_millis(1);
    let in_force = Some(Version(5));
    let mut download = Download::default();
    assert_eq!(
        download.offered(now, in_force, &vm("c-1"), true, Version(5)),
        None
    );
    let Some(DistributionMessage::Part(whole)) = provider(&[document(4, 3)]).announcement() else {
        panic!("a small document is announced whole");
    };
    assert_eq!(
        download.receive(now, in_force, &vm("c-1"), whole),
        Received::Ignored
    );
    assert!(download
        .offered(now, in_force, &vm("c-1"), true, Version(6))
        .is_some());
    assert_eq!(download.tick(now + REQUEST_TIMEOUT, Some(Version(6))), None);
    assert_eq!(download.next_wake(), None);
}

/// Guards against all VMs downloading from the leader, and against waiting for another VM too long.
#[test]
fn sources_of_the_own_zone_are_preferred_for_a_limited_time() {
    let now = Time::from_millis(1);
    let in_force = Some(Version(1));
    let mut download = Download::default();
    assert_eq!(
        download.offered(now, in_force, &vm("leader"), false, Version(2)),
        None
    );
    let request = download.offered(now, in_force, &vm("near"), true, Version(2));
    assert_eq!(request.map(|r| r.to), Some(vm("near")));

    let mut download = Download::default();
    assert_eq!(
        download.offered(now, in_force, &vm("leader"), false, Version(2)),
        None
    );
    assert_eq!(download.next_wake(), Some(now + ZONE_WAIT));
    let request = download.tick(now + ZONE_WAIT, in_force);
    assert_eq!(request.map(|r| r.to), Some(vm("leader")));

    let mut download = Download::default();
    let request = download.offered(now, None, &vm("leader"), false, Version(2));
    assert_eq!(request.map(|r| r.to), Some(vm("leader")));
}
