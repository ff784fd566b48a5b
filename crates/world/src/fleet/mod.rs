//! A fleet of processes and what befalls it: words, plans and models, for whichever host plays them. `lab::fleet`
//! plays them on loopback with real processes.
//!
//! No I/O, no clock and no randomness but from seeds.

pub mod draw;
pub mod fault;
pub mod link;
pub mod schedule;
pub mod truth;
