//! The system under test that the engine drives: the proxy's core, or a substitute with a known fault.

use martenweir::codec::discovery::Cluster;
use martenweir::core::status::Size;
use martenweir::core::{Core, Effect, Input};
use martenweir::interface::{Micros, Settings};
use world::facts::ProxyNo;

/// A proxy's process without its sockets, with the interface that the owner task of the real program uses:
/// inputs, effects and a periodic tick.
pub trait Subject {
    fn input(&mut self, now: Micros, input: Input);
    fn tick(&mut self, now: Micros);
    /// Moves the effects since the last call into `into`, which is empty, in the order in which they are to
    /// be applied.
    fn take_effects(&mut self, into: &mut Vec<Effect>);
    fn open_streams(&self) -> usize;

    /// The names of its tables, each with the number of its entries.
    fn sizes(&self) -> Vec<Size> {
        Vec::new()
    }
}

impl Subject for Core {
    fn input(&mut self, now: Micros, input: Input) {
        Core::input(self, now, input);
    }

    fn tick(&mut self, now: Micros) {
        Core::tick(self, now);
    }

    fn take_effects(&mut self, into: &mut Vec<Effect>) {
        Core::swap_effects(self, into);
    }

    fn open_streams(&self) -> usize {
        Core::open_streams(self)
    }

    fn sizes(&self) -> Vec<Size> {
        Core::sizes(self)
    }
}

/// The parameters with which a proxy is started.
#[derive(Clone, Debug)]
pub struct Start {
    pub proxy: ProxyNo,
    pub now: Micros,
    pub settings: Settings,
    pub seed: u64,
    pub max_node_connections: usize,
    /// The nodes that discovery lists at the start.
    pub known: Cluster,
}

/// Creates the proxies of a run, including those that are restarted. One factory can serve several runs at
/// once.
pub trait Subjects: Sync {
    fn start(&self, start: Start) -> Box<dyn Subject>;
}

/// Creates proxies with the unmodified core.
#[derive(Clone, Copy, Debug, Default)]
pub struct Real;

impl Subjects for Real {
    fn start(&self, s: Start) -> Box<dyn Subject> {
        Box::new(Core::new(s.now, s.settings, s.seed, s.max_node_connections, s.known))
    }
}

impl<F: Fn(Start) -> Box<dyn Subject> + Sync> Subjects for F {
    fn start(&self, start: Start) -> Box<dyn Subject> {
        self(start)
    }
}
