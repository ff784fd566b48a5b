//! Runs a fleet of real processes on loopback and injects faults between them.

pub mod judge;
pub mod links;
pub mod log;
pub mod machine;
pub mod plant;
pub mod play;
pub mod processes;
pub mod report;
pub mod search;
pub mod stage;
pub mod view;
