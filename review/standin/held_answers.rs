//! Cases with clients that pipeline reads behind a write, while the origin is slow: the answers to the reads wait
//! in the proxy for the one ahead of them.

use crate::pipelines::{Pipelines, LAST_ANSWER};
use crate::proxy::{list, Limits, Proxy, REYKJAVIK};
use crate::record::Record;
use crate::resp;
use crate::servers;
use crate::site::{OriginSpeed, Site, REYKJAVIK_SERVERS};
use crate::Verdict;
use std::io;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Time before, in and after the trouble. The origin is slow for 7.1 to 19 s (BRIEF 11.4).
const CALM: Duration = Duration::from_secs(5);
const TROUBLE: Duration = Duration::from_secs(10);
const AFTER: Duration = Duration::from_secs(5);
/// How long the clients of a killed proxy take to notice it.
const NOTICE: Duration = Duration::from_secs(1);

/// What is judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judged {
    /// Whether the proxy keeps within its memory.
    Memory,
    /// Whether each command gets its answer in time.
    Answers,
}

/// A case: the load and what is judged.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub judged: Judged,
    /// Within the 32 to 192 MB and 256 to 1,024 descriptors that LATER names.
    pub limits: Limits,
    /// The pause between two clients; each sends 16 commands. "A proxy receives 200 to 320 requests a second"
    /// (LATER).
    pub interval: Duration,
}

/// 320 requests a second.
pub const MEMORY: Case = Case {
    judged: Judged::Memory,
    limits: Limits { memory_mb: 48, sockets: 256 },
    interval: Duration::from_millis(50),
};

/// 200 requests a second, which leaves the proxy well within its memory.
pub const ANSWERS: Case = Case {
    judged: Judged::Answers,
    limits: Limits { memory_mb: 64, sockets: 256 },
    interval: Duration::from_millis(80),
};

/// Plays a case.
///
/// # Errors
///
/// If a stand-in or the proxy could not be started, or the proxy has crashed where its answers are judged.
pub fn play(record: &Arc<Record>, case: Case, trouble: bool) -> io::Result<Verdict> {
    let limits = case.limits;
    let site = Site::start(record, REYKJAVIK_SERVERS, resp::MAX_VALUE)?;
    let list = list(&site.members);
    let mut proxy = Proxy::start(record, REYKJAVIK, limits, servers::discovery(list.clone())?, &list)?;
    // "Clients hold at most a third of the descriptors for requests" (LATER).
    let mut clients = Pipelines::new(proxy.address, limits.sockets / 3, case.interval);
    let (started, end, mut peak, mut crashed) = (Instant::now(), CALM + TROUBLE + AFTER, 0, false);
    while !crashed && started.elapsed() < end + LAST_ANSWER {
        let age = started.elapsed();
        let slow = trouble && age >= CALM && age < CALM + TROUBLE;
        site.set_origin(record, if slow { OriginSpeed::Slow } else { OriginSpeed::Usual });
        if age < end {
            clients.step(record);
        }
        crashed = proxy.has_ended();
        let memory = proxy.memory().unwrap_or(0);
        peak = peak.max(memory);
        if memory > limits.memory_mb << 20 {
            record.line(&format!("proxy over its limit, {} KB: the platform kills it", memory >> 10));
            proxy.kill();
            crashed = true;
        }
        thread::sleep(Duration::from_millis(5));
    }
    if crashed {
        record.line("proxy has crashed");
        thread::sleep(NOTICE);
    }
    proxy.door_lines().iter().for_each(|line| record.line(&format!("the proxy's log: {line}")));
    record.line(&format!("{}; peak memory {} KB", clients.counts, peak >> 10));
    match case.judged {
        Judged::Memory => Ok(Verdict::broken_if(crashed)),
        Judged::Answers if crashed => {
            Err(io::Error::other("the proxy has crashed, so its answers say nothing"))
        }
        Judged::Answers => Ok(Verdict::broken_if(clients.counts.lost() > 0)),
    }
}
