//! The replicated state: the document with the highest version.
//!
//! An edit with a version that is not higher changes nothing, so resends and reordered edits are
//! harmless, and of two edits with one version the first one committed stays.

use std::sync::Arc;

use greengage_core::{value, Version};

use crate::document::Document;

/// A command of the group: put this document in force unless its version is too low.
#[value]
pub struct Edit(pub Arc<Document>);

/// The document in force.
#[value]
#[derive(Default)]
pub struct State(pub Option<Arc<Document>>);

impl State {
    /// The version in force; `None` before the first edit.
    pub fn version(&self) -> Option<Version> {
        self.0.as_ref().map(|document| document.version)
    }

    /// Applies an edit; returns whether it changed the state.
    pub fn apply(&mut self, edit: Edit) -> bool {
        let newer = Some(edit.0.version) > self.version();
        if newer {
            self.0 = Some(edit.0);
        }
        newer
    }
}
