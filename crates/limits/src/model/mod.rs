//! A small seeded model of proxies, cache nodes and one ledger, in virtual time.
//!
//! It is for this package's tests, benches and examples: limits are held side by side on equal days, that
//! is on the same arrivals with the same work. It is no copy of any real deployment and no judge of the
//! proxy: the nodes serve by a plain rule, the proxies' decisions are the fewest that make sense, and only
//! the way to the ledger is limited. Do not draw figures for operators from it.
//!
//! | file | owns |
//! | --- | --- |
//! | `draw` | random streams, one for each purpose, from one seed |
//! | `station` | cores with a waiting room; the pressure that stops one |
//! | `cache` | the keys that a node holds |
//! | `day` | sizes, troubles, and all arrivals, drawn ahead |
//! | `proxy` | one proxy: who waits for which fetch, and what is out at the ledger |
//! | `run` | the order of events |
//! | `figures` | what a run gives |
//!
//! Every day ends: nothing arrives after it, and what is open then ends by its deadline.

mod cache;
mod day;
mod draw;
mod figures;
mod proxy;
mod run;
mod station;

pub use day::{Day, Setup, Trouble, What};
pub use figures::{Figures, Trace};
pub use proxy::Line;
pub use run::run;
