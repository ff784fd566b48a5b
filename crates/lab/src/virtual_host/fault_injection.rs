//! Proxies with an injected fault, which the checkers of the rules and the search must find.
//!
//! A faulty proxy wraps the real core and breaks one rule in the inputs and effects that pass between the
//! core and the engine: it drops an answer, or sends a command once more. Connections that it opens itself
//! have numbers that the core never assigns. For tests of the lab only.

use super::subject::{Real, Start, Subject, Subjects};
use martenweir::codec::discovery::Cluster;
use martenweir::core::status::Size;
use martenweir::core::{Answer, ConnectionId, Effect, Input, Job, Message};
use martenweir::interface::{Micros, Phase, Verdict};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// The fault of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyFault {
    /// One answer in `one_in` is dropped.
    LosesAnswer { one_in: u64 },
    /// One write in `one_in` is sent to the same address, that of the origin, once more, `after` the first
    /// time.
    RunsAgain { one_in: u64, after: Micros },
    /// A request is sent to a node this long after discovery reported that it drains.
    SendsAfterDrain { after: Micros },
    /// A node that has just started is flooded with commands on many connections.
    FloodsCold,
    /// The same with more commands, each sent when the one before it on its connection is answered, and each
    /// miss is fetched from the origin at once.
    FetchesForCold,
    /// One answer in `one_in` carries the value of the answer before it.
    SwapsAnswer { one_in: u64 },
    /// A refusal is replaced by a value that no node sent.
    InventsAnswer,
    /// Answers are dropped, but only while one node drains and nodes answer with one error after another. No
    /// single kind of fault in a scenario causes both.
    LosesWhileDrainedAndFailing,
    /// One answer in `one_in` is kept for ever in a table: a memory leak. Breaks no rule.
    KeepsAnswers { one_in: u64 },
    /// Nodes that are gone are reported to the core as draining, so that it keeps them for ever. Breaks no
    /// rule.
    KeepsGone,
}

/// Creates the proxies of a run, each with this fault.
#[derive(Clone, Copy, Debug)]
pub struct FaultyProxies(pub ProxyFault);

impl Subjects for FaultyProxies {
    fn start(&self, start: Start) -> Box<dyn Subject> {
        let now = start.now;
        let mut faulty = Box::new(Faulty {
            fault: self.0,
            inner: Real.start(start),
            effects: Vec::new(),
            count: 0,
            last_own_connection: 0,
            addresses: BTreeMap::new(),
            origin_address: None,
            planned_commands: Vec::new(),
            own_connections: BTreeMap::new(),
            message: None,
            previous_value: Vec::new(),
            draining: Vec::new(),
            last_error_at: now - MAX_ERROR_GAP,
            consecutive_errors: 0,
            kept: Vec::new(),
        });
        faulty.inner.take_effects(&mut faulty.effects);
        faulty
    }
}

/// The bit that marks the numbers of connections opened by the fault.
const OWN_CONNECTION_BIT: u64 = 1 << 63;
/// The number of connections of a flood, and its commands in total for `FloodsCold` and for `FetchesForCold`.
const FLOOD_CONNECTIONS: usize = 60;
const FLOOD_COMMANDS: usize = 600;
const FETCHING_FLOOD_COMMANDS: usize = 6_000;
/// Errors are consecutive if less time than this lies between them; this many in a row trigger
/// `LosesWhileDrainedAndFailing`. The time also serves as the patience of the fault's own commands.
const MAX_ERROR_GAP: Micros = 1_000_000;
const MIN_CONSECUTIVE_ERRORS: u32 = 3;

/// A command to be sent to an address at a time; `None` for the last command written elsewhere.
struct PlannedCommand {
    at: Micros,
    address: SocketAddr,
    message: Option<Rc<Message>>,
}

/// A connection opened by the fault.
struct OwnConnection {
    /// The command to send; `None` for the last command that the core has written.
    message: Option<Rc<Message>>,
    /// How many more times a command is sent.
    remaining: usize,
    /// The command that was sent last.
    sent: Option<Rc<Message>>,
}

