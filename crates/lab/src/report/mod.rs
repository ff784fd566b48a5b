//! What a user gets to see of runs: the table on the terminal, `result.json`, and the page `report.html`.
//!
//! It owns the words and forms of figures; the figures themselves come from [`world::outcome::Run`]. What is
//! written to `result.json` depends on the run alone, so that the virtual world's file is the same each time;
//! measured speed goes to the terminal and the page only.

pub mod html;
pub mod page;
pub mod plot;
pub mod result;
pub mod run;
pub mod table;
