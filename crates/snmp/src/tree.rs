//! The instances of managed objects in a snapshot, in the order of walks. The tree is built on request when
//! the last one is too old. The instance after a name is found by binary search, so a walk terminates and
//! returns no instance twice, even if instances appear or disappear between two requests.
//!
//! The objects are described in `mibs/MARTENWEIR-MIB.txt`; a test compares the two.

use crate::snapshot::{Counts, Node, Snapshot, BUCKETS};
use crate::stats::{Notifications, Stats};
use crate::{Micros, Oid, Value};

/// The enterprise number that IANA reserves for documentation (RFC 5612).
pub const ENTERPRISE: u32 = 32473;
/// Maximum number of rows in the node table, in the request table, and in the tables of planners, forwarders
/// and receivers.
pub const MAX_NODE_ROWS: usize = 256;
const MAX_REQUEST_ROWS: usize = 1024;
const MAX_OTHER_ROWS: usize = 256;
/// Readable columns by group and table: group, table, first and last column.
const TABLES: [(u32, u32, u32, u32); 8] = [
    (2, 6, 2, 16),
    (3, 1, 3, 8),
    (3, 2, 2, 2),
    (4, 1, 2, 7),
    (4, 2, 2, 2),
    (8, 4, 2, 7),
    (8, 5, 2, 6),
    (9, 3, 2, 8),
];
/// Maximum length of an index made from a node's id, and from the name of a class or a tenant.
const MAX_NODE_INDEX: usize = 64;
const MAX_NAME_INDEX: usize = 32;

/// Data of the agent itself that is not part of a snapshot.
#[derive(Clone, Debug, Default)]
pub struct AgentInfo {
    /// The enterprise number under which the MIB is registered.
    pub enterprise: u32,
    /// snmpEngineID, snmpEngineBoots and snmpEngineTime.
    pub engine: (Vec<u8>, u32, u32),
    /// Maximum size of a message that the agent accepts.
    pub max_message_size: u32,
    /// sysContact.
    pub contact: String,
    /// sysLocation.
    pub location: String,
    /// The agent's counters.
    pub stats: Stats,
    /// Counters of its notifications.
    pub notifications: Notifications,
}

/// The root of the MIB.
pub fn root(enterprise: u32) -> Oid {
    Oid::enterprises().child(&[enterprise, 1])
}

/// All instances and their values, in order.
#[derive(Clone, Debug, Default)]
pub struct Tree {
    instances: Vec<(Oid, Value)>,
}

/// Shortens a name for use as an index: a name longer than `most` is cut and made unique by a hash (FNV-1a)
/// of the whole name.
fn shortened(name: &str, max_len: usize) -> Vec<u8> {
    let bytes = name.as_bytes();
    if bytes.len() <= max_len {
        return bytes.to_vec();
    }
    let hash =
        bytes.iter().fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x100_0000_01b3));
    let mut cut = bytes[..max_len - 17].to_vec();
    cut.extend(format!("#{hash:016x}").bytes());
    cut
}

/// Encodes a string as an index: its length, then its bytes (RFC 2578, 7.7).
fn index(name: &str, max_len: usize) -> Vec<u32> {
    let bytes = shortened(name, max_len);
    std::iter::once(bytes.len() as u32).chain(bytes.into_iter().map(u32::from)).collect()
}

/// The index of a node's row, also used in notifications about the node.
pub fn node_index(name: &str) -> Vec<u32> {
    index(name, MAX_NODE_INDEX)
}

fn micros(span: Micros) -> Value {
    Value::gauge(span.max(0) as u64)
}

fn scaled(x: f64, by: f64) -> Value {
    Value::gauge((x * by).clamp(0.0, f64::from(u32::MAX)) as u64)
}

/// Milliseconds since `then`; the maximum if it never happened.
fn age(now: Micros, then: Option<Micros>) -> Value {
    then.map_or(Value::Gauge(u32::MAX), |then| Value::gauge(((now - then).max(0) / 1000) as u64))
}

/// Adds instances below one name.
struct InstanceWriter<'a> {
    instances: &'a mut Vec<(Oid, Value)>,
    root: Oid,
}

