//! HTTP edges: the listener for callers and targets, the listener for operators and the client to
//! targets.
//!
//! Nothing here decides. A listener turns HTTP with JSON into `api::Request` and `api::Reply` into
//! HTTP with JSON; the client turns `call::Call` into HTTP and the answer into `call::Seen`. The
//! documents are described in `docs/protocol.md`.

pub mod admin;
pub mod client;
pub mod document;
pub mod front;
pub mod json;
pub mod pool;
pub mod reply;
pub mod status;
pub mod target;

pub use front::{Front, Replies};
pub use greengage_listener::ListenError as HttpError;
