//! The ports that the proxy listens on: a task each that accepts, and a gate before each sort of them.

use crate::admission::{Admission, PortKind};
use crate::features::file::Features;
use crate::net::accept::{accept, ConnectionLimiter};
use crate::net::{EventSender, PortIndex};
use async_executor::{LocalExecutor, Task};
use async_io::Async;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use tracing::info;

/// What is spoken on a port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Service {
    /// Where clients connect.
    Main,
    Multiget,
    Tap,
    Memcached,
}

impl Service {
    pub(super) fn side(self) -> PortKind {
        if self == Service::Main {
            PortKind::Main
        } else {
            PortKind::Side
        }
    }
}

/// The ports, bound; they accept once [`Bound::open`] is called.
pub(super) struct Bound(Vec<(Async<TcpListener>, Service)>);

pub(super) struct Ports {
    /// By the number of a port.
    services: Vec<Service>,
    /// One for each port; it ends, and the port with it, once the planned end takes no more.
    accept: Vec<Task<()>>,
    /// What comes while it is full waits in the backlog.
    gate: Rc<ConnectionLimiter>,
}

fn bind_one(address: SocketAddr) -> Result<(Async<TcpListener>, SocketAddr), String> {
    let failed = |e| format!("cannot listen on {address}: {e}");
    let listener = Async::<TcpListener>::bind(address).map_err(failed)?;
    let bound = listener.get_ref().local_addr().map_err(failed)?;
    Ok((listener, bound))
}

/// Binds the port of `listen` and, on the same address, those of features. `name` and `nodes` are told with
/// it.
pub(super) fn bind(
    listen: SocketAddr,
    features: &Features,
    name: &str,
    nodes: usize,
) -> Result<Bound, String> {
    let (listener, address) = bind_one(listen)?;
    info!(event = "listening", name, %address, nodes, "{name}: listening on {address}, {nodes} nodes known");
    let mut ports = vec![(listener, Service::Main)];
    let side_ports = [
        ("multi-get", features.multiget.as_ref().map(|m| m.port), Service::Multiget),
        ("tap", features.tap.as_ref().map(|t| t.port), Service::Tap),
        ("memcached", features.memcached.as_ref().map(|m| m.port), Service::Memcached),
    ];
    for (name, number, service) in side_ports {
        let Some(number) = number else { continue };
        let (listener, address) = bind_one(SocketAddr::new(listen.ip(), number))?;
        info!(event = "side_port", name, %address, "{name}: listening on {address}");
        ports.push((listener, service));
    }
    Ok(Bound(ports))
}

impl Bound {
    /// Ports besides the main one.
    pub(super) fn side_ports(&self) -> usize {
        self.0.len() - 1
    }

    /// Accepts whom `admits` lets in, and tells `queue`.
    pub(super) fn open(
        self,
        executor: &LocalExecutor<'static>,
        queue: &EventSender,
        admits: impl Fn(SocketAddr) -> bool + Clone + 'static,
    ) -> Ports {
        let mut ports = Ports { services: vec![], accept: vec![], gate: Rc::default() };
        for (listener, service) in self.0 {
            let (port, entry) = (PortIndex(ports.services.len()), ports.gate.for_port(service.side()));
            let task = accept(listener, port, queue.clone(), entry, admits.clone());
            ports.accept.push(executor.spawn(task));
            ports.services.push(service);
        }
        ports
    }
}

impl Ports {
    pub(super) fn service(&self, port: PortIndex) -> Service {
        self.services.get(port.0).copied().unwrap_or(Service::Main)
    }

    /// How many the door lets in by now.
    pub(super) fn allow(&self, door: &Admission) {
        self.gate
            .set_limits([PortKind::Main, PortKind::Side].map(|side| door.limit(side)), door.total_limit());
    }

    /// How many of each side have been accepted and are open, whether or not the owner has heard of them.
    pub(super) fn open(&self) -> [usize; 2] {
        self.gate.open()
    }

    /// Who waits for a descriptor tries again, whoever may have given one back.
    pub(super) fn wake(&self) {
        self.gate.wake();
    }

    /// Takes no more but what the kernel has accepted by now.
    pub(super) fn close(&self) {
        self.gate.stop_accepting();
    }

    /// Whether the ports are given back, with nobody left at them.
    pub(super) fn are_closed(&self) -> bool {
        self.accept.iter().all(Task::is_finished)
    }
}
