//! The client side of the proxy: reads commands and writes the answers in the order of the commands. The
//! [`Protocol`] of the port defines their form.

mod close;

use super::accept::Socket;
pub use super::activity::{ChangedDownstreams, InputState, InputWait, SharedActivity};
use super::answer_queue::AnswerQueue;
pub use super::answer_queue::MAX_ANSWER;
use super::input_buffer::InputBuffer;
use super::protocol::{resp_error, ParseStep, Parsed, Protocol, WithoutRoom};
use super::turns::{
    TurnQueue, TurnTicket, TurnUsage, BYTES_PER_TURN, COMMANDS_PER_TURN, COMMANDS_WITHOUT_TURN,
};
use super::{read_to_scratch, send_event, with_scratch, write, Caller, EventSender, READ};
pub use crate::admission::WaitingFor;
use crate::admission::{HeldBytes, HeldKind, HeldShare, InputMemory, ReservationBudget, UNRESERVED_INPUT};
use crate::codec::{resp, Malformed};
use crate::core::{Answer, DownstreamId, Input, Room};
use async_channel::Receiver;
use async_io::Timer;
pub(crate) use close::farewell;
use close::wait_without_room;
use futures_lite::future;
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The amount of unread output above which no more commands are taken from a downstream.
const MAX_UNREAD_OUTPUT: usize = 256 * 1024;
/// How long a command waits for room before it is read past and refused.
const ROOM_WAIT: Duration = Duration::from_millis(200);
/// How long a client that has sent more than is read ahead may have a read's worth of bytes unread while none
/// of its commands is taken, before what follows is read past and refused: its close may be waiting behind them, and no attempt may begin more
/// than 0.1 s after it.
const READ_AHEAD_WAIT: Duration = Duration::from_millis(50);
/// A message from the owner to the task of a downstream. The queue is longer than the number of streams a
/// downstream can have open.
#[derive(Debug)]
pub enum TaskMessage {
    Answer(u64, Answer),
    /// Close once no answer is owed and no bytes of the downstream are unread.
    Finish,
    /// As [`TaskMessage::Finish`], also in the middle of a command. What still arrives is answered at once,
    /// and answers are held back until everything that has arrived has its own: otherwise a peer that sends
    /// again for each answer would always have something unread.
    FinishNow,
    /// Its [`SharedActivity`] was changed by the owner.
    Refresh,
}

enum Wakeup {
    Order(Option<TaskMessage>),
    Read(io::Result<usize>),
    Wrote(io::Result<usize>),
    DelayElapsed,
    /// There may be room for the answer to another command.
    Room,
    /// The turn to take more commands has come.
    Turn,
    /// There may be room for more input.
    InputRoom,
    /// There was no room for the input for too long, or it was taken away.
    NoInputRoom,
}

/// Everything the task of a downstream is given: its socket and the channels from and to the owner.
pub struct Link {
    pub id: DownstreamId,
    pub socket: Rc<Socket>,
    pub orders: Receiver<TaskMessage>,
    pub queue: EventSender,
    pub progress: Rc<SharedActivity>,
    pub caller: Caller,
    /// The memory held for it, as the log shows it.
    pub held: HeldShare,
    /// The room for answers that have to wait, which all downstreams share.
    pub answers: Rc<ReservationBudget>,
    /// The room for input, which all downstreams share.
    pub input_memory: Rc<InputMemory>,
    /// The turns of connections that always have more commands.
    pub turns: Rc<TurnQueue>,
    /// Bytes received so far.
    pub input: Cell<Vec<u8>>,
    /// Whether it was told to finish before it sent anything.
    pub finishing: bool,
}

struct Downstream {
    link: Link,
    protocol: Box<dyn Protocol>,
    input: InputBuffer,
    answers: AnswerQueue,
    /// A delayed local reply with its timer; no command is taken in the meantime.
    delayed: Option<(u64, Vec<u8>, Timer)>,
    /// Whether the next commands are taken in a turn of the queue: the last ones reached the limit of a turn,
    /// or were answered here, so that nothing else bounds how fast they come.
    needs_turn: bool,
    turn: Option<TurnTicket>,
    turn_usage: TurnUsage,
    /// Whether commands may be waiting that were not looked at since the last change.
    has_untaken: bool,
    /// Closes once no answer is owed and no bytes are unread.
    finishing: bool,
    /// As `finishing`, even if a part of a command has arrived.
    finish_now: bool,
    /// No command is read any more; closes once everything is written.
    closing: bool,
}

