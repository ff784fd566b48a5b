//! What a request through the proxy costs, beside one straight to a node: CPU, throughput, latency.
//!
//! Nodes here are none of the `world`: they answer every read at once with the same value, so that nothing but the
//! way there is measured. Clients go in a closed loop, one request at a time on each connection, as fast as they
//! can. Not for how well a proxy serves: play a scenario for that.

mod always;
mod load;
mod protocol;

use super::children::{Child, Limits, Program, Pulse};
use super::settings;
use super::socket::door::Held;
use crate::host::HostError;
use always::{Always, Discovery};
use async_executor::LocalExecutor;
use async_io::Timer;
pub use protocol::Protocol;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use world::facts::{NodeNo, ProxyNo, ORIGIN};
use world::outcome::Latencies;
use world::world::World;

/// What is measured, and for how long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    /// Each way, without the time that it takes to get going.
    pub seconds: f64,
    pub connections: usize,
    /// Size of a value.
    pub value_bytes: usize,
    /// What clients speak.
    pub clients: Protocol,
    /// What the nodes behind a proxy speak; one that is asked straight speaks what its clients do.
    pub nodes: Protocol,
}

/// Threads that clients and nodes run on, each.
const THREADS: usize = 2;
const NODES: u32 = 4;
const KIND: &str = "full-node";
/// As whom memcached clients ask, who cannot say it; the others say the same.
const TENANT: &str = "nordurbanki";
/// How long a client waits.
const PATIENCE: Duration = Duration::from_secs(2);
/// Not counted at the start of each way.
const WARM_UP: Duration = Duration::from_millis(500);
const READY: Duration = Duration::from_secs(30);

/// One way, measured.
#[derive(Clone, Debug)]
pub struct Measured {
    /// Answered with a value, and in any other way.
    pub served: u64,
    pub failed: u64,
    pub seconds: f64,
    pub latency: Latencies,
    /// CPU time of the proxy, and of the clients and nodes together.
    pub proxy_cpu: Option<Duration>,
    pub own_cpu: Duration,
    pub proxy_memory_kb: Option<u64>,
}

impl Measured {
    pub fn per_second(&self) -> f64 {
        self.served as f64 / self.seconds
    }

    /// Of the proxy, in microseconds a request.
    pub fn proxy_us(&self) -> Option<f64> {
        self.proxy_cpu.map(|cpu| cpu.as_secs_f64() * 1e6 / (self.served + self.failed).max(1) as f64)
    }

    /// As one measurement that went on for both times. Memory is that of the larger one.
    pub fn merge(&mut self, other: &Measured) {
        self.served += other.served;
        self.failed += other.failed;
        self.seconds += other.seconds;
        self.latency.merge(&other.latency);
        self.proxy_cpu = self.proxy_cpu.zip(other.proxy_cpu).map(|(a, b)| a + b);
        self.own_cpu += other.own_cpu;
        self.proxy_memory_kb = self.proxy_memory_kb.max(other.proxy_memory_kb);
    }

    /// Of the clients and nodes, in microseconds a request.
    pub fn own_us(&self) -> f64 {
        self.own_cpu.as_secs_f64() * 1e6 / (self.served + self.failed).max(1) as f64
    }
}

fn system(what: &'static str) -> impl Fn(std::io::Error) -> HostError {
    move |source| HostError::Io { what: what.into(), source }
}

/// Clients straight at a node.
pub fn direct(plan: Plan) -> Result<Measured, HostError> {
    let nodes = Always::start(THREADS, 1, plan.clients, plan.value_bytes).map_err(system("nodes"))?;
    measure(plan, nodes.addresses()[0], None)
}

