//! What warm nodes hold when the world begins, decided key by key when it is first asked for.
//!
//! Nodes that run since before the start hold what they were asked for lately. Which node was asked for a key is
//! the proxies' doing, and unknown here: so the first warm node that is asked for a key is the one that holds it, if
//! a cache as large as all stores together would. Nobody else holds it. A run of its own before the start would
//! do the same and take its time.

use crate::clients::Popularity;
use crate::facts::{NodeNo, LEDGER};
use crate::random::{mix, seconds, unit, Map};
use crate::Micros;

#[derive(Clone, Debug)]
pub struct InitialContents {
    known: Option<Known>,
    /// Who asks now, and who was the first to ask for each key so far.
    pub asker: NodeNo,
    asked: Map<u64, NodeNo>,
}

#[derive(Clone, Debug)]
struct Known {
    popularity: Popularity,
    rate: f64,
    /// How long a value stays, in seconds: by room and by age.
    stay: f64,
    keep: f64,
    salt: u64,
}

impl InitialContents {
    /// Nodes begin empty.
    pub fn none() -> Self {
        InitialContents { known: None, asker: LEDGER, asked: Map::default() }
    }

    /// Keys were asked for at this rate; a cache of all nodes together has room for so many values and keeps each
    /// for `keep` seconds.
    pub fn new(popularity: Popularity, rate: f64, values: f64, keep: f64, seed: u64) -> Self {
        let stay = popularity.stay(values, rate);
        let known = Some(Known { popularity, rate, stay, keep, salt: seed });
        InitialContents { known, ..InitialContents::none() }
    }

    /// A warm node lacks this key: when the copy that it holds from before was made, if it holds one. Each key is
    /// given out once.
    pub fn claim(&mut self, now: Micros, key: u64) -> Option<Micros> {
        let Known { popularity, rate, stay, keep, salt } = self.known.as_ref()?;
        let span = stay.min(*keep);
        let left = span - now as f64 / 1e6;
        if left <= 0.0 {
            // The past is over, and so is the need to remember it.
            self.known = None;
            self.asked = Map::default();
            return None;
        }
        if self.asked.contains_key(&key) {
            return None;
        }
        self.asked.insert(key, self.asker);
        // Held if it was last asked for, or made, late enough that it would still be there.
        let rate = rate * popularity.part(popularity.rank_of(key)?);
        let age = -(1.0 - unit(mix(key ^ salt))).ln() / rate;
        if age >= left {
            return None;
        }
        // A value's age is even over its time, where it is asked for often; never older than that.
        let made = unit(mix(key ^ salt ^ 1)) * left.min(if rate * span > 1.0 { left } else { age });
        Some(-seconds(made.max(0.0)))
    }

    /// A key has changed: who holds a copy from before, if anybody does; nobody will any more.
    pub fn invalidate(&mut self, key: u64) -> Option<NodeNo> {
        self.known.as_ref()?;
        self.asked.insert(key, LEDGER).filter(|holder| *holder != LEDGER)
    }
}
