//! Address lists: which clients may connect, and which fronts may send a PROXY header. Behind a front, the
//! client's address from the header is checked.

use crate::codec::proxy::{self, Source};
use crate::interface::Micros;
use crate::net::downstream::{farewell, Link, TaskMessage, WaitingFor};
use crate::net::{canonical_address, read, send_event, Caller, LogEntry, NetEvent};
use futures_lite::future;
use ipnet::{IpNet, Ipv4Net};
use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};

/// Refused connections are logged at most once in this time.
const LOG_INTERVAL: Micros = 1_000_000;

/// The configured address ranges; all lists are empty by default.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AddressLists {
    pub allow: Vec<IpNet>,
    pub deny: Vec<IpNet>,
    pub proxyfrom: Vec<IpNet>,
}

/// Parses a range like `10.20.0.0/16` or a single address; host bits are cleared.
pub fn network(text: &str) -> Option<IpNet> {
    let network = text.parse().ok().or_else(|| text.parse::<IpAddr>().ok().map(IpNet::from))?;
    let mapped = match network {
        IpNet::V6(n) if n.prefix_len() >= 96 => n.addr().to_ipv4_mapped().map(|ip| (ip, n.prefix_len() - 96)),
        _ => None,
    };
    let network = match mapped {
        Some((ip, prefix)) => IpNet::V4(Ipv4Net::new(ip, prefix).ok()?),
        None => network,
    };
    Some(network.trunc())
}

fn contains(list: &[IpNet], ip: IpAddr) -> bool {
    let ip = ip.to_canonical();
    list.iter().any(|n| n.contains(&ip))
}

impl AddressLists {
    /// Whether a client may connect: deny lines take precedence, and without allow lines everybody else may.
    pub fn admits(&self, ip: IpAddr) -> bool {
        !contains(&self.deny, ip) && (self.allow.is_empty() || contains(&self.allow, ip))
    }

    /// Whether a connection from this address must begin with a PROXY header.
    pub fn trusts(&self, ip: IpAddr) -> bool {
        contains(&self.proxyfrom, ip)
    }
}

/// The lists in use, and the refused connections that have not been logged yet.
#[derive(Debug)]
pub struct AddressFilter {
    lists: AddressLists,
    refused: Cell<u64>,
    /// Refused connections since the start.
    refused_total: Cell<u64>,
    last: RefCell<Option<Caller>>,
    last_logged: Cell<Micros>,
}

impl AddressFilter {
    pub fn new(lists: AddressLists) -> Self {
        let (refused, refused_total, last_logged) = Default::default();
        AddressFilter { lists, refused, refused_total, last: RefCell::default(), last_logged }
    }

    /// Checks the peer of an accepted socket. A front is accepted unless it is denied itself; the client it
    /// forwards is checked once its header has been read.
    pub fn accepts(&self, peer: SocketAddr) -> bool {
        let front = self.trusts(peer) && !contains(&self.lists.deny, peer.ip());
        front || self.admits(&Caller { client: peer, via: None })
    }

    pub fn trusts(&self, peer: SocketAddr) -> bool {
        self.lists.trusts(peer.ip())
    }

    fn admits(&self, caller: &Caller) -> bool {
        let admitted = self.lists.admits(caller.client.ip());
        if !admitted {
            self.refused.set(self.refused.get() + 1);
            self.refused_total.set(self.refused_total.get() + 1);
            *self.last.borrow_mut() = Some(caller.clone());
        }
        admitted
    }

    /// Number of refused connections since the start.
    pub fn refused(&self) -> u64 {
        self.refused_total.get()
    }

    /// The number of connections refused since the last call that returned them, and the last of them, if
    /// [`LOG_INTERVAL`] has passed or `end` is set.
    pub fn take_refused(&self, now: Micros, end: bool) -> Option<(u64, Caller)> {
        if self.refused.get() == 0 || (now - self.last_logged.get() < LOG_INTERVAL && !end) {
            return None;
        }
        self.last_logged.set(now);
        Some((self.refused.take(), self.last.take()?))
    }

    /// Determines the client of a connection before any byte of the protocol is parsed. Returns `false` if
    /// the connection must be closed.
    pub async fn identify(&self, link: &mut Link) -> bool {
        let peer = link.caller.client;
        let is_front = self.trusts(peer);
        let mut input = Vec::new();
        loop {
            let header = if is_front { proxy::header(&input) } else { Ok(None) };
            match (header, proxy::begins(&input)) {
                (Ok(Some((source, taken))), _) => {
                    if let Source::Client(client) = source {
                        link.caller = Caller { client: canonical_address(client), via: Some(peer) };
                    }
                    if !self.admits(&link.caller) {
                        return false;
                    }
                    send_event(&link.queue, NetEvent::ProxyHeader(link.id, link.caller.clone())).await;
                    input.drain(..taken);
                    link.progress.set_waiting_for(WaitingFor::Command);
                    break;
                }
                (Err(malformed), _) => {
                    send_event(&link.queue, closed(&link.caller, malformed.0)).await;
                    return false;
                }
                (_, Some(true)) if !is_front => {
                    send_event(&link.queue, closed(&link.caller, "a PROXY header, but no front of ours"))
                        .await;
                    return false;
                }
                (_, Some(false)) if !is_front => break,
                _ => {}
            }
            // Shutting down: a header that has already arrived is read first, since a command may follow it.
            if link.finishing && is_front && link.socket.has_nothing_unread() {
                link.progress.set_waiting_for(WaitingFor::Close);
                farewell(&link.socket).await;
                return false;
            }
            link.progress.update(|shown| shown.partial_bytes = input.len());
            let order = async {
                while let Ok(TaskMessage::Refresh) = link.orders.recv().await {
                    link.progress.refreshed();
                }
                None
            };
            match future::or(order, async { Some(read(&link.socket, &mut input).await) }).await {
                Some(Ok(1..)) => {}
                Some(_) => return false,
                // Shutting down. Nothing may be sent before the PROXY header is known; other clients are
                // answered as usual.
                None => {
                    link.finishing = true;
                    if !is_front {
                        break;
                    }
                }
            }
        }
        link.input.set(input);
        true
    }
}

fn closed(caller: &Caller, why: &str) -> LogEntry {
    LogEntry::new("closed", format!("{caller} closed: {why}")).caller(caller).why(why)
}
