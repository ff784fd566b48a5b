//! A request through codecs and core, by stage, with a given number of downstreams: each has one request in
//! flight at a time, and answers arrive in the order of the requests.

use crate::callgrind::counted;
use crate::{counting, fleet, key, settings, SECOND};
use martenweir::codec::{discovery, resp};
use martenweir::core::{Answer, Core, DownstreamId, Effect, Input, Job, Message};
use martenweir::core::{ConnectionId, NewStream, Reply};
use martenweir::interface::*;
use std::collections::VecDeque;
use std::hint::black_box;
use std::rc::Rc;

/// The stages of a request, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Stage {
    Parse,
    Decide,
    Encode,
    ParseReply,
    Settle,
    Answer,
}

/// The names of the stages, in order.
pub const STAGES: [&str; 6] = ["parse", "decide", "encode", "parse reply", "settle", "answer"];

/// Length of a value, in bytes.
const VALUE_BYTES: usize = 1024;
/// Time until an answer, as far as steps of at least 1 ms between requests allow.
const ANSWER_TIME: Micros = 50_000;

/// A proxy without sockets, its downstreams, and the allocations of the stages.
pub struct Proxy {
    core: Core,
    now: Micros,
    step: Micros,
    downstreams: u64,
    requested: u64,
    in_flight: VecDeque<(ConnectionId, Job)>,
    reply: Vec<u8>,
    effects: Vec<Effect>,
    /// Allocations by stage, and the number of requests that were answered with a value.
    pub allocations: [u64; STAGES.len()],
    pub served: u64,
    /// The stage whose instructions callgrind counts.
    pub counted: Option<Stage>,
}

impl Proxy {
    pub fn new(nodes: u64, downstreams: u64) -> Self {
        let listed = |(n, member): (usize, Member)| discovery::Listed {
            member,
            address: ([127, 0, 0, 1], (n % 60_000) as u16 + 1).into(),
            name: format!("s-{n}").into(),
        };
        let nodes = fleet(nodes).into_iter().enumerate().map(listed).collect();
        let known = discovery::Cluster { revision: 1, complete: true, nodes };
        let now = 1_000 * SECOND;
        // A connection pauses for 10 ms after an answer: at a faster rate each request would find none and
        // dial.
        let step = (ANSWER_TIME / downstreams.max(1) as Micros).max(1_000);
        let mut reply = b"*3\r\n".to_vec();
        resp::put_bulk(&mut reply, &[b'v'; VALUE_BYTES]);
        resp::put_bulk(&mut reply, b"hit");
        resp::put_bulk(&mut reply, b"util=0.1");
        let core = Core::new(now, settings(), 1, 20_000, known);
        let (in_flight, effects) = (VecDeque::new(), Vec::new());
        let allocations = [0; STAGES.len()];
        let mut p = Proxy {
            core,
            now,
            step,
            downstreams,
            requested: 0,
            in_flight,
            reply,
            effects,
            allocations,
            served: 0,
            counted: None,
        };
        p.core.swap_effects(&mut p.effects);
        p
    }

    /// Plays `rounds` requests one after the other; a downstream sends its next request when its turn comes
    /// again.
    pub fn run(&mut self, rounds: u64) {
        for _ in 0..rounds {
            self.now += self.step;
            if self.requested >= self.downstreams {
                self.node_answers();
            }
            self.downstream_requests();
            if self.now >= self.core.next() {
                self.core.tick(self.now);
                self.carry_out();
            }
        }
    }

    /// Resets the counters.
    pub fn reset(&mut self) {
        (self.allocations, self.served) = ([0; STAGES.len()], 0);
    }

    /// Runs a stage, and counts its allocations and, if callgrind is to count them, its instructions.
    fn run_stage<T>(&mut self, stage: Stage, work: impl FnOnce(&mut Self) -> T) -> T {
        let before = counting::allocations();
        let result = counted(self.counted == Some(stage), || work(self));
        self.allocations[stage as usize] += counting::allocations() - before;
        result
    }

