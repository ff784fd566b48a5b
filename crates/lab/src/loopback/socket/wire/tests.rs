use super::*;

#[test]
fn incomplete_commands_are_not_parsed() {
    let mut bytes = Vec::new();
    resp::put_command(&mut bytes, &[b"CACHE.SET", b"7f", b"id", b"c=put,d=5", b"v"]);
    let whole = Command::Keyed {
        key: b"7f".to_vec(),
        id: b"id".to_vec(),
        properties: b"c=put,d=5".to_vec(),
        value: Some(b"v".to_vec()),
    };
    let put = b"PUT /7f HTTP/1.1\r\nX-Trace-Id: id\r\nx-props: c=put,d=5\r\nContent-Length: 1\r\n\r\nv";
    for (dialect, bytes) in [(Dialect::Cache, bytes.as_slice()), (Dialect::Origin, put)] {
        for n in 0..bytes.len() {
            assert_eq!(dialect.command(&bytes[..n]), None, "{dialect:?}, {n} bytes");
        }
        assert_eq!(dialect.command(bytes), Some((whole.clone(), bytes.len())));
    }
    let watch = b"GET /registry/instances?watch=1&after=41 HTTP/1.1\r\nHost: d\r\n\r\n";
    let (command, _) = Dialect::Discovery.command(watch).expect("a command");
    assert_eq!(command, Command::Watch { after: Some(41) });
}

#[test]
fn malformed_commands_are_reported() {
    let malformed = |dialect: Dialect, bytes: &[u8]| matches!(dialect.command(bytes), Some((Command::Malformed(_), n)) if n == bytes.len());
    assert!(malformed(Dialect::Cache, b"GET / HTTP/1.1\r\n"));
    assert!(malformed(Dialect::Cache, b"*2\r\n$9\r\nCACHE.GET\r\n$1\r\n7\r\n"));
    assert!(malformed(Dialect::Origin, b"GET /7f HTTP/1.1\r\nHost: l\r\n\r\n"), "no id");
    assert!(malformed(Dialect::Origin, b"GET /7f HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"));
    assert!(malformed(Dialect::Origin, &[b'a'; MAX_LINE_BYTES + 1]));
    assert!(malformed(Dialect::Origin, b"PUT /7f HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"));
}

#[test]
fn a_value_identifies_its_key_and_try() {
    let id = TryId { of: TryNo(77), work: 90_000, bytes: 300 };
    assert_eq!(TryId::read(id.write().as_bytes()), Some(id));
    let made = value(b"7f3a", id.write().as_bytes(), 300);
    assert_eq!((made.len(), made_for(&made)), (300, Some((b"7f3a".as_slice(), TryNo(77)))));
    assert_eq!(made_for(b"of nobody"), None);
}

#[test]
fn properties_are_read_as_they_are_written() {
    let p = Properties {
        class: "put".into(),
        tenant: "acme".into(),
        patience: 480_000,
        repeat: Some(5),
        again: true,
    };
    assert_eq!(p.write(), "c=put,t=acme,d=480,k=0000000000000005,r=1");
    assert_eq!(Properties::read(p.write().as_bytes()), Some(p));
    assert_eq!(Properties::read(b"c=put"), None, "no d");
    assert_eq!(Properties::read(b"c=put,d=-1"), None);
}
