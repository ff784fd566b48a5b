//! What is played, as a file of words and numbers: the size of the world, its machines, clients and faults.
//!
//! The types are those of a TOML file; every field but a fault's `kind` and `at_s` has a default, which together
//! resemble the operators' deployment (nine cache nodes in two halls, 290 requests a second). A unit is in each
//! name. A pair `[least, most]` is a range from which each thing draws its own value by the seed. Unknown fields
//! are errors. [`Scenario::validate`] finds what types cannot, and names the path of the wrong value.
//!
//! Both hosts play the same scenario. Nothing in here depends on how.

mod crowd;
mod faults;
pub(crate) mod validate;

pub use crowd::{Crowd, CrowdBehavior, EvictionPolicy};
pub use faults::{Fault, FaultKind, Reads};
pub use validate::Problem;

use serde::{Deserialize, Serialize};

/// From which a value is drawn evenly: the least and the most.
pub type Range = [f64; 2];

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    /// What it is for, for people.
    pub about: String,
    /// How long clients arrive. A run goes on until all that they asked for is over.
    pub seconds: f64,
    pub seed: u64,
    pub halls: Vec<String>,
    pub proxies: Proxies,
    /// The cache nodes at the start, by groups that are alike.
    pub nodes: Vec<NodeGroup>,
    pub ledger: Ledger,
    pub discovery: Discovery,
    pub network: Network,
    pub clients: Clients,
    /// Connections that want nothing; none if absent. Virtual time only.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub crowd: Option<Crowd>,
    /// How often the sizes of the proxies' tables are taken; never if absent. Virtual time only.
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
            ledger: Ledger::default(),
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

/// The proxies, spread over the halls in turn, and what their settings say of the site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Proxies {
    pub count: u32,
    /// Limits that are watched on loopback; the descriptors also bound the connections to nodes, as in service.
    pub memory_mb: u32,
    pub sockets: u32,
    /// The tick of the proxy's timers.
    pub period_ms: f64,
    pub max_attempts: u32,
    pub max_open: u32,
    pub second_copies: bool,
    pub cancelling: bool,
    pub probes: bool,
    /// What one probe a request costs, as a part of the service: the proxy weighs its probes by it.
    pub probe_price: f64,
    pub dial_timeout_ms: f64,
    /// The longest advice to stay away that clients are given; 0 gives none.
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

/// Cache nodes that are alike. A pair is drawn for each node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NodeGroup {
    /// The kind of machine, as discovery names it.
    pub kind: String,
    pub count: u32,
    /// Where they stand; over all halls in turn if absent.
    pub hall: Option<String>,
    pub cores: u32,
    /// Of a core: 1 does a millisecond of work in a millisecond. Nodes differ by the spread (a coefficient of
    /// variation).
    pub speed: f64,
    pub speed_spread: f64,
    /// Requests in work and requests that wait, for each core. What comes beyond that is turned away.
    pub slots_per_core: f64,
    pub waiting_per_core: Range,
    /// From this many requests held for each core on, every further one costs this part of the speed.
    pub crowd_from_per_core: Range,
    pub crowd_loss: Range,
    /// Work that a miss costs, as a part of the work of the request.
    pub miss_work: f64,
    /// All cores stand still now and then (a collection, a snapshot).
    pub pause_every_s: Range,
    pub pause_ms: Range,
    /// A node that starts has this part of its capacity, and all of it after this time, or by then at the latest
    /// where it warms with the work it has done.
    pub cold_from: Range,
    pub cold_s: Range,
    pub warm_by: WarmBy,
    /// Reads answered with an error, as a part.
    pub error_rate: Range,
    /// The store's memory, and how long it keeps a value (0: for good).
    pub store_kb: f64,
    pub ttl_s: f64,
    /// Connections that are accepted, what one costs in work, the part of the capacity that a full table takes,
    /// and when an idle one is closed.
    pub connections: u32,
    pub handshake_work_ms: Range,
    pub full_table_loss: Range,
    pub idle_close_s: f64,
    /// Work of a probe, and probes in hand for each core beyond which one is turned away.
    pub probe_work_ms: Range,
    pub probes_per_core: f64,
    /// Load reports: how often they are made anew, how late they are, and their noise (a part of the value).
    pub report_period_ms: Range,
    pub report_delay_ms: Range,
    pub report_noise: Range,
    /// Whether work that waits is dropped once nobody waits for it, and once its time is up.
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

/// How a cold node warms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WarmBy {
    /// Evenly over its cold time.
    Time,
    /// With the work that it does, and never slower than with time.
    #[default]
    Work,
}

/// The origin behind the nodes, which all proxies share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Ledger {
    pub hall: Option<String>,
    /// Reads a second that it can serve. Absent, it is `headroom` times what one warm cache as large as all
    /// stores together would leave to it, writes included.
    pub capacity_per_s: Option<f64>,
    pub headroom: f64,
    /// Time of a read without a wait, and its spread (sigma of a lognormal).
    pub service_ms: f64,
    pub service_sigma: f64,
    /// Work of a write, in reads.
    pub write_work: f64,
    /// What may wait, as time of its full capacity. Beyond that it turns away.
    pub queue_s: f64,
    /// Every request that waits, for each one in work, costs this part of the speed.
    pub crowd_loss: f64,
    /// Waiting work that nobody waits for any more is dropped.
    pub drops_cancelled: bool,
    /// Sent more than this multiple of its capacity for this long it stops for some seconds, at most so many
    /// times a run. A multiple of 0 never stops it.
    pub fall_multiple: f64,
    pub fall_for_ms: f64,
    pub down_s: Range,
    pub most_stops: u32,
    pub connections: u32,
}

