//! The clients' side: RESP commands in, answers out in the order of the commands.

use super::{consume, read, tell, Caller, News, Port, Queue};
use crate::codec::{discovery, resp};
use crate::core::{Answer, Ask, DownstreamId, Input, Message};
use crate::features::addresses::{unmapped, Addresses};
use crate::features::multiget::{self, Batches};
use crate::interface::*;
use crate::settings::Site;
use async_channel::Receiver;
use async_io::Async;
use futures_lite::{future, AsyncWriteExt};
use std::cell::Cell;
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// Streams that one downstream may have open, and bytes it may leave unread before no more are taken.
pub const STREAMS: usize = 16;
/// The longest `d` that makes sense, in ms: an hour.
const LONGEST: f64 = 3.6e6;
const UNREAD: usize = 256 * 1024;
/// Bytes that a downstream may still send once it is told that no more is read.
const FAREWELL: usize = 256 * 1024;

/// What the owner tells a downstream. The queue is longer than a downstream can have streams open.
#[derive(Debug)]
pub enum Order {
    Answer(u64, Answer),
    /// Close as soon as nothing is owed.
    Finish,
}

/// What a downstream is up to, for the owner's sweeps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Waits {
    /// For the PROXY header of a front.
    Header,
    /// For its first whole command, or for the rest of one.
    #[default]
    Command,
    /// For the peer to read its answers.
    Peer,
    /// For the peer to close in its turn.
    Close,
    /// For the answer to a stream.
    Answer,
    /// For nothing: it may send another command.
    Nothing,
}

#[derive(Debug, Default)]
pub struct Progress {
    pub waits: Cell<Waits>,
    /// Whole commands taken and writes done: a drip of bytes is no step.
    pub steps: Cell<u64>,
}

impl Progress {
    fn step(&self) {
        self.steps.set(self.steps.get() + 1);
    }
}

/// What commands are read with.
#[derive(Debug)]
pub struct Vocabulary {
    pub site: Rc<Site>,
    /// `PING` is answered with `+PONG`.
    pub ready: Cell<bool>,
}

/// Accepts connections until the task is dropped, and none while `gate` says that the program is full.
pub async fn accept(
    listener: Async<TcpListener>,
    port: Port,
    queue: Queue,
    gate: Rc<Cell<bool>>,
    room: Receiver<()>,
    addresses: Option<Rc<Addresses>>,
) {
    let accepts = |peer: SocketAddr| addresses.as_ref().is_none_or(|a| a.accepts(peer));
    loop {
        while gate.get() {
            // What comes now waits in the backlog: accepted and turned away, its requests would be lost.
            let _ = room.recv().await;
        }
        match listener.accept().await {
            Ok((socket, peer)) if accepts(unmapped(peer)) => {
                tell(&queue, News::Accepted(socket, unmapped(peer), port)).await;
            }
            // Closed, and no downstream; who connects again at once must not keep the others from their turn.
            Ok(refused) => {
                drop(refused);
                future::yield_now().await;
            }
            Err(e) if matches!(e.kind(), io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted) => {}
            Err(e) => {
                // No descriptors: the connection stays in the backlog until the owner has found room.
                tell(&queue, News::Note(format!("accept failed: {e}"))).await;
                tell(&queue, News::Crowded).await;
                let _ = room.recv().await;
            }
        }
    }
}

/// A command as a local reply or a stream.
pub(crate) enum Parsed {
    Local(Vec<u8>),
    Ask(Box<Ask>),
    /// A multi-get: one answer from several streams.
    Asks(Vec<Ask>),
    /// A part of a multi-get.
    More,
    Close(Vec<u8>),
}

pub(crate) fn error(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    resp::put_error(&mut out, text);
    out
}