/// A proxy with an injected fault.
struct Faulty {
    fault: ProxyFault,
    inner: Box<dyn Subject>,
    /// The effects to be taken next: those of the core that were passed on, and the fault's own.
    effects: Vec<Effect>,
    /// The number of answers or writes so far, whichever the fault counts.
    count: u64,
    last_own_connection: u64,
    /// The addresses of the core's connections, and whether each is the origin's.
    addresses: BTreeMap<ConnectionId, (SocketAddr, bool)>,
    origin_address: Option<SocketAddr>,
    planned_commands: Vec<PlannedCommand>,
    own_connections: BTreeMap<ConnectionId, OwnConnection>,
    /// The last command that the core has written.
    message: Option<Rc<Message>>,
    /// The last value answered.
    previous_value: Vec<u8>,
    /// The nodes that discovery last reported as draining.
    draining: Vec<SocketAddr>,
    /// When a node last answered with an error.
    last_error_at: Micros,
    /// The number of consecutive errors.
    consecutive_errors: u32,
    /// The answers that `KeepsAnswers` keeps.
    kept: Vec<Vec<u8>>,
}

impl Faulty {
    fn handle_list(&mut self, now: Micros, list: &Cluster) {
        for node in &list.nodes {
            let phase = node.member.phase;
            self.draining.retain(|a| *a != node.address);
            if phase == Phase::Draining {
                self.draining.push(node.address);
            }
            match self.fault {
                ProxyFault::SendsAfterDrain { after } if phase == Phase::Draining => {
                    self.planned_commands.push(PlannedCommand {
                        at: now + after,
                        address: node.address,
                        message: None,
                    });
                }
                ProxyFault::FloodsCold | ProxyFault::FetchesForCold
                    if phase == Phase::Ready && node.member.started.is_some() =>
                {
                    let commands = if self.fault == ProxyFault::FloodsCold {
                        FLOOD_COMMANDS
                    } else {
                        FETCHING_FLOOD_COMMANDS
                    };
                    (0..FLOOD_CONNECTIONS)
                        .for_each(|_| self.dial(node.address, None, commands / FLOOD_CONNECTIONS));
                }
                _ => {}
            }
        }
    }

    fn dial(&mut self, address: SocketAddr, message: Option<Rc<Message>>, remaining: usize) {
        self.last_own_connection += 1;
        let connection = ConnectionId(OWN_CONNECTION_BIT | self.last_own_connection);
        self.own_connections.insert(connection, OwnConnection { message, remaining, sent: None });
        self.effects.push(Effect::Dial { connection, address, origin: false });
    }

    /// Sends the next command on an idle connection of the fault, or closes it after the last one.
    fn send_next(&mut self, connection: ConnectionId) {
        let last = self.message.clone();
        let next = self.own_connections.get_mut(&connection).filter(|c| c.remaining > 0).and_then(|c| {
            c.remaining -= 1;
            c.sent = c.message.clone().or(last);
            c.sent.clone()
        });
        match next {
            Some(message) => {
                let job = Job::Stream { message, patience: MAX_ERROR_GAP };
                self.effects.push(Effect::Write { connection, job });
            }
            None => {
                self.own_connections.remove(&connection);
                self.effects.push(Effect::Close { connection });
            }
        }
    }

    fn is_to_node(&self, connection: &ConnectionId) -> bool {
        self.addresses.get(connection).is_some_and(|(_, origin)| !origin)
    }

    fn is_nth(&mut self, one_in: u64) -> bool {
        self.count += 1;
        self.count.is_multiple_of(one_in.max(1))
    }

    /// Applies the fault to an effect of the core. Returns `None` if the effect is dropped.
    fn apply_to_effect(&mut self, now: Micros, effect: Effect) -> Option<Effect> {
        match effect {
            Effect::Answer { downstream, place, answer } => {
                let own_value = downstream.0.to_be_bytes();
                let answer = self.apply_to_answer(now, answer, &own_value)?;
                Some(Effect::Answer { downstream, place, answer })
            }
            Effect::Dial { connection, address, origin } => {
                self.addresses.insert(connection, (address, origin));
                self.origin_address = self.origin_address.or(Some(address).filter(|_| origin));
                Some(Effect::Dial { connection, address, origin })
            }
            Effect::Close { connection } => {
                self.addresses.remove(&connection);
                Some(Effect::Close { connection })
            }
            Effect::Write { connection, job: Job::Stream { message, patience } } => {
                self.message = Some(message.clone());
                if let (ProxyFault::RunsAgain { one_in, after }, true) = (self.fault, message.value.is_some())
                {
                    let address = self.addresses.get(&connection).copied();
                    if let Some((address, _)) = address.filter(|_| self.is_nth(one_in)) {
                        self.planned_commands.push(PlannedCommand {
                            at: now + after,
                            address,
                            message: Some(message.clone()),
                        });
                    }
                }
                Some(Effect::Write { connection, job: Job::Stream { message, patience } })
            }
            other => Some(other),
        }
    }

