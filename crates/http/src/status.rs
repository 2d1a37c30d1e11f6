//! The HTTP status and error kind of each `ApiError`, and the responses that carry them.

use greengage_control::api::ApiError;
use greengage_core::Refusal;
use greengage_listener::Answer;
use greengage_policy::EditError;
use serde_json::json;

use crate::json::DocumentError;

/// The parts of an error response.
pub struct ErrorReport {
    /// The HTTP status.
    pub status: u16,
    /// The machine-readable kind.
    pub kind: &'static str,
    /// Whether the request certainly caused nothing to run.
    pub not_run: bool,
    /// Delay before a retry, in milliseconds; `None` if no delay is suggested.
    pub retry_ms: Option<u64>,
}

/// Delay before a retry for errors that carry none of their own.
const DEFAULT_RETRY_MS: u64 = 500;

/// Maps `error` to its status, kind and retry delay.
pub fn report(error: &ApiError) -> ErrorReport {
    let (status, kind, not_run, retry_ms) = match error {
        ApiError::Refused(refusal) => {
            let (status, kind) = match refusal {
                Refusal::DeadlineUnreachable { .. } => (503, "late"),
                Refusal::QuotaExceeded { .. } => (429, "quota"),
                Refusal::QueueFull { .. } => (503, "full"),
                Refusal::Unsatisfiable { .. } => (422, "impossible"),
                Refusal::Draining => (503, "draining"),
            };
            (status, kind, true, refusal.retry_ms())
        }
        ApiError::OtherContent(_) => (409, "other_content", true, None),
        ApiError::UnknownKey(_) => (404, "unknown_key", false, None),
        ApiError::UnknownZone { .. } => (404, "unknown_zone", true, None),
        ApiError::Policy(error) => {
            let (status, kind) = match error {
                EditError::Conflict { .. } => (409, "conflict"),
                EditError::UnknownTemplate(_) => (404, "unknown_template"),
                EditError::UnknownAccount { .. } => (404, "unknown_account"),
                EditError::Range { .. } => (422, "range"),
                EditError::Missing(_) => (422, "missing"),
                EditError::Undeclared(_) => (422, "undeclared"),
                EditError::Mistyped { .. } => (422, "mistyped"),
                EditError::OtherEdit(_) => (409, "other_edit"),
                EditError::Unfit { .. } => (409, "unfit"),
                EditError::InUse { .. } => (409, "in_use"),
            };
            (status, kind, true, None)
        }
        ApiError::Tasks { .. } => (422, "tasks", true, None),
        ApiError::MissingId { .. } => (422, "missing_id", true, None),
        ApiError::UnknownOutcome { .. } => (504, "unknown_outcome", false, None),
        ApiError::Unavailable { .. } => (503, "unavailable", true, Some(DEFAULT_RETRY_MS)),
        // An edit may have been sent before the leader was lost, so `not_run` can't be claimed.
        ApiError::NoLeader(_) => (503, "no_leader", false, Some(DEFAULT_RETRY_MS)),
        ApiError::NotMember(_) => (404, "not_member", true, None),
        ApiError::Change(_) => (409, "change", true, None),
        ApiError::UnknownTarget(_) => (404, "unknown_target", true, None),
        ApiError::OtherZone { .. } => (409, "other_zone", true, None),
        // The same key may have been accepted earlier, so `not_run` can't be claimed.
        ApiError::Busy { .. } => (503, "busy", false, Some(DEFAULT_RETRY_MS)),
    };
    ErrorReport {
        status,
        kind,
        not_run,
        retry_ms,
    }
}

/// The HTTP response for `error`.
pub fn error_response(error: &ApiError) -> Answer {
    let report = report(error);
    let mut body = json!({
        "error": report.kind,
        "message": error.to_string(),
        "not_run": report.not_run,
    });
    if let Some(ms) = report.retry_ms {
        body["retry_ms"] = ms.into();
    }
    let key = match error {
        ApiError::OtherContent(key) | ApiError::UnknownKey(key) => Some(key),
        ApiError::UnknownOutcome { key } => key.as_ref(),
        _ => None,
    };
    if let Some(key) = key {
        body["key"] = key.to_string().into();
    }
    if let ApiError::Policy(EditError::Conflict { current, .. }) = error {
        body["current"] = current.0.into();
    }
    Answer {
        retry_ms: report.retry_ms,
        ..Answer::json(report.status, body.to_string())
    }
}

/// The response to a request that is rejected before it is submitted; boxed to keep `Result` small.
pub(crate) type Rejection = Box<Answer>;

/// Rejects a request that is malformed or names an unknown path.
pub(crate) fn reject(status: u16, kind: &str, message: &str) -> Rejection {
    let body = json!({"error": kind, "message": format!("not run: {message}"), "not_run": true});
    Box::new(Answer::json(status, body.to_string()))
}

/// Rejects a request whose body was not received in full or that no handler could take. Its key may
/// have been accepted earlier, so `not_run` is true only for bodies that exceed the limit, since
/// those are never accepted.
pub(crate) fn reject_unread(status: u16, message: &str) -> Answer {
    let (kind, not_run) = match status {
        413 => ("body", true),
        408 => ("slow", false),
        _ => ("busy", false),
    };
    let retry_ms = (!not_run).then_some(DEFAULT_RETRY_MS);
    let mut body = json!({"error": kind, "message": message, "not_run": not_run});
    if let Some(ms) = retry_ms {
        body["retry_ms"] = ms.into();
    }
    Answer {
        retry_ms,
        ..Answer::json(status, body.to_string())
    }
}

impl From<DocumentError> for Rejection {
    fn from(error: DocumentError) -> Rejection {
        reject(400, "document", &error.to_string())
    }
}
