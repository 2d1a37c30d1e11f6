//! Routes each request to the VM that handles it, and the reply back to the caller.
//!
//! Each request of a front end is kept here until it gets its one reply. Requests that carry a key
//! or an operation id are idempotent and are sent again when the handling VM changes or does not
//! answer, or a connection to or from it is replaced. When a request can't be handled in time, its
//! caller is told that the outcome is unknown; only the handling VM may say "not run".

use std::time::Duration;

use greengage_core::{JobKey, Outcome, Refusal, RequestId, Term, Time, VmName, ZoneName};
use greengage_membership as membership;
use greengage_membership::Announcement;

use crate::api::{ApiError, Group, NewJob, NewRequest, Reply, Request};
use crate::control::Control;
use crate::message::{Body, Effect};
use crate::site::home_zone;
use crate::zone::Origin;

/// How long a request is kept after its caller's wait has ended. A new leader can be elected in
/// this time, before the outcome counts as unknown.
const OUTCOME_GRACE: Duration = Duration::from_secs(5);
/// Maximum number of doublings of the resend timeout.
const MAX_RESEND_DOUBLINGS: u32 = 3;
/// Delay before the next attempt to route a request whose handling VM is not known.
const ROUTE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// An unanswered request of a front end.
pub(crate) struct Caller {
    request: Request,
    /// When the caller expects at least the progress of its request.
    reply_by: Time,
    /// When the outcome counts as unknown.
    expires: Time,
    location: Location,
    /// How often the request was given to a VM that could have acted on it.
    sends: u32,
}

