//! A planner and its forwarders in virtual time, with what both take.
//!
//! Forwarders are the real machines up to a number; those beyond it *echo*: each says under a name of its own what one
//! of the real ones says, byte for byte but for the greeting, and drops what it hears. The planner does all its work for
//! each of them. So it can be run with as many as it takes, while the machines of their other side would want more
//! memory and time than there is; `tests/capacity.rs` holds echoes against real ones.

use super::super::meter::Taken;
use super::super::Fault;
use plan::forwarder::{Config, Forwarder, Output};
use plan::message::{Message, Verdict};
use plan::observations::Listed;
use plan::planner::{self, Planner};
use plan::{frame, ForwarderId, Micros, Node, Rules, Zone, SECOND};

/// Time between two moments at which something happens.
const STEP: Micros = 50_000;
/// Each forwarder asks each node twice a second: once in so many steps.
const ASKS: usize = 10;
/// Nodes of which a forwarder tells within the time between two requests to a node; of more, it tells of as many.
pub const TOLD_OF: u64 = 2 * plan::bounds::ANSWERING_NODES_PER_REPORT as u64;
/// By then all are connected, and the planner has opinions ([`Rules::warm`] is 3.5 s).
const WARM: Micros = 5 * SECOND;
/// Time that is measured: eight sights and plans, two tellings of terms.
pub const MEASURED: Micros = 2 * SECOND;
/// Nodes that stop answering when measuring begins.
const SILENT: usize = 3;

/// How many there are.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    pub forwarders: usize,
    /// Of these, the real machines.
    pub real: usize,
    pub nodes: usize,
}

/// What went over the links of one side while it was measured, and what that side took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Side {
    pub bytes_out: u64,
    pub messages_out: u64,
    /// The longest frame that it sent, ever.
    pub longest_out: usize,
    pub taken: Taken,
}

/// What came of a run.
pub struct Ran {
    pub planner: Side,
    /// What the planner heard of all: the real ones and the echoes.
    pub heard: Side,
    /// All real forwarders together, without traffic's own events.
    pub forwarders: Side,
    /// Bytes that went with the planner when it was dropped.
    pub planner_held: i64,
    /// The same of the first forwarder.
    pub forwarder_held: i64,
}

struct World {
    planner: Planner,
    real: Vec<Forwarder>,
    listed: Vec<Listed>,
    fleet: Fleet,
    now: Micros,
    up: Side,
    down: Side,
    heard: Side,
}

/// Plays a fleet until all of it is measured.
pub fn play(fleet: Fleet, seed: u64) -> Result<Ran, Fault> {
    let real = fleet.real.clamp(1, fleet.forwarders.max(1));
    let fleet = Fleet { real, ..fleet };
    let rules = Rules { forwarders: fleet.forwarders.max(1) as u32, ..Rules::default() };
    let planner = Planner::new(0, rules.clone(), 1).map_err(Fault::broken)?;
    let node = |n: usize| Listed {
        node: Node { id: plan::spread::mix(n as u64), life: 0 },
        zone: Zone((n % 2) as u8),
        ready: true,
    };
    let listed: Vec<Listed> = (0..fleet.nodes).map(node).collect();
    let forwarder = |f: usize| {
        let (id, zone) = (ForwarderId(f as u64), Zone((f % 2) as u8));
        let seed = plan::spread::mix(seed ^ f as u64);
        let config = Config { id, life: 1, zone, tenants: 9, classes: 2, planners: 1, seed };
        let mut forwarder = Forwarder::new(0, rules.clone(), config).map_err(Fault::broken)?;
        forwarder.list(0, 1, &listed, &mut vec![]);
        Ok(forwarder)
    };
    let real = (0..fleet.real).map(forwarder).collect::<Result<Vec<_>, Fault>>()?;
    let (up, down, heard) = Default::default();
    let mut world = World { planner, real, listed, fleet, now: 0, up, down, heard };
    while world.now < WARM + MEASURED {
        world.now += STEP;
        world.traffic();
        world.forwarders_speak()?;
        world.planner_speaks()?;
    }
    let World { planner, mut real, up, down, heard, .. } = world;
    let planner_held = super::super::meter::freed_by(planner);
    let forwarder_held = super::super::meter::freed_by(real.swap_remove(0));
    Ok(Ran { planner: down, heard, forwarders: up, planner_held, forwarder_held })
}

impl World {
    fn is_measured(&self) -> bool {
        self.now > WARM
    }

    /// What goes on at nodes: the forwarders' own business, not the planner's.
    fn traffic(&mut self) {
        let step = (self.now / STEP) as usize;
        for (f, forwarder) in self.real.iter_mut().enumerate() {
            for (n, l) in self.listed.iter().enumerate().filter(|(n, _)| (n + f + step).is_multiple_of(ASKS))
            {
                let silent = n < SILENT && self.now > WARM;
                forwarder.observations().sent(self.now, l.node);
                let verdict = if silent { Verdict::Timeout } else { Verdict::Served };
                forwarder.observations().ended(self.now, l.node, verdict, 100_000);
            }
        }
    }

