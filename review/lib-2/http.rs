//! Blocking HTTP/1.1: requests of callers, operators and targets, and the server of a target.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A response: its status and body.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub location: Option<String>,
    pub body: String,
}

/// A request that a server has received.
pub struct Request {
    pub path: String,
    pub expected: Option<String>,
    pub body: String,
}

/// Sends one request over a new connection and waits for its response.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Result<Response, String> {
    let mut stream =
        TcpStream::connect_timeout(&address, timeout).map_err(|e| format!("connect: {e}"))?;
    let _ = stream.set_nodelay(true);
    stream
        .set_read_timeout(Some(timeout))
        .map_err(|e| e.to_string())?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        head += "Content-Type: application/json\r\n";
    }
    head += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    stream
        .write_all(head.as_bytes())
        .map_err(|e| format!("write: {e}"))?;
    let mut reader = BufReader::new(stream);
    let (first, fields) = read_head(&mut reader).ok_or("no response")?;
    let status = first
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .ok_or("no status")?;
    let body = read_body(&mut reader, &fields).ok_or("incomplete response")?;
    Ok(Response {
        status,
        location: field(&fields, "location"),
        body,
    })
}

extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
}

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

const SOL_SOCKET: i32 = 1;
const SO_LINGER: i32 = 13;

/// A client's channel on which requests are sent without waiting for responses.
pub struct Channel(TcpStream);

impl Channel {
    pub fn open(address: SocketAddr) -> Result<Channel, String> {
        let stream = TcpStream::connect(address).map_err(|e| format!("connect: {e}"))?;
        let _ = stream.set_nodelay(true);
        Ok(Channel(stream))
    }

    pub fn send(&mut self, bytes: &str) -> Result<(), String> {
        let sent = self.0.write_all(bytes.as_bytes());
        sent.map_err(|e| format!("write: {e}"))
    }

    /// Reads the next response; fails if the channel ends or nothing arrives in time.
    pub fn receive(&mut self, timeout: Duration) -> Result<Response, String> {
        let set = self.0.set_read_timeout(Some(timeout));
        set.map_err(|e| e.to_string())?;
        // Responses come one after the other, so no byte of the next one is read.
        let mut reader = BufReader::with_capacity(1, &mut self.0);
        let (first, fields) = read_head(&mut reader).ok_or("no response")?;
        let status = first.split(' ').nth(1).and_then(|s| s.parse().ok());
        let body = read_body(&mut reader, &fields).ok_or("incomplete response")?;
        Ok(Response {
            status: status.ok_or("no status")?,
            location: field(&fields, "location"),
            body,
        })
    }

    /// Resets the channel.
    pub fn reset(self) {
        let linger = Linger { on: 1, seconds: 0 };
        let length = std::mem::size_of::<Linger>() as u32;
        // SAFETY: the socket is open, and the value is of the size that is passed.
        unsafe { setsockopt(self.0.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, length) };
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    reader.read_line(&mut first).ok().filter(|n| *n > 0)?;
    let mut fields = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_string(), fields));
        }
        let (name, value) = line.split_once(':')?;
        fields.push((name.to_ascii_lowercase(), value.trim().to_string()));
    }
}

fn field(fields: &[(String, String)], name: &str) -> Option<String> {
    fields
        .iter()
        .find(|(n, _)| n == name)
        .map(|(_, v)| v.clone())
}

fn read_body(reader: &mut impl Read, fields: &[(String, String)]) -> Option<String> {
    let length = field(fields, "content-length")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

/// The open connections of a server.
#[derive(Clone, Default)]
pub struct Connections(Arc<Mutex<Vec<TcpStream>>>);

impl Connections {
    /// Closes all, as the end of a process does.
    pub fn close(&self) {
        for stream in self.0.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Serves requests on `listener`; `handle` returns the status and body of a response, or `None` to close
/// the connection. Each connection has a thread.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(Request) -> Option<(u16, String)> + Send + Sync + 'static,
) -> Connections {
    let handle = Arc::new(handle);
    let connections = Connections::default();
    let open = connections.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if let Ok(stream) = stream.try_clone() {
                open.0.lock().unwrap().push(stream);
            }
            let handle = handle.clone();
            thread::spawn(move || {
                let end = stream.try_clone();
                serve_connection(stream, &*handle);
                // The list of connections holds another handle.
                let _ = end.map(|stream| stream.shutdown(Shutdown::Both));
            });
        }
    });
    connections
}

fn serve_connection(
    mut stream: TcpStream,
    handle: &(impl Fn(Request) -> Option<(u16, String)> + ?Sized),
) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let (first, fields) = read_head(&mut reader)?;
        let path = first.split(' ').nth(1)?.to_string();
        let body = read_body(&mut reader, &fields)?;
        let expected = field(&fields, "greengageproxy-expect-instance");
        let (status, body) = handle(Request {
            path,
            expected,
            body,
        })?;
        let response = format!(
            "HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(response.as_bytes()).ok()?;
    }
}
