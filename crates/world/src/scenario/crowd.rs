//! A crowd: connections to the proxies that do no useful work, in addition to those of usual clients.

use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Crowd {
    /// New connections per second, over all proxies.
    pub connections_per_s: f64,
    pub manner: CrowdBehavior,
    /// Number of source addresses, each in a network of its own; 0: they share the usual clients' address.
    pub sources: u32,
    /// How long a connection stays unless it is closed.
    pub hold_s: f64,
    /// Bytes that a slow reader leaves unread.
    pub bytes: u32,
    /// How connections to close are chosen.
    pub judge: EvictionPolicy,
    /// Connections that clients and crowd together may have open to one proxy, as with a front that has a
    /// bounded pool; further ones wait for their turn. 0: only the proxy's own limit applies.
    pub connections: u32,
    /// The proxy's time to accept one connection.
    pub accept_us: f64,
    /// Maximum number of connections waiting to be accepted.
    pub backlog: u32,
}

impl Default for Crowd {
    fn default() -> Self {
        Crowd {
            connections_per_s: 300.0,
            manner: CrowdBehavior::Mixed,
            sources: 1000,
            hold_s: 20.0,
            bytes: 65_536,
            judge: EvictionPolicy::Door,
            connections: 0,
            accept_us: 63.0,
            backlog: 128,
        }
    }
}

/// What the crowd's connections do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CrowdBehavior {
    /// They send nothing.
    Silent,
    /// They send PING once.
    Ping,
    /// One half is silent, the other sends PING.
    #[default]
    Mixed,
    /// They send requests and do not read the answers.
    SlowReader,
    /// One third each sends half a command, sends unparsable bytes, and resets at once.
    Rude,
}

/// How connections are chosen for closing when there are too many.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EvictionPolicy {
    /// Not at all: existing connections stay as long as their timeouts allow.
    Off,
    /// The one that has been quiet for longest, and for at least 250 ms: the proxy's behavior before it had
    /// admission control for connections.
    Quiet,
    /// By the proxy's own admission control.
    #[default]
    Door,
}
