//! The decision module alone: a request, the decision, its outcome, and the module's timer.

use crate::callgrind::counted;
use crate::{fleet, key, settings, SECOND};
use martenweir::choice::Balancer;
use martenweir::interface::*;

/// Time between two requests, and the number of requests between two timer events of the module.
const REQUEST_INTERVAL: Micros = 100;
const REQUESTS_PER_TURN: u64 = 2_000;

/// What a router does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Work {
    /// A request with its outcome.
    Decide,
    /// An event of the module's timer.
    Turn,
}

/// A router in front of a warm fleet, with its position in the sequence of requests.
pub struct Router {
    balancer: Balancer,
    now: Micros,
    requests: u64,
    out: Vec<Action>,
    timer: Option<Token>,
    /// Requests that no server was chosen for.
    pub refused: u64,
    /// The work whose instructions callgrind counts.
    pub counted: Option<Work>,
}

impl Router {
    pub fn new(nodes: u64) -> Self {
        let (balancer, out) = (Balancer::new(settings(), 1), Vec::new());
        let (timer, refused, counted) = (None, 0, None);
        let mut r = Router { balancer, now: 1_000 * SECOND, requests: 0, out, timer, refused, counted };
        r.members(ListForm::Cached, fleet(nodes));
        r
    }

    /// Applies a list of servers as discovery reports it.
    #[inline(never)]
    pub fn members(&mut self, form: ListForm, entries: Vec<Member>) {
        self.balancer.handle(self.now, Event::Members { form, entries }, &mut self.out);
        let timer_token = |a: &Action| match a {
            Action::Timer { token, .. } => Some(*token),
            _ => None,
        };
        self.timer = self.timer.or(self.out.iter().find_map(timer_token));
        self.out.clear();
    }

    /// Handles one event of the module's timer, which recomputes its estimates.
    #[inline(never)]
    pub fn turn(&mut self) {
        if let Some(timer) = self.timer {
            self.balancer.handle(self.now, Event::Timer(timer), &mut self.out);
            self.out.clear();
        }
    }

    /// One request with its outcome, for the next of the popular keys, or for a key that was never
    /// requested before.
    #[inline(never)]
    pub fn decide(&mut self, new_key: bool) {
        self.requests += 1;
        self.now += REQUEST_INTERVAL;
        let id = RequestId(self.requests);
        let key = if new_key { Key(crate::mix(!self.requests)) } else { key(self.requests) };
        let request = Request { id, key, deadline: self.now + SECOND, ..Request::default() };
        self.balancer.handle(self.now, Event::Request(request), &mut self.out);
        let server = self.out.iter().find_map(|a| match a {
            Action::Send { server, .. } => Some(*server),
            _ => None,
        });
        self.out.clear();
        let Some(server) = server else {
            self.refused += 1;
            return;
        };
        let end = Outcome {
            request: id,
            attempt: 0,
            server,
            verdict: Verdict::Served,
            elapsed: 2_000,
            finished: true,
            no_place: false,
            note: 1,
            report: vec![0.1],
        };
        self.balancer.handle(self.now + REQUEST_INTERVAL / 2, Event::Outcome(end), &mut self.out);
        self.out.clear();
    }

    /// Plays `rounds` requests, with the timer events between.
    pub fn run(&mut self, rounds: u64, new_key: bool) {
        for _ in 0..rounds {
            counted(self.counted == Some(Work::Decide), || self.decide(new_key));
            if self.requests.is_multiple_of(REQUESTS_PER_TURN) {
                counted(self.counted == Some(Work::Turn), || self.turn());
            }
        }
    }
}
