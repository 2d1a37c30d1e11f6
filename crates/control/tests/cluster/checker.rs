//! What must hold over the whole history, checked as replies and starts come in.

use std::collections::BTreeMap;
use std::sync::Arc;

use greengage_control::api::{ApiError, Progress, Reply};
use greengage_core::{JobKey, Outcome, Payload, Revision, Version};
use greengage_policy as policy;

use crate::fakes::{result, Ran, S};

/// What a request asked for.
#[derive(Clone, Debug)]
pub(crate) enum Ask {
    /// A submission: the key, the content, its number among those of the key.
    Submit(JobKey, u8, usize),
    Outcome(JobKey),
    Cancel(JobKey),
    /// A repeatable request.
    Single(Payload),
    /// An edit by operation id.
    Edit(u64),
    /// A current read of a template, and the highest revision acknowledged before it.
    Read(String, Revision),
    /// A membership change of the repair.
    Change,
    /// Anything else: no claim is made.
    Other,
}

/// A request without a reply.
#[derive(Clone, Debug)]
pub(crate) struct Open {
    pub(crate) ask: Ask,
    pub(crate) issued: u64,
}

struct Submitted {
    issued: u64,
    refused: bool,
}

/// What is known of a key.
#[derive(Default)]
struct Key {
    contents: BTreeMap<u8, Vec<Payload>>,
    submitted: Vec<Submitted>,
    starts: BTreeMap<u32, Ran>,
    closed: Option<(u64, Arc<Outcome>)>,
}

struct Edit {
    document: String,
    from: Version,
    issued: u64,
    outcome: Option<(u64, policy::Outcome)>,
}

#[derive(Default)]
pub(crate) struct Checker {
    keys: BTreeMap<JobKey, Key>,
    /// Starts of repeatable requests by content, and the contents of which "not run" was said.
    singles: BTreeMap<Payload, u32>,
    denied: BTreeMap<Payload, u64>,
    edits: BTreeMap<u64, Edit>,
    /// Highest acknowledged revision.
    pub(crate) acknowledged: Revision,
    /// When a target's leaving was announced, by name.
    pub(crate) leaving: BTreeMap<greengage_core::TargetName, u64>,
    pub(crate) replies: u64,
    pub(crate) completed: u64,
    pub(crate) starts: u64,
    pub(crate) refusals: u64,
    pub(crate) unknown: u64,
    pub(crate) applied: u64,
}

impl Checker {
    /// Notes a submission; returns its number.
    pub(crate) fn submitted(
        &mut self,
        key: &JobKey,
        content: u8,
        tasks: &[Payload],
        at: u64,
    ) -> usize {
        let entry = self.keys.entry(key.clone()).or_default();
        entry.contents.insert(content, tasks.to_vec());
        entry.submitted.push(Submitted {
            issued: at,
            refused: false,
        });
        entry.submitted.len() - 1
    }

    pub(crate) fn edited(&mut self, op: u64, document: &str, from: Version, at: u64) {
        let document = document.to_string();
        self.edits.insert(
            op,
            Edit {
                document,
                from,
                issued: at,
                outcome: None,
            },
        );
    }

    /// Submissions whose end nobody has heard.
    pub(crate) fn open(&self) -> Vec<JobKey> {
        let open = self.keys.iter().filter(|(_, key)| key.closed.is_none());
        open.map(|(name, _)| name.clone()).collect()
    }

    /// A task starts at a target; `calm` is since when nothing is disturbed.
    pub(crate) fn started(&mut self, ran: Ran, calm: u64) {
        self.starts += 1;
        if let Some(left) = self.leaving.get(&ran.target) {
            let late = ran.asked > left + 2 * S && calm < *left;
            assert!(!late, "(6) start at a target that left at {left}: {ran:?}");
        }
        let Some(key) = self.keys.get_mut(&ran.attempt.key) else {
            let denied = self.denied.get(&ran.payload);
            assert!(
                denied.is_none(),
                "(4) start after a refusal at {denied:?}: {ran:?}"
            );
            *self.singles.entry(ran.payload.clone()).or_default() += 1;
            return;
        };
        if let Some((at, outcome)) = &key.closed {
            let late = ran.asked > *at && ran.fencing;
            assert!(
                !late,
                "(6) start after the close at {at} as {outcome:?}: {ran:?}"
            );
            let not_run = matches!(&**outcome, Outcome::Failed(failure) if failure.not_run());
            assert!(!not_run, "(4) start after {outcome:?} at {at}: {ran:?}");
        }
        let denied = key.submitted.iter().all(|submitted| submitted.refused);
        assert!(
            !denied,
            "(4) start, but each submission was refused as not run: {ran:?}"
        );
        if let Some(first) = key.starts.insert(ran.attempt.task, ran.clone()) {
            panic!("(1) second start of a task: {ran:?}, first {first:?}");
        }
    }

