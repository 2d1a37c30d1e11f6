//! `greengagectl evacuate` and `restore`, and the evacuated zones in `status`.
//!
//! A VM that doesn't lead the control group names the leader. An order whose answer is lost is sent
//! again for a limited time only, since a later order of someone else must not be undone by it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use clap::Args;
use eyre::{eyre, Report, WrapErr};
use greengage_core::ZoneName;
use greengage_http::client::direct_agent;
use serde_json::{json, Value};
use ureq::Agent;

use crate::admin::print_json;

const PATH: &str = "/v1/evacuations";
/// How long a VM may take for its answer. It carries no order out that is older.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an order is sent again.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause before the next VM is asked.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Number of VMs that may be named as leader one after the other.
const MAX_REDIRECTS: usize = 2;

#[derive(Debug, Args)]
pub(crate) struct Zone {
    /// Name of the availability zone.
    zone: ZoneName,
}

/// The control VMs of a deployment on the users' platform.
pub(crate) struct ControlVms {
    agent: Agent,
    addresses: Vec<SocketAddr>,
}

impl ControlVms {
    /// Parses addresses separated by commas; `flag` is named in the error for an address that isn't
    /// IP:PORT.
    pub(crate) fn new(addresses: &str, flag: &str) -> Result<ControlVms, Report> {
        let parse = |text: &str| -> Result<SocketAddr, Report> {
            text.parse()
                .wrap_err_with(|| format!("{flag}: {text:?} is not of the form IP:PORT"))
        };
        let addresses: Result<Vec<SocketAddr>, Report> =
            addresses.split(',').map(str::trim).map(parse).collect();
        Ok(ControlVms::at(addresses?, ANSWER_TIMEOUT))
    }

    /// The VMs at these addresses, each of which may take `timeout` for its answer.
    pub(crate) fn at(addresses: Vec<SocketAddr>, timeout: Duration) -> ControlVms {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .max_redirects(0)
            .timeout_global(Some(timeout))
            .build();
        ControlVms {
            agent: direct_agent(config),
            addresses,
        }
    }

    fn request(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
    ) -> Result<(u16, Value), Report> {
        let (status, text) = self.request_text(address, method, path)?;
        let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
        Ok((status, body))
    }

    /// Sends a request without a body and follows a VM's answer to the leader.
    pub(crate) fn request_text(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
    ) -> Result<(u16, String), Report> {
        let mut uri = format!("http://{address}{path}");
        for _ in 0..=MAX_REDIRECTS {
            let request = ureq::http::Request::builder()
                .method(method)
                .uri(&uri)
                .body(())
                .wrap_err("the request is not valid HTTP")?;
            let response = self.agent.run(request);
            let mut response = response.wrap_err_with(|| format!("{uri} does not answer"))?;
            let location = response.headers().get("location");
            match location.and_then(|location| location.to_str().ok()) {
                Some(location) if response.status() == 307 => uri = location.to_string(),
                _ => {
                    let text = response.body_mut().read_to_string();
                    let text = text.wrap_err_with(|| format!("the answer of {uri} broke off"))?;
                    return Ok((response.status().as_u16(), text));
                }
            }
        }
        Err(eyre!(
            "the VMs name one another as leader of the control group"
        ))
    }

    /// Sends an order to one VM after the other until one acknowledges or rejects it.
    fn order(&self, method: &str, zone: &Zone) -> Result<(), Report> {
        let path = format!("{PATH}/{}", zone.zone);
        let deadline = Instant::now() + ORDER_TIMEOUT;
        let mut failure = eyre!("no address of a control VM is given");
        for address in self.addresses.iter().cycle() {
            match self.request(*address, method, &path) {
                Ok((200..300, _)) => return Ok(()),
                Ok((status @ 400..500, body)) => {
                    return Err(eyre!(
                        "rejected with HTTP status {status}: {}",
                        body["error"]
                    ))
                }
                Ok((status, body)) => {
                    failure = eyre!("{address}: HTTP status {status}: {}", body["error"]);
                }
                Err(error) => failure = error,
            }
            if Instant::now() + RETRY_PAUSE >= deadline {
                break;
            }
            std::thread::sleep(RETRY_PAUSE);
        }
        Err(failure.wrap_err("no VM has acknowledged the order, which may take effect or not"))
    }

    /// Asks that nothing more is started on the targets of a zone.
    pub(crate) fn evacuate(&self, zone: &Zone) -> Result<(), Report> {
        self.order("PUT", zone)
    }

    /// Takes the evacuation of a zone back.
    pub(crate) fn restore(&self, zone: &Zone) -> Result<(), Report> {
        self.order("DELETE", zone)
    }

    /// Prints the evacuated zones as each control VM knows them.
    pub(crate) fn status(&self) -> Result<(), Report> {
        let answers =
            self.addresses
                .iter()
                .map(|address| match self.request(*address, "GET", PATH) {
                    Ok((200, body)) => json!({"vm": address.to_string(), "evacuations": body}),
                    Ok((_, body)) => json!({"vm": address.to_string(), "error": body["error"]}),
                    Err(error) => json!({"vm": address.to_string(), "error": format!("{error:#}")}),
                });
        print_json(&answers.collect())
    }
}
