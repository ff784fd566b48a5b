//! A connection that a stand-in has accepted: a task that owns the descriptor, reads commands and writes
//! answers.
//!
//! Dropping the task closes the descriptor; nothing else does. While a link is paused (the network between
//! its ends is cut) it neither reads nor writes, and notices nothing.

use super::wire::{Command, Dialect};
use super::{LinkId, Queue, SocketEvent};
use crate::loopback::clock::Clock;
use async_channel::Receiver;
use async_executor::{LocalExecutor, Task};
use async_io::Async;
use futures_lite::future;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// Unanswered commands after which a link stops reading.
const MAX_OUTSTANDING: usize = 100;
/// Capacity of the order queue of a link.
const ORDER_QUEUE_LEN: usize = 4 * MAX_OUTSTANDING;
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Orders from the owner to a link.
#[derive(Debug)]
enum Order {
    /// Bytes to write; tells whether they answer a command.
    Write(Vec<u8>, bool),
    /// Close once everything is written.
    Finish,
    Pause(bool),
}

/// The owner's handle on a connection. Dropping it closes the connection without a reset; unwritten bytes are
/// lost.
#[derive(Debug)]
pub struct Link {
    orders: async_channel::Sender<Order>,
    socket: Rc<Async<TcpStream>>,
    _task: Task<()>,
}

impl Link {
    pub fn new(
        id: LinkId,
        socket: Async<TcpStream>,
        dialect: Dialect,
        executor: &LocalExecutor<'_>,
        clock: Clock,
        queue: Queue,
    ) -> Self {
        let _ = socket.get_ref().set_nodelay(true);
        let (orders, received) = async_channel::bounded(ORDER_QUEUE_LEN);
        let socket = Rc::new(socket);
        let task_state = ConnectionTask {
            id,
            socket: socket.clone(),
            dialect,
            clock,
            queue: queue.clone(),
            input: Vec::new(),
            first_byte_at: None,
            output: Vec::new(),
            written: 0,
            outstanding: 0,
            paused: false,
            ignores_input: false,
            closing: false,
        };
        let task = executor.spawn(async move {
            task_state.run(received).await;
            let _ = queue.send(SocketEvent::Closed { link: id }).await;
        });
        Link { orders, socket, _task: task }
    }

    fn send_order(&self, order: Order) {
        // If the queue is full, the peer does not read its answers, and the link will end by itself.
        let _ = self.orders.try_send(order);
    }

    /// Answers the first unanswered command.
    pub fn answer(&self, bytes: Vec<u8>) {
        self.send_order(Order::Write(bytes, true));
    }

    /// Writes bytes that answer no command.
    pub fn write(&self, bytes: Vec<u8>) {
        self.send_order(Order::Write(bytes, false));
    }

    /// Closes the connection once all earlier orders are written.
    pub fn finish(&self) {
        self.send_order(Order::Finish);
    }

    /// Pauses or resumes reading and writing.
    pub fn set_paused(&self, paused: bool) {
        self.send_order(Order::Pause(paused));
    }

    /// Whether input is waiting unread, as happens while the link is paused.
    pub fn has_unread_input(&self) -> bool {
        self.socket.get_ref().peek(&mut [0]).is_ok_and(|n| n > 0)
    }

    /// Resets the connection, as the kernel does when a process dies.
    pub fn reset(self) {
        let _ = socket2::SockRef::from(&*self.socket).set_linger(Some(Duration::ZERO));
    }
}

struct ConnectionTask {
    id: LinkId,
    socket: Rc<Async<TcpStream>>,
    dialect: Dialect,
    clock: Clock,
    queue: Queue,
    input: Vec<u8>,
    /// When the first byte of `input` was read.
    first_byte_at: Option<i64>,
    output: Vec<u8>,
    written: usize,
    outstanding: usize,
    /// Neither reads nor writes.
    paused: bool,
    /// Reads no more because the input was malformed.
    ignores_input: bool,
    closing: bool,
}

enum Wakeup {
    Order(Option<Order>),
    Read(io::Result<usize>),
    Wrote(io::Result<usize>),
}

impl ConnectionTask {
    /// Runs until the other side ends the connection, or the owner orders it to finish.
    async fn run(mut self, orders: Receiver<Order>) {
        loop {
            if self.closing && self.output.is_empty() {
                let _ = self.socket.get_ref().shutdown(std::net::Shutdown::Write);
                return;
            }
            match self.wait(&orders).await {
                Wakeup::Order(None) => return,
                Wakeup::Order(Some(Order::Write(bytes, answers))) => {
                    self.output.extend_from_slice(&bytes);
                    self.outstanding = self.outstanding.saturating_sub(usize::from(answers));
                    // The input may hold a complete command that waited for an earlier answer.
                    if !self.report_commands().await {
                        return;
                    }
                }
                Wakeup::Order(Some(Order::Finish)) => self.closing = true,
                Wakeup::Order(Some(Order::Pause(paused))) => self.paused = paused,
                Wakeup::Read(Ok(0) | Err(_)) | Wakeup::Wrote(Err(_)) => return,
                Wakeup::Read(Ok(_)) => {
                    if !self.report_commands().await {
                        return;
                    }
                }
                Wakeup::Wrote(Ok(n)) => {
                    self.written += n;
                    if self.written == self.output.len() {
                        self.output.clear();
                        self.written = 0;
                    }
                }
            }
        }
    }

    /// Waits for the next event; orders come first, then writes, then reads.
    async fn wait(&mut self, orders: &Receiver<Order>) -> Wakeup {
        let received = async { Wakeup::Order(orders.recv().await.ok()) };
        if self.paused {
            return received.await;
        }
        let (socket, output) = (&self.socket, &self.output[self.written..]);
        let write = async {
            if output.is_empty() {
                future::pending().await
            }
            Wakeup::Wrote(socket.write_with(|mut s| s.write(output)).await)
        };
        let (input, first_byte_at, clock) = (&mut self.input, &mut self.first_byte_at, &self.clock);
        let may_read = self.outstanding < MAX_OUTSTANDING && !self.closing && !self.ignores_input;
        let read = async {
            if !may_read {
                future::pending().await
            }
            let read = socket.read_with(|mut s| {
                let mut bytes = [0; READ_BUFFER_BYTES];
                let n = s.read(&mut bytes)?;
                first_byte_at.get_or_insert_with(|| clock.now());
                input.extend_from_slice(&bytes[..n]);
                Ok(n)
            });
            Wakeup::Read(read.await)
        };
        future::or(received, future::or(write, read)).await
    }

    /// Reports each complete command to the owner; `false` if the owner is gone.
    async fn report_commands(&mut self) -> bool {
        while self.outstanding < MAX_OUTSTANDING && !self.input.is_empty() {
            let Some((command, taken)) = self.dialect.command(&self.input) else { break };
            let at = self.clock.now();
            let first_byte_at = self.first_byte_at.unwrap_or(at);
            self.input.drain(..taken);
            self.first_byte_at = (!self.input.is_empty()).then_some(at);
            self.outstanding += 1;
            self.ignores_input |= matches!(command, Command::Malformed(_));
            if self
                .queue
                .send(SocketEvent::CommandRead { link: self.id, command, first_byte_at, at })
                .await
                .is_err()
            {
                return false;
            }
        }
        true
    }
}
