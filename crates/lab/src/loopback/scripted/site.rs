//! A site of scripted peers: cache nodes, the origin and discovery, and the proxy configuration that names
//! them.

use super::{Listener, Peer, Surprise};
use crate::loopback::settings;
use crate::loopback::socket::port::ReservedPort;
use std::net::SocketAddr;
use world::facts::{NodeNo, ProxyNo};
use world::world::Builder;

/// A port for everything that a proxy connects to. The members are those of a world; nothing else of it is
/// used.
#[derive(Debug)]
pub struct Site {
    /// In the order of the world's members.
    pub nodes: Vec<Listener>,
    pub ledger: Listener,
    pub discovery: Listener,
    proxy: ReservedPort,
    configuration: String,
}

impl Site {
    /// Opens the ports for a world with one or more proxies, as seen by the first proxy.
    pub fn open(world: Builder) -> Result<Self, Surprise> {
        let world = world
            .build(1)
            .map_err(|problem| Surprise::Other { wanted: "a world".into(), got: problem.to_string() })?;
        let nodes: Result<Vec<Listener>, _> = world.members().iter().map(|_| Listener::cache()).collect();
        let (nodes, ledger, discovery) = (nodes?, Listener::ledger()?, Listener::discovery()?);
        let proxy = ReservedPort::reserve()
            .map_err(|source| Surprise::Io { what: "cannot reserve a port".into(), source })?;
        let mut site = Site { nodes, ledger, discovery, proxy, configuration: String::new() };
        let start = settings::ProxyStart {
            proxy: ProxyNo(0),
            listen: site.proxy.address(),
            discovery: site.discovery.address(),
            seed: 1,
        };
        let address = |node: NodeNo| {
            site.nodes.get(node.0 as usize).map_or_else(|| site.ledger.address(), Listener::address)
        };
        let list = settings::serving_list(&world, address);
        site.configuration = settings::configuration(&world, start, &list).to_string();
        Ok(site)
    }

    /// The address on which the proxy must listen.
    pub fn proxy(&self) -> SocketAddr {
        self.proxy.address()
    }

    /// The proxy's configuration, as the platform provides it.
    pub fn configuration(&self) -> &str {
        &self.configuration
    }

    /// Accepts the proxy's watch on discovery and sends an empty line, so that the proxy becomes ready.
    pub fn welcome(&self) -> Result<Peer, Surprise> {
        let mut watch = self.discovery.accept()?;
        watch.expect_watch()?;
        watch.begin_watch()?;
        watch.tell("")?;
        Ok(watch)
    }
}