/// The key as a number: as written where it is hexadecimal, else hashed.
fn key(text: &[u8]) -> Key {
    let hex = std::str::from_utf8(text).ok().filter(|t| t.len() <= 16 && !t.starts_with('+'));
    Key(hex.and_then(|t| u64::from_str_radix(t, 16).ok()).unwrap_or_else(|| discovery::number(text)).max(1))
}

impl Vocabulary {
    pub(crate) fn parse(&self, downstream: DownstreamId, place: u64, words: Vec<Vec<u8>>) -> Parsed {
        let Some(verb) = words.first().map(|w| w.to_ascii_uppercase()) else {
            return Parsed::Local(error("ERR empty command"));
        };
        match (verb.as_slice(), words.len()) {
            (b"CACHE.GET", 4) | (b"CACHE.SET", 5) => match self.ask(downstream, place, words) {
                Ok(ask) => Parsed::Ask(Box::new(ask)),
                Err(what) => Parsed::Local(error(&format!("ERR {what}"))),
            },
            (b"PING", 1) if self.ready.get() => Parsed::Local(b"+PONG\r\n".to_vec()),
            (b"PING", 1) => Parsed::Local(error("LOADING not ready yet")),
            (b"QUIT", 1) => Parsed::Close(b"+OK\r\n".to_vec()),
            (b"CACHE.GET" | b"CACHE.SET" | b"PING" | b"QUIT", _) => {
                Parsed::Local(error("ERR wrong number of arguments"))
            }
            _ => Parsed::Local(error("ERR unknown command")),
        }
    }

    pub(crate) fn ask(
        &self,
        downstream: DownstreamId,
        place: u64,
        words: Vec<Vec<u8>>,
    ) -> Result<Ask, &'static str> {
        let mut words = words.into_iter();
        let mut word = || words.next().unwrap_or_default();
        let (verb, name, id, properties) = (word(), word(), word(), word());
        let value = words.next();
        // They go into the lines of an HTTP request when the origin is asked.
        let printable = |w: &[u8]| w.iter().all(|b| b.is_ascii_graphic());
        if name.is_empty() || id.is_empty() || ![&name, &id, &properties].into_iter().all(|w| printable(w)) {
            return Err("invalid key, id or properties");
        }
        let text = std::str::from_utf8(&properties).unwrap_or_default();
        let pairs: Vec<_> = text.split(',').filter_map(|pair| pair.split_once('=')).collect();
        // A name twice is two requests in one: a node could go by the other than this proxy.
        let twice = |i: usize| pairs[..i].iter().any(|(name, _)| *name == pairs[i].0);
        if pairs.len() != text.split(',').count() || (0..pairs.len()).any(twice) {
            return Err("invalid properties");
        }
        let value_of = |key: &str| pairs.iter().find(|(name, _)| *name == key).map(|(_, value)| *value);
        let class = value_of("c").and_then(|c| self.site.classes.iter().position(|n| n == c));
        let class = class.ok_or("unknown class")?;
        let tenant = match value_of("t") {
            None if self.site.tenants.is_empty() => 0,
            None => return Err("no tenant"),
            Some(t) => self.site.tenants.iter().position(|n| n == t).ok_or("unknown tenant")?,
        };
        let digits = |d: &&str| d.bytes().all(|b| b.is_ascii_digit() || b == b'.');
        let patience = value_of("d").filter(digits).and_then(|d| d.parse::<f64>().ok());
        let patience = patience.filter(|d| (1.0..=LONGEST).contains(d)).ok_or("invalid d")?;
        let hint = value_of("hint").and_then(|h| h.parse::<f64>().ok()).filter(|h| *h > 0.0 && h.is_finite());
        Ok(Ask {
            downstream,
            place,
            class: ClassId(class as u16),
            tenant: TenantId(tenant as u32),
            key: key(&name),
            repeat: value_of("r") == Some("1"),
            patience: (patience * 1000.0) as Micros,
            hint: hint.map(|ms| ms * 1000.0),
            message: Rc::new(Message { verb, key: name, id, properties, value }),
        })
    }
}

