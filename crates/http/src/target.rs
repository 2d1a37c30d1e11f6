//! The HTTP client that calls targets.
//!
//! A thread of a bounded pool makes each call, which ends within `Settings::call_timeout`. A start
//! that fails without a response is reported as `CallResult::NotRun` only if no byte of the request
//! was handed to the connection; the transport records this before each write. Any later failure is
//! `CallResult::Broken`, including a pooled connection that the target has closed. Idle connections
//! are therefore dropped after `Settings::idle_timeout`, well before a target may close them.
//!
//! Starts and polls share a bounded number of pooled connections to each target. Revokes, stops,
//! fences and polls with `new_connection` open a new connection each and have a small limit of
//! their own, so that unresponsive pooled connections do not delay them.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::Receiver;
use greengage_control::call::{Action, AttemptState, Call, CallResult, Start};
use greengage_core::{
    AccountName, Address, AttemptId, GuardAction, Incarnation, JobKey, Name, Payload, Term,
    ZoneName,
};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::Value;
use ureq::http::Response;
use ureq::{Agent, Body};

use crate::client;
use crate::document;
use crate::json::raw_json;
use crate::pool::ThreadPool;
use crate::HttpError;

/// Limits and timeouts of the client.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time-out of a connection attempt.
    pub connect_timeout: Duration,
    /// Time-out of a whole call. The kernel rounds receive timeouts up, by as much as 250 ms at
    /// this length.
    pub call_timeout: Duration,
    /// How long a poll asks the target to hold its response.
    pub poll_wait: Duration,
    /// How long an idle connection is kept for another call; less than `Limits::start_patience` of
    /// the control state, which says why.
    pub idle_timeout: Duration,
    /// Maximum number of threads, and so of concurrent calls.
    pub max_threads: usize,
    /// Maximum number of connections to one target for starts and polls.
    pub max_per_target: usize,
    /// Maximum number of further connections to one target, for revokes, stops, fences and fresh
    /// polls.
    pub max_fresh: usize,
    /// Maximum size of a response body in bytes.
    pub max_response_bytes: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            connect_timeout: Duration::from_millis(500),
            // Exceeds the 2 s for which a target holds a response. With 2500 ms, which the kernel
            // rounds up, a start on a silent connection took 2.9 s, close to the goal of 3 s.
            call_timeout: Duration::from_millis(2250),
            poll_wait: Duration::from_secs(2),
            idle_timeout: Duration::from_millis(500),
            max_threads: 512,
            max_per_target: 16,
            max_fresh: 4,
            max_response_bytes: 8 << 20,
        }
    }
}

/// Maximum number of calls that wait for a connection to one target; further ones fail at once.
const MAX_QUEUED_CALLS: usize = 1024;

/// Agents among which targets are distributed by address. ureq searches its connection pool
/// linearly, so with one pool for all targets the cost of a call would grow with their number.
const AGENT_COUNT: usize = 16;

type ResultHandler = dyn Fn(u64, CallResult) + Send + Sync;

struct QueuedCall {
    token: u64,
    call: Call,
    queued_at: Instant,
}

#[derive(Default)]
struct ConnectionQueue {
    running: usize,
    waiting: VecDeque<QueuedCall>,
}

/// The target's address, and whether the queue is for calls on new connections.
type QueueKey = (Address, bool);

struct Shared {
    settings: Settings,
    max_per_target: AtomicUsize,
    pooled_agents: Vec<Agent>,
    fresh_agent: Agent,
    pool: ThreadPool,
    // A B-tree, since queues are added and removed with each call and there may be thousands of
    // targets.
    queues: Mutex<BTreeMap<QueueKey, ConnectionQueue>>,
    on_result: Box<ResultHandler>,
}

/// The running client; ends when the channel of calls is closed.
pub struct Client(Arc<Shared>);

