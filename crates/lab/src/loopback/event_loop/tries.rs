//! The clients' requests: which try goes where and when, and what follows when it ends.

use super::timers::TimerEvent;
use super::EventLoop;
use crate::host::HostError;
use crate::loopback::clients::{ClientEvent, ScheduledTry, TryOutcome};
use crate::loopback::socket::wire::{Properties, TryId};
use martenweir::codec::resp;
use world::clients::{RequestSlot, Try, TryEnd};
use world::facts::{Fact, Final, TryNo};
use world::random::ms;
use world::scenario::Repeat;
use world::Micros;

/// A client closes a try's connection this long after the try's timeout and the proxy's grace period: an
/// answer that comes too late is still read and recorded.
const CLOSE_DELAY: Micros = 100_000;

impl EventLoop {
    /// Sends a client's next try to a proxy chosen by the front.
    pub(super) fn send(&mut self, at: Micros, slot: RequestSlot) {
        let Some(request) = self.requests.request(slot) else { return };
        let Some(proxy) = self.world.front().pick(request.zone, request.no.0 ^ (at as u64) << 20) else {
            let next = self.requests.unreached(at, slot, &mut self.world.recorder);
            return self.retry(next);
        };
        let Some(t) = self.requests.send(at, slot, proxy, &mut self.world.recorder) else { return };
        let due = at + self.world.network.to_client();
        let grace = ms(self.world.scenario().rules.answer_grace_ms);
        let closes = t.until + grace + CLOSE_DELAY;
        self.timers.add(t.until, TimerEvent::TryTimeout(t.no));
        let (key, command) = self.command(&t);
        if !self.clients.send(ScheduledTry { of: t.no, proxy, due, closes, key, command }) {
            self.late.add(super::LATE_MAX + 1);
        }
    }

    /// The key and the encoded command of a try.
    fn command(&self, t: &Try) -> (String, Vec<u8>) {
        let r = &t.request;
        let scenario = self.world.scenario();
        let class = self.requests.class(r);
        let p = Properties {
            class: class.map(|c| c.name.clone()).unwrap_or_default(),
            tenant: scenario
                .clients
                .tenants
                .get(r.tenant as usize)
                .map(|t| t.name.clone())
                .unwrap_or_default(),
            patience: t.until - t.sent,
            repeat: class.filter(|c| c.repeat == Repeat::Keyed).map(|_| r.repeat_key()),
            again: t.retry,
        };
        let id = TryId { of: t.no, work: r.work as u32, bytes: r.bytes as u32 }.write();
        let (key, properties) = (format!("{:016x}", r.key), p.write());
        let mut out = Vec::new();
        if class.is_some_and(|c| c.write) {
            let value = vec![b'v'; (r.bytes as usize).clamp(1, resp::MAX_VALUE)];
            let words: [&[u8]; 5] =
                [b"CACHE.SET", key.as_bytes(), id.as_bytes(), properties.as_bytes(), &value];
            resp::put_command(&mut out, &words);
        } else {
            let words: [&[u8]; 4] = [b"CACHE.GET", key.as_bytes(), id.as_bytes(), properties.as_bytes()];
            resp::put_command(&mut out, &words);
        }
        (key, out)
    }

    fn retry(&mut self, next: Option<(Micros, RequestSlot)>) {
        if let Some((at, slot)) = next {
            self.timers.add(at, TimerEvent::Retry(slot));
        }
    }

    fn end_try(&mut self, at: Micros, of: TryNo, end: TryEnd) {
        let next = self.requests.end(at, of, end, &mut self.world.recorder);
        self.retry(next);
    }

    /// A client's timeout for a try has expired.
    pub(super) fn time_out_try(&mut self, at: Micros, of: TryNo) {
        self.end_try(at, of, TryEnd::Left);
    }

    /// Handles an event of the clients' thread.
    pub(super) fn handle_client_event(&mut self, event: ClientEvent) {
        match event {
            ClientEvent::Sent { of, at, late } => {
                self.late.add(late);
                self.taken(at, of);
            }
            ClientEvent::Crossed { of, at } => {
                self.socket_tries.crossed += 1;
                // The proxy did not read the try, so it counts as not taken and no answer is due.
                if let Some(proxy) = self.requests.get(of).map(|t| t.proxy).filter(|_| self.taken.remove(&of))
                {
                    self.world.observe(at, Fact::Left { proxy, of });
                }
            }
            ClientEvent::LocalFailure(kind) => {
                let what = "cannot open a client connection".into();
                self.fatal_error.get_or_insert(HostError::Io { what, source: kind.into() });
            }
            ClientEvent::Ended { of, at, outcome } => self.ended(of, at, outcome),
        }
    }

    /// Records that a proxy has a try. Reported by the clients' thread or by the node that is asked,
    /// whichever sees it first: no action of a node for the try may be recorded earlier.
    pub(super) fn taken(&mut self, at: Micros, of: TryNo) {
        let Some(t) = self.requests.get(of) else { return };
        let (proxy, class, deadline) = (t.proxy, t.request.class, at + t.until - t.sent);
        if self.taken.insert(of) {
            self.world.observe(at, Fact::Taken { proxy, of, class, deadline });
        }
    }

    fn ended(&mut self, of: TryNo, at: Micros, outcome: TryOutcome) {
        self.taken.remove(&of);
        let Some(t) = self.requests.get(of).copied() else { return };
        let proxy = t.proxy;
        let counts = &mut self.socket_tries;
        *match outcome {
            TryOutcome::Answered(Final::Served { .. }, _) => &mut counts.served,
            TryOutcome::Answered(Final::Refused, _) => &mut counts.refused,
            TryOutcome::Answered(Final::Failed, _) => &mut counts.failed,
            TryOutcome::Unreached => &mut counts.unreached,
            TryOutcome::Dropped => &mut counts.dropped,
            TryOutcome::TimedOut => &mut counts.unanswered,
        } += 1;
        let end = match outcome {
            TryOutcome::Answered(how, retry_after) => {
                self.world.observe(at, Fact::Answered { proxy, of, how });
                match how {
                    Final::Served { .. } => TryEnd::Served,
                    Final::Refused => TryEnd::Refused(retry_after),
                    Final::Failed => TryEnd::Failed,
                }
            }
            TryOutcome::Dropped => {
                if self.alive.get(proxy.0 as usize).is_some_and(|alive| *alive) {
                    self.world.observe(at, Fact::Dropped { proxy, of });
                }
                TryEnd::Failed
            }
            TryOutcome::Unreached => TryEnd::Unreached,
            TryOutcome::TimedOut => {
                // The try has timed out before; it ends here only if the event loop is behind.
                self.end_try(t.until, of, TryEnd::Left);
                self.world.observe(at, Fact::Left { proxy, of });
                return self.requests.forget(at, of);
            }
        };
        // An answer that reaches the client after its timeout is ignored: the try ends with the timeout.
        let hears = at + self.world.network.to_client();
        if hears <= t.until {
            self.end_try(hears, of, end);
        } else {
            self.end_try(t.until, of, TryEnd::Left);
        }
        self.requests.forget(at, of);
    }
}
