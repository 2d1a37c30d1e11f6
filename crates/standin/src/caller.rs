//! A stand-in caller.
//!
//! It sends to one entry VM and fails over to the next one when that VM can't be reached, breaks
//! the connection or rejects the request with 503. A submission with an id can be retried on any
//! VM: its key identifies it as the same submission.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use greengage_core::{AccountName, JobKey, Name, TemplateName, ZoneName};
use greengage_http::client;
use serde_json::{json, Value};
use ureq::Agent;

/// Settings of a caller.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// HTTP addresses of the entry VMs, in order of preference.
    pub entries: Vec<SocketAddr>,
    /// The client account that submits.
    pub account: AccountName,
    /// Timeout of a call beyond the time for which the VM may hold the answer.
    pub answer_margin: Duration,
}

/// A job to submit.
#[derive(Clone, Debug)]
pub struct Job {
    /// The id that the caller gives the job; the same id again is the same job.
    pub id: Name,
    /// The home zone; `None` selects one by a hash of account and id.
    pub zone: Option<ZoneName>,
    /// The template that all tasks use.
    pub template: TemplateName,
    /// The tasks, in the order of their results.
    pub tasks: Vec<Value>,
}

/// A single request to submit.
#[derive(Clone, Debug)]
pub struct SingleRequest {
    /// The id that the caller gives the request; required unless the template is repeatable.
    pub id: Option<Name>,
    /// The home zone; `None` selects the zone of the entry VM.
    pub zone: Option<ZoneName>,
    /// The template that the task uses.
    pub template: TemplateName,
    /// The task that the target runs.
    pub task: Value,
}

/// Answer of an entry VM.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// All results, in the order of the tasks.
    Complete {
        /// The key, unless the request had none.
        key: Option<String>,
        /// One result for each task.
        results: Vec<Value>,
    },
    /// The submission failed.
    Failed {
        /// The key, unless the request had none.
        key: Option<String>,
        /// Whether it is certain that no task ran.
        not_run: bool,
        /// The kind of failure, such as `may_have_run`.
        reason: String,
        /// The failure in words.
        message: String,
    },
    /// The submission was accepted and has not ended.
    Pending {
        /// The key, by which to ask for the result.
        key: String,
        /// Whether tasks may have started.
        begun: bool,
    },
    /// The request was answered with an error.
    Error {
        /// The HTTP status.
        status: u16,
        /// The kind of error, such as `unknown_outcome`.
        kind: String,
        /// Whether it is certain that this request ran nothing.
        not_run: bool,
        /// How long to wait before a retry, in milliseconds, if the answer says so.
        retry_ms: Option<u64>,
        /// The error in words.
        message: String,
    },
}

/// Why a call gave no answer.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerError {
    /// No entry VM answered; unless nothing was sent, tasks may have run.
    NoAnswer {
        /// Whether it is certain that no byte was sent to any VM.
        unsent: bool,
        /// The error of the last VM tried, with its address.
        last_error: String,
    },
    /// An answer doesn't follow the protocol; holds its status and the start of its body.
    Malformed(String),
}

impl std::fmt::Display for CallerError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CallerError::NoAnswer { last_error, .. } => {
                write!(f, "no entry VM answered: {last_error}")
            }
            CallerError::Malformed(text) => write!(f, "malformed answer: {text}"),
        }
    }
}

impl std::error::Error for CallerError {}

/// HTTP client of one account; threads may share it.
pub struct Caller {
    settings: CallerSettings,
    agent: Agent,
    entry_index: AtomicUsize,
}

/// An HTTP client whose calls take at most `limit`.
pub(crate) fn agent(limit: Duration) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .max_idle_connections(1024)
        .max_idle_connections_per_host(1024)
        // Below the 10 s after which entry VMs close idle connections.
        .max_idle_age(Duration::from_secs(5))
        .timeout_connect(Some(limit.min(Duration::from_millis(500))))
        .timeout_global(Some(limit))
        .build();
    client::direct_agent(config)
}

/// Pause between two attempts when the answer gives none.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause between two attempts, whatever the answer asks for.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(1);

impl Caller {
    /// Creates a caller that starts with the first entry VM.
    pub fn new(settings: CallerSettings) -> Caller {
        Caller {
            // Each call sets its own timeout.
            agent: agent(Duration::from_secs(60)),
            settings,
            entry_index: AtomicUsize::new(0),
        }
    }

    /// Submits a job, for the first time or again, and waits up to `wait` for its end.
    pub fn submit(&self, job: &Job, wait: Duration) -> Result<Answer, CallerError> {
        let mut body = json!({
            "account": self.settings.account.as_str(),
            "id": job.id.as_str(),
            "template": job.template.as_str(),
            "tasks": job.tasks,
        });
        if let Some(zone) = &job.zone {
            body["zone"] = zone.as_str().into();
        }
        self.call("POST", "/v1/jobs", Some(&body), wait)
    }

    /// Submits a single request and waits up to `wait` for its end.
    pub fn request(&self, single: &SingleRequest, wait: Duration) -> Result<Answer, CallerError> {
        let mut body = json!({
            "account": self.settings.account.as_str(),
            "template": single.template.as_str(),
            "task": single.task,
        });
        if let Some(zone) = &single.zone {
            body["zone"] = zone.as_str().into();
        }
        if let Some(id) = &single.id {
            body["id"] = id.as_str().into();
        }
        self.call("POST", "/v1/requests", Some(&body), wait)
    }

    /// Gets the state of a submission and waits up to `wait` for its end.
    pub fn wait(&self, key: &JobKey, wait: Duration) -> Result<Answer, CallerError> {
        self.call("GET", &job_path(key), None, wait)
    }

