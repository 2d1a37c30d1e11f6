//! Requests that a service handles on the listener's own thread.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Mutex;
use std::time::Duration;

use greengage_listener::{
    start_direct, Answer, Limits, Listener, Request, Responder, Service, Shortage,
};

const TIMEOUT: Duration = Duration::from_secs(5);

enum Event {
    Call(u64, Request, Responder),
    Disconnected(u64),
}

struct Recorder(Mutex<Sender<Event>>);

impl Recorder {
    fn send(&self, event: Event) {
        let _ = self.0.lock().unwrap().send(event);
    }
}

impl Service for Recorder {
    fn call(&self, number: u64, request: Request, responder: Responder) {
        self.send(Event::Call(number, request, responder));
    }

    fn disconnected(&self, number: u64) {
        self.send(Event::Disconnected(number));
    }
}

fn start() -> (Listener, Receiver<Event>) {
    start_with(Limits::default())
}

fn start_with(limits: Limits) -> (Listener, Receiver<Event>) {
    let (sender, events) = channel();
    let service = Box::new(Recorder(Mutex::new(sender)));
    let reject = |status, message: &str| Answer::json(status, message);
    let address = "127.0.0.1:0".parse().unwrap();
    let listener = start_direct("test", address, limits, reject, service);
    (listener.unwrap(), events)
}

const REQUEST: &[u8] = b"POST /a HTTP/1.1\r\nHost: one\r\nX-Wait: 5\r\nContent-Length: 2\r\n\r\n{}";

/// Guards against request headers that do not reach the service and response headers that are lost.
#[test]
fn request_and_answer_carry_their_headers() {
    let (listener, events) = start();
    let mut stream = TcpStream::connect(listener.address()).unwrap();
    stream.write_all(REQUEST).unwrap();
    let Ok(Event::Call(_, request, responder)) = events.recv_timeout(TIMEOUT) else {
        panic!("no call");
    };
    assert_eq!(request.headers.get("host"), Some("one"));
    assert_eq!(request.headers.get("x-wait"), Some("5"));
    responder.send(Answer {
        location: Some("http://two/a".to_string()),
        close: true,
        retry_ms: Some(1500),
        ..Answer::json(307, "{}")
    });
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    let text = text.to_lowercase();
    for part in [
        "http/1.1 307",
        "location: http://two/a",
        "connection: close",
        "retry-after: 2",
    ] {
        assert!(text.contains(part), "{text}");
    }
    assert!(
        events.try_recv().is_err(),
        "an answered caller must not be reported as disconnected"
    );
}

/// Guards against refusals that don't tell a caller when to try again, by the listener or by its
/// service.
#[test]
fn unavailable_answers_name_a_time() {
    let limits = Limits {
        max_buffered_bytes: 0,
        ..Limits::default()
    };
    let (busy, _events) = start_with(limits);
    let (listener, events) = start();
    let mut streams = [busy.address(), listener.address()].map(|address| {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.write_all(REQUEST).unwrap();
        stream
    });
    let Ok(Event::Call(_, _, responder)) = events.recv_timeout(TIMEOUT) else {
        panic!("no call");
    };
    responder.send(Answer {
        close: true,
        ..Answer::json(503, "{}")
    });
    for stream in &mut streams {
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        let text = text.to_lowercase();
        assert!(text.starts_with("http/1.1 503"), "{text}");
        assert!(text.contains("retry-after: 1\r\n"), "{text}");
    }
}

/// Guards against requests of two listeners with the same number: a disconnect of one would end the
/// other, for which the process may have a common table.
#[test]
fn requests_of_all_listeners_have_different_numbers() {
    let listeners = [start(), start()];
    let mut numbers = Vec::new();
    for (listener, events) in &listeners {
        let mut stream = TcpStream::connect(listener.address()).unwrap();
        stream.write_all(REQUEST).unwrap();
        let Ok(Event::Call(number, _, responder)) = events.recv_timeout(TIMEOUT) else {
            panic!("no call");
        };
        responder.send(Answer::json(200, "{}"));
        numbers.push(number);
    }
    assert_ne!(numbers[0], numbers[1]);
}

/// Guards against a caller that loses its connection because its answer takes longer than a head
/// may take.
#[test]
fn request_may_wait_longer_than_the_head_timeout() {
    let limits = Limits {
        head_timeout: Duration::from_millis(200),
        ..Limits::default()
    };
    let (listener, events) = start_with(limits);
    let mut stream = TcpStream::connect(listener.address()).unwrap();
    stream.write_all(REQUEST).unwrap();
    let Ok(Event::Call(_, _, responder)) = events.recv_timeout(TIMEOUT) else {
        panic!("no call");
    };
    assert!(events.recv_timeout(Duration::from_millis(800)).is_err());
    responder.send(Answer {
        close: true,
        ..Answer::json(200, "late")
    });
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    assert!(text.ends_with("late"), "{text}");
}

