//! Who listens where: a port for each address of a node and each proxy, so that a connection tells whose it is; and
//! a port of discovery for each proxy.

use crate::loopback::socket::door::Door;
use crate::loopback::socket::Queue;
use async_executor::LocalExecutor;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use world::facts::{NodeNo, ProxyNo};
use world::world::World;

/// Whose a door is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    Node { node: NodeNo, address: u32 },
    Discovery,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Open,
    /// Nobody listens.
    Closed,
    /// Nothing comes back.
    Silent,
}

#[derive(Debug)]
struct Entrance {
    door: Door,
    owner: Owner,
    proxy: ProxyNo,
    state: State,
}

/// What is at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Resident {
    node: NodeNo,
    hall: u16,
    up: bool,
    vanished: bool,
    /// It takes no further connection until one ends.
    full: bool,
}

#[derive(Debug)]
pub struct Doors {
    proxies: Vec<SocketAddr>,
    halls: Vec<u16>,
    entrances: Vec<Entrance>,
    /// By address and proxy, and of discovery by proxy.
    at: BTreeMap<(u32, ProxyNo), usize>,
    discovery: Vec<usize>,
    residents: BTreeMap<u32, Resident>,
    /// Which halls do not reach one another, as a matrix.
    cuts: Vec<bool>,
    changed: bool,
}

impl Doors {
    pub fn new(world: &World, proxies: Vec<SocketAddr>) -> io::Result<Self> {
        let halls = world.scenario().halls.len();
        let mut doors = Doors {
            halls: world.proxies().to_vec(),
            proxies,
            entrances: Vec::new(),
            at: BTreeMap::new(),
            discovery: Vec::new(),
            residents: BTreeMap::new(),
            cuts: vec![false; halls * halls],
            changed: true,
        };
        for proxy in 0..doors.halls.len() {
            let place = doors.entrance(Owner::Discovery, ProxyNo(proxy as u32))?;
            doors.discovery.push(place);
        }
        Ok(doors)
    }

    fn entrance(&mut self, owner: Owner, proxy: ProxyNo) -> io::Result<usize> {
        let number = self.entrances.len();
        let door = Door::new(number)?;
        self.entrances.push(Entrance { door, owner, proxy, state: State::Closed });
        Ok(number)
    }

    /// A node, or the ledger, runs at its address, in place of whatever was there.
    pub fn add(&mut self, world: &World, node: NodeNo) -> io::Result<()> {
        let member = world.member(node);
        let (address, hall) = (member.address, member.zone);
        for proxy in 0..self.halls.len() {
            let proxy = ProxyNo(proxy as u32);
            match self.at.get(&(address, proxy)) {
                Some(place) => self.entrances[*place].owner = Owner::Node { node, address },
                None => {
                    let place = self.entrance(Owner::Node { node, address }, proxy)?;
                    self.at.insert((address, proxy), place);
                }
            }
        }
        let resident = Resident { node, hall, up: true, vanished: false, full: false };
        self.residents.insert(address, resident);
        self.changed = true;
        Ok(())
    }

    fn change(&mut self, world: &World, node: NodeNo, how: impl FnOnce(&mut Resident)) {
        // Another one may have its address by now.
        let resident = self.residents.get_mut(&world.member(node).address).filter(|r| r.node == node);
        if let Some(resident) = resident {
            let before = *resident;
            how(resident);
            self.changed |= before != *resident;
        }
    }

    pub fn up(&mut self, world: &World, node: NodeNo, up: bool) {
        self.change(world, node, |r| (r.up, r.full) = (up, false));
    }

    pub fn vanished(&mut self, world: &World, node: NodeNo) {
        self.change(world, node, |r| r.vanished = true);
    }

    pub fn full(&mut self, world: &World, node: NodeNo, full: bool) {
        self.change(world, node, |r| r.full = full);
    }

    /// Whether a connection between a proxy and a node passes nothing on.
    pub fn is_silent(&self, proxy: ProxyNo, hall: u16, address: u32, node: NodeNo) -> bool {
        let vanished = self.residents.get(&address).is_some_and(|r| r.node == node && r.vanished);
        vanished || self.is_cut(proxy, hall)
    }

    fn is_cut(&self, proxy: ProxyNo, hall: u16) -> bool {
        let halls = self.cuts.len().isqrt();
        let here = self.halls.get(proxy.0 as usize).copied().unwrap_or(0);
        self.cuts.get(usize::from(here) * halls + usize::from(hall)).copied().unwrap_or(false)
    }

    /// Looks at what the world tells nobody when it changes: cuts between halls, and whether the ledger is up.
    pub fn watch(&mut self, world: &World) {
        let halls = self.cuts.len().isqrt();
        for (i, known) in self.cuts.iter_mut().enumerate() {
            let cut = world.network.is_cut((i / halls) as u16, (i % halls) as u16);
            self.changed |= cut != *known;
            *known = cut;
        }
        self.up_ledger(world);
    }

    fn up_ledger(&mut self, world: &World) {
        let up = world.origin().is_up();
        self.change(world, world::facts::ORIGIN, |r| r.up = up);
    }

    /// Whether doors and links may be other than the world has it.
    pub fn changed(&self) -> bool {
        self.changed
    }

    /// Opens, closes and silences doors as the world has it.
    pub fn settle(&mut self, world: &World, executor: &LocalExecutor<'_>, queue: &Queue) -> io::Result<()> {
        self.up_ledger(world);
        self.changed = false;
        for i in 0..self.entrances.len() {
            let (owner, proxy) = (self.entrances[i].owner, self.entrances[i].proxy);
            let state = match owner {
                Owner::Discovery => State::Open,
                Owner::Node { node, address } => match self.residents.get(&address) {
                    Some(r) if self.is_silent(proxy, r.hall, address, node) => State::Silent,
                    Some(r) if r.up && !r.full => State::Open,
                    _ => State::Closed,
                },
            };
            let entrance = &mut self.entrances[i];
            if entrance.state != state {
                match state {
                    State::Open => entrance.door.open(executor, queue)?,
                    State::Closed => entrance.door.close(),
                    State::Silent => entrance.door.plug()?,
                }
                entrance.state = state;
            }
        }
        Ok(())
    }

    pub fn owner(&self, door: usize) -> Option<(Owner, ProxyNo)> {
        self.entrances.get(door).map(|e| (e.owner, e.proxy))
    }

    pub fn proxy(&self, proxy: ProxyNo) -> SocketAddr {
        self.proxies.get(proxy.0 as usize).copied().unwrap_or_else(nowhere)
    }

    pub fn discovery(&self, proxy: ProxyNo) -> SocketAddr {
        let place = self.discovery.get(proxy.0 as usize);
        place.and_then(|i| self.entrances.get(*i)).map_or_else(nowhere, |e| e.door.address())
    }

    /// Where a proxy finds an address of the world.
    pub fn address(&self, address: u32, proxy: ProxyNo) -> SocketAddr {
        let place = self.at.get(&(address, proxy));
        place.and_then(|i| self.entrances.get(*i)).map_or_else(nowhere, |e| e.door.address())
    }
}

/// Where nobody listens: of what was never added.
fn nowhere() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}
