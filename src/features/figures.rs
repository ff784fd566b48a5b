//! Figures: sends counters, gauges and timers to a metrics collector, in batches. Counters are summed between
//! flushes; each latency is a line of its own. The proxy never waits for the target.

use crate::core::{Record, StreamOutcome};
use crate::interface::{ClassId, Micros, TenantId};
use crate::log::writer::Writer;
use crate::settings::Site;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::net::{SocketAddr, UdpSocket};
use std::os::unix::fs::MetadataExt;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// Maximum size of a batch, which consists of whole lines, and of all held batches, of which the oldest are
/// dropped first.
const MAX_BATCH: usize = 1400;
const MAX_PENDING: usize = 64 * 1024;
/// How long a graceful shutdown waits for the last batches to be written.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(200);

/// Line format of the collector.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Format {
    Statsd,
    Influx,
}

/// Where figures are written.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    Stderr,
    File(PathBuf),
    Udp(SocketAddr),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub format: Format,
    pub target: Target,
    pub flush: Micros,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { format: Format::Statsd, target: Target::Stderr, flush: 10_000_000 }
    }
}

/// Current gauge values, and counters since the last flush.
#[derive(Clone, Debug, Default)]
pub struct Gauges {
    pub downstreams: usize,
    pub upstreams: usize,
    /// Nodes that discovery lists as SERVING.
    pub serving: usize,
    /// Closed downstreams by reason.
    pub closed: Vec<(&'static str, u64)>,
    /// Whether control machines keep this proxy in service; `None` without control machines.
    pub controlled: Option<bool>,
}

#[derive(Clone, Copy)]
enum MetricKind {
    Counter,
    Gauge,
    Timer,
}

impl Format {
    /// Formats a line. Dots in `name` are converted as needed; characters of tags that the format does not
    /// allow are escaped or replaced by `_`.
    fn line(self, name: &str, kind: MetricKind, tags: &[(&str, &str)], value: u64) -> String {
        match self {
            Format::Statsd => {
                let tags: Vec<String> =
                    tags.iter().map(|(k, v)| format!("{k}:{}", escape_statsd(v))).collect();
                let tags = if tags.is_empty() { String::new() } else { format!("|#{}", tags.join(",")) };
                let kind = match kind {
                    MetricKind::Counter => "c",
                    MetricKind::Gauge => "g",
                    MetricKind::Timer => "ms",
                };
                format!("martenweir.{name}:{value}|{kind}{tags}\n")
            }
            Format::Influx => {
                let tags: String = tags.iter().map(|(k, v)| format!(",{k}={}", escape_influx(v))).collect();
                let field = match kind {
                    MetricKind::Counter => "count",
                    MetricKind::Gauge => "value",
                    MetricKind::Timer => "ms",
                };
                format!("martenweir_{}{tags} {field}={value}\n", name.replace('.', "_"))
            }
        }
    }
}

fn escape_statsd(value: &str) -> String {
    let bad = |c: char| c.is_control() || c.is_whitespace() || "|#,:@".contains(c);
    value.chars().map(|c| if bad(c) { '_' } else { c }).collect()
}

fn escape_influx(value: &str) -> String {
    let mut out = String::new();
    for c in value.chars() {
        match c {
            // A backslash at the end of a tag would escape the separator that follows it.
            '\\' => out.push('_'),
            _ if c.is_control() => out.push('_'),
            ',' | '=' | ' ' => out.extend(['\\', c]),
            _ => out.push(c),
        }
    }
    out
}

/// Complete lines, and the number of lost batches that they report.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Key of a counter: its name, class, tenant and the value of the last tag.
type Counter = (&'static str, ClassId, TenantId, &'static str);

#[derive(Debug, Default)]
struct State {
    counters: BTreeMap<Counter, u64>,
    /// Flushed counters for whose lines there was no room yet.
    due: BTreeMap<Counter, u64>,
    current: Batch,
    ready: VecDeque<Batch>,
    /// Size of the batch that is being written.
    writing: usize,
    /// Number of lost batches that have not been reported yet.
    dropped: u64,
    shutting_down: bool,
}

impl State {
    fn held(&self) -> usize {
        self.ready.iter().map(|b| b.bytes.len()).sum::<usize>() + self.current.bytes.len() + self.writing
    }

    /// Completes the current batch; drops the oldest ones to make room.
    fn close(&mut self) {
        let batch = std::mem::take(&mut self.current);
        if !batch.bytes.is_empty() {
            self.ready.push_back(batch);
        }
        while self.held() + MAX_BATCH > MAX_PENDING {
            let Some(oldest) = self.ready.pop_front() else { return };
            self.dropped += 1 + oldest.dropped;
        }
    }