/// Serves a downstream until it closes, sends malformed bytes or is told to finish.
pub async fn serve(link: Link, protocol: Box<dyn Protocol>) {
    let _ = link.socket.get_ref().set_nodelay(true);
    let input = InputBuffer::new(link.input.take(), link.input_memory.clone());
    let answers = AnswerQueue::new(link.answers.clone());
    let mut downstream = Downstream {
        delayed: None,
        needs_turn: false,
        turn: None,
        turn_usage: TurnUsage::default(),
        has_untaken: true,
        finishing: link.finishing,
        finish_now: false,
        closing: false,
        link,
        protocol,
        input,
        answers,
    };
    downstream.protocol.received(downstream.input.len());
    downstream.run().await;
}

impl Downstream {
    async fn run(&mut self) {
        let (orders, progress) = (self.link.orders.clone(), self.link.progress.clone());
        let mut filled_read = false;
        loop {
            while let Ok(order) = orders.try_recv() {
                self.handle_message(order);
            }
            // Flushes first to make room: if the answers before the waiting commands are silent, nothing
            // would wake this task for them later.
            self.answers.flush(&mut *self.protocol);
            // A client that sent much at once may have closed behind it; its close is noticed before its
            // commands are taken.
            let reads = self.readable_bytes() > 0;
            let large = self.input.len() >= UNRESERVED_INPUT || self.input.is_skipping();
            if (large || !reads) && self.link.socket.peer_has_closed() {
                return;
            }
            let full_buffer = reads && self.input.len() >= UNRESERVED_INPUT;
            let has_turn = self.turn.as_ref().is_some_and(TurnTicket::is_due);
            // Where a close may be waiting behind unread bytes, answers are written before more is taken: a peer
            // that has closed resets the connection.
            let writes_first = !reads && large && self.answers.unwritten() > 0;
            match writes_first || full_buffer && self.link.socket.is_readable() {
                true => self.answers.leave_queue(),
                false if has_turn => self.take_commands(COMMANDS_PER_TURN).await,
                false if !self.needs_turn => self.take_commands(COMMANDS_WITHOUT_TURN).await,
                false => {}
            }
            if has_turn {
                self.end_turn();
            }
            if self.needs_turn {
                // Room is of no use before the turn, and waiting for it would never end while there is some.
                self.answers.leave_queue();
            }
            self.answers.flush(&mut *self.protocol);
            if self.answers.is_idle() && self.answers.ticket().is_some() && !self.needs_turn {
                // The answers were silent, so nothing else would wake this task for the command that waits.
                continue;
            }
            let unread = self.answers.unwritten() > 0;
            let idle = self.answers.is_idle();
            let has_untaken = self.has_untaken && (self.input.may_be_whole() || self.input.skipped() > 0);
            // Who sends much also reads in turns.
            let large = self.input.len() >= UNRESERVED_INPUT || self.input.is_skipping();
            let reads_in_turn = large && !has_turn && self.readable_bytes() > 0;
            let waits_for_turn = self.needs_turn && has_untaken || reads_in_turn;
            let quiet = self.finishing && !waits_for_turn && self.link.socket.has_nothing_unread();
            self.closing |= idle && quiet && (self.finish_now || self.input.is_empty());
            if self.closing && idle {
                progress.set_waiting_for(WaitingFor::Close);
                // The peer may take its time to close.
                self.turn = None;
                return farewell(&self.link.socket).await;
            }
            let held = self.held_bytes();
            self.link.held.set(held);
            let more = self.protocol.is_mid_command() || self.input.is_mid_skip();
            // Of large commands not every read is worth a report.
            let coarse = |bytes: usize| bytes / UNRESERVED_INPUT * UNRESERVED_INPUT;
            let (part, missing) = (self.input.len(), coarse(self.input.missing()));
            let part = if part < UNRESERVED_INPUT { part } else { coarse(part) };
            progress.update(|activity| {
                activity.partial_bytes = part.max(more.into());
                activity.missing_bytes = missing;
                // The rest has budgets of its own. Rounded down to KiB, because not every write is worth a
                // report.
                activity.held_bytes = held.of(HeldKind::UnreadOutput) / 1024 * 1024;
                activity.waiting_for = match unread {
                    true => WaitingFor::Peer,
                    _ if !idle => WaitingFor::Answer,
                    _ if activity.steps == 0 || part > 0 || more => WaitingFor::Command,
                    _ => WaitingFor::Nothing,
                };
            });
            progress.set_input(InputState {
                wait: self.input_wait(waits_for_turn),
                held: self.input.len(),
                missing: self.input.missing(),
            });
            if waits_for_turn && self.turn.is_none() {
                self.turn = Some(self.link.turns.join(progress.priority(), self.turn_usage));
            }
            // Yields after the report, so that the owner sees unparsed bytes as a command that is arriving.
            if std::mem::take(&mut filled_read) {
                future::yield_now().await;
            }
            let readable = self.readable_bytes();
            let writes = unread && !(self.finish_now && !quiet && readable > 0);
            let skip_at = self.skip_at();
            let write = async {
                match writes {
                    true => Wakeup::Wrote(write(&self.link.socket, self.answers.unwritten_chunk()).await),
                    false => future::pending().await,
                }
            };
            let read = async {
                match readable {
                    1.. if reads_in_turn => future::pending().await,
                    0 => wait_without_room(&self.link, self.input.waits_for_command(), skip_at).await,
                    limit => Wakeup::Read(read_to_scratch(&self.link.socket, limit).await),
                }
            };
            let order = async { Wakeup::Order(orders.recv().await.ok()) };
            let due = async {
                match &mut self.delayed {
                    Some((.., timer)) => timer.await,
                    None => future::pending().await,
                };
                Wakeup::DelayElapsed
            };
            // Last, because commands that wait for room are taken only once nothing more can be read.
            let room = async {
                match self.answers.ticket() {
                    Some(ticket) => ticket.room().await,
                    None => future::pending().await,
                };
                Wakeup::Room
            };
            let turn = async {
                match &self.turn {
                    Some(turn) => turn.due().await,
                    None => future::pending().await,
                };
                Wakeup::Turn
            };
            let input_room = async {
                match self.input.ticket() {
                    Some(ticket) => ticket.room().await,
                    None => future::pending().await,
                };
                Wakeup::InputRoom
            };
            let revoked = async {
                match self.input.arrival() {
                    Some(arrival) => arrival.revoked().await,
                    None => future::pending().await,
                };
                Wakeup::NoInputRoom
            };
            let next = future::or(read, future::or(turn, room));
            let next = future::or(next, future::or(input_room, revoked));
            let wakeup = future::or(write, future::or(order, future::or(due, next))).await;
            self.has_untaken = true;
            match wakeup {
                Wakeup::Order(Some(order)) => self.handle_message(order),
                Wakeup::Room | Wakeup::Turn | Wakeup::InputRoom => {}
                Wakeup::NoInputRoom => self.refuse_input(),
                Wakeup::DelayElapsed => {
                    if let Some((place, answer, _)) = self.delayed.take() {
                        self.answers.complete(place, answer);
                    }
                }
                Wakeup::Wrote(Ok(n)) if n > 0 => {
                    progress.step();
                    self.answers.wrote(n);
                    if self.answers.is_flushed() {
                        self.protocol.flushed();
                    }
                }
                // Any other result ends the task. In particular a second end of stream while closing must not
                // spin.
                Wakeup::Read(Ok(n)) if n > 0 => {
                    if !self.closing {
                        self.received(n);
                    }
                    filled_read = n == READ;
                }
                _ => return,
            }
        }
    }

