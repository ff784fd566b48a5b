//! The scenario of a run: the size of the simulated environment, its machines, clients and faults.
//!
//! The types mirror a TOML file. Every field except a fault's `kind` and `at_s` has a default; together the
//! defaults resemble the operators' deployment (nine cache nodes in two zones, 290 requests per second).
//! Names contain the unit. A pair `[min, max]` is a range from which each item draws its own value by the
//! seed. Unknown fields are errors. [`Scenario::validate`] checks what types cannot express and reports the
//! path of the invalid value.
//!
//! In files, `hall` is a zone and `ledger` the origin. Both hosts run the same scenarios; nothing here
//! depends on the host.

mod crowd;
mod faults;
pub(crate) mod validate;

pub use crowd::{Crowd, CrowdBehavior, EvictionPolicy};
pub use faults::{Fault, FaultKind, Reads};
pub use validate::Problem;

use serde::{Deserialize, Serialize};

/// A range `[min, max]` from which a value is drawn uniformly.
pub type Range = [f64; 2];

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    /// A description for people.
    pub about: String,
    /// How long clients send new requests. A run continues until all of them are finished.
    pub seconds: f64,
    pub seed: u64,
    pub halls: Vec<String>,
    pub proxies: Proxies,
    /// The cache nodes at the start, in groups of equal nodes.
    pub nodes: Vec<NodeGroup>,
    pub ledger: Origin,
    pub discovery: Discovery,
    pub network: Network,
    pub clients: Clients,
    /// Connections that do no useful work; none if absent. Virtual time only.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub crowd: Option<Crowd>,
    /// How often the sizes of the proxies' tables are sampled; never if absent. Virtual time only.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub sizes_every_s: Option<f64>,
    pub faults: Vec<Fault>,
    pub rules: Rules,
    pub expect: Expect,
}

impl Default for Scenario {
    fn default() -> Self {
        let half = NodeGroup {
            kind: "half-node".into(),
            count: 6,
            speed: 0.9,
            store_kb: 68.0,
            ..NodeGroup::default()
        };
        Scenario {
            name: "unnamed".into(),
            about: String::new(),
            seconds: 60.0,
            seed: 1,
            halls: vec!["hofdi".into(), "grafarholt".into()],
            proxies: Proxies::default(),
            nodes: vec![NodeGroup::default(), half],
            ledger: Origin::default(),
            discovery: Discovery::default(),
            network: Network::default(),
            clients: Clients::default(),
            crowd: None,
            sizes_every_s: None,
            faults: Vec::new(),
            rules: Rules::default(),
            expect: Expect::default(),
        }
    }
}

/// The proxies, distributed over the zones in turn, and their site settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Proxies {
    pub count: u32,
    /// Limits that are enforced on loopback; the number of descriptors also bounds the connections to nodes,
    /// as in production.
    pub memory_mb: u32,
    pub sockets: u32,
    /// The tick of the proxy's timers.
    pub period_ms: f64,
    pub max_attempts: u32,
    pub max_open: u32,
    pub second_copies: bool,
    pub cancelling: bool,
    pub probes: bool,
    /// The cost of one probe per request as a part of the service; the proxy uses it to limit its probes.
    pub probe_price: f64,
    pub dial_timeout_ms: f64,
    /// The longest retry delay that clients are told; 0 tells none.
    pub max_retry_after_ms: f64,
}

impl Default for Proxies {
    fn default() -> Self {
        Proxies {
            count: 3,
            memory_mb: 192,
            sockets: 1024,
            period_ms: 5.0,
            max_attempts: 4,
            max_open: 20_000,
            second_copies: true,
            cancelling: true,
            probes: true,
            probe_price: 0.014,
            dial_timeout_ms: 250.0,
            max_retry_after_ms: 1000.0,
        }
    }
}