    fn push(&mut self, line: &str) {
        if line.len() > MAX_BATCH {
            // No batch can hold a line this long; it comes from overlong names.
            self.dropped += 1;
            return;
        }
        if self.current.bytes.len() + line.len() > MAX_BATCH {
            self.close();
        }
        self.current.bytes.extend_from_slice(line.as_bytes());
    }
}

/// The figures of a proxy.
#[derive(Debug)]
pub struct Figures {
    settings: Settings,
    site: Rc<Site>,
    state: RefCell<State>,
    /// The target has failed for good.
    stopped: Cell<bool>,
    wake: Sender<()>,
    woken: Receiver<()>,
}

impl Figures {
    pub fn new(settings: Settings, site: Rc<Site>) -> Self {
        let (wake, woken) = async_channel::bounded(1);
        let (state, stopped) = (RefCell::default(), Cell::new(false));
        Figures { settings, site, state, stopped, wake, woken }
    }

    pub fn flush_interval(&self) -> Micros {
        self.settings.flush
    }

    /// Whether records have to be passed to [`Figures::record`].
    pub fn wants_records(&self) -> bool {
        !self.stopped.get()
    }

    fn tags(&self, class: ClassId, tenant: TenantId) -> [(&'static str, &str); 2] {
        let (class, tenant) = (self.site.class(class), self.site.tenant(tenant));
        [("class", class.unwrap_or("-")), ("tenant", tenant.unwrap_or("-"))]
    }

    pub fn record(&self, record: &Record) {
        if self.stopped.get() {
            return;
        }
        let mut state = self.state.borrow_mut();
        let mut count =
            |name, tag| *state.counters.entry((name, record.class, record.tenant, tag)).or_default() += 1;
        count("requests", record.ended.name());
        if let Some(read) = record.read() {
            count("reads", read);
        }
        if record.ended == StreamOutcome::Served {
            let tags = self.tags(record.class, record.tenant);
            let ms = (record.time / 1000).max(0) as u64;
            let ready = state.ready.len();
            state.push(&self.settings.format.line("latency", MetricKind::Timer, &tags, ms));
            // A full batch is written at once.
            if state.ready.len() > ready {
                let _ = self.wake.try_send(());
            }
        }
    }

    /// Formats all counters since the last flush, and the given gauges.
    pub fn flush(&self, gauges: Gauges) {
        if self.stopped.get() {
            return;
        }
        let mut state = self.state.borrow_mut();
        let line = |name, kind, tags: &[_], value| self.settings.format.line(name, kind, tags, value);
        let open = |side, n: usize| line("connections", MetricKind::Gauge, &[("side", side)], n as u64);
        state.push(&open("downstream", gauges.downstreams));
        state.push(&open("upstream", gauges.upstreams));
        for (reason, n) in gauges.closed {
            state.push(&line("downstreams.closed", MetricKind::Counter, &[("reason", reason)], n));
        }
        state.push(&line("nodes.serving", MetricKind::Gauge, &[], gauges.serving as u64));
        if let Some(controlled) = gauges.controlled {
            state.push(&line("control.inservice", MetricKind::Gauge, &[], u64::from(controlled)));
        }
        if state.dropped > 0 {
            let dropped = std::mem::take(&mut state.dropped);
            state.push(&line("figures.dropped", MetricKind::Counter, &[], dropped));
            state.current.dropped += dropped;
        }
        for (counter, n) in std::mem::take(&mut state.counters) {
            *state.due.entry(counter).or_default() += n;
        }
        self.format_due(&mut state);
        state.close();
        let _ = self.wake.try_send(());
    }

    /// Formats pending counters while there is room; the others stay summed.
    fn format_due(&self, state: &mut State) {
        let none_due = state.due.is_empty();
        while state.held() + 3 * MAX_BATCH < MAX_PENDING {
            let Some(((name, class, tenant, tag), n)) = state.due.pop_first() else { break };
            let [class, tenant] = self.tags(class, tenant);
            let last = if name == "reads" { ("result", tag) } else { ("outcome", tag) };
            state.push(&self.settings.format.line(name, MetricKind::Counter, &[class, tenant, last], n));
        }
        if !none_due {
            state.close();
        }
    }

    pub(crate) fn take(&self) -> Option<Batch> {
        let mut state = self.state.borrow_mut();
        let batch = state.ready.pop_front()?;
        state.writing = batch.bytes.len();
        Some(batch)
    }

    /// A batch has been handled; `lost` batches were lost with it.
    pub(crate) fn done(&self, lost: u64) {
        let mut state = self.state.borrow_mut();
        state.writing = 0;
        state.dropped += lost;
        self.format_due(&mut state);
    }

    /// Gives up the target and drops everything that was queued for it.
    fn stop(&self) {
        self.stopped.set(true);
        let mut state = self.state.borrow_mut();
        *state = State { shutting_down: state.shutting_down, ..State::default() };
    }

    /// Graceful shutdown: flushes once more and gives the writer [`SHUTDOWN_TIMEOUT`] to finish.
    pub async fn end(&self, gauges: Gauges, writer: impl std::future::Future<Output = ()>) {
        self.flush(gauges);
        self.state.borrow_mut().shutting_down = true;
        let _ = self.wake.try_send(());
        let timeout = async {
            Timer::after(SHUTDOWN_TIMEOUT).await;
        };
        future::or(writer, timeout).await;
    }

    /// Writes batches until shutdown; through `stderr` if that is the target.
    pub async fn write(self: Rc<Self>, stderr: Writer) {
        let mut sink = Sink::new(self.settings.target.clone(), stderr);
        loop {
            if let Some(batch) = self.take() {
                let lost = sink.put(batch).await;
                self.done(lost);
                if sink.stopped {
                    self.stop();
                }
            } else if self.state.borrow().shutting_down {
                return;
            } else {
                let _ = self.woken.recv().await;
            }
        }
    }
}

/// Writes to the target. Blocking operations run on another thread, one at a time, so that lines never
/// interleave.
pub(crate) struct Sink {
    target: Target,
    stderr: Writer,
    file: Option<File>,
    udp: Option<UdpSocket>,
    /// Lost batches reported in the last datagram. Its refusal by the peer is only seen with the next send.
    last: u64,
    stopped: bool,
}

impl Sink {
    pub(crate) fn new(target: Target, stderr: Writer) -> Self {
        Sink { target, stderr, file: None, udp: None, last: 0, stopped: false }
    }

