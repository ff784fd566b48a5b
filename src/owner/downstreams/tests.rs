use super::*;
use crate::admission::PortKind;
use crate::net::accept::ConnectionLimiter;
use async_io::Async;
use std::net::{TcpListener, TcpStream};

/// Guards what a paused downstream has sent at a planned end: told to leave, it is read, and bytes that run short do not
/// stop that again.
#[test]
fn who_is_told_to_leave_is_read_though_bytes_run_short() {
    let (executor, gate) = (LocalExecutor::new(), Rc::new(ConnectionLimiter::default()));
    let (queue, _news) = async_channel::bounded(8);
    let mut downstreams = Downstreams::new(queue.clone());
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let add = |downstreams: &mut Downstreams| {
        let peer = TcpStream::connect(listener.local_addr().expect("an address")).expect("it listens");
        let (socket, client) = listener.accept().expect("a connection");
        let socket = Socket::new(Async::new(socket).expect("a socket"), &gate, PortKind::Main);
        let caller = Caller { client, via: None };
        let new = New { socket, caller, service: Service::Main, streams: 16, waits: WaitingFor::Command };
        let link = Rc::new(Cell::new(None));
        let taken = link.clone();
        let id = downstreams.add(new, &executor, &queue, |link| async move { taken.set(Some(link)) });
        while executor.try_tick() {}
        (id, link.take().expect("its task has run"), peer)
    };
    let (paused, link, _peer) = add(&mut downstreams);
    let (other, beside, _other) = add(&mut downstreams);
    let orders = |link: &Link| std::iter::from_fn(|| link.orders.try_recv().ok()).collect::<Vec<_>>();
    downstreams.pause(paused, true);
    assert!(link.progress.is_paused() && matches!(orders(&link)[..], [TaskMessage::Refresh]));
    link.progress.refreshed();
    downstreams.leave();
    assert!(!link.progress.is_paused());
    assert!(matches!(orders(&link)[..], [TaskMessage::FinishNow, TaskMessage::Refresh]));
    assert!(matches!(orders(&beside)[..], [TaskMessage::FinishNow]), "it was read all the time");
    downstreams.leave();
    downstreams.pause(other, true);
    assert!(!beside.progress.is_paused() && !link.progress.is_paused());
    assert!(orders(&link).is_empty(), "each is told once");
}
