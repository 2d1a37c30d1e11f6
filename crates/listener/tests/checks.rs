//! Checks that tell until when all disconnects have been reported.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use greengage_listener::{start_direct, Answer, Limits, Listener, Request, Responder, Service};
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use socket2::SockRef;

const TIMEOUT: Duration = Duration::from_secs(5);
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Connections of each kind; together more than the tasks that the runtime runs at a time.
const CONNECTIONS: usize = 80;

#[derive(Debug, PartialEq, Eq)]
enum Event {
    Call(u64),
    Disconnected(u64),
    Checked,
}

/// Records what it is told. A request for `/block` blocks the listener's thread until the test lets it
/// go on, as a pause of the process does.
struct Recorder {
    events: Mutex<Sender<Event>>,
    resume: Mutex<Receiver<()>>,
    waiting: Mutex<Vec<Responder>>,
}

impl Recorder {
    fn record(&self, event: Event) {
        let _ = self.events.lock().unwrap().send(event);
    }
}

impl Service for Recorder {
    fn call(&self, number: u64, request: Request, responder: Responder) {
        self.record(Event::Call(number));
        if request.path == "/block" {
            let _ = self.resume.lock().unwrap().recv_timeout(TIMEOUT);
        }
        self.waiting.lock().unwrap().push(responder);
    }

    fn disconnected(&self, number: u64) {
        self.record(Event::Disconnected(number));
    }

    fn check_interval(&self) -> Option<Duration> {
        Some(CHECK_INTERVAL)
    }

    fn connections_checked(&self) {
        self.record(Event::Checked);
    }
}

fn send(listener: &Listener, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(listener.address()).unwrap();
    write!(stream, "GET {path} HTTP/1.1\r\nHost: h\r\n\r\n").unwrap();
    stream
}

/// Receives events until a call arrives.
fn next_call(events: &Receiver<Event>) -> u64 {
    loop {
        match events.recv_timeout(TIMEOUT).expect("a call") {
            Event::Call(number) => return number,
            Event::Disconnected(_) | Event::Checked => {}
        }
    }
}

/// Guards against a service that takes a caller for waiting although it has left while the thread was
/// paused, or before its request was read.
#[test]
fn check_follows_the_disconnects_of_a_paused_thread() {
    let (sender, events) = channel();
    let (resume, resumed) = channel();
    let service = Recorder {
        events: Mutex::new(sender),
        resume: Mutex::new(resumed),
        waiting: Mutex::new(Vec::new()),
    };
    let reject = |status, message: &str| Answer::json(status, message);
    let address = "127.0.0.1:0".parse().unwrap();
    let listener = start_direct(
        "test",
        address,
        Limits::default(),
        reject,
        Box::new(service),
    )
    .unwrap();
    let mut left = Vec::new();
    let mut streams = Vec::new();
    for _ in 0..CONNECTIONS {
        streams.push(send(&listener, "/wait"));
        left.push(next_call(&events));
    }
    let blocked = send(&listener, "/block");
    next_call(&events);
    for _ in 0..CONNECTIONS {
        streams.push(send(&listener, "/late"));
    }
    drop(streams);
    thread::sleep(CHECK_INTERVAL * 3);
    resume.send(()).unwrap();
    let mut checks = 0;
    while checks < 2 {
        match events.recv_timeout(TIMEOUT).expect("a check") {
            Event::Checked => checks += 1,
            Event::Call(number) => left.push(number),
            Event::Disconnected(number) => left.retain(|other| *other != number),
        }
    }
    assert!(left.is_empty(), "not reported: {left:?}");
    drop(blocked);
}

/// Connections that end at a time; more than the 1,024 events that the reactor takes in one look.
const MANY_CONNECTIONS: usize = 6000;

/// Descriptors that the test needs: two for each connection, and some others.
const DESCRIPTORS: u64 = 2 * MANY_CONNECTIONS as u64 + 200;

/// Raises the limit of open descriptors, which is 1,024 by default on many machines.
fn allow_descriptors() {
    let limit = getrlimit(Resource::Nofile);
    if limit.current.is_some_and(|current| current < DESCRIPTORS) {
        let raised = Rlimit {
            current: Some(DESCRIPTORS),
            ..limit
        };
        setrlimit(Resource::Nofile, raised).expect("a hard limit of enough descriptors");
    }
}

/// Pauses the listener's thread at the start of a check, once it is told to.
struct PausedCheck {
    recorder: Recorder,
    pause: AtomicBool,
    paused: Mutex<Sender<()>>,
}

struct PausedService(Arc<PausedCheck>);

impl Service for PausedService {
    fn call(&self, number: u64, request: Request, responder: Responder) {
        self.0.recorder.call(number, request, responder);
    }

    fn disconnected(&self, number: u64) {
        self.0.recorder.disconnected(number);
    }

    fn check_interval(&self) -> Option<Duration> {
        Some(CHECK_INTERVAL)
    }

