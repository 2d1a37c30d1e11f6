//! The client for targets against stand-in targets and against peers that break the protocol.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{unbounded, Receiver, Sender};
use greengage_control::call::{Action, AttemptState, Call, CallResult, Start};
use greengage_core::{
    AccountName, Address, AttemptId, Capacity, GuardAction, Incarnation, JobKey, Name, Payload,
    SortedMap, TargetName, TemplateName, Term, ZoneName,
};
use greengage_http::target::{Client, Settings};
use greengage_standin::{Behaviour, Target, TargetSettings};

/// A client for one target, with the results of its calls.
struct TestClient {
    calls: Sender<(u64, Call)>,
    seen: Receiver<(u64, CallResult)>,
    target: TargetName,
    incarnation: Incarnation,
    address: SocketAddr,
}

impl TestClient {
    fn new(address: SocketAddr, incarnation: Incarnation, settings: Settings) -> TestClient {
        let (calls, receiver) = unbounded();
        let (sender, seen) = unbounded();
        Client::start(settings, receiver, move |token, result| {
            let _ = sender.send((token, result));
        })
        .unwrap();
        TestClient {
            calls,
            seen,
            target: TargetName::new("t").unwrap(),
            incarnation,
            address,
        }
    }

    fn for_target(target: &Target) -> TestClient {
        TestClient::new(target.address(), target.incarnation(), Settings::default())
    }

    fn send(&self, token: u64, action: Action) {
        let call = Call {
            target: self.target.clone(),
            incarnation: self.incarnation,
            address: Address::new(&self.address.to_string()).unwrap(),
            action,
        };
        self.calls.send((token, call)).unwrap();
    }

    fn next_seen(&self) -> (u64, CallResult) {
        self.seen.recv_timeout(Duration::from_secs(8)).unwrap()
    }

    fn call(&self, action: Action) -> CallResult {
        self.send(0, action);
        self.next_seen().1
    }

    fn start(&self, task: u32, json: &str) -> CallResult {
        self.call(start(task, 1, json))
    }
}

fn id(task: u32) -> AttemptId {
    AttemptId {
        key: JobKey {
            account: AccountName::new("acme").unwrap(),
            zone: ZoneName::new("a").unwrap(),
            id: Name::new("job:1").unwrap(),
        },
        task,
        number: 1,
    }
}

fn start(task: u32, term: u64, json: &str) -> Action {
    Action::Start(Start {
        attempt: id(task),
        term: Term(term),
        zone: ZoneName::new("a").unwrap(),
        template: TemplateName::new("tours").unwrap(),
        values: SortedMap::new(),
        payload: Payload::new(json.as_bytes()),
        time_left: Duration::from_secs(5),
    })
}

fn poll(task: u32, new_connection: bool) -> Action {
    let attempt = id(task);
    Action::Poll {
        attempt,
        new_connection,
    }
}

fn revoke(task: u32) -> Action {
    Action::Revoke { attempt: id(task) }
}

fn fence(term: u64) -> Action {
    Action::Fence {
        zone: ZoneName::new("a").unwrap(),
        term: Term(term),
    }
}

fn target(behaviour: Behaviour) -> Target {
    let mut settings = TargetSettings::new("t1", "a", &["tours"], &[]);
    settings.behaviour = behaviour;
    settings.hold_limit = Duration::from_millis(300);
    Target::start(settings).unwrap()
}

#[track_caller]
fn result(seen: CallResult) -> String {
    match seen {
        CallResult::State(AttemptState::Done { result, .. }) => {
            String::from_utf8(result.to_vec()).unwrap()
        }
        other => panic!("{other:?}"),
    }
}

fn is_not_run(seen: &CallResult) -> bool {
    matches!(seen, CallResult::NotRun { .. })
}

fn is_broken(seen: &CallResult) -> bool {
    matches!(seen, CallResult::Broken { .. })
}

fn is_failed(seen: &CallResult) -> bool {
    matches!(seen, CallResult::State(AttemptState::Failed { .. }))
}