    /// Applies the fault to an answer. `own_value` is the value that a node would have sent for this request.
    fn apply_to_answer(&mut self, now: Micros, answer: Answer, own_value: &[u8]) -> Option<Answer> {
        match (self.fault, answer) {
            (ProxyFault::LosesAnswer { one_in }, answer) => (!self.is_nth(one_in)).then_some(answer),
            (ProxyFault::LosesWhileDrainedAndFailing, answer) => {
                let both = !self.draining.is_empty()
                    && now - self.last_error_at < MAX_ERROR_GAP
                    && self.consecutive_errors >= MIN_CONSECUTIVE_ERRORS;
                (!both).then_some(answer)
            }
            (ProxyFault::SwapsAnswer { one_in }, Answer::Value(value)) => {
                let previous_value = std::mem::replace(&mut self.previous_value, value.clone());
                Some(Answer::Value(if self.is_nth(one_in) && !previous_value.is_empty() {
                    previous_value
                } else {
                    value
                }))
            }
            (ProxyFault::InventsAnswer, Answer::Busy(_)) => Some(Answer::Value(own_value.to_vec())),
            (ProxyFault::KeepsAnswers { one_in }, Answer::Value(value)) => {
                if self.is_nth(one_in) {
                    self.kept.push(value.clone());
                }
                Some(Answer::Value(value))
            }
            (_, answer) => Some(answer),
        }
    }

    fn collect_effects(&mut self, now: Micros) {
        let mut effects = Vec::new();
        self.inner.take_effects(&mut effects);
        for effect in effects {
            let effect = self.apply_to_effect(now, effect);
            self.effects.extend(effect);
        }
    }
}

impl Subject for Faulty {
    fn input(&mut self, now: Micros, input: Input) {
        match &input {
            Input::Cluster(Some(list)) => self.handle_list(now, list),
            Input::Replied(c, reply) if reply.verdict == Verdict::Error && self.is_to_node(c) => {
                self.consecutive_errors =
                    if now - self.last_error_at < MAX_ERROR_GAP { self.consecutive_errors + 1 } else { 1 };
                self.last_error_at = now;
            }
            _ => {}
        }
        match input {
            Input::Connected(c) if c.0 & OWN_CONNECTION_BIT != 0 => self.send_next(c),
            Input::Replied(c, reply) if c.0 & OWN_CONNECTION_BIT != 0 => {
                let fetched = ProxyFault::FetchesForCold == self.fault && reply.verdict == Verdict::Miss;
                let missed = self.own_connections.get(&c).and_then(|c| c.sent.clone());
                if let (Some(address), Some(message)) = (self.origin_address, missed.filter(|_| fetched)) {
                    self.dial(address, Some(message), 1);
                }
                self.send_next(c);
            }
            Input::Broken(c, _) if c.0 & OWN_CONNECTION_BIT != 0 => {
                self.own_connections.remove(&c);
            }
            Input::Cluster(Some(mut list)) if self.fault == ProxyFault::KeepsGone => {
                let gone = list.nodes.iter_mut().filter(|n| n.member.phase == Phase::Gone);
                gone.for_each(|n| n.member.phase = Phase::Draining);
                self.inner.input(now, Input::Cluster(Some(list)));
            }
            input => self.inner.input(now, input),
        }
        self.collect_effects(now);
    }

    fn tick(&mut self, now: Micros) {
        self.inner.tick(now);
        self.collect_effects(now);
        let (due, later) = std::mem::take(&mut self.planned_commands).into_iter().partition(|p| p.at <= now);
        self.planned_commands = later;
        for PlannedCommand { address, message, .. } in due {
            self.dial(address, message, 1);
        }
    }

    fn take_effects(&mut self, into: &mut Vec<Effect>) {
        into.append(&mut self.effects);
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
