//! Sends notifications: traps, which are sent once, and informs, which are resent until their receiver
//! acknowledges them.
//!
//! Each receiver has a bounded queue. When it is full the oldest notification is dropped, and so is any
//! notification that has waited for an hour. An inform is resent after 1 s, 2 s, 4 s and so on, up to a
//! minute; later informs wait for it, which preserves their order. A receiver that is down for an hour costs
//! one datagram a minute and receives the last [`MAX_QUEUE`] notifications when it returns. Notifications
//! carry sequence numbers, so a gap shows how many were dropped.

use crate::manager::{Credentials, Received, Session};
use crate::message::{self, Community, Flags, Header, Kind, Pdu, Scoped};
use crate::reader::MAX_DATAGRAM;
use crate::stats::{Notifications, Receiver};
use crate::usm::{self, Engine, Keys};
use crate::watch::Change;
use crate::{tree, Micros, Oid, Value, SECOND};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Maximum number of notifications in a receiver's queue.
pub const MAX_QUEUE: usize = 64;
/// Maximum time that a notification waits in a queue.
pub const MAX_AGE: Micros = 3600 * SECOND;
/// Initial delay before an inform is resent, and its maximum.
const RESEND_DELAY: Micros = SECOND;
const MAX_RESEND_DELAY: Micros = 60 * SECOND;
/// Maximum number of discovery steps in one try: the engine id, the clock, and both once more if the receiver
/// restarts in between.
const MAX_DISCOVERIES: u32 = 4;
/// Maximum number of receivers.
pub const MAX_RECEIVERS: usize = 8;

const SYS_UP_TIME: [u32; 9] = [1, 3, 6, 1, 2, 1, 1, 3, 0];
const SNMP_TRAP_OID: [u32; 11] = [1, 3, 6, 1, 6, 3, 1, 1, 4, 1, 0];
const COLD_START: [u32; 10] = [1, 3, 6, 1, 6, 3, 1, 1, 5, 1];
const WARM_START: [u32; 10] = [1, 3, 6, 1, 6, 3, 1, 1, 5, 2];

/// A configured receiver of notifications.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Address of the receiver.
    pub address: SocketAddr,
    /// Whether it is sent informs instead of traps.
    pub informs: bool,
    /// Credentials of the notifications.
    pub credentials: Credentials,
}

/// A queued notification.
#[derive(Clone, Debug)]
struct Item {
    pdu: Pdu,
    since: Micros,
}

#[derive(Debug)]
struct Destination {
    target: Target,
    session: Session,
    /// The user's keys at the sender's own engine, for traps of SNMPv3.
    keys: Keys,
    queue: VecDeque<Item>,
    /// Number of times the first notification was sent, and when it is due next.
    tries: u32,
    due: Micros,
    /// Whether the last datagram from the receiver was a discovery step, so that the inform is sent again at
    /// once; and the number of such steps in this try.
    discovered: bool,
    discoveries: u32,
    stats: Receiver,
}

/// Queues and sends notifications; see the module documentation.
#[derive(Debug)]
pub struct Notifier {
    enterprise: u32,
    engine: Engine,
    started: Micros,
    destinations: Vec<Destination>,
    sequence: u32,
    request: i32,
    salt: u64,
}

/// Name and objects of a notification.
type Notification = (Oid, Vec<(Oid, Value)>);

impl Notifier {
    /// Creates a notifier for `engine`, whose sysUpTime counts from `started`. Request-ids and initialisation
    /// vectors start from `seed`.
    pub fn new(
        enterprise: u32,
        engine: Engine,
        started: Micros,
        targets: Vec<Target>,
        seed: u64,
    ) -> Notifier {
        let destinations = targets.into_iter().take(MAX_RECEIVERS).zip(1u64..).map(|(target, n)| {
            let keys = match &target.credentials {
                Credentials::User(user) => user.at(&engine.id),
                Credentials::Community(_) => Keys::default(),
            };
            let seed = seed.wrapping_add(n << 48);
            let session = Session::new(target.credentials.clone(), Some(engine.id.clone()), seed);
            let (address, informs) = (target.address.to_string(), target.informs);
            let stats = Receiver { address, informs, ..Receiver::default() };
            Destination {
                target,
                session,
                keys,
                queue: VecDeque::new(),
                tries: 0,
                due: 0,
                discovered: false,
                discoveries: 0,
                stats,
            }
        });
        let request = (seed >> 33) as i32;
        Notifier {
            enterprise,
            destinations: destinations.collect(),
            engine,
            started,
            sequence: 0,
            request,
            salt: seed,
        }
    }

