//! The listening sockets: one port for each pair of node address and proxy, so that the port identifies both
//! ends of a connection; and one discovery port for each proxy.

use crate::loopback::socket::port::Port;
use crate::loopback::socket::Queue;
use async_executor::LocalExecutor;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use world::facts::{NodeNo, ProxyNo};
use world::world::World;

/// What a port belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    Node { node: NodeNo, address: u32 },
    Discovery,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PortState {
    Open,
    /// Connections are refused.
    Closed,
    /// Connection attempts get no answer.
    Silent,
}

#[derive(Debug)]
struct PortEntry {
    port: Port,
    owner: Owner,
    proxy: ProxyNo,
    state: PortState,
}

/// What runs at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct AddressState {
    node: NodeNo,
    zone: u16,
    up: bool,
    vanished: bool,
    /// It accepts no further connection until one ends.
    full: bool,
}

#[derive(Debug)]
pub struct PortTable {
    proxies: Vec<SocketAddr>,
    zones: Vec<u16>,
    entries: Vec<PortEntry>,
    /// Index of the port by address and proxy, and of the discovery port by proxy.
    by_address: BTreeMap<(u32, ProxyNo), usize>,
    discovery: Vec<usize>,
    addresses: BTreeMap<u32, AddressState>,
    /// Which pairs of zones cannot reach each other, as a matrix.
    cuts: Vec<bool>,
    changed: bool,
}

impl PortTable {
    pub fn new(world: &World, proxies: Vec<SocketAddr>) -> io::Result<Self> {
        let zones = world.scenario().halls.len();
        let mut ports = PortTable {
            zones: world.proxies().to_vec(),
            proxies,
            entries: Vec::new(),
            by_address: BTreeMap::new(),
            discovery: Vec::new(),
            addresses: BTreeMap::new(),
            cuts: vec![false; zones * zones],
            changed: true,
        };
        for proxy in 0..ports.zones.len() {
            let index = ports.add_entry(Owner::Discovery, ProxyNo(proxy as u32))?;
            ports.discovery.push(index);
        }
        Ok(ports)
    }

    fn add_entry(&mut self, owner: Owner, proxy: ProxyNo) -> io::Result<usize> {
        let number = self.entries.len();
        let port = Port::new(number)?;
        self.entries.push(PortEntry { port, owner, proxy, state: PortState::Closed });
        Ok(number)
    }

    /// A node, or the origin, starts at its address and replaces whatever was there.
    pub fn add(&mut self, world: &World, node: NodeNo) -> io::Result<()> {
        let member = world.member(node);
        let (address, zone) = (member.address, member.zone);
        for proxy in 0..self.zones.len() {
            let proxy = ProxyNo(proxy as u32);
            match self.by_address.get(&(address, proxy)) {
                Some(index) => self.entries[*index].owner = Owner::Node { node, address },
                None => {
                    let index = self.add_entry(Owner::Node { node, address }, proxy)?;
                    self.by_address.insert((address, proxy), index);
                }
            }
        }
        let state = AddressState { node, zone, up: true, vanished: false, full: false };
        self.addresses.insert(address, state);
        self.changed = true;
        Ok(())
    }

    fn update(&mut self, world: &World, node: NodeNo, update: impl FnOnce(&mut AddressState)) {
        // Another node may have taken over the address.
        let state = self.addresses.get_mut(&world.member(node).address).filter(|r| r.node == node);
        if let Some(state) = state {
            let before = *state;
            update(state);
            self.changed |= before != *state;
        }
    }

    pub fn set_up(&mut self, world: &World, node: NodeNo, up: bool) {
        self.update(world, node, |r| (r.up, r.full) = (up, false));
    }

    pub fn set_vanished(&mut self, world: &World, node: NodeNo) {
        self.update(world, node, |r| r.vanished = true);
    }

    pub fn set_full(&mut self, world: &World, node: NodeNo, full: bool) {
        self.update(world, node, |r| r.full = full);
    }

    /// Whether a connection between a proxy and a node passes nothing on.
    pub fn is_silent(&self, proxy: ProxyNo, zone: u16, address: u32, node: NodeNo) -> bool {
        let vanished = self.addresses.get(&address).is_some_and(|r| r.node == node && r.vanished);
        vanished || self.is_cut(proxy, zone)
    }

    fn is_cut(&self, proxy: ProxyNo, zone: u16) -> bool {
        let zones = self.cuts.len().isqrt();
        let here = self.zones.get(proxy.0 as usize).copied().unwrap_or(0);
        self.cuts.get(usize::from(here) * zones + usize::from(zone)).copied().unwrap_or(false)
    }

    /// Reads the state that the world reports no event for: cuts between zones, and whether the origin is up.
    pub fn refresh(&mut self, world: &World) {
        let zones = self.cuts.len().isqrt();
        for (i, stored) in self.cuts.iter_mut().enumerate() {
            let cut = world.network.is_cut((i / zones) as u16, (i % zones) as u16);
            self.changed |= cut != *stored;
            *stored = cut;
        }
        self.refresh_origin(world);
    }

    fn refresh_origin(&mut self, world: &World) {
        let up = world.origin().is_up();
        self.update(world, world::facts::ORIGIN, |r| r.up = up);
    }

    /// Whether ports and connections may be out of date.
    pub fn changed(&self) -> bool {
        self.changed
    }

    /// Opens, closes and silences ports according to the state of the world.
    pub fn apply(&mut self, world: &World, executor: &LocalExecutor<'_>, queue: &Queue) -> io::Result<()> {
        self.refresh_origin(world);
        self.changed = false;
        for i in 0..self.entries.len() {
            let (owner, proxy) = (self.entries[i].owner, self.entries[i].proxy);
            let state = match owner {
                Owner::Discovery => PortState::Open,
                Owner::Node { node, address } => match self.addresses.get(&address) {
                    Some(r) if self.is_silent(proxy, r.zone, address, node) => PortState::Silent,
                    Some(r) if r.up && !r.full => PortState::Open,
                    _ => PortState::Closed,
                },
            };
            let entry = &mut self.entries[i];
            if entry.state != state {
                match state {
                    PortState::Open => entry.port.open(executor, queue)?,
                    PortState::Closed => entry.port.close(),
                    PortState::Silent => entry.port.drop_syns()?,
                }
                entry.state = state;
            }
        }
        Ok(())
    }

    pub fn owner(&self, port: usize) -> Option<(Owner, ProxyNo)> {
        self.entries.get(port).map(|e| (e.owner, e.proxy))
    }

    pub fn proxy(&self, proxy: ProxyNo) -> SocketAddr {
        self.proxies.get(proxy.0 as usize).copied().unwrap_or_else(unreachable_address)
    }

    pub fn discovery(&self, proxy: ProxyNo) -> SocketAddr {
        let index = self.discovery.get(proxy.0 as usize);
        index.and_then(|i| self.entries.get(*i)).map_or_else(unreachable_address, |e| e.port.address())
    }

    /// Where a proxy reaches an address of the world.
    pub fn address(&self, address: u32, proxy: ProxyNo) -> SocketAddr {
        let index = self.by_address.get(&(address, proxy));
        index.and_then(|i| self.entries.get(*i)).map_or_else(unreachable_address, |e| e.port.address())
    }
}

/// An address without a listener, for anything that was never added.
fn unreachable_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}