impl Client {
    /// Makes the calls received on `calls` and passes each token with its result to `on_result`,
    /// from any of the client's threads.
    pub fn start(
        settings: Settings,
        calls: Receiver<(u64, Call)>,
        on_result: impl Fn(u64, CallResult) + Send + Sync + 'static,
    ) -> Result<Client, HttpError> {
        let shared = Arc::new(Shared {
            max_per_target: AtomicUsize::new(settings.max_per_target.max(1)),
            pooled_agents: (0..AGENT_COUNT)
                .map(|_| build_agent(&settings, true))
                .collect(),
            fresh_agent: build_agent(&settings, false),
            pool: ThreadPool::new("target-call", settings.max_threads),
            queues: Mutex::new(BTreeMap::new()),
            on_result: Box::new(on_result),
            settings,
        });
        let client = Client(shared.clone());
        thread::Builder::new()
            .name("target-calls".to_string())
            .spawn(move || {
                for (token, call) in &calls {
                    shared.enqueue(QueuedCall {
                        token,
                        call,
                        queued_at: Instant::now(),
                    });
                }
                shared.pool.close();
            })
            .map_err(HttpError::Thread)?;
        Ok(client)
    }

    /// Sets the maximum number of connections to one target for starts and polls, at least 1.
    pub fn set_max_per_target(&self, connections: usize) {
        self.0
            .max_per_target
            .store(connections.max(1), Ordering::Relaxed);
    }
}

fn build_agent(settings: &Settings, pooled: bool) -> Agent {
    let max_idle = if pooled { 4096 } else { 0 };
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .no_delay(true)
        .user_agent("greengageproxy")
        .max_idle_connections(max_idle)
        .max_idle_connections_per_host(if pooled { settings.max_per_target } else { 0 })
        .max_idle_age(settings.idle_timeout)
        .timeout_global(Some(settings.call_timeout))
        .timeout_per_call(Some(settings.call_timeout))
        .timeout_resolve(Some(settings.connect_timeout))
        .timeout_connect(Some(settings.connect_timeout))
        .timeout_send_request(Some(settings.call_timeout))
        .timeout_send_body(Some(settings.call_timeout))
        .timeout_recv_response(Some(settings.call_timeout))
        .timeout_recv_body(Some(settings.call_timeout))
        .build();
    client::direct_agent(config)
}

fn needs_fresh_connection(action: &Action) -> bool {
    match action {
        Action::Start(_) => false,
        Action::Poll { new_connection, .. } => *new_connection,
        Action::Revoke { .. } | Action::Stop { .. } | Action::Fence { .. } => true,
    }
}

/// The result of a call of which no byte was sent.
fn unsent_result(action: &Action, reason: &str) -> CallResult {
    let reason = reason.to_string();
    match action {
        Action::Start(_) => CallResult::NotRun { reason },
        Action::Poll { .. }
        | Action::Revoke { .. }
        | Action::Stop { .. }
        | Action::Fence { .. } => CallResult::Broken { reason },
    }
}

fn count_result(result: &CallResult) {
    let label = match result {
        CallResult::State(_) => "state",
        CallResult::NotRun { .. } => "not_run",
        CallResult::Broken { .. } => "broken",
        CallResult::Restarted => "restarted",
        CallResult::Forgotten => "forgotten",
        CallResult::Fenced { .. } => "fenced",
    };
    metrics::counter!("greengage_target_calls_total", "seen" => label).increment(1);
}

