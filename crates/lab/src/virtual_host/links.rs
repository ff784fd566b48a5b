//! Tables of the connections between proxies and nodes and of the attempts on them. Slots are reused, but
//! handles are not: an event for an entry that was removed finds nothing.

use martenweir::core::ConnectionId;
use martenweir::interface::Micros;
use world::facts::{NodeNo, ProxyNo, TryNo};
use world::node::NodeRequest;

/// A handle of an entry: the index of its slot, and the generation, which counts how often the slot was
/// reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Handle(u64);

impl Handle {
    pub fn number(self) -> u64 {
        self.0
    }

    pub fn from(number: u64) -> Self {
        Handle(number)
    }

    fn new(index: usize, generation: u32) -> Self {
        Handle(index as u64 | u64::from(generation) << 32)
    }

    fn index(self) -> usize {
        (self.0 & 0xffff_ffff) as usize
    }

    fn generation(self) -> u32 {
        (self.0 >> 32) as u32
    }
}

/// A table whose handles are unique until a slot has been reused 2^32 times.
#[derive(Debug)]
pub struct SlotTable<T> {
    slots: Vec<(u32, Option<T>)>,
    free: Vec<usize>,
}

impl<T> SlotTable<T> {
    pub fn new() -> Self {
        SlotTable { slots: Vec::new(), free: Vec::new() }
    }

    pub fn insert(&mut self, entry: T) -> Handle {
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push((0, None));
            self.slots.len() - 1
        });
        let (generation, slot) = &mut self.slots[index];
        *slot = Some(entry);
        Handle::new(index, *generation)
    }

    pub fn get(&self, handle: Handle) -> Option<&T> {
        self.slots
            .get(handle.index())
            .filter(|(generation, _)| *generation == handle.generation())?
            .1
            .as_ref()
    }

    pub fn get_mut(&mut self, handle: Handle) -> Option<&mut T> {
        self.slots
            .get_mut(handle.index())
            .filter(|(generation, _)| *generation == handle.generation())?
            .1
            .as_mut()
    }

    pub fn remove(&mut self, handle: Handle) -> Option<T> {
        let (generation, slot) = self
            .slots
            .get_mut(handle.index())
            .filter(|(generation, _)| *generation == handle.generation())?;
        let entry = slot.take()?;
        *generation = generation.wrapping_add(1);
        self.free.push(handle.index());
        Some(entry)
    }

    /// Returns the handles of all matching entries, in the order of their slots.
    pub fn find_all(&self, matches: impl Fn(&T) -> bool) -> Vec<Handle> {
        let matching = |(i, (generation, slot)): (usize, &(u32, Option<T>))| {
            slot.as_ref().filter(|t| matches(t)).map(|_| Handle::new(i, *generation))
        };
        self.slots.iter().enumerate().filter_map(matching).collect()
    }

    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }
}

/// A connection, with the state at both of its ends.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    pub proxy: ProxyNo,
    pub connection: ConnectionId,
    pub node: NodeNo,
    /// Whether the proxy holds it open.
    pub open: bool,
    /// Whether the node has accepted it.
    pub accepted: bool,
    /// Whether a message on it was lost. It then carries nothing more, until it breaks when the cut is over.
    pub lost: bool,
    /// Whether the node's end is gone, which the proxy will detect.
    pub broken: bool,
    pub attempt: Option<Handle>,
    /// When the last message from the proxy and the last one to it arrive: messages on a connection stay in
    /// order.
    pub out_at: Micros,
    pub in_at: Micros,
}

/// An attempt or a probe that a proxy has written.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub link: Handle,
    /// `None` for a probe.
    pub of: Option<TryNo>,
    pub node_request: NodeRequest,
    pub after: Option<NodeNo>,
}

#[cfg(test)]
mod tests;