    fn connections_checked(&self) {
        if self.0.pause.swap(false, Ordering::SeqCst) {
            let _ = self.0.paused.lock().unwrap().send(());
            let _ = self.0.recorder.resume.lock().unwrap().recv_timeout(TIMEOUT);
        }
        self.0.recorder.connections_checked();
    }
}

/// Guards against a check that is reported although the reactor hasn't looked at all connections since
/// the previous one.
#[test]
fn check_follows_more_disconnects_than_one_look_at_the_sockets_finds() {
    allow_descriptors();
    let (sender, events) = channel();
    let (resume, resumed) = channel();
    let (paused_sender, paused) = channel();
    let service = Arc::new(PausedCheck {
        recorder: Recorder {
            events: Mutex::new(sender),
            resume: Mutex::new(resumed),
            waiting: Mutex::new(Vec::new()),
        },
        pause: AtomicBool::new(false),
        paused: Mutex::new(paused_sender),
    });
    let reject = |status, message: &str| Answer::json(status, message);
    let address = "127.0.0.1:0".parse().unwrap();
    let limits = Limits::default();
    let listener = start_direct(
        "test",
        address,
        limits,
        reject,
        Box::new(PausedService(service.clone())),
    )
    .unwrap();
    let mut left = Vec::new();
    let mut streams = Vec::new();
    for _ in 0..MANY_CONNECTIONS {
        streams.push(send(&listener, "/wait"));
        left.push(next_call(&events));
    }
    service.pause.store(true, Ordering::SeqCst);
    paused.recv_timeout(TIMEOUT).unwrap();
    while events.try_recv().is_ok() {}
    drop(streams);
    thread::sleep(CHECK_INTERVAL * 3);
    resume.send(()).unwrap();
    let mut checks = 0;
    while checks < 2 {
        match events.recv_timeout(TIMEOUT).expect("a check") {
            Event::Checked => checks += 1,
            Event::Call(number) => left.push(number),
            Event::Disconnected(number) => left.retain(|other| *other != number),
        }
    }
    assert!(left.is_empty(), "{} were not reported", left.len());
}

/// Guards against a caller that counts as waiting after it has left, because bytes follow its request.
#[test]
fn caller_that_sends_an_empty_line_after_its_request_is_reported_when_it_leaves() {
    let (sender, events) = channel();
    let (_resume, resumed) = channel();
    let service = Recorder {
        events: Mutex::new(sender),
        resume: Mutex::new(resumed),
        waiting: Mutex::new(Vec::new()),
    };
    let reject = |status, message: &str| Answer::json(status, message);
    let address = "127.0.0.1:0".parse().unwrap();
    let limits = Limits::default();
    let listener = start_direct("test", address, limits, reject, Box::new(service)).unwrap();
    let mut stream = send(&listener, "/wait");
    let call = next_call(&events);
    stream.write_all(b"\r\n").unwrap();
    thread::sleep(CHECK_INTERVAL);
    drop(stream);
    for _ in 0..10 {
        let event = events.recv_timeout(TIMEOUT).expect("an event");
        if event == Event::Disconnected(call) {
            return;
        }
    }
    panic!("the caller has left, but counts as waiting");
}

/// Guards against a caller that counts as waiting after its connection was reset, because its next
/// request, of any size, was sent before the response.
#[test]
fn caller_that_sends_its_next_request_early_is_reported_when_it_is_reset() {
    for (next_bytes, reset) in [
        (100, true),
        (100, false),
        (64 << 10, true),
        (64 << 10, false),
    ] {
        let (sender, events) = channel();
        let (_resume, resumed) = channel();
        let service = Recorder {
            events: Mutex::new(sender),
            resume: Mutex::new(resumed),
            waiting: Mutex::new(Vec::new()),
        };
        let reject = |status, message: &str| Answer::json(status, message);
        let address = "127.0.0.1:0".parse().unwrap();
        let limits = Limits::default();
        let listener = start_direct("test", address, limits, reject, Box::new(service)).unwrap();
        let mut stream = TcpStream::connect(listener.address()).unwrap();
        let next = format!("POST /next HTTP/1.1\r\nContent-Length: {next_bytes}\r\n\r\n");
        let requests = ["GET /wait HTTP/1.1\r\nHost: h\r\n\r\n", &next].concat();
        stream.write_all(requests.as_bytes()).unwrap();
        stream.write_all(&vec![b'x'; next_bytes]).unwrap();
        let call = next_call(&events);
        thread::sleep(CHECK_INTERVAL);
        if reset {
            SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
        }
        drop(stream);
        let mut events = std::iter::from_fn(|| events.recv_timeout(TIMEOUT).ok()).take(10);
        assert!(
            events.any(|event| event == Event::Disconnected(call)),
            "the caller counts as waiting; {next_bytes} bytes behind its request, reset {reset}"
        );
    }
}
