//! Notifications on their way: traps, which are sent once, and informs, which are sent until their receiver
//! says that it has them.
//!
//! What waits for a receiver is bounded; the oldest goes first, and what has waited for an hour. An inform is
//! resent after 1 s, 2 s, 4 s and so on up to a minute, and the ones behind it wait, so that they come in
//! order. A receiver that is away for an hour costs a datagram a minute and gets the last [`MAX_QUEUE`] when it
//! returns. Each carries a number: a gap in them is what was dropped.

use crate::manager::{Credentials, Received, Session};
use crate::message::{self, Community, Flags, Header, Kind, Pdu, Scoped};
use crate::reader::MAX_DATAGRAM;
use crate::stats::{Notifications, Receiver};
use crate::usm::{self, Engine, Keys};
use crate::watch::Change;
use crate::{tree, Micros, Oid, Value, SECOND};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// What may wait for a receiver, and for how long.
pub const MAX_QUEUE: usize = 64;
/// See [`MAX_QUEUE`].
pub const MAX_AGE: Micros = 3600 * SECOND;
/// The first pause before an inform is resent, and the longest.
const RESEND_DELAY: Micros = SECOND;
const MAX_RESEND_DELAY: Micros = 60 * SECOND;
/// What a receiver may tell for one try: its id, then its clock, and once more if it starts anew meanwhile.
const MAX_DISCOVERIES: u32 = 4;
/// Receivers at the most.
pub const MAX_RECEIVERS: usize = 8;

const SYS_UP_TIME: [u32; 9] = [1, 3, 6, 1, 2, 1, 1, 3, 0];
const SNMP_TRAP_OID: [u32; 11] = [1, 3, 6, 1, 6, 3, 1, 1, 4, 1, 0];
const COLD_START: [u32; 10] = [1, 3, 6, 1, 6, 3, 1, 1, 5, 1];
const WARM_START: [u32; 10] = [1, 3, 6, 1, 6, 3, 1, 1, 5, 2];

/// Where notifications go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The receiver.
    pub address: SocketAddr,
    /// It is sent informs, and no traps.
    pub informs: bool,
    /// As whom.
    pub credentials: Credentials,
}

/// A notification that waits.
#[derive(Clone, Debug)]
struct Item {
    pdu: Pdu,
    since: Micros,
}

#[derive(Debug)]
struct Destination {
    target: Target,
    session: Session,
    /// The sender's own keys, for traps of SNMPv3.
    keys: Keys,
    queue: VecDeque<Item>,
    /// How often the first was sent, and when it is sent again.
    tries: u32,
    due: Micros,
    /// The receiver told something that it has to be sent with at once; and how often that may happen a try.
    discovered: bool,
    discoveries: u32,
    stats: Receiver,
}

/// See the file's comment.
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

/// What a notification says: its name, and the objects that go with it.
type Notification = (Oid, Vec<(Oid, Value)>);

impl Notifier {
    /// A notifier of the engine's, whose sysUpTime counts from `started`. `seed` is where request-ids and
    /// initialisation vectors begin.
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

    /// What became of notifications so far; `held` were not told at once.
    pub fn stats(&self, held: u64) -> Notifications {
        let of = |destination: &Destination| Receiver {
            queued: destination.queue.len() as u64,
            ..destination.stats.clone()
        };
        Notifications { sequence: self.sequence, held, receivers: self.destinations.iter().map(of).collect() }
    }

    /// The agent has started: `warm` where nothing of its settings was changed (RFC 3418).
    pub fn started(&mut self, now: Micros, warm: bool) {
        let name = if warm { WARM_START } else { COLD_START };
        if let Some(name) = Oid::new(&name) {
            self.enqueue(now, (name, Vec::new()));
        }
    }

    /// Something changed.
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
                object(&column(3), Value::text(&node.hall)),
                object(&column(6), Value::Integer(node.state as i32)),
            ]
        };
        let fleet = |usable: u32, bound: u32| {
            vec![object(&[2, 3, 0], Value::Gauge(usable)), object(&[2, 4, 0], Value::Gauge(bound))]
        };
        let ledger = |state| vec![object(&[6, 1, 0], Value::Integer(state))];
        match change {
            Change::NodeDrains(n) => (name(1), node(n)),
            Change::NodeSilent(n) => (name(2), node(n)),
            Change::NodeBack(n) => (name(3), node(n)),
            Change::LedgerClosed => (name(4), ledger(crate::snapshot::LedgerState::Closed as i32)),
            Change::LedgerBack => (name(5), ledger(crate::snapshot::LedgerState::Open as i32)),
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
        let (Some(up), Some(trap)) = (Oid::new(&SYS_UP_TIME), Oid::new(&SNMP_TRAP_OID)) else { return };
        let mut bindings = vec![(up, Value::ticks(now - self.started)), (trap, Value::Oid(name))];
        bindings.extend(objects);
        bindings.push((sequence, Value::Counter(self.sequence)));
        for destination in &mut self.destinations {
            self.request = self.request.wrapping_add(1) & i32::MAX;
            let kind = if destination.target.informs { Kind::Inform } else { Kind::Trap };
            let (request, bindings) = (self.request, bindings.clone());
            if destination.queue.len() >= MAX_QUEUE {
                // The first may be under way: the one behind it goes.
                destination.queue.remove(usize::from(destination.tries > 0));
                destination.stats.dropped += 1;
            }
            let pdu = Pdu { kind, request, status: 0, index: 0, bindings };
            destination.queue.push_back(Item { pdu, since: now });
        }
    }

    /// When something is due next, if anything waits.
    pub fn next(&self) -> Option<Micros> {
        self.destinations.iter().filter(|w| !w.queue.is_empty()).map(|w| w.due).min()
    }

    /// A datagram that is due, and where to; to be asked again until there is none.
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

    /// A datagram came from a receiver.
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
                // At once, but not for ever: whoever keeps saying so waits as long as who says nothing.
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
    /// The first is done with; the next may go.
    fn advance(&mut self, now: Micros) {
        (self.tries, self.due, self.discovered, self.discoveries) = (0, now, false, 0);
    }

    /// Whether something is to be sent now. What is too old goes first.
    fn ready(&mut self, now: Micros) -> bool {
        while self.queue.front().is_some_and(|i| now - i.since > MAX_AGE) {
            self.queue.pop_front();
            self.stats.dropped += 1;
            self.advance(now);
        }
        // A clock that stepped back must not put it off.
        !self.queue.is_empty() && (self.due <= now || self.due - now > MAX_RESEND_DELAY)
    }
}
