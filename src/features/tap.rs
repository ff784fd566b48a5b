//! tap: one line for each sampled request that matches a filter, on a port of its own. What a watcher does
//! not read is held up to a bound, then the watcher is cut; nobody ever waits for one.

use crate::codec::discovery;
use crate::core::Record;
use crate::interface::{ClassId, TenantId};
use crate::net::downstream::{farewell, Link, TaskMessage, WaitingFor};
use crate::net::{read, send_event, uninterrupted, write_all, LogEntry};
use crate::settings::Site;
use async_channel::{Receiver, Sender};
use futures_lite::future;
use std::cell::RefCell;
use std::io::{self, Write};
use std::net::TcpStream;
use std::rc::Rc;

/// The longest filter, and the most bytes written at once.
const MAX_FILTER: usize = 256;
const MAX_WRITE: usize = 16 * 1024;
/// Lines of the proxy's own.
pub(crate) const CUT: &[u8] = b"# cut slow\n";
const NO_FILTER: &str = "no filter came";
pub(crate) const REFUSED: &str = "# refused: ";

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub port: u16,
    /// The part of all requests that is told.
    pub sample: f64,
    /// Bytes held for a watcher.
    pub buffer: usize,
    pub watchers: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { port: 0, sample: 0.01, buffer: 256 * 1024, watchers: 2 }
    }
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Filter {
    class: Option<ClassId>,
    tenant: Option<TenantId>,
}

impl Filter {
    fn parse(text: &[u8], site: &Site) -> Result<Filter, String> {
        let text = std::str::from_utf8(text).map_err(|_| "the filter is no text".to_owned())?;
        let mut filter = Filter::default();
        for pair in text.split_whitespace() {
            let shown = pair.escape_debug();
            let (name, value) = pair.split_once('=').ok_or(format!("not a name and a value: {shown}"))?;
            let known = |names: &[String]| {
                names.iter().position(|n| n == value).ok_or(format!("unknown {}", shown.clone()))
            };
            let twice = match name {
                "class" => filter.class.replace(ClassId(known(&site.classes)? as u16)).is_some(),
                "tenant" => filter.tenant.replace(TenantId(known(&site.tenants)? as u32)).is_some(),
                _ => return Err(format!("unknown {shown}")),
            };
            if twice {
                return Err(format!("{name} is named twice"));
            }
        }
        match filter == Filter::default() {
            true => Err("no filter; class=NAME, tenant=NAME or both are wanted".into()),
            false => Ok(filter),
        }
    }

    fn wants(&self, record: &Record) -> bool {
        self.class.is_none_or(|c| c == record.class) && self.tenant.is_none_or(|t| t == record.tenant)
    }
}

/// The lines that a watcher has yet to get.
#[derive(Debug, Default)]
struct Lines {
    bytes: Vec<u8>,
    /// How many of them are written.
    written: usize,
    cut: bool,
}

impl Lines {
    fn left(&self) -> usize {
        self.bytes.len() - self.written
    }

    /// Takes a line, or cuts the watcher: a line that is half out is finished, all behind it dropped.
    fn push(&mut self, line: &[u8], most: usize) {
        if self.cut {
            return;
        }
        if self.left() + line.len() <= most {
            return self.bytes.extend_from_slice(line);
        }
        let whole = self.written == 0 || self.bytes[self.written - 1] == b'\n';
        let end = self.bytes[self.written..].iter().position(|b| *b == b'\n').filter(|_| !whole);
        self.bytes.truncate(end.map_or(self.written, |at| self.written + at + 1));
        self.bytes.extend_from_slice(CUT);
        self.cut = true;
    }

