//! The proxy with a fault planted in it: what the checkers of the rules, and the search, must find.
//!
//! Each wraps the real core, lets it do its work, and breaks one rule at its edge: an answer that is held back, a
//! command that is sent once more. Connections of its own have numbers that no core gives. For tests of the lab
//! only.

use super::subject::{Real, Start, Subject, Subjects};
use martenweir::codec::discovery::Cluster;
use martenweir::core::status::Size;
use martenweir::core::{Answer, ConnectionId, Effect, Input, Job, Message};
use martenweir::interface::{Micros, Phase, Verdict};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// What is wrong with a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyFault {
    /// One answer in so many never leaves it.
    LosesAnswer { one_in: u64 },
    /// One write in so many is sent to the ledger once more, this long after the first time.
    RunsAgain { one_in: u64, after: Micros },
    /// A request goes to a node this long after the word that it drains.
    SendsAfterDrain { after: Micros },
    /// A node that has just started is sent all that it takes.
    FloodsCold,
    /// The same, at the pace of answers, and each miss there is fetched from the ledger at once.
    FetchesForCold,
    /// One answer in so many is that of the request before.
    SwapsAnswer { one_in: u64 },
    /// What it refuses is answered with a value that no node made.
    InventsAnswer,
    /// Answers are lost, but only while one node drains and others answer with one error after another: no single
    /// kind of fault does both.
    LosesWhileDrainedAndFailing,
    /// One answer in so many is kept for good, in a table of the fault's own. Breaks no rule.
    KeepsAnswers { one_in: u64 },
    /// Nodes that are gone drain for ever: the core is never told that they left. Breaks no rule.
    KeepsGone,
}

/// Makes every proxy of a run with this fault.
#[derive(Clone, Copy, Debug)]
pub struct FaultyProxies(pub ProxyFault);

impl Subjects for FaultyProxies {
    fn start(&self, start: Start) -> Box<dyn Subject> {
        let now = start.now;
        let mut planted = Box::new(Faulty {
            plant: self.0,
            inner: Real.start(start),
            own: Vec::new(),
            count: 0,
            last_own: 0,
            addresses: BTreeMap::new(),
            ledger: None,
            plans: Vec::new(),
            connections: BTreeMap::new(),
            message: None,
            before: Vec::new(),
            drained: Vec::new(),
            failed: now - LATELY,
            failures: 0,
            kept: Vec::new(),
        });
        planted.inner.take_effects(&mut planted.own);
        planted
    }
}

/// Numbers of connections that are the fault's own.
const OWN: u64 = 1 << 63;
/// Connections and commands of a flood, and of one that fetches.
const FLOOD: usize = 60;
const FLOODED: usize = 600;
const FETCHED: usize = 6_000;
/// Errors follow one another if no more time than this lies between them; so many are many.
const LATELY: Micros = 1_000_000;
const MANY: u32 = 3;

/// To be sent somewhere at a time.
struct Plan {
    at: Micros,
    address: SocketAddr,
    message: Option<Rc<Message>>,
}

/// A connection of the fault's own.
struct Own {
    /// What goes out on it, or else what went out last elsewhere; and how often yet.
    message: Option<Rc<Message>>,
    times: usize,
    /// What is out on it.
    sent: Option<Rc<Message>>,
}

struct Faulty {
    plant: ProxyFault,
    inner: Box<dyn Subject>,
    /// Effects that are the fault's, or that the core had when it was made.
    own: Vec<Effect>,
    /// What the fault counts: answers or writes.
    count: u64,
    last_own: u64,
    /// Where the core's connections lead, and whether that is the origin.
    addresses: BTreeMap<ConnectionId, (SocketAddr, bool)>,
    ledger: Option<SocketAddr>,
    plans: Vec<Plan>,
    connections: BTreeMap<ConnectionId, Own>,
    /// The last command written, and the last value answered.
    message: Option<Rc<Message>>,
    before: Vec<u8>,
    /// Nodes that drain, as last heard; when a node last answered with an error, and how many did by then.
    drained: Vec<SocketAddr>,
    failed: Micros,
    failures: u32,
    kept: Vec<Vec<u8>>,
}

impl Faulty {
    fn listed(&mut self, now: Micros, list: &Cluster) {
        for node in &list.nodes {
            let phase = node.member.phase;
            self.drained.retain(|a| *a != node.address);
            if phase == Phase::Draining {
                self.drained.push(node.address);
            }
            match self.plant {
                ProxyFault::SendsAfterDrain { after } if phase == Phase::Draining => {
                    self.plans.push(Plan { at: now + after, address: node.address, message: None });
                }
                ProxyFault::FloodsCold | ProxyFault::FetchesForCold
                    if phase == Phase::Ready && node.member.started.is_some() =>
                {
                    let all = if self.plant == ProxyFault::FloodsCold { FLOODED } else { FETCHED };
                    (0..FLOOD).for_each(|_| self.dial(node.address, None, all / FLOOD));
                }
                _ => {}
            }
        }
    }

    fn dial(&mut self, address: SocketAddr, message: Option<Rc<Message>>, times: usize) {
        self.last_own += 1;
        let connection = ConnectionId(OWN | self.last_own);
        self.connections.insert(connection, Own { message, times, sent: None });
        self.own.push(Effect::Dial { connection, address, origin: false });
    }

