//! The ports the proxy listens on: an accepting task for each, and a connection gate shared by them.

use crate::admission::{Admission, PortKind};
use crate::features::file::Features;
use crate::net::accept::{accept, ConnectionLimiter};
use crate::net::{EventSender, PortIndex};
use async_executor::{LocalExecutor, Task};
use async_io::Async;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use tracing::info;

/// The service offered on a port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Service {
    /// The main client port.
    Main,
    Multiget,
    Tap,
    Memcached,
}

impl Service {
    /// All of them, in the order of their discriminants.
    pub(super) const ALL: [Service; 4] = [Service::Main, Service::Multiget, Service::Tap, Service::Memcached];

    /// The name of its port in the log.
    pub(super) fn name(self) -> &'static str {
        match self {
            Service::Main => "main",
            Service::Multiget => "multi-get",
            Service::Tap => "tap",
            Service::Memcached => "memcached",
        }
    }

    pub(super) fn side(self) -> PortKind {
        if self == Service::Main {
            PortKind::Main
        } else {
            PortKind::Side
        }
    }
}

/// Connections that may wait to be accepted, as far as the system allows. A client whose connection finds no
/// place tries again a second later.
const BACKLOG: i32 = 1024;

/// Bound listeners; they accept connections once [`BoundPorts::open`] is called.
pub(super) struct BoundPorts(Vec<(Async<TcpListener>, Service)>);

pub(super) struct Ports {
    /// Indexed by port number, see [`Port`].
    services: Vec<Service>,
    /// One accepting task per port; it ends and closes its port once a planned shutdown takes no more
    /// connections.
    accept: Vec<Task<()>>,
    /// Limits open connections; while it is full, new connections wait in the listen backlog.
    gate: Rc<ConnectionLimiter>,
}

fn bind_one(address: SocketAddr) -> Result<(Async<TcpListener>, SocketAddr), String> {
    let failed = |e| format!("cannot listen on {address}: {e}");
    let listener = Async::<TcpListener>::bind(address).map_err(failed)?;
    rustix::net::listen(&listener, BACKLOG).map_err(|e| failed(e.into()))?;
    let bound = listener.get_ref().local_addr().map_err(failed)?;
    Ok((listener, bound))
}

/// Binds the port of `listen` and, on the same address, the ports of features. `name` and `nodes` are logged
/// with it.
pub(super) fn bind(
    listen: SocketAddr,
    features: &Features,
    name: &str,
    nodes: usize,
) -> Result<BoundPorts, String> {
    let (listener, address) = bind_one(listen)?;
    info!(event = "listening", name, %address, nodes, "{name}: listening on {address}, {nodes} nodes known");
    let mut ports = vec![(listener, Service::Main)];
    let side_ports = [
        (features.multiget.as_ref().map(|m| m.port), Service::Multiget),
        (features.tap.as_ref().map(|t| t.port), Service::Tap),
        (features.memcached.as_ref().map(|m| m.port), Service::Memcached),
    ];
    for (number, service) in side_ports {
        let Some(number) = number else { continue };
        let name = service.name();
        let (listener, address) = bind_one(SocketAddr::new(listen.ip(), number))?;
        info!(event = "side_port", name, %address, "{name}: listening on {address}");
        ports.push((listener, service));
    }
    Ok(BoundPorts(ports))
}

impl BoundPorts {
    /// The number of ports besides the main one.
    pub(super) fn side_ports(&self) -> usize {
        self.0.len() - 1
    }

    /// Starts accepting connections from peers that `admits` allows, and reports them to `queue`.
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

    /// Sets the connection limits from the door's present ones.
    pub(super) fn allow(&self, door: &Admission) {
        self.gate
            .set_limits([PortKind::Main, PortKind::Side].map(|side| door.limit(side)), door.total_limit());
    }

    /// The numbers of open accepted connections per side, including those not yet reported to the event loop.
    pub(super) fn open(&self) -> [usize; 2] {
        self.gate.open()
    }

    /// Lets accepting tasks that wait for a descriptor try again, wherever one may have been released.
    pub(super) fn wake(&self) {
        self.gate.wake();
    }

    /// Stops accepting, except for connections already in the listen backlog.
    pub(super) fn close(&self) {
        self.gate.stop_accepting();
    }

    /// Whether all ports are closed.
    pub(super) fn are_closed(&self) -> bool {
        self.accept.iter().all(Task::is_finished)
    }
}
