//! The replicated state: the document with the highest version.
//!
//! An edit whose version is not higher has no effect, so retried and reordered edits are harmless,
//! and of two edits with the same version the first one committed wins.

use std::sync::Arc;

use greengage_core::{value, Version};

use crate::document::Document;

/// A command of the group: replace the document unless the version is not higher.
#[value]
pub struct Edit(pub Arc<Document>);

/// The document in force; `None` before the first edit.
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
