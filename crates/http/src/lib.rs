//! Placeholder until the crate's first commit.
