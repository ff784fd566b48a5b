//! Fault schedules for a fleet of processes: the file format, the plan derived from a seed, and the link
//! model. They are independent of the host that executes them; `lab::fleet` runs them on loopback with real
//! processes.
//!
//! This module does no I/O and reads no clock; all randomness comes from seeds.

pub mod draw;
pub mod fault;
pub mod link;
pub mod schedule;
pub mod truth;
