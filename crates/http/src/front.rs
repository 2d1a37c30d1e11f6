//! The HTTP listener for callers and targets.
//!
//! A handler decodes a request, registers its responder and submits the request. One thread owns
//! the responders of pending requests and receives, over a channel, first the responder and later
//! the reply. It never writes to a connection, so a slow caller does not delay others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{unbounded, Receiver, RecvTimeoutError, Sender};
use greengage_control::api::{ApiError, NewJob, NewRequest, Reply, Request};
use greengage_core::{
    AccountName, Address, JobKey, Name, RequestId, TargetName, TemplateName, VmName, ZoneName,
};
use greengage_listener::{self as listener, Answer, Listener, Request as HttpRequest, Responder};
use greengage_membership::Announcement;

use crate::document;
use crate::json::{digest, DocumentError, Fields};
use crate::reply;
use crate::status::{self, reject, Rejection};
use crate::HttpError;

/// Limits of the listener for callers and targets.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Limits on connections, handler threads, sizes and timeouts.
    pub listener: greengage_listener::Limits,
    /// Maximum number of tasks per job.
    pub max_tasks: usize,
    /// How long a response may be held if the request has no `wait_ms`.
    pub default_wait: Duration,
    /// Largest `wait_ms` that a request may give.
    pub max_wait: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            listener: greengage_listener::Limits::default(),
            max_tasks: 1200,
            default_wait: Duration::from_secs(30),
            max_wait: Duration::from_secs(60),
        }
    }
}

/// Settings of the listener for callers and targets.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The name of this VM, for error messages.
    pub vm: VmName,
    /// Limits on sizes, counts and times.
    pub limits: Limits,
}

/// How long past its wait a pending request is answered with `unknown_outcome`.
const REPLY_GRACE: Duration = Duration::from_secs(5);

/// Interval at which pending requests are checked for expiry.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// Request ids of this listener are multiples of this; see [`is_caller`].
pub(crate) const ID_STEP: u64 = 2;

/// Whether the listener for callers and targets assigned `id`, rather than the one for operators.
pub fn is_caller(id: RequestId) -> bool {
    id.0.is_multiple_of(ID_STEP)
}

enum Message {
    Register {
        id: RequestId,
        responder: Responder,
        form: reply::OutcomeForm,
        deadline: Instant,
    },
    Reply {
        id: RequestId,
        reply: Reply,
    },
    /// Answer all pending and further requests with `unknown_outcome`.
    AnswerAll,
    Stop,
}

/// Sends replies to pending requests; usable from any thread, never blocks.
#[derive(Clone)]
pub struct ReplySender(Sender<Message>);

impl ReplySender {
    /// Answers a pending request; drops the reply if `id` is not pending.
    pub fn reply(&self, id: RequestId, reply: Reply) {
        let _ = self.0.send(Message::Reply { id, reply });
    }
}

/// The running listener; stops when dropped.
pub struct CallerListener {
    listener: Listener,
    replies: ReplySender,
    pending: Arc<AtomicUsize>,
}

impl CallerListener {
    /// Answers a pending request; drops the reply if `id` is not pending.
    pub fn reply(&self, id: RequestId, reply: Reply) {
        self.replies.reply(id, reply);
    }

    /// A handle that answers pending requests.
    pub fn replies(&self) -> ReplySender {
        self.replies.clone()
    }

    /// The address that it listens on, with the port that was chosen for port 0.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// The number of requests that wait for a reply.
    pub fn pending_requests(&self) -> usize {
        self.pending.load(Ordering::Relaxed)
    }

    /// The number of open connections.
    pub fn connections(&self) -> usize {
        self.listener.connections()
    }

    /// Stops listening and closes idle connections; others are closed after their next response.
    pub fn close(&mut self) {
        self.listener.close();
    }

    /// Stops listening, answers the pending requests with `unknown_outcome` and waits, for at most
    /// `timeout`, until the responses are sent.
    pub fn shut_down(&mut self, timeout: Duration) {
        self.close();
        // The send fails only if the thread has ended, and with it all pending requests.
        let _ = self.replies.0.send(Message::AnswerAll);
        self.listener.shut_down(timeout);
    }
}

impl Drop for CallerListener {
    fn drop(&mut self) {
        self.listener.close();
        // Open connections keep the handler alive, and with it a sender of the channel, so the
        // thread needs a message to end.
        let _ = self.replies.0.send(Message::Stop);
    }
}