/// A group of equal cache nodes. Each node draws its own value from a range.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NodeGroup {
    /// The kind of machine in discovery.
    pub kind: String,
    pub count: u32,
    /// Their zone; distributed over all zones in turn if absent.
    pub hall: Option<String>,
    pub cores: u32,
    /// Speed of a core: at 1 it does a millisecond of work in a millisecond. Nodes differ by `speed_spread`,
    /// a coefficient of variation.
    pub speed: f64,
    pub speed_spread: f64,
    /// Requests executed at once and requests waiting, per core. Requests beyond that are rejected.
    pub slots_per_core: f64,
    pub waiting_per_core: Range,
    /// From this many requests per core on, each further one costs this part of the speed.
    pub crowd_from_per_core: Range,
    pub crowd_loss: Range,
    /// Work of a miss, as a part of the work of the request.
    pub miss_work: f64,
    /// All cores pause now and then (garbage collection, snapshots).
    pub pause_every_s: Range,
    pub pause_ms: Range,
    /// A started node has this part of its capacity, and all of it after this time; or by then at the latest
    /// if it warms up with the work done.
    pub cold_from: Range,
    pub cold_s: Range,
    pub warm_by: WarmBy,
    /// The part of the reads answered with an error.
    pub error_rate: Range,
    /// The store's memory, and the time to live of a value (0: unlimited).
    pub store_kb: f64,
    pub ttl_s: f64,
    /// Maximum number of connections, the work that opening one costs, the part of the capacity that a full
    /// table takes, and when an idle connection is closed.
    pub connections: u32,
    pub handshake_work_ms: Range,
    pub full_table_loss: Range,
    pub idle_close_s: f64,
    /// Work of a probe, and the number of concurrent probes per core beyond which one is rejected.
    pub probe_work_ms: Range,
    pub probes_per_core: f64,
    /// Load reports: how often they are made, how late they become visible, and their noise (a part of the
    /// value).
    pub report_period_ms: Range,
    pub report_delay_ms: Range,
    pub report_noise: Range,
    /// Whether waiting requests are dropped once the sender has cancelled them, and once they have expired.
    pub drops_cancelled: bool,
    pub drops_expired: bool,
}

impl Default for NodeGroup {
    fn default() -> Self {
        NodeGroup {
            kind: "full-node".into(),
            count: 3,
            hall: None,
            cores: 4,
            speed: 1.8,
            speed_spread: 0.15,
            slots_per_core: 1.0,
            waiting_per_core: [1.5, 3.4],
            crowd_from_per_core: [2.8, 6.8],
            crowd_loss: [0.05, 0.12],
            miss_work: 0.1,
            pause_every_s: [2.5, 11.0],
            pause_ms: [0.0, 150.0],
            cold_from: [0.16, 0.35],
            cold_s: [12.0, 23.0],
            warm_by: WarmBy::Work,
            error_rate: [0.0, 0.001],
            store_kb: 136.0,
            ttl_s: 0.0,
            connections: 88,
            handshake_work_ms: [25.0, 40.0],
            full_table_loss: [0.2, 0.3],
            idle_close_s: 60.0,
            probe_work_ms: [0.72, 1.4],
            probes_per_core: 6.0,
            report_period_ms: [40.0, 420.0],
            report_delay_ms: [60.0, 140.0],
            report_noise: [0.04, 0.19],
            drops_cancelled: true,
            drops_expired: true,
        }
    }
}

/// How a cold node warms up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WarmBy {
    /// Linearly over its cold time.
    Time,
    /// With the work that it does, and never slower than with time.
    #[default]
    Work,
}

/// The origin behind the nodes, which all proxies share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Origin {
    pub hall: Option<String>,
    /// Reads per second that it can serve. If absent, `headroom` times the load that a single warm cache as
    /// large as all stores together would leave to it, including writes.
    pub capacity_per_s: Option<f64>,
    pub headroom: f64,
    /// Service time of a read without waiting, and its spread (sigma of a lognormal).
    pub service_ms: f64,
    pub service_sigma: f64,
    /// Work of a write, in reads.
    pub write_work: f64,
    /// Length of the queue, as time at full capacity. Requests beyond that are rejected.
    pub queue_s: f64,
    /// Each waiting request per executed one costs this part of the speed.
    pub crowd_loss: f64,
    /// Waiting requests are dropped once nobody waits for the answer.
    pub drops_cancelled: bool,
    /// If it receives more than this multiple of its capacity for this long, it stops for some seconds, at
    /// most this many times per run. A multiple of 0 never stops it.
    pub fall_multiple: f64,
    pub fall_for_ms: f64,
    pub down_s: Range,
    pub most_stops: u32,
    pub connections: u32,
}

impl Default for Origin {
    fn default() -> Self {
        Origin {
            hall: None,
            capacity_per_s: None,
            headroom: 2.6,
            service_ms: 100.0,
            service_sigma: 0.6,
            write_work: 1.0,
            queue_s: 1.0,
            crowd_loss: 0.05,
            drops_cancelled: true,
            fall_multiple: 2.5,
            fall_for_ms: 3000.0,
            down_s: [3.0, 8.0],
            most_stops: 2,
            connections: 1000,
        }
    }
}