/// Guards against a service that is not told of a disconnect and so continues the caller's work.
#[test]
fn disconnected_caller_is_reported() {
    let (listener, events) = start();
    let mut stream = TcpStream::connect(listener.address()).unwrap();
    stream.write_all(REQUEST).unwrap();
    let Ok(Event::Call(number, _, _responder)) = events.recv_timeout(TIMEOUT) else {
        panic!("no call");
    };
    drop(stream);
    assert!(matches!(events.recv_timeout(TIMEOUT), Ok(Event::Disconnected(n)) if n == number));
}

/// Lets the listener's thread wait in the call of a request until a message is sent.
struct Blocking(Mutex<Receiver<()>>);

impl Service for Blocking {
    fn call(&self, _number: u64, request: Request, responder: Responder) {
        if request.path == "/block" {
            let _ = self.0.lock().unwrap().recv_timeout(TIMEOUT);
        }
        responder.send(Answer::json(200, request.path));
    }

    fn disconnected(&self, _number: u64) {}
}

const GET: &[u8] = b"GET /late HTTP/1.1\r\nHost: one\r\n\r\n";

fn connect(listener: &Listener) -> TcpStream {
    let stream = TcpStream::connect(listener.address()).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream
}

/// What a caller reads until the connection ends, and the error that ends it.
fn read_all(stream: &mut TcpStream) -> (String, Option<std::io::ErrorKind>) {
    let mut text = Vec::new();
    let error = stream.read_to_end(&mut text).err();
    (
        String::from_utf8(text).unwrap(),
        error.map(|error| error.kind()),
    )
}

/// Closes a listener whose thread is busy while `send` runs; returns the answer to its request.
fn answer_sent_while_the_thread_is_busy(
    reused: bool,
    send: impl FnOnce(&Listener, Option<TcpStream>) -> TcpStream,
) -> (String, Option<std::io::ErrorKind>) {
    let (unblock, blocked) = channel();
    let service = Box::new(Blocking(Mutex::new(blocked)));
    let reject = |status, message: &str| Answer::json(status, message);
    let address = "127.0.0.1:0".parse().unwrap();
    let mut listener = start_direct("test", address, Limits::default(), reject, service).unwrap();
    let idle = reused.then(|| {
        let mut stream = connect(&listener);
        stream
            .write_all(b"GET /a HTTP/1.1\r\nHost: one\r\n\r\n")
            .unwrap();
        let mut response = [0; 1024];
        assert!(stream.read(&mut response).unwrap() > 0);
        stream
    });
    let mut blocker = connect(&listener);
    blocker
        .write_all(b"GET /block HTTP/1.1\r\nHost: one\r\n\r\n")
        .unwrap();
    std::thread::sleep(Duration::from_millis(50));
    let mut stream = send(&listener, idle);
    let unblocker = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(50));
        unblock.send(()).unwrap();
    });
    listener.shut_down(TIMEOUT);
    unblocker.join().unwrap();
    read_all(&mut stream)
}

/// Guards against a shutdown that closes a reused connection with a request in its socket.
#[test]
fn shutdown_answers_requests_in_the_sockets_of_reused_connections() {
    for round in 0..20 {
        let answer = answer_sent_while_the_thread_is_busy(true, |_, idle| {
            let mut stream = idle.unwrap();
            stream.write_all(GET).unwrap();
            stream
        });
        assert!(answer.0.ends_with("/late"), "round {round}: {answer:?}");
    }
}

/// Guards against a shutdown that resets connections which wait to be accepted.
#[test]
fn shutdown_answers_requests_of_connections_not_accepted_yet() {
    for round in 0..20 {
        let answer = answer_sent_while_the_thread_is_busy(false, |listener, _| {
            let mut stream = connect(listener);
            stream.write_all(GET).unwrap();
            stream
        });
        assert!(answer.0.ends_with("/late"), "round {round}: {answer:?}");
    }
}

/// Guards against a caller whose request is on its way while its idle connection is closed and who
/// gets neither an answer nor a refusal.
#[test]
fn shutdown_refuses_requests_that_cross_the_end_of_an_idle_connection() {
    for reused in [false, true] {
        let (mut listener, events) = start();
        let mut stream = connect(&listener);
        if reused {
            stream.write_all(REQUEST).unwrap();
            let Ok(Event::Call(_, _, responder)) = events.recv_timeout(TIMEOUT) else {
                panic!("no call");
            };
            responder.send(Answer::json(200, ""));
            let mut response = [0; 1024];
            assert!(stream.read(&mut response).unwrap() > 0);
        } else {
            std::thread::sleep(Duration::from_millis(50));
        }
        listener.close();
        std::thread::sleep(Duration::from_millis(20));
        let sent = stream.write_all(REQUEST);
        let (text, error) = read_all(&mut stream);
        assert!(
            text.starts_with("HTTP/1.1 503 ") && error.is_none(),
            "reused: {reused}: {sent:?} {text:?} {error:?}"
        );
        assert!(text.to_lowercase().contains("connection: close"), "{text}");
        listener.shut_down(TIMEOUT);
        assert!(events.try_recv().is_err(), "a refused request must not run");
    }
}

