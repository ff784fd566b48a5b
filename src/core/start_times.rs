//! Corrects server start times to this proxy's clock. Discovery reports wall-clock times, and the clock of
//! the server's machine or of this one may have been stepped since.
//!
//! This module keeps the corrected start times of listed servers and reads no clock. A start time in the
//! future is implausible, and so is a new one older than the slow start duration if the proxy has been in
//! contact with discovery all along. Such a server is taken to have started when it was listed: too young an
//! estimate sends some requests elsewhere, too old a one overloads the server.

use crate::interface::{Member, Micros, Phase, ServerId};
use std::collections::BTreeMap;

/// If discovery was in contact within this time, in us, a server cannot have started long before without
/// being reported.
const CONTACT_WINDOW: Micros = 10_000_000;
/// The maximum number of start times kept; servers beyond it use the reported time.
const MAX_ENTRIES: usize = 8192;

#[derive(Clone, Copy)]
struct Start {
    reported: Micros,
    corrected: Micros,
}

/// The start times of servers.
pub(super) struct StartTimes {
    known: BTreeMap<ServerId, Start>,
    slow_start: Micros,
}

impl StartTimes {
    /// `slow_start` is the duration of slow start, in us.
    pub fn new(slow_start: Micros) -> Self {
        StartTimes { known: BTreeMap::new(), slow_start }
    }

    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Replaces the reported start time of `member` by the corrected one. `first` marks the list known at the
    /// start, which may be old; `heard` is when discovery last sent anything before this list.
    pub fn correct(&mut self, now: Micros, member: &mut Member, first: bool, heard: Option<Micros>) {
        let Some(reported) = member.started.filter(|_| member.phase != Phase::Gone) else { return };
        let known = self.known.get(&member.server).filter(|s| s.reported == reported);
        let corrected = match known {
            Some(start) => start.corrected,
            None if reported > now => now,
            None => {
                let in_contact = !first && heard.is_some_and(|at| now - at <= CONTACT_WINDOW);
                let impossible = in_contact && now - reported >= self.slow_start;
                if impossible {
                    now
                } else {
                    reported
                }
            }
        };
        member.started = Some(corrected);
        if self.known.len() < MAX_ENTRIES || self.known.contains_key(&member.server) {
            self.known.insert(member.server, Start { reported, corrected });
        }
    }

    /// Drops servers that are no longer known.
    pub fn retain(&mut self, known: impl Fn(&ServerId) -> bool) {
        self.known.retain(|id, _| known(id));
    }
}

#[cfg(test)]
mod tests;