/// Where a request is now.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Location {
    /// No handling VM is known.
    Unrouted,
    /// At this VM.
    Local,
    /// Sent to another VM.
    Remote {
        vm: VmName,
        /// The term in which that VM led the zone, for a request to a zone's leader. Its later terms
        /// don't know the request.
        term: Option<Term>,
        since: Time,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RouteTimer {
    /// Route the request again if it is unrouted or unanswered.
    Retry(RequestId),
    /// The outcome counts as unknown.
    Expire(RequestId),
}

/// Which VM handles a request.
enum Handler {
    /// The VM that received it.
    AnyVm,
    /// The leader of a zone's ledger group.
    ZoneLeader(ZoneName),
    /// The leader of the control group.
    ControlLeader,
}

impl Control {
    /// Handles a request of a front end.
    pub(crate) fn request(&mut self, id: RequestId, wait: Duration, request: Request) {
        let request = match self.prepare(request) {
            Ok(request) => request,
            Err(reply) => return self.effects.push(Effect::Reply { id, reply }),
        };
        let request = match self.restrict_while_draining(request) {
            Ok(request) => request,
            Err(reply) => return self.effects.push(Effect::Reply { id, reply }),
        };
        let reply_by = self.now.time + wait;
        let expires = reply_by + OUTCOME_GRACE;
        self.route_timers.set(expires, RouteTimer::Expire(id));
        self.callers.insert(
            id,
            Caller {
                request,
                reply_by,
                expires,
                location: Location::Unrouted,
                sends: 0,
            },
        );
        self.route(id);
    }

    /// Fills in the home zone and makes the checks that any VM can make.
    fn prepare(&self, request: Request) -> Result<Request, Reply> {
        match request {
            Request::Submit(mut job) => {
                let zone = match &job.zone {
                    Some(zone) => zone.clone(),
                    None => home_zone(&self.site.zones(), &job.account, &job.id),
                };
                self.check_zone(&zone)?;
                job.zone = Some(zone);
                Ok(Request::Submit(job))
            }
            Request::Single(request) => self.prepare_single(request),
            Request::Outcome(key) => {
                self.check_zone(&key.zone)?;
                Ok(Request::Outcome(key))
            }
            Request::Cancel(key) => {
                self.check_zone(&key.zone)?;
                Ok(Request::Cancel(key))
            }
            other => Ok(other),
        }
    }

    /// Turns a request that is not repeatable into a job of one task. A request with an id whose
    /// template is not known here becomes one too, since only the home zone knows whether its key
    /// has run.
    fn prepare_single(&self, mut request: NewRequest) -> Result<Request, Reply> {
        let resolved = self.policy.resolve(&request.template, &request.account);
        let repeatable = resolved.map(|resolved| resolved.template.repeatable);
        match (repeatable, request.id) {
            (Ok(true), id) => {
                let zone = request.zone.unwrap_or_else(|| self.site.zone().clone());
                self.check_zone(&zone)?;
                request.zone = Some(zone);
                request.id = id;
                Ok(Request::Single(request))
            }
            (_, Some(id)) => self.prepare(Request::Submit(NewJob {
                account: request.account,
                zone: request.zone,
                id,
                template: request.template,
                digest: request.digest,
                tasks: vec![request.task],
            })),
            (Ok(false), None) => {
                let template = request.template;
                Err(Reply::Error(ApiError::MissingId { template }))
            }
            (Err(error), None) => Err(Reply::Error(ApiError::Policy(error))),
        }
    }

    fn check_zone(&self, zone: &ZoneName) -> Result<(), Reply> {
        let known = self.site.zones();
        if known.contains(zone) {
            return Ok(());
        }
        let zone = zone.clone();
        Err(Reply::Error(ApiError::UnknownZone { zone, known }))
    }

    /// While this VM drains, a submission is only looked up: its key may be known from an earlier
    /// submission, so "not run" would be wrong without asking the home zone.
    fn restrict_while_draining(&self, request: Request) -> Result<Request, Reply> {
        match request {
            Request::Submit(job) if self.draining.is_some() => Ok(Request::Lookup {
                key: job_key(&job),
                digest: job.digest,
            }),
            Request::Single(_) if self.draining.is_some() => {
                Err(Reply::Error(ApiError::Refused(Refusal::Draining)))
            }
            other => Ok(other),
        }
    }

    /// Sends a request to the VM that handles it.
    fn route(&mut self, id: RequestId) {
        let now = self.now.time;
        let Some(caller) = self.callers.get(&id) else {
            return;
        };
        let wait = caller.reply_by.since(now);
        let request = caller.request.clone();
        let resend_delay = self.resend_after(caller.sends + 1);
        let (location, retry_delay) = match self.handler(&request) {
            Some(vm) if vm == self.site.vm => (Location::Local, None),
            Some(vm) => {
                let term = self.zone_term(&request);
                let since = now;
                (Location::Remote { vm, term, since }, Some(resend_delay))
            }
            None => (Location::Unrouted, Some(ROUTE_RETRY_DELAY)),
        };
        let caller = self.callers.get_mut(&id).expect("looked up above");
        caller.location = location.clone();
        if location != Location::Unrouted {
            caller.sends += 1;
        }
        if let Some(retry_delay) = retry_delay {
            self.route_timers
                .set(now + retry_delay, RouteTimer::Retry(id));
        }
        let origin = Origin {
            vm: self.site.vm.clone(),
            incarnation: self.site.incarnation,
            id,
        };
        match location {
            Location::Local => self.handle(origin, wait, request),
            Location::Remote { vm, .. } => {
                let incarnation = self.site.incarnation;
                let body = Body::Forward {
                    incarnation,
                    id,
                    wait,
                    request,
                };
                self.send(&vm, body);
            }
            Location::Unrouted => {}
        }
    }

    /// The VM that handles a request; `None` if it is not known now.
    fn handler(&self, request: &Request) -> Option<VmName> {
        match self.handler_kind(request) {
            Handler::AnyVm => Some(self.site.vm.clone()),
            Handler::ZoneLeader(zone) => self.leaders.get(&zone).map(|(_, vm)| vm.clone()),
            Handler::ControlLeader => self.control_leader(),
        }
    }

    /// The last reported term of the zone's leader that handles a request; `None` for other
    /// requests.
    fn zone_term(&self, request: &Request) -> Option<Term> {
        match self.handler_kind(request) {
            Handler::ZoneLeader(zone) => self.leaders.get(&zone).map(|(term, _)| *term),
            Handler::AnyVm | Handler::ControlLeader => None,
        }
    }

    fn handler_kind(&self, request: &Request) -> Handler {
        match request {
            Request::Submit(job) => Handler::ZoneLeader(job_key(job).zone),
            Request::Single(request) => match &request.zone {
                Some(zone) => Handler::ZoneLeader(zone.clone()),
                None => Handler::AnyVm,
            },
            Request::Outcome(key) | Request::Lookup { key, .. } | Request::Cancel(key) => {
                Handler::ZoneLeader(key.zone.clone())
            }
            Request::Edit(_) => Handler::ControlLeader,
            Request::Template { current, .. } | Request::Params { current, .. } => match current {
                true => Handler::ControlLeader,
                false => Handler::AnyVm,
            },
            Request::Change { group, .. } | Request::Transfer { group, .. } => match group {
                Group::Control => Handler::ControlLeader,
                Group::Ledger(zone) => Handler::ZoneLeader(zone.clone()),
            },
            // Only the leader observes how attempts end, and so the standing of each target.
            Request::Targets if self.leaders.contains(self.site.zone()) => {
                Handler::ZoneLeader(self.site.zone().clone())
            }
            Request::Targets
            | Request::Announce(_)
            | Request::Leave(_)
            | Request::Documents
            | Request::Vms
            | Request::Group(_)
            | Request::Timeline(_)
            | Request::Ready => Handler::AnyVm,
        }
    }

    /// Handles a request that another VM forwarded, or redirects it.
    pub(crate) fn receive_forward(&mut self, origin: Origin, wait: Duration, request: Request) {
        if self.handler(&request).as_ref() == Some(&self.site.vm) {
            self.handle(origin, wait, request);
        } else {
            self.redirect(origin);
        }
    }

    /// Handles a request at this VM.
    fn handle(&mut self, origin: Origin, wait: Duration, request: Request) {
        match request {
            Request::Submit(job) => {
                let key = job_key(&job);
                self.with_zone_leader(origin, |origin, zone, cx| {
                    zone.submit(cx, origin, wait, key, job)
                });
            }
            Request::Single(request) => {
                self.with_zone_leader(origin, |origin, zone, cx| zone.single(cx, origin, request));
            }
            Request::Outcome(key) => {
                self.with_zone_leader(origin, |origin, zone, cx| {
                    zone.outcome(cx, origin, wait, key)
                });
            }
            Request::Lookup { key, digest } => {
                self.with_zone_leader(origin, |origin, zone, cx| {
                    zone.answer_lookup(cx, origin, wait, key, digest)
                });
            }
            Request::Cancel(key) => {
                self.with_zone_leader(origin, |origin, zone, cx| {
                    zone.cancel(cx, origin, wait, key)
                });
            }
            Request::Announce(announcement) => self.announce(origin, announcement),
            Request::Leave(target) => {
                self.send_to_zone(Body::Leave(target.clone()));
                self.step_membership(membership::Event::Leave(target));
                self.answer(origin, Reply::Acknowledged);
            }
            Request::Edit(command) => self.edit(origin, command),
            Request::Template { current: true, .. } | Request::Params { current: true, .. } => {
                self.read_control(origin, request);
            }
            other => self.handle_operator(origin, other),
        }
    }

    fn with_zone_leader(
        &mut self,
        origin: Origin,
        act: impl FnOnce(Origin, &mut crate::zone::Zone, &mut crate::zone::Context<'_>),
    ) {
        if self.zone.is_none() {
            return self.redirect(origin);
        }
        self.with_zone(|zone, cx| act(origin, zone, cx));
    }

    fn announce(&mut self, origin: Origin, announcement: Announcement) {
        if announcement.zone != *self.site.zone() {
            let error = ApiError::OtherZone {
                target: announcement.target,
                zone: announcement.zone,
                own: self.site.zone().clone(),
            };
            return self.answer(origin, Reply::Error(error));
        }
        // Every VM of the zone learns of the target, so that a new leader knows it immediately.
        self.send_to_zone(Body::Announce(announcement.clone()));
        self.step_membership(membership::Event::Announce(announcement));
        self.answer(origin, Reply::Acknowledged);
    }

    fn send_to_zone(&mut self, body: Body) {
        let zone = self.site.zone().clone();
        let others = self.site.others().filter(|(_, spec)| spec.zone == zone);
        let vms: Vec<VmName> = others.map(|(vm, _)| vm.clone()).collect();
        for vm in vms {
            self.send(&vm, body.clone());
        }
    }

    // Replies.

    /// Sends a reply to the VM that holds the caller's connection.
    pub(crate) fn answer(&mut self, origin: Origin, reply: Reply) {
        if origin.vm == self.site.vm {
            return self.deliver_reply(origin.id, reply);
        }
        let Origin {
            vm,
            incarnation,
            id,
        } = origin;
        self.send(
            &vm,
            Body::Reply {
                incarnation,
                id,
                reply,
            },
        );
    }

    /// Replies to a caller of this VM; further replies to the same request are dropped.
    pub(crate) fn deliver_reply(&mut self, id: RequestId, reply: Reply) {
        let Some(caller) = self.callers.remove(&id) else {
            return;
        };
        let reply = match caller.sends > 1 && claims_not_run(&reply) {
            true => Reply::Error(unknown_outcome(&caller.request)),
            false => reply,
        };
        self.effects.push(Effect::Reply { id, reply });
    }

    /// Tells the VM that holds the caller's connection to route the request again.
    pub(crate) fn redirect(&mut self, origin: Origin) {
        if origin.vm == self.site.vm {
            return self.reset_route(origin.id);
        }
        let Origin {
            vm,
            incarnation,
            id,
        } = origin;
        self.send(&vm, Body::Redirect { incarnation, id });
    }

    /// Routes a request again after a delay.
    pub(crate) fn reset_route(&mut self, id: RequestId) {
        let now = self.now.time;
        if let Some(caller) = self.callers.get_mut(&id) {
            caller.location = Location::Unrouted;
            self.route_timers
                .set(now + ROUTE_RETRY_DELAY, RouteTimer::Retry(id));
        }
    }

    /// Routes all requests again whose handling VM has changed, or leads in another term.
    pub(crate) fn reroute(&mut self) {
        let moved = |(_, caller): &(&RequestId, &Caller)| {
            let handler = self.handler(&caller.request);
            match &caller.location {
                Location::Unrouted => handler.is_some(),
                Location::Local => handler.as_ref() != Some(&self.site.vm),
                Location::Remote { vm, term, .. } => {
                    let same = handler.as_ref() == Some(vm);
                    handler.is_some() && !(same && self.zone_term(&caller.request) == *term)
                }
            }
        };
        let ids: Vec<RequestId> = self
            .callers
            .iter()
            .filter(moved)
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.route(id);
        }
    }

    /// Sends all requests at `vm` again: a replaced connection may have lost them or their replies.
    pub(crate) fn resend_requests(&mut self, vm: &VmName) {
        let waiting = |caller: &Caller| match &caller.location {
            Location::Remote { vm: handler, .. } => handler == vm,
            Location::Unrouted | Location::Local => false,
        };
        let callers = self.callers.iter().filter(|(_, caller)| waiting(caller));
        let ids: Vec<RequestId> = callers.map(|(id, _)| *id).collect();
        for id in ids {
            self.route(id);
        }
    }

    pub(crate) fn tick_routes(&mut self) {
        while let Some(timer) = self.route_timers.pop(self.now.time) {
            match timer {
                RouteTimer::Retry(id) => self.retry(id),
                RouteTimer::Expire(id) => self.expire_caller(id),
            }
        }
    }

    /// How long a request that was sent `sends` times may stay unanswered. The timeout doubles with
    /// each send, since most requests without an answer wait for a long task.
    fn resend_after(&self, sends: u32) -> Duration {
        let doublings = sends.saturating_sub(1).min(MAX_RESEND_DOUBLINGS);
        self.site.limits.resend_timeout * 2u32.pow(doublings)
    }

    fn retry(&mut self, id: RequestId) {
        let Some(caller) = self.callers.get(&id) else {
            return;
        };
        let due = match &caller.location {
            Location::Unrouted => true,
            Location::Local => false,
            Location::Remote { since, .. } => {
                self.now.time.since(*since) >= self.resend_after(caller.sends)
            }
        };
        if due {
            self.route(id);
        }
    }

    fn expire_caller(&mut self, id: RequestId) {
        let Some(caller) = self.callers.get(&id) else {
            return;
        };
        if caller.expires > self.now.time {
            return;
        }
        let error = match &caller.request {
            Request::Single(_) if caller.sends == 0 => ApiError::Unavailable {
                what: "the zone's ledger group has no leader that can be reached".to_string(),
            },
            Request::Change {
                group: Group::Ledger(zone),
                ..
            }
            | Request::Transfer {
                group: Group::Ledger(zone),
                ..
            } => ApiError::NoLeader(Group::Ledger(zone.clone())),
            Request::Edit(_)
            | Request::Template { .. }
            | Request::Params { .. }
            | Request::Change { .. }
            | Request::Transfer { .. } => ApiError::NoLeader(Group::Control),
            Request::Submit(_)
            | Request::Single(_)
            | Request::Outcome(_)
            | Request::Lookup { .. }
            | Request::Cancel(_)
            | Request::Announce(_)
            | Request::Leave(_)
            | Request::Documents
            | Request::Targets
            | Request::Vms
            | Request::Group(_)
            | Request::Timeline(_)
            | Request::Ready => unknown_outcome(&caller.request),
        };
        self.deliver_reply(id, Reply::Error(error));
    }
}

/// Whether a reply says that its copy of the request did not run. Other copies may have run or may
/// still arrive. A closed submission's outcome is not such a claim: it comes from the ledger and
/// holds for all copies.
fn claims_not_run(reply: &Reply) -> bool {
    match reply {
        Reply::Single(outcome) => match outcome.as_ref() {
            Outcome::Failed(failure) => failure.not_run(),
            Outcome::Complete(_) => false,
        },
        Reply::Error(error) => matches!(error, ApiError::Refused(_) | ApiError::Unavailable { .. }),
        _ => false,
    }
}

/// The error for a request of which a copy may have run.
fn unknown_outcome(request: &Request) -> ApiError {
    let key = match request {
        Request::Submit(job) => Some(job_key(job)),
        Request::Outcome(key) | Request::Lookup { key, .. } | Request::Cancel(key) => {
            Some(key.clone())
        }
        _ => None,
    };
    ApiError::UnknownOutcome { key }
}

/// Key of a submission whose home zone is filled in.
pub(crate) fn job_key(job: &NewJob) -> JobKey {
    JobKey {
        account: job.account.clone(),
        zone: job
            .zone
            .clone()
            .expect("filled in by the VM that received it"),
        id: job.id.clone(),
    }
}