/// Delays of the node list. All are drawn for each change; each proxy learns of it at a slightly different
/// time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// Delay until a drain, a stop or a restart is noticed; until a vanished machine is; until a new node is.
    pub notice_s: Range,
    pub vanished_s: Range,
    pub added_s: Range,
    /// Additional delay per proxy.
    pub spread_ms: Range,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery {
            notice_s: [1.2, 4.9],
            vanished_s: [5.1, 14.0],
            added_s: [0.6, 1.9],
            spread_ms: [10.0, 120.0],
        }
    }
}

/// One-way delays, and failing connections.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    pub same_hall_ms: f64,
    pub cross_hall_ms: f64,
    pub client_ms: f64,
    /// Spread of each delay, as a part of it.
    pub jitter: f64,
    /// The part of the attempts whose connection breaks while in use.
    pub broken: f64,
}

impl Default for Network {
    fn default() -> Self {
        Network { same_hall_ms: 0.2, cross_hall_ms: 0.6, client_ms: 0.9, jitter: 0.2, broken: 0.0 }
    }
}

/// Who sends requests, for what, and how patiently. Arrivals are drawn in advance and do not wait for
/// answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// Requests per second over all proxies, without swings, surges and retries.
    pub rate_per_s: f64,
    pub classes: Vec<ClientClass>,
    pub tenants: Vec<Tenant>,
    pub popularity: Popularity,
    /// Maximum number of retries of a request, drawn per request.
    pub retries: Range,
    /// A try is given up after this part of the class's patience.
    pub try_part: Range,
    /// The backoff before the first retry; it doubles with each.
    pub backoff_ms: Range,
    /// The part of the clients that wait for as long as a refusal says.
    pub honour: f64,
    /// The rate swings by this part, with this period; 0 is steady.
    pub swing: f64,
    pub swing_s: f64,
    /// How unevenly requests are distributed over the zones: the part by which the first gets more.
    pub hall_skew: f64,
    pub front: Front,
}

impl Default for Clients {
    fn default() -> Self {
        let instruct = ClientClass {
            name: "instruct".into(),
            share: 0.09,
            aim_ms: 1200.0,
            patience_ms: 2500.0,
            worth: 3.0,
            repeat: Repeat::Keyed,
            window_ms: 4000.0,
            write: true,
            work_ms: 190.0,
            work: Spread::Pareto,
            work_cv: 1.8,
        };
        let tenant = |name: &str, share| Tenant { name: name.into(), share, usage: 1.0 };
        Clients {
            rate_per_s: 290.0,
            classes: vec![ClientClass::default(), instruct],
            tenants: vec![
                tenant("nordurbanki", 0.25),
                tenant("fjardasjodur", 0.23),
                tenant("hafnarbanki", 0.11),
                tenant("vesturbanki", 0.10),
                tenant("austursjodur", 0.07),
                tenant("dalasparisjodur", 0.07),
                tenant("eyjabanki", 0.07),
                tenant("heidisjodur", 0.06),
                tenant("strandarsjodur", 0.04),
            ],
            popularity: Popularity::default(),
            retries: [1.0, 2.99],
            try_part: [0.5, 0.8],
            backoff_ms: [30.0, 240.0],
            honour: 0.85,
            swing: 0.15,
            swing_s: 25.0,
            hall_skew: 0.1,
            front: Front::default(),
        }
    }
}

