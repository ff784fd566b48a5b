//! The proxy under test as the platform runs it: started by `run` of the deploy file, with a configuration and
//! a folder of its own, and ended by its process id.

use crate::record::Record;
use crate::resp;
use std::fs;
use std::io::{self, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// How long a proxy may take to be ready (STANDING).
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// A member of discovery's list.
pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub flavor: &'static str,
    pub locality: &'static str,
}

/// The whole list as one line of JSON.
pub fn list(members: &[Member]) -> String {
    let entry = |m: &Member| {
        format!(
            r#"{{"id":"{}","host_port":"{}","locality":"{}","flavor":"{}","cell":0,"phase":"SERVING","size":1.0,"up_since_ms":0}}"#,
            m.id, m.address, m.locality, m.flavor
        )
    };
    let entries: Vec<String> = members.iter().map(entry).collect();
    format!(r#"{{"revision":1,"complete":true,"members":[{}]}}"#, entries.join(","))
}

/// The settings of reykjavik-transfers, with the figures that the wire page shows for it.
pub const REYKJAVIK: &str = r#"{"balancers":1,"me":0,"zone":0,"periodMs":5.0,"tier":0,"stages":["lookup-cache"],
"classes":[{"group":"all","hardLimitMs":2000.0,"lateValue":0.0,"name":"lookup","onTimeMs":750.0,"points":1.0,"repeat":"retryable","streamed":false,"windowMs":5000.0},
{"group":"all","hardLimitMs":2500.0,"lateValue":0.0,"name":"instruct","onTimeMs":1200.0,"points":3.0,"repeat":"dedup","streamed":false,"windowMs":4000.0}],
"tenants":[{"name":"nordurbanki","quotaPerS":400.0,"share":1.0}],
"zones":["hofdi","grafarholt"],"flavors":["full-node","half-node","origin"],"discovery":"automatic","clients":{"marksRetry":true},
"charges":{"connection":0.03,"crossZone":0.04,"discovery":0.0,"handshake":0.03,"lateFail":0.064,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.014,"waste":0.043},
"familyInfo":{"mode":"aside","notes":"1 hit, 2 miss, 3 miss while this server has told another request to fetch","originFallMs":3000.0,"originFallMultiple":2.5,"originKind":2},
"goal":{"whole":0.6,"worstClass":0.2,"worstTenant":0.1,"worstWindow":0.1},
"limits":{"cancelling":true,"cpuUsPerRequest":0.0,"cpuUsPerS":18217,"dialTimeoutMs":250.0,"keepaliveMs":60000.0,"maxAttempts":4,"maxOpen":24289,"maxRetryAfterMs":1000.0,"multiplex":100,"peers":false,"probes":true,"retryAfter":true,"secondCopies":true},
"overShareWorth":0.2,
"rules":{"askWithinMs":10000.0,"coldFrom":0.15,"coldMs":23000.0,"drainGraceMs":2500.0,"fallMultiple":3.0,"graceToAnswerMs":20.0,"overloadForMs":1000.0},
"stats":{"columns":["err_rps","cpu"],"source":"on_probe"},"weights":"nominal","workload":"cache","worthBy":"request"}"#;

/// The settings of quito-archive, after its site file; "nothing in the program [...] may be fitted to one deployment"
/// (STANDING).
pub const QUITO: &str = r#"{"balancers":1,"me":0,"zone":0,"periodMs":5.0,"tier":0,"stages":["shelf"],
"classes":[{"group":"all","hardLimitMs":8000.0,"lateValue":0.2,"name":"r","onTimeMs":2500.0,"points":1.0,"repeat":"retryable","streamed":false,"windowMs":5000.0},
{"group":"all","hardLimitMs":20000.0,"lateValue":0.5,"name":"r2","onTimeMs":5000.0,"points":2.0,"repeat":"retryable","streamed":false,"windowMs":5000.0},
{"group":"zone","hardLimitMs":10000.0,"lateValue":0.0,"name":"rw","onTimeMs":4000.0,"points":5.0,"repeat":"dedup","streamed":false,"windowMs":60000.0},
{"group":"all","hardLimitMs":6000.0,"lateValue":0.0,"name":"rw.x","onTimeMs":3000.0,"points":3.0,"repeat":"fragile","streamed":false,"windowMs":0.0}],
"tenants":[{"name":"r","quotaPerS":400.0,"share":0.9},{"name":"rw","quotaPerS":40.0,"share":0.1}],
"zones":["n","north","north-2","Norte"],"flavors":["big","small","origin"],"discovery":"automatic","clients":{"marksRetry":true},
"charges":{"connection":0.05,"crossZone":0.08,"handshake":0.01,"lateFail":0.03,"probe":0.03,"waste":0.02},
"familyInfo":{"mode":"aside","originFallMs":3000.0,"originFallMultiple":2.5,"originKind":2},
"limits":{"cancelling":true,"dialTimeoutMs":1000.0,"keepaliveMs":300000.0,"maxAttempts":6,"maxOpen":24289,"maxRetryAfterMs":4000.0,"multiplex":200,"peers":false,"probes":true,"retryAfter":true,"secondCopies":true},
"overShareWorth":0.0,
"rules":{"askWithinMs":10000.0,"coldFrom":0.15,"coldMs":25000.0,"drainGraceMs":5000.0,"fallMultiple":4.0,"graceToAnswerMs":20.0,"overloadForMs":2000.0},
"stats":{"columns":["rps","cpu","avg_ms"],"source":"on_probe"},"weights":"nominal","workload":"cache","worthBy":"request"}"#;

