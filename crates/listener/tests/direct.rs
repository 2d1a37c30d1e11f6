//! Requests that a service handles on the listener's own thread.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Mutex;
use std::time::Duration;

use greengage_listener::{start_direct, Answer, Limits, Listener, Request, Responder, Service};

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
