//! Hollow proxies: the real control side without traffic, many in one process on loopback, beside some whole proxies.
//!
//! [`registry`] is discovery's stand-in, in the lab's own process; [`proxies`] are in a process of their own, so that
//! what that one uses is theirs alone; whole proxies are the program itself. A new control mechanism adds its side to
//! [`proxies`] and its stand-in or its real other side here.
//!
//! All proxies of a process take turns on one thread: what one of them waits for the others is in the times, not in the
//! counts.

pub mod proxies;
mod registry;

use super::result::Spread;
use super::roles::lists;
use super::{Axis, Fault, Measured, Size};
use crate::loopback::children::{Child, Limits, Program};
use proxies::Said;
use registry::Registry;
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use serde_json::json;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

/// Whole proxies beside the hollow ones.
const WHOLE: u64 = 2;
/// Descriptors that a process has whatever it is for.
const OWN: u64 = 128;
/// Bytes that a hollow proxy takes by itself, and for each node, with room to spare (measured: docs/capacity/hollow.json).
const EACH: u64 = 128 * 1024;
/// See [`EACH`].
const EACH_NODE: u64 = 1_600;
/// The most memory that a run may take: half of a machine of 24 GiB.
const MEMORY: u64 = 12 << 30;
/// A process that is not ready by then never is.
const READY: Duration = Duration::from_secs(60);
/// Revisions that the registry tells.
const WHOLE_LIST: u64 = 1;
const CHANGE: u64 = 2;

fn io(what: &'static str) -> impl Fn(std::io::Error) -> Fault {
    move |source| Fault::Io { what: what.into(), source }
}

/// Whether the machine has room, before anything is started.
fn make_room(size: &Size) -> Result<(), Fault> {
    let (proxies, nodes) = (size.along(Axis::Proxies), size.along(Axis::Nodes));
    let none = |what| Fault::Room { size: size.to_string(), what };
    let wanted = proxies * (EACH + EACH_NODE * nodes);
    let free = available().unwrap_or(MEMORY).min(MEMORY);
    if wanted > free {
        let mib = |bytes: u64| bytes >> 20;
        return Err(none(format!(
            "hollow proxies want {} MiB, {} are free for them",
            mib(wanted),
            mib(free)
        )));
    }
    let wanted = proxies + OWN;
    let limit = getrlimit(Resource::Nofile);
    if limit.current.is_none_or(|current| current >= wanted) {
        return Ok(());
    }
    let raised = Rlimit { current: Some(wanted), maximum: limit.maximum };
    let enough = limit.maximum.is_none_or(|most| most >= wanted);
    if !enough || setrlimit(Resource::Nofile, raised).is_err() {
        let most = limit.maximum.unwrap_or(0);
        return Err(none(format!("hollow proxies want {wanted} descriptors, {most} are allowed")));
    }
    Ok(())
}

/// Bytes that the system could still give (proc_meminfo(5)).
fn available() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find_map(|l| l.strip_prefix("MemAvailable:"))?;
    line.trim().strip_suffix(" kB")?.trim().parse::<u64>().ok().map(|kb| kb * 1024)
}

/// The process of hollow proxies. Dropped, it is told to end and waited for.
struct Hollow {
    process: std::process::Child,
    lines: BufReader<std::process::ChildStdout>,
}

impl Hollow {
    /// Starts the program of this process anew, as hollow proxies.
    fn start(size: &Size, seed: u64, registry: SocketAddr) -> Result<Hollow, Fault> {
        let program = std::env::current_exe().map_err(io("this program"))?;
        let (proxies, nodes) = (size.along(Axis::Proxies), size.along(Axis::Nodes));
        let mut process = Command::new(program)
            .args(["capacity", "--hollow", &format!("{registry},{proxies},{nodes},{seed}")])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(io("hollow proxies"))?;
        let out = process.stdout.take().ok_or_else(|| Fault::broken("hollow proxies without output"))?;
        Ok(Hollow { process, lines: BufReader::new(out) })
    }

    /// What it says next.
    fn hear(&mut self) -> Result<Said, Fault> {
        let mut line = String::new();
        self.lines.read_line(&mut line).map_err(io("hollow proxies"))?;
        if line.is_empty() {
            return Err(Fault::broken("hollow proxies ended before they were done"));
        }
        serde_json::from_str::<Result<Said, String>>(&line).map_err(Fault::broken)?.map_err(Fault::Broken)
    }
}

impl Drop for Hollow {
    fn drop(&mut self) {
        // The end of its input tells it; it hears that at any time.
        drop(self.process.stdin.take());
        let _ = self.process.wait();
    }
}

