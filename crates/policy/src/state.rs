//! The replicated part of the policy, which is stored and sent as a snapshot.

use std::collections::VecDeque;
use std::sync::Arc;

use greengage_core::{value, AccountName, OpId, Revision, SortedMap, TemplateName, Version};

use crate::document::{Document, Outcome, Params, Template};

/// A document with its version; without content, the tombstone of a removed document.
#[value]
pub(crate) struct Versioned<T> {
    /// The version of the last edit.
    pub(crate) version: Version,
    /// The revision of the last edit.
    pub(crate) revision: Revision,
    /// The content; `None` for a tombstone.
    pub(crate) content: Option<Arc<T>>,
}

/// An answered edit, kept to answer retries.
#[value]
pub(crate) struct Record {
    pub(crate) op: OpId,
    pub(crate) from: Version,
    pub(crate) document: Document,
    pub(crate) outcome: Outcome,
}

/// Content of a [`State`].
#[value]
#[derive(Default)]
pub(crate) struct PolicyData {
    /// The index of the last command, whether or not it had an effect.
    pub(crate) applied: Revision,
    /// The index of the last edit that had an effect.
    pub(crate) revision: Revision,
    /// The highest version among dropped tombstones.
    pub(crate) version_floor: Version,
    pub(crate) templates: SortedMap<TemplateName, Versioned<Template>>,
    pub(crate) params: SortedMap<TemplateName, SortedMap<AccountName, Versioned<Params>>>,
    /// Answered edits, oldest first.
    pub(crate) records: VecDeque<Arc<Record>>,
}

/// The configuration at one revision; cloning only increments a reference count.
#[value]
#[derive(Default)]
pub struct State(pub(crate) Arc<PolicyData>);

impl State {
    /// The index of the last command in the state.
    pub fn applied(&self) -> Revision {
        self.0.applied
    }

    /// The index of the last edit that had an effect.
    pub fn revision(&self) -> Revision {
        self.0.revision
    }
}
