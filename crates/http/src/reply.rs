//! Encodes replies as HTTP responses with JSON bodies.

use greengage_control::api::{Documents, Progress, Reply, Versioned, VmInfo};
use greengage_core::{Failure, GuardAction, JobKey, Outcome, Payload};
use greengage_listener::Answer;
use greengage_membership::{Standing, TargetView};
use greengage_policy as policy;
use greengage_timeline as timeline;
use serde::Serialize;
use serde_json::value::RawValue;
use serde_json::{json, Value};

use crate::document;
use crate::json::raw_json;
use crate::status;

/// The shape in which a job's results are returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutcomeForm {
    /// An array `results` with one value per task.
    Job,
    /// A single value `result`, for requests of one task.
    Single,
}

#[derive(Serialize)]
struct CompleteBody {
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<String>,
    state: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    results: Option<Vec<Box<RawValue>>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    result: Option<Box<RawValue>>,
}

/// Encodes `reply`; `form` applies to the outcome of a job.
pub fn response(reply: &Reply, form: OutcomeForm) -> Answer {
    match reply {
        Reply::Job { key, progress } => match progress {
            Progress::Queued => pending_response(key, "queued"),
            Progress::Begun => pending_response(key, "begun"),
            Progress::Closed(outcome) => outcome_response(Some(key), outcome, form),
        },
        Reply::Single(outcome) => outcome_response(None, outcome, OutcomeForm::Single),
        Reply::Acknowledged => ok_response(&json!({"state": "noted"})),
        Reply::Edit(policy::Outcome::Applied { version, revision }) => {
            ok_response(&json!({"state": "applied", "version": version.0, "revision": revision.0}))
        }
        Reply::Edit(policy::Outcome::Refused(error)) => {
            status::error_response(&greengage_control::api::ApiError::Policy(error.clone()))
        }
        Reply::Template(versioned) => {
            ok_response(&versioned_json(versioned, document::template_json))
        }
        Reply::Params(versioned) => ok_response(&versioned_json(versioned, document::params_json)),
        Reply::Documents(documents) => ok_response(&documents_json(documents)),
        Reply::Targets(targets) => {
            let targets: Vec<Value> = targets.iter().map(target_json).collect();
            ok_response(&json!({"targets": targets}))
        }
        Reply::Vms(vms) => {
            let vms: Vec<Value> = vms.iter().map(vm_json).collect();
            ok_response(&json!({"vms": vms}))
        }
        Reply::Group(group) => ok_response(&document::group_status_json(group)),
        Reply::Changed(config) => ok_response(&json!({"members": document::members_json(config)})),
        Reply::Timeline(events) => {
            let events: Vec<Value> = events.iter().map(event_json).collect();
            ok_response(&json!({"events": events}))
        }
        Reply::Ready => ok_response(&json!({"state": "ready"})),
        Reply::NotReady(why) => Answer::json(
            503,
            json!({"state": "not_ready", "message": why.to_string()}).to_string(),
        ),
        Reply::Error(error) => status::error_response(error),
    }
}

fn ok_response(value: &Value) -> Answer {
    Answer::json(200, value.to_string())
}

fn pending_response(key: &JobKey, state: &str) -> Answer {
    Answer::json(
        202,
        json!({"key": key.to_string(), "state": state}).to_string(),
    )
}

fn outcome_response(key: Option<&JobKey>, outcome: &Outcome, form: OutcomeForm) -> Answer {
    match outcome {
        Outcome::Complete(results) => complete_response(key, results, form),
        Outcome::Failed(failure) => failed_response(key, failure),
    }
}

fn complete_response(key: Option<&JobKey>, results: &[Payload], form: OutcomeForm) -> Answer {
    let (results, result) = match form {
        OutcomeForm::Job => (Some(results.iter().map(raw_json).collect()), None),
        OutcomeForm::Single => (None, results.first().map(raw_json)),
    };
    let body = CompleteBody {
        key: key.map(ToString::to_string),
        state: "complete",
        results,
        result,
    };
    Answer::json(
        200,
        serde_json::to_vec(&body).expect("strings and raw JSON serialize"),
    )
}

