//! Address lists: who may connect, and for whom fronts speak. The caller's real address is judged.

use crate::codec::proxy::{self, Source};
use crate::interface::Micros;
use crate::net::downstream::{farewell, Link, TaskMessage, WaitingFor};
use crate::net::{canonical_address, read, send_event, Caller, LogEntry, NetEvent};
use futures_lite::future;
use ipnet::{IpNet, Ipv4Net};
use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};

/// Refused connections are told once in this time at the most.
const TELL: Micros = 1_000_000;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct AddressLists {
    pub allow: Vec<IpNet>,
    pub deny: Vec<IpNet>,
    pub proxyfrom: Vec<IpNet>,
}

/// A range like `10.20.0.0/16`, or a single address; bits behind the prefix count for nothing.
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
    /// Whether a caller may connect: a deny line wins, and without allow lines all others may.
    pub fn admits(&self, ip: IpAddr) -> bool {
        !contains(&self.deny, ip) && (self.allow.is_empty() || contains(&self.allow, ip))
    }

    /// Whether a connection from there must begin with a PROXY header.
    pub fn trusts(&self, ip: IpAddr) -> bool {
        contains(&self.proxyfrom, ip)
    }
}

/// The lists at work, and what is still to be told of those they refused.
#[derive(Debug)]
pub struct AddressFilter {
    lists: AddressLists,
    refused: Cell<u64>,
    /// All of them since the start.
    refused_total: Cell<u64>,
    last: RefCell<Option<Caller>>,
    told: Cell<Micros>,
}

impl AddressFilter {
    pub fn new(lists: AddressLists) -> Self {
        let (refused, refused_total, told) = Default::default();
        AddressFilter { lists, refused, refused_total, last: RefCell::default(), told }
    }

    /// Judges a socket at accept: a front is let in unless it is denied itself, and whom it speaks for is
    /// judged behind its header.
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

    /// How many were refused since the start.
    pub fn refused(&self) -> u64 {
        self.refused_total.get()
    }

    /// How many were refused since this was told last, and the last of them; if it is time to tell it or this
    /// is the end.
    pub fn take_refused(&self, now: Micros, end: bool) -> Option<(u64, Caller)> {
        if self.refused.get() == 0 || (now - self.told.get() < TELL && !end) {
            return None;
        }
        self.told.set(now);
        Some((self.refused.take(), self.last.take()?))
    }

    /// Learns who has connected before anything of the protocol is read. `false`: it is to be closed.
    pub async fn identify(&self, link: &mut Link) -> bool {
        let peer = link.caller.client;
        let trusted = self.trusts(peer);
        let mut input = Vec::new();
        loop {
            let header = if trusted { proxy::header(&input) } else { Ok(None) };
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
                (_, Some(true)) if !trusted => {
                    send_event(&link.queue, closed(&link.caller, "a PROXY header, but no front of ours"))
                        .await;
                    return false;
                }
                (_, Some(false)) if !trusted => break,
                _ => {}
            }
            // Told to finish: a header on its way comes first, and a command may be behind it.
            if link.finishing && trusted && link.socket.has_nothing_unread() {
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
                // Told to finish. Without a header nothing may be said; others are told as ever.
                None => {
                    link.finishing = true;
                    if !trusted {
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
