//! The HTTP listener for operators.
//!
//! A handler thread decodes a request, submits it and waits a bounded time for the reply on a
//! channel of its own. Operators are few, so each waiting request may hold a thread. One thread
//! owns the map from request id to channel, so that sending a reply takes no lock.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam_channel::{bounded, unbounded, Receiver, Sender};
use greengage_control::api::{ApiError, Filter, Group, Reply, Request};
use greengage_core::{
    AccountName, JobKey, Name, NameError, OpId, RequestId, TargetName, TemplateName, Version,
    VmName, ZoneName,
};
use greengage_listener::{
    self as listener, Answer, Limits, Listener, Request as HttpRequest, Responder,
};
use greengage_policy as policy;

use crate::document;
use crate::front::ID_STEP;
use crate::json::{DocumentError, Fields};
use crate::reply::{self, OutcomeForm};
use crate::status::{self, reject, Rejection};
use crate::HttpError;

/// Settings of the listener for operators.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The name of this VM, for error messages.
    pub vm: VmName,
    /// Limits on connections, handler threads, sizes and timeouts.
    pub limits: Limits,
    /// How long a handler waits for a reply before it answers `unknown_outcome`.
    pub reply_timeout: Duration,
}

impl Settings {
    /// Settings with the default limits.
    pub fn new(listen: SocketAddr, vm: VmName) -> Settings {
        Settings {
            listen,
            vm,
            limits: Limits {
                max_body_bytes: 1 << 20,
                max_buffered_bytes: 16 << 20,
                max_connections: 64,
                handler_threads: 16,
                ..Limits::default()
            },
            reply_timeout: Duration::from_secs(10),
        }
    }
}

