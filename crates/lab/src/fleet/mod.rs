//! A fleet of real processes on loopback, with faults between them. Each part says in its file what it owns.

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
