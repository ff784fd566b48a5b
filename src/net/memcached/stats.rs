//! The statistics that STAT returns, in a few groups. Counters of the core are as the owner last published
//! them, at most one sweep ago; those of this port are current.

use crate::core::Counters;
use std::cell::Cell;

/// The statistics that the owner publishes.
#[derive(Clone, Copy, Debug, Default)]
pub struct PublishedStats {
    pub counters: Counters,
    /// Seconds since the start.
    pub uptime: u64,
    pub downstreams: usize,
    pub streams: usize,
    pub connections: usize,
    pub serving: usize,
}

/// The counters of this port since the start.
#[derive(Debug, Default)]
pub struct Stats {
    pub published: Cell<PublishedStats>,
    pub(super) reads: Count,
    pub(super) writes: Count,
    /// Commands answered locally: not supported, invalid or too large, deadline expired.
    pub(super) unsupported: Count,
    pub(super) invalid: Count,
    pub(super) late: Count,
    /// Rejected because the connections of this port have too many streams open.
    pub(super) crowded: Count,
    /// Connections that sent malformed frames, and those that spoke the text protocol.
    pub(super) malformed: Count,
    pub(super) text: Count,
    pub(super) logins: Count,
    pub(super) logins_refused: Count,
}

#[derive(Debug, Default)]
pub(super) struct Count(Cell<u64>);

impl Count {
    pub(super) fn one(&self) {
        self.0.set(self.0.get() + 1);
    }
}

/// The named groups; the group without a name is the first that a client asks for.
const GROUPS: [&str; 3] = ["streams", "nodes", "memcached"];

impl Stats {
    /// The names and values of a group; `None` if it doesn't exist.
    pub(super) fn group(&self, name: &[u8], open: usize) -> Option<Vec<(&'static str, String)>> {
        let p = self.published.get();
        let c = p.counters;
        let numbers = |list: &[(&'static str, u64)]| list.iter().map(|(n, x)| (*n, x.to_string())).collect();
        Some(match name {
            b"" => {
                let mut all = vec![("version", env!("CARGO_PKG_VERSION").to_owned())];
                all.extend::<Vec<_>>(numbers(&[
                    ("uptime", p.uptime),
                    ("curr_connections", p.downstreams as u64),
                    ("cmd_get", self.reads.0.get()),
                    ("cmd_set", self.writes.0.get()),
                ]));
                all.push(("groups", GROUPS.join(" ")));
                all
            }
            b"streams" => numbers(&[
                ("open", p.streams as u64),
                ("taken", c.taken),
                ("served", c.served),
                ("refused", c.refused),
                ("failed", c.failed),
                ("left", c.left),
                ("overdue", c.overdue),
            ]),
            b"nodes" => numbers(&[
                ("serving", p.serving as u64),
                ("connections", p.connections as u64),
                ("upstream", c.upstream),
                ("probes", c.probes),
                ("dials", c.dials),
                ("timeouts", c.timeouts),
                ("unconnected", c.unconnected),
                ("resets", c.resets),
            ]),
            b"memcached" => numbers(&[
                ("open", open as u64),
                ("reads", self.reads.0.get()),
                ("writes", self.writes.0.get()),
                ("unsupported", self.unsupported.0.get()),
                ("invalid", self.invalid.0.get()),
                ("late", self.late.0.get()),
                ("crowded", self.crowded.0.get()),
                ("malformed", self.malformed.0.get()),
                ("text", self.text.0.get()),
                ("logins", self.logins.0.get()),
                ("logins_refused", self.logins_refused.0.get()),
            ]),
            _ => return None,
        })
    }
}
