//! The clients' side: commands in, answers out in the order of the commands. What is spoken is the port's
//! [`Protocol`].

use super::accept::Socket;
use super::protocol::{Parsed, Protocol};
use super::{
    consume, peek, read, read_without_yield, send_event, write, Caller, EventSender, NetEvent, READ,
};
use crate::admission::Activity;
pub use crate::admission::WaitingFor;
use crate::core::{Answer, DownstreamId, Input};
use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// Bytes that a downstream may leave unread before no more commands are taken.
const UNREAD: usize = 256 * 1024;
/// Bytes that are read ahead of the commands that may be taken, a command's length at the least: behind them may be the end
/// of who has left. The budget of bytes bounds what all hold together.
const AHEAD: usize = 256 * 1024;
/// How often a peer that is not read, with bytes unread, is looked at for its end: no attempt may begin over 0.1 s after it.
const LOOK_AGAIN: Duration = Duration::from_millis(50);
/// Bytes that a downstream may still send once it is told that no more is read.
const FAREWELL: usize = 256 * 1024;
/// Bytes held for a downstream from which on the owner hears of each change at once.
const LARGE: usize = 16 * 1024;

/// What the owner tells a downstream. The queue is longer than a downstream can have streams open.
#[derive(Debug)]
pub enum TaskMessage {
    Answer(u64, Answer),
    /// Close as soon as nothing is owed and nothing that it has sent waits to be read.
    Finish,
    /// As [`TaskMessage::Finish`], also in the middle of a command. What still comes is answered at once, and answers
    /// wait till all that has come has its own: who sends again for each answer would never have nothing unread.
    FinishNow,
    /// Something has changed in its [`SharedActivity`].
    Refresh,
}

/// Downstreams that have changed since the owner looked last, each of them once.
#[derive(Debug)]
pub struct ChangedDownstreams {
    ids: RefCell<Vec<DownstreamId>>,
    /// The owner wants to hear of each change at once.
    eager: Cell<bool>,
    /// It has been woken and has not looked yet.
    woken: Cell<bool>,
    queue: EventSender,
}

impl ChangedDownstreams {
    pub fn new(queue: EventSender) -> Self {
        ChangedDownstreams {
            ids: RefCell::default(),
            eager: Cell::new(false),
            woken: Cell::new(false),
            queue,
        }
    }

    /// Takes those that have changed. While `eager` the owner is woken for the next one.
    pub fn take(&self, eager: bool) -> Vec<DownstreamId> {
        self.eager.set(eager);
        self.woken.set(false);
        self.ids.take()
    }

    /// Otherwise the owner looks when it has something to do, unless much is held; with its queue full it
    /// comes anyway.
    fn wake(&self, bytes: usize) {
        if (self.eager.get() || bytes >= LARGE) && !self.woken.replace(true) {
            let _ = self.queue.try_send(NetEvent::DownstreamsChanged);
        }
    }
}

/// What a downstream shows, written by its task and read by the owner.
#[derive(Debug)]
pub struct SharedActivity {
    id: DownstreamId,
    shown: Cell<Activity>,
    /// It is among those that have moved.
    told: Cell<bool>,
    moved: Rc<ChangedDownstreams>,
    /// It is not to be read for now.
    paused: Cell<bool>,
    /// An [`TaskMessage::Refresh`] is on its way to it.
    looks: Cell<bool>,
}

impl SharedActivity {
    /// `waits` is what it has to say first.
    pub fn new(id: DownstreamId, waits: WaitingFor, moved: Rc<ChangedDownstreams>) -> Self {
        let shown = Cell::new(Activity { waiting_for: waits, ..Activity::default() });
        SharedActivity {
            id,
            shown,
            moved,
            told: Cell::default(),
            paused: Cell::default(),
            looks: Cell::default(),
        }
    }

    /// What it shows, for the owner.
    pub fn snapshot(&self) -> Activity {
        self.told.set(false);
        self.shown.get()
    }

    pub fn waiting_for(&self) -> WaitingFor {
        self.shown.get().waiting_for
    }

    pub(crate) fn set_waiting_for(&self, waits: WaitingFor) {
        self.update(|shown| shown.waiting_for = waits);
    }

    pub(crate) fn update(&self, change: impl FnOnce(&mut Activity)) {
        let mut shown = self.shown.get();
        change(&mut shown);
        if self.shown.replace(shown) != shown {
            if !self.told.replace(true) {
                self.moved.ids.borrow_mut().push(self.id);
            }
            self.moved.wake(shown.held_bytes);
        }
    }

    fn step(&self) {
        self.update(|shown| shown.steps += 1);
    }

    /// Whether it may be read. If this says so, an [`TaskMessage::Refresh`] has to follow: there is one at a time.
    pub fn pause(&self, paused: bool) -> bool {
        self.paused.set(paused);
        !self.looks.replace(true)
    }

    /// It is not read for now.
    pub fn is_paused(&self) -> bool {
        self.paused.get()
    }

    /// An [`TaskMessage::Refresh`] has come.
    pub(crate) fn refreshed(&self) {
        self.looks.set(false);
    }
}