    fn write(&mut self, mut to: &TcpStream) -> io::Result<usize> {
        let end = self.bytes.len().min(self.written + MAX_WRITE);
        let n = uninterrupted(|| to.write(&self.bytes[self.written..end]))?;
        self.written += n;
        if self.left() == 0 {
            *self = Lines { cut: self.cut, ..Lines::default() };
        } else if self.written > MAX_WRITE {
            // The line that is half out stays, to tell that it is.
            let start = self.bytes[..self.written].iter().rposition(|b| *b == b'\n').map_or(0, |at| at + 1);
            self.bytes.drain(..start);
            self.written -= start;
        }
        Ok(n)
    }
}

#[derive(Debug)]
struct Watcher {
    filter: Filter,
    lines: RefCell<Lines>,
    /// Its task has something to write.
    wake: Sender<()>,
}

/// The watchers of one proxy.
#[derive(Debug)]
pub struct Tap {
    settings: Settings,
    site: Rc<Site>,
    watchers: RefCell<Vec<Rc<Watcher>>>,
}

/// A watcher's place among the few there are; given back when dropped.
struct Registration<'a>(&'a Tap, Rc<Watcher>);

impl Drop for Registration<'_> {
    fn drop(&mut self) {
        self.0.watchers.borrow_mut().retain(|w| !Rc::ptr_eq(w, &self.1));
    }
}

impl Tap {
    pub fn new(settings: Settings, site: Rc<Site>) -> Self {
        Tap { settings, site, watchers: RefCell::default() }
    }

    /// Somebody watches, so that records are wanted.
    pub fn has_watchers(&self) -> bool {
        !self.watchers.borrow().is_empty()
    }

    fn join(&self, filter: Filter) -> Result<(Registration<'_>, Receiver<()>), String> {
        let mut watchers = self.watchers.borrow_mut();
        if watchers.len() >= self.settings.watchers {
            return Err(format!("{} watchers are connected already", watchers.len()));
        }
        let (wake, woken) = async_channel::bounded(1);
        let watcher = Rc::new(Watcher { filter, lines: RefCell::default(), wake });
        watchers.push(watcher.clone());
        Ok((Registration(self, watcher), woken))
    }

    /// A request follows from its id alone into the sample: every proxy picks the same, none draws.
    fn sampled(&self, record: &Record) -> bool {
        let part = (discovery::hash_id(&record.message.id) >> 11) as f64 / (1u64 << 53) as f64;
        part < self.settings.sample
    }

    /// Hands a record to the watchers that want it; the line is built once the first does.
    pub fn offer(&self, record: &Record) {
        let watchers = self.watchers.borrow();
        if watchers.is_empty() || !self.sampled(record) {
            return;
        }
        let mut line = None;
        for watcher in watchers.iter().filter(|w| w.filter.wants(record)) {
            let line = line.get_or_insert_with(|| self.line(record));
            watcher.lines.borrow_mut().push(line, self.settings.buffer);
            let _ = watcher.wake.try_send(());
        }
    }

    /// `1718000000123 lookup fjardasjodur 9b1f03aa5c7e2d41 s-5be2a07c hit 14ms served`
    fn line(&self, record: &Record) -> Vec<u8> {
        let known = |name: Option<&str>| match name.filter(|n| !n.is_empty()) {
            // A space or a line end in a name would be another field or another line.
            Some(name) => {
                name.chars().map(|c| if c.is_whitespace() || c.is_control() { '_' } else { c }).collect()
            }
            None => "-".to_owned(),
        };
        let id = String::from_utf8_lossy(&record.message.id);
        let line = format!(
            "{} {} {} {} {} {} {}ms {}\n",
            record.at / 1000,
            known(self.site.class(record.class)),
            known(self.site.tenant(record.tenant)),
            known(Some(&id)),
            known(record.node.as_deref()),
            record.read().unwrap_or("-"),
            record.time / 1000,
            record.ended.name(),
        );
        line.into_bytes()
    }
}

enum Woken {
    Finish,
    More,
    Moved(io::Result<usize>),
}