impl Shared {
    fn queues(&self) -> MutexGuard<'_, BTreeMap<QueueKey, ConnectionQueue>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn enqueue(self: &Arc<Shared>, queued: QueuedCall) {
        let fresh = needs_fresh_connection(&queued.call.action);
        let key = (queued.call.address.clone(), fresh);
        let limit = match fresh {
            true => self.settings.max_fresh.max(1),
            false => self.max_per_target.load(Ordering::Relaxed),
        };
        let rejected = {
            let mut queues = self.queues();
            let queue = queues.entry(key.clone()).or_default();
            if queue.running < limit {
                queue.running += 1;
                None
            } else if queue.waiting.len() < MAX_QUEUED_CALLS {
                queue.waiting.push_back(queued);
                return;
            } else {
                Some(())
            }
        };
        if rejected.is_some() {
            let reason = "too many calls wait for a connection to the target";
            (self.on_result)(queued.token, unsent_result(&queued.call.action, reason));
            return;
        }
        let shared = self.clone();
        let (token, action) = (queued.token, queued.call.action.clone());
        let queue_key = key.clone();
        if !self.pool.run(move || shared.run_calls(&queue_key, queued)) {
            self.queues().remove(&key);
            (self.on_result)(
                token,
                unsent_result(&action, "can't create a thread for the call"),
            );
        }
    }

    /// Makes the queued call and then those that wait for its connection.
    fn run_calls(&self, key: &QueueKey, mut queued: QueuedCall) {
        loop {
            let result = match queued.queued_at.elapsed() > self.settings.call_timeout {
                true => unsent_result(
                    &queued.call.action,
                    "no connection to the target became free in time",
                ),
                false => self.make_call(&queued.call),
            };
            count_result(&result);
            (self.on_result)(queued.token, result);
            let mut queues = self.queues();
            let Some(queue) = queues.get_mut(key) else {
                return;
            };
            match queue.waiting.pop_front() {
                Some(next) => queued = next,
                None => {
                    queue.running -= 1;
                    if queue.running == 0 {
                        queues.remove(key);
                    }
                    return;
                }
            }
        }
    }

    fn select_agent(&self, address: &Address, fresh: bool) -> &Agent {
        if fresh {
            return &self.fresh_agent;
        }
        let hash = crate::json::stable_hash(address.as_str());
        &self.pooled_agents[hash % self.pooled_agents.len()]
    }

    fn make_call(&self, call: &Call) -> CallResult {
        let agent = self.select_agent(&call.address, needs_fresh_connection(&call.action));
        client::reset_sent();
        let base = format!("http://{}/v1", call.address);
        let incarnation = call.incarnation.0;
        let result = match &call.action {
            Action::Start(start) => {
                post(agent, format!("{base}/attempts"), start_body(start, call))
            }
            Action::Poll { attempt, .. } => agent
                .get(format!(
                    "{base}/attempts/{attempt}?wait_ms={}&incarnation={incarnation}",
                    self.settings.poll_wait.as_millis()
                ))
                .call(),
            Action::Revoke { attempt } => post(
                agent,
                format!("{base}/attempts/{attempt}/revoke?incarnation={incarnation}"),
                Vec::new(),
            ),
            Action::Stop { attempt } => post(
                agent,
                format!("{base}/attempts/{attempt}/stop?incarnation={incarnation}"),
                Vec::new(),
            ),
            Action::Fence { zone, term } => {
                let body = serde_json::json!({"zone": zone.as_str(), "term": term.0});
                post(
                    agent,
                    format!("{base}/fence"),
                    body.to_string().into_bytes(),
                )
            }
        };
        let response = result.and_then(|response| self.read_response(response));
        match response {
            Ok((status, body)) => interpret_response(&call.action, status, &body),
            Err(error) if !client::bytes_sent() => unsent_result(&call.action, &error.to_string()),
            Err(error) => CallResult::Broken {
                reason: error.to_string(),
            },
        }
    }

    fn read_response(&self, mut response: Response<Body>) -> Result<(u16, Vec<u8>), ureq::Error> {
        let body = response
            .body_mut()
            .with_config()
            .limit(self.settings.max_response_bytes)
            .read_to_vec()?;
        Ok((response.status().as_u16(), body))
    }
}

fn post(agent: &Agent, url: String, body: Vec<u8>) -> Result<Response<Body>, ureq::Error> {
    agent
        .post(url)
        .header("Content-Type", "application/json")
        .send(body.as_slice())
}

#[derive(Serialize)]
struct StartBody<'a> {
    attempt: String,
    incarnation: u64,
    zone: &'a str,
    term: u64,
    template: &'a str,
    values: BTreeMap<&'a str, Value>,
    left_ms: u64,
    task: Box<RawValue>,
}

fn start_body(start: &Start, call: &Call) -> Vec<u8> {
    let body = StartBody {
        attempt: start.attempt.to_string(),
        incarnation: call.incarnation.0,
        zone: start.zone.as_str(),
        term: start.term.0,
        template: start.template.as_str(),
        values: start
            .values
            .iter()
            .map(|(name, value)| (name.as_str(), document::value_json(value)))
            .collect(),
        left_ms: start.time_left.as_millis() as u64,
        task: raw_json(&start.payload),
    };
    serde_json::to_vec(&body).expect("strings and numbers serialize")
}

/// The state of an attempt in a target's response; unknown fields are ignored.
#[derive(Deserialize)]
struct StateBody<'a> {
    state: String,
    #[serde(borrow)]
    result: Option<&'a RawValue>,
    #[serde(default)]
    service_us: u64,
    #[serde(default)]
    message: String,
    action: Option<String>,
    reason: Option<String>,
    attempt: Option<String>,
}

