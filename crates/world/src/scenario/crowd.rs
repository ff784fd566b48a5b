//! A crowd at the proxies' door: connections that want nothing, beside those of usual clients.

use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Crowd {
    /// New connections a second, over all proxies.
    pub connections_per_s: f64,
    pub manner: CrowdBehavior,
    /// Addresses from which they come, each in a network of its own; 0: from the usual clients' address.
    pub sources: u32,
    /// How long one stays unless it is closed.
    pub hold_s: f64,
    /// What a slow reader leaves unread.
    pub bytes: u32,
    /// Who makes room.
    pub judge: EvictionPolicy,
    /// Connections that clients and crowd may have open to one proxy together, as a front with a bounded pool has
    /// them; what comes beyond waits its turn. 0: no bound but the proxy's.
    pub connections: u32,
    /// The proxy's time to accept one connection.
    pub accept_us: f64,
    /// Connections that wait to be accepted, at the most.
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

/// What they do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CrowdBehavior {
    /// They say nothing.
    Silent,
    /// They send PING once.
    Ping,
    /// Either, by halves.
    #[default]
    Mixed,
    /// They ask, and read no answer.
    SlowReader,
    /// Half a command, bytes that cannot be read, or a reset at once; by thirds.
    Rude,
}

/// Who decides which connections make room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EvictionPolicy {
    /// Nobody: who came first stays for as long as its times allow.
    Off,
    /// Whoever has been quiet for longest, and for 250 ms at least: as the proxy did before it had a door.
    Quiet,
    /// The proxy's own door.
    #[default]
    Door,
}
