//! HTTP requests to VMs.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::{eyre, Report, WrapErr};
use serde_json::Value;
use ureq::Agent;

/// How long connecting to a VM may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long one request may take; longer than the longest wait that a VM accepts.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(75);

/// A client of several VMs that takes the first one that answers.
pub struct Client {
    agent: Agent,
    addresses: Vec<SocketAddr>,
}

/// An answer of a VM.
#[derive(Debug)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Value,
}

impl Response {
    /// The body of a success, or the VM's message as an error.
    pub fn into_success(self) -> Result<Value, Report> {
        if self.status < 300 {
            return Ok(self.body);
        }
        match self.body["message"].as_str() {
            Some(message) => Err(eyre!("{message}")),
            None => Err(eyre!("the VM answered with HTTP status {}", self.status)),
        }
    }
}

impl Client {
    /// Reads addresses separated by commas; `flag` is named in errors.
    pub fn new(addresses: &str, flag: &str) -> Result<Client, Report> {
        let parse = |text: &str| -> Result<SocketAddr, Report> {
            text.parse()
                .wrap_err_with(|| format!("{flag}: {text:?} is no IP:PORT; correct it"))
        };
        let addresses: Result<Vec<SocketAddr>, Report> =
            addresses.split(',').map(str::trim).map(parse).collect();
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(REQUEST_TIMEOUT))
            .build();
        Ok(Client {
            agent: greengage_http::client::direct(config),
            addresses: addresses?,
        })
    }

    /// The VMs' addresses.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Sends a request to one VM.
    pub fn request(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Response, Report> {
        let text = body.map_or_else(String::new, Value::to_string);
        let request = ureq::http::Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("Content-Type", "application/json")
            .body(text)
            .wrap_err("the request can't be made")?;
        let mut response = self
            .agent
            .run(request)
            .wrap_err_with(|| format!("VM at {address} doesn't answer"))?;
        let status = response.status().as_u16();
        let text = response
            .body_mut()
            .with_config()
            .limit(64 << 20)
            .read_to_string()
            .wrap_err_with(|| format!("the answer of the VM at {address} broke off"))?;
        let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
        Ok(Response { status, body })
    }

    /// Sends a request that may safely reach several VMs to the first one that answers.
    pub fn request_any(
        &self,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Response, Report> {
        let mut last_error = eyre!("no address is given");
        for address in &self.addresses {
            match self.request(*address, method, path, body) {
                Ok(response) => return Ok(response),
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    /// Reads from the first VM that answers.
    pub fn get(&self, path: &str) -> Result<Value, Report> {
        self.request_any("GET", path, None)?.into_success()
    }
}

/// Between two looks at something that is awaited.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls `condition` until it returns a value, for at most `timeout`; a time-out names `description`.
pub fn poll_until<T>(
    description: &str,
    timeout: Duration,
    mut condition: impl FnMut() -> Result<Option<T>, Report>,
) -> Result<T, Report> {
    let deadline = Instant::now() + timeout;
    loop {
        if let Some(value) = condition()? {
            return Ok(value);
        }
        if Instant::now() > deadline {
            return Err(eyre!("{description}: not within {timeout:?}"));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