enum Woken {
    Order(Option<TaskMessage>),
    Read(io::Result<usize>),
    Wrote(io::Result<usize>),
    Due,
}

/// What the task of a downstream is given: its socket, and the ways to and from the owner.
pub struct Link {
    pub id: DownstreamId,
    pub socket: Rc<Socket>,
    pub orders: Receiver<TaskMessage>,
    pub queue: EventSender,
    pub progress: Rc<SharedActivity>,
    pub caller: Caller,
    /// What it has sent so far.
    pub input: Cell<Vec<u8>>,
    /// It was told to finish before it said anything.
    pub finishing: bool,
}

/// An answer in its place.
enum Place {
    /// Owed, to a command of so many bytes.
    Owed(usize),
    Whole(Vec<u8>),
}

impl Place {
    fn bytes(&self) -> usize {
        match self {
            Place::Owed(n) => *n,
            Place::Whole(answer) => answer.len(),
        }
    }
}

struct Downstream {
    link: Link,
    protocol: Box<dyn Protocol>,
    /// How many of the answers belong to one command; 0 where each stands alone.
    batch: usize,
    input: Vec<u8>,
    output: Vec<u8>,
    written: usize,
    /// Answers in order, from place `first` on.
    answers: VecDeque<Place>,
    first: u64,
    /// A local reply that is held back, and till when; nothing is taken meanwhile.
    held: Option<(u64, Vec<u8>, Timer)>,
    /// It closes once nothing is owed and nothing waits to be read.
    finishing: bool,
    /// The same, whatever part of a command has come.
    leaving: bool,
    /// No command is read any more; it closes once all is written.
    ending: bool,
}

/// Serves a downstream until it leaves, sends what is malformed or is told to finish.
pub async fn serve(link: Link, protocol: Box<dyn Protocol>) {
    let _ = link.socket.get_ref().set_nodelay(true);
    let (input, output, answers) = (link.input.take(), Vec::new(), VecDeque::new());
    let mut d = Downstream {
        held: None,
        finishing: link.finishing,
        leaving: false,
        ending: false,
        link,
        protocol,
        batch: 0,
        input,
        output,
        written: 0,
        answers,
        first: 0,
    };
    d.protocol.received(d.input.len());
    d.run().await;
}

impl Downstream {
    async fn run(&mut self) {
        let (orders, progress) = (self.link.orders.clone(), self.link.progress.clone());
        let ahead = self.protocol.max_command_bytes().max(AHEAD);
        let mut greedy = false;
        loop {
            while let Ok(order) = orders.try_recv() {
                self.order(order);
            }
            // First what makes room: nothing wakes it later for commands that wait where the answers before
            // them are silent.
            self.flush();
            // Behind much that came at once there may be the end of who has sent it and left: that is seen first.
            let reads = self.input.len() < ahead && !progress.paused.get();
            if !reads && self.link.socket.peer_has_closed() {
                return;
            }
            let much = reads && self.input.len() >= READ;
            if !(much && self.link.socket.is_readable()) {
                self.commands().await;
            }
            self.flush();
            let unread = self.written < self.output.len();
            let idle = !unread && self.answers.is_empty();
            let quiet = self.finishing && self.link.socket.has_nothing_unread();
            self.ending |= idle && quiet && (self.leaving || self.input.is_empty());
            if self.ending && idle {
                progress.set_waiting_for(WaitingFor::Close);
                return farewell(&self.link.socket).await;
            }
            let held = self.output.len() - self.written + self.input.len();
            let held = held + self.answers.iter().map(Place::bytes).sum::<usize>();
            let (part, more) = (self.input.len(), self.protocol.is_mid_command());
            progress.update(|shown| {
                shown.partial_bytes = part.max(more.into());
                // Coarse: not every read is worth telling.
                shown.held_bytes = held / 1024 * 1024;
                shown.waiting_for = match unread {
                    true => WaitingFor::Peer,
                    _ if !idle => WaitingFor::Answer,
                    _ if shown.steps == 0 || part > 0 || more => WaitingFor::Command,
                    _ => WaitingFor::Nothing,
                };
            });
            // Shown first: what was read and is no whole command yet is one on its way.
            if std::mem::take(&mut greedy) {
                future::yield_now().await;
            }
            let reads = self.input.len() < ahead && !progress.paused.get();
            let writes = unread && !(self.leaving && !quiet && reads);
            let write = async {
                match writes {
                    true => Woken::Wrote(write(&self.link.socket, &self.output[self.written..]).await),
                    false => future::pending().await,
                }
            };
            let read = async {
                match reads {
                    true => Woken::Read(read_without_yield(&self.link.socket, &mut self.input).await),
                    false => Woken::Read(gone(&self.link.socket).await),
                }
            };
            let order = async { Woken::Order(orders.recv().await.ok()) };
            let due = async {
                match &mut self.held {
                    Some((.., timer)) => timer.await,
                    None => future::pending().await,
                };
                Woken::Due
            };
            match future::or(write, future::or(order, future::or(due, read))).await {
                Woken::Order(Some(order)) => self.order(order),
                Woken::Due => {
                    if let Some((place, answer, _)) = self.held.take() {
                        self.settle(place, answer);
                    }
                }
                Woken::Wrote(Ok(n)) if n > 0 => {
                    progress.step();
                    self.written += n;
                    if self.written == self.output.len() {
                        consume(&mut self.output, self.written);
                        self.written = 0;
                        if self.batch == 0 {
                            self.protocol.flushed();
                        }
                    }
                }
                // A second reading of the end after `ending` must not spin: who is gone is gone.
                Woken::Read(Ok(n)) if n > 0 => {
                    match self.ending {
                        true => self.input.clear(),
                        false => self.protocol.received(n),
                    }
                    greedy = n == READ;
                }
                _ => return,
            }
        }
    }

