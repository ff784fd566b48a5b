//! User input: scenario files, and changes to a scenario from the command line.
//!
//! Converts text to a validated [`world::scenario::Scenario`]. Every error is a single line that says where
//! the error is and what was expected. Nothing is run here.

pub mod file;
pub mod place;
pub mod setting;