#[derive(Deserialize)]
struct FenceBody<'a> {
    incarnation: u64,
    #[serde(borrow)]
    attempts: Vec<StateBody<'a>>,
    zone: String,
    term: u64,
}

impl StateBody<'_> {
    fn state(&self) -> Option<AttemptState> {
        match self.state.as_str() {
            "never" => Some(AttemptState::Never),
            "running" => Some(AttemptState::Running),
            "done" => Some(AttemptState::Done {
                result: Payload::new(self.result.map_or("null", RawValue::get).as_bytes()),
                service: Duration::from_micros(self.service_us),
            }),
            "failed" => Some(AttemptState::Failed {
                message: self.message.clone(),
            }),
            "guard" => match self.action.as_deref() {
                Some("throttled") => Some(AttemptState::Guard(GuardAction::Throttled)),
                Some("checkpointed") => Some(AttemptState::Guard(GuardAction::Checkpointed)),
                Some("stopped") => Some(AttemptState::Guard(GuardAction::Stopped)),
                _ => None,
            },
            _ => None,
        }
    }
}

/// Parses an attempt id `ZONE/ACCOUNT/ID/TASK/NUMBER`; `None` if it is malformed.
pub fn parse_attempt(text: &str) -> Option<AttemptId> {
    let mut parts = text.split('/');
    let zone = ZoneName::new(parts.next()?).ok()?;
    let account = AccountName::new(parts.next()?).ok()?;
    let id = Name::new(parts.next()?).ok()?;
    let task = parts.next()?.parse().ok()?;
    let number = parts.next()?.parse().ok()?;
    match parts.next() {
        Some(_) => None,
        None => Some(AttemptId {
            key: JobKey { account, zone, id },
            task,
            number,
        }),
    }
}

fn interpret_response(action: &Action, status: u16, body: &[u8]) -> CallResult {
    let broken = |problem: &str| CallResult::Broken {
        reason: format!("the target answered {status}: {problem}"),
    };
    let attempt = match action {
        Action::Start(Start { attempt, .. })
        | Action::Poll { attempt, .. }
        | Action::Revoke { attempt }
        | Action::Stop { attempt } => attempt,
        Action::Fence { zone, term } => {
            return match (status, parse_fence_response(body, zone, *term)) {
                (200, Some(result)) => result,
                _ => broken("the body does not match this fence"),
            };
        }
    };
    let Ok(answer) = serde_json::from_slice::<StateBody<'_>>(body) else {
        return broken("the body is not the state of an attempt");
    };
    // If a target responds twice on a pooled connection, the second response reaches another call;
    // without this check, that attempt would get the wrong result.
    if answer.attempt.as_deref() != Some(&attempt.to_string()) {
        return broken("the body does not name this attempt");
    }
    if status == 409 && answer.state == "restarted" {
        return CallResult::Restarted;
    }
    let poll = matches!(action, Action::Poll { .. });
    if poll && status == 404 && answer.state == "unknown" {
        return CallResult::Forgotten;
    }
    let start = matches!(action, Action::Start(_));
    if start && matches!(status, 409 | 429 | 503) && answer.state == "refused" {
        let reason = answer.reason.unwrap_or_else(|| "refused".to_string());
        return CallResult::NotRun { reason };
    }
    match (status, answer.state()) {
        // A target refuses a start that it won't run; `never` is no valid response to a start.
        (200, Some(AttemptState::Never)) if start => {
            broken("state \"never\" in response to a start")
        }
        (200, Some(state)) => CallResult::State(state),
        _ => broken(answer.reason.as_deref().unwrap_or(&answer.state)),
    }
}

fn parse_fence_response(body: &[u8], zone: &ZoneName, term: Term) -> Option<CallResult> {
    let answer: FenceBody<'_> = serde_json::from_slice(body).ok()?;
    if answer.zone != zone.as_str() || answer.term != term.0 {
        return None;
    }
    let mut attempts = Vec::with_capacity(answer.attempts.len());
    for attempt in &answer.attempts {
        let id = parse_attempt(attempt.attempt.as_deref()?)?;
        attempts.push((id, attempt.state()?));
    }
    Some(CallResult::Fenced {
        incarnation: Incarnation(answer.incarnation),
        attempts,
    })
}