    /// Takes the whole commands that have come, as far as there is room for their answers.
    async fn commands(&mut self) {
        let mut at = 0;
        while !self.ending && self.room() {
            let place = self.first + self.answers.len() as u64;
            let rest = self.input.get(at..).filter(|rest| !rest.is_empty());
            let Some((taken, parsed)) = rest.and_then(|b| self.protocol.parse(self.link.id, place, b)) else {
                break;
            };
            at += taken;
            // Shown before the owner hears of it: from here on it has a command under way.
            self.link.progress.update(|shown| {
                shown.steps += u64::from(!matches!(parsed, Parsed::Incomplete | Parsed::Malformed(_)));
                match &parsed {
                    Parsed::Stream(ask) => shown.add_stream(ask),
                    Parsed::Streams(asks) => asks.first().into_iter().for_each(|a| shown.add_stream(a)),
                    Parsed::Local(_) | Parsed::Delayed(..) | Parsed::Close(_) => shown.local_replies += 1,
                    Parsed::Malformed(_) => {
                        (shown.local_replies, shown.malformed) = (shown.local_replies + 1, true)
                    }
                    Parsed::Incomplete => {}
                }
            });
            match parsed {
                Parsed::Incomplete => {}
                Parsed::Local(answer) => self.answers.push_back(Place::Whole(answer)),
                Parsed::Delayed(answer, time) => {
                    self.answers.push_back(Place::Owed(taken));
                    self.held = Some((place, answer, Timer::after(time)));
                }
                Parsed::Close(answer) | Parsed::Malformed(answer) => {
                    self.answers.push_back(Place::Whole(answer));
                    self.ending = true;
                }
                Parsed::Stream(ask) => {
                    self.answers.push_back(Place::Owed(taken));
                    send_event(&self.link.queue, Input::Stream(*ask)).await;
                }
                Parsed::Streams(asks) => {
                    self.batch = asks.len();
                    self.answers.extend(asks.iter().map(|_| Place::Owed(taken)));
                    for ask in asks {
                        send_event(&self.link.queue, Input::Stream(ask)).await;
                    }
                }
            }
        }
        consume(&mut self.input, at);
    }

    /// Another command may be taken.
    fn room(&self) -> bool {
        match self.protocol.is_exclusive() {
            true => self.answers.is_empty() && self.output.is_empty(),
            // Small commands can have long answers: who does not read them may not ask for more.
            false => {
                let room = self.answers.len() < self.protocol.max_streams() && self.output.len() <= UNREAD;
                room && self.held.is_none()
            }
        }
    }

    /// Takes over what may be written: answers in their order, those of one command all at once.
    fn flush(&mut self) {
        let whole = self.answers.iter().take_while(|a| matches!(a, Place::Whole(_))).count();
        if whole < self.batch {
            return;
        }
        self.first += whole as u64;
        self.protocol.answers_taken(whole);
        let answers = self.answers.drain(..whole).map(|place| match place {
            Place::Whole(answer) => answer,
            Place::Owed(_) => Vec::new(),
        });
        if std::mem::take(&mut self.batch) > 0 {
            return self.protocol.combine(&mut self.output, answers.collect());
        }
        answers.for_each(|answer| self.output.extend(answer));
    }

    fn order(&mut self, order: TaskMessage) {
        match order {
            TaskMessage::Finish => self.finishing = true,
            TaskMessage::FinishNow => (self.finishing, self.leaving) = (true, true),
            TaskMessage::Refresh => self.link.progress.refreshed(),
            TaskMessage::Answer(place, answer) => {
                let answer = self.protocol.encode_answer(place, answer);
                self.settle(place, answer);
            }
        }
    }

    /// An answer that was owed is here.
    fn settle(&mut self, place: u64, answer: Vec<u8>) {
        if let Some(owed) = self.answers.get_mut(place.wrapping_sub(self.first) as usize) {
            *owed = Place::Whole(answer);
        }
    }
}

/// Waits for the end of a peer that is not read for now. Nothing wakes for an end behind unread bytes, so that one is looked
/// for again and again.
async fn gone(socket: &Socket) -> io::Result<usize> {
    while let Ok(1..) = peek(socket).await {
        if socket.peer_has_closed() {
            break;
        }
        Timer::after(LOOK_AGAIN).await;
    }
    Ok(0)
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
