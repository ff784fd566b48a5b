//! The memcached binary protocol, on both sides of the proxy: [`gateway`] is a port for gateways that speak
//! nothing else, [`node`] the dialect of cache nodes that do. The bytes are the package `memcached`'s.
//!
//! What it owns: what the protocol's commands mean here ([`mapping`]), how outcomes are told in it
//! ([`answers`]), who may ask ([`logins`]) and what may be looked up ([`stats`]). A read or a write becomes
//! a [`NewStream`] like any other; what becomes of it is the module's, here as on every port.
//!
//! When not to use it: for RESP, and for the text protocol, which is told off in a line. It keeps no values,
//! so commands that need one kept (ADD, INCR, TOUCH …) are not supported. docs/design/memcached.md has the
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

/// What operators say of the port.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    pub port: u16,
    /// The file of those who may ask. With one, nobody else may.
    pub passwords: Option<PathBuf>,
    /// Whose all requests are; without a file of passwords.
    pub tenant: Option<String>,
    /// The classes of reads and of writes, and how long a gateway waits for an answer.
    pub reads: Option<String>,
    pub writes: Option<String>,
    pub read_wait: Option<Micros>,
    pub write_wait: Option<Micros>,
}

/// The port's common part, behind all its connections.
pub struct PortState {
    words: RequestMapping,
    logins: Option<Logins>,
    pub stats: Stats,
    /// Streams that all connections have open or unread.
    open: Cell<usize>,
}

impl PortState {
    /// An error tells the setting that does not fit the site, or what is wrong with the file of passwords.
    /// `seed` is for the ids of requests, which this protocol has none of.
    pub fn new(settings: &Settings, site: &Site, seed: u64) -> Result<PortState, String> {
        let logins = settings.passwords.as_deref().map(|path| logins::load(path, site)).transpose()?;
        let words = RequestMapping::new(settings, site, seed)?;
        Ok(PortState { words, logins, stats: Stats::default(), open: Cell::new(0) })
    }

    /// How many logins were refused since this was told last, and the user of the last one, if known.
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

/// The same as the core knows them.
#[derive(Clone, Debug, Default)]
pub struct MemcachedNodes {
    kinds: Vec<KindId>,
    servers: Vec<ServerId>,
}

impl MemcachedNodes {
    /// A node with an id that nobody has is no error: discovery may list it later. A kind is one of the
    /// site's.
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
