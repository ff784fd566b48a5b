//! A port of a stand-in on 127.0.0.1, which keeps its number whether or not anything listens on it.
//!
//! A process that died is a closed port: new connections are refused. A machine that vanished or is cut off
//! is a silent one: connection attempts neither succeed nor fail. That needs no firewall rule and no
//! privileges: Linux drops the SYN for a listener whose queue of accepted connections is full
//! (tcp_conn_request in net/ipv4/tcp_input.c), so the queue is made short and filled with connections of our
//! own.

use super::{Queue, SocketEvent};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use socket2::{Domain, SockAddr, SockRef, Socket, Type};
use std::io;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;
/// Connections of our own that fill a queue of length 0, which holds one; one more as a margin.
const FILLERS: usize = 2;

fn socket() -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    // Two sockets share the port number: the one that reserves it and the one that listens.
    socket.set_reuse_address(true)?;
    Ok(socket)
}

fn local(port: u16) -> SockAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port)).into()
}

/// A bound port that is closed, open or silent.
#[derive(Debug)]
pub struct Port {
    reserved: ReservedPort,
    number: usize,
    listener: Option<Rc<Async<TcpListener>>>,
    accept_task: Option<Task<()>>,
    backlog_fillers: Vec<Socket>,
}

/// A port of 127.0.0.1 that is bound here without a listener: while this value lives, the kernel gives the
/// number to nobody else, and a process that sets `SO_REUSEADDR` (as servers do) can listen on it.
#[derive(Debug)]
pub struct ReservedPort {
    _socket: Socket,
    address: SocketAddr,
}

impl ReservedPort {
    pub fn reserve() -> io::Result<Self> {
        let holder = socket()?;
        holder.bind(&local(0))?;
        let address = holder.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(ReservedPort { _socket: holder, address })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Port {
    /// Reserves a free port, closed. `number` identifies it in [`SocketEvent::Accepted`].
    pub fn new(number: usize) -> io::Result<Self> {
        Ok(Port {
            reserved: ReservedPort::reserve()?,
            number,
            listener: None,
            accept_task: None,
            backlog_fillers: Vec::new(),
        })
    }

    pub fn address(&self) -> SocketAddr {
        self.reserved.address
    }

    pub fn is_open(&self) -> bool {
        self.accept_task.is_some()
    }

    /// Listens, and accepts connections on a task of its own.
    pub fn open(&mut self, executor: &LocalExecutor<'_>, queue: &Queue) -> io::Result<()> {
        if self.is_open() {
            return Ok(());
        }
        let listener = match self.listener.take() {
            Some(listener) => listener,
            None => {
                let listener = socket()?;
                listener.bind(&local(self.reserved.address.port()))?;
                listener.listen(BACKLOG)?;
                Rc::new(Async::new(TcpListener::from(listener))?)
            }
        };
        self.drain_backlog(&listener, queue)?;
        self.accept_task = Some(executor.spawn(accept(listener.clone(), self.number, queue.clone())));
        self.listener = Some(listener);
        Ok(())
    }

    /// Refuses new connections and resets those that were not accepted yet.
    pub fn close(&mut self) {
        self.accept_task = None;
        if let Some(listener) = self.listener.take() {
            // Shut down at once: the accepting task and its reference to the socket are only dropped when the
            // executor runs next.
            let _ = SockRef::from(&*listener).shutdown(Shutdown::Both);
        }
        self.backlog_fillers.clear();
    }

    /// New connection attempts get no answer. One that is still waiting succeeds late, once the port is open
    /// again.
    pub fn drop_syns(&mut self) -> io::Result<()> {
        self.accept_task = None;
        if !self.backlog_fillers.is_empty() {
            return Ok(());
        }
        let listener = match &self.listener {
            Some(listener) => listener.clone(),
            None => {
                let listener = socket()?;
                listener.bind(&local(self.reserved.address.port()))?;
                listener.listen(0)?;
                let listener = Rc::new(Async::new(TcpListener::from(listener))?);
                self.listener = Some(listener.clone());
                listener
            }
        };
        SockRef::from(&*listener).listen(0)?;
        for _ in 0..FILLERS {
            let filler = Socket::new(Domain::IPV4, Type::STREAM, None)?;
            filler.set_nonblocking(true)?;
            // Pending or established: either fills the queue.
            let _ = filler.connect(&self.reserved.address.into());
            self.backlog_fillers.push(filler);
        }
        Ok(())
    }

    /// Removes our own connections from the queue and passes on those of others.
    fn drain_backlog(&mut self, listener: &Async<TcpListener>, queue: &Queue) -> io::Result<()> {
        if self.backlog_fillers.is_empty() {
            return Ok(());
        }
        let fillers: Vec<_> =
            self.backlog_fillers.iter().filter_map(|s| s.local_addr().ok()?.as_socket()).collect();
        SockRef::from(listener).listen(BACKLOG)?;
        while let Ok((socket, peer)) = listener.get_ref().accept() {
            if !fillers.contains(&peer) {
                let _ =
                    queue.try_send(SocketEvent::Accepted { port: self.number, socket: Async::new(socket)? });
            }
        }
        self.backlog_fillers.clear();
        Ok(())
    }
}

async fn accept(listener: Rc<Async<TcpListener>>, port: usize, queue: Queue) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                if queue.send(SocketEvent::Accepted { port, socket }).await.is_err() {
                    return;
                }
            }
            // Out of descriptors, or the connection is already gone: try again.
            Err(_) => drop(Timer::after(Duration::from_millis(5)).await),
        }
    }
}

#[cfg(test)]
mod tests;
