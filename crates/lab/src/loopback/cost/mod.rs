//! Measures the cost of a request through the proxy against one sent directly to a node: CPU, throughput,
//! latency.
//!
//! The nodes do not use the models of `world`: they answer every read at once with the same value, so that
//! only the path to them is measured. Clients run a closed loop, one request at a time on each connection, as
//! fast as they can. To judge how well a proxy serves, play a scenario instead.

mod load;
mod protocol;
mod stub_servers;

use super::children::{Child, HealthCheck, Limits, Program};
use super::settings;
use super::socket::port::ReservedPort;
use crate::host::HostError;
use async_executor::LocalExecutor;
use async_io::Timer;
pub use protocol::Protocol;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use stub_servers::{StubDiscovery, StubNodes};
use world::facts::{NodeNo, ProxyNo, ORIGIN};
use world::outcome::Latencies;
use world::world::World;

/// What to measure, and for how long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    /// Duration of each measurement, without the warm-up.
    pub seconds: f64,
    pub connections: usize,
    /// Size of a value.
    pub value_bytes: usize,
    /// Protocol of the clients.
    pub clients: Protocol,
    /// Protocol of the nodes behind a proxy; a node that is measured directly uses the clients' protocol.
    pub nodes: Protocol,
}

/// Number of threads for the clients, and the same number for the nodes.
const THREADS: usize = 2;
const NODE_COUNT: u32 = 4;
const NODE_KIND: &str = "full-node";
/// Tenant of memcached clients, whose protocol cannot name one; the other clients send the same.
const TENANT: &str = "nordurbanki";
/// Client timeout.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time at the start of each measurement that is not counted.
const WARM_UP: Duration = Duration::from_millis(500);
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Result of one measurement.
#[derive(Clone, Debug)]
pub struct Measured {
    /// Requests answered with a value, and all others.
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

    /// CPU time of the proxy for each request, in microseconds.
    pub fn proxy_us(&self) -> Option<f64> {
        self.proxy_cpu.map(|cpu| cpu.as_secs_f64() * 1e6 / (self.served + self.failed).max(1) as f64)
    }

    /// Adds another measurement as if both were one longer measurement. Memory is the larger of the two.
    pub fn merge(&mut self, other: &Measured) {
        self.served += other.served;
        self.failed += other.failed;
        self.seconds += other.seconds;
        self.latency.merge(&other.latency);
        self.proxy_cpu = self.proxy_cpu.zip(other.proxy_cpu).map(|(a, b)| a + b);
        self.own_cpu += other.own_cpu;
        self.proxy_memory_kb = self.proxy_memory_kb.max(other.proxy_memory_kb);
    }

    /// CPU time of the clients and nodes for each request, in microseconds.
    pub fn own_us(&self) -> f64 {
        self.own_cpu.as_secs_f64() * 1e6 / (self.served + self.failed).max(1) as f64
    }
}

fn io_error(what: &'static str) -> impl Fn(std::io::Error) -> HostError {
    move |source| HostError::Io { what: what.into(), source }
}

/// Measures clients that connect directly to a node.
pub fn direct(plan: Plan) -> Result<Measured, HostError> {
    let nodes = StubNodes::start(THREADS, 1, plan.clients, plan.value_bytes)
        .map_err(io_error("cannot start the nodes"))?;
    measure(plan, nodes.addresses()[0], None)
}

/// Measures clients that connect to one proxy with nodes behind it.
pub fn through(plan: Plan, program: &Program) -> Result<Measured, HostError> {
    let world = World::builder()
        .halls(["hofdi"])
        .proxies(1)
        .nodes(NODE_KIND, NODE_COUNT, |_| {})
        // A high enough rate that no tenant exceeds its share.
        .rate(1e6)
        .build(1)
        .map_err(|problem| HostError::Unplayable(problem.to_string()))?;
    let nodes = StubNodes::start(THREADS, NODE_COUNT as usize, plan.nodes, plan.value_bytes);
    let nodes = nodes.map_err(io_error("cannot start the nodes"))?;
    let discovery = StubDiscovery::start().map_err(io_error("cannot start discovery"))?;
    let reserved = ReservedPort::reserve().map_err(io_error("cannot reserve a port for the proxy"))?;
    // Every read hits, so the origin is never asked and any node's address will do for it.
    let address = |node: NodeNo| nodes.addresses()[if node == ORIGIN { 0 } else { node.0 as usize }];
    let start = settings::ProxyStart {
        proxy: ProxyNo(0),
        listen: reserved.address(),
        discovery: discovery.address(),
        seed: 1,
    };
    let configuration = settings::configuration(&world, start, &settings::serving_list(&world, address));
    let dir = tempfile::Builder::new()
        .prefix("lab-")
        .tempdir()
        .map_err(io_error("cannot create a temporary directory"))?;
    let path = dir.path().join("config.json");
    std::fs::write(&path, configuration.to_string()).map_err(io_error("cannot write the configuration"))?;
    let memcached_port =
        ReservedPort::reserve().map_err(io_error("cannot reserve a port for memcached clients"))?;
    let features = dir.path().join("martenweir.conf");
    std::fs::write(&features, feature_config(plan, memcached_port.address()))
        .map_err(io_error("cannot write the proxy's configuration file"))?;
    let limits = Limits { memory_kb: u64::MAX, descriptors: 4096, file_bytes: None };
    let variables = [
        ("NODE_NAME", "n0".to_owned()),
        ("NODE_LISTEN", reserved.address().to_string()),
        ("NODE_DISCOVERY", discovery.address().to_string()),
        ("NODE_CONFIG", path.display().to_string()),
    ];
    let arguments = ["--conf".into(), features.into()];
    let mut proxy = Child::start("n0", program, limits, dir.path(), &variables, &arguments)?;
    wait_until_ready(&mut proxy, reserved.address())?;
    let address = match plan.clients {
        Protocol::Resp => reserved.address(),
        Protocol::Memcached => memcached_port.address(),
    };
    measure(plan, address, Some(&mut proxy))
}

/// The proxy's configuration file: enables the features under measurement and nothing else.
fn feature_config(plan: Plan, memcached_port: SocketAddr) -> String {
    let mut lines = String::new();
    if plan.clients == Protocol::Memcached {
        let (port, wait) = (memcached_port.port(), CLIENT_TIMEOUT.as_millis());
        lines += &format!("memcacheport {port}\nmemcachetenant {TENANT}\nmemcachereadwait {wait} ms\n");
    }
    if plan.nodes == Protocol::Memcached {
        lines += &format!("memcachenodes kind {NODE_KIND}\n");
    }
    lines
}

fn wait_until_ready(proxy: &mut Child, address: SocketAddr) -> Result<(), HostError> {
    let executor = LocalExecutor::new();
    let since = Instant::now();
    async_io::block_on(executor.run(async {
        let health = HealthCheck::watch(address, &executor);
        while !health.is_ready() {
            if let Some(status) = proxy.ended() {
                return Err(proxy.error(&format!("died ({status})")));
            }
            if since.elapsed() >= READY_TIMEOUT {
                return Err(proxy.error("did not become ready in time"));
            }
            Timer::after(Duration::from_millis(10)).await;
        }
        Ok(())
    }))
}

fn measure(plan: Plan, address: SocketAddr, mut proxy: Option<&mut Child>) -> Result<Measured, HostError> {
    let load =
        load::LoadGenerator::start(address, THREADS, plan).map_err(io_error("cannot start the clients"))?;
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