    pub(crate) fn replied(&mut self, open: &Open, reply: &Reply, at: u64) {
        self.replies += 1;
        match (&open.ask, reply) {
            (Ask::Other, _) => {}
            (
                Ask::Submit(key, ..) | Ask::Outcome(key) | Ask::Cancel(key),
                Reply::Job { key: of, progress },
            ) => {
                assert_eq!(key, of, "(3) reply to another request");
                if let Progress::Closed(outcome) = progress {
                    self.closed(key, outcome, at);
                    if let (Ask::Submit(_, content, _), Outcome::Complete(results)) =
                        (&open.ask, &**outcome)
                    {
                        let tasks = &self.keys[key].contents[content];
                        let expected: Vec<Payload> = tasks.iter().map(result).collect();
                        assert_eq!(*results, expected, "(2) result of other content of {key}");
                    }
                }
            }
            (Ask::Submit(key, _, number), Reply::Error(ApiError::Refused(refusal))) => {
                self.refusals += 1;
                self.refused(key, *number, open.issued, &format!("{refusal}"));
            }
            (Ask::Submit(key, _, number), Reply::Error(ApiError::Unavailable { what })) => {
                self.refused(key, *number, open.issued, what);
            }
            (Ask::Submit(key, content, _), Reply::Error(ApiError::OtherContent(of))) => {
                assert_eq!(key, of, "(3) reply to another request");
                let others = self.keys[key].contents.keys().any(|other| other != content);
                assert!(others, "(2) {key} was submitted with one content only");
            }
            (Ask::Outcome(key) | Ask::Cancel(key), Reply::Error(ApiError::UnknownKey(of))) => {
                assert_eq!(key, of, "(3) reply to another request");
                let mut starts = self
                    .keys
                    .get(key)
                    .into_iter()
                    .flat_map(|key| key.starts.values());
                let ran = starts.find(|ran| ran.at < open.issued);
                assert!(ran.is_none(), "(4) unknown key {key}, but {ran:?}");
            }
            (Ask::Single(payload), Reply::Single(outcome)) => match &**outcome {
                Outcome::Complete(results) => {
                    self.completed += 1;
                    assert_eq!(*results, [result(payload)], "(3) result of another request");
                }
                Outcome::Failed(failure) if failure.not_run() => {
                    self.denied(payload, &format!("{failure}"), at)
                }
                Outcome::Failed(_) => {}
            },
            (Ask::Single(payload), Reply::Error(ApiError::Refused(refusal))) => {
                self.refusals += 1;
                self.denied(payload, &format!("{refusal}"), at);
            }
            (Ask::Single(payload), Reply::Error(ApiError::Unavailable { what })) => {
                self.denied(payload, what, at)
            }
            (Ask::Edit(op), Reply::Edit(outcome)) => self.edit(*op, outcome, at),
            (Ask::Read(name, floor), Reply::Template(read)) => {
                assert!(
                    read.revision >= *floor,
                    "(10) read of {name} at {}, {floor} was acknowledged",
                    read.revision
                );
            }
            (
                Ask::Submit(..) | Ask::Outcome(_) | Ask::Cancel(_) | Ask::Single(_),
                Reply::Error(ApiError::UnknownOutcome { .. }),
            ) => {
                self.unknown += 1;
            }
            (Ask::Submit(..) | Ask::Single(_), Reply::Error(ApiError::Policy(_))) => {}
            (Ask::Edit(_) | Ask::Read(..), Reply::Error(ApiError::NoLeader(_))) => {}
            (Ask::Change, Reply::Changed(_) | Reply::Error(_)) => {}
            (ask, reply) => panic!("(3) reply of another kind: {reply:?} to {ask:?}"),
        }
    }

    fn closed(&mut self, key: &JobKey, outcome: &Arc<Outcome>, at: u64) {
        self.completed += 1;
        let entry = self.keys.get_mut(key).expect("a reply to a known key");
        match &entry.closed {
            Some((_, first)) => assert_eq!(first, outcome, "(2) two answers to {key}"),
            None => entry.closed = Some((at, outcome.clone())),
        }
        match &**outcome {
            Outcome::Complete(results) => {
                let complete =
                    |tasks: &Vec<Payload>| tasks.iter().map(result).eq(results.iter().cloned());
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

    fn refused(&mut self, key: &JobKey, number: usize, issued: u64, why: &str) {
        let entry = self.keys.get_mut(key).expect("a reply to a known key");
        entry.submitted[number].refused = true;
        let before = entry.starts.values().find(|ran| ran.at < issued);
        assert!(before.is_none(), "(4) {key}: {why}, but {before:?}");
        // A start may be due to any submission that was made before and isn't refused.
        for ran in entry.starts.values() {
            let cause = entry
                .submitted
                .iter()
                .any(|other| !other.refused && other.issued <= ran.at);
            assert!(cause, "(4) {key}: {why}, but {ran:?}");
        }
    }

    fn denied(&mut self, payload: &Payload, why: &str, at: u64) {
        let starts = self.singles.get(payload);
        assert!(
            starts.is_none(),
            "(4) {why}, but {payload:?} started {starts:?} times"
        );
        self.denied.insert(payload.clone(), at);
    }

    fn edit(&mut self, op: u64, outcome: &policy::Outcome, at: u64) {
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
        let (document, issued) = (edit.document.clone(), edit.issued);
        for (other, edit) in self.edits.iter().filter(|(other, _)| **other != op) {
            let Some((
                done,
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
                *done >= issued || r < revision,
                "(8) operation {op} is older than {other}"
            );
        }
        self.acknowledged = self.acknowledged.max(*revision);
    }
}