    fn downstream_requests(&mut self) {
        self.requested += 1;
        let (n, key) = (self.requested, key(self.requested));
        let mut command = Vec::new();
        let (name, id) = (format!("{:016x}", key.0), format!("t-{n}"));
        let words: [&[u8]; 4] = [b"CACHE.GET", name.as_bytes(), id.as_bytes(), b"c=lookup,t=one,d=900"];
        resp::put_command(&mut command, &words);
        let words = self.run_stage(Stage::Parse, |_| stage_parse(&command));
        let ask = NewStream {
            downstream: DownstreamId(n % self.downstreams),
            place: n / self.downstreams,
            class: ClassId((n % 3) as u16),
            tenant: TenantId((n % 3) as u32),
            key,
            repeat: false,
            patience: 900_000_000,
            hint: None,
            message: Rc::new(message(words)),
        };
        self.run_stage(Stage::Decide, |p| p.stage_decide(ask));
        self.carry_out();
    }

    fn node_answers(&mut self) {
        let Some((connection, job)) = self.in_flight.pop_front() else { return };
        let bytes = self.run_stage(Stage::Encode, |_| stage_encode(&job));
        black_box(bytes);
        let reply = self.run_stage(Stage::ParseReply, |p| stage_parse_reply(&p.reply));
        self.run_stage(Stage::Settle, |p| p.stage_settle(connection, reply));
        self.carry_out();
    }

    fn carry_out(&mut self) {
        loop {
            let mut effects = std::mem::take(&mut self.effects);
            self.core.swap_effects(&mut effects);
            if effects.is_empty() {
                self.effects = effects;
                return;
            }
            for effect in effects.drain(..) {
                match effect {
                    Effect::Answer { answer, .. } => {
                        self.served += u64::from(matches!(answer, Answer::Value(_)));
                        let bytes = self.run_stage(Stage::Answer, |_| stage_answer(answer));
                        black_box(bytes);
                    }
                    Effect::Dial { connection, .. } => {
                        self.core.input(self.now, Input::Connected(connection));
                    }
                    Effect::Write { connection, job } => self.in_flight.push_back((connection, job)),
                    _ => {}
                }
            }
            self.effects = effects;
        }
    }

    #[inline(never)]
    fn stage_decide(&mut self, ask: NewStream) {
        self.core.input(self.now, Input::Stream(ask));
    }

    #[inline(never)]
    fn stage_settle(&mut self, connection: ConnectionId, reply: Reply) {
        self.core.input(self.now, Input::Replied(connection, reply));
    }
}

fn message(words: Vec<Vec<u8>>) -> Message {
    let mut words = words.into_iter();
    let mut word = || words.next().unwrap_or_default();
    Message { verb: word(), key: word(), id: word(), properties: word(), ..Message::default() }
}

#[inline(never)]
fn stage_parse(bytes: &[u8]) -> Vec<Vec<u8>> {
    match resp::command(black_box(bytes)) {
        Ok(resp::Command::Whole(words, _)) => words,
        _ => Vec::new(),
    }
}

#[inline(never)]
fn stage_encode(job: &Job) -> Vec<u8> {
    let mut out = Vec::new();
    if let Job::Stream { message: m, patience } = job {
        let properties = martenweir::net::upstream::with_time_left(&m.properties, patience / 1000);
        resp::put_command(&mut out, &[&m.verb, &m.key, &m.id, &properties]);
    }
    out
}

#[inline(never)]
fn stage_parse_reply(bytes: &[u8]) -> Reply {
    let value = match resp::reply(black_box(bytes)) {
        Ok(Some((resp::Reply::Array(items), _))) => items.into_iter().next().flatten().unwrap_or_default(),
        _ => Vec::new(),
    };
    Reply { verdict: Verdict::Served, value, note: 1, report: vec![0.1], keep: true, no_place: false }
}

#[inline(never)]
fn stage_answer(answer: Answer) -> Vec<u8> {
    let mut out = Vec::new();
    if let Answer::Value(value) = answer {
        resp::put_bulk(&mut out, &value);
    }
    out
}