enum Woken {
    Order(Option<Order>),
    Read(io::Result<usize>),
    Wrote(io::Result<usize>),
}

/// What the task of a downstream is given: its socket, and the ways to and from the owner.
pub struct Link {
    pub id: DownstreamId,
    pub socket: Async<TcpStream>,
    pub orders: Receiver<Order>,
    pub queue: Queue,
    pub progress: Rc<Progress>,
    pub caller: Caller,
    /// What it has sent so far.
    pub input: Cell<Vec<u8>>,
    /// It was told to finish before it said anything.
    pub ending: bool,
}

struct Downstream {
    link: Link,
    words: Rc<Vocabulary>,
    /// On the port for multi-gets.
    batches: Option<Batches>,
    /// How many of the answers belong to one multi-get; 0 where each stands alone.
    batch: usize,
    input: Vec<u8>,
    output: Vec<u8>,
    written: usize,
    /// Answers in order, from place `first` on; `None` is owed.
    answers: VecDeque<Option<Vec<u8>>>,
    first: u64,
    /// No command is read any more; it closes once all is written.
    ending: bool,
}

/// Serves a downstream until it leaves, sends what is malformed or is told to finish.
pub async fn serve(link: Link, words: Rc<Vocabulary>, batches: Option<Batches>) {
    let _ = link.socket.get_ref().set_nodelay(true);
    let (input, output, answers) = (link.input.take(), Vec::new(), VecDeque::new());
    let mut d = Downstream {
        ending: link.ending,
        link,
        words,
        batches,
        batch: 0,
        input,
        output,
        written: 0,
        answers,
        first: 0,
    };
    d.run().await;
}

impl Downstream {
    async fn run(&mut self) {
        let (orders, progress) = (self.link.orders.clone(), self.link.progress.clone());
        loop {
            self.commands().await;
            while let Ok(order) = orders.try_recv() {
                self.order(order);
            }
            self.flush();
            let unread = self.written < self.output.len();
            if self.ending && !unread && self.answers.is_empty() {
                progress.waits.set(Waits::Close);
                return farewell(&self.link.socket).await;
            }
            let begun = self.batches.as_ref().is_some_and(Batches::unfinished);
            let asking = progress.steps.get() == 0 || !self.input.is_empty() || begun;
            progress.waits.set(match unread {
                true => Waits::Peer,
                _ if !self.answers.is_empty() => Waits::Answer,
                _ if asking => Waits::Command,
                _ => Waits::Nothing,
            });
            // A multi-get fills its downstream alone: what comes behind it waits here, a command's length of it.
            let full =
                self.batches.is_none() && (self.answers.len() >= STREAMS || self.output.len() > UNREAD);
            let reads = !full && self.input.len() < resp::COMMAND;
            let mut writer = &self.link.socket;
            let write = async {
                match unread {
                    true => Woken::Wrote(writer.write(&self.output[self.written..]).await),
                    false => future::pending().await,
                }
            };
            let read = async {
                match reads {
                    true => Woken::Read(read(&self.link.socket, &mut self.input).await),
                    false => future::pending().await,
                }
            };
            let order = async { Woken::Order(orders.recv().await.ok()) };
            match future::or(write, future::or(order, read)).await {
                Woken::Order(Some(order)) => self.order(order),
                Woken::Wrote(Ok(n)) if n > 0 => {
                    progress.step();
                    self.written += n;
                    if self.written == self.output.len() {
                        consume(&mut self.output, self.written);
                        self.written = 0;
                        if let Some(batches) = self.batches.as_mut().filter(|_| self.batch == 0) {
                            batches.written();
                        }
                    }
                }
                // A second reading of the end after `ending` must not spin: who is gone is gone.
                Woken::Read(Ok(n)) if n > 0 => {
                    if self.ending {
                        self.input.clear();
                    }
                }
                _ => return,
            }
        }
    }

