//! Checks of the guarantees over the whole history, made as replies and starts come in.

use std::collections::BTreeMap;
use std::sync::Arc;

use greengage_control::api::{ApiError, Progress, Reply};
use greengage_core::{JobKey, Outcome, Payload, Revision, Version};
use greengage_policy as policy;

use crate::fakes::{task_result, TaskStart, SEC};

/// What a request asked for.
#[derive(Clone, Debug)]
pub(crate) enum RequestKind {
    /// A submission: its key, its content and its index among the submissions of the key.
    Submit(JobKey, u8, usize),
    Outcome(JobKey),
    Cancel(JobKey),
    /// A repeatable request.
    Single(Payload),
    /// An edit, by operation id.
    Edit(u64),
    /// A linearizable read of a template, and the highest revision acknowledged before it.
    Read(String, Revision),
    /// A membership change of the disk repair.
    Change,
    /// Any other request; its reply is not checked.
    Other,
}

/// A request without a reply.
#[derive(Clone, Debug)]
pub(crate) struct OpenRequest {
    pub(crate) kind: RequestKind,
    pub(crate) issued_at: u64,
}

struct Submission {
    issued_at: u64,
    refused: bool,
}

/// The history of a key.
#[derive(Default)]
struct Key {
    contents: BTreeMap<u8, Vec<Payload>>,
    submissions: Vec<Submission>,
    starts: BTreeMap<u32, TaskStart>,
    closed: Option<(u64, Arc<Outcome>)>,
}

struct Edit {
    document: String,
    from: Version,
    issued_at: u64,
    outcome: Option<(u64, policy::Outcome)>,
}

#[derive(Default)]
pub(crate) struct Checker {
    keys: BTreeMap<JobKey, Key>,
    /// Number of starts of each repeatable request, by payload.
    singles: BTreeMap<Payload, u32>,
    /// When a repeatable request was reported as not run, by payload.
    denied_singles: BTreeMap<Payload, u64>,
    edits: BTreeMap<u64, Edit>,
    /// Highest acknowledged revision.
    pub(crate) acknowledged: Revision,
    /// When each leaving target announced it.
    pub(crate) leaving: BTreeMap<greengage_core::TargetName, u64>,
    pub(crate) replies: u64,
    pub(crate) completed: u64,
    pub(crate) starts: u64,
    pub(crate) refusals: u64,
    pub(crate) unknown: u64,
    pub(crate) applied: u64,
}

impl Checker {
    /// Records a submission and returns its index among those of the key.
    pub(crate) fn record_submission(
        &mut self,
        key: &JobKey,
        content: u8,
        tasks: &[Payload],
        at: u64,
    ) -> usize {
        let entry = self.keys.entry(key.clone()).or_default();
        entry.contents.insert(content, tasks.to_vec());
        entry.submissions.push(Submission {
            issued_at: at,
            refused: false,
        });
        entry.submissions.len() - 1
    }

    pub(crate) fn record_edit(&mut self, op: u64, document: &str, from: Version, at: u64) {
        let document = document.to_string();
        self.edits.insert(
            op,
            Edit {
                document,
                from,
                issued_at: at,
                outcome: None,
            },
        );
    }

    /// Submissions without a known outcome.
    pub(crate) fn open(&self) -> Vec<JobKey> {
        let open = self.keys.iter().filter(|(_, key)| key.closed.is_none());
        open.map(|(name, _)| name.clone()).collect()
    }