impl Default for Ledger {
    fn default() -> Self {
        Ledger {
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

/// How late the list of nodes is. All times are drawn for each change; each proxy hears a little apart.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// Until a drain, a stop or a restart is told; until a machine that vanished is; until a new node is.
    pub notice_s: Range,
    pub vanished_s: Range,
    pub added_s: Range,
    /// From one proxy to the next.
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

/// One-way delays, and what gets lost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    pub same_hall_ms: f64,
    pub cross_hall_ms: f64,
    pub client_ms: f64,
    /// Spread of each delay, as a part of it.
    pub jitter: f64,
    /// Attempts whose connection breaks under way, as a part.
    pub broken: f64,
}

impl Default for Network {
    fn default() -> Self {
        Network { same_hall_ms: 0.2, cross_hall_ms: 0.6, client_ms: 0.9, jitter: 0.2, broken: 0.0 }
    }
}

/// Who asks, for what, and how patiently. Arrivals are drawn ahead and wait for nobody.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// Requests a second over all proxies, without waves, surges and retries.
    pub rate_per_s: f64,
    pub classes: Vec<ClientClass>,
    pub tenants: Vec<Tenant>,
    pub popularity: Popularity,
    /// Further tries of a request at most; a part of the clients makes fewer.
    pub retries: Range,
    /// A try is given up after this part of what is left of the class's patience when the request began.
    pub try_part: Range,
    /// The first wait before a retry; it doubles with each.
    pub backoff_ms: Range,
    /// Clients that stay away for as long as a refusal says, as a part.
    pub honour: f64,
    /// The rate swings by this part of it, once in this time; 0 is steady.
    pub swing: f64,
    pub swing_s: f64,
    /// How unevenly requests come to the halls: the part by which the first gets more.
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
    /// Work of a request that hits, on the mean, in microseconds of a standard core.
    pub fn mean_work(&self) -> f64 {
        let shares: f64 = self.classes.iter().map(|c| c.share).sum();
        self.classes.iter().map(|c| c.share / shares * c.work_ms * 1e3).sum()
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClientClass {
    pub name: String,
    /// Of all requests; shares are taken relative to their sum.
    pub share: f64,
    /// An answer within this time earns the worth; a client waits this long in all, over its tries.
    pub aim_ms: f64,
    pub patience_ms: f64,
    pub worth: f64,
    pub repeat: Repeat,
    /// How long nodes drop a repeat of a keyed request.
    pub window_ms: f64,
    /// It changes its key at the ledger and voids the copies of it.
    pub write: bool,
    /// Work on a core of speed 1: its mean, form and coefficient of variation.
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

/// Whether a request may run again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    #[default]
    Safe,
    /// It carries an idempotency key; every node drops a repeat of it for the class's window.
    Keyed,
    /// Never.
    Unsafe,
}

/// The form of a distribution.
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
    /// Its share of the service; shares are taken relative to their sum.
    pub share: f64,
    /// What it sends, as a multiple of its share: above 1 others send less.
    pub usage: f64,
}

impl Default for Tenant {
    fn default() -> Self {
        Tenant { name: "tenant".into(), share: 1.0, usage: 1.0 }
    }
}

/// Which keys are asked for: the k-th most popular in proportion to `(k + offset)^-exponent`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Popularity {
    pub keys: u32,
    pub exponent: f64,
    pub offset: f64,
    /// Ranks that pass to a new key in a second, as a part of all.
    pub drift_per_s: f64,
    /// Bytes of a value: the mean, and the sigma of a lognormal. At most 64 KiB.
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

/// What spreads clients over the proxies of their hall.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Front {
    /// Until it notices that a proxy is dead, or back.
    pub notice_s: Range,
}

impl Default for Front {
    fn default() -> Self {
        Front { notice_s: [1.6, 3.5] }
    }
}

/// The figures of the four rules, and of worth beyond a tenant's share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// After the client's deadline, for a final answer to be in time.
    pub answer_grace_ms: f64,
    /// After a proxy was told of a drain, for what it still sends.
    pub drain_grace_ms: f64,
    /// Binds nothing, and stays for files that name it: what a proxy's agent has counts as told, nothing else does.
    pub told_latest_s: f64,
    /// What proxies are told of cold nodes: they start at this part of their capacity at least, and are warm after
    /// this time at the latest.
    pub cold_from: f64,
    pub cold_s: f64,
    /// A cold node sent more than this multiple of what it can do, for this long, falls over.
    pub fall_multiple: f64,
    pub fall_for_ms: f64,
    /// Misses at cold nodes break the rule where they are over this part of what swamped the ledger, and over this
    /// multiple of the reads that are due to those nodes.
    pub cold_miss_part: f64,
    pub cold_miss_multiple: f64,
    /// Requests a second within the tenants' shares, as a multiple of `clients.rate_per_s`; worth beyond that.
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

/// Bounds that a run is held to; absent ones bind nothing. Broken rules always fail a run.
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
    /// At most, as the end of a table's sizes over their middle ([`crate::outcome::Sizes::grown`]).
    #[serde(skip_serializing_if = "Option::is_none")]
    pub growth: Option<f64>,
}
