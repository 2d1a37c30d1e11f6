//! Tests of whole groups of nodes.

mod basic;
mod election;
mod membership;
mod support;
