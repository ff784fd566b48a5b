use super::*;
use futures_lite::future::{block_on, or};
use std::net::TcpStream;

const PATIENCE: Duration = Duration::from_secs(20);

/// Whether a connection comes up while the door's tasks run.
fn reaches(door: &Door) -> io::Result<TcpStream> {
    TcpStream::connect_timeout(&door.address(), Duration::from_millis(150))
}

#[test]
fn a_port_keeps_its_number_closed_open_plugged_and_open_again() {
    let executor = LocalExecutor::new();
    let (queue, heard) = async_channel::bounded(QUEUE);
    let mut door = Door::new(7).expect("a port");
    let refused = |door: &Door| reaches(door).expect_err("nobody listens").kind();
    assert_eq!(refused(&door), io::ErrorKind::ConnectionRefused);
    door.open(&executor, &queue).expect("it listens");
    let _kept = reaches(&door).expect("it is open");
    let accepted = async {
        let late = async {
            Timer::after(PATIENCE).await;
            None
        };
        executor.run(or(async { heard.recv().await.ok() }, late)).await
    };
    assert!(matches!(block_on(accepted), Some(Heard::Accepted { door: 7, .. })));
    door.plug().expect("a plug");
    assert_eq!(reaches(&door).expect_err("silence").kind(), io::ErrorKind::TimedOut);
    door.open(&executor, &queue).expect("it listens again");
    reaches(&door).expect("it is open again");
    door.close();
    assert_eq!(refused(&door), io::ErrorKind::ConnectionRefused);
    door.plug().expect("a plug");
    assert_eq!(reaches(&door).expect_err("silence").kind(), io::ErrorKind::TimedOut);
}

const QUEUE: usize = 16;
