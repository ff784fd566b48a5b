//! One try: sent when it is due, answered or given up.

use super::pool::Pool;
use super::{How, Said, Send};
use crate::loopback::clock::Clock;
use crate::loopback::socket::wire;
use async_channel::Sender;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use martenweir::codec::resp::{self, Reply};
use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpStream};
use world::facts::Final;
use world::Micros;

/// A connection that was kept and ends this soon after a command, before a byte of an answer: the proxy closed it
/// idle, and the command has crossed that. By the protocol it is sent once more on a new one.
const CROSSED: Micros = 20_000;
/// The longest answer: a value with all around it.
const ANSWER: usize = resp::MAX_VALUE + 4096;

#[derive(Debug)]
pub(super) struct Caller {
    proxies: Vec<SocketAddr>,
    pools: Vec<RefCell<Pool>>,
    clock: Clock,
    said: Sender<Said>,
}

/// Why there is no answer on a connection.
enum Broken {
    /// Before the last byte of the command was written.
    Unsent,
    /// After that; whether a byte of an answer had come.
    Unanswered { begun: bool },
}

impl Caller {
    pub fn new(proxies: Vec<SocketAddr>, clock: Clock, said: Sender<Said>) -> Self {
        let pools = proxies.iter().map(|_| RefCell::default()).collect();
        Caller { proxies, pools, clock, said }
    }

    pub async fn carry(&self, send: Send) {
        Timer::at(self.clock.instant(send.due)).await;
        let tries = async {
            let how = self.attempt(&send).await;
            (self.clock.now(), how)
        };
        let closes = async {
            Timer::at(self.clock.instant(send.closes)).await;
            (self.clock.now(), How::Left)
        };
        // The connection is dropped with its try.
        let (at, how) = future::or(tries, closes).await;
        let _ = self.said.send(Said::Ended { of: send.of, at, how }).await;
    }

    async fn attempt(&self, send: &Send) -> How {
        let place = send.proxy.0 as usize;
        let (Some(pool), Some(address)) = (self.pools.get(place), self.proxies.get(place)) else {
            return How::Unreached;
        };
        let mut crossed = false;
        loop {
            let kept = if crossed { None } else { pool.borrow_mut().take() };
            let fresh = kept.is_none();
            let socket = match kept {
                Some(socket) => socket,
                None => match Async::<TcpStream>::connect(*address).await {
                    Ok(socket) => socket,
                    Err(e) => {
                        if !is_the_other_side(e.kind()) {
                            let _ = self.said.send(Said::Short(e.kind())).await;
                        }
                        return How::Unreached;
                    }
                },
            };
            let _ = socket.get_ref().set_nodelay(true);
            let sent = self.clock.now();
            // The second time it is the proxy that has made it late.
            let due = if crossed { sent } else { send.due };
            match self.exchange(&socket, send, due).await {
                Ok(reply) => {
                    let keep = !matches!(reply, None | Some(Reply::Simple(_)));
                    let how = reply.map_or(How::Answered(Final::Failed, None), |r| read(r, &send.key));
                    if keep {
                        pool.borrow_mut().give(socket);
                    }
                    return how;
                }
                // Found closed before it was written: it never left on this one.
                Err(Broken::Unsent) if !fresh => {}
                Err(Broken::Unsent) => return How::Unreached,
                Err(Broken::Unanswered { begun: false }) if !fresh && self.clock.now() - sent <= CROSSED => {
                    crossed = true;
                    let _ = self.said.send(Said::Crossed { of: send.of, at: self.clock.now() }).await;
                }
                Err(Broken::Unanswered { .. }) => return How::Dropped,
            }
        }
    }

    /// Writes the command and reads the answer; `None` for one that makes no sense.
    async fn exchange(
        &self,
        socket: &Async<TcpStream>,
        send: &Send,
        due: Micros,
    ) -> Result<Option<Reply>, Broken> {
        let mut stream = socket;
        stream.write_all(&send.command).await.map_err(|_| Broken::Unsent)?;
        let at = self.clock.now();
        let _ = self.said.send(Said::Sent { of: send.of, at, late: at - due }).await;
        let (mut input, mut bytes) = (Vec::new(), [0; 4096]);
        loop {
            match stream.read(&mut bytes).await {
                Ok(n) if n > 0 => input.extend_from_slice(&bytes[..n]),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                _ => return Err(Broken::Unanswered { begun: !input.is_empty() }),
            }
            match resp::reply(&input) {
                Ok(Some((reply, taken))) if taken == input.len() => return Ok(Some(reply)),
                Ok(None) if input.len() <= ANSWER => {}
                _ => return Ok(None),
            }
        }
    }
}

/// Whether a connection failed for what is at its other end, and not for want of descriptors or ports here.
fn is_the_other_side(kind: io::ErrorKind) -> bool {
    use io::ErrorKind::{ConnectionAborted, ConnectionRefused, ConnectionReset, TimedOut};
    matches!(kind, ConnectionRefused | ConnectionReset | ConnectionAborted | TimedOut)
}

/// An answer as the protocol has it: a value, or an array that begins with one; `-BUSY` or `-BUSY MS`; or a failure.
fn read(reply: Reply, key: &str) -> How {
    let value = match reply {
        Reply::Bulk(value) => value,
        Reply::Array(items) => items.into_iter().next().flatten(),
        Reply::Error(text) => {
            let text = String::from_utf8_lossy(&text);
            let mut words = text.split(' ');
            if words.next() != Some("BUSY") {
                return How::Answered(Final::Failed, None);
            }
            let away =
                words.next().and_then(|ms| ms.parse::<f64>().ok()).filter(|ms| (0.0..1e9).contains(ms));
            return How::Answered(Final::Refused, away.map(|ms| (ms * 1e3) as Micros));
        }
        Reply::Simple(_) => None,
    };
    let Some(value) = value else { return How::Answered(Final::Failed, None) };
    let made = wire::made_for(&value).filter(|(of, _)| *of == key.as_bytes());
    How::Answered(Final::Served { made_for: made.map(|(_, of)| of) }, None)
}

#[cfg(test)]
mod tests;