impl InstanceWriter<'_> {
    /// Adds scalars: the first value is object `from`, the next `from` + 1, and so on.
    fn scalars(&mut self, from: u32, values: impl IntoIterator<Item = Value>) {
        for (object, value) in (from..).zip(values) {
            self.instances.push((self.root.child(&[object, 0]), value));
        }
    }

    /// Adds a row to the table that is object `table`: the first value belongs to column `from`.
    fn row(&mut self, table: u32, index: &[u32], from: u32, values: impl IntoIterator<Item = Value>) {
        for (column, value) in (from..).zip(values) {
            self.instances.push((self.root.child(&[table, 1, column]).child(index), value));
        }
    }
}

impl Tree {
    /// Builds the instances of a snapshot, with ages relative to `now`.
    pub fn build(now: Micros, s: &Snapshot, info: &AgentInfo) -> Tree {
        let mut instances =
            Vec::with_capacity(256 + s.nodes.len().min(MAX_NODE_ROWS) * 16 + s.requests.len() * 6);
        standard(&mut instances, now, s, info);
        let root = root(info.enterprise);
        let objects = root.child(&[1]);
        let mut group = |group: u32, fill: &dyn Fn(&mut InstanceWriter)| {
            fill(&mut InstanceWriter { instances: &mut instances, root: objects.child(&[group]) });
        };
        group(1, &|b| proxy(b, now, s));
        group(2, &|b| nodes(b, now, s));
        group(3, &|b| requests(b, s));
        group(4, &|b| times(b, s));
        group(5, &|b| connections(b, s));
        group(6, &|b| origin(b, s));
        group(7, &|b| discovery(b, now, s));
        group(8, &|b| plans(b, now, s));
        group(9, &|b| notifications(b, &info.notifications));
        instances.sort_by(|a, b| a.0.cmp(&b.0));
        // If two names are shortened to the same index, the first row is kept.
        instances.dedup_by(|a, b| a.0 == b.0);
        Tree { instances }
    }

    /// The value of an instance.
    pub fn get(&self, name: &Oid) -> Option<&Value> {
        let at = self.instances.binary_search_by(|(n, _)| n.cmp(name)).ok()?;
        self.instances.get(at).map(|(_, v)| v)
    }

    /// The instances after a name, in order.
    pub fn after(&self, name: &Oid) -> &[(Oid, Value)] {
        let at = self.instances.partition_point(|(n, _)| n <= name);
        self.instances.get(at..).unwrap_or_default()
    }

    /// Whether a name that is not an instance belongs to an existing object: a scalar, or a column, even if
    /// its table has no rows.
    pub fn has_object(&self, enterprise: u32, name: &Oid) -> bool {
        let mib_root = root(enterprise);
        let below = name.arcs().get(mib_root.arcs().len()..).filter(|_| name.is_under(&mib_root));
        if let Some([1, group, table, 1, column, ..]) = below {
            let in_columns =
                |t: &(u32, u32, u32, u32)| (t.0, t.1) == (*group, *table) && (t.2..=t.3).contains(column);
            return TABLES.iter().any(in_columns);
        }
        let scalar = match below {
            Some([1, group, scalar, ..]) => Some(mib_root.child(&[1, *group, *scalar])),
            Some(_) => None,
            None => name.arcs().split_last().and_then(|(_, object)| Oid::new(object)),
        };
        scalar.is_some_and(|object| self.get(&object.child(&[0])).is_some())
    }
}