/// Guards against a state of an attempt that is decoded as another one, and against a repeated
/// start that runs the task twice.
#[test]
fn attempt_states() {
    let target = target(Behaviour::Normal);
    let client = TestClient::for_target(&target);
    let done = result(client.start(0, r#"{"sleep_ms":5,"echo":{"n":1}}"#));
    assert_eq!(done, r#"{"echo":{"n":1},"target":"t1"}"#);
    assert_eq!(result(client.start(0, r#"{"echo":2}"#)), done);
    let failure = client.start(1, r#"{"fail":true}"#);
    let message = "the task asked to fail".to_string();
    assert_eq!(failure, CallResult::State(AttemptState::Failed { message }));
    let guard = CallResult::State(AttemptState::Guard(GuardAction::Checkpointed));
    assert_eq!(client.start(2, r#"{"guard":"checkpointed"}"#), guard);
    let running = client.start(3, r#"{"sleep_ms":700}"#);
    assert_eq!(running, CallResult::State(AttemptState::Running));
    let done = r#"{"echo":null,"target":"t1"}"#;
    assert_eq!(
        client.call(poll(3, true)),
        CallResult::State(AttemptState::Running)
    );
    assert_eq!(result(client.call(poll(3, false))), done);
    assert_eq!(client.call(poll(9, false)), CallResult::Forgotten);
    client.send(4, start(4, 1, r#"{"sleep_ms":5000}"#));
    assert_eq!(
        client.next_seen().1,
        CallResult::State(AttemptState::Running)
    );
    assert!(is_failed(&client.call(Action::Stop { attempt: id(4) })));
    assert_eq!(target.running_tasks(), 0);
    let run_count = target.starts().iter().filter(|s| s.executed).count();
    assert_eq!((run_count, target.starts().len()), (5, 6));
}

/// Guards against a start after a revoke, and against `never` for an attempt that has started.
#[test]
fn revoke_and_restart() {
    let target = target(Behaviour::Normal);
    let mut client = TestClient::for_target(&target);
    assert_eq!(
        client.call(revoke(0)),
        CallResult::State(AttemptState::Never)
    );
    assert!(is_not_run(&client.start(0, "{}")));
    client.send(1, start(1, 1, r#"{"sleep_ms":200}"#));
    while target.running_tasks() == 0 {
        thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(
        client.call(revoke(1)),
        CallResult::State(AttemptState::Running)
    );
    result(client.next_seen().1);
    result(client.call(revoke(1)));
    // The next incarnation has lost the attempt, so it must not say that it never ran.
    let target = target.restart().unwrap();
    assert_eq!(client.call(revoke(1)), CallResult::Restarted);
    assert_eq!(client.call(poll(1, true)), CallResult::Restarted);
    assert!(is_not_run(&client.start(2, "{}")));
    client.incarnation = target.incarnation();
    result(client.start(2, "{}"));
    assert_eq!(target.starts().iter().filter(|s| s.executed).count(), 1);
}

/// Guards against a new leader that starts a task a second time, because a start of a lower term is
/// accepted after the fence or the fence doesn't list every attempt of its zone.
#[test]
fn fences() {
    let target = target(Behaviour::Normal);
    let client = TestClient::for_target(&target);
    result(client.start(0, r#"{"echo":0}"#));
    assert_eq!(
        client.call(revoke(1)),
        CallResult::State(AttemptState::Never)
    );
    client.send(2, start(2, 1, r#"{"sleep_ms":600}"#));
    assert_eq!(
        client.next_seen().1,
        CallResult::State(AttemptState::Running)
    );
    let CallResult::Fenced {
        incarnation,
        attempts,
    } = client.call(fence(5))
    else {
        panic!("the fence was not answered with `Fenced`");
    };
    assert_eq!(incarnation, target.incarnation());
    let listed: Vec<u32> = attempts.iter().map(|(id, _)| id.task).collect();
    assert_eq!(listed, [0, 1, 2]);
    assert!(matches!(attempts[0].1, AttemptState::Done { .. }));
    assert_eq!(attempts[1].1, AttemptState::Never);
    assert_eq!(attempts[2].1, AttemptState::Running);
    assert!(is_not_run(&client.call(start(3, 4, "{}"))));
    assert!(is_broken(&client.call(fence(4))));
    result(client.call(start(3, 5, "{}")));
    let log = target.starts();
    let terms: Vec<(u64, bool)> = log.iter().map(|s| (s.term.0, s.executed)).collect();
    assert_eq!(terms, [(1, true), (1, true), (4, false), (5, true)]);
}

/// Guards against a refused start that isn't reported as not run, and against starts beyond the
/// slots.
#[test]
fn refusals() {
    let target = target(Behaviour::Normal);
    let client = TestClient::for_target(&target);
    for task in 0..9 {
        client.send(task, start(task as u32, 1, r#"{"sleep_ms":200}"#));
    }
    let seen: Vec<CallResult> = (0..9).map(|_| client.next_seen().1).collect();
    assert_eq!(seen.iter().filter(|s| is_not_run(s)).count(), 1);
    target.set_behaviour(Behaviour::Refuse);
    assert!(is_not_run(&client.start(20, "{}")));
    target.set_behaviour(Behaviour::Fail);
    assert!(is_failed(&client.start(21, "{}")));
}

/// Guards against a duplicate answer that is taken for the answer to the connection's next call.
#[test]
fn duplicate_answers() {
    let target = target(Behaviour::Duplicate);
    let client = TestClient::for_target(&target);
    let mut broken = 0;
    for round in 0..40u32 {
        for slot in 0..4 {
            let task = round * 4 + slot;
            let json = format!(r#"{{"echo":{task}}}"#);
            client.send(task.into(), start(task, 1, &json));
        }
        for _ in 0..4 {
            let (token, seen) = client.next_seen();
            if is_broken(&seen) {
                broken += 1;
                continue;
            }
            let expected = format!(r#"{{"echo":{token},"target":"t1"}}"#);
            assert_eq!(result(seen), expected);
        }
    }
    println!("calls broken by a duplicate answer: {broken} of 160");
}

/// Guards against a call that outlasts its timeout while it waits for a late answer.
#[test]
fn late_answer() {
    let target = target(Behaviour::Delay(Duration::from_millis(3500)));
    let client = TestClient::for_target(&target);
    let sent_at = Instant::now();
    let seen = client.start(0, "{}");
    assert!(is_broken(&seen), "{seen:?}");
    let elapsed = sent_at.elapsed();
    // The kernel rounds receive timeouts of seconds up by as much as 250 ms.
    assert!(elapsed < Duration::from_millis(3000), "{elapsed:?}");
}

/// Guards against wrong results of calls to a crashing target: a start must be broken when its task
/// is cut off, and not run once the port is closed.
#[test]
fn crash_during_task() {
    let target = target(Behaviour::Crash);
    let client = TestClient::for_target(&target);
    assert!(is_broken(&client.start(0, r#"{"sleep_ms":100}"#)));
    while TcpStream::connect(target.address()).is_ok() {
        thread::sleep(Duration::from_millis(1));
    }
    assert!(target.has_crashed());
    assert!(is_not_run(&client.start(1, "{}")));
    assert!(is_broken(&client.call(revoke(0))));
}

/// Guards against calls that hang on a connection whose peer went silent, and against calls on new
/// connections, such as a revoke, that wait for it.
#[test]
fn silent_connections() {
    let target = target(Behaviour::Normal);
    let client = TestClient::for_target(&target);
    result(client.start(0, "{}"));
    target.set_behaviour(Behaviour::Silent);
    thread::sleep(Duration::from_millis(50));
    // The idle connection of the first start is silent now; these calls must not use it.
    result(client.call(revoke(0)));
    result(client.call(poll(0, true)));
    let sent_at = Instant::now();
    client.send(1, start(1, 1, r#"{"echo":1}"#));
    thread::sleep(Duration::from_millis(200));
    client.send(2, poll(1, true));
    let (token, seen) = client.next_seen();
    assert_eq!(token, 2);
    result(seen);
    let (token, seen) = client.next_seen();
    assert_eq!(token, 1);
    assert!(is_broken(&seen));
    assert!(sent_at.elapsed() < Duration::from_millis(3000));
    result(client.start(2, "{}"));
}

/// A peer that reads up to `read_limit` bytes of each request and then closes the connection, which
/// resets it where bytes were left unread.
fn closing_peer(read_limit: usize) -> (SocketAddr, Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, receiver) = unbounded();
    thread::spawn(move || {
        for stream in listener.incoming().take(64) {
            let mut stream = stream.unwrap();
            let mut buffer = vec![0; read_limit];
            let read_bytes = match read_limit {
                0 => 0,
                _ => stream.read(&mut buffer).unwrap_or(0),
            };
            let _ = sender.send(read_bytes);
        }
    });
    (address, receiver)
}

/// Guards against `NotRun` after a byte was sent: when the peer closes or resets the connection
/// before, while or after the request arrives, or answers with anything but a valid refusal.
#[test]
fn not_run_only_before_the_first_byte() {
    for read_limit in [0, 1, 40, 100_000] {
        let (address, _) = closing_peer(read_limit);
        let client = TestClient::new(address, Incarnation(1), Settings::default());
        for task in 0..10 {
            let seen = client.start(task, "{}");
            assert!(is_broken(&seen), "{read_limit}: {seen:?}");
        }
    }
    for answer in [
        "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Busy\r\nContent-Length: 19\r\n\r\n{\"state\":\"refused\"}",
        "HTTP/1.1 307 Moved\r\nLocation: /v1/attempts\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n{\"state\":\"never\"}",
        "garbage\r\n\r\n",
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let peer = thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let _ = stream.read(&mut [0; 4096]);
            stream.write_all(answer.as_bytes()).unwrap();
        });
        let client = TestClient::new(address, Incarnation(1), Settings::default());
        let seen = client.start(0, "{}");
        assert!(is_broken(&seen), "{answer}: {seen:?}");
        peer.join().unwrap();
    }
    // Nothing listens on this port, so nothing can have been sent.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let client = TestClient::new(address, Incarnation(1), Settings::default());
    assert!(is_not_run(&client.start(0, "{}")));
    assert!(is_broken(&client.call(revoke(0))));
}

/// Guards against the reuse of an idle connection that the target has closed, and against taking it
/// for a refused connection.
#[test]
fn idle_connection_closed_by_the_target() {
    let original = target(Behaviour::Normal);
    let client = TestClient::for_target(&original);
    result(client.start(0, "{}"));
    let restarted = original.restart().unwrap();
    let client = TestClient {
        incarnation: restarted.incarnation(),
        ..client
    };
    result(client.start(1, "{}"));
}

/// Guards against more connections to one target than the limit, and against calls that fail
/// instead of waiting for a connection.
#[test]
fn bounded_connections() {
    let mut settings = TargetSettings::new("t1", "a", &[], &[]);
    settings.capacity = Capacity::Executor {
        slots: 1000,
        connections: 6,
    };
    let target = Target::start(settings).unwrap();
    let settings = Settings {
        max_per_target: 4,
        max_fresh: 2,
        ..Settings::default()
    };
    let client = TestClient::new(target.address(), target.incarnation(), settings);
    let sent_at = Instant::now();
    for task in 0..60 {
        client.send(task, start(task as u32, 1, r#"{"sleep_ms":20}"#));
        client.send(1000 + task, revoke(5000 + task as u32));
    }
    for _ in 0..120 {
        match client.next_seen() {
            (0..=999, seen) => drop(result(seen)),
            (_, seen) => assert_eq!(seen, CallResult::State(AttemptState::Never)),
        }
    }
    // 60 tasks of 20 ms on four connections take at least 300 ms.
    assert!(sent_at.elapsed() >= Duration::from_millis(300));
}

/// Guards against threads and connections that outlive a stopped target, and against starts missing
/// from the start log, also after a restart.
#[test]
fn stop_and_log() {
    let thread_names = || -> Vec<String> {
        std::fs::read_dir("/proc/self/task")
            .unwrap()
            .filter_map(|task| std::fs::read_to_string(task.unwrap().path().join("comm")).ok())
            .filter(|name| name.starts_with("stopped"))
            .collect()
    };
    let folder = tempfile::tempdir().unwrap();
    let log_path = folder.path().join("starts");
    let mut settings = TargetSettings::new("stopped", "a", &[], &[]);
    settings.log = Some(log_path.clone());
    let target = Target::start(settings).unwrap();
    let mut client = TestClient::for_target(&target);
    result(client.start(0, "{}"));
    result(client.start(1, "{}"));
    let target = target.restart().unwrap();
    assert!(is_not_run(&client.start(2, "{}")));
    client.incarnation = target.incarnation();
    client.send(3, start(3, 7, r#"{"sleep_ms":5000}"#));
    while target.running_tasks() == 0 {
        thread::sleep(Duration::from_millis(1));
    }
    assert!(thread_names().len() >= 3);
    target.stop();
    assert!(is_broken(&client.next_seen().1));
    // A pool thread reports its end before the system removes it from the list; on a busy machine
    // that can take more than 500 ms.
    let end = Instant::now() + Duration::from_secs(5);
    while !thread_names().is_empty() {
        assert!(Instant::now() < end, "{:?} remain", thread_names());
        thread::sleep(Duration::from_millis(1));
    }
    let log = std::fs::read_to_string(&log_path).unwrap();
    let lines: Vec<&str> = log
        .lines()
        .map(|line| line.split_once(' ').unwrap().1)
        .collect();
    let expected = [
        "a/acme/job:1/0/1 1 run",
        "a/acme/job:1/1/1 1 run",
        "a/acme/job:1/2/1 1 refused",
        "a/acme/job:1/3/1 7 run",
    ];
    assert_eq!(lines, expected);
}