    /// Takes the whole commands that have come, as far as there is room for their answers.
    async fn commands(&mut self) {
        let mut at = 0;
        while !self.ending && self.room() && at < self.input.len() {
            let place = self.first + self.answers.len() as u64;
            match resp::command(&self.input[at..]) {
                Ok(None) => break,
                Ok(Some((command, taken))) => {
                    at += taken;
                    let (words, id) = (&self.words, self.link.id);
                    let parsed = match &mut self.batches {
                        Some(batches) => batches.take(words, id, place, command, taken),
                        None => words.parse(id, place, command),
                    };
                    if !matches!(parsed, Parsed::More) {
                        self.link.progress.step();
                    }
                    match parsed {
                        Parsed::More => {}
                        Parsed::Local(answer) => self.answers.push_back(Some(answer)),
                        Parsed::Close(answer) => {
                            self.answers.push_back(Some(answer));
                            self.ending = true;
                        }
                        Parsed::Ask(ask) => {
                            self.answers.push_back(None);
                            tell(&self.link.queue, Input::Stream(*ask)).await;
                        }
                        Parsed::Asks(asks) => {
                            self.batch = asks.len();
                            self.answers.extend(asks.iter().map(|_| None));
                            for ask in asks {
                                tell(&self.link.queue, Input::Stream(ask)).await;
                            }
                        }
                    }
                }
                Err(malformed) => {
                    self.answers.push_back(Some(error(&format!("ERR Protocol error: {}", malformed.0))));
                    self.ending = true;
                }
            }
        }
        consume(&mut self.input, at);
    }

    /// Another command may be taken: a multi-get only once the answer to the one before it is written.
    fn room(&self) -> bool {
        match self.batches {
            Some(_) => self.answers.is_empty() && self.output.is_empty(),
            None => self.answers.len() < STREAMS,
        }
    }

    /// Takes over what may be written: answers in their order, those of a multi-get all at once.
    fn flush(&mut self) {
        let whole = self.answers.iter().take_while(|a| a.is_some()).count();
        if whole < self.batch {
            return;
        }
        self.first += whole as u64;
        let answers = self.answers.drain(..whole).map(Option::unwrap_or_default);
        if std::mem::take(&mut self.batch) > 0 {
            return multiget::put(&mut self.output, answers);
        }
        answers.for_each(|answer| self.output.extend(answer));
    }

    fn order(&mut self, order: Order) {
        match order {
            Order::Finish => self.ending = true,
            Order::Answer(place, answer) => {
                let mut out = Vec::new();
                match answer {
                    Answer::Value(value) => resp::put_bulk(&mut out, &value),
                    Answer::Busy(Some(after)) if after >= 1000 => {
                        resp::put_error(&mut out, &format!("BUSY {}", after / 1000));
                    }
                    Answer::Busy(_) => resp::put_error(&mut out, "BUSY"),
                    Answer::Late if self.batch > 0 => resp::put_error(&mut out, "BUSY"),
                    Answer::Failed | Answer::Late => resp::put_error(&mut out, "ERR failed"),
                    Answer::Taken => resp::put_error(&mut out, "ERR the id of an open request"),
                }
                if let Some(owed) = self.answers.get_mut(place.wrapping_sub(self.first) as usize) {
                    *owed = Some(out);
                }
            }
        }
    }
}

/// Says that no more will come, and reads on until the peer has closed too: closing with bytes unread
/// would reset the connection and could take an answer with it. Who goes on sending all the same is cut off.
pub(crate) async fn farewell(socket: &Async<TcpStream>) {
    let _ = socket.get_ref().shutdown(std::net::Shutdown::Write);
    let mut left = FAREWELL;
    let mut input = Vec::new();
    while let Ok(n @ 1..) = read(socket, &mut input).await {
        input.clear();
        left = left.saturating_sub(n);
        if left == 0 {
            return;
        }
    }
}
