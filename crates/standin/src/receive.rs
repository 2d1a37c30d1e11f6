//! Reading one request from a connection, within its limits of time and size.

use std::io;
use std::time::Instant;

use tiny_http::{HTTPVersion, Header, Method};

use greengage_listener::{Headers, Request};

use crate::server::Connection;

/// Why a request was not taken.
pub(crate) enum Reason {
    /// The peer is gone, or sent nothing for too long.
    Gone,
    /// The request didn't arrive within its time.
    Slow,
    /// The request is malformed.
    Malformed(&'static str),
    /// The version isn't 1.0 or 1.1.
    Version,
    /// The request line and headers are too long.
    Headers(usize),
    /// The body is too long.
    Body(usize),
    /// Too many bytes are arriving on all connections together.
    Memory,
}

fn ended(e: &io::Error) -> Reason {
    match e.kind() {
        io::ErrorKind::TimedOut => Reason::Slow,
        io::ErrorKind::OutOfMemory => Reason::Memory,
        _ => Reason::Gone,
    }
}

/// Reads one request. Without a `deadline` it waits for the first byte as long as a connection may
/// be idle.
pub(crate) fn read_request(
    connection: &mut Connection,
    deadline: Option<Instant>,
) -> Result<(Request, HTTPVersion, bool), Reason> {
    let limits = connection.limits().clone();
    let deadline = match deadline {
        Some(deadline) => deadline,
        None => {
            if connection.ahead.is_empty() {
                let idle = Instant::now() + limits.idle;
                connection.fill(idle).map_err(|_| Reason::Gone)?;
            }
            Instant::now() + limits.read
        }
    };
    let end = read_head(connection, deadline, limits.header_bytes)?;
    let body = connection.ahead.split_off(end);
    let head = std::mem::replace(&mut connection.ahead, body);
    let head = Head::parse(&head)?;
    if let Framing::Length(length) = head.framing {
        if length > limits.body_bytes as u64 {
            return Err(Reason::Body(limits.body_bytes));
        }
    }
    if head.expects && connection.ahead.is_empty() && head.framing != Framing::Length(0) {
        connection
            .write(b"HTTP/1.1 100 Continue\r\n\r\n")
            .map_err(|_| Reason::Gone)?;
    }
    let body = match head.framing {
        Framing::Length(length) => take(connection, deadline, length as usize)?,
        Framing::Chunked => read_chunks(connection, deadline, limits.body_bytes)?,
    };
    let (path, query) = match head.target.split_once('?') {
        Some((path, query)) => (path.to_string(), query.to_string()),
        None => (head.target, String::new()),
    };
    let request = Request {
        method: head.method.to_string(),
        path,
        query,
        body,
        headers: Headers::default(),
    };
    Ok((request, head.version, head.close))
}

/// Reads until the empty line after the headers and returns the position behind it.
fn read_head(
    connection: &mut Connection,
    deadline: Instant,
    limit: usize,
) -> Result<usize, Reason> {
    let mut from = 0;
    loop {
        let found = connection.ahead[from..]
            .windows(4)
            .position(|w| w == b"\r\n\r\n");
        match found {
            Some(at) if from + at + 4 <= limit => return Ok(from + at + 4),
            None if connection.ahead.len() <= limit => (),
            Some(_) | None => return Err(Reason::Headers(limit)),
        }
        from = connection.ahead.len().saturating_sub(3);
        connection.fill(deadline).map_err(|e| ended(&e))?;
    }
}

fn take(connection: &mut Connection, deadline: Instant, length: usize) -> Result<Vec<u8>, Reason> {
    while connection.ahead.len() < length {
        connection.fill(deadline).map_err(|e| ended(&e))?;
    }
    let rest = connection.ahead.split_off(length);
    Ok(std::mem::replace(&mut connection.ahead, rest))
}

/// Longest line that names the size of a chunk or is a trailer.
const CHUNK_LINE_BYTES: usize = 256;

fn take_line(connection: &mut Connection, deadline: Instant) -> Result<Vec<u8>, Reason> {
    loop {
        if let Some(at) = connection.ahead.windows(2).position(|w| w == b"\r\n") {
            let mut line = take(connection, deadline, at + 2)?;
            line.truncate(at);
            return Ok(line);
        }
        if connection.ahead.len() > CHUNK_LINE_BYTES {
            return Err(Reason::Malformed("a chunk has no valid size"));
        }
        connection.fill(deadline).map_err(|e| ended(&e))?;
    }
}

fn read_chunks(
    connection: &mut Connection,
    deadline: Instant,
    limit: usize,
) -> Result<Vec<u8>, Reason> {
    let mut body = Vec::new();
    loop {
        let line = take_line(connection, deadline)?;
        let size = std::str::from_utf8(&line)
            .ok()
            .and_then(|l| l.split(';').next())
            .filter(|s| s.trim().bytes().all(|b| b.is_ascii_hexdigit()))
            .and_then(|s| usize::from_str_radix(s.trim(), 16).ok())
            .ok_or(Reason::Malformed("a chunk has no valid size"))?;
        if size > limit - body.len() {
            return Err(Reason::Body(limit));
        }
        if size == 0 {
            break;
        }
        let chunk = take(connection, deadline, size + 2)?;
        let Some(chunk) = chunk.strip_suffix(b"\r\n") else {
            return Err(Reason::Malformed("a chunk is longer than its size"));
        };
        body.extend_from_slice(chunk);
    }
    while !take_line(connection, deadline)?.is_empty() {}
    Ok(body)
}

/// How the end of a body is found.
#[derive(Clone, Copy, PartialEq)]
enum Framing {
    Length(u64),
    Chunked,
}

/// Request line and headers.
struct Head {
    method: Method,
    target: String,
    version: HTTPVersion,
    framing: Framing,
    expects: bool,
    close: bool,
}

impl Head {
    fn parse(bytes: &[u8]) -> Result<Head, Reason> {
        let text = std::str::from_utf8(bytes)
            .ok()
            .filter(|t| t.is_ascii())
            .ok_or(Reason::Malformed("the headers are not ASCII"))?;
        let mut lines = text.split("\r\n").filter(|l| !l.is_empty());
        let mut words = lines.next().unwrap_or_default().split(' ');
        let (Some(method), Some(target), Some(version), None) =
            (words.next(), words.next(), words.next(), words.next())
        else {
            return Err(Reason::Malformed("the request line has not three parts"));
        };
        let version = match version {
            "HTTP/1.1" => HTTPVersion(1, 1),
            "HTTP/1.0" => HTTPVersion(1, 0),
            _ => return Err(Reason::Version),
        };
        let method = method
            .parse()
            .map_err(|()| Reason::Malformed("the method is not valid"))?;
        let mut head = Head {
            method,
            target: target.to_string(),
            close: version == HTTPVersion(1, 0),
            version,
            framing: Framing::Length(0),
            expects: false,
        };
        let mut length = None;
        let mut chunked = false;
        for line in lines {
            let header: Header = line
                .parse()
                .map_err(|()| Reason::Malformed("a header is not valid"))?;
            let value = header.value.as_str().trim();
            if header.field.equiv("Content-Length") {
                let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
                // A number that doesn't fit is over every limit.
                let number = if digits {
                    value.parse().unwrap_or(u64::MAX)
                } else {
                    return Err(Reason::Malformed("Content-Length is not a number"));
                };
                if length.is_some_and(|l| l != number) {
                    return Err(Reason::Malformed("Content-Length is given twice"));
                }
                length = Some(number);
            } else if header.field.equiv("Transfer-Encoding") {
                if !value.eq_ignore_ascii_case("chunked") {
                    return Err(Reason::Malformed("the only transfer encoding is chunked"));
                }
                chunked = true;
            } else if header.field.equiv("Expect") {
                head.expects = value.eq_ignore_ascii_case("100-continue");
            } else if header.field.equiv("Connection") {
                let value = value.to_ascii_lowercase();
                head.close = match head.version == HTTPVersion(1, 0) {
                    true => !value.contains("keep-alive"),
                    false => value.contains("close"),
                };
            }
        }
        head.framing = match (length, chunked) {
            // Two ways to find the end of a body let a request be read in two ways.
            (Some(_), true) => {
                return Err(Reason::Malformed(
                    "a body has Content-Length or Transfer-Encoding, not both",
                ))
            }
            (None, true) => Framing::Chunked,
            (length, false) => Framing::Length(length.unwrap_or(0)),
        };
        Ok(head)
    }
}
