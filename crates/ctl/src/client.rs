//! HTTP client for the APIs of the VMs.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::{eyre, Report, WrapErr};
use serde_json::Value;
use ureq::Agent;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longer than the longest `wait_ms` that a VM accepts.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(75);

/// A client of several VMs.
pub struct Client {
    agent: Agent,
    addresses: Vec<SocketAddr>,
}

/// The response of a VM.
#[derive(Debug)]
pub struct Response {
    /// The HTTP status code.
    pub status: u16,
    /// The parsed JSON, or a string with the whole text if it isn't JSON.
    pub body: Value,
}

impl Response {
    /// Returns the body, or an error with the VM's message if the status is 300 or above.
    pub fn into_success(self) -> Result<Value, Report> {
        if self.status < 300 {
            return Ok(self.body);
        }
        match self.body["message"].as_str() {
            Some(message) => Err(eyre!("{message}")),
            None => Err(eyre!(
                "the VM answered with HTTP status {} and no message",
                self.status
            )),
        }
    }
}

impl Client {
    /// Creates a client from addresses separated by commas; `flag` is named in the error for an
    /// address that isn't IP:PORT.
    pub fn new(addresses: &str, flag: &str) -> Result<Client, Report> {
        let parse = |text: &str| -> Result<SocketAddr, Report> {
            text.parse()
                .wrap_err_with(|| format!("{flag}: {text:?} is not of the form IP:PORT"))
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
            agent: greengage_http::client::direct_agent(config),
            addresses: addresses?,
        })
    }

    /// The addresses of the VMs, in the order in which they were given.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Sends a request to one VM. Any HTTP status is a response; an error means that the VM could
    /// not be reached or the response broke off.
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
            .wrap_err("the request is not valid HTTP")?;
        let mut response = self
            .agent
            .run(request)
            .wrap_err_with(|| format!("the VM at {address} does not answer"))?;
        let status = response.status().as_u16();
        let text = response
            .body_mut()
            .with_config()
            .limit(64 << 20)
            .read_to_string()
            .wrap_err_with(|| format!("the answer of the VM at {address} is incomplete"))?;
        let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
        Ok(Response { status, body })
    }

    /// Sends a request to each VM in turn until one answers. It must be safe to repeat: a VM whose
    /// answer is lost may have carried it out.
    pub fn request_any(
        &self,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Response, Report> {
        let mut last_error = eyre!("no address of a VM is given");
        for address in &self.addresses {
            match self.request(*address, method, path, body) {
                Ok(response) => return Ok(response),
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    /// Sends a GET request to the first VM that answers and returns the body of its success.
    pub fn get(&self, path: &str) -> Result<Value, Report> {
        self.request_any("GET", path, None)?.into_success()
    }
}

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls `condition` until it returns a value. Fails with an error that names `description` after
/// `timeout`, and with the error of `condition` at once.
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
            return Err(eyre!("{description}: timed out after {timeout:?}"));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
