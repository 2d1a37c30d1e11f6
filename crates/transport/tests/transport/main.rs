//! Tests of the transport over real loopback sockets.

mod common;
mod messages;
mod relay;
mod silence;
mod trust;
