//! The listener for operators.
//!
//! A handler translates the request, passes it on and waits for the reply on a channel of its own,
//! for a bounded time; operators are few, so each may hold a thread. One thread owns the map from
//! request to channel, so that giving a reply takes no lock.

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
use crate::reply::{self, Form};
use crate::status::{self, refuse, Refused};
use crate::HttpError;

/// What the listener is started with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The VM, named in errors.
    pub vm: VmName,
    /// Connections, threads, sizes and times.
    pub limits: Limits,
    /// Longest time that a reply is awaited.
    pub wait: Duration,
}

impl Settings {
    /// The usual bounds.
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
            wait: Duration::from_secs(10),
        }
    }
}

enum Message {
    Wait { id: RequestId, to: Sender<Reply> },
    Reply { id: RequestId, reply: Reply },
    Forget { id: RequestId },
    Stop,
}

/// Answers held requests from any thread without blocking.
#[derive(Clone)]
pub struct Replies(Sender<Message>);

impl Replies {
    /// Answers a held request; a reply to an unknown id is dropped.
    pub fn reply(&self, id: RequestId, reply: Reply) {
        let _ = self.0.send(Message::Reply { id, reply });
    }
}

/// The running listener; it stops when dropped.
pub struct Admin {
    server: Listener,
    replies: Replies,
}

impl Admin {
    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Answers a held request; a reply to an unknown id is dropped.
    pub fn reply(&self, id: RequestId, reply: Reply) {
        self.replies.reply(id, reply);
    }

    /// A handle that answers held requests.
    pub fn replies(&self) -> Replies {
        self.replies.clone()
    }
}

impl Drop for Admin {
    fn drop(&mut self) {
        self.server.close();
        // A handler that waits keeps a sender of the channel, so the channel alone would end the
        // thread only after that wait.
        let _ = self.replies.0.send(Message::Stop);
    }
}

/// Starts the listener. `submit` takes a request and how long its reply may be held; it returns
/// false when the request was not taken. `metrics` renders the text of `/metrics`.
pub fn start(
    settings: Settings,
    submit: impl Fn(RequestId, Duration, Request) -> bool + Send + Sync + 'static,
    metrics: impl Fn() -> String + Send + Sync + 'static,
) -> Result<Admin, HttpError> {
    let (sender, receiver) = unbounded();
    thread::Builder::new()
        .name("operators-replies".to_string())
        .spawn(move || pass_replies(&receiver))
        .map_err(HttpError::Thread)?;
    let replies = Replies(sender.clone());
    let ids = AtomicU64::new(0);
    let Settings {
        listen,
        vm,
        limits,
        wait,
    } = settings;
    let ask = move |request: Request| -> Answer {
        let id = RequestId(ids.fetch_add(1, Ordering::Relaxed) * ID_STEP + 1);
        let (to, from) = bounded(1);
        // Registered before it is submitted, so that the reply finds it.
        let _ = sender.send(Message::Wait { id, to });
        // An operator waits for the decision alone. No further time is asked for, so that the
        // reply that no leader can be reached comes before `wait` is over.
        if !submit(id, Duration::ZERO, request) {
            let _ = sender.send(Message::Forget { id });
            return status::answer(&ApiError::Busy { vm: vm.clone() });
        }
        match from.recv_timeout(wait) {
            Ok(reply) => reply::answer(&reply, Form::Job),
            Err(_) => {
                let _ = sender.send(Message::Forget { id });
                status::answer(&ApiError::UnknownOutcome { key: None })
            }
        }
    };
    let handler = move |request: HttpRequest, responder: Responder| {
        responder.send(handle(&request, &ask, &metrics));
    };
    Ok(Admin {
        server: listener::start("operators", listen, limits, status::early, handler)?,
        replies,
    })
}

fn pass_replies(receiver: &Receiver<Message>) {
    // A B-tree because ids are removed in any order.
    let mut waiting: BTreeMap<RequestId, Sender<Reply>> = BTreeMap::new();
    for message in receiver {
        match message {
            Message::Wait { id, to } => {
                waiting.insert(id, to);
            }
            Message::Reply { id, reply } => {
                if let Some(to) = waiting.remove(&id) {
                    let _ = to.try_send(reply);
                }
            }
            Message::Forget { id } => {
                waiting.remove(&id);
            }
            Message::Stop => return,
        }
    }
}

