//! HTTP interfaces: the listener for callers and targets, the listener for operators and the client
//! that calls targets.
//!
//! This crate only translates and takes no decisions. A listener decodes HTTP requests with JSON
//! bodies into `api::Request` and encodes `api::Reply` as a response; the client encodes
//! `call::Call` as an HTTP request and decodes the response into `call::CallResult`.
//! `docs/protocol.md` describes the documents.

pub mod admin;
pub mod client;
pub mod document;
pub mod front;
pub mod json;
pub mod pool;
pub mod reply;
pub mod status;
pub mod target;

pub use front::{CallerListener, ReplySender};
pub use greengage_listener::ListenError as HttpError;
