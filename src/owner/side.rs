//! The features at work in this proxy, as far as the owner deals with them: what is spoken on side ports, who
//! is let in, and who hears of streams that ended. With none on, all of it does nothing.

use super::ports::Service;
use crate::core::Record;
use crate::features::addresses::Addresses;
use crate::features::figures::Figures;
use crate::features::file::Features;
use crate::features::multiget::{self, Batches};
use crate::features::snmp::{Identity, Snmp};
use crate::features::tap::{self, Tap};
use crate::interface::{KindId, Micros, ServerId};
use crate::net::command::{CommandParser, MainProtocol};
use crate::net::downstream::{self, Link, WaitingFor};
use crate::net::memcached::gateway::GatewayConnection;
use crate::net::memcached::stats::PublishedStats;
use crate::net::memcached::{MemcachedNodes, PortState};
use crate::net::protocol::Protocol;
use crate::net::upstream::UpstreamProtocol;
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::field::display;
use tracing::warn;

/// Refused logins are told once in this time at the most.
const LOGINS: Micros = 1_000_000;

pub(super) struct Side {
    multiget: Option<multiget::Settings>,
    /// Reads that multi-gets have open, all downstreams together.
    reads: Rc<Cell<usize>>,
    tap: Option<Rc<Tap>>,
    addresses: Option<Rc<Addresses>>,
    figures: Option<Rc<Figures>>,
    memcached: Option<Rc<PortState>>,
    /// The nodes that speak the memcached protocol.
    speakers: MemcachedNodes,
    /// When refused logins were told last.
    logins_told: Micros,
    snmp: Option<Rc<Snmp>>,
    /// When figures were flushed last.
    flushed: Micros,
}

impl Side {
    /// An error tells what of the features does not fit the site.
    pub(super) fn new(now: Micros, features: Features, identity: Identity) -> Result<Self, String> {
        let (site, seed) = (&identity.site.clone(), identity.seed);
        let memcached =
            features.memcached.map(|settings| PortState::new(&settings, site, seed)).transpose()?;
        Ok(Side {
            memcached: memcached.map(Rc::new),
            speakers: MemcachedNodes::new(&features.memcachednodes, site)?,
            logins_told: now,
            multiget: features.multiget,
            reads: Rc::default(),
            tap: features.tap.map(|settings| Rc::new(Tap::new(settings, site.clone()))),
            addresses: features.addresses.map(|lists| Rc::new(Addresses::new(lists))),
            figures: features.figures.map(|settings| Rc::new(Figures::new(settings, site.clone()))),
            snmp: features.snmp.map(|settings| Rc::new(Snmp::new(now, settings, identity))),
            flushed: now,
        })
    }

    /// What a node speaks; one that is known no more is not spoken to.
    pub(super) fn dialect(&self, origin: bool, node: Option<(ServerId, KindId)>) -> UpstreamProtocol {
        match origin {
            true => UpstreamProtocol::Origin,
            false if node.is_some_and(|(server, kind)| self.speakers.contains(server, kind)) => {
                UpstreamProtocol::Memcached
            }
            false => UpstreamProtocol::Cache,
        }
    }

    /// Whoever asks the memcached port for figures is shown these.
    pub(super) fn publish(&self, published: impl FnOnce() -> PublishedStats) {
        if let Some(desk) = &self.memcached {
            desk.stats.published.set(published());
        }
    }

    /// Tells of logins that were refused, if it is time to or this is the end.
    pub(super) fn tell_logins(&mut self, now: Micros, end: bool) {
        let desk = self.memcached.as_ref().filter(|_| end || now - self.logins_told >= LOGINS);
        let Some((n, last)) = desk.and_then(|desk| desk.take_refused()) else { return };
        self.logins_told = now;
        let user = last.as_deref().unwrap_or("nobody known");
        warn!(
            event = "logins_refused",
            logins = n,
            user,
            "{n} logins refused at memcached, the last for {user}"
        );
    }

    pub(super) fn figures(&self) -> Option<Rc<Figures>> {
        self.figures.clone()
    }

    pub(super) fn snmp(&self) -> Option<Rc<Snmp>> {
        self.snmp.clone()
    }

    /// Connections that the address lists refused since the start.
    pub(super) fn refused(&self) -> u64 {
        self.addresses.as_ref().map_or(0, |a| a.refused())
    }

    /// Who may connect, for the ports.
    pub(super) fn admits(&self) -> impl Fn(SocketAddr) -> bool + Clone {
        let lists = self.addresses.clone();
        move |peer| lists.as_ref().is_none_or(|lists| lists.accepts(peer))
    }

    /// What a connection has to say first.
    pub(super) fn first(&self, peer: SocketAddr) -> WaitingFor {
        match self.addresses.as_ref().is_some_and(|lists| lists.trusts(peer)) {
            true => WaitingFor::Header,
            false => WaitingFor::default(),
        }
    }

    /// What is spoken on a port. A tap's downstream speaks it only as far as its orders go.
    pub(super) fn protocol(&self, service: Service, words: &Rc<CommandParser>) -> Box<dyn Protocol> {
        match (service, &self.multiget, &self.memcached) {
            (Service::Multiget, Some(settings), _) => {
                Box::new(Batches::new(settings, words.clone(), self.reads.clone()))
            }
            (Service::Memcached, _, Some(desk)) => {
                Box::new(GatewayConnection::new(desk.clone(), words.clone()))
            }
            _ => Box::new(MainProtocol(words.clone())),
        }
    }

    /// Serves a connection from its first byte to its end.
    pub(super) fn serve(
        &self,
        service: Service,
        mut link: Link,
        protocol: Box<dyn Protocol>,
    ) -> impl Future<Output = ()> {
        let (addresses, tap) = (self.addresses.clone(), self.tap.clone().filter(|_| service == Service::Tap));
        async move {
            if let Some(addresses) = &addresses {
                if !addresses.introduce(&mut link).await {
                    return;
                }
            }
            match tap {
                Some(tap) => tap::serve(link, tap).await,
                None => downstream::serve(link, protocol).await,
            }
        }
    }

    /// Somebody wants to hear of streams that end.
    pub(super) fn listens(&self) -> bool {
        let figures = self.figures.as_ref().is_some_and(|f| f.listens());
        figures || self.snmp.is_some() || self.tap.as_ref().is_some_and(|t| t.watched())
    }

    /// A stream has ended.
    pub(super) fn record(&self, record: &Record) {
        if let Some(tap) = &self.tap {
            tap.offer(record);
        }
        if let Some(figures) = &self.figures {
            figures.record(record);
        }
        if let Some(snmp) = &self.snmp {
            snmp.record(record);
        }
    }

    /// The figures, if it is time to flush them.
    pub(super) fn due(&mut self, now: Micros) -> Option<Rc<Figures>> {
        let figures = self.figures.as_ref().filter(|f| now - self.flushed >= f.flush_every())?;
        self.flushed = now;
        Some(figures.clone())
    }

    /// Tells of callers that the address lists refused, if it is time to or this is the end.
    pub(super) fn tell_refused(&self, now: Micros, end: bool) {
        let Some((n, last)) = self.addresses.as_ref().and_then(|a| a.told(now, end)) else { return };
        let (client, via) = (display(last.client), last.via.map(display));
        warn!(
            event = "refused",
            connections = n,
            client,
            via,
            "{n} connections refused by the address lists, the last {last}"
        );
    }
}