fn handle(
    request: &HttpRequest,
    ask: &impl Fn(Request) -> Answer,
    metrics: &impl Fn() -> String,
) -> Answer {
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/healthz") => Answer::json(200, r#"{"state":"alive"}"#),
        ("GET", "/metrics") => Answer {
            media: "text/plain; version=0.0.4",
            ..Answer::json(200, metrics())
        },
        _ => match route(request) {
            Ok(request) => ask(request),
            Err(answer) => *answer,
        },
    }
}

fn route(request: &HttpRequest) -> Result<Request, Refused> {
    let segments = request
        .segments()
        .ok_or_else(|| refuse(400, "path", "the path has an invalid escape: correct it"))?;
    let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
    let mut query = Query::parse(request)?;
    let body = &request.body;
    let routed = match (request.method.as_str(), segments.as_slice()) {
        ("GET", ["readyz"]) => Request::Ready,
        ("GET", ["v1", "templates"]) => Request::Documents,
        ("GET", ["v1", "templates", name]) => Request::Template {
            name: named("template", name, TemplateName::new)?,
            current: query.current()?,
        },
        ("PUT", ["v1", "templates", name]) => {
            let name = named("template", name, TemplateName::new)?;
            edit(body, true, |content| {
                let content = content.map(document::read_template).transpose()?;
                Ok(policy::Document::Template { name, content })
            })?
        }
        ("DELETE", ["v1", "templates", name]) => {
            let name = named("template", name, TemplateName::new)?;
            edit(body, false, |_| {
                Ok(policy::Document::Template {
                    name,
                    content: None,
                })
            })?
        }
        ("GET", ["v1", "templates", template, "params", account]) => Request::Params {
            template: named("template", template, TemplateName::new)?,
            account: named("account", account, AccountName::new)?,
            current: query.current()?,
        },
        ("PUT", ["v1", "templates", template, "params", account]) => {
            let template = named("template", template, TemplateName::new)?;
            let account = named("account", account, AccountName::new)?;
            edit(body, true, |content| {
                let content = content.map(document::read_params).transpose()?;
                Ok(policy::Document::Params {
                    template,
                    account,
                    content,
                })
            })?
        }
        ("DELETE", ["v1", "templates", template, "params", account]) => {
            let template = named("template", template, TemplateName::new)?;
            let account = named("account", account, AccountName::new)?;
            edit(body, false, |_| {
                Ok(policy::Document::Params {
                    template,
                    account,
                    content: None,
                })
            })?
        }
        ("GET", ["v1", "targets"]) => Request::Targets,
        ("GET", ["v1", "vms"]) => Request::Vms,
        ("GET", ["v1", "groups", name]) => Request::Group(group(name)?),
        ("POST", ["v1", "groups", name, "change"]) => Request::Change {
            group: group(name)?,
            change: document::read_change(body)?,
        },
        ("POST", ["v1", "groups", name, "transfer"]) => Request::Transfer {
            group: group(name)?,
            to: transfer(body)?,
        },
        ("GET", ["v1", "timeline"]) => Request::Timeline(filter(&mut query)?),
        (_, segments) => return Err(unknown_path(segments)),
    };
    query.finish()?;
    Ok(routed)
}

fn unknown_path(segments: &[&str]) -> Refused {
    let allowed =
        match segments {
            ["v1", "templates" | "targets" | "vms" | "timeline"]
            | ["metrics" | "healthz" | "readyz"] => "GET",
            ["v1", "groups", _] => "GET",
            ["v1", "templates", _] | ["v1", "templates", _, "params", _] => "GET, PUT and DELETE",
            ["v1", "groups", _, "change" | "transfer"] => "POST",
            _ => return refuse(
                404,
                "path",
                "no such path: use /v1/templates, /v1/targets, /v1/vms, /v1/groups, /v1/timeline, \
                 /metrics, /healthz or /readyz",
            ),
        };
    refuse(405, "method", &format!("this path takes {allowed}"))
}