/// The limits of a proxy, as the configuration names them.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub memory_mb: u64,
    pub sockets: u64,
}

/// A running proxy; it ends with this value.
pub struct Proxy {
    child: Child,
    pub address: SocketAddr,
    folder: PathBuf,
}

impl Proxy {
    /// Starts the proxy and waits until it answers `PING`.
    ///
    /// # Errors
    ///
    /// If the deploy file cannot be read, or the proxy does not start or is not ready in time.
    pub fn start(
        record: &Record,
        settings: &str,
        limits: Limits,
        discovery: SocketAddr,
        list: &str,
    ) -> io::Result<Proxy> {
        let address = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()?;
        let folder = std::env::temp_dir().join(format!("martenweir-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let config = folder.join("config.json");
        let text = format!(
            r#"{{"name":"n0","listen":"{address}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"known":{list},"settings":{settings}}}"#,
            limits.memory_mb, limits.sockets
        );
        fs::write(&config, text)?;
        let run = run_line()?;
        let mut child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("NODE_NAME", "n0")
            .env("NODE_LISTEN", address.to_string())
            .env("NODE_DISCOVERY", discovery.to_string())
            .env("NODE_CONFIG", &config)
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(fs::File::create(folder.join("log.txt"))?)
            .spawn()?;
        record.line(&format!(
            "proxy started: {run}, process {}, {} MB, {} descriptors",
            child.id(),
            limits.memory_mb,
            limits.sockets
        ));
        let started = Instant::now();
        while !is_ready(address) {
            if started.elapsed() > READY_TIMEOUT || child.try_wait()?.is_some() {
                let _ = child.kill();
                let _ = child.wait();
                return Err(io::Error::other("the proxy is not ready"));
            }
            thread::sleep(Duration::from_millis(20));
        }
        record.line("proxy is ready");
        Ok(Proxy { child, address, folder })
    }

    /// The memory of the process without files, in bytes (`RssAnon` and `RssShmem`, see proc(5)); `None` if it
    /// has ended.
    pub fn memory(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let field = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name))?;
            line.trim().trim_end_matches(" kB").parse::<u64>().ok()
        };
        Some((field("RssAnon:")? + field("RssShmem:")?) * 1024)
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// The last lines of its log about the door, which closes client connections.
    pub fn door_lines(&self) -> Vec<String> {
        let log = fs::read_to_string(self.folder.join("log.txt")).unwrap_or_default();
        let lines: Vec<String> =
            log.lines().filter(|line| line.contains("door:")).map(str::to_owned).collect();
        lines.into_iter().rev().take(1).collect()
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// `run` of the deploy file.
fn run_line() -> io::Result<String> {
    let text = fs::read_to_string(Path::new("deploy/balancer.toml"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
    line.map(str::to_owned).ok_or_else(|| io::Error::other("deploy/balancer.toml has no run"))
}

fn is_ready(address: SocketAddr) -> bool {
    let ask = || -> io::Result<String> {
        let mut socket = TcpStream::connect(address)?;
        socket.set_read_timeout(Some(Duration::from_secs(1)))?;
        socket.write_all(&resp::command(&[b"PING"]))?;
        resp::line(&mut BufReader::new(socket))
    };
    ask().is_ok_and(|line| line == "+PONG")
}