    /// Gives the turn to the next connection.
    fn end_turn(&mut self) {
        if let Some(turn) = self.turn.take() {
            self.turn_usage = turn.usage();
        }
    }

    /// What is held for this downstream.
    fn held_bytes(&self) -> HeldBytes {
        self.answers.held().with(HeldKind::Input, self.input.allocated())
    }

    /// What the input waits for.
    fn input_wait(&self, waits_for_turn: bool) -> InputWait {
        // A command may wait for room and still have some for its next bytes.
        let blocked = self.input.waits_for_command() && self.input.blocked_since().is_some();
        if blocked || self.answers.ticket().is_some() {
            return InputWait::Room;
        }
        if waits_for_turn {
            return InputWait::Turn;
        }
        match self.input.may_be_whole() || self.input.skipped() > 0 {
            true => InputWait::Answer,
            false => InputWait::Bytes,
        }
    }

    /// How many bytes may be read now, having reserved room for them.
    fn readable_bytes(&mut self) -> usize {
        if self.link.progress.is_paused() {
            self.input.leave_queue();
            return 0;
        }
        if self.closing {
            return READ;
        }
        // Those who hold a command's room up make way for clients that are known to make requests.
        self.input.reserve(Instant::now(), self.link.progress.priority())
    }

    /// When input without room is to be refused; `None` if it has room, or it waits behind commands and the
    /// protocol cannot read past it.
    fn skip_at(&self) -> Option<Instant> {
        let since = self.input.blocked_since()?;
        match self.input.waits_for_command() {
            true if self.finish_now => Some(since),
            true => Some(since + ROOM_WAIT),
            false => Some(since + READ_AHEAD_WAIT).filter(|_| self.protocol.skips()),
        }
    }