    /// Checks a task start at a target; `undisturbed_since` is the time of the last disturbance.
    pub(crate) fn check_start(&mut self, start: TaskStart, undisturbed_since: u64) {
        self.starts += 1;
        if let Some(left) = self.leaving.get(&start.target) {
            let late = start.sent_at > left + 2 * SEC && undisturbed_since < *left;
            assert!(
                !late,
                "(6) start at a target that left at {left}: {start:?}"
            );
        }
        let Some(key) = self.keys.get_mut(&start.attempt.key) else {
            let denied_at = self.denied_singles.get(&start.payload);
            assert!(
                denied_at.is_none(),
                "(4) start after a refusal at {denied_at:?}: {start:?}"
            );
            *self.singles.entry(start.payload.clone()).or_default() += 1;
            return;
        };
        if let Some((at, outcome)) = &key.closed {
            let late = start.sent_at > *at && start.fencing;
            assert!(
                !late,
                "(6) start after the close at {at} as {outcome:?}: {start:?}"
            );
            let not_run = matches!(&**outcome, Outcome::Failed(failure) if failure.not_run());
            assert!(!not_run, "(4) start after {outcome:?} at {at}: {start:?}");
        }
        let all_refused = key.submissions.iter().all(|submitted| submitted.refused);
        assert!(
            !all_refused,
            "(4) start, but each submission was refused as not run: {start:?}"
        );
        if let Some(first) = key.starts.insert(start.attempt.task, start.clone()) {
            panic!("(1) second start of a task: {start:?}, first {first:?}");
        }
    }

    pub(crate) fn check_reply(&mut self, open: &OpenRequest, reply: &Reply, at: u64) {
        self.replies += 1;
        match (&open.kind, reply) {
            (RequestKind::Other, _) => {}
            (
                RequestKind::Submit(key, ..) | RequestKind::Outcome(key) | RequestKind::Cancel(key),
                Reply::Job {
                    key: reply_key,
                    progress,
                },
            ) => {
                assert_eq!(key, reply_key, "(3) reply to another request");
                if let Progress::Closed(outcome) = progress {
                    self.check_outcome(key, outcome, at);
                    if let (RequestKind::Submit(_, content, _), Outcome::Complete(results)) =
                        (&open.kind, &**outcome)
                    {
                        let tasks = &self.keys[key].contents[content];
                        let expected: Vec<Payload> = tasks.iter().map(task_result).collect();
                        assert_eq!(*results, expected, "(2) result of other content of {key}");
                    }
                }
            }
            (RequestKind::Submit(key, _, number), Reply::Error(ApiError::Refused(refusal))) => {
                self.refusals += 1;
                self.check_refusal(key, *number, open.issued_at, &format!("{refusal}"));
            }
            (RequestKind::Submit(key, _, number), Reply::Error(ApiError::Unavailable { what })) => {
                self.check_refusal(key, *number, open.issued_at, what);
            }
            (
                RequestKind::Submit(key, content, _),
                Reply::Error(ApiError::OtherContent(reply_key)),
            ) => {
                assert_eq!(key, reply_key, "(3) reply to another request");
                let others = self.keys[key].contents.keys().any(|other| other != content);
                assert!(others, "(2) {key} was submitted with one content only");
            }
            (
                RequestKind::Outcome(key) | RequestKind::Cancel(key),
                Reply::Error(ApiError::UnknownKey(reply_key)),
            ) => {
                assert_eq!(key, reply_key, "(3) reply to another request");
                let mut starts = self
                    .keys
                    .get(key)
                    .into_iter()
                    .flat_map(|key| key.starts.values());
                let start = starts.find(|start| start.at < open.issued_at);
                assert!(start.is_none(), "(4) unknown key {key}, but {start:?}");
            }
            (RequestKind::Single(payload), Reply::Single(outcome)) => match &**outcome {
                Outcome::Complete(results) => {
                    self.completed += 1;
                    assert_eq!(
                        *results,
                        [task_result(payload)],
                        "(3) result of another request"
                    );
                }
                Outcome::Failed(failure) if failure.not_run() => {
                    self.record_not_run(payload, &format!("{failure}"), at)
                }
                Outcome::Failed(_) => {}
            },
            (RequestKind::Single(payload), Reply::Error(ApiError::Refused(refusal))) => {
                self.refusals += 1;
                self.record_not_run(payload, &format!("{refusal}"), at);
            }
            (RequestKind::Single(payload), Reply::Error(ApiError::Unavailable { what })) => {
                self.record_not_run(payload, what, at)
            }
            (RequestKind::Edit(op), Reply::Edit(outcome)) => self.check_edit(*op, outcome, at),
            (RequestKind::Read(name, min_revision), Reply::Template(read)) => {
                assert!(
                    read.revision >= *min_revision,
                    "(10) read of {name} at {}, {min_revision} was acknowledged",
                    read.revision
                );
            }
            (
                RequestKind::Submit(..)
                | RequestKind::Outcome(_)
                | RequestKind::Cancel(_)
                | RequestKind::Single(_),
                Reply::Error(ApiError::UnknownOutcome { .. }),
            ) => {
                self.unknown += 1;
            }
            (
                RequestKind::Submit(..) | RequestKind::Single(_),
                Reply::Error(ApiError::Policy(_)),
            ) => {}
            (RequestKind::Edit(_) | RequestKind::Read(..), Reply::Error(ApiError::NoLeader(_))) => {
            }
            (RequestKind::Change, Reply::Changed(_) | Reply::Error(_)) => {}
            (kind, reply) => panic!("(3) reply of another kind: {reply:?} to {kind:?}"),
        }
    }

