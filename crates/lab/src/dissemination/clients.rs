//! Those who submit changes, and one who asks how far they have come.
//!
//! Each client has a connection to every store. It takes the stores in turn, goes to the next one after a refusal and
//! after a second without an answer, and gives a change up once every store has refused it: that is what a caller
//! gets to see. The one who asks has a connection to one control machine, and goes to the next when it is silent.

use super::network::Conn;
use dissemination::{ControlId, StreamId};
use std::collections::BTreeMap;
use std::rc::Rc;
use world::geography::Spot;
use world::Micros;

/// Clients that submit. With ten times the purges each store still hears less of each than counts as a flood.
pub const SUBMITTERS: u16 = 64;
/// The one who asks.
pub const ASKER: u16 = SUBMITTERS;
/// After so long without an answer the next store is asked.
pub const PATIENCE: Micros = 1_000_000;
/// Between two tries to connect.
pub const REDIAL: Micros = 500_000;
/// Between two questions for the status of a change.
pub const ASK_EVERY: Micros = 250_000;
/// Between two changes that are followed by questions.
pub const TRACE_EVERY: Micros = 1_000_000;

/// A client.
#[derive(Clone, Debug)]
pub struct Client {
    pub spot: Spot,
    /// By control machine; whether it is up.
    pub links: BTreeMap<ControlId, (Conn, bool)>,
    pub next: u8,
}

/// A change on its way to a number.
#[derive(Clone, Debug)]
pub struct Pending {
    pub client: u16,
    pub topic: u8,
    pub key: u32,
    pub body: Rc<[u8]>,
    pub first: Micros,
    pub store: ControlId,
    pub tries: u32,
    pub busy: u32,
    /// Whether it waits for an answer.
    pub sent: bool,
    pub what: What,
}

/// Why it was submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    Usual,
    Largest,
    Refused,
}

/// A change that is followed.
#[derive(Clone, Debug)]
pub struct Trace {
    pub stream: StreamId,
    pub number: u64,
    pub epoch: u32,
    pub acked: Micros,
    /// When it was known that all have it, or that those who serve do.
    pub all: Option<Micros>,
    pub lapsed: Option<Micros>,
    pub what: What,
    /// Proxies that were named as such that refused it.
    pub refused: usize,
}
