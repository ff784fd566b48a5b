//! A fleet of real processes on loopback, and the faults that befall them.

pub mod log;
pub mod machine;
pub mod processes;