    fn forwarders_speak(&mut self) -> Result<(), Fault> {
        let now = self.now;
        for f in 0..self.real.len() {
            let mut out = vec![];
            let mut side = Side::default();
            side.taken.by(|| self.real[f].tick(now, &mut out));
            let mut sent = vec![];
            for o in out {
                match o {
                    Output::Dial(_) => {
                        for peer in self.peers(f) {
                            self.planner.up(now, peer).map_err(Fault::broken)?;
                        }
                        side.taken.by(|| self.real[f].up(now, 0, &mut sent));
                    }
                    other => sent.push(other),
                }
            }
            for o in sent {
                let Output::Send(_, message) = o else { continue };
                let bytes = side.taken.by(|| frame::encode(&message)).map_err(Fault::broken)?;
                self.up.longest_out = self.up.longest_out.max(bytes.len());
                self.planner_hears(f, &message, &bytes)?;
                side.bytes_out += bytes.len() as u64;
                side.messages_out += 1;
            }
            if self.is_measured() {
                self.up.add(side);
            }
        }
        Ok(())
    }

    /// The connections on which the planner hears a real forwarder: its own and its echoes'.
    fn peers(&self, f: usize) -> Vec<u64> {
        (f..self.fleet.forwarders).step_by(self.fleet.real).map(|p| p as u64).collect()
    }

    fn planner_hears(&mut self, f: usize, message: &Message, bytes: &[u8]) -> Result<(), Fault> {
        let (mut taken, mut heard) = (Taken::default(), Side::default());
        for peer in self.peers(f) {
            let greeting = match message {
                Message::Hello(hello) if peer != f as u64 => {
                    let mut hello = hello.clone();
                    hello.forwarder = ForwarderId(peer);
                    Some(frame::encode(&Message::Hello(hello)).map_err(Fault::broken)?)
                }
                _ => None,
            };
            let mut bytes = greeting.as_deref().unwrap_or(bytes);
            heard.bytes_out += bytes.len() as u64;
            heard.messages_out += 1;
            self.heard.longest_out = self.heard.longest_out.max(bytes.len());
            let (planner, now) = (&mut self.planner, self.now);
            taken.by(|| {
                let read = frame::Reader::default().read(&mut bytes).map_err(Fault::broken)?;
                let read = read.ok_or_else(|| Fault::broken("half a frame"))?;
                planner.message(now, peer, &read, &mut vec![]).map_err(Fault::broken)
            })?;
        }
        if self.is_measured() {
            self.down.taken.add(taken);
            self.heard.add(heard);
        }
        Ok(())
    }

    fn planner_speaks(&mut self) -> Result<(), Fault> {
        let (mut out, mut side) = (vec![], Side::default());
        let (planner, now) = (&mut self.planner, self.now);
        let sent = side.taken.by(|| {
            planner.tick(now, &mut out);
            let frames = out.into_iter().filter_map(|o| match o {
                planner::Output::Send(to, message) => Some((vec![to], message)),
                planner::Output::Terms(to, message) => Some((to, message)),
                planner::Output::Close(..) => None,
            });
            let frames = frames.map(|(to, message)| Ok((to, frame::encode(&message)?, message)));
            frames.collect::<Result<Vec<_>, frame::Refused>>()
        });
        let mut theirs = Side::default();
        for (to, bytes, message) in sent.map_err(Fault::broken)? {
            side.bytes_out += (bytes.len() * to.len()) as u64;
            side.messages_out += to.len() as u64;
            self.down.longest_out = self.down.longest_out.max(bytes.len());
            drop(message);
            for peer in to {
                let Some(forwarder) = self.real.get_mut(peer as usize) else { continue };
                theirs.taken.by(|| {
                    let read = frame::Reader::default().read(&mut &bytes[..]).map_err(Fault::broken)?;
                    let read = read.ok_or_else(|| Fault::broken("half a frame"))?;
                    forwarder.message(now, 0, &read, &mut vec![]).map_err(Fault::broken)
                })?;
            }
        }
        if self.is_measured() {
            self.down.add(side);
            self.up.add(theirs);
        }
        Ok(())
    }
}

impl Side {
    fn add(&mut self, more: Side) {
        self.bytes_out += more.bytes_out;
        self.messages_out += more.messages_out;
        self.taken.add(more.taken);
    }

    /// A figure of the time measured as one of a second.
    pub fn per_s(total: f64) -> f64 {
        total * SECOND as f64 / MEASURED as f64
    }
}