enum Message {
    Register {
        id: RequestId,
        reply_sender: Sender<Reply>,
    },
    Reply {
        id: RequestId,
        reply: Reply,
    },
    Unregister {
        id: RequestId,
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
pub struct AdminListener {
    listener: Listener,
    replies: ReplySender,
}

impl AdminListener {
    /// The address that it listens on, with the port that was chosen for port 0.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Answers a pending request; drops the reply if `id` is not pending.
    pub fn reply(&self, id: RequestId, reply: Reply) {
        self.replies.reply(id, reply);
    }

    /// A handle that answers pending requests.
    pub fn replies(&self) -> ReplySender {
        self.replies.clone()
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

impl Drop for AdminListener {
    fn drop(&mut self) {
        self.listener.close();
        // A waiting handler keeps a sender of the channel, so without a message the thread would
        // end only after that wait.
        let _ = self.replies.0.send(Message::Stop);
    }
}

/// Starts the listener. `submit` gets a request and how long its reply may be held; it returns
/// false if the request was not accepted. `metrics` renders the response body of `/metrics`.
pub fn start(
    settings: Settings,
    submit: impl Fn(RequestId, Duration, Request) -> bool + Send + Sync + 'static,
    metrics: impl Fn() -> String + Send + Sync + 'static,
) -> Result<AdminListener, HttpError> {
    let (sender, receiver) = unbounded();
    thread::Builder::new()
        .name("operators-replies".to_string())
        .spawn(move || dispatch_replies(&receiver))
        .map_err(HttpError::Thread)?;
    let replies = ReplySender(sender.clone());
    let ids = AtomicU64::new(0);
    let Settings {
        listen,
        vm,
        limits,
        reply_timeout,
    } = settings;
    let submit_and_wait = move |request: Request| -> Answer {
        let id = RequestId(ids.fetch_add(1, Ordering::Relaxed) * ID_STEP + 1);
        let (reply_sender, reply_receiver) = bounded(1);
        // Registered before it is submitted, so that the reply finds it.
        let _ = sender.send(Message::Register { id, reply_sender });
        // An operator waits only for the decision, so the hold time is zero: the reply that no
        // leader can be reached then arrives before `reply_timeout`.
        if !submit(id, Duration::ZERO, request) {
            let _ = sender.send(Message::Unregister { id });
            return status::error_response(&ApiError::Busy { vm: vm.clone() });
        }
        match reply_receiver.recv_timeout(reply_timeout) {
            Ok(reply) => reply::response(&reply, OutcomeForm::Job),
            Err(_) => {
                let _ = sender.send(Message::Unregister { id });
                status::error_response(&ApiError::UnknownOutcome { key: None })
            }
        }
    };
    let handler = move |request: HttpRequest, responder: Responder| {
        responder.send(handle(&request, &submit_and_wait, &metrics));
    };
    Ok(AdminListener {
        listener: listener::start("operators", listen, limits, status::reject_unread, handler)?,
        replies,
    })
}

fn dispatch_replies(receiver: &Receiver<Message>) {
    // A B-tree, since ids are removed in any order.
    let mut pending: BTreeMap<RequestId, Sender<Reply>> = BTreeMap::new();
    let mut closing = false;
    for message in receiver {
        match message {
            // A handler whose channel is closed answers with `unknown_outcome`.
            Message::Register { .. } if closing => {}
            Message::Register { id, reply_sender } => {
                pending.insert(id, reply_sender);
            }
            Message::Reply { id, reply } => {
                if let Some(reply_sender) = pending.remove(&id) {
                    let _ = reply_sender.try_send(reply);
                }
            }
            Message::Unregister { id } => {
                pending.remove(&id);
            }
            Message::AnswerAll => {
                closing = true;
                pending.clear();
            }
            Message::Stop => return,
        }
    }
}

fn handle(
    request: &HttpRequest,
    submit_and_wait: &impl Fn(Request) -> Answer,
    metrics: &impl Fn() -> String,
) -> Answer {
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/healthz") => Answer::json(200, r#"{"state":"alive"}"#),
        ("GET", "/metrics") => Answer {
            content_type: "text/plain; version=0.0.4",
            ..Answer::json(200, metrics())
        },
        _ => match route(request) {
            Ok(request) => submit_and_wait(request),
            Err(answer) => *answer,
        },
    }
}

fn route(request: &HttpRequest) -> Result<Request, Rejection> {
    let segments = request.segments().ok_or_else(|| {
        reject(
            400,
            "path",
            "the path has an invalid percent-encoding: correct it",
        )
    })?;
    let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
    let mut query = Query::parse(request)?;
    let body = &request.body;
    let routed = match (request.method.as_str(), segments.as_slice()) {
        ("GET", ["readyz"]) => Request::Ready,
        ("GET", ["v1", "templates"]) => Request::Documents,
        ("GET", ["v1", "templates", name]) => Request::Template {
            name: parse_segment("template", name, TemplateName::new)?,
            current: query.current()?,
        },
        ("PUT", ["v1", "templates", name]) => {
            let name = parse_segment("template", name, TemplateName::new)?;
            parse_edit(body, true, |content| {
                let content = content.map(document::read_template).transpose()?;
                Ok(policy::Document::Template { name, content })
            })?
        }
        ("DELETE", ["v1", "templates", name]) => {
            let name = parse_segment("template", name, TemplateName::new)?;
            parse_edit(body, false, |_| {
                Ok(policy::Document::Template {
                    name,
                    content: None,
                })
            })?
        }
        ("GET", ["v1", "templates", template, "params", account]) => Request::Params {
            template: parse_segment("template", template, TemplateName::new)?,
            account: parse_segment("account", account, AccountName::new)?,
            current: query.current()?,
        },
        ("PUT", ["v1", "templates", template, "params", account]) => {
            let template = parse_segment("template", template, TemplateName::new)?;
            let account = parse_segment("account", account, AccountName::new)?;
            parse_edit(body, true, |content| {
                let content = content.map(document::read_params).transpose()?;
                Ok(policy::Document::Params {
                    template,
                    account,
                    content,
                })
            })?
        }
        ("DELETE", ["v1", "templates", template, "params", account]) => {
            let template = parse_segment("template", template, TemplateName::new)?;
            let account = parse_segment("account", account, AccountName::new)?;
            parse_edit(body, false, |_| {
                Ok(policy::Document::Params {
                    template,
                    account,
                    content: None,
                })
            })?
        }
        ("GET", ["v1", "targets"]) => Request::Targets,
        ("GET", ["v1", "vms"]) => Request::Vms,
        ("GET", ["v1", "groups", name]) => Request::Group(parse_group(name)?),
        ("POST", ["v1", "groups", name, "change"]) => Request::Change {
            group: parse_group(name)?,
            change: document::read_change(body)?,
        },
        ("POST", ["v1", "groups", name, "transfer"]) => Request::Transfer {
            group: parse_group(name)?,
            to: parse_transfer(body)?,
        },
        ("GET", ["v1", "timeline"]) => Request::Timeline(parse_filter(&mut query)?),
        (_, segments) => return Err(unknown_path(segments)),
    };
    query.finish()?;
    Ok(routed)
}

fn unknown_path(segments: &[&str]) -> Rejection {
    let allowed =
        match segments {
            ["v1", "templates" | "targets" | "vms" | "timeline"]
            | ["metrics" | "healthz" | "readyz"] => "GET",
            ["v1", "groups", _] => "GET",
            ["v1", "templates", _] | ["v1", "templates", _, "params", _] => "GET, PUT and DELETE",
            ["v1", "groups", _, "change" | "transfer"] => "POST",
            _ => return reject(
                404,
                "path",
                "no such path: use /v1/templates, /v1/targets, /v1/vms, /v1/groups, /v1/timeline, \
                 /metrics, /healthz or /readyz",
            ),
        };
    reject(405, "method", &format!("this path takes {allowed}"))
}

fn parse_segment<T>(
    segment_name: &str,
    text: &str,
    parse: impl Fn(&str) -> Result<T, NameError>,
) -> Result<T, Rejection> {
    parse(text).map_err(|e| reject(400, "path", &format!("{segment_name} {text:?}: {e}")))
}

fn parse_group(name: &str) -> Result<Group, Rejection> {
    match (name, name.strip_prefix("ledger-")) {
        ("control", _) => Ok(Group::Control),
        (_, Some(zone)) => Ok(Group::Ledger(parse_segment("zone", zone, ZoneName::new)?)),
        _ => Err(reject(
            404,
            "path",
            &format!("group {name:?} does not exist: use control or ledger-ZONE"),
        )),
    }
}

/// Reads `{"op": …, "from": VERSION, "content": {…}}`; without `content` the edit is a removal.
fn parse_edit<'a>(
    body: &'a [u8],
    content: bool,
    parse: impl FnOnce(Option<Fields<'a>>) -> Result<policy::Document, DocumentError>,
) -> Result<Request, DocumentError> {
    let mut fields = Fields::parse(body)?;
    let op = OpId(fields.name("op", Name::new)?);
    let base_version = Version(fields.required_u64("from")?);
    let content = match content {
        true => Some(fields.required_object("content")?),
        false => None,
    };
    let document = parse(content)?;
    fields.finish()?;
    Ok(Request::Edit(policy::Command::Edit {
        op,
        base_version,
        document,
    }))
}

fn parse_transfer(body: &[u8]) -> Result<Option<greengage_core::NodeId>, DocumentError> {
    if body.is_empty() {
        return Ok(None);
    }
    let mut fields = Fields::parse(body)?;
    let to = document::read_optional_node(&mut fields, "to")?;
    fields.finish()?;
    Ok(to)
}

fn parse_filter(query: &mut Query) -> Result<Filter, Rejection> {
    let zone = query.name("zone", ZoneName::new)?;
    let account = query.name("account", AccountName::new)?;
    let id = query.name("id", Name::new)?;
    let target = query.name("target", TargetName::new)?;
    let key = match (zone, account, id) {
        (Some(zone), Some(account), Some(id)) => Some(JobKey { account, zone, id }),
        (None, None, None) => None,
        _ => {
            return Err(reject(
                400,
                "query",
                "a job is identified by zone, account and id: give all three or none",
            ))
        }
    };
    Ok(Filter { key, target })
}

/// The parameters of a query that have not been read yet, and the names that are accepted.
struct Query {
    params: Vec<(String, String)>,
    accepted: Vec<&'static str>,
}

impl Query {
    fn parse(request: &HttpRequest) -> Result<Query, Rejection> {
        let params = request.params().ok_or_else(|| {
            reject(
                400,
                "query",
                "the query has an invalid percent-encoding: correct it",
            )
        })?;
        Ok(Query {
            params,
            accepted: Vec::new(),
        })
    }

    fn take(&mut self, name: &'static str) -> Option<String> {
        self.accepted.push(name);
        let index = self.params.iter().position(|(n, _)| n == name)?;
        Some(self.params.remove(index).1)
    }

    fn name<T>(
        &mut self,
        name: &'static str,
        parse: impl Fn(&str) -> Result<T, NameError>,
    ) -> Result<Option<T>, Rejection> {
        match self.take(name) {
            Some(text) => match parse(&text) {
                Ok(value) => Ok(Some(value)),
                Err(e) => Err(reject(400, "query", &format!("{name} is {text:?}: {e}"))),
            },
            None => Ok(None),
        }
    }

    fn current(&mut self) -> Result<bool, Rejection> {
        match self.take("current").as_deref() {
            None | Some("false") => Ok(false),
            Some("true") => Ok(true),
            Some(other) => Err(reject(
                400,
                "query",
                &format!("current is {other:?}: give true or false"),
            )),
        }
    }

    fn finish(self) -> Result<(), Rejection> {
        match self.params.first() {
            None => Ok(()),
            Some((name, _)) => {
                let remedy = match self.accepted.as_slice() {
                    [] => "remove it".to_string(),
                    accepted => format!("remove it or use one of {}", accepted.join(", ")),
                };
                let problem = format!("parameter {name:?} is not known: {remedy}");
                Err(reject(400, "query", &problem))
            }
        }
    }
}