    /// The last read has brought `n` bytes, which are in the scratch buffer.
    fn received(&mut self, n: usize) {
        match with_scratch(n, |bytes| self.input.received(bytes)) {
            Ok(refused) => {
                for _ in 0..refused {
                    self.refuse_skipped();
                }
                self.protocol.received(n);
            }
            Err(malformed) => self.end_malformed(malformed),
        }
    }

    /// Refuses what has no room.
    fn refuse_input(&mut self) {
        if !self.input.is_partial() {
            return self.skip_input();
        }
        let (answer, closes) = match self.protocol.refuse_without_room(self.input.bytes()) {
            WithoutRoom::ReadPast => return self.skip_input(),
            WithoutRoom::Refused(answer) => (answer, false),
            WithoutRoom::Closed(answer) => (answer, true),
        };
        self.input.clear();
        self.count_refused();
        self.answers.push_ready(answer);
        self.closing |= closes;
        self.needs_turn = true;
    }

    /// Reads past what has no room.
    fn skip_input(&mut self) {
        let whole = match self.input.may_be_whole() {
            true => whole_commands(self.input.bytes()),
            false => 0,
        };
        if let Err(malformed) = self.input.skip(whole) {
            self.end_malformed(malformed);
        }
    }

    /// Refuses a command that was read past.
    fn refuse_skipped(&mut self) {
        self.count_refused();
        self.answers.push_ready(self.protocol.refusal());
        self.needs_turn = true;
    }

    fn count_refused(&self) {
        self.link.input_memory.count_refused(1);
        self.link.progress.update(|activity| {
            activity.steps += 1;
            activity.local_replies += 1;
        });
    }

    /// Answers bytes that are no command, and reads nothing more.
    fn end_malformed(&mut self, malformed: Malformed) {
        self.link.progress.update(|activity| {
            (activity.local_replies, activity.malformed) = (activity.local_replies + 1, true)
        });
        self.answers.push_ready(resp_error(&format!("ERR Protocol error: {}", malformed.0)));
        self.closing = true;
        self.input.clear();
    }

    /// Takes the whole commands that have arrived, as far as there is room for their answers, and `limit` of
    /// them at the most.
    async fn take_commands(&mut self, limit: usize) {
        let (mut at, mut taken_commands) = (0, 0);
        (self.needs_turn, self.has_untaken) = (false, false);
        if self.closing || !self.input.may_be_whole() {
            self.answers.leave_queue();
        }
        while self.input.may_be_whole() && at < self.input.len() && !self.closing && self.has_room() {
            if taken_commands >= limit || at >= BYTES_PER_TURN {
                (self.needs_turn, self.has_untaken) = (true, true);
                break;
            }
            taken_commands += 1;
            let place = self.answers.next_place();
            let step = self.protocol.parse(self.link.id, place, &self.input.bytes()[at..]);
            let (taken, mut parsed) = match step {
                ParseStep::Taken(taken, parsed) => (taken, parsed),
                ParseStep::Incomplete(least) => {
                    self.answers.leave_queue();
                    self.input.consume(at);
                    self.input.set_partial(least);
                    return;
                }
            };
            at += taken;
            if let (Some(room), Parsed::Stream(ask)) = (self.input.split_room(taken), &mut parsed) {
                ask.keep_room(Room::new(room));
            }
            self.report_command(&parsed);
            self.start_command(place, taken, parsed).await;
        }
        match self.closing {
            true => self.input.clear(),
            false => self.input.consume(at),
        }
        self.refuse_all_skipped();
    }

