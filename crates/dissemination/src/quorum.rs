//! Tracks what a majority of the stores has persisted, and as of when this machine holds everything
//! acknowledged.
//!
//! A change is acknowledged when a majority has persisted it, so the answers of any majority to a poll
//! include everything acknowledged before the poll began. A poll is complete when a majority has answered and
//! everything in those answers is committed and held here; the start of the poll is then the fresh instant.
//! An answer that includes more than that is not counted, so a store that holds changes which no majority
//! will ever hold blocks nobody.

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

/// Commit state and polls of the stores; see the module documentation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Quorum {
    /// What each store is known to have persisted.
    reported: BTreeMap<ControlId, Position>,
    committed: Position,
    /// Per stream, the times at which the committed number rose; the latest [`MAX_COMMIT_TIMES`].
    committed_since: BTreeMap<StreamId, VecDeque<(u64, Micros)>>,
    polls: VecDeque<Poll>,
    token: u32,
    fresh: Option<Micros>,
}

/// Commit times remembered per stream. With a few a second they cover more than a lease.
const MAX_COMMIT_TIMES: usize = 64;

impl Quorum {
    /// A state in which nothing is known.
    pub fn new() -> Self {
        let (reported, committed) = (BTreeMap::new(), Position::default());
        let (committed_since, polls) = (BTreeMap::new(), VecDeque::new());
        Quorum { reported, committed, committed_since, polls, token: 0, fresh: None }
    }

    /// What a majority is known to have persisted.
    pub fn committed(&self) -> &Position {
        &self.committed
    }

    /// What a store is known to have persisted.
    pub fn reported(&self, store: ControlId) -> Option<&Position> {
        self.reported.get(&store)
    }

    /// Streams of which any store holds a change.
    pub fn streams(&self) -> BTreeSet<StreamId> {
        self.reported.values().flat_map(|p| p.iter().map(|s| s.0)).collect()
    }

    /// The highest number that any store is known to hold of a stream.
    pub fn highest_reported(&self, stream: StreamId) -> u64 {
        self.reported.values().map(|p| p.get(stream)).max().unwrap_or(0)
    }

    /// Everything acknowledged before this instant is committed and held here; see the module documentation.
    pub fn fresh(&self) -> Option<Micros> {
        self.fresh
    }

    /// The token of the current poll; 0 if none was started.
    pub fn token(&self) -> u32 {
        self.token
    }

    /// Lower bound of the time for which a change has been known to be committed.
    pub fn committed_for(&self, now: Micros, stream: StreamId, number: u64) -> Option<Micros> {
        let known = self.committed_since.get(&stream)?.iter().find(|k| k.0 >= number)?;
        Some(now.saturating_sub(known.1))
    }

    /// Records that a store has persisted a stream up to a number.
    pub fn report_persisted(
        &mut self,
        now: Micros,
        rules: &Rules,
        store: ControlId,
        stream: StreamId,
        number: u64,
    ) {
        self.reported.entry(store).or_default().raise(stream, number);
        let mut numbers: Vec<u64> = self.reported.values().map(|p| p.get(stream)).collect();
        numbers.sort_unstable_by(|a, b| b.cmp(a));
        let majority = if rules.has_fault(InjectedFault::AckAlone) { 1 } else { rules.majority() };
        let majority_held = numbers.get(majority - 1).copied().unwrap_or(0);
        if majority_held > self.committed.get(stream) {
            self.committed.raise(stream, majority_held);
            let committed_since = self.committed_since.entry(stream).or_default();
            committed_since.push_back((majority_held, now));
            if committed_since.len() > MAX_COMMIT_TIMES {
                committed_since.pop_front();
            }
        }
    }

    /// Starts a poll and returns the token to send to all stores.
    pub fn begin_poll(&mut self, now: Micros) -> u32 {
        self.token = self.token.wrapping_add(1).max(1);
        self.polls.push_back(Poll { token: self.token, start: now, answers: BTreeMap::new() });
        if self.polls.len() > bounds::MAX_POLLS {
            self.polls.pop_front();
        }
        self.token
    }

    /// Records a store's answer to a poll, including this machine's own if it is a store. An answer with
    /// `counts` false only reports what is persisted.
    pub fn record_answer(
        &mut self,
        now: Micros,
        rules: &Rules,
        token: u32,
        store: ControlId,
        counts: bool,
        position: &Position,
    ) {
        for (stream, number) in position.iter() {
            self.report_persisted(now, rules, store, stream, number);
        }
        self.reported.entry(store).or_default();
        if let Some(poll) = self.polls.iter_mut().find(|p| p.token == token && counts) {
            poll.answers.insert(store, position.clone());
        }
    }

    /// Advances the fresh instant to the start of the latest poll that is complete, given what is held and
    /// committed.
    pub fn advance_fresh(&mut self, now: Micros, rules: &Rules, deliverable: &Position) {
        let majority = if rules.has_fault(InjectedFault::PollOfOne) { 1 } else { rules.majority() };
        let complete = |p: &Poll| p.answers.values().filter(|a| deliverable.covers(a)).count() >= majority;
        let Some(at) = self.polls.iter().rposition(complete) else { return };
        let start = self.polls.get(at).map(|p| p.start);
        self.fresh =
            if rules.has_fault(InjectedFault::FreshAtAnswer) { Some(now) } else { self.fresh.max(start) };
        self.polls.drain(..=at);
    }
}

impl Default for Quorum {
    fn default() -> Self {
        Quorum::new()
    }
}
