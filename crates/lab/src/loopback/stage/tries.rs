//! The clients' requests: which try goes where and when, and what follows on its end.

use super::agenda::Due;
use super::Stage;
use crate::host::HostError;
use crate::loopback::clients::{How, Said, Send};
use crate::loopback::socket::speech::{Properties, TryId};
use martenweir::codec::resp;
use world::clients::{RequestSlot, Try, TryEnd};
use world::facts::{Fact, Final, TryNo};
use world::random::ms;
use world::scenario::Repeat;
use world::Micros;

/// A client closes on a try this long after its time and the proxy's grace are over: until then an answer that is
/// too late is still heard, and told.
const CLOSE: Micros = 100_000;

impl Stage {
    /// A client sends its next try, by way of the front.
    pub(super) fn send(&mut self, at: Micros, place: RequestSlot) {
        let Some(request) = self.desk.request(place) else { return };
        let Some(proxy) = self.world.front().pick(request.zone, request.no.0 ^ (at as u64) << 20) else {
            let next = self.desk.unreached(at, place, &mut self.world.recorder);
            return self.retry(next);
        };
        let Some(t) = self.desk.send(at, place, proxy, &mut self.world.recorder) else { return };
        let due = at + self.world.network.to_client();
        let grace = ms(self.world.scenario().rules.answer_grace_ms);
        let closes = t.until + grace + CLOSE;
        self.agenda.add(t.until, Due::GivesUp(t.no));
        let (key, command) = self.command(&t);
        if !self.clients.send(Send { of: t.no, proxy, due, closes, key, command }) {
            self.late.add(super::LATE_MOST + 1);
        }
    }

    /// A try as it goes out, and its key.
    fn command(&self, t: &Try) -> (String, Vec<u8>) {
        let r = &t.request;
        let scenario = self.world.scenario();
        let class = self.desk.class(r);
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
        if let Some((at, place)) = next {
            self.agenda.add(at, Due::Retry(place));
        }
    }

    fn end_try(&mut self, at: Micros, of: TryNo, end: TryEnd) {
        let next = self.desk.end(at, of, end, &mut self.world.recorder);
        self.retry(next);
    }

    /// The client's time for a try is up.
    pub(super) fn gives_up(&mut self, at: Micros, of: TryNo) {
        self.end_try(at, of, TryEnd::Left);
    }

    /// The clients' thread tells.
    pub(super) fn said(&mut self, said: Said) {
        match said {
            Said::Sent { of, at, late } => {
                self.late.add(late);
                self.taken(at, of);
            }
            Said::Crossed { of, at } => {
                self.meetings.crossed += 1;
                // Not read, so not taken: nothing is owed for it.
                if let Some(proxy) = self.desk.get(of).map(|t| t.proxy).filter(|_| self.taken.remove(&of)) {
                    self.world.observe(at, Fact::Left { proxy, of });
                }
            }
            Said::Short(kind) => {
                let what = "a client's connection".into();
                self.fault.get_or_insert(HostError::Io { what, source: kind.into() });
            }
            Said::Ended { of, at, how } => self.ended(of, at, how),
        }
    }

    /// A proxy has a try: told by whoever sees it first, the clients' thread or the node that is asked. What a node
    /// does for it must not be told before.
    pub(super) fn taken(&mut self, at: Micros, of: TryNo) {
        let Some(t) = self.desk.get(of) else { return };
        let (proxy, class, deadline) = (t.proxy, t.request.class, at + t.until - t.sent);
        if self.taken.insert(of) {
            self.world.observe(at, Fact::Taken { proxy, of, class, deadline });
        }
    }

    fn ended(&mut self, of: TryNo, at: Micros, how: How) {
        self.taken.remove(&of);
        let Some(t) = self.desk.get(of).copied() else { return };
        let proxy = t.proxy;
        let met = &mut self.meetings;
        *match how {
            How::Answered(Final::Served { .. }, _) => &mut met.served,
            How::Answered(Final::Refused, _) => &mut met.refused,
            How::Answered(Final::Failed, _) => &mut met.failed,
            How::Unreached => &mut met.unreached,
            How::Dropped => &mut met.dropped,
            How::Left => &mut met.unanswered,
        } += 1;
        let end = match how {
            How::Answered(how, away) => {
                self.world.observe(at, Fact::Answered { proxy, of, how });
                match how {
                    Final::Served { .. } => TryEnd::Served,
                    Final::Refused => TryEnd::Refused(away),
                    Final::Failed => TryEnd::Failed,
                }
            }
            How::Dropped => {
                if self.alive.get(proxy.0 as usize).is_some_and(|alive| *alive) {
                    self.world.observe(at, Fact::Dropped { proxy, of });
                }
                TryEnd::Failed
            }
            How::Unreached => TryEnd::Unreached,
            How::Left => {
                // Given up before; told only now if the owner is behind.
                self.end_try(t.until, of, TryEnd::Left);
                self.world.observe(at, Fact::Left { proxy, of });
                return self.desk.forget(at, of);
            }
        };
        // What reaches the client after it has given up finds nobody: that end is told when its time is up.
        let hears = at + self.world.network.to_client();
        if hears <= t.until {
            self.end_try(hears, of, end);
        } else {
            self.end_try(t.until, of, TryEnd::Left);
        }
        self.desk.forget(at, of);
    }
}
