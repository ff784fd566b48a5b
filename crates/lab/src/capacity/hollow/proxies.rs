//! The process of hollow proxies: each a core with the real watch on discovery, all on one thread.
//!
//! It says two lines on standard output: once all have the whole list, and once all have the change. It ends with its
//! standard input, whatever it is at.

use super::super::roles::lists;
use super::super::Fault;
use super::{CHANGE, WHOLE_LIST};
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use futures_lite::future;
use martenweir::codec::discovery::Cluster;
use martenweir::core::{Core, Effect, Input};
use martenweir::interface::Micros;
use martenweir::net::{cluster, NetEvent, WatchEvent};
use martenweir::settings::Site;
use rustix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::str::FromStr;
use std::time::{Duration, Instant};

/// News of a proxy that may wait.
const QUEUE: usize = 64;
/// Proxies that call discovery at once; more would wait for each other's lists until they count as unanswered.
const AT_ONCE: usize = 8;
/// Connections to nodes that a core may have; without traffic it has none.
const CONNECTIONS: usize = 512;
/// By then all have what they wait for, or something is broken.
const BOUND: Duration = Duration::from_secs(120);

/// What the process says once all proxies have something.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Said {
    /// When each called, and when each had it, in ns of the system's steady clock.
    pub from_ns: Vec<i64>,
    pub at_ns: Vec<i64>,
    /// Calls to discovery of all.
    pub calls: u64,
    /// Resident memory more than before the first proxy, in bytes.
    pub resident: i64,
    /// Processor time of the process since before the first proxy.
    pub user_s: f64,
    pub system_s: f64,
}

/// What the process is started with: discovery's address, proxies, nodes that the list will have, a seed.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    registry: SocketAddr,
    proxies: usize,
    nodes: usize,
    seed: u64,
}

impl FromStr for Asked {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let wanted = || "ADDRESS,PROXIES,NODES,SEED is wanted".to_owned();
        let [registry, proxies, nodes, seed] = text.split(',').collect::<Vec<_>>()[..] else {
            return Err(wanted());
        };
        let number = |text: &str| text.parse::<u64>().map_err(|_| wanted());
        Ok(Asked {
            registry: registry.parse().map_err(|_| wanted())?,
            proxies: number(proxies)? as usize,
            nodes: number(nodes)? as usize,
            seed: number(seed)?,
        })
    }
}

/// The system's steady clock, which all processes share, in ns.
pub fn monotonic() -> i64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec * 1_000_000_000 + now.tv_nsec
}

/// Resident bytes (proc_pid_statm(5)), and user and system time (proc_pid_stat(5), 14th and 15th field) of this process.
fn used() -> Option<(i64, f64, f64)> {
    let statm = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: i64 = statm.split_whitespace().nth(1)?.parse().ok()?;
    let stat = std::fs::read_to_string("/proc/self/stat").ok()?;
    let mut fields = stat.rsplit_once(')')?.1.split_whitespace().skip(11).map(|f| f.parse::<f64>().ok());
    let tick = rustix::param::clock_ticks_per_second() as f64;
    Some((pages * rustix::param::page_size() as i64, fields.next()?? / tick, fields.next()?? / tick))
}

/// A proxy has a list: which one, when it had called, when it was taken, and its calls so far.
struct Has {
    revision: u64,
    from_ns: i64,
    at_ns: i64,
    calls: u64,
}

/// Is this process, to its end.
pub fn process(asked: Asked) -> Result<(), Fault> {
    std::thread::spawn(|| {
        let _ = std::io::stdin().read_to_end(&mut Vec::new());
        std::process::exit(0);
    });
    let said = serve(asked).map_err(|fault| fault.to_string());
    if let Err(why) = said {
        say(&Err(why));
    }
    // The one who listens ends it.
    loop {
        std::thread::park();
    }
}

fn say(what: &Result<Said, String>) {
    let mut out = std::io::stdout().lock();
    let line = serde_json::to_string(what).unwrap_or_default();
    let _ = writeln!(out, "{line}").and_then(|()| out.flush());
}

