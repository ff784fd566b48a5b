//! What the engine drives: the proxy's core, or something in its place that fails in a known way.

use martenweir::codec::discovery::Cluster;
use martenweir::core::status::Size;
use martenweir::core::{Core, Effect, Input};
use martenweir::interface::{Micros, Settings};
use world::facts::ProxyNo;

/// A proxy's process without its sockets, as the owner task of the real program sees it: inputs in, effects out,
/// and a tick now and then.
pub trait Subject {
    fn input(&mut self, now: Micros, input: Input);
    fn tick(&mut self, now: Micros);
    /// Puts what is to be carried out since the last call into an empty list, in order.
    fn take_effects(&mut self, into: &mut Vec<Effect>);
    fn open_streams(&self) -> usize;

    /// The tables that it keeps, and how many things each holds.
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

/// What a proxy is started with.
#[derive(Clone, Debug)]
pub struct Start {
    pub proxy: ProxyNo,
    pub now: Micros,
    pub settings: Settings,
    pub seed: u64,
    pub max_node_connections: usize,
    pub known: Cluster,
}

/// Makes the proxies of a run, also those that start anew. One maker serves many runs at once.
pub trait Subjects: Sync {
    fn start(&self, start: Start) -> Box<dyn Subject>;
}

/// The proxy as it is.
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