    /// One of the fault's connections is free: it carries the next command, or is closed.
    fn go_on(&mut self, connection: ConnectionId) {
        let last = self.message.clone();
        let next = self.connections.get_mut(&connection).filter(|c| c.times > 0).and_then(|c| {
            c.times -= 1;
            c.sent = c.message.clone().or(last);
            c.sent.clone()
        });
        match next {
            Some(message) => {
                let job = Job::Stream { message, patience: LATELY };
                self.own.push(Effect::Write { connection, job });
            }
            None => {
                self.connections.remove(&connection);
                self.own.push(Effect::Close { connection });
            }
        }
    }

    fn is_at_a_node(&self, connection: &ConnectionId) -> bool {
        self.addresses.get(connection).is_some_and(|(_, origin)| !origin)
    }

    fn each(&mut self, one_in: u64) -> bool {
        self.count += 1;
        self.count.is_multiple_of(one_in.max(1))
    }

    /// An effect of the core, as it leaves the proxy; `None` if it does not.
    fn pass(&mut self, now: Micros, effect: Effect) -> Option<Effect> {
        match effect {
            Effect::Answer { downstream, place, answer } => {
                let own = downstream.0.to_be_bytes();
                let answer = self.answer(now, answer, &own)?;
                Some(Effect::Answer { downstream, place, answer })
            }
            Effect::Dial { connection, address, origin } => {
                self.addresses.insert(connection, (address, origin));
                self.ledger = self.ledger.or(Some(address).filter(|_| origin));
                Some(Effect::Dial { connection, address, origin })
            }
            Effect::Close { connection } => {
                self.addresses.remove(&connection);
                Some(Effect::Close { connection })
            }
            Effect::Write { connection, job: Job::Stream { message, patience } } => {
                self.message = Some(message.clone());
                if let (ProxyFault::RunsAgain { one_in, after }, true) = (self.plant, message.value.is_some())
                {
                    let address = self.addresses.get(&connection).copied();
                    if let Some((address, _)) = address.filter(|_| self.each(one_in)) {
                        self.plans.push(Plan { at: now + after, address, message: Some(message.clone()) });
                    }
                }
                Some(Effect::Write { connection, job: Job::Stream { message, patience } })
            }
            other => Some(other),
        }
    }

    /// `own` is the value that a node would have made for this request.
    fn answer(&mut self, now: Micros, answer: Answer, own: &[u8]) -> Option<Answer> {
        match (self.plant, answer) {
            (ProxyFault::LosesAnswer { one_in }, answer) => (!self.each(one_in)).then_some(answer),
            (ProxyFault::LosesWhileDrainedAndFailing, answer) => {
                let both = !self.drained.is_empty() && now - self.failed < LATELY && self.failures >= MANY;
                (!both).then_some(answer)
            }
            (ProxyFault::SwapsAnswer { one_in }, Answer::Value(value)) => {
                let before = std::mem::replace(&mut self.before, value.clone());
                Some(Answer::Value(if self.each(one_in) && !before.is_empty() { before } else { value }))
            }
            (ProxyFault::InventsAnswer, Answer::Busy(_)) => Some(Answer::Value(own.to_vec())),
            (ProxyFault::KeepsAnswers { one_in }, Answer::Value(value)) => {
                if self.each(one_in) {
                    self.kept.push(value.clone());
                }
                Some(Answer::Value(value))
            }
            (_, answer) => Some(answer),
        }
    }

    fn gather(&mut self, now: Micros) {
        let mut effects = Vec::new();
        self.inner.take_effects(&mut effects);
        for effect in effects {
            let effect = self.pass(now, effect);
            self.own.extend(effect);
        }
    }
}

impl Subject for Faulty {
    fn input(&mut self, now: Micros, input: Input) {
        match &input {
            Input::Cluster(Some(list)) => self.listed(now, list),
            Input::Replied(c, reply) if reply.verdict == Verdict::Error && self.is_at_a_node(c) => {
                self.failures = if now - self.failed < LATELY { self.failures + 1 } else { 1 };
                self.failed = now;
            }
            _ => {}
        }
        match input {
            Input::Connected(c) if c.0 & OWN != 0 => self.go_on(c),
            Input::Replied(c, reply) if c.0 & OWN != 0 => {
                let fetched = ProxyFault::FetchesForCold == self.plant && reply.verdict == Verdict::Miss;
                let missed = self.connections.get(&c).and_then(|c| c.sent.clone());
                if let (Some(address), Some(message)) = (self.ledger, missed.filter(|_| fetched)) {
                    self.dial(address, Some(message), 1);
                }
                self.go_on(c);
            }
            Input::Broken(c, _) if c.0 & OWN != 0 => {
                self.connections.remove(&c);
            }
            Input::Cluster(Some(mut list)) if self.plant == ProxyFault::KeepsGone => {
                let gone = list.nodes.iter_mut().filter(|n| n.member.phase == Phase::Gone);
                gone.for_each(|n| n.member.phase = Phase::Draining);
                self.inner.input(now, Input::Cluster(Some(list)));
            }
            input => self.inner.input(now, input),
        }
        self.gather(now);
    }

    fn tick(&mut self, now: Micros) {
        self.inner.tick(now);
        self.gather(now);
        let (due, later) = std::mem::take(&mut self.plans).into_iter().partition(|p| p.at <= now);
        self.plans = later;
        for Plan { address, message, .. } in due {
            self.dial(address, message, 1);
        }
    }

    fn take_effects(&mut self, into: &mut Vec<Effect>) {
        into.append(&mut self.own);
    }

    fn open_streams(&self) -> usize {
        self.inner.open_streams()
    }

    fn sizes(&self) -> Vec<Size> {
        let mut sizes = self.inner.sizes();
        sizes.push(("planted.kept", self.kept.len()));
        sizes
    }
}
