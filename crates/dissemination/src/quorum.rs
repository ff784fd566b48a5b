//! What a majority of the stores holds, and as of when everything acknowledged is held here.
//!
//! A change is acknowledged when a majority has persisted it, so any majority that answers a poll shows what was
//! acknowledged before the poll began. A poll is whole when a majority has answered such that all that it showed is
//! committed and held here; its start is the fresh instant. Answers that show more do not count, so a store that
//! holds what no majority will ever hold stops nobody.

use crate::change::Position;
use crate::rules::InjectedFault;
use crate::{bounds, ControlId, Micros, Rules, StreamId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Poll {
    token: u32,
    start: Micros,
    answers: BTreeMap<ControlId, Position>,
}

/// See the file's comment.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Quorum {
    /// What each store is known to have persisted.
    reported: BTreeMap<ControlId, Position>,
    committed: Position,
    /// When how much of a stream was known to be committed; the latest [`INSTANTS`].
    since: BTreeMap<StreamId, VecDeque<(u64, Micros)>>,
    polls: VecDeque<Poll>,
    token: u32,
    fresh: Option<Micros>,
}

/// Instants remembered of each stream: with a few a second, more than a lease.
const INSTANTS: usize = 64;

impl Quorum {
    /// One that knows nothing.
    pub fn new() -> Self {
        let (reported, committed) = (BTreeMap::new(), Position::default());
        let (since, polls) = (BTreeMap::new(), VecDeque::new());
        Quorum { reported, committed, since, polls, token: 0, fresh: None }
    }

    /// What a majority is known to hold.
    pub fn committed(&self) -> &Position {
        &self.committed
    }

    /// What a store is known to hold.
    pub fn reported(&self, store: ControlId) -> Option<&Position> {
        self.reported.get(&store)
    }

    /// Streams of which any store holds anything.
    pub fn streams(&self) -> BTreeSet<StreamId> {
        self.reported.values().flat_map(|p| p.iter().map(|s| s.0)).collect()
    }

    /// The most that any store is known to hold of a stream.
    pub fn most(&self, stream: StreamId) -> u64 {
        self.reported.values().map(|p| p.get(stream)).max().unwrap_or(0)
    }

    /// See the file's comment.
    pub fn fresh(&self) -> Option<Micros> {
        self.fresh
    }

    /// The poll that goes on; 0 is none.
    pub fn token(&self) -> u32 {
        self.token
    }

    /// For how long at least a change is known to be committed.
    pub fn age(&self, now: Micros, stream: StreamId, number: u64) -> Option<Micros> {
        let known = self.since.get(&stream)?.iter().find(|k| k.0 >= number)?;
        Some(now.saturating_sub(known.1))
    }

    /// A store has persisted a stream up to a number.
    pub fn report(&mut self, now: Micros, rules: &Rules, store: ControlId, stream: StreamId, number: u64) {
        self.reported.entry(store).or_default().raise(stream, number);
        let mut numbers: Vec<u64> = self.reported.values().map(|p| p.get(stream)).collect();
        numbers.sort_unstable_by(|a, b| b.cmp(a));
        let majority = if rules.is(InjectedFault::AckAlone) { 1 } else { rules.majority() };
        let common = numbers.get(majority - 1).copied().unwrap_or(0);
        if common > self.committed.get(stream) {
            self.committed.raise(stream, common);
            let since = self.since.entry(stream).or_default();
            since.push_back((common, now));
            if since.len() > INSTANTS {
                since.pop_front();
            }
        }
    }

    /// Begins a poll. Its token is to be sent to all stores.
    pub fn begin(&mut self, now: Micros) -> u32 {
        self.token = self.token.wrapping_add(1).max(1);
        self.polls.push_back(Poll { token: self.token, start: now, answers: BTreeMap::new() });
        if self.polls.len() > bounds::MAX_POLLS {
            self.polls.pop_front();
        }
        self.token
    }

    /// A store's answer; also this machine's own, if it is one. One that does not count only reports.
    pub fn answer(
        &mut self,
        now: Micros,
        rules: &Rules,
        token: u32,
        store: ControlId,
        counts: bool,
        position: &Position,
    ) {
        for (stream, number) in position.iter() {
            self.report(now, rules, store, stream, number);
        }
        self.reported.entry(store).or_default();
        if let Some(poll) = self.polls.iter_mut().find(|p| p.token == token && counts) {
            poll.answers.insert(store, position.clone());
        }
    }

    /// Whether the fresh instant has moved on, now that this much is held and committed.
    pub fn settle(&mut self, now: Micros, rules: &Rules, passable: &Position) {
        let majority = if rules.is(InjectedFault::PollOfOne) { 1 } else { rules.majority() };
        let whole = |p: &Poll| p.answers.values().filter(|a| passable.covers(a)).count() >= majority;
        let Some(at) = self.polls.iter().rposition(whole) else { return };
        let start = self.polls.get(at).map(|p| p.start);
        self.fresh = if rules.is(InjectedFault::FreshAtAnswer) { Some(now) } else { self.fresh.max(start) };
        self.polls.drain(..=at);
    }
}

impl Default for Quorum {
    fn default() -> Self {
        Quorum::new()
    }
}