/// Starts the listener. `submit` gets a request and how long its reply may be held; it returns
/// false if the request was not accepted.
pub fn start(
    settings: Settings,
    submit: impl Fn(RequestId, Duration, Request) -> bool + Send + Sync + 'static,
) -> Result<CallerListener, HttpError> {
    let (sender, receiver) = unbounded();
    let pending = Arc::new(AtomicUsize::new(0));
    let pending_count = pending.clone();
    thread::Builder::new()
        .name("callers-replies".to_string())
        .spawn(move || dispatch_replies(&receiver, &pending_count))
        .map_err(HttpError::Thread)?;
    let ids = AtomicU64::new(1);
    let replies = ReplySender(sender.clone());
    let Settings { listen, vm, limits } = settings;
    let listener_limits = limits.listener.clone();
    let handler = move |request: HttpRequest, responder: Responder| {
        let submission = match route(&request, &limits) {
            Ok(Routed::Submit(submission)) => submission,
            Ok(Routed::Answer(answer)) => return responder.send(answer),
            Err(answer) => {
                count_response(&answer);
                return responder.send(*answer);
            }
        };
        let id = RequestId(ids.fetch_add(1, Ordering::Relaxed) * ID_STEP);
        let message = Message::Register {
            id,
            responder,
            form: submission.form,
            deadline: Instant::now() + submission.wait + REPLY_GRACE,
        };
        // Registered before it is submitted, so that the reply finds it.
        let _ = sender.send(message);
        if !submit(id, submission.wait, submission.request) {
            let reply = Reply::Error(ApiError::Busy { vm: vm.clone() });
            let _ = sender.send(Message::Reply { id, reply });
        }
    };
    Ok(CallerListener {
        listener: listener::start(
            "callers",
            listen,
            listener_limits,
            status::reject_unread,
            handler,
        )?,
        replies,
        pending,
    })
}

fn count_response(answer: &Answer) {
    let status = answer.status.to_string();
    metrics::counter!("greengage_http_answers_total", "status" => status).increment(1);
}

fn send_unknown_outcome(responder: Responder) {
    let answer = status::error_response(&ApiError::UnknownOutcome { key: None });
    count_response(&answer);
    responder.send(answer);
}

fn dispatch_replies(receiver: &Receiver<Message>, pending_count: &AtomicUsize) {
    // A B-tree, since thousands of ids may be pending and are removed in any order.
    let mut pending: BTreeMap<RequestId, (Responder, reply::OutcomeForm, Instant)> =
        BTreeMap::new();
    let mut next_expiry = Instant::now() + EXPIRY_INTERVAL;
    let mut closing = false;
    loop {
        match receiver.recv_deadline(next_expiry) {
            Ok(Message::Register { responder, .. }) if closing => send_unknown_outcome(responder),
            Ok(Message::Register {
                id,
                responder,
                form,
                deadline,
            }) => {
                pending.insert(id, (responder, form, deadline));
            }
            Ok(Message::Reply { id, reply }) => {
                if let Some((responder, form, _)) = pending.remove(&id) {
                    let answer = reply::response(&reply, form);
                    count_response(&answer);
                    responder.send(answer);
                }
            }
            Err(RecvTimeoutError::Timeout) => {
                let now = Instant::now();
                next_expiry = now + EXPIRY_INTERVAL;
                let expired: Vec<RequestId> = pending
                    .iter()
                    .filter(|(_, (_, _, deadline))| *deadline <= now)
                    .map(|(id, _)| *id)
                    .collect();
                for id in expired {
                    if let Some((responder, ..)) = pending.remove(&id) {
                        send_unknown_outcome(responder);
                    }
                }
            }
            Ok(Message::AnswerAll) => {
                closing = true;
                for (_, (responder, ..)) in std::mem::take(&mut pending) {
                    send_unknown_outcome(responder);
                }
            }
            Ok(Message::Stop) | Err(RecvTimeoutError::Disconnected) => return,
        }
        pending_count.store(pending.len(), Ordering::Relaxed);
    }
}

/// A decoded request.
struct Submission {
    request: Request,
    wait: Duration,
    form: reply::OutcomeForm,
}

enum Routed {
    Submit(Submission),
    Answer(Answer),
}

