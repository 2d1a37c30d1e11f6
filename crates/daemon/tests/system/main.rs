//! The daemon as separate processes, with failures.

mod edits;
mod folder;
mod harness;
mod jobs;
mod leader;
mod network;
mod relay;
mod serve;
mod settings;
mod targets;

/// VM, zone and roles of a small deployment: `north` has two voters and a witness.
pub(crate) const THREE_VMS: [(&str, &str, &str); 3] = [
    ("north-1", "north", "control+ledger"),
    ("north-2", "north", "control+ledger"),
    ("south-1", "south", "control+ledger+witness:north"),
];
/// Two zones that both have two voters and a witness.
pub(crate) const FOUR_VMS: [(&str, &str, &str); 4] = [
    ("north-1", "north", "control+ledger+witness:south"),
    ("north-2", "north", "control+ledger"),
    ("south-1", "south", "control+ledger+witness:north"),
    ("south-2", "south", "ledger"),
];
