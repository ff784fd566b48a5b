//! The optional features of this proxy as the event loop uses them: protocols on side ports, address filters,
//! and receivers of stream records. With no feature enabled, everything here does nothing.

use super::ports::Service;
use crate::core::Record;
use crate::features::addresses::AddressFilter;
use crate::features::figures::Figures;
use crate::features::file::Features;
use crate::features::multiget::{self, MultigetProtocol};
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

/// Refused logins are logged at most once in this time.
const LOGIN_LOG_INTERVAL: Micros = 1_000_000;

pub(super) struct Side {
    multiget: Option<multiget::Settings>,
    /// Open reads of multi-gets of all downstreams.
    reads: Rc<Cell<usize>>,
    tap: Option<Rc<Tap>>,
    addresses: Option<Rc<AddressFilter>>,
    figures: Option<Rc<Figures>>,
    memcached: Option<Rc<PortState>>,
    /// Nodes that speak the memcached protocol.
    speakers: MemcachedNodes,
    /// When refused logins were last logged.
    logins_logged: Micros,
    snmp: Option<Rc<Snmp>>,
    /// When the figures were last flushed.
    flushed: Micros,
}

impl Side {
    /// The error says which feature setting does not fit the site.
    pub(super) fn new(now: Micros, features: Features, identity: Identity) -> Result<Self, String> {
        let (site, seed) = (&identity.site.clone(), identity.seed);
        let memcached =
            features.memcached.map(|settings| PortState::new(&settings, site, seed)).transpose()?;
        Ok(Side {
            memcached: memcached.map(Rc::new),
            speakers: MemcachedNodes::new(&features.memcachednodes, site)?,
            logins_logged: now,
            multiget: features.multiget,
            reads: Rc::default(),
            tap: features.tap.map(|settings| Rc::new(Tap::new(settings, site.clone()))),
            addresses: features.addresses.map(|lists| Rc::new(AddressFilter::new(lists))),
            figures: features.figures.map(|settings| Rc::new(Figures::new(settings, site.clone()))),
            snmp: features.snmp.map(|settings| Rc::new(Snmp::new(now, settings, identity))),
            flushed: now,
        })
    }

    /// The protocol a node speaks. A node that is no longer known is sent nothing.
    pub(super) fn dialect(&self, origin: bool, node: Option<(ServerId, KindId)>) -> UpstreamProtocol {
        match origin {
            true => UpstreamProtocol::Origin,
            false if node.is_some_and(|(server, kind)| self.speakers.contains(server, kind)) => {
                UpstreamProtocol::Memcached
            }
            false => UpstreamProtocol::Cache,
        }
    }

    /// Publishes the figures that the memcached port returns.
    pub(super) fn publish(&self, published: impl FnOnce() -> PublishedStats) {
        if let Some(desk) = &self.memcached {
            desk.stats.published.set(published());
        }
    }

    /// Logs refused logins if due, or if the proxy is ending.
    pub(super) fn log_logins(&mut self, now: Micros, ending: bool) {
        let desk =
            self.memcached.as_ref().filter(|_| ending || now - self.logins_logged >= LOGIN_LOG_INTERVAL);
        let Some((n, last)) = desk.and_then(|desk| desk.take_refused()) else { return };
        self.logins_logged = now;
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

    /// The number of connections refused by the address lists since the start.
    pub(super) fn refused(&self) -> u64 {
        self.addresses.as_ref().map_or(0, |a| a.refused())
    }

    /// A filter telling whether a peer may connect.
    pub(super) fn admits(&self) -> impl Fn(SocketAddr) -> bool + Clone {
        let lists = self.addresses.clone();
        move |peer| lists.as_ref().is_none_or(|lists| lists.accepts(peer))
    }

    /// What a connection from `peer` has to send first.
    pub(super) fn first(&self, peer: SocketAddr) -> WaitingFor {
        match self.addresses.as_ref().is_some_and(|lists| lists.trusts(peer)) {
            true => WaitingFor::Header,
            false => WaitingFor::default(),
        }
    }

    /// The protocol of a port. For a tap only its handling of orders is used.
    pub(super) fn protocol(&self, service: Service, vocabulary: &Rc<CommandParser>) -> Box<dyn Protocol> {
        match (service, &self.multiget, &self.memcached) {
            (Service::Multiget, Some(settings), _) => {
                Box::new(MultigetProtocol::new(settings, vocabulary.clone(), self.reads.clone()))
            }
            (Service::Memcached, _, Some(desk)) => {
                Box::new(GatewayConnection::new(desk.clone(), vocabulary.clone()))
            }
            _ => Box::new(MainProtocol(vocabulary.clone())),
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
                if !addresses.identify(&mut link).await {
                    return;
                }
            }
            match tap {
                Some(tap) => tap::serve(link, tap).await,
                None => downstream::serve(link, protocol).await,
            }
        }
    }

    /// Whether anything needs records of finished streams.
    pub(super) fn listens(&self) -> bool {
        let figures = self.figures.as_ref().is_some_and(|f| f.wants_records());
        figures || self.snmp.is_some() || self.tap.as_ref().is_some_and(|t| t.has_watchers())
    }

    /// Passes the record of a finished stream to the features that use it.
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

    /// The figures, if a flush is due.
    pub(super) fn due(&mut self, now: Micros) -> Option<Rc<Figures>> {
        let figures = self.figures.as_ref().filter(|f| now - self.flushed >= f.flush_interval())?;
        self.flushed = now;
        Some(figures.clone())
    }

    /// Logs connections refused by the address lists if due, or if the proxy is ending.
    pub(super) fn log_refused(&self, now: Micros, ending: bool) {
        let Some((n, last)) = self.addresses.as_ref().and_then(|a| a.take_refused(now, ending)) else {
            return;
        };
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
