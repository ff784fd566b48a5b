//! The listed servers, stored in slots: looked up by id in constant time, iterated in the order of
//! ids, with origins kept separately and caches placed in the [`placement::Index`].
//!
//! This type owns the slots and keeps the index consistent with them. It does not decide a server's
//! weight or whether it may be used.

use crate::id_map::IdMap;
use crate::interface::*;
use crate::state::{mix, Server};
use placement::{Index, Place, Ranked, FAR, NEAR};

#[derive(Default)]
pub struct Servers {
    slots: Vec<Option<Server>>,
    free: Vec<u32>,
    slot_by_id: IdMap<ServerId, u32>,
    /// Sorted by id.
    order: Vec<(ServerId, u32)>,
    origins: Vec<u32>,
    index: Index,
}

impl Servers {
    pub fn get(&self, id: &ServerId) -> Option<&Server> {
        self.slots.get(*self.slot_by_id.get(id)? as usize)?.as_ref()
    }

    pub fn get_mut(&mut self, id: &ServerId) -> Option<&mut Server> {
        self.slots.get_mut(*self.slot_by_id.get(id)? as usize)?.as_mut()
    }

    /// Inserts a server, replacing one with the same id.
    pub fn insert(&mut self, id: ServerId, server: Server) {
        if let Some(s) = self.get_mut(&id) {
            *s = server;
            return;
        }
        let slot = self.free.pop().unwrap_or(self.slots.len() as u32);
        match self.slots.get_mut(slot as usize) {
            Some(free) => *free = Some(server),
            None => self.slots.push(Some(server)),
        }
        self.slot_by_id.insert(id, slot);
        self.order.insert(self.order.partition_point(|(other, _)| *other < id), (id, slot));
    }

    /// Keeps the servers for which `keep` returns true. Slots are only freed here.
    pub fn retain(&mut self, mut keep: impl FnMut(&ServerId, &Server) -> bool) {
        let Servers { slots, free, slot_by_id, order, origins, index } = self;
        order.retain(|(id, slot)| {
            let entry = &mut slots[*slot as usize];
            if entry.as_ref().is_some_and(|s| keep(id, s)) {
                return true;
            }
            *entry = None;
            slot_by_id.remove(id);
            free.push(*slot);
            origins.retain(|o| o != slot);
            index.set(*slot, None);
            false
        });
        index.update_floors();
    }

    /// The number of slots (used or free), placed servers, keys with cached candidates, and
    /// entries in the log of placement changes.
    pub fn sizes(&self) -> [usize; 4] {
        let (keys, changes) = self.index.cache_sizes();
        [self.slots.len(), self.index.len(), keys, changes]
    }

    /// All servers, in the order of ids.
    pub fn values(&self) -> impl Iterator<Item = &Server> {
        self.order.iter().filter_map(|(_, slot)| self.slots[*slot as usize].as_ref())
    }

    /// Applies `change` to each server, in the order of ids, and updates its placement.
    pub fn change(&mut self, zone: ZoneId, mut change: impl FnMut(&mut Server)) {
        self.origins.clear();
        for (id, slot) in &self.order {
            let Some(s) = self.slots[*slot as usize].as_mut() else { continue };
            change(s);
            if s.origin {
                self.origins.push(*slot);
            }
            let side = if s.member.zone == zone { NEAR } else { FAR };
            let placed = !s.origin && s.member.phase == Phase::Ready;
            let place = Place { side, weight: s.listed_weight, id_hash: mix(id.0) };
            self.index.set(*slot, placed.then_some(place));
        }
        self.index.update_floors();
    }

    /// All servers, in no particular order. Callers must not change what determines a server's
    /// placement.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.slots.iter_mut().flatten()
    }

    /// Applies the plan's per-server information, replacing the previous one, and returns the rest
    /// of the plan.
    pub fn apply_plan(&mut self, mut plan: Plan) -> Plan {
        self.values_mut().for_each(|s| (s.avoided_fraction, s.planned_terms) = (0.0, None));
        for (id, part) in plan.key_fractions.drain(..) {
            if let Some(s) = self.get_mut(&id) {
                s.avoided_fraction = 1.0 - part;
            }
        }
        for terms in plan.solved.drain(..) {
            if let Some(s) = self.get_mut(&terms.server) {
                s.planned_terms = Some(terms);
            }
        }
        plan
    }

    /// The origins, in the order of ids.
    pub fn origins(&self) -> impl Iterator<Item = &Server> {
        self.origins.iter().filter_map(|slot| self.slots[*slot as usize].as_ref())
    }

    /// The best caches for a key, by score, among those for which `weight` returns one. A weight
    /// must not exceed the listed weight times the scale of the server's side: `scales` has
    /// that of the local zone first, then that of the remote zones.
    pub fn best(
        &self,
        key: u64,
        want: usize,
        scales: [f64; 2],
        weight: impl Fn(&Server) -> Option<f64>,
    ) -> Vec<&Server> {
        let score = |slot: u32, distance: f64| {
            let s = self.slots[slot as usize].as_ref()?;
            Some((distance / weight(s)?, s.member.server.0))
        };
        let mut best: Vec<Ranked> = Vec::with_capacity(want + 1);
        self.index.best(key, want, scales, score, &mut best);
        best.iter().filter_map(|b| self.slots[b.slot as usize].as_ref()).collect()
    }
}
