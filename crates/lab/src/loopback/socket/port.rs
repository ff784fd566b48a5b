//! A port of a stand-in on 127.0.0.1, which keeps its number whether anybody listens on it or not.
//!
//! A process that died is a closed door: new connections are refused. A machine that vanished or is cut off is a
//! plugged one: connections neither come up nor fail. No rule of a firewall is needed for it, and no rights: Linux
//! drops the SYN for a listener whose queue of accepted connections is full (tcp_conn_request in net/ipv4/tcp_input.c),
//! so the plug is a queue made short, with connections of our own in it.

use super::{Heard, Queue};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use socket2::{Domain, SockAddr, SockRef, Socket, Type};
use std::io;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;
/// Connections of our own that fill a queue of length 0, which holds one; one more for good measure.
const FILL: usize = 2;

fn socket() -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    // Two sockets share the number, the one that holds it and the one that listens.
    socket.set_reuse_address(true)?;
    Ok(socket)
}

fn local(port: u16) -> SockAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port)).into()
}

/// A bound port that is closed, open or plugged.
#[derive(Debug)]
pub struct Door {
    held: Held,
    number: usize,
    listener: Option<Rc<Async<TcpListener>>>,
    accepts: Option<Task<()>>,
    plug: Vec<Socket>,
}

/// A port of 127.0.0.1 that is bound here and listened on by nobody: while this lives the system gives the number
/// to nobody else, and whoever sets `SO_REUSEADDR` (as servers do) can listen on it.
#[derive(Debug)]
pub struct Held {
    _socket: Socket,
    address: SocketAddr,
}

impl Held {
    pub fn take() -> io::Result<Self> {
        let holder = socket()?;
        holder.bind(&local(0))?;
        let address = holder.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(Held { _socket: holder, address })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Door {
    /// Takes a free port, closed. `number` is how [`Heard::Accepted`] names it.
    pub fn new(number: usize) -> io::Result<Self> {
        Ok(Door { held: Held::take()?, number, listener: None, accepts: None, plug: Vec::new() })
    }

    pub fn address(&self) -> SocketAddr {
        self.held.address
    }

    pub fn is_open(&self) -> bool {
        self.accepts.is_some()
    }

    /// Listens, and accepts on a task of its own.
    pub fn open(&mut self, executor: &LocalExecutor<'_>, queue: &Queue) -> io::Result<()> {
        if self.is_open() {
            return Ok(());
        }
        let listener = match self.listener.take() {
            Some(listener) => listener,
            None => {
                let listener = socket()?;
                listener.bind(&local(self.held.address.port()))?;
                listener.listen(BACKLOG)?;
                Rc::new(Async::new(TcpListener::from(listener))?)
            }
        };
        self.unplug(&listener, queue)?;
        self.accepts = Some(executor.spawn(accept(listener.clone(), self.number, queue.clone())));
        self.listener = Some(listener);
        Ok(())
    }

    /// New connections are refused, and those that nobody has accepted yet are reset.
    pub fn close(&mut self) {
        self.accepts = None;
        if let Some(listener) = self.listener.take() {
            // At once: the task that accepts is dropped with its share of the socket when the executor next runs.
            let _ = SockRef::from(&*listener).shutdown(Shutdown::Both);
        }
        self.plug.clear();
    }

    /// New connections get no answer at all. One that waits for it comes up late once the door is open again.
    pub fn plug(&mut self) -> io::Result<()> {
        self.accepts = None;
        if !self.plug.is_empty() {
            return Ok(());
        }
        let listener = match &self.listener {
            Some(listener) => listener.clone(),
            None => {
                let listener = socket()?;
                listener.bind(&local(self.held.address.port()))?;
                listener.listen(0)?;
                let listener = Rc::new(Async::new(TcpListener::from(listener))?);
                self.listener = Some(listener.clone());
                listener
            }
        };
        SockRef::from(&*listener).listen(0)?;
        for _ in 0..FILL {
            let one = Socket::new(Domain::IPV4, Type::STREAM, None)?;
            one.set_nonblocking(true)?;
            // Under way or up: either fills the queue.
            let _ = one.connect(&self.held.address.into());
            self.plug.push(one);
        }
        Ok(())
    }

    /// Takes our own connections out of the queue, and passes on those of others that were in it.
    fn unplug(&mut self, listener: &Async<TcpListener>, queue: &Queue) -> io::Result<()> {
        if self.plug.is_empty() {
            return Ok(());
        }
        let ours: Vec<_> = self.plug.iter().filter_map(|s| s.local_addr().ok()?.as_socket()).collect();
        SockRef::from(listener).listen(BACKLOG)?;
        while let Ok((socket, peer)) = listener.get_ref().accept() {
            if !ours.contains(&peer) {
                let _ = queue.try_send(Heard::Accepted { door: self.number, socket: Async::new(socket)? });
            }
        }
        self.plug.clear();
        Ok(())
    }
}

async fn accept(listener: Rc<Async<TcpListener>>, door: usize, queue: Queue) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                if queue.send(Heard::Accepted { door, socket }).await.is_err() {
                    return;
                }
            }
            // No descriptors, or a connection that is gone already: the next one may do better.
            Err(_) => drop(Timer::after(Duration::from_millis(5)).await),
        }
    }
}

#[cfg(test)]
mod tests;