    /// Writes a batch and returns the number of lost batches.
    pub(crate) async fn put(&mut self, batch: Batch) -> u64 {
        match self.target.clone() {
            Target::Stderr => {
                // Standard error may be closed or block forever.
                self.stderr.write(batch.bytes).await;
                0
            }
            Target::Udp(address) => self.send(address, &batch),
            Target::File(path) => {
                let (file, shown, lost) = (self.file.take(), path.display().to_string(), 1 + batch.dropped);
                match blocking::unblock(move || append(file, path, &batch.bytes)).await {
                    Ok(file) => {
                        self.file = Some(file);
                        0
                    }
                    Err(why) => {
                        self.stopped = true;
                        let (file, why) = (shown.as_str(), why.to_string());
                        warn!(
                            event = "figures_stopped",
                            file, why, "figures: {file}: {why}; no more are written"
                        );
                        lost
                    }
                }
            }
        }
    }

    fn send(&mut self, address: SocketAddr, batch: &Batch) -> u64 {
        let lost = self.refused().unwrap_or(0);
        if self.udp.is_none() {
            self.udp = connect(address).ok();
        }
        match self.udp.as_ref().map(|udp| udp.send(&batch.bytes)) {
            Some(Ok(_)) => {
                self.last = batch.dropped;
                lost
            }
            _ => {
                self.last = 0;
                lost + 1 + batch.dropped
            }
        }
    }

    /// Whether a UDP socket is in use.
    pub(crate) fn is_udp(&self) -> bool {
        self.udp.is_some()
    }

    /// If the last datagram was refused by the peer: the number of batches lost with it.
    pub(crate) fn refused(&mut self) -> Option<u64> {
        let refused = self.udp.as_ref()?.take_error().ok()?.is_some();
        refused.then(|| 1 + std::mem::take(&mut self.last))
    }
}

fn connect(address: SocketAddr) -> io::Result<UdpSocket> {
    let any = if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    let udp = UdpSocket::bind(any)?;
    udp.set_nonblocking(true)?;
    udp.connect(address)?;
    Ok(udp)
}

/// Appends complete lines. Fails if the file is full or was removed; a partially written line is truncated.
fn append(file: Option<File>, path: PathBuf, bytes: &[u8]) -> io::Result<File> {
    let mut file = match file {
        Some(file) => file,
        None => OpenOptions::new().append(true).create(true).open(path)?,
    };
    let about = file.metadata()?;
    if about.nlink() == 0 {
        return Err(io::Error::new(io::ErrorKind::NotFound, "the file was removed"));
    }
    if let Err(e) = file.write_all(bytes) {
        let _ = file.set_len(about.len());
        return Err(e);
    }
    Ok(file)
}