    /// Counters of the notifications. `held` is the number of changes that were not reported at once.
    pub fn stats(&self, held: u64) -> Notifications {
        let counters = |destination: &Destination| Receiver {
            queued: destination.queue.len() as u64,
            ..destination.stats.clone()
        };
        Notifications {
            sequence: self.sequence,
            held,
            receivers: self.destinations.iter().map(counters).collect(),
        }
    }

    /// Queues the notification that the agent has started: warmStart if its settings are unchanged, else
    /// coldStart (RFC 3418).
    pub fn started(&mut self, now: Micros, warm: bool) {
        let name = if warm { WARM_START } else { COLD_START };
        if let Some(name) = Oid::new(&name) {
            self.enqueue(now, (name, Vec::new()));
        }
    }

    /// Queues the notification of a change.
    pub fn change(&mut self, now: Micros, change: &Change) {
        let notification = self.describe(change);
        self.enqueue(now, notification);
    }

    fn describe(&self, change: &Change) -> Notification {
        let root = tree::root(self.enterprise);
        let (name, object) = (root.child(&[0]), root.child(&[1]));
        let name = |n: u32| name.child(&[n]);
        let object = |arcs: &[u32], value| (object.child(arcs), value);
        let node = |node: &crate::watch::Node| {
            let index = tree::node_index(&node.name);
            let column = |column: u32| [&[2, 6, 1, column], index.as_slice()].concat();
            vec![
                object(&column(3), Value::text(&node.zone)),
                object(&column(6), Value::Integer(node.state as i32)),
            ]
        };
        let fleet = |usable: u32, bound: u32| {
            vec![object(&[2, 3, 0], Value::Gauge(usable)), object(&[2, 4, 0], Value::Gauge(bound))]
        };
        let origin = |state| vec![object(&[6, 1, 0], Value::Integer(state))];
        match change {
            Change::NodeDrains(n) => (name(1), node(n)),
            Change::NodeSilent(n) => (name(2), node(n)),
            Change::NodeBack(n) => (name(3), node(n)),
            Change::OriginClosed => (name(4), origin(crate::snapshot::OriginState::Closed as i32)),
            Change::OriginBack => (name(5), origin(crate::snapshot::OriginState::Open as i32)),
            Change::FleetUnder { usable, bound } => (name(6), fleet(*usable, *bound)),
            Change::FleetBack { usable, bound } => (name(7), fleet(*usable, *bound)),
            Change::PlannersLost => (name(8), vec![object(&[8, 2, 0], Value::Gauge(0))]),
            Change::PlannersBack => (name(9), vec![object(&[8, 2, 0], Value::Gauge(1))]),
            Change::PlanRefused(planner) => {
                let planner = object(&[8, 4, 1, 3, *planner], Value::truth(true));
                (name(10), vec![planner])
            }
        }
    }

    fn enqueue(&mut self, now: Micros, notification: Notification) {
        let (name, objects) = notification;
        self.sequence = self.sequence.wrapping_add(1);
        let sequence = tree::root(self.enterprise).child(&[1, 9, 1, 0]);
        let (Some(uptime), Some(trap)) = (Oid::new(&SYS_UP_TIME), Oid::new(&SNMP_TRAP_OID)) else { return };
        let mut bindings = vec![(uptime, Value::ticks(now - self.started)), (trap, Value::Oid(name))];
        bindings.extend(objects);
        bindings.push((sequence, Value::Counter(self.sequence)));
        for destination in &mut self.destinations {
            self.request = self.request.wrapping_add(1) & i32::MAX;
            let kind = if destination.target.informs { Kind::Inform } else { Kind::Trap };
            let (request, bindings) = (self.request, bindings.clone());
            if destination.queue.len() >= MAX_QUEUE {
                // The first notification may already have been sent and await its acknowledgement; then the
                // second is dropped instead.
                destination.queue.remove(usize::from(destination.tries > 0));
                destination.stats.dropped += 1;
            }
            let pdu = Pdu { kind, request, status: 0, index: 0, bindings };
            destination.queue.push_back(Item { pdu, since: now });
        }
    }

