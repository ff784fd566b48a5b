//! Contents of the warm nodes' stores at the start of a run, decided per key when the key is first requested.
//!
//! Nodes that ran before the start hold what they were asked for recently. Which node was asked for which key
//! depended on the proxies and is unknown here. So the first warm node that is asked for a key holds it, if a
//! single cache as large as all stores together would hold it; no other node does. A warm-up run before the
//! start would give the same result but take its time.

use crate::clients::Popularity;
use crate::facts::{NodeNo, ORIGIN};
use crate::random::{mix, seconds, unit, Map};
use crate::Micros;

#[derive(Clone, Debug)]
pub struct InitialContents {
    model: Option<Model>,
    /// The node that is asking now, and for each key the first node that asked for it.
    pub requester: NodeNo,
    holders: Map<u64, NodeNo>,
}

#[derive(Clone, Debug)]
struct Model {
    popularity: Popularity,
    rate: f64,
    /// How long a value stays, in seconds: limited by capacity, and by age.
    residence_time: f64,
    keep: f64,
    salt: u64,
}

impl InitialContents {
    /// Nodes start empty.
    pub fn none() -> Self {
        InitialContents { model: None, requester: ORIGIN, holders: Map::default() }
    }

    /// Keys were requested at this rate. A cache of all nodes together has room for this many values and
    /// keeps each for `keep` seconds.
    pub fn new(popularity: Popularity, rate: f64, values: f64, keep: f64, seed: u64) -> Self {
        let residence_time = popularity.residence_time(values, rate);
        let model = Some(Model { popularity, rate, residence_time, keep, salt: seed });
        InitialContents { model, ..InitialContents::none() }
    }

    /// A warm node does not have this key in its store. Returns when its copy from before the start was made,
    /// if it has one. Each key is handed out once.
    pub fn claim(&mut self, now: Micros, key: u64) -> Option<Micros> {
        let Model { popularity, rate, residence_time, keep, salt } = self.model.as_ref()?;
        let span = residence_time.min(*keep);
        let left = span - now as f64 / 1e6;
        if left <= 0.0 {
            // By now every value from before the start has been evicted or has expired: free the memory.
            self.model = None;
            self.holders = Map::default();
            return None;
        }
        if self.holders.contains_key(&key) {
            return None;
        }
        self.holders.insert(key, self.requester);
        // Held if the last request, or the value, is recent enough for the value to still be there.
        let rate = rate * popularity.probability(popularity.rank_of(key)?);
        let age = -(1.0 - unit(mix(key ^ salt))).ln() / rate;
        if age >= left {
            return None;
        }
        // The age of a frequently requested value is uniform over its lifetime, and never larger than that.
        let made = unit(mix(key ^ salt ^ 1)) * left.min(if rate * span > 1.0 { left } else { age });
        Some(-seconds(made.max(0.0)))
    }

    /// A key has been written. Returns the holder of a copy from before the start, if any; from now on there
    /// is none.
    pub fn invalidate(&mut self, key: u64) -> Option<NodeNo> {
        self.model.as_ref()?;
        self.holders.insert(key, ORIGIN).filter(|holder| *holder != ORIGIN)
    }
}
