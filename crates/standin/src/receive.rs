//! Reads one HTTP/1.x request from a connection, within limits of time and size.

use std::io;
use std::time::Instant;

use tiny_http::{HTTPVersion, Header, Method};

use greengage_listener::{Headers, Request};

use crate::server::Connection;

/// Why a request was rejected before it reached the handler.
pub(crate) enum RejectReason {
    /// The connection failed or was closed, or stayed idle for too long; nothing is answered.
    Disconnected,
    /// The request didn't arrive within the read timeout.
    TimedOut,
    /// The request isn't valid HTTP; holds what is wrong with it.
    Malformed(&'static str),
    /// The HTTP version is neither 1.0 nor 1.1.
    UnsupportedVersion,
    /// Request line and headers exceed the limit, given in bytes.
    HeadTooLong(usize),
    /// The body exceeds the limit, given in bytes.
    BodyTooLong(usize),
    /// Requests that are still arriving exceed the server's limit on their total size.
    TooManyBytes,
}

fn read_failure(e: &io::Error) -> RejectReason {
    match e.kind() {
        io::ErrorKind::TimedOut => RejectReason::TimedOut,
        io::ErrorKind::OutOfMemory => RejectReason::TooManyBytes,
        _ => RejectReason::Disconnected,
    }
}

/// Reads one request and returns it with its version and whether the connection closes after the
/// answer. Without a `deadline`, the first byte may take the idle timeout and the rest the read
/// timeout.
pub(crate) fn read_request(
    connection: &mut Connection,
    deadline: Option<Instant>,
) -> Result<(Request, HTTPVersion, bool), RejectReason> {
    let limits = connection.limits().clone();
    let deadline = match deadline {
        Some(deadline) => deadline,
        None => {
            if connection.buffered.is_empty() {
                let idle_deadline = Instant::now() + limits.idle_timeout;
                connection
                    .fill(idle_deadline)
                    .map_err(|_| RejectReason::Disconnected)?;
            }
            Instant::now() + limits.read_timeout
        }
    };
    let head_end = read_head(connection, deadline, limits.head_bytes)?;
    let body = connection.buffered.split_off(head_end);
    let head = std::mem::replace(&mut connection.buffered, body);
    let head = Head::parse(&head)?;
    if let Framing::Length(length) = head.framing {
        if length > limits.body_bytes as u64 {
            return Err(RejectReason::BodyTooLong(limits.body_bytes));
        }
    }
    if head.expects_continue && connection.buffered.is_empty() && head.framing != Framing::Length(0)
    {
        connection
            .write(b"HTTP/1.1 100 Continue\r\n\r\n")
            .map_err(|_| RejectReason::Disconnected)?;
    }
    let body = match head.framing {
        Framing::Length(length) => take_bytes(connection, deadline, length as usize)?,
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

/// Reads up to the empty line after the headers and returns the length of the head in bytes.
fn read_head(
    connection: &mut Connection,
    deadline: Instant,
    limit: usize,
) -> Result<usize, RejectReason> {
    let mut search_start = 0;
    loop {
        let found = connection.buffered[search_start..]
            .windows(4)
            .position(|w| w == b"\r\n\r\n");
        match found {
            Some(at) if search_start + at + 4 <= limit => return Ok(search_start + at + 4),
            None if connection.buffered.len() <= limit => (),
            Some(_) | None => return Err(RejectReason::HeadTooLong(limit)),
        }
        search_start = connection.buffered.len().saturating_sub(3);
        connection.fill(deadline).map_err(|e| read_failure(&e))?;
    }
}

fn take_bytes(
    connection: &mut Connection,
    deadline: Instant,
    length: usize,
) -> Result<Vec<u8>, RejectReason> {
    while connection.buffered.len() < length {
        connection.fill(deadline).map_err(|e| read_failure(&e))?;
    }
    let rest = connection.buffered.split_off(length);
    Ok(std::mem::replace(&mut connection.buffered, rest))
}

/// Limit on a chunk-size line or a trailer line.
const CHUNK_LINE_BYTES: usize = 256;

fn read_line(connection: &mut Connection, deadline: Instant) -> Result<Vec<u8>, RejectReason> {
    loop {
        if let Some(at) = connection.buffered.windows(2).position(|w| w == b"\r\n") {
            let mut line = take_bytes(connection, deadline, at + 2)?;
            line.truncate(at);
            return Ok(line);
        }
        if connection.buffered.len() > CHUNK_LINE_BYTES {
            return Err(RejectReason::Malformed("a chunk has no valid size"));
        }
        connection.fill(deadline).map_err(|e| read_failure(&e))?;
    }
}

fn read_chunks(
    connection: &mut Connection,
    deadline: Instant,
    limit: usize,
) -> Result<Vec<u8>, RejectReason> {
    let mut body = Vec::new();
    loop {
        let line = read_line(connection, deadline)?;
        let size = std::str::from_utf8(&line)
            .ok()
            .and_then(|l| l.split(';').next())
            .filter(|s| s.trim().bytes().all(|b| b.is_ascii_hexdigit()))
            .and_then(|s| usize::from_str_radix(s.trim(), 16).ok())
            .ok_or(RejectReason::Malformed("a chunk has no valid size"))?;
        if size > limit - body.len() {
            return Err(RejectReason::BodyTooLong(limit));
        }
        if size == 0 {
            break;
        }
        let chunk = take_bytes(connection, deadline, size + 2)?;
        let Some(chunk) = chunk.strip_suffix(b"\r\n") else {
            return Err(RejectReason::Malformed("a chunk is longer than its size"));
        };
        body.extend_from_slice(chunk);
    }
    while !read_line(connection, deadline)?.is_empty() {}
    Ok(body)
}

/// How the length of a body is given.
#[derive(Clone, Copy, PartialEq)]
enum Framing {
    Length(u64),
    Chunked,
}

/// The request line, and what the headers say about body and connection.
struct Head {
    method: Method,
    target: String,
    version: HTTPVersion,
    framing: Framing,
    expects_continue: bool,
    close: bool,
}

impl Head {
    fn parse(bytes: &[u8]) -> Result<Head, RejectReason> {
        let text = std::str::from_utf8(bytes)
            .ok()
            .filter(|t| t.is_ascii())
            .ok_or(RejectReason::Malformed("the headers are not ASCII"))?;
        let mut lines = text.split("\r\n").filter(|l| !l.is_empty());
        let mut parts = lines.next().unwrap_or_default().split(' ');
        let (Some(method), Some(target), Some(version), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(RejectReason::Malformed(
                "the request line does not have three parts",
            ));
        };
        let version = match version {
            "HTTP/1.1" => HTTPVersion(1, 1),
            "HTTP/1.0" => HTTPVersion(1, 0),
            _ => return Err(RejectReason::UnsupportedVersion),
        };
        let method = method
            .parse()
            .map_err(|()| RejectReason::Malformed("the method is not valid"))?;
        let mut head = Head {
            method,
            target: target.to_string(),
            close: version == HTTPVersion(1, 0),
            version,
            framing: Framing::Length(0),
            expects_continue: false,
        };
        let mut length = None;
        let mut chunked = false;
        for line in lines {
            let header: Header = line
                .parse()
                .map_err(|()| RejectReason::Malformed("a header is not valid"))?;
            let value = header.value.as_str().trim();
            if header.field.equiv("Content-Length") {
                let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
                // A number that overflows `u64` exceeds every limit.
                let number = if digits {
                    value.parse().unwrap_or(u64::MAX)
                } else {
                    return Err(RejectReason::Malformed("Content-Length is not a number"));
                };
                if length.is_some_and(|l| l != number) {
                    return Err(RejectReason::Malformed("Content-Length has two values"));
                }
                length = Some(number);
            } else if header.field.equiv("Transfer-Encoding") {
                if !value.eq_ignore_ascii_case("chunked") {
                    return Err(RejectReason::Malformed(
                        "the only transfer encoding is chunked",
                    ));
                }
                chunked = true;
            } else if header.field.equiv("Expect") {
                head.expects_continue = value.eq_ignore_ascii_case("100-continue");
            } else if header.field.equiv("Connection") {
                let value = value.to_ascii_lowercase();
                head.close = match head.version == HTTPVersion(1, 0) {
                    true => !value.contains("keep-alive"),
                    false => value.contains("close"),
                };
            }
        }
        head.framing = match (length, chunked) {
            // With both, two parsers may disagree on the body's end: request smuggling.
            (Some(_), true) => {
                return Err(RejectReason::Malformed(
                    "a body has Content-Length or Transfer-Encoding, not both",
                ))
            }
            (None, true) => Framing::Chunked,
            (length, false) => Framing::Length(length.unwrap_or(0)),
        };
        Ok(head)
    }
}
