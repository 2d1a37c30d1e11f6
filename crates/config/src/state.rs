//! The replicated state: the document with the highest version, and the evacuated zones.
//!
//! An edit whose version is not higher has no effect, so retried and reordered edits are harmless,
//! and of two edits with the same version the first one committed wins. Orders about evacuations
//! have no version: they take effect in the order of the log.

use std::mem::size_of;
use std::sync::Arc;

use greengage_core::{value, Version};

use crate::document::Document;
use crate::evacuation::{EvacuationOrder, Evacuations};

/// A command of the group.
#[value]
pub enum Edit {
    /// Replaces the document unless the version is not higher.
    Document(Arc<Document>),
    /// Evacuates a zone or takes that back.
    Evacuation(EvacuationOrder),
}

impl Edit {
    /// The memory that the edit takes, in bytes.
    pub(crate) fn memory_bytes(&self) -> usize {
        match self {
            Edit::Document(document) => document.memory_bytes(),
            Edit::Evacuation(order) => size_of::<Edit>() + order.zone.as_str().len(),
        }
    }
}

/// What an edit has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateChange {
    /// Nothing.
    None,
    /// The document.
    Document,
    /// The evacuated zones.
    Evacuations,
}

/// The state in force.
#[value]
#[derive(Default)]
pub struct State {
    /// The document; `None` before the first edit.
    pub document: Option<Arc<Document>>,
    /// The evacuated zones.
    pub evacuations: Evacuations,
}

impl State {
    /// The version in force; `None` before the first edit.
    pub fn version(&self) -> Option<Version> {
        self.document.as_ref().map(|document| document.version)
    }

    /// Applies an edit; returns what it changed.
    pub fn apply(&mut self, edit: Edit) -> StateChange {
        match edit {
            Edit::Document(document) if Some(document.version) > self.version() => {
                self.document = Some(document);
                StateChange::Document
            }
            Edit::Evacuation(order) if self.evacuations.apply(&order) => StateChange::Evacuations,
            Edit::Document(_) | Edit::Evacuation(_) => StateChange::None,
        }
    }
}
