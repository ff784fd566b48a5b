use super::*;
use world::facts::TryNo;

#[test]
fn answers_are_parsed_as_the_protocol_defines_them() {
    let id = wire::TryId { of: TryNo(9), work: 1, bytes: 1 }.write();
    let value = wire::value(b"7f", id.as_bytes(), 100);
    let served = |made_for| TryOutcome::Answered(Final::Served { made_for }, None);
    let failed = TryOutcome::Answered(Final::Failed, None);
    assert_eq!(parse_reply(Reply::Bulk(Some(value.clone())), "7f"), served(Some(TryNo(9))));
    assert_eq!(parse_reply(Reply::Array(vec![Some(value.clone()), None]), "7f"), served(Some(TryNo(9))));
    assert_eq!(parse_reply(Reply::Bulk(Some(value)), "8a"), served(None), "made for another key");
    assert_eq!(parse_reply(Reply::Bulk(Some(b"junk".to_vec())), "7f"), served(None));
    assert_eq!(parse_reply(Reply::Bulk(None), "7f"), failed);
    assert_eq!(parse_reply(Reply::Error(b"ERR failed".to_vec()), "7f"), failed);
    let refused = |retry_after| TryOutcome::Answered(Final::Refused, retry_after);
    assert_eq!(parse_reply(Reply::Error(b"BUSY 250".to_vec()), "7f"), refused(Some(250_000)));
    assert_eq!(parse_reply(Reply::Error(b"BUSY".to_vec()), "7f"), refused(None));
}

/// A command that crosses the close of an idle connection is sent again, once and on a new connection.
#[test]
fn a_command_that_crosses_a_close_is_sent_once_more() {
    use crate::loopback::clients::Clients;
    use crate::loopback::scripted::Listener;
    use world::facts::ProxyNo;

    let proxy = Listener::cache().expect("free port");
    let clock = Clock::start(0);
    let clients = Clients::start(vec![proxy.address()], clock.clone()).expect("thread starts");
    let send = |of| {
        let mut command = Vec::new();
        resp::put_command(&mut command, &[b"CACHE.GET", b"7f", b"id", b"c=lookup,d=9000"]);
        let now = clock.now();
        let send = ScheduledTry {
            of: TryNo(of),
            proxy: ProxyNo(0),
            due: now,
            closes: now + 60_000_000,
            key: "7f".into(),
            command,
        };
        assert!(clients.send(send));
    };
    let next_event = || clients.events().recv_blocking().expect("an event");
    send(1);
    let mut first = proxy.accept().expect("connection");
    first.expect_read("7f").expect("a read");
    first.error().expect("send");
    assert!(matches!(next_event(), ClientEvent::Sent { of: TryNo(1), .. }));
    assert!(matches!(
        next_event(),
        ClientEvent::Ended { of: TryNo(1), outcome: TryOutcome::Answered(Final::Failed, _), .. }
    ));
    // The connection is pooled and reused for the next command; then the proxy closes it without an answer.
    send(2);
    first.expect_read("7f").expect("a read");
    first.reset();
    assert!(matches!(next_event(), ClientEvent::Sent { of: TryNo(2), .. }));
    let next = next_event();
    if let ClientEvent::Ended { outcome, .. } = next {
        // On a busy machine the close can come too late to count as a crossing.
        return assert_eq!(outcome, TryOutcome::Dropped);
    }
    assert!(matches!(next, ClientEvent::Crossed { of: TryNo(2), .. }), "{next:?}");
    let mut second = proxy.accept().expect("another connection");
    second.expect_read("7f").expect("the same read");
    assert!(matches!(next_event(), ClientEvent::Sent { of: TryNo(2), .. }));
    second.reset();
    assert!(matches!(next_event(), ClientEvent::Ended { of: TryNo(2), outcome: TryOutcome::Dropped, .. }));
}