fn standard(instances: &mut Vec<(Oid, Value)>, now: Micros, s: &Snapshot, info: &AgentInfo) {
    let mut put = |arcs: &[u32], from: u32, values: &[Value]| {
        let Some(root) = Oid::new(arcs) else { return };
        InstanceWriter { instances, root }.scalars(from, values.iter().cloned());
    };
    let up = Value::ticks(now - s.started);
    let about = format!("martenweir {}, a proxy before cache nodes and a ledger", s.version);
    let product = Value::Oid(root(info.enterprise).child(&[3, 1]));
    let system = [
        Value::text(&about),
        product,
        up,
        Value::text(&info.contact),
        Value::text(&s.name),
        Value::text(&info.location),
        // Layers 4 and 7 (RFC 3418, sysServices).
        Value::Integer(72),
    ];
    put(&[1, 3, 6, 1, 2, 1, 1], 1, &system);
    let c = info.stats;
    put(&[1, 3, 6, 1, 2, 1, 11], 1, &[Value::Counter(c.in_packets)]);
    let names = [c.bad_versions, c.bad_community_names, c.bad_community_uses, c.parse_errors];
    put(&[1, 3, 6, 1, 2, 1, 11], 3, &names.map(Value::Counter));
    // snmpEnableAuthenTraps is disabled(2): anyone who can send datagrams could cause a flood of
    // authenticationFailure traps.
    let traps = [Value::Integer(2), Value::Counter(c.silent_drops), Value::Counter(0)];
    put(&[1, 3, 6, 1, 2, 1, 11], 30, &traps);
    let (id, boots, time) = &info.engine;
    let number = |n: u32| Value::Integer(n.min(i32::MAX as u32) as i32);
    let engine = [Value::Octets(id.clone()), number(*boots), number(*time), number(info.max_message_size)];
    put(&[1, 3, 6, 1, 6, 3, 10, 2, 1], 1, &engine);
    let processing = [c.unknown_security_models, c.invalid_messages, c.unknown_pdu_handlers];
    put(&[1, 3, 6, 1, 6, 3, 11, 2, 1], 1, &processing.map(Value::Counter));
    put(&[1, 3, 6, 1, 6, 3, 12, 1], 4, &[0, c.unknown_contexts].map(Value::Counter));
    let usm = [
        c.unsupported_levels,
        c.not_in_time_windows,
        c.unknown_user_names,
        c.unknown_engine_ids,
        c.wrong_digests,
        c.decryption_errors,
    ];
    put(&[1, 3, 6, 1, 6, 3, 15, 1, 1], 1, &usm.map(Value::Counter));
}

fn proxy(b: &mut InstanceWriter, now: Micros, s: &Snapshot) {
    b.scalars(
        1,
        [
            Value::text(&s.name),
            Value::text(&s.version),
            Value::Integer(s.role as i32),
            Value::text(&s.zone),
            Value::date(s.started_unix),
            Value::ticks(now - s.started),
            // Counters start with the program, as sysUpTime does.
            Value::Ticks(0),
            Value::truth(s.ready),
            Value::Counter64(s.reloads),
            age(now, Some(s.at)),
        ],
    );
}

fn nodes(b: &mut InstanceWriter, now: Micros, s: &Snapshot) {
    let (serving, usable) = s.fleet();
    let listed = s.nodes.iter().filter(|n| n.phase != crate::snapshot::Phase::Gone).count();
    let left_out = s.nodes.len().saturating_sub(MAX_NODE_ROWS);
    b.scalars(1, [listed as u32, serving, usable, s.bound(), left_out as u32].map(Value::Gauge));
    for node in s.nodes.iter().take(MAX_NODE_ROWS) {
        b.row(6, &node_index(&node.name), 2, node_row(now, s, node));
    }
}

fn node_row(now: Micros, s: &Snapshot, n: &Node) -> [Value; 15] {
    let utilisation = n.utilisation.map_or(-1, |(u, _)| (u.clamp(0.0, 100.0) * 1000.0) as i32);
    [
        Value::text(&n.address),
        Value::text(&n.zone),
        Value::text(&n.kind),
        Value::Integer(n.phase as i32),
        Value::Integer(n.state as i32),
        Value::Gauge(n.outstanding),
        Value::Gauge(n.connections),
        Value::Integer(utilisation),
        age(now, n.utilisation.map(|(_, at)| at)),
        Value::Counter64(n.served),
        Value::Counter64(n.missed),
        Value::Counter64(n.refused),
        Value::Counter64(n.failed),
        Value::ticks(n.changed - s.started),
        Value::ticks(n.since - s.started),
    ]
}

/// The state of a node as in its column, for notifications.
pub fn node_state(state: crate::snapshot::State) -> Value {
    Value::Integer(state as i32)
}