/// Serves a watcher until it leaves, reads too slowly or the program ends.
pub async fn serve(link: Link, tap: Rc<Tap>) {
    let (link, tap) = (&link, &tap);
    let registration = filter(link, &tap.site).await.and_then(|f| tap.join(f));
    let left = match registration {
        Ok((registration, woken)) => {
            let note =
                LogEntry::new("tap_watches", format!("tap: {} watches", link.caller)).caller(&link.caller);
            send_event(&link.queue, note).await;
            link.progress.set_waiting_for(WaitingFor::Answer);
            match stream(link, &registration, &woken).await {
                Some(waits) => link.progress.set_waiting_for(waits),
                None => return,
            }
            if registration.1.lines.borrow().cut {
                let text = format!("tap: {} cut, it reads too slowly", link.caller);
                send_event(&link.queue, LogEntry::new("tap_cut", text).caller(&link.caller)).await;
            }
            // Its place is free from here on, and no line comes any more.
            registration.1.lines.take()
        }
        Err(why) => {
            link.progress.set_waiting_for(WaitingFor::Close);
            Lines { bytes: format!("{REFUSED}{why}\n").into_bytes(), ..Lines::default() }
        }
    };
    // Sweeps see to it that this ends even if the watcher never reads: no write counts as a step.
    if write_all(&link.socket, &left.bytes[left.written..]).await.is_ok() {
        link.progress.set_waiting_for(WaitingFor::Close);
        farewell(&link.socket).await;
    }
}

/// The filter: one line, from a peer that has not been told to finish for want of it.
async fn filter(link: &Link, site: &Site) -> Result<Filter, String> {
    let mut input = link.input.take();
    loop {
        if link.finishing && link.socket.has_nothing_unread() {
            return Err(NO_FILTER.into());
        }
        let line = input.iter().position(|b| *b == b'\n');
        if line.unwrap_or(input.len()) > MAX_FILTER {
            return Err(format!("the filter is longer than {MAX_FILTER} bytes"));
        }
        if let Some(end) = line {
            return Filter::parse(&input[..end], site);
        }
        link.progress.update(|shown| shown.partial_bytes = input.len());
        let order = async {
            while let Ok(TaskMessage::Refresh) = link.orders.recv().await {
                link.progress.refreshed();
            }
            Ok(0)
        };
        match future::or(order, read(&link.socket, &mut input)).await {
            Ok(1..) => {}
            _ => return Err(NO_FILTER.into()),
        }
    }
}

/// Passes lines on. Comes back with what is waited for while the rest is written; `None` if nobody reads it.
async fn stream(link: &Link, registration: &Registration<'_>, woken: &Receiver<()>) -> Option<WaitingFor> {
    let lines = &registration.1.lines;
    let mut input = Vec::new();
    loop {
        let (left, cut) = (lines.borrow().left(), lines.borrow().cut);
        if cut {
            return Some(WaitingFor::Peer);
        }
        let finish = async {
            match link.orders.recv().await {
                Ok(TaskMessage::Refresh) => {
                    link.progress.refreshed();
                    Woken::More
                }
                Ok(TaskMessage::Answer(..)) => Woken::More,
                Ok(TaskMessage::Finish | TaskMessage::FinishNow) | Err(_) => Woken::Finish,
            }
        };
        let more = async {
            let _ = woken.recv().await;
            Woken::More
        };
        let write = async {
            if left == 0 {
                future::pending::<()>().await;
            }
            Woken::Moved(link.socket.write_with(|to| lines.borrow_mut().write(to)).await)
        };
        let read = async { Woken::Moved(read(&link.socket, &mut input).await) };
        match future::or(finish, future::or(more, future::or(read, write))).await {
            Woken::Finish => return Some(WaitingFor::Close),
            Woken::More => {}
            // Nothing that a watcher says behind its filter means anything.
            Woken::Moved(Ok(1..)) => input.clear(),
            Woken::Moved(_) => return None,
        }
    }
}
