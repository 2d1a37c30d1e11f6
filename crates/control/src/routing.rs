//! The way of a request to the VM that decides it, and of the reply back to the caller.
//!
//! Each request of a front end is kept here until it has its one reply. Requests that carry a key
//! or an operation id are idempotent and are sent again when the deciding VM changes or stays
//! silent. A caller whose request can't be decided in time hears that the outcome is unknown; it
//! hears "not run" only from the VM that decides.

use std::time::Duration;

use greengage_core::{JobKey, Outcome, Refusal, RequestId, Time, VmName, ZoneName};
use greengage_membership as membership;
use greengage_membership::Announcement;

use crate::api::{ApiError, Group, NewJob, NewRequest, Reply, Request};
use crate::control::Control;
use crate::message::{Body, Effect};
use crate::site::home_zone;
use crate::zone::Origin;

/// How much longer than its caller waits a request is kept, so that a new leader can be elected
/// before the outcome counts as unknown.
const OUTCOME_GRACE: Duration = Duration::from_secs(5);
/// Most doublings of the time after which a silent request is sent again.
const MAX_RESEND_DOUBLINGS: u32 = 3;
/// Between two looks for a VM that decides, when none is known.
const ROUTE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A request of a front end without a reply.
pub(crate) struct Caller {
    request: Request,
    /// When the caller wants at least to hear how far its request has come.
    reply_by: Time,
    /// When the outcome counts as unknown.
    expires: Time,
    /// Where the request is now.
    location: Location,
    /// How often it was given to a VM that could have acted on it.
    sends: u32,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Location {
    /// No VM that decides is known.
    Unrouted,
    /// At this VM.
    Local,
    /// At another VM since a time.
    Remote(VmName, Time),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RouteTimer {
    /// Look again for a VM that decides, or send again to a silent one.
    Retry(RequestId),
    /// The outcome counts as unknown.
    Expire(RequestId),
}

/// Who decides a request.
enum Handler {
    /// Any VM.
    AnyVm,
    /// The leader of a zone's ledger group.
    ZoneLeader(ZoneName),
    /// The leader of the control group.
    ControlLeader,
}

impl Control {
    /// Takes a request of a front end.
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

    /// Fills in the home zone and checks what any VM can check.
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

    /// A request that isn't repeatable becomes a job of one task. So does one with an id whose
    /// template isn't known here: only the home zone can tell whether its key has run.
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

    /// While this VM shuts down, a submission is only looked up: the key may be known from an
    /// earlier submission, so that "not run" can't be said without asking.
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

    /// Sends a request to the VM that decides it.
    fn route(&mut self, id: RequestId) {
        let now = self.now.time;
        let Some(caller) = self.callers.get(&id) else {
            return;
        };
        let wait = caller.reply_by.since(now);
        let request = caller.request.clone();
        let resend = self.resend_after(caller.sends + 1);
        let (location, retry) = match self.handler(&request) {
            Some(vm) if vm == self.site.vm => (Location::Local, None),
            Some(vm) => (Location::Remote(vm, now), Some(resend)),
            None => (Location::Unrouted, Some(ROUTE_RETRY_DELAY)),
        };
        let caller = self.callers.get_mut(&id).expect("looked up above");
        caller.location = location.clone();
        if location != Location::Unrouted {
            caller.sends += 1;
        }
        if let Some(retry) = retry {
            self.route_timers.set(now + retry, RouteTimer::Retry(id));
        }
        let origin = Origin {
            vm: self.site.vm.clone(),
            incarnation: self.site.incarnation,
            id,
        };
        match location {
            Location::Local => self.handle(origin, wait, request),
            Location::Remote(vm, _) => {
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

    /// The VM that decides a request, where one is known.
    fn handler(&self, request: &Request) -> Option<VmName> {
        match self.handler_kind(request) {
            Handler::AnyVm => Some(self.site.vm.clone()),
            Handler::ZoneLeader(zone) => self.leaders.get(&zone).map(|(_, vm)| vm.clone()),
            Handler::ControlLeader => self.control_leader(),
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
            // Only the leader sees how attempts end, and so knows the standing of each target.
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

    /// Takes a request that another VM forwarded.
    pub(crate) fn receive_forward(&mut self, origin: Origin, wait: Duration, request: Request) {
        if self.handler(&request).as_ref() == Some(&self.site.vm) {
            self.handle(origin, wait, request);
        } else {
            self.redirect(origin);
        }
    }

    /// Decides a request at this VM.
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
                self.answer(origin, Reply::Noted);
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
        // Every VM of the zone learns of the target, so that a new leader knows it at once.
        self.send_to_zone(Body::Announce(announcement.clone()));
        self.step_membership(membership::Event::Announce(announcement));
        self.answer(origin, Reply::Noted);
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

    /// Gives a caller its reply, wherever its connection is.
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

    /// Gives a caller of this VM its reply; later ones are dropped.
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

    /// Tells the VM that holds a caller to look for another VM that decides.
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

    /// Looks again for the VM that decides, after a pause.
    pub(crate) fn reset_route(&mut self, id: RequestId) {
        let now = self.now.time;
        if let Some(caller) = self.callers.get_mut(&id) {
            caller.location = Location::Unrouted;
            self.route_timers
                .set(now + ROUTE_RETRY_DELAY, RouteTimer::Retry(id));
        }
    }

    /// Sends requests again whose deciding VM has changed.
    pub(crate) fn reroute(&mut self) {
        let moved = |(_, caller): &(&RequestId, &Caller)| {
            let handler = self.handler(&caller.request);
            match &caller.location {
                Location::Unrouted => handler.is_some(),
                Location::Local => handler.as_ref() != Some(&self.site.vm),
                Location::Remote(vm, _) => handler.is_some() && handler.as_ref() != Some(vm),
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

    pub(crate) fn tick_routes(&mut self) {
        while let Some(timer) = self.route_timers.pop(self.now.time) {
            match timer {
                RouteTimer::Retry(id) => self.retry(id),
                RouteTimer::Expire(id) => self.expire_caller(id),
            }
        }
    }

    /// How long a request that was sent `sends` times may go unanswered: doubled each time, since
    /// most requests that are silent for long wait for a long task.
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
            Location::Remote(_, since) => {
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

/// Whether a reply claims for its own copy of a request that it didn't run. Of other copies, which
/// may have run or may still arrive, the claim says nothing. A closed submission's outcome isn't
/// such a claim: it comes from the ledger and holds for all copies.
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

/// What is said of a request when its copies leave open whether it ran.
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

/// The key of a submission whose home zone is filled in.
pub(crate) fn job_key(job: &NewJob) -> JobKey {
    JobKey {
        account: job.account.clone(),
        zone: job
            .zone
            .clone()
            .expect("prepared by the VM that received it"),
        id: job.id.clone(),
    }
}
