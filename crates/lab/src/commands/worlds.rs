//! Arguments that several commands share: where to play, with which seeds, on how many threads.

use super::CommandError;
use crate::experiment::{batch, parallel};
use crate::host::Host;
use crate::loopback::children::Program;
use crate::loopback::Loopback;
use crate::report::result::World;
use crate::virtual_host::fault_injection::{FaultyProxies, ProxyFault};
use crate::virtual_host::{Subjects, Virtual};
use std::num::NonZeroUsize;
use std::path::{Path, PathBuf};
use world::scenario::Scenario;

/// A fault that can be planted in the proxies of the virtual world, by the name that tokens keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
#[value(rename_all = "snake_case")]
pub enum PlantName {
    /// One answer in 100 never leaves the proxy
    LostAnswer,
    /// One write in 20 is sent again 4.2 s later, past its window
    SecondRun,
    /// A request goes to a node 2.6 s after the word that it drains
    LateSend,
    /// A node that has just started is sent all that it takes
    ColdFlood,
    /// One answer in 100 is that of the request before
    SwappedAnswer,
    /// Answers are lost, but only while one node drains and others answer with errors
    TwoAtOnce,
}

impl PlantName {
    fn proxies(self) -> &'static dyn Subjects {
        static LOST_ANSWER: FaultyProxies = FaultyProxies(ProxyFault::LosesAnswer { one_in: 100 });
        static SECOND_RUN: FaultyProxies =
            FaultyProxies(ProxyFault::RunsAgain { one_in: 20, after: 4_200_000 });
        static LATE_SEND: FaultyProxies = FaultyProxies(ProxyFault::SendsAfterDrain { after: 2_600_000 });
        static COLD_FLOOD: FaultyProxies = FaultyProxies(ProxyFault::FloodsCold);
        static SWAPPED_ANSWER: FaultyProxies = FaultyProxies(ProxyFault::SwapsAnswer { one_in: 100 });
        static TWO_AT_ONCE: FaultyProxies = FaultyProxies(ProxyFault::LosesWhileDrainedAndFailing);
        match self {
            PlantName::LostAnswer => &LOST_ANSWER,
            PlantName::SecondRun => &SECOND_RUN,
            PlantName::LateSend => &LATE_SEND,
            PlantName::ColdFlood => &COLD_FLOOD,
            PlantName::SwappedAnswer => &SWAPPED_ANSWER,
            PlantName::TwoAtOnce => &TWO_AT_ONCE,
        }
    }
}

/// Where to play.
#[derive(Clone, Debug, clap::Args)]
pub struct Where {
    /// Virtual time in this process, or real sockets and processes on this machine
    #[arg(long, value_enum, default_value = "virtual")]
    pub world: World,
    /// The program to start as proxies, in place of the workspace's own (loopback only)
    #[arg(long, value_name = "PROGRAM")]
    proxy: Option<PathBuf>,
}

impl Where {
    pub fn host(&self) -> Result<Box<dyn Host>, CommandError> {
        match (self.world, &self.proxy) {
            (World::Virtual, None) => Ok(virtual_host(None)),
            (World::Virtual, Some(_)) => Err(CommandError::Usage(
                "--proxy: the virtual world drives the proxy's core itself; wanted: --world loopback".into(),
            )),
            (World::Loopback, program) => Ok(Box::new(Loopback::new(proxy_program(program.as_deref())?))),
        }
    }
}

/// What is started as proxies: the one built into this program, or another.
pub fn proxy_program(named: Option<&Path>) -> Result<Program, CommandError> {
    match named {
        None => {
            Program::own().map_err(|source| CommandError::Io { what: "the lab's own program".into(), source })
        }
        Some(path) => Program::at(path).map_err(|source| {
            CommandError::Usage(format!("--proxy: {}: {source}; wanted: a program", path.display()))
        }),
    }
}

/// The virtual world, its proxies with a planted fault if one is named.
pub fn virtual_host(plant: Option<PlantName>) -> Box<dyn Host> {
    Box::new(plant.map_or_else(Virtual::default, |plant| Virtual { subjects: plant.proxies() }))
}

/// Which seeds to play.
#[derive(Clone, Debug, clap::Args)]
pub struct Seeds {
    /// How many seeds to play at each point
    #[arg(long, value_name = "N", default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=100_000))]
    seeds: u64,
    /// The first of them; the scenario's own if absent
    #[arg(long, value_name = "N")]
    seed: Option<u64>,
}

impl Seeds {
    pub fn list(&self, scenario: &Scenario) -> Vec<u64> {
        batch::seeds(self.seed.unwrap_or(scenario.seed), self.seeds)
    }
}

/// On how many threads to play; no result depends on it.
#[derive(Clone, Debug, clap::Args)]
pub struct Threads {
    /// Threads to play on; all cores if absent
    #[arg(long, value_name = "N")]
    threads: Option<NonZeroUsize>,
}

impl Threads {
    pub fn count(&self) -> NonZeroUsize {
        self.threads.unwrap_or_else(parallel::cores)
    }
}
