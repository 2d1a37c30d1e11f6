//! Stand-in callers and the announcements of stand-in targets, against a VM's front end.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use crossbeam_channel::{unbounded, Receiver};
use greengage_control::api::{ApiError, NewJob, Progress, Reply, Request};
use greengage_core::{
    AccountName, Capacity, Demand, Failure, JobKey, Name, Outcome, TargetName, TemplateName,
    VmName, ZoneName,
};
use greengage_http::front::{self, CallerListener, Limits, ReplySender, Settings};
use greengage_standin::{
    Answer, Caller, CallerError, CallerSettings, Job, SingleRequest, Target, TargetSettings,
};
use serde_json::json;

/// A front end that answers each request with `answer` and passes it on to the receiver.
fn vm(
    answer: impl Fn(&Request) -> Reply + Send + Sync + 'static,
) -> (CallerListener, Receiver<Request>) {
    let (sender, receiver) = unbounded();
    let replies: Arc<OnceLock<ReplySender>> = Arc::default();
    let shared_replies = replies.clone();
    let settings = Settings {
        listen: "127.0.0.1:0".parse().unwrap(),
        vm: VmName::new("vm1").unwrap(),
        limits: Limits::default(),
    };
    let front = front::start(settings, move |id, _, request| {
        shared_replies.wait().reply(id, answer(&request));
        let _ = sender.send(request);
        true
    })
    .unwrap();
    assert!(replies.set(front.replies()).is_ok());
    (front, receiver)
}

fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn caller(entries: &[SocketAddr]) -> Caller {
    Caller::new(CallerSettings {
        entries: entries.to_vec(),
        account: AccountName::new("acme").unwrap(),
        answer_margin: Duration::from_secs(2),
    })
}

fn job(id: &str) -> Job {
    Job {
        id: Name::new(id).unwrap(),
        zone: Some(ZoneName::new("a").unwrap()),
        template: TemplateName::new("tours").unwrap(),
        tasks: vec![json!({"sleep_ms": 1}), json!([2])],
    }
}

fn key(id: &Name) -> JobKey {
    JobKey {
        account: AccountName::new("acme").unwrap(),
        zone: ZoneName::new("a").unwrap(),
        id: id.clone(),
    }
}

fn progress(id: &Name, progress: Progress) -> Reply {
    Reply::Job {
        key: key(id),
        progress,
    }
}

fn complete(job: &NewJob) -> Reply {
    let outcome = Outcome::Complete(job.tasks.clone());
    progress(&job.id, Progress::Closed(Arc::new(outcome)))
}

fn next_announcement(requests: &Receiver<Request>) -> greengage_membership::Announcement {
    match requests.recv_timeout(Duration::from_secs(3)).unwrap() {
        Request::Announce(announcement) => announcement,
        other => panic!("{other:?}"),
    }
}

/// Guards against answers decoded as another kind: a failure taken for a result, or "may have run"
/// taken for "not run", would let other tests pass that should fail.
#[test]
fn answers() {
    let (front, requests) = vm(|request| match request {
        Request::Submit(job) => match job.id.as_str() {
            "done" => complete(job),
            "queued" => progress(&job.id, Progress::Queued),
            "begun" => progress(&job.id, Progress::Begun),
            "lost" => {
                let failure = Failure::MayHaveRun {
                    task: 1,
                    target: None,
                };
                let outcome = Arc::new(Outcome::Failed(failure));
                progress(&job.id, Progress::Closed(outcome))
            }
            _ => Reply::Error(ApiError::OtherContent(key(&job.id))),
        },
        Request::Single(single) => {
            Reply::Single(Arc::new(Outcome::Complete(vec![single.task.clone()])))
        }
        Request::Cancel(key) => {
            let outcome = Arc::new(Outcome::Failed(Failure::Cancelled {
                maybe_started: false,
            }));
            progress(&key.id, Progress::Closed(outcome))
        }
        _ => Reply::Error(ApiError::UnknownOutcome { key: None }),
    });
    let caller = caller(&[front.address()]);
    let submit = |id: &str| caller.submit(&job(id), Duration::from_secs(1)).unwrap();
    let name = |id: &str| format!("a/acme/{id}");
    let tasks = job("done").tasks;
    let expected = Answer::Complete {
        key: Some(name("done")),
        results: tasks.clone(),
    };
    assert_eq!(submit("done"), expected);
    let pending = |id, begun| Answer::Pending {
        key: name(id),
        begun,
    };
    assert_eq!(submit("queued"), pending("queued", false));
    assert_eq!(submit("begun"), pending("begun", true));
    assert!(
        matches!(submit("lost"), Answer::Failed { not_run: false, reason, .. } if reason == "may_have_run")
    );
    assert!(matches!(submit("other"), Answer::Error { status: 409, .. }));
    assert_eq!(requests.len(), 5);
    let single = SingleRequest {
        id: None,
        zone: None,
        template: TemplateName::new("tours").unwrap(),
        task: json!("x"),
    };
    let expected = Answer::Complete {
        key: None,
        results: vec![json!("x")],
    };
    assert_eq!(caller.request(&single, Duration::ZERO).unwrap(), expected);
    let key = key(&Name::new("c").unwrap());
    let cancelled = caller.cancel(&key, Duration::ZERO).unwrap();
    assert!(matches!(cancelled, Answer::Failed { not_run: true, .. }));
    let unknown = caller.wait(&key, Duration::ZERO).unwrap();
    assert!(matches!(
        unknown,
        Answer::Error {
            status: 504,
            not_run: false,
            ..
        }
    ));
}

