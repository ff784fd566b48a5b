//! The servers of a small deployment: eight cache nodes in two halls and the origin.

use crate::proxy::Member;
use crate::record::Record;
use crate::servers;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// "Today 8 to 10 cache nodes" (BRIEF 4.1).
const NODES: usize = 8;
/// A cache node's time for a read; the least of the site's mean work is 91 ms.
const NODE_WORK: Duration = Duration::from_millis(20);

/// The origin's time for a request, in ms: 0.086 to 0.2 of the shortest aim, 750 ms (site file, `origin_time`).
const ORIGIN_MS: u64 = 120;
/// "The central ledger runs 2.8 to 7.4 times slower" (BRIEF 11.4).
const SLOW_ORIGIN_MS: u64 = ORIGIN_MS * 74 / 10;

/// How fast the origin is.
#[derive(Clone, Copy, Debug)]
pub enum OriginSpeed {
    Usual,
    Slow,
}

/// The running servers.
pub struct Site {
    pub members: Vec<Member>,
    /// The origin's time for a request, in ms.
    origin_ms: Arc<AtomicU64>,
}

impl Site {
    /// Starts the servers; values have `value_bytes`.
    ///
    /// # Errors
    ///
    /// If a port cannot be bound.
    pub fn start(record: &Arc<Record>, value_bytes: usize) -> io::Result<Site> {
        let origin_ms = Arc::new(AtomicU64::new(ORIGIN_MS));
        let halls = ["hofdi", "grafarholt"];
        let mut members = Vec::new();
        for i in 0..NODES {
            let id = format!("s-{i}");
            let address = servers::cache_node(record.clone(), id.clone(), value_bytes, NODE_WORK)?;
            members.push(Member { id, address, flavor: "full-node", locality: halls[i % 2] });
        }
        let address = servers::origin(record.clone(), origin_ms.clone(), value_bytes)?;
        members.push(Member { id: "s-origin".into(), address, flavor: "origin", locality: halls[0] });
        Ok(Site { members, origin_ms })
    }

    /// Sets the speed of the origin for the requests that begin from now on.
    pub fn set_origin(&self, record: &Record, speed: OriginSpeed) {
        let ms = match speed {
            OriginSpeed::Usual => ORIGIN_MS,
            OriginSpeed::Slow => SLOW_ORIGIN_MS,
        };
        if self.origin_ms.swap(ms, Ordering::Relaxed) != ms {
            record.line(&format!("origin: {ms} ms a request from now on"));
        }
    }
}
