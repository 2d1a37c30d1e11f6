//! Crowds of clients that misbehave, at every port of a control VM and an entry VM.
//!
//! A crowd stays open while an ordinary request is served and a job handed in before it ends. Checked
//! are the processes, their peak memory and their descriptors, against the limits in their settings.
//! `GREENGAGE_CLIENTS`, `GREENGAGE_MEMORY_MB` and `GREENGAGE_MAX_FDS` set other crowds and limits.

mod crowd;
mod site;

use std::sync::{Mutex, PoisonError};

use crowd::{Crowd, Kind};
use site::Site;

/// One crowd at a time, so that none is measured beside another.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn env_or(name: &str, default: usize) -> usize {
    match std::env::var(name) {
        Ok(text) => text.parse().expect("a number"),
        Err(_) => default,
    }
}

fn withstand(kind: Kind) {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let mut site = Site::start();
    let earlier = site.submit_long_job();
    let crowd = Crowd::start(kind, site.places());
    crowd.wait();
    let served = site.serves_ordinary_requests();
    let ended = earlier.join().unwrap_or_default();
    drop(crowd);
    site.check(kind, &served, &ended);
}

/// Guards against bodies that are never completed and use up the memory.
#[test]
fn bodies_in_one_piece_that_stop_short() {
    withstand(Kind::OnePiece);
}

/// Guards against the same bodies when they arrive in many small reads.
#[test]
fn bodies_in_small_pieces_that_stop_short() {
    withstand(Kind::SmallPieces);
}

/// Guards against the same bodies when their length isn't declared.
#[test]
fn chunked_bodies_that_stop_short() {
    withstand(Kind::Chunks);
}

/// Guards against memory that is taken for a declared length.
#[test]
fn bodies_declared_far_over_the_limit() {
    withstand(Kind::Declared);
}

/// Guards against bodies that are found to be too long only as they arrive.
#[test]
fn undeclared_bodies_far_over_the_limit() {
    withstand(Kind::Undeclared);
}

/// Guards against bodies of legal size that are decoded to a multiple of it.
#[test]
fn bodies_of_very_many_short_fields() {
    withstand(Kind::Fields);
}

/// Guards against requests sent ahead whose answers fill the memory.
#[test]
fn pipelined_requests_without_a_reader() {
    withstand(Kind::Pipelined);
}

/// Guards against heads that are never completed.
#[test]
fn heads_that_arrive_slowly() {
    withstand(Kind::SlowHeads);
}

/// Guards against bodies of which a byte arrives now and then.
#[test]
fn bodies_that_arrive_slowly() {
    withstand(Kind::SlowBodies);
}

/// Guards against answers of which a byte is read now and then.
#[test]
fn answers_that_are_read_slowly() {
    withstand(Kind::SlowReaders);
}