/// Guards against a caller that doesn't fail over from a stopped or unavailable VM, that resubmits
/// with another id or content, or that doesn't report that nothing was sent.
#[test]
fn failover_and_resubmission() {
    let unavailable = ApiError::Unavailable {
        what: "no leader".to_string(),
    };
    let (first, _) = vm(move |_| Reply::Error(unavailable.clone()));
    let submissions = std::sync::atomic::AtomicUsize::new(0);
    let (second, requests) = vm(move |request| match request {
        Request::Submit(job) => {
            match submissions.fetch_add(1, std::sync::atomic::Ordering::Relaxed) {
                0 => Reply::Error(ApiError::UnknownOutcome { key: None }),
                1 => progress(&job.id, Progress::Begun),
                _ => complete(job),
            }
        }
        other => panic!("{other:?}"),
    });
    let caller_of_three = caller(&[closed_address(), first.address(), second.address()]);
    let answer = caller_of_three.run(&job("j"), Duration::from_secs(5));
    assert!(matches!(answer, Ok(Answer::Complete { .. })), "{answer:?}");
    let sent: Vec<Request> = requests.try_iter().collect();
    assert_eq!(sent.len(), 3);
    assert!(sent.iter().all(|request| *request == sent[0]));
    let caller_of_none = caller(&[closed_address(), closed_address()]);
    let answer = caller_of_none.submit(&job("j"), Duration::ZERO);
    assert!(matches!(
        answer,
        Err(CallerError::NoAnswer { unsent: true, .. })
    ));
}

/// Guards against announcements with wrong content, a target that doesn't fail over to another VM
/// within two announcements, and a leave that waits for the next announcement.
#[test]
fn announcements() {
    let (first, first_requests) = vm(|_| Reply::Acknowledged);
    let (second, second_requests) = vm(|_| Reply::Acknowledged);
    let entries = [first.address(), second.address()];
    let mut settings = TargetSettings::new("w1", "a", &["tours", "prices"], &entries);
    settings.rack = Some(greengage_core::RackName::new("r1").unwrap());
    settings.capacity = Capacity::Worker(Demand {
        milli_cores: 16_000,
        memory_mib: 65_536,
        accelerators: 0,
    });
    settings.announce_interval = Duration::from_millis(200);
    let target = Target::start(settings.clone()).unwrap();
    let announcement = next_announcement(&first_requests);
    assert_eq!(announcement.target.as_str(), "w1");
    assert_eq!(announcement.address.as_str(), target.address().to_string());
    assert_eq!(announcement.incarnation, target.incarnation());
    assert_eq!(announcement.capacity, settings.capacity);
    assert_eq!(announcement.rack, settings.rack);
    assert_eq!(announcement.work, settings.work);
    assert_eq!(announcement.usage, Some(Demand::default()));
    assert!(announcement.fencing && !announcement.leaving);
    let closed_at = Instant::now();
    drop(first);
    next_announcement(&second_requests);
    assert!(closed_at.elapsed() < Duration::from_millis(1500));
    let left_at = Instant::now();
    target.leave();
    while !next_announcement(&second_requests).leaving {}
    assert!(
        left_at.elapsed() < Duration::from_millis(150),
        "{:?}",
        left_at.elapsed()
    );
    assert!(target.deregister());
    let name = TargetName::new("w1").unwrap();
    let end = Instant::now() + Duration::from_secs(2);
    while second_requests.recv_deadline(end).unwrap() != Request::Leave(name.clone()) {}
}
