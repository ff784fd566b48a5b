//! The memcached binary protocol on both sides of the proxy: [`gateway`] serves a port for gateways that
//! speak nothing else, [`node`] talks to cache nodes that do. The package `memcached` encodes and decodes the
//! frames.
//!
//! This module maps the commands to streams ([`mapping`]), encodes their outcomes ([`answers`]),
//! authenticates clients ([`logins`]) and serves statistics ([`stats`]). A read or a write becomes a
//! [`NewStream`] like any other; the decision module handles it as on every port.
//!
//! It doesn't serve RESP or the text protocol, which gets one line of error. The proxy stores no values, so
//! commands that need one stored (ADD, INCR, TOUCH …) are not supported. docs/design/memcached.md has the
//! table.
//!
//! [`NewStream`]: crate::core::NewStream

pub mod answers;
mod arrivals;
pub mod gateway;
pub mod logins;
pub mod mapping;
pub mod node;
pub mod stats;

use crate::interface::{KindId, Micros, ServerId};
use crate::settings::Site;
use logins::Logins;
use mapping::RequestMapping;
use stats::Stats;
use std::cell::Cell;
use std::path::PathBuf;

/// The settings of the port.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    pub port: u16,
    /// The file of users and passwords. If set, every connection has to log in.
    pub passwords: Option<PathBuf>,
    /// The tenant of all requests, if there is no file of passwords.
    pub tenant: Option<String>,
    /// The classes of reads and writes, and how long a gateway waits for an answer.
    pub reads: Option<String>,
    pub writes: Option<String>,
    pub read_wait: Option<Micros>,
    pub write_wait: Option<Micros>,
}

/// The state that all connections of the port share.
pub struct PortState {
    mapping: RequestMapping,
    logins: Option<Logins>,
    pub stats: Stats,
    /// Streams of all connections that are open or not yet written out.
    open: Cell<usize>,
}

impl PortState {
    /// An error names the setting that doesn't fit the site, or what is wrong with the file of passwords.
    /// `seed` is for the ids of requests, which this protocol doesn't have.
    pub fn new(settings: &Settings, site: &Site, seed: u64) -> Result<PortState, String> {
        let logins = settings.passwords.as_deref().map(|path| logins::load(path, site)).transpose()?;
        let mapping = RequestMapping::new(settings, site, seed)?;
        Ok(PortState { mapping, logins, stats: Stats::default(), open: Cell::new(0) })
    }

    /// The number of logins refused since the last call, and the user of the last one, if known.
    pub fn take_refused(&self) -> Option<(u64, Option<String>)> {
        self.logins.as_ref().and_then(Logins::take_refused)
    }
}

/// The nodes that speak this protocol, as operators name them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeSettings {
    pub kinds: Vec<String>,
    pub ids: Vec<String>,
}

/// The nodes that speak this protocol, as the core identifies them.
#[derive(Clone, Debug, Default)]
pub struct MemcachedNodes {
    kinds: Vec<KindId>,
    servers: Vec<ServerId>,
}

impl MemcachedNodes {
    /// An unknown node id is no error, as discovery may list it later. A kind has to be one of the site's.
    pub fn new(nodes: &NodeSettings, site: &Site) -> Result<MemcachedNodes, String> {
        let kind = |name: &String| {
            let at = site.kinds.iter().position(|kind| kind == name).map(|at| KindId(at as u16));
            let at = at.ok_or_else(|| format!("memcachenodes: unknown kind {}", name.escape_debug()))?;
            match Some(at) == site.settings.origin_kind {
                true => Err(format!("memcachenodes: {name} is the origin's kind, which speaks HTTP")),
                false => Ok(at),
            }
        };
        let servers = nodes.ids.iter().map(|id| ServerId(crate::codec::discovery::hash_id(id.as_bytes())));
        Ok(MemcachedNodes {
            kinds: nodes.kinds.iter().map(kind).collect::<Result<_, _>>()?,
            servers: servers.collect(),
        })
    }

    pub fn contains(&self, server: ServerId, kind: KindId) -> bool {
        self.kinds.contains(&kind) || self.servers.contains(&server)
    }
}
