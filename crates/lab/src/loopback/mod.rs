//! The loopback host: the real program as child processes, real sockets, real time.
//!
//! It owns the proxy processes and the stand-ins for everything around the proxy (cache nodes, the origin,
//! discovery, clients, the front), which run the models of the `world` package on their own threads. Use it
//! to see what the virtual world leaves out: sockets, the kernel, the cost of the program itself. It is not
//! suited to many runs: it plays in real time and needs the machine to itself.
//!
//! Linux only: it reads `/proc`, and silent ports rely on how Linux fills a listener's queue.

pub mod children;
mod clients;
mod clock;
pub mod cost;
mod event_loop;
mod fleet;
mod host;
pub mod scripted;
pub(crate) mod settings;
pub mod socket;

pub use clock::Clock;
pub use host::{play, Loopback, Played, Proxies, SLACK_MS};
