//! Tests of the transport over real loopback sockets.

mod authentication;
mod common;
mod messages;
mod reconnect;
mod relay;
