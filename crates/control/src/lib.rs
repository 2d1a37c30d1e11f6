//! The control thread's whole state: composes agreement, ledger, policy, membership and dispatch.

pub mod api;
pub mod call;
