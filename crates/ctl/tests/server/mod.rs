//! A server that answers requests in a fixed order.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::thread::JoinHandle;

/// Answers one request after the other; returns the heads of the requests.
pub(crate) fn serve(listener: TcpListener, answers: Vec<String>) -> JoinHandle<Vec<String>> {
    std::thread::spawn(move || {
        let serve_one = |answer: String| {
            let (stream, _) = listener.accept().unwrap();
            let mut reader = BufReader::new(stream);
            let mut head = String::new();
            while !head.ends_with("\r\n\r\n") {
                reader.read_line(&mut head).unwrap();
            }
            reader.get_mut().write_all(answer.as_bytes()).unwrap();
            head.to_lowercase()
        };
        answers.into_iter().map(serve_one).collect()
    })
}

/// A listener and its address.
pub(crate) fn listen() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    (listener, address)
}

/// An HTTP answer.
pub(crate) fn answer(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nContent-Length: {length}\r\n{headers}Connection: close\r\n\r\n{body}"
    )
}
