//! The host on loopback: the real program as child processes, real sockets, real time.
//!
//! It owns the stand-ins for all that surrounds the proxy (cache nodes, the ledger, discovery, clients, the front),
//! which run the models of the `world` package on threads of their own, and the proxies' processes. Use it to see
//! what the virtual world leaves out: sockets, the kernel, the cost of the program itself. Not for many runs: it
//! plays in real time and wants the machine to itself.
//!
//! Linux only: it reads `/proc`, and ports that fall silent rest on how Linux fills a listener's queue.

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
