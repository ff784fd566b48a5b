//! Simulates a keyed register used by concurrent clients with refused and lost requests. It is correct unless
//! a fault is planted.

use history::operation::{Client, History, Kind, Operation, Outcome};
use std::collections::BTreeMap;

/// SplitMix64 pseudo-random number generator.
pub struct Draw(pub u64);

impl Draw {
    pub fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let x = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (x ^ (x >> 31)) % n
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
#[allow(dead_code)]
pub enum Planted {
    /// A read returns an old value.
    Stale,
    /// An acknowledged change is lost.
    Forgets,
    /// An insertion takes effect although there is a value.
    InsertsTwice,
    /// A refused operation takes effect.
    RefusesAndDoes,
}

#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub clients: u64,
    pub operations: u64,
    pub keys: u64,
    /// Number of distinct values to draw from; 0: each value is written once.
    pub values: u64,
    /// Percentage of operations that are refused; `unknown` is that of unknown outcome.
    pub refused: u64,
    pub unknown: u64,
    pub planted: Option<Planted>,
}

pub fn history(shape: Shape, seed: u64) -> History {
    let mut draw = Draw(seed);
    let mut free: Vec<(u32, i64)> = (0..shape.clients).map(|c| (c as u32, 0)).collect();
    let mut next_client = shape.clients as u32;
    // Time of effect and index of the operations that take effect.
    let mut effects: Vec<(i64, usize)> = Vec::new();
    let mut all: Vec<Operation> = Vec::new();
    for n in 0..shape.operations {
        let who = draw.below(shape.clients) as usize;
        let (client, since) = free[who];
        let invoked = since + draw.below(40) as i64;
        let took = if draw.below(50) == 0 { 400 } else { 1 + draw.below(60) as i64 };
        let value = if shape.values == 0 { n } else { draw.below(shape.values) }.to_string();
        let kind = match draw.below(10) {
            0..=4 => Kind::Read,
            5..=7 => Kind::Write { value },
            8 => Kind::Insert { value },
            _ => Kind::Delete,
        };
        let key = format!("k{}", draw.below(shape.keys));
        let operation = Operation::invoked(Client(client), key, kind, invoked);
        let returns = invoked + took;
        free[who] = (client, returns);
        let fate = draw.below(100);
        let effect = invoked + draw.below(took as u64 + 1) as i64;
        if fate < shape.refused {
            if shape.planted == Some(Planted::RefusesAndDoes) {
                effects.push((effect, all.len()));
            }
            all.push(operation.returned(returns, Outcome::Refused));
        } else if fate < shape.refused + shape.unknown {
            // The request or its answer was lost; it may take effect after the client stopped waiting.
            if draw.below(2) == 0 {
                effects.push((invoked + draw.below(5 * took as u64) as i64, all.len()));
            }
            if draw.below(2) == 0 {
                all.push(operation.returned(returns, Outcome::Unknown));
            } else {
                all.push(operation);
                free[who].0 = next_client;
                next_client += 1;
            }
        } else {
            effects.push((effect, all.len()));
            all.push(operation.returned(returns, Outcome::Done));
        }
    }
    effects.sort_unstable();
    let mut registers: BTreeMap<String, Vec<Option<String>>> = BTreeMap::new();
    for (_, at) in effects {
        let operation = &mut all[at];
        let versions = registers.entry(operation.key.clone()).or_insert_with(|| vec![None]);
        let is_planted = |planted| shape.planted == Some(planted) && at % 7 == 0;
        let age = if is_planted(Planted::Stale) { 4 } else { 1 };
        let now = versions[versions.len().saturating_sub(age)].clone();
        let change = match &operation.kind {
            Kind::Write { value } => Some(Some(value.clone())),
            Kind::Delete => Some(None),
            Kind::Insert { value } if now.is_none() || is_planted(Planted::InsertsTwice) => {
                Some(Some(value.clone()))
            }
            _ => None,
        };
        if operation.outcome == Outcome::Done {
            operation.outcome = match (&operation.kind, now) {
                (Kind::Read, Some(value)) => Outcome::Value(value),
                (Kind::Read, None) => Outcome::Absent,
                (Kind::Insert { .. }, now) if change.is_none() => Outcome::Found(now.filter(|_| at % 3 != 0)),
                _ => Outcome::Done,
            };
        }
        if let Some(change) = change.filter(|_| !is_planted(Planted::Forgets)) {
            versions.push(change);
        }
    }
    History::try_from(all).expect("few enough")
}