impl Clients {
    /// Mean work of a request that hits, in microseconds of a standard core.
    pub fn mean_work(&self) -> f64 {
        let shares: f64 = self.classes.iter().map(|c| c.share).sum();
        self.classes.iter().map(|c| c.share / shares * c.work_ms * 1e3).sum()
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClientClass {
    pub name: String,
    /// Share of all requests, relative to the sum of all shares.
    pub share: f64,
    /// An answer within `aim_ms` earns the worth; a client waits for `patience_ms` in total, over all its
    /// tries.
    pub aim_ms: f64,
    pub patience_ms: f64,
    pub worth: f64,
    pub repeat: Repeat,
    /// How long nodes drop repeats of a keyed request.
    pub window_ms: f64,
    /// It changes its key at the origin and invalidates the copies.
    pub write: bool,
    /// Work on a core of speed 1: its mean, distribution and coefficient of variation.
    pub work_ms: f64,
    pub work: Spread,
    pub work_cv: f64,
}

impl Default for ClientClass {
    fn default() -> Self {
        ClientClass {
            name: "lookup".into(),
            share: 0.91,
            aim_ms: 750.0,
            patience_ms: 2000.0,
            worth: 1.0,
            repeat: Repeat::Safe,
            window_ms: 0.0,
            write: false,
            work_ms: 90.0,
            work: Spread::Lognormal,
            work_cv: 1.6,
        }
    }
}

/// Whether a request may be executed again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    #[default]
    Safe,
    /// It carries an idempotency key; every node drops repeats of it for the class's window.
    Keyed,
    /// It must not be executed twice.
    Unsafe,
}

/// The family of a distribution.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Spread {
    Constant,
    Exponential,
    #[default]
    Lognormal,
    Pareto,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tenant {
    pub name: String,
    /// Its share of the service, relative to the sum of all shares.
    pub share: f64,
    /// Its traffic as a multiple of its share; above 1 others send less.
    pub usage: f64,
}

impl Default for Tenant {
    fn default() -> Self {
        Tenant { name: "tenant".into(), share: 1.0, usage: 1.0 }
    }
}

/// Key popularity: the probability of the k-th most popular key is proportional to `(k + offset)^-exponent`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Popularity {
    pub keys: u32,
    pub exponent: f64,
    pub offset: f64,
    /// The part of the ranks that are assigned to a new key per second.
    pub drift_per_s: f64,
    /// Size of a value in bytes: the mean, and the sigma of a lognormal. At most 64 KiB.
    pub value_bytes: f64,
    pub value_sigma: f64,
}

impl Default for Popularity {
    fn default() -> Self {
        Popularity {
            keys: 1_200,
            exponent: 1.0,
            offset: 5.0,
            drift_per_s: 0.0,
            value_bytes: 1024.0,
            value_sigma: 0.6,
        }
    }
}

/// The load balancer that spreads clients over the proxies of their zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Front {
    /// Delay until it notices that a proxy has died, or is back.
    pub notice_s: Range,
}

impl Default for Front {
    fn default() -> Self {
        Front { notice_s: [1.6, 3.5] }
    }
}

/// Parameters of the four rules, and of the worth beyond a tenant's share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Grace after the client's deadline within which a final answer is still in time.
    pub answer_grace_ms: f64,
    /// Grace after a proxy was told of a drain, for what it still sends.
    pub drain_grace_ms: f64,
    /// Has no effect; kept for files that set it. Only what a proxy's agent has counts as reported.
    pub told_latest_s: f64,
    /// What proxies are told about cold nodes: they start with at least this part of their capacity, and are
    /// warm after this time at the latest.
    pub cold_from: f64,
    pub cold_s: f64,
    /// A cold node that receives more than this multiple of what it can do, for this long, crashes.
    pub fall_multiple: f64,
    pub fall_for_ms: f64,
    /// Misses at cold nodes break the rule if they are more than this part of the reads that overloaded the
    /// origin, and more than this multiple of the reads due to those nodes.
    pub cold_miss_part: f64,
    pub cold_miss_multiple: f64,
    /// Requests per second within the tenants' shares, as a multiple of `clients.rate_per_s`; and the worth
    /// of requests beyond that.
    pub quota_multiple: f64,
    pub over_share_worth: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            answer_grace_ms: 20.0,
            drain_grace_ms: 2500.0,
            told_latest_s: 6.0,
            cold_from: 0.15,
            cold_s: 23.0,
            fall_multiple: 3.0,
            fall_for_ms: 1000.0,
            cold_miss_part: 0.3,
            cold_miss_multiple: 1.25,
            quota_multiple: 1.3,
            over_share_worth: 0.2,
        }
    }
}

/// Expected bounds of a run's results; absent ones are not checked. Broken rules always fail a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Expect {
    /// At least.
    pub served_worth: Option<f64>,
    /// At most, as parts of all requests.
    pub refused: Option<f64>,
    pub failed: Option<f64>,
    /// At most, over the run.
    pub ledger_reads: Option<u64>,
    pub ledger_stops: Option<u64>,
    /// At most, the ratio of a table's size at the end to that in the middle
    /// ([`crate::outcome::Sizes::grown`]).
    #[serde(skip_serializing_if = "Option::is_none")]
    pub growth: Option<f64>,
}