fn requests(b: &mut InstanceWriter, s: &Snapshot) {
    for row in s.requests.iter().take(MAX_REQUEST_ROWS) {
        let mut at = index(&row.class, MAX_NAME_INDEX);
        at.extend(index(&row.tenant, MAX_NAME_INDEX));
        let Counts { served, refused, failed, left, retried, joined } = row.counts;
        b.row(1, &at, 3, [served, refused, failed, left, retried, joined].map(Value::Counter64));
    }
    for (reason, n) in (1..).zip(s.refusals) {
        b.row(2, &[reason], 2, [Value::Counter64(n)]);
    }
    let (taken, overdue) = (Value::Counter64(s.taken), Value::Counter64(s.overdue));
    b.scalars(3, [taken, Value::gauge(s.streams), Value::gauge(s.streams_limit), overdue]);
}

fn times(b: &mut InstanceWriter, s: &Snapshot) {
    for class in s.times.iter().take(MAX_REQUEST_ROWS) {
        let at = index(&class.class, MAX_NAME_INDEX);
        let [p50, p90, p99, p999] = class.percentiles.map(micros);
        b.row(1, &at, 2, [Value::gauge(class.recent), micros(class.mean), p50, p90, p99, p999]);
        for (up_to, n) in BUCKETS.into_iter().zip(class.histogram) {
            let mut at = at.clone();
            at.push(up_to);
            b.row(2, &at, 2, [Value::Counter64(n)]);
        }
    }
}

fn connections(b: &mut InstanceWriter, s: &Snapshot) {
    let c = s.connections;
    let counters = [c.downstreams_refused, c.downstreams_silent].map(Value::Counter64);
    b.scalars(1, [c.downstreams, c.downstreams_limit].map(Value::gauge).into_iter().chain(counters));
    let counters =
        [c.dials, c.unconnected, c.resets, c.timeouts, c.requests, c.probes, c.downstreams_made_room];
    let counters = counters.map(Value::Counter64);
    b.scalars(5, [c.upstreams, c.upstreams_limit].map(Value::gauge).into_iter().chain(counters));
}

fn origin(b: &mut InstanceWriter, s: &Snapshot) {
    let l = s.origin;
    b.scalars(
        1,
        [
            Value::Integer(l.state as i32),
            Value::Gauge(l.outstanding),
            scaled(l.window, 100.0),
            Value::Gauge(l.waiting),
            micros(l.mean_latency.unwrap_or(0)),
            scaled(l.latency_ratio, 100.0),
            scaled(l.failure_ratio, 1000.0),
        ],
    );
}

fn discovery(b: &mut InstanceWriter, now: Micros, s: &Snapshot) {
    let d = s.discovery;
    b.scalars(
        1,
        [
            Value::Counter64(d.revision),
            age(now, d.heard),
            age(now, d.told),
            Value::Counter64(d.changes),
            Value::Counter64(d.ended),
        ],
    );
}

fn plans(b: &mut InstanceWriter, now: Micros, s: &Snapshot) {
    let p = &s.plans;
    let reachable = p.planners.iter().filter(|p| p.reachable).count();
    let refused = p.planners.iter().map(|p| p.refused).sum();
    b.scalars(1, [Value::truth(p.in_force), Value::gauge(reachable as u64), Value::Counter64(refused)]);
    for p in p.planners.iter().take(MAX_OTHER_ROWS) {
        let columns = [
            Value::text(&p.address),
            Value::truth(p.reachable),
            Value::Counter64(p.epoch),
            Value::Counter64(p.number),
            age(now, p.told),
            Value::Counter64(p.refused),
        ];
        b.row(4, &[p.index], 2, columns);
    }
    for f in p.forwarders.iter().take(MAX_OTHER_ROWS) {
        let columns = [
            Value::text(&f.name),
            Value::text(&f.zone),
            age(now, f.heard),
            Value::Gauge(f.silent),
            Value::Gauge(f.rate),
        ];
        b.row(5, &[f.index], 2, columns);
    }
}

fn notifications(b: &mut InstanceWriter, n: &Notifications) {
    b.scalars(1, [Value::Counter(n.sequence), Value::Counter64(n.held)]);
    for (at, r) in (1..).zip(n.receivers.iter().take(MAX_OTHER_ROWS)) {
        let counters = [r.sent, r.acknowledged, r.resent, r.dropped].map(Value::Counter64);
        let columns = [Value::text(&r.address), Value::truth(r.informs), Value::gauge(r.queued)];
        b.row(3, &[at], 2, columns.into_iter().chain(counters));
    }
}