/// The name of the action in JSON.
pub(crate) fn guard_action_name(action: GuardAction) -> &'static str {
    match action {
        GuardAction::Throttled => "throttled",
        GuardAction::Checkpointed => "checkpointed",
        GuardAction::Stopped => "stopped",
    }
}

fn failed_response(key: Option<&JobKey>, failure: &Failure) -> Answer {
    let mut body = match failure {
        Failure::MayHaveRun { task, target } => json!({
            "reason": "may_have_run",
            "task": task,
            "target": target.as_ref().map(ToString::to_string),
        }),
        Failure::TaskFailed { task, .. } => json!({"reason": "task_failed", "task": task}),
        Failure::Guard { task, action } => {
            json!({"reason": "guard", "task": task, "action": guard_action_name(*action)})
        }
        Failure::Cancelled { .. } => json!({"reason": "cancelled"}),
        Failure::Deadline { .. } => json!({"reason": "deadline"}),
        Failure::NoTarget => json!({"reason": "no_target"}),
    };
    if let Some(key) = key {
        body["key"] = key.to_string().into();
    }
    body["state"] = "failed".into();
    body["not_run"] = failure.not_run().into();
    body["message"] = failure.to_string().into();
    Answer::json(200, body.to_string())
}

fn versioned_json<T>(versioned: &Versioned<T>, content: impl Fn(&T) -> Value) -> Value {
    json!({
        "version": versioned.version.0,
        "revision": versioned.revision.0,
        "content": content(&versioned.content),
    })
}

fn documents_json(documents: &Documents) -> Value {
    let templates: Vec<Value> = documents
        .templates
        .iter()
        .map(|(name, template)| {
            let mut object = versioned_json(template, document::template_json);
            object["name"] = name.to_string().into();
            object
        })
        .collect();
    let params: Vec<Value> = documents
        .params
        .iter()
        .map(|(template, account, params)| {
            let mut object = versioned_json(params, document::params_json);
            object["template"] = template.to_string().into();
            object["account"] = account.to_string().into();
            object
        })
        .collect();
    json!({"revision": documents.revision.0, "templates": templates, "params": params})
}

fn target_json(view: &TargetView) -> Value {
    let standing = match view.standing {
        Standing::Live => "live",
        Standing::Probation => "probation",
        Standing::Ejected => "ejected",
        Standing::Suspect => "suspect",
        Standing::Leaving => "leaving",
    };
    let announcement = &view.announcement;
    let work: Vec<&str> = announcement.work.iter().map(|w| w.as_str()).collect();
    json!({
        "target": announcement.target.as_str(),
        "incarnation": announcement.incarnation.0,
        "address": announcement.address.as_str(),
        "zone": announcement.zone.as_str(),
        "rack": announcement.rack.as_ref().map(|r| r.as_str()),
        "work": work,
        "capacity": document::capacity_json(&announcement.capacity),
        "usage": announcement.usage.as_ref().map(document::demand_json),
        "fencing": announcement.fencing,
        "leaving": announcement.leaving,
        "standing": standing,
    })
}

fn vm_json(info: &VmInfo) -> Value {
    let status = &info.status;
    json!({
        "vm": status.vm.as_str(),
        "zone": status.zone.as_str(),
        "incarnation": status.incarnation.0,
        "revision": status.revision.0,
        "control": status.control_reachable,
        "leading": status.leading_term.map(|term| term.0),
        "weight": status.weight,
        "load": status.load,
        "draining": status.draining,
        "disk_failed": status.disk_failed,
        "alive": info.alive,
        // Hexadecimal, as in the member ids that /v1/groups returns.
        "folder": info.folder.map(|folder| format!("{folder:x}")),
    })
}

fn event_json(event: &timeline::Event) -> Value {
    json!({
        "at": event.at.to_string(),
        "vm": event.vm.as_str(),
        "key": event.key.as_ref().map(ToString::to_string),
        "target": event.target.as_ref().map(|t| t.as_str()),
        "what": event.what,
    })
}
