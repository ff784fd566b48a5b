//! The requests in progress and their tries: who sent them, which try is in flight, and what follows when it
//! ends.
//!
//! The same bookkeeping for every host. A try ends once: a later report of its end finds it closed.

use super::{Next, Request, RetryState, TryEnd};
use crate::facts::{NodeNo, ProxyNo, TryNo};
use crate::recorder::Recorder;
use crate::scenario::ClientClass;
use crate::Micros;
use slab::Slab;
use std::collections::VecDeque;

/// How long a finished try can still be looked up: longer than the windows of keyed requests.
const RETENTION: Micros = 6_000_000;

/// The slot of a request in the table, valid until the request is finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestSlot(pub usize);

/// A try that is in flight, or that still has attempts in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Try {
    pub no: TryNo,
    pub request: Request,
    slot: RequestSlot,
    pub proxy: ProxyNo,
    /// Not the first try of its request.
    pub retry: bool,
    pub sent: Micros,
    /// When its client gives it up.
    pub until: Micros,
    /// Its end has not been reported to the client yet.
    pub open: bool,
    /// When it finished: from then on nobody waits for it.
    finished_at: Option<Micros>,
    /// The first two nodes that missed for it; the origin's answer is stored there.
    pub missed: [Option<NodeNo>; 2],
    /// The node with the most recent miss.
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
    /// Ordered by number; `first` is the number of the first one.
    tries: VecDeque<Try>,
    first: u64,
    /// Tries that are not finished.
    unfinished: usize,
}

impl RequestTable {
    pub fn new(classes: &[ClientClass]) -> Self {
        RequestTable {
            classes: classes.to_vec(),
            live: Slab::new(),
            tries: VecDeque::new(),
            first: 1,
            unfinished: 0,
        }
    }

    /// A client starts a request; its first try must be sent next.
    pub fn open(&mut self, request: Request, recorder: &mut Recorder) -> RequestSlot {
        recorder.asked(&request);
        RequestSlot(self.live.insert(Live { request, retry_state: RetryState::default() }))
    }

    /// Sends a try to this proxy now.
    pub fn send(
        &mut self,
        now: Micros,
        slot: RequestSlot,
        proxy: ProxyNo,
        recorder: &mut Recorder,
    ) -> Option<Try> {
        let live = self.live.get_mut(slot.0)?;
        let class = self.classes.get(usize::from(live.request.class.0))?;
        let retry = live.retry_state.tries > 0;
        recorder.tried(now, &live.request, retry);
        let until = live.retry_state.begin(now, &live.request, class);
        let no = TryNo(self.first + self.tries.len() as u64);
        let request = live.request;
        let (missed, after, sent) = ([None; 2], None, now);
        let new_try = Try {
            no,
            request,
            slot,
            proxy,
            retry,
            sent,
            until,
            open: true,
            finished_at: None,
            missed,
            after,
        };
        self.tries.push_back(new_try);
        self.unfinished += 1;
        Some(new_try)
    }

    /// No proxy was available for the try that was to be sent now.
    pub fn unreached(
        &mut self,
        now: Micros,
        slot: RequestSlot,
        recorder: &mut Recorder,
    ) -> Option<(Micros, RequestSlot)> {
        let live = self.live.get_mut(slot.0)?;
        let class = self.classes.get(usize::from(live.request.class.0))?;
        recorder.tried(now, &live.request, live.retry_state.tries > 0);
        live.retry_state.begin(now, &live.request, class);
        self.schedule_next(now, slot, TryEnd::Unreached, recorder)
    }

    pub fn request(&self, slot: RequestSlot) -> Option<Request> {
        self.live.get(slot.0).map(|l| l.request)
    }

    pub fn get(&self, of: TryNo) -> Option<&Try> {
        self.find_recent(of).filter(|t| t.finished_at.is_none())
    }

    pub fn get_mut(&mut self, of: TryNo) -> Option<&mut Try> {
        self.tries.get_mut(of.0.checked_sub(self.first)? as usize).filter(|t| t.finished_at.is_none())
    }

    /// Records that a node missed for a try that is in flight or finished recently.
    pub fn missed(&mut self, of: TryNo, node: NodeNo) {
        let at = of.0.checked_sub(self.first).map(|at| at as usize);
        if let Some(t) = at.and_then(|at| self.tries.get_mut(at)) {
            t.missed_at(node);
        }
    }

    /// A try that is in flight or finished recently; a faulty proxy may still send attempts for a finished
    /// one.
    pub fn find_recent(&self, of: TryNo) -> Option<&Try> {
        self.tries.get(of.0.checked_sub(self.first)? as usize)
    }

    pub fn class(&self, request: &Request) -> Option<&ClientClass> {
        self.classes.get(usize::from(request.class.0))
    }

    /// A try has ended for its client; only the first call counts. Returns when and for which request the
    /// next try must be sent.
    pub fn end(
        &mut self,
        now: Micros,
        of: TryNo,
        end: TryEnd,
        recorder: &mut Recorder,
    ) -> Option<(Micros, RequestSlot)> {
        let live_try = self.get_mut(of).filter(|t| t.open)?;
        live_try.open = false;
        let slot = live_try.slot;
        self.schedule_next(now, slot, end, recorder)
    }

    fn schedule_next(
        &mut self,
        now: Micros,
        slot: RequestSlot,
        end: TryEnd,
        recorder: &mut Recorder,
    ) -> Option<(Micros, RequestSlot)> {
        let live = *self.live.get(slot.0)?;
        recorder.ended(now, end);
        let class = self.classes.get(usize::from(live.request.class.0))?;
        match live.retry_state.after(now, &live.request, class, end) {
            Next::Try { at } => Some((at, slot)),
            Next::Over => {
                recorder.over(now, &live.request, end);
                self.live.remove(slot.0);
                None
            }
        }
    }

    /// Nobody waits for the try any more: it is finished now, and removed some time later.
    pub fn forget(&mut self, now: Micros, of: TryNo) {
        if let Some(t) = self.get_mut(of) {
            t.finished_at = Some(now);
            self.unfinished -= 1;
        }
        while self.tries.front().is_some_and(|t| t.finished_at.is_some_and(|at| at + RETENTION <= now)) {
            self.tries.pop_front();
            self.first += 1;
        }
    }

    /// The tries in flight at a proxy, ordered by number.
    pub fn at(&self, proxy: ProxyNo) -> Vec<TryNo> {
        self.tries.iter().filter(|t| t.proxy == proxy && t.finished_at.is_none()).map(|t| t.no).collect()
    }

    /// Requests that are not finished.
    pub fn live(&self) -> usize {
        self.live.len()
    }

    /// Tries that are not finished.
    pub fn tries(&self) -> usize {
        self.unfinished
    }
}