fn route(request: &HttpRequest, limits: &Limits) -> Result<Routed, Rejection> {
    let segments = request.segments().ok_or_else(|| {
        reject(
            400,
            "path",
            "the path has an invalid percent-encoding: correct it",
        )
    })?;
    let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
    let body = &request.body;
    let mut form = reply::OutcomeForm::Job;
    let submission = match (request.method.as_str(), segments.as_slice()) {
        ("POST", ["v1", "jobs"]) => Request::Submit(parse_job(body, limits.max_tasks)?),
        ("GET", ["v1", "jobs", zone, account, id]) => {
            Request::Outcome(parse_key(zone, account, id)?)
        }
        ("DELETE", ["v1", "jobs", zone, account, id]) => {
            Request::Cancel(parse_key(zone, account, id)?)
        }
        ("POST", ["v1", "requests"]) => {
            form = reply::OutcomeForm::Single;
            Request::Single(parse_single(body)?)
        }
        ("POST", ["v1", "targets"]) => Request::Announce(parse_announcement(body)?),
        ("DELETE", ["v1", "targets", name]) => {
            Request::Leave(TargetName::new(name).map_err(|e| segment_error("target", name, e))?)
        }
        ("GET", ["healthz"]) => {
            return Ok(Routed::Answer(Answer::json(200, r#"{"state":"alive"}"#)))
        }
        ("GET", ["readyz"]) => Request::Ready,
        (_, segments) => return Err(unknown_path(segments)),
    };
    let wait = match submission {
        // A readiness probe must be answered at once or counts as failed.
        Request::Ready => Duration::ZERO,
        _ => parse_wait(request, limits)?,
    };
    Ok(Routed::Submit(Submission {
        request: submission,
        wait,
        form,
    }))
}

fn unknown_path(segments: &[&str]) -> Rejection {
    let allowed = match segments {
        ["v1", "jobs" | "requests" | "targets"] => "POST",
        ["v1", "jobs", _, _, _] => "GET and DELETE",
        ["v1", "targets", _] => "DELETE",
        ["healthz" | "readyz"] => "GET",
        _ => {
            return reject(
                404,
                "path",
                "no such path: use /v1/jobs, /v1/requests, /v1/targets, /healthz or /readyz",
            )
        }
    };
    reject(405, "method", &format!("this path takes {allowed}"))
}

fn segment_error(segment_name: &str, text: &str, error: greengage_core::NameError) -> Rejection {
    reject(400, "path", &format!("{segment_name} {text:?}: {error}"))
}

fn parse_key(zone: &str, account: &str, id: &str) -> Result<JobKey, Rejection> {
    Ok(JobKey {
        zone: ZoneName::new(zone).map_err(|e| segment_error("zone", zone, e))?,
        account: AccountName::new(account).map_err(|e| segment_error("account", account, e))?,
        id: Name::new(id).map_err(|e| segment_error("id", id, e))?,
    })
}

fn parse_wait(request: &HttpRequest, limits: &Limits) -> Result<Duration, Rejection> {
    let params = request.params().ok_or_else(|| {
        reject(
            400,
            "query",
            "the query has an invalid percent-encoding: correct it",
        )
    })?;
    let mut wait = limits.default_wait;
    for (name, value) in params {
        let max_ms = limits.max_wait.as_millis() as u64;
        match (name.as_str(), value.parse::<u64>()) {
            ("wait_ms", Ok(ms)) if ms <= max_ms => wait = Duration::from_millis(ms),
            ("wait_ms", _) => {
                return Err(reject(
                    400,
                    "query",
                    &format!("wait_ms is {value:?}: give a whole number from 0 to {max_ms}"),
                ))
            }
            _ => {
                return Err(reject(
                    400,
                    "query",
                    &format!("parameter {name:?} is not known: remove it or use wait_ms"),
                ))
            }
        }
    }
    Ok(wait)
}

fn parse_job(body: &[u8], max_tasks: usize) -> Result<NewJob, DocumentError> {
    let mut fields = Fields::parse(body)?;
    let account = fields.name("account", AccountName::new)?;
    let zone = fields.optional_name("zone", ZoneName::new)?;
    let id = fields.name("id", Name::new)?;
    let template = fields.name("template", TemplateName::new)?;
    let tasks = fields.payloads("tasks", max_tasks)?;
    fields.finish()?;
    Ok(NewJob {
        account,
        zone,
        id,
        digest: digest(template.as_str(), &tasks),
        template,
        tasks,
    })
}

fn parse_single(body: &[u8]) -> Result<NewRequest, DocumentError> {
    let mut fields = Fields::parse(body)?;
    let account = fields.name("account", AccountName::new)?;
    let zone = fields.optional_name("zone", ZoneName::new)?;
    let id = fields.optional_name("id", Name::new)?;
    let template = fields.name("template", TemplateName::new)?;
    let task = fields.payload("task")?;
    fields.finish()?;
    Ok(NewRequest {
        account,
        zone,
        id,
        digest: digest(template.as_str(), std::slice::from_ref(&task)),
        template,
        task,
    })
}

fn parse_announcement(body: &[u8]) -> Result<Announcement, DocumentError> {
    let mut fields = Fields::parse(body)?;
    let target = fields.name("target", TargetName::new)?;
    let incarnation = greengage_core::Incarnation(fields.required_u64("incarnation")?);
    let address = fields.name("address", Address::new)?;
    if address.as_str().parse::<SocketAddr>().is_err() {
        let problem = format!("is {:?}: give IP:port", address.as_str());
        return Err(fields.invalid("address", problem));
    }
    let zone = fields.name("zone", ZoneName::new)?;
    let rack = fields.optional_name("rack", greengage_core::RackName::new)?;
    let work = fields.names("work", TemplateName::new)?;
    let capacity = document::read_capacity(fields.required_object("capacity")?)?;
    let usage = fields
        .object("usage")?
        .map(document::read_demand)
        .transpose()?;
    let fencing = fields.boolean("fencing")?.unwrap_or(false);
    let leaving = fields.boolean("leaving")?.unwrap_or(false);
    fields.finish()?;
    Ok(Announcement {
        target,
        incarnation,
        address,
        zone,
        rack,
        work,
        capacity,
        usage,
        fencing,
        leaving,
    })
}