    /// Cancels a submission and waits up to `wait` for its end.
    pub fn cancel(&self, key: &JobKey, wait: Duration) -> Result<Answer, CallerError> {
        self.call("DELETE", &job_path(key), None, wait)
    }

    /// Submits a job and resubmits it with the same id until it has ended, an error isn't worth a
    /// retry, or `limit` has passed.
    pub fn run(&self, job: &Job, limit: Duration) -> Result<Answer, CallerError> {
        let deadline = Instant::now() + limit;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let answer = self.submit(job, remaining.min(Duration::from_secs(30)));
            let pause = match &answer {
                Ok(Answer::Complete { .. } | Answer::Failed { .. }) => return answer,
                Ok(Answer::Error {
                    status, retry_ms, ..
                }) => match status {
                    429 | 503 | 504 => retry_ms.map_or(RETRY_PAUSE, Duration::from_millis),
                    _ => return answer,
                },
                Ok(Answer::Pending { .. }) | Err(CallerError::NoAnswer { .. }) => RETRY_PAUSE,
                Err(CallerError::Malformed(_)) => return answer,
            };
            let pause = pause.clamp(Duration::from_millis(1), MAX_RETRY_PAUSE);
            if Instant::now() + pause >= deadline {
                return answer;
            }
            std::thread::sleep(pause);
        }
    }

    /// Sends a request to the current entry VM and, on failure, to each of the others.
    fn call(
        &self,
        method: &str,
        path: &str,
        body: Option<&Value>,
        wait: Duration,
    ) -> Result<Answer, CallerError> {
        let mut unsent = true;
        let mut last_result = Err(CallerError::NoAnswer {
            unsent,
            last_error: "no entry VM is configured".to_string(),
        });
        for _ in 0..self.settings.entries.len() {
            let index = self.entry_index.load(Ordering::Relaxed);
            let entry = self.settings.entries[index % self.settings.entries.len()];
            client::reset_sent();
            match self.send(entry, method, path, body, wait) {
                Ok((status, body)) => {
                    let answer = parse_answer(status, &body);
                    match &answer {
                        // Another VM may accept it.
                        Ok(Answer::Error {
                            status: 503,
                            not_run: true,
                            ..
                        }) => last_result = answer,
                        _ => return answer,
                    }
                }
                Err(e) => {
                    unsent = unsent && !client::bytes_sent();
                    last_result = Err(CallerError::NoAnswer {
                        unsent,
                        last_error: format!("{entry}: {e}"),
                    });
                }
            }
            // Does nothing if another thread has already moved on to the next VM.
            let _ = self.entry_index.compare_exchange(
                index,
                index.wrapping_add(1),
                Ordering::Relaxed,
                Ordering::Relaxed,
            );
        }
        last_result
    }

    fn send(
        &self,
        entry: SocketAddr,
        method: &str,
        path: &str,
        body: Option<&Value>,
        wait: Duration,
    ) -> Result<(u16, Vec<u8>), ureq::Error> {
        let url = format!("http://{entry}{path}?wait_ms={}", wait.as_millis());
        let limit = Some(wait + self.settings.answer_margin);
        let mut response = match (method, body) {
            ("GET", _) => {
                let request = self.agent.get(url);
                request.config().timeout_global(limit).build().call()?
            }
            ("DELETE", _) => {
                let request = self.agent.delete(url);
                request.config().timeout_global(limit).build().call()?
            }
            (_, body) => {
                let request = self.agent.post(url).content_type("application/json");
                let body = body.map(Value::to_string).unwrap_or_default();
                let request = request.config().timeout_global(limit).build();
                request.send(body.as_bytes())?
            }
        };
        // 1,200 results of several kilobytes exceed the default limit of 10 MB in `ureq`.
        let body = response
            .body_mut()
            .with_config()
            .limit(64 << 20)
            .read_to_vec()?;
        Ok((response.status().as_u16(), body))
    }
}

fn job_path(key: &JobKey) -> String {
    format!("/v1/jobs/{key}")
}

fn parse_answer(status: u16, body: &[u8]) -> Result<Answer, CallerError> {
    let malformed = || {
        let text = String::from_utf8_lossy(&body[..body.len().min(200)]);
        CallerError::Malformed(format!("{status} {text}"))
    };
    let value: Value = serde_json::from_slice(body).map_err(|_| malformed())?;
    let text = |name: &str| value[name].as_str().map(ToString::to_string);
    let key = text("key");
    match (status, value["state"].as_str()) {
        (200, Some("complete")) => {
            let results = match (&value["results"], value.get("result")) {
                (Value::Array(results), _) => results.clone(),
                (_, Some(result)) => vec![result.clone()],
                (_, None) => return Err(malformed()),
            };
            Ok(Answer::Complete { key, results })
        }
        (200, Some("failed")) => Ok(Answer::Failed {
            key,
            not_run: value["not_run"].as_bool().ok_or_else(malformed)?,
            reason: text("reason").ok_or_else(malformed)?,
            message: text("message").unwrap_or_default(),
        }),
        (202, Some(state)) => Ok(Answer::Pending {
            key: key.ok_or_else(malformed)?,
            begun: state == "begun",
        }),
        (400..=599, _) => Ok(Answer::Error {
            status,
            kind: text("error").ok_or_else(malformed)?,
            not_run: value["not_run"].as_bool().ok_or_else(malformed)?,
            retry_ms: value["retry_ms"].as_u64(),
            message: text("message").unwrap_or_default(),
        }),
        _ => Err(malformed()),
    }
}