/// A whole proxy, and the end of whose channel says that it is ready.
struct Whole {
    child: Child,
    ready: Receiver<()>,
    _dir: tempfile::TempDir,
}

impl Whole {
    fn start(name: &str, registry: SocketAddr) -> Result<Whole, Fault> {
        let dir = tempfile::tempdir().map_err(io("a temporary folder"))?;
        let path = dir.path().join("config.json");
        let configuration = json!({
            "name": name, "listen": "127.0.0.1:0", "discovery": registry.to_string(), "seed": "1",
            "limits": { "sockets": 1024, "memory_mb": 192 }, "settings": lists::settings(),
        });
        let written = std::fs::File::create(&path).and_then(|mut f| write!(f, "{configuration}"));
        written.map_err(io("a configuration"))?;
        let program = Program::own().map_err(io("this program"))?;
        let limits = Limits { memory_kb: u64::MAX, descriptors: 4096, file_bytes: None };
        let (tell, ready) = channel();
        let hear = move |line: &str| {
            if line.contains("ready") {
                let _ = tell.send(());
            }
        };
        let variables = [("NODE_CONFIG", path.display().to_string())];
        let dir_path: &Path = dir.path();
        let child = Child::start_with_line_handler(name, &program, limits, dir_path, &variables, &[], hear)
            .map_err(Fault::broken)?;
        Ok(Whole { child, ready, _dir: dir })
    }

    fn wait(&mut self) -> Result<(), Fault> {
        let late = |_| Fault::broken(format!("{} was not ready in time", self.child.name()));
        self.ready.recv_timeout(READY).map_err(late)
    }
}

/// Runs at one size; the values are in the order of `roles::hollow`.
pub fn run(size: &Size, seed: u64) -> Result<Measured, Fault> {
    make_room(size)?;
    let (proxies, nodes) = (size.along(Axis::Proxies), size.along(Axis::Nodes));
    let registry = Registry::start(lists::whole(nodes), lists::change(1)).map_err(io("discovery"))?;
    let mut hollow = Hollow::start(size, seed, registry.hollow())?;
    let listed = hollow.hear()?;
    let list = registry.told();
    let mut whole = (0..WHOLE)
        .map(|n| Whole::start(&format!("w{n}"), registry.whole()))
        .collect::<Result<Vec<_>, _>>()?;
    whole.iter_mut().try_for_each(Whole::wait)?;
    let began = registry.change();
    let changed = hollow.hear()?;
    let told = registry.told();
    let usages: Vec<_> = whole.iter().filter_map(|w| w.child.usage()).collect();
    if usages.len() as u64 != WHOLE {
        return Err(Fault::broken("a whole proxy has ended"));
    }
    let mean = |of: &dyn Fn(&crate::loopback::children::Usage) -> f64| {
        usages.iter().map(of).sum::<f64>() / WHOLE as f64
    };
    let spread = |name, about, mut times: Vec<f64>| {
        times.sort_by(f64::total_cmp);
        let at = |part: f64| times[((times.len() - 1) as f64 * part).ceil() as usize];
        let (median, p99, worst) = (at(0.5), at(0.99), at(1.0));
        Spread { name, about, size: size.clone(), unit: "s", median, p99, worst, of: times.len() }
    };
    for said in [&listed, &changed] {
        if said.at_ns.len() as u64 != proxies {
            return Err(Fault::broken(format!("{} of {proxies} proxies have told", said.at_ns.len())));
        }
    }
    let took = |ns: &i64, from: i64| (ns - from) as f64 / 1e9;
    let list_times = listed.at_ns.iter().zip(&listed.from_ns).map(|(at, from)| took(at, *from)).collect();
    let change_times = changed.at_ns.iter().map(|at| took(at, began)).collect();
    Ok(Measured {
        values: vec![
            Some(list.bytes as f64),
            Some(list.messages as f64),
            Some((told.bytes - list.bytes) as f64),
            Some((told.messages - list.messages) as f64),
            Some(changed.calls as f64),
            Some(changed.resident as f64),
            Some(listed.user_s),
            Some(listed.system_s),
            Some(changed.user_s - listed.user_s),
            Some(changed.system_s - listed.system_s),
            Some(mean(&|u| u.memory_kb as f64 * 1024.0)),
            Some(mean(&|u| u.cpu.as_secs_f64())),
        ],
        spreads: vec![
            spread("list_taken", "From a hollow proxy's call until it has taken the whole list", list_times),
            spread(
                "change_taken",
                "From the first byte of a change of one node until a hollow proxy has it",
                change_times,
            ),
        ],
    })
}
