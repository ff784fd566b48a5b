//! The module alone: a request, the decision, its outcome, and the module's timer.

use crate::{fleet, key, settings, SECOND};
use martenweir::choice::Balancer;
use martenweir::interface::*;

/// Time between two requests, and how many go between two turns of the module's timer.
const STEP: Micros = 100;
const TURN: u64 = 2_000;

/// A router before a warm fleet, and where it is in its sequence of requests.
pub struct Router {
    balancer: Balancer,
    now: Micros,
    asked: u64,
    out: Vec<Action>,
    tick: Option<Token>,
    /// Requests that got no server.
    pub refused: u64,
}

impl Router {
    pub fn new(nodes: u64) -> Self {
        let (balancer, out) = (Balancer::new(settings(), 1), Vec::new());
        let mut r = Router { balancer, now: 1_000 * SECOND, asked: 0, out, tick: None, refused: 0 };
        r.members(ListForm::Cached, fleet(nodes));
        r
    }

    /// A list as discovery tells it.
    #[inline(never)]
    pub fn members(&mut self, form: ListForm, entries: Vec<Member>) {
        self.balancer.handle(self.now, Event::Members { form, entries }, &mut self.out);
        let timer = |a: &Action| match a {
            Action::Timer { token, .. } => Some(*token),
            _ => None,
        };
        self.tick = self.tick.or(self.out.iter().find_map(timer));
        self.out.clear();
    }

    /// The module's timer, which re-solves its terms.
    #[inline(never)]
    pub fn turn(&mut self) {
        if let Some(tick) = self.tick {
            self.balancer.handle(self.now, Event::Timer(tick), &mut self.out);
            self.out.clear();
        }
    }

    /// One request with its outcome, for the next of the popular keys, or for one that never came before.
    #[inline(never)]
    pub fn decide(&mut self, new: bool) {
        self.asked += 1;
        self.now += STEP;
        let id = RequestId(self.asked);
        let key = if new { Key(crate::mix(!self.asked)) } else { key(self.asked) };
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
        self.balancer.handle(self.now + STEP / 2, Event::Outcome(end), &mut self.out);
        self.out.clear();
    }

    /// So many requests, with the timer's turns between.
    pub fn run(&mut self, rounds: u64, new: bool) {
        for _ in 0..rounds {
            self.decide(new);
            if self.asked.is_multiple_of(TURN) {
                self.turn();
            }
        }
    }
}
