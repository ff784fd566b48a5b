//! The servers of a small deployment: eight cache nodes in two halls and the origin.

use crate::proxy::Member;
use crate::record::Record;
use crate::servers::Begun;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// "Today 8 to 10 cache nodes" (BRIEF 4.1).
const NODES: usize = 8;
/// A cache node's time for a read; the least of the site's mean work is 91 ms.
const NODE_WORK: Duration = Duration::from_millis(20);

/// The servers of a site.
#[derive(Clone, Copy, Debug)]
pub struct Servers {
    pub flavor: &'static str,
    pub zones: [&'static str; 2],
    /// The origin's usual time for a request, in ms, and its time while it is slow.
    pub origin_ms: [u64; 2],
}

/// The origin takes 0.086 to 0.2 of the shortest aim, 750 ms (site file, `origin_time`); "the central ledger runs 2.8
/// to 7.4 times slower" (BRIEF 11.4).
pub const REYKJAVIK_SERVERS: Servers =
    Servers { flavor: "full-node", zones: ["hofdi", "grafarholt"], origin_ms: [120, 120 * 74 / 10] };

/// The origin takes 0.08 to 0.2 of the shortest aim, 2,500 ms (site file, `origin_time`); `origin_slow` is "2 to 8 times
/// slower" (BENCH).
pub const QUITO_SERVERS: Servers =
    Servers { flavor: "big", zones: ["n", "north"], origin_ms: [250, 250 * 7] };

/// How fast the origin is.
#[derive(Clone, Copy, Debug)]
pub enum OriginSpeed {
    Usual,
    /// As for a write: one to three times as long as usual (BENCH, `origin_write`).
    Write,
    Slow,
}

/// The running servers.
pub struct Site {
    pub members: Vec<Member>,
    servers: Servers,
    /// What has begun at the origin.
    pub begun: Arc<Begun>,
    /// The origin's time for a request, in ms.
    origin_ms: Arc<AtomicU64>,
}

impl Site {
    /// Starts the servers; values have `value_bytes`.
    ///
    /// # Errors
    ///
    /// If a port cannot be bound.
    pub fn start(record: &Arc<Record>, servers: Servers, value_bytes: usize) -> io::Result<Site> {
        let origin_ms = Arc::new(AtomicU64::new(servers.origin_ms[0]));
        let Servers { flavor, zones, .. } = servers;
        let begun = Arc::new(Begun::default());
        let mut members = Vec::new();
        for i in 0..NODES {
            let id = format!("s-{i}");
            let address = crate::servers::cache_node(record.clone(), id.clone(), value_bytes, NODE_WORK)?;
            members.push(Member { id, address, flavor, locality: zones[i % 2] });
        }
        let address = crate::servers::origin(record.clone(), begun.clone(), origin_ms.clone(), value_bytes)?;
        members.push(Member { id: "s-origin".into(), address, flavor: "origin", locality: zones[0] });
        Ok(Site { members, servers, begun, origin_ms })
    }

    /// Sets the speed of the origin for the requests that begin from now on.
    pub fn set_origin(&self, record: &Record, speed: OriginSpeed) {
        let ms = match speed {
            OriginSpeed::Usual => self.servers.origin_ms[0],
            OriginSpeed::Write => self.servers.origin_ms[0] * 3,
            OriginSpeed::Slow => self.servers.origin_ms[1],
        };
        if self.origin_ms.swap(ms, Ordering::Relaxed) != ms {
            record.line(&format!("origin: {ms} ms a request from now on"));
        }
    }
}
