//! The words for what befalls a fleet of processes, shared by all hosts. No I/O, no clock: see the crate.

pub mod link;
