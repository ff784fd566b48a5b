//! Connections between proxies and nodes, and the attempts on them: tables whose places are used again, and whose
//! numbers are not, so that what is on its way to one that is gone finds nothing.

use martenweir::core::ConnectionId;
use martenweir::interface::Micros;
use world::facts::{NodeNo, ProxyNo, TryNo};
use world::node::NodeRequest;

/// A number in a table: a place, and how often it was used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ref(u64);

impl Ref {
    pub fn number(self) -> u64 {
        self.0
    }

    pub fn from(number: u64) -> Self {
        Ref(number)
    }

    fn new(place: usize, used: u32) -> Self {
        Ref(place as u64 | u64::from(used) << 32)
    }

    fn place(self) -> usize {
        (self.0 & 0xffff_ffff) as usize
    }

    fn used(self) -> u32 {
        (self.0 >> 32) as u32
    }
}

/// Things by numbers that are never used twice (up to 2^32 times a place).
#[derive(Debug)]
pub struct Table<T> {
    places: Vec<(u32, Option<T>)>,
    free: Vec<usize>,
}

impl<T> Table<T> {
    pub fn new() -> Self {
        Table { places: Vec::new(), free: Vec::new() }
    }

    pub fn insert(&mut self, thing: T) -> Ref {
        let place = self.free.pop().unwrap_or_else(|| {
            self.places.push((0, None));
            self.places.len() - 1
        });
        let (used, slot) = &mut self.places[place];
        *slot = Some(thing);
        Ref::new(place, *used)
    }

    pub fn get(&self, r: Ref) -> Option<&T> {
        self.places.get(r.place()).filter(|(used, _)| *used == r.used())?.1.as_ref()
    }

    pub fn get_mut(&mut self, r: Ref) -> Option<&mut T> {
        self.places.get_mut(r.place()).filter(|(used, _)| *used == r.used())?.1.as_mut()
    }

    pub fn remove(&mut self, r: Ref) -> Option<T> {
        let (used, slot) = self.places.get_mut(r.place()).filter(|(used, _)| *used == r.used())?;
        let thing = slot.take()?;
        *used = used.wrapping_add(1);
        self.free.push(r.place());
        Some(thing)
    }

    /// All of a kind, in the order of their places.
    pub fn which(&self, wanted: impl Fn(&T) -> bool) -> Vec<Ref> {
        let with = |(i, (used, slot)): (usize, &(u32, Option<T>))| {
            slot.as_ref().filter(|t| wanted(t)).map(|_| Ref::new(i, *used))
        };
        self.places.iter().enumerate().filter_map(with).collect()
    }

    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.places.len() - self.free.len()
    }
}

/// A connection, as both of its ends see it.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    pub proxy: ProxyNo,
    pub connection: ConnectionId,
    pub node: NodeNo,
    /// The proxy has it open; and the node had accepted it.
    pub open: bool,
    pub accepted: bool,
    /// Something on it was lost on the way: it stays silent until it is broken.
    pub lost: bool,
    /// The node's end is gone, and the proxy will hear of it.
    pub broken: bool,
    pub attempt: Option<Ref>,
    /// Nothing overtakes on a connection: when the last message out, and the last one in, arrives.
    pub out_at: Micros,
    pub in_at: Micros,
}

/// An attempt, or a probe, that was written.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub link: Ref,
    /// `None` for a probe.
    pub of: Option<TryNo>,
    pub ask: NodeRequest,
    pub after: Option<NodeNo>,
}

#[cfg(test)]
mod tests;