    /// When the next datagram is due, if any notification is queued.
    pub fn next(&self) -> Option<Micros> {
        self.destinations.iter().filter(|w| !w.queue.is_empty()).map(|w| w.due).min()
    }

    /// The next datagram that is due, with its destination. Callers repeat the call until it returns `None`.
    pub fn send(&mut self, now: Micros) -> Option<(SocketAddr, Vec<u8>)> {
        let at = self.destinations.iter_mut().position(|w| w.ready(now))?;
        let destination = self.destinations.get_mut(at)?;
        let address = destination.target.address;
        if !destination.target.informs {
            let item = destination.queue.pop_front()?;
            destination.stats.sent += 1;
            self.salt = self.salt.wrapping_add(1);
            let out = match &destination.target.credentials {
                Credentials::Community(name) => Community { community: name.clone(), pdu: item.pdu }.bytes(),
                Credentials::User(user) => {
                    let (boots, time) = self.engine.clock(now);
                    let id = item.pdu.request;
                    let max_size = MAX_DATAGRAM as u32;
                    let header = Header { id, max_size, flags: Flags::default(), model: message::USM };
                    let engine = self.engine.id.clone();
                    let scoped = Scoped { engine, context: Vec::new(), pdu: item.pdu };
                    let clock = (self.engine.id.as_slice(), boots, time);
                    usm::seal(header, clock, &user.name, &destination.keys, scoped, self.salt)
                }
            };
            return Some((address, out));
        }
        let item = destination.queue.front()?;
        if !std::mem::take(&mut destination.discovered) {
            let counter = if destination.tries == 0 {
                &mut destination.stats.sent
            } else {
                &mut destination.stats.resent
            };
            *counter += 1;
            let pause = (RESEND_DELAY << destination.tries.min(6)).min(MAX_RESEND_DELAY);
            (destination.tries, destination.due, destination.discoveries) =
                (destination.tries.saturating_add(1), now + pause, 0);
        } else {
            destination.due = now + RESEND_DELAY;
        }
        Some((address, destination.session.request(now, &item.pdu)))
    }

    /// Processes a datagram from a receiver.
    pub fn receive(&mut self, now: Micros, from: SocketAddr, datagram: &[u8]) {
        let canonical = |a: SocketAddr| (a.ip().to_canonical(), a.port());
        for destination in
            self.destinations.iter_mut().filter(|w| canonical(w.target.address) == canonical(from))
        {
            let Some(request) =
                destination.queue.front().filter(|_| destination.target.informs).map(|i| i.pdu.request)
            else {
                continue;
            };
            match destination.session.receive(now, request, datagram) {
                Received::Response(_) => {
                    destination.queue.pop_front();
                    destination.stats.acknowledged += 1;
                    destination.advance(now);
                    return;
                }
                // Sends the inform again at once, but a limited number of times: a receiver that keeps
                // sending reports is resent to as rarely as one that does not answer.
                Received::Retry if destination.discoveries < MAX_DISCOVERIES => {
                    (destination.discovered, destination.discoveries, destination.due) =
                        (true, destination.discoveries + 1, now);
                    return;
                }
                _ => {}
            }
        }
    }
}

impl Destination {
    /// Resets the state of the first notification, so that the next one can be sent.
    fn advance(&mut self, now: Micros) {
        (self.tries, self.due, self.discovered, self.discoveries) = (0, now, false, 0);
    }

    /// Whether a datagram is due. Drops notifications that have waited too long.
    fn ready(&mut self, now: Micros) -> bool {
        while self.queue.front().is_some_and(|i| now - i.since > MAX_AGE) {
            self.queue.pop_front();
            self.stats.dropped += 1;
            self.advance(now);
        }
        // A clock that was set back must not delay sending.
        !self.queue.is_empty() && (self.due <= now || self.due - now > MAX_RESEND_DELAY)
    }
}