fn serve(asked: Asked) -> Result<(), Fault> {
    let site = Rc::new(lists::site()?);
    let before = used().ok_or_else(|| Fault::broken("/proc tells nothing of this process"))?;
    let executor = Rc::new(LocalExecutor::new());
    let (tell, hear) = async_channel::unbounded();
    // A place for each that may call at once; it is free again once the list is taken.
    let (give, place) = async_channel::bounded::<()>(AT_ONCE);
    for n in 0..asked.proxies {
        let proxy = Hollow::new(asked, n as u64, site.clone(), executor.clone(), tell.clone());
        let (give, place) = (give.clone(), place.clone());
        executor
            .spawn(async move {
                if give.send(()).await.is_ok() {
                    proxy.live(place).await;
                }
            })
            .detach();
    }
    async_io::block_on(executor.run(async {
        for revision in [WHOLE_LIST, CHANGE] {
            let all = all_have(asked, revision, &hear);
            let late = async {
                Timer::after(BOUND).await;
                Err(Fault::broken(format!(
                    "not all proxies had revision {revision} after {} s",
                    BOUND.as_secs()
                )))
            };
            let mut said = future::or(all, late).await?;
            let now = used().unwrap_or(before);
            (said.resident, said.user_s, said.system_s) =
                (now.0 - before.0, now.1 - before.1, now.2 - before.2);
            say(&Ok(said));
        }
        // Watches stand until the process is told to end.
        future::pending::<()>().await;
        Ok(())
    }))
}

async fn all_have(asked: Asked, revision: u64, hear: &Receiver<Has>) -> Result<Said, Fault> {
    let (from_ns, at_ns) = (Vec::new(), Vec::new());
    let mut said = Said { from_ns, at_ns, calls: 0, resident: 0, user_s: 0.0, system_s: 0.0 };
    while said.at_ns.len() < asked.proxies {
        let has = hear.recv().await.map_err(Fault::broken)?;
        if has.revision != revision {
            return Err(Fault::broken(format!("revision {} came, {revision} was to come", has.revision)));
        }
        said.from_ns.push(has.from_ns);
        said.at_ns.push(has.at_ns);
        said.calls += has.calls;
    }
    Ok(said)
}

/// A proxy without downstreams.
struct Hollow {
    asked: Asked,
    number: u64,
    site: Rc<Site>,
    executor: Rc<LocalExecutor<'static>>,
    tell: Sender<Has>,
    called_ns: i64,
}

impl Hollow {
    fn new(
        asked: Asked,
        number: u64,
        site: Rc<Site>,
        executor: Rc<LocalExecutor<'static>>,
        tell: Sender<Has>,
    ) -> Self {
        Hollow { asked, number, site, executor, tell, called_ns: 0 }
    }

    /// As the owner of a whole proxy does, as far as discovery goes.
    async fn live(mut self, place: Receiver<()>) {
        let start = Instant::now();
        let now = || start.elapsed().as_micros() as Micros;
        let (queue, news) = async_channel::bounded(QUEUE);
        let known = Cluster { revision: 0, complete: true, nodes: Vec::new() };
        let seed = self.asked.seed ^ self.number;
        let mut core = Core::new(now(), self.site.settings.clone(), seed, CONNECTIONS, known);
        let (mut made, mut _watch): (u64, Option<Task<()>>) = (0, None);
        self.called_ns = monotonic();
        let mut timer = Timer::after(Duration::ZERO);
        loop {
            core.tick(now());
            for effect in core.take_effects() {
                if let Effect::Watch { after } = effect {
                    made += 1;
                    let watch =
                        cluster::watch(made, self.asked.registry, after, queue.clone(), self.site.clone());
                    _watch = Some(self.executor.spawn(watch));
                }
            }
            timer.set_at(start + Duration::from_micros(core.next().max(0) as u64));
            let tick = async {
                (&mut timer).await;
                None
            };
            let one = future::or(async { news.recv().await.ok() }, tick).await;
            let Some(NetEvent::Discovery(number, heard)) = one else { continue };
            let input = match heard {
                _ if number != made => continue,
                WatchEvent::Answered => Input::Cluster(None),
                WatchEvent::Update(list) => Input::Cluster(list),
                WatchEvent::Ended => Input::WatchEnded,
            };
            let revision = match &input {
                Input::Cluster(Some(list)) => Some(list.revision),
                _ => None,
            };
            core.input(now(), input);
            let Some(revision) = revision else { continue };
            let serving = self.asked.nodes - usize::from(revision == CHANGE);
            if revision == WHOLE_LIST {
                let _ = place.try_recv();
            }
            // One that has taken less than it was told never has it.
            if core.serving() == serving {
                let calls = core.counters.calls;
                let has = Has { revision, from_ns: self.called_ns, at_ns: monotonic(), calls };
                let _ = self.tell.try_send(has);
            }
        }
    }
}