    /// Reports a command, before the owner hears of its streams: from here on it is in progress.
    fn report_command(&self, parsed: &Parsed) {
        self.link.progress.update(|activity| {
            activity.steps += u64::from(!matches!(parsed, Parsed::Part | Parsed::Malformed(_)));
            match parsed {
                Parsed::Stream(stream) => activity.add_stream(stream),
                Parsed::Streams(streams) => {
                    streams.first().into_iter().for_each(|stream| activity.add_stream(stream));
                }
                Parsed::Local(answer) | Parsed::Delayed(answer, _) | Parsed::Close(answer) => {
                    activity.local_replies += 1;
                    activity.error_replies += u64::from(answer.starts_with(b"-ERR"));
                }
                Parsed::Malformed(_) => {
                    (activity.local_replies, activity.malformed) = (activity.local_replies + 1, true)
                }
                Parsed::Part => {}
            }
        });
    }

    /// Answers a command of `taken` bytes, or starts its streams.
    async fn start_command(&mut self, place: u64, taken: usize, parsed: Parsed) {
        match parsed {
            Parsed::Part => {}
            Parsed::Local(answer) => {
                self.answers.push_ready(answer);
                self.needs_turn = true;
            }
            Parsed::Delayed(answer, time) => {
                self.answers.push_pending(taken);
                self.delayed = Some((place, answer, Timer::after(time)));
            }
            Parsed::Close(answer) | Parsed::Malformed(answer) => {
                self.answers.push_ready(answer);
                self.closing = true;
            }
            Parsed::Stream(stream) => {
                self.answers.push_pending(taken);
                send_event(&self.link.queue, Input::Stream(*stream)).await;
            }
            Parsed::Streams(streams) => {
                self.answers.push_batch(taken, streams.len());
                for stream in streams {
                    send_event(&self.link.queue, Input::Stream(stream)).await;
                }
            }
        }
    }

    /// Refuses the commands that were read past behind those that were held, once all of these are taken.
    fn refuse_all_skipped(&mut self) {
        for _ in 0..COMMANDS_PER_TURN {
            if !self.input.bytes().is_empty() || self.input.skipped() == 0 || !self.has_room() {
                return;
            }
            self.refuse_skipped();
            self.input.refused_one();
            self.has_untaken = true;
        }
    }

    /// Whether another command may be taken.
    fn has_room(&mut self) -> bool {
        let may_take = match self.protocol.is_exclusive() {
            true => self.answers.is_idle(),
            // Small commands can have long answers: a client that doesn't read them may not send more
            // commands.
            false => {
                self.answers.len() < self.protocol.max_streams()
                    && self.answers.unwritten() <= MAX_UNREAD_OUTPUT
                    && self.delayed.is_none()
            }
        };
        if !may_take {
            self.answers.leave_queue();
            return false;
        }
        self.answers.has_room()
    }

    fn handle_message(&mut self, order: TaskMessage) {
        match order {
            TaskMessage::Finish => self.finishing = true,
            TaskMessage::FinishNow => (self.finishing, self.finish_now) = (true, true),
            TaskMessage::Refresh => self.link.progress.refreshed(),
            TaskMessage::Answer(place, answer) => {
                let answer = self.protocol.encode_answer(place, answer);
                self.answers.complete(place, answer);
            }
        }
    }
}

/// The length of the whole commands at the beginning of some bytes.
fn whole_commands(bytes: &[u8]) -> usize {
    let mut at = 0;
    while let Ok(resp::Extent::Whole(length)) = resp::extent(&bytes[at..]) {
        at += length;
    }
    at
}
