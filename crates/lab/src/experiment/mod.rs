//! What is made of many runs: jobs spread over the cores, and what their results say together.
//!
//! It owns no world and reads no file: a job is a closure, a result a number. Use it for runs that do not
//! touch each other (those of the virtual host); runs on loopback compete for the cores they measure, so
//! they go one at a time.

pub mod batch;
pub mod figure;
pub mod paired;
pub mod parallel;
