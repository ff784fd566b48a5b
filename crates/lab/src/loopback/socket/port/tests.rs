use super::*;
use futures_lite::future::{block_on, or};
use std::net::TcpStream;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Tries to connect while the port's tasks run.
fn try_connect(port: &Port) -> io::Result<TcpStream> {
    TcpStream::connect_timeout(&port.address(), Duration::from_millis(150))
}

#[test]
fn a_port_keeps_its_number_when_closed_open_silent_and_open_again() {
    let executor = LocalExecutor::new();
    let (queue, events) = async_channel::bounded(QUEUE_LEN);
    let mut port = Port::new(7).expect("free port");
    let refused = |port: &Port| try_connect(port).expect_err("no listener").kind();
    assert_eq!(refused(&port), io::ErrorKind::ConnectionRefused);
    port.open(&executor, &queue).expect("port listens");
    let _connection = try_connect(&port).expect("port is open");
    let accepted = async {
        let timeout = async {
            Timer::after(TIMEOUT).await;
            None
        };
        executor.run(or(async { events.recv().await.ok() }, timeout)).await
    };
    assert!(matches!(block_on(accepted), Some(SocketEvent::Accepted { port: 7, .. })));
    port.drop_syns().expect("backlog is filled");
    assert_eq!(try_connect(&port).expect_err("no answer").kind(), io::ErrorKind::TimedOut);
    port.open(&executor, &queue).expect("port listens again");
    try_connect(&port).expect("port is open again");
    port.close();
    assert_eq!(refused(&port), io::ErrorKind::ConnectionRefused);
    port.drop_syns().expect("backlog is filled");
    assert_eq!(try_connect(&port).expect_err("no answer").kind(), io::ErrorKind::TimedOut);
}

const QUEUE_LEN: usize = 16;
