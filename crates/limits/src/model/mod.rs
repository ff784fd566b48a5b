//! A small seeded simulation of proxies, cache nodes and one origin, in virtual time.
//!
//! It serves this package's tests, benches and examples, which compare limits on equal workloads, that is,
//! on the same arrivals with the same work. It doesn't model a real deployment or the real proxy: the nodes
//! serve by a simple rule, the proxies make as few decisions as possible, and only the path to the origin
//! is limited. Don't derive figures for operators from it.
//!
//! | module | contents |
//! | --- | --- |
//! | `random` | random streams, one for each purpose, from one seed |
//! | `server` | cores with a queue; the overload that stops a server |
//! | `cache` | the keys cached by a node |
//! | `workload` | sizes, faults, and all arrivals, generated in advance |
//! | `proxy` | one proxy: which tries wait for which fetch, and what is in flight to the origin |
//! | `run` | the event loop |
//! | `results` | the results of a run |
//!
//! Every run ends: nothing arrives after the end of the workload, and what is open then ends by its
//! deadline.

mod cache;
mod proxy;
mod random;
mod results;
mod run;
mod server;
mod workload;

pub use proxy::QueuePolicy;
pub use results::{Results, Trace};
pub use run::run;
pub use workload::{Fault, FaultKind, Setup, Workload};