fn named<T>(
    what: &str,
    text: &str,
    make: impl Fn(&str) -> Result<T, NameError>,
) -> Result<T, Refused> {
    make(text).map_err(|e| refuse(400, "path", &format!("{what} {text:?}: {e}")))
}

fn group(name: &str) -> Result<Group, Refused> {
    match (name, name.strip_prefix("ledger-")) {
        ("control", _) => Ok(Group::Control),
        (_, Some(zone)) => Ok(Group::Ledger(named("zone", zone, ZoneName::new)?)),
        _ => Err(refuse(
            404,
            "path",
            &format!("group {name:?} does not exist: use control or ledger-ZONE"),
        )),
    }
}

/// Reads `{"op": …, "from": version, "content": {…}}`; a removal has no content.
fn edit<'a>(
    body: &'a [u8],
    content: bool,
    make: impl FnOnce(Option<Fields<'a>>) -> Result<policy::Document, DocumentError>,
) -> Result<Request, DocumentError> {
    let mut fields = Fields::parse(body)?;
    let op = OpId(fields.name("op", Name::new)?);
    let from = Version(fields.need_u64("from")?);
    let content = match content {
        true => Some(fields.need_object("content")?),
        false => None,
    };
    let document = make(content)?;
    fields.finish()?;
    Ok(Request::Edit(policy::Command::Edit { op, from, document }))
}

fn transfer(body: &[u8]) -> Result<Option<greengage_core::NodeId>, DocumentError> {
    if body.is_empty() {
        return Ok(None);
    }
    let mut fields = Fields::parse(body)?;
    let to = document::read_node_opt(&mut fields, "to")?;
    fields.finish()?;
    Ok(to)
}

fn filter(query: &mut Query) -> Result<Filter, Refused> {
    let zone = query.name("zone", ZoneName::new)?;
    let account = query.name("account", AccountName::new)?;
    let id = query.name("id", Name::new)?;
    let target = query.name("target", TargetName::new)?;
    let key = match (zone, account, id) {
        (Some(zone), Some(account), Some(id)) => Some(JobKey { account, zone, id }),
        (None, None, None) => None,
        _ => {
            return Err(refuse(
                400,
                "query",
                "a submission is named by zone, account and id: give all three or none",
            ))
        }
    };
    Ok(Filter { key, target })
}

/// The parameters of a query that have not been read yet.
struct Query {
    params: Vec<(String, String)>,
    known: Vec<&'static str>,
}

impl Query {
    fn parse(request: &HttpRequest) -> Result<Query, Refused> {
        let params = request
            .params()
            .ok_or_else(|| refuse(400, "query", "the query has an invalid escape: correct it"))?;
        Ok(Query {
            params,
            known: Vec::new(),
        })
    }

    fn take(&mut self, name: &'static str) -> Option<String> {
        self.known.push(name);
        let at = self.params.iter().position(|(n, _)| n == name)?;
        Some(self.params.remove(at).1)
    }

    fn name<T>(
        &mut self,
        name: &'static str,
        make: impl Fn(&str) -> Result<T, NameError>,
    ) -> Result<Option<T>, Refused> {
        match self.take(name) {
            Some(text) => match make(&text) {
                Ok(value) => Ok(Some(value)),
                Err(e) => Err(refuse(400, "query", &format!("{name} is {text:?}: {e}"))),
            },
            None => Ok(None),
        }
    }

    fn current(&mut self) -> Result<bool, Refused> {
        match self.take("current").as_deref() {
            None | Some("false") => Ok(false),
            Some("true") => Ok(true),
            Some(other) => Err(refuse(
                400,
                "query",
                &format!("current is {other:?}: give true or false"),
            )),
        }
    }

    fn finish(self) -> Result<(), Refused> {
        match self.params.first() {
            None => Ok(()),
            Some((name, _)) => {
                let remedy = match self.known.as_slice() {
                    [] => "remove it".to_string(),
                    known => format!("remove it or use one of {}", known.join(", ")),
                };
                let problem = format!("parameter {name:?} is not known: {remedy}");
                Err(refuse(400, "query", &problem))
            }
        }
    }
}