/// Clients at one proxy, nodes behind it.
pub fn through(plan: Plan, program: &Program) -> Result<Measured, HostError> {
    let world = World::builder()
        .halls(["hofdi"])
        .proxies(1)
        .nodes(KIND, NODES, |_| {})
        // No tenant is above its share, whatever it sends.
        .rate(1e6)
        .build(1)
        .map_err(|problem| HostError::Unplayable(problem.to_string()))?;
    let nodes = Always::start(THREADS, NODES as usize, plan.nodes, plan.value_bytes);
    let nodes = nodes.map_err(system("nodes"))?;
    let discovery = Discovery::start().map_err(system("discovery"))?;
    let held = Held::take().map_err(system("a port for the proxy"))?;
    // Nothing misses, so nobody asks the ledger: any node will do for it.
    let address = |node: NodeNo| nodes.addresses()[if node == ORIGIN { 0 } else { node.0 as usize }];
    let place = settings::Place {
        proxy: ProxyNo(0),
        listen: held.address(),
        discovery: discovery.address(),
        seed: 1,
    };
    let configuration = settings::configuration(&world, place, &settings::serving(&world, address));
    let dir = tempfile::Builder::new().prefix("lab-").tempdir().map_err(system("a folder"))?;
    let path = dir.path().join("config.json");
    std::fs::write(&path, configuration.to_string()).map_err(system("the configuration"))?;
    let side = Held::take().map_err(system("a port for memcached clients"))?;
    let features = dir.path().join("martenweir.conf");
    std::fs::write(&features, own_file(plan, side.address())).map_err(system("the proxy's own file"))?;
    let limits = Limits { memory_kb: u64::MAX, descriptors: 4096, file_bytes: None };
    let variables = [
        ("NODE_NAME", "n0".to_owned()),
        ("NODE_LISTEN", held.address().to_string()),
        ("NODE_DISCOVERY", discovery.address().to_string()),
        ("NODE_CONFIG", path.display().to_string()),
    ];
    let arguments = ["--conf".into(), features.into()];
    let mut proxy = Child::start("n0", program, limits, dir.path(), &variables, &arguments)?;
    wait_until_ready(&mut proxy, held.address())?;
    let address = match plan.clients {
        Protocol::Resp => held.address(),
        Protocol::Memcached => side.address(),
    };
    measure(plan, address, Some(&mut proxy))
}

/// What turns on what is measured, and nothing else.
fn own_file(plan: Plan, side: SocketAddr) -> String {
    let mut lines = String::new();
    if plan.clients == Protocol::Memcached {
        let (port, wait) = (side.port(), PATIENCE.as_millis());
        lines += &format!("memcacheport {port}\nmemcachetenant {TENANT}\nmemcachereadwait {wait} ms\n");
    }
    if plan.nodes == Protocol::Memcached {
        lines += &format!("memcachenodes kind {KIND}\n");
    }
    lines
}

fn wait_until_ready(proxy: &mut Child, address: SocketAddr) -> Result<(), HostError> {
    let executor = LocalExecutor::new();
    let since = Instant::now();
    async_io::block_on(executor.run(async {
        let pulse = Pulse::watch(address, &executor);
        while !pulse.is_ready() {
            if let Some(status) = proxy.ended() {
                return Err(proxy.error(&format!("died ({status})")));
            }
            if since.elapsed() >= READY {
                return Err(proxy.error("is not ready"));
            }
            Timer::after(Duration::from_millis(10)).await;
        }
        Ok(())
    }))
}

fn measure(plan: Plan, address: SocketAddr, mut proxy: Option<&mut Child>) -> Result<Measured, HostError> {
    let load = load::Load::start(address, THREADS, plan).map_err(system("clients"))?;
    std::thread::sleep(WARM_UP);
    let used = |proxy: &Option<&mut Child>| {
        let own = super::children::Usage::of(std::process::id()).unwrap_or_default();
        (own.cpu, proxy.as_ref().and_then(|p| p.usage()))
    };
    let (own, of_proxy) = used(&proxy);
    let since = Instant::now();
    load.count(true);
    std::thread::sleep(Duration::from_secs_f64(plan.seconds));
    load.count(false);
    let seconds = since.elapsed().as_secs_f64();
    let (own_after, of_proxy_after) = used(&proxy);
    let counted = load.end();
    if let Some(proxy) = &mut proxy {
        if let Some(status) = proxy.ended() {
            return Err(proxy.error(&format!("died ({status})")));
        }
    }
    Ok(Measured {
        served: counted.served,
        failed: counted.failed,
        seconds,
        latency: counted.latency,
        proxy_cpu: of_proxy_after.zip(of_proxy).map(|(after, before)| after.cpu - before.cpu),
        own_cpu: own_after - own,
        proxy_memory_kb: of_proxy_after.map(|u| u.memory_kb),
    })
}
