//! The listed servers, in slots: found by id in one step, gone through in the order of ids, origins apart, and
//! caches placed in the [`placement::Index`].
//!
//! It owns the slots and keeps the index in step with them. What a server is worth and whether it may be used is
//! not decided here.

use crate::id_map::IdMap;
use crate::interface::*;
use crate::state::{mix, Server};
use placement::{Index, Place, Ranked, FAR, NEAR};

#[derive(Default)]
pub struct Servers {
    slots: Vec<Option<Server>>,
    free: Vec<u32>,
    found: IdMap<ServerId, u32>,
    /// In the order of ids.
    order: Vec<(ServerId, u32)>,
    origins: Vec<u32>,
    index: Index,
}

impl Servers {
    pub fn get(&self, id: &ServerId) -> Option<&Server> {
        self.slots.get(*self.found.get(id)? as usize)?.as_ref()
    }

    pub fn get_mut(&mut self, id: &ServerId) -> Option<&mut Server> {
        self.slots.get_mut(*self.found.get(id)? as usize)?.as_mut()
    }

    /// Puts a server in, in place of one of this id.
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
        self.found.insert(id, slot);
        self.order.insert(self.order.partition_point(|(other, _)| *other < id), (id, slot));
    }

    /// The one place where a slot is given back.
    pub fn retain(&mut self, mut keep: impl FnMut(&ServerId, &Server) -> bool) {
        let Servers { slots, free, found, order, origins, index } = self;
        order.retain(|(id, slot)| {
            let place = &mut slots[*slot as usize];
            if place.as_ref().is_some_and(|s| keep(id, s)) {
                return true;
            }
            *place = None;
            found.remove(id);
            free.push(*slot);
            origins.retain(|o| o != slot);
            index.set(*slot, None);
            false
        });
        index.update_floors();
    }

    /// Slots, used or free; those placed, keys whose candidates are kept, and changes of the placement that are.
    pub fn sizes(&self) -> [usize; 4] {
        let (keys, changes) = self.index.cache_sizes();
        [self.slots.len(), self.index.len(), keys, changes]
    }

    /// All, in the order of ids.
    pub fn values(&self) -> impl Iterator<Item = &Server> {
        self.order.iter().filter_map(|(_, slot)| self.slots[*slot as usize].as_ref())
    }

    /// Changes what `change` does to each, in the order of ids, and places them anew.
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
            let place = Place { side, weight: s.listed, id_hash: mix(id.0) };
            self.index.set(*slot, placed.then_some(place));
        }
        self.index.update_floors();
    }

    /// All, in no order, to change anything but what decides where each is placed.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.slots.iter_mut().flatten()
    }

    /// Takes over what planners say of each server, in place of what they said before; the rest of it comes back.
    pub fn apply_plan(&mut self, mut plan: Plan) -> Plan {
        self.values_mut().for_each(|s| (s.avoid, s.solved) = (0.0, None));
        for (id, part) in plan.key_fractions.drain(..) {
            if let Some(s) = self.get_mut(&id) {
                s.avoid = 1.0 - part;
            }
        }
        for terms in plan.solved.drain(..) {
            if let Some(s) = self.get_mut(&terms.server) {
                s.solved = Some(terms);
            }
        }
        plan
    }

    /// The origins, in the order of ids.
    pub fn origins(&self) -> impl Iterator<Item = &Server> {
        self.origins.iter().filter_map(|slot| self.slots[*slot as usize].as_ref())
    }

    /// The best caches for a key, by score over those that have a weight; a weight must not be above that listed
    /// times the scale of its side, near or far.
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