    fn check_outcome(&mut self, key: &JobKey, outcome: &Arc<Outcome>, at: u64) {
        self.completed += 1;
        let entry = self.keys.get_mut(key).expect("a reply to a known key");
        match &entry.closed {
            Some((_, first)) => assert_eq!(first, outcome, "(2) two answers to {key}"),
            None => entry.closed = Some((at, outcome.clone())),
        }
        match &**outcome {
            Outcome::Complete(results) => {
                let complete = |tasks: &Vec<Payload>| {
                    tasks.iter().map(task_result).eq(results.iter().cloned())
                };
                assert!(
                    entry.contents.values().any(complete),
                    "(2) partial answer to {key}: {results:?}"
                );
            }
            Outcome::Failed(failure) => {
                let false_claim = failure.not_run() && !entry.starts.is_empty();
                assert!(
                    !false_claim,
                    "(4) {key}: {failure:?}, but {:?}",
                    entry.starts
                );
            }
        }
    }

    fn check_refusal(&mut self, key: &JobKey, number: usize, issued_at: u64, reason: &str) {
        let entry = self.keys.get_mut(key).expect("a reply to a known key");
        entry.submissions[number].refused = true;
        let before = entry.starts.values().find(|start| start.at < issued_at);
        assert!(before.is_none(), "(4) {key}: {reason}, but {before:?}");
        // A start may belong to any earlier submission that is not refused.
        for start in entry.starts.values() {
            let cause = entry
                .submissions
                .iter()
                .any(|other| !other.refused && other.issued_at <= start.at);
            assert!(cause, "(4) {key}: {reason}, but {start:?}");
        }
    }

    fn record_not_run(&mut self, payload: &Payload, reason: &str, at: u64) {
        let starts = self.singles.get(payload);
        assert!(
            starts.is_none(),
            "(4) {reason}, but {payload:?} started {starts:?} times"
        );
        self.denied_singles.insert(payload.clone(), at);
    }

    fn check_edit(&mut self, op: u64, outcome: &policy::Outcome, at: u64) {
        let edit = self.edits.get_mut(&op).expect("a reply to a known edit");
        if let Some((_, first)) = &edit.outcome {
            assert_eq!(
                first, outcome,
                "(8) a resend of operation {op} got another outcome"
            );
            return;
        }
        edit.outcome = Some((at, outcome.clone()));
        let policy::Outcome::Applied { version, revision } = outcome else {
            return;
        };
        self.applied += 1;
        assert_eq!(*version, edit.from.next(), "(8) version of operation {op}");
        let (document, issued_at) = (edit.document.clone(), edit.issued_at);
        for (other, edit) in self.edits.iter().filter(|(other, _)| **other != op) {
            let Some((
                answered_at,
                policy::Outcome::Applied {
                    version: v,
                    revision: r,
                },
            )) = &edit.outcome
            else {
                continue;
            };
            assert_ne!(r, revision, "(8) operations {op} and {other}");
            let same = edit.document == document;
            assert!(
                !same || (v < version) == (r < revision) && v != version,
                "(8) operations {op} and {other}: {version}, {v}"
            );
            // An edit that was answered before this one was first sent has a lower revision.
            assert!(
                *answered_at >= issued_at || r < revision,
                "(8) operation {op} is older than {other}"
            );
        }
        self.acknowledged = self.acknowledged.max(*revision);
    }
}