/// Guards against the end of a shutdown that leaves a caller without a refusal in the middle of its
/// request.
#[test]
fn requests_that_are_still_received_at_the_end_are_refused() {
    let parts = [&REQUEST[..20], &REQUEST[..REQUEST.len() - 1]];
    for part in parts {
        let (mut listener, events) = start();
        let mut stream = connect(&listener);
        stream.write_all(part).unwrap();
        std::thread::sleep(Duration::from_millis(50));
        listener.shut_down(Duration::from_millis(100));
        drop(listener);
        let (text, error) = read_all(&mut stream);
        assert!(
            text.starts_with("HTTP/1.1 503 ") && error.is_none(),
            "{text:?} {error:?}"
        );
        assert!(events.try_recv().is_err(), "a refused request must not run");
    }
}

/// Guards against an answer that is lost since its connection is closed with unread bytes.
#[test]
fn answers_survive_bytes_that_arrive_after_them() {
    let (listener, events) = start();
    for _ in 0..20 {
        let mut stream = connect(&listener);
        stream.write_all(REQUEST).unwrap();
        let Ok(Event::Call(_, _, responder)) = events.recv_timeout(TIMEOUT) else {
            panic!("no call");
        };
        responder.send(Answer {
            close: true,
            ..Answer::json(200, "x".repeat(1_000_000))
        });
        std::thread::sleep(Duration::from_millis(5));
        let _ = stream.write_all(REQUEST);
        std::thread::sleep(Duration::from_millis(5));
        let (text, error) = read_all(&mut stream);
        assert!(text.ends_with("xxx") && error.is_none(), "{error:?}");
    }
}

/// Guards against callers that stop half-way and keep others out, or cost a waiting one its answer.
#[test]
fn stalled_callers_give_way_to_others_but_waiting_ones_do_not() {
    let (listener, events) = start_with(Limits {
        max_connections: 4,
        max_buffered_bytes: 100_000,
        shortage: Shortage::CloseStalled,
        ..Limits::default()
    });
    let send = |bytes: &[u8]| {
        let mut stream = TcpStream::connect(listener.address()).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream.write_all(bytes).unwrap();
        stream
    };
    let answer = |mut stream: TcpStream| {
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        text
    };
    let mut waiting = send(REQUEST);
    let Ok(Event::Call(_, _, responder)) = events.recv_timeout(TIMEOUT) else {
        panic!("no call");
    };
    let head = b"POST /a HTTP/1.1\r\nHost: one\r\nContent-Length: 60000\r\n\r\n";
    let stalled = [head.as_slice(), &[b' '; 59_999]].concat();
    let bodies = [send(&stalled), send(&stalled)];
    let [first, second] = bodies.map(answer_of_one);
    assert!(first.is_some() != second.is_some(), "{first:?} {second:?}");
    let heads: Vec<TcpStream> = (0..8).map(|_| send(b"POST /a")).collect();
    for (i, stream) in heads.into_iter().enumerate().take(5) {
        assert!(answer(stream).starts_with("HTTP/1.1 503"), "head {i}");
    }
    responder.send(Answer::json(200, "{}"));
    let mut status = [0; 12];
    waiting.read_exact(&mut status).unwrap();
    assert_eq!(&status, b"HTTP/1.1 200");
}

/// The answer of a stalled request within half a second.
fn answer_of_one(mut stream: TcpStream) -> Option<String> {
    let limit = Duration::from_millis(500);
    stream.set_read_timeout(Some(limit)).unwrap();
    let mut status = [0; 12];
    stream.read_exact(&mut status).ok()?;
    Some(String::from_utf8_lossy(&status).to_string())
}

/// Guards against a caller who has to assume that its request was run, as all places were in use.
#[test]
fn connections_without_a_place_are_refused() {
    let (listener, events) = start_with(Limits {
        max_connections: 1,
        shortage: Shortage::CloseStalled,
        ..Limits::default()
    });
    let connect = || {
        let stream = TcpStream::connect(listener.address()).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream
    };
    let mut waiting = connect();
    waiting.write_all(REQUEST).unwrap();
    let Ok(Event::Call(_, _, responder)) = events.recv_timeout(TIMEOUT) else {
        panic!("no call");
    };
    let mut text = String::new();
    connect().read_to_string(&mut text).unwrap();
    assert!(text.starts_with("HTTP/1.1 503 "), "{text:?}");
    responder.send(Answer::json(200, "{}"));
    let mut status = [0; 12];
    waiting.read_exact(&mut status).unwrap();
    assert_eq!(&status, b"HTTP/1.1 200");
}
