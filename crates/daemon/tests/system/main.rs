//! The daemon as separate processes, with failures.

mod edits;
mod folder;
mod harness;
mod leader;
mod network;
mod relay;
mod serve;
mod settings;
mod targets;
mod work;
