//! The requests that are under way and their tries: who asked, which try is out, what follows on its end.
//!
//! The same book-keeping for every host. A try ends once: whoever tells of its end later finds it gone.

use super::{Next, Request, RetryState, TryEnd};
use crate::facts::{NodeNo, ProxyNo, TryNo};
use crate::recorder::Recorder;
use crate::scenario::ClientClass;
use crate::Micros;
use slab::Slab;
use std::collections::VecDeque;

/// How long a try that is over can be recalled: longer than the windows of keyed requests.
const RECALL: Micros = 6_000_000;

/// A request by its place at the desk, until it is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestSlot(pub usize);

/// A try that is out, or of which attempts still are.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Try {
    pub no: TryNo,
    pub request: Request,
    place: RequestSlot,
    pub proxy: ProxyNo,
    /// Not the first of its request.
    pub retry: bool,
    pub sent: Micros,
    /// When its client gives it up.
    pub until: Micros,
    /// Its client has no end of it yet.
    pub open: bool,
    /// When it was over: nothing is owed to it any more, by nobody.
    done: Option<Micros>,
    /// The first two nodes that missed for it: there the ledger's answer is kept.
    pub missed: [Option<NodeNo>; 2],
    /// The node whose miss came last.
    pub after: Option<NodeNo>,
}

impl Try {
    pub fn missed_at(&mut self, node: NodeNo) {
        self.after = Some(node);
        if let Some(free) = self.missed.iter_mut().find(|m| m.is_none() || **m == Some(node)) {
            *free = Some(node);
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Live {
    request: Request,
    retry_state: RetryState,
}

#[derive(Clone, Debug)]
pub struct RequestTable {
    classes: Vec<ClientClass>,
    live: Slab<Live>,
    /// In the order of their numbers, from the first that is remembered.
    tries: VecDeque<Try>,
    first: u64,
    /// Those that are not over.
    out: usize,
}

impl RequestTable {
    pub fn new(classes: &[ClientClass]) -> Self {
        RequestTable {
            classes: classes.to_vec(),
            live: Slab::new(),
            tries: VecDeque::new(),
            first: 1,
            out: 0,
        }
    }

    /// A client comes with a request; its first try is to be sent.
    pub fn open(&mut self, request: Request, recorder: &mut Recorder) -> RequestSlot {
        recorder.asked(&request);
        RequestSlot(self.live.insert(Live { request, retry_state: RetryState::default() }))
    }

    /// A try is sent now, to this proxy.
    pub fn send(
        &mut self,
        now: Micros,
        place: RequestSlot,
        proxy: ProxyNo,
        recorder: &mut Recorder,
    ) -> Option<Try> {
        let live = self.live.get_mut(place.0)?;
        let class = self.classes.get(usize::from(live.request.class.0))?;
        let retry = live.retry_state.tries > 0;
        recorder.tried(now, &live.request, retry);
        let until = live.retry_state.begin(now, &live.request, class);
        let no = TryNo(self.first + self.tries.len() as u64);
        let request = live.request;
        let (missed, after, sent) = ([None; 2], None, now);
        let made =
            Try { no, request, place, proxy, retry, sent, until, open: true, done: None, missed, after };
        self.tries.push_back(made);
        self.out += 1;
        Some(made)
    }

    /// No proxy takes the try that was to be sent now.
    pub fn unreached(
        &mut self,
        now: Micros,
        place: RequestSlot,
        recorder: &mut Recorder,
    ) -> Option<(Micros, RequestSlot)> {
        let live = self.live.get_mut(place.0)?;
        let class = self.classes.get(usize::from(live.request.class.0))?;
        recorder.tried(now, &live.request, live.retry_state.tries > 0);
        live.retry_state.begin(now, &live.request, class);
        self.schedule_next(now, place, TryEnd::Unreached, recorder)
    }

    pub fn request(&self, place: RequestSlot) -> Option<Request> {
        self.live.get(place.0).map(|l| l.request)
    }

    pub fn get(&self, of: TryNo) -> Option<&Try> {
        self.recall(of).filter(|t| t.done.is_none())
    }

    pub fn get_mut(&mut self, of: TryNo) -> Option<&mut Try> {
        self.tries.get_mut(of.0.checked_sub(self.first)? as usize).filter(|t| t.done.is_none())
    }

    /// Notes that a node missed for a try that is under way or was of late.
    pub fn missed(&mut self, of: TryNo, node: NodeNo) {
        let at = of.0.checked_sub(self.first).map(|at| at as usize);
        if let Some(t) = at.and_then(|at| self.tries.get_mut(at)) {
            t.missed_at(node);
        }
    }

    /// A try that is under way or was of late: a proxy that is wrong may send one that is over.
    pub fn recall(&self, of: TryNo) -> Option<&Try> {
        self.tries.get(of.0.checked_sub(self.first)? as usize)
    }

    pub fn class(&self, request: &Request) -> Option<&ClientClass> {
        self.classes.get(usize::from(request.class.0))
    }

    /// A try has ended for its client, once: when and for whom the next one is to be sent.
    pub fn end(
        &mut self,
        now: Micros,
        of: TryNo,
        end: TryEnd,
        recorder: &mut Recorder,
    ) -> Option<(Micros, RequestSlot)> {
        let live_try = self.get_mut(of).filter(|t| t.open)?;
        live_try.open = false;
        let place = live_try.place;
        self.schedule_next(now, place, end, recorder)
    }

    fn schedule_next(
        &mut self,
        now: Micros,
        place: RequestSlot,
        end: TryEnd,
        recorder: &mut Recorder,
    ) -> Option<(Micros, RequestSlot)> {
        let live = *self.live.get(place.0)?;
        recorder.ended(now, end);
        let class = self.classes.get(usize::from(live.request.class.0))?;
        match live.retry_state.after(now, &live.request, class, end) {
            Next::Try { at } => Some((at, place)),
            Next::Over => {
                recorder.over(now, &live.request, end);
                self.live.remove(place.0);
                None
            }
        }
    }

    /// Nothing of a try is owed any more: it is over now, and forgotten some time later.
    pub fn forget(&mut self, now: Micros, of: TryNo) {
        if let Some(t) = self.get_mut(of) {
            t.done = Some(now);
            self.out -= 1;
        }
        while self.tries.front().is_some_and(|t| t.done.is_some_and(|at| at + RECALL <= now)) {
            self.tries.pop_front();
            self.first += 1;
        }
    }

    /// The tries that a proxy has, in the order of their numbers.
    pub fn at(&self, proxy: ProxyNo) -> Vec<TryNo> {
        self.tries.iter().filter(|t| t.proxy == proxy && t.done.is_none()).map(|t| t.no).collect()
    }

    /// Requests that are not over.
    pub fn live(&self) -> usize {
        self.live.len()
    }

    /// Tries that are not over.
    pub fn tries(&self) -> usize {
        self.out
    }
}
