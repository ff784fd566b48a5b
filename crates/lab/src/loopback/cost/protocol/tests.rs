use super::*;
use rstest::rstest;

#[rstest]
fn a_node_answers_what_a_client_of_its_protocol_asks(
    #[values(Protocol::Resp, Protocol::Memcached)] protocol: Protocol,
) {
    let read = Read { number: 7, key: "7f3a", id: "1.0.0", properties: "c=lookup,d=500" };
    let (mut asked, mut answered) = (Vec::new(), Vec::new());
    protocol.put_read(&mut asked, &read).expect("message is encoded");
    let half = &asked[..asked.len() - 1];
    assert_eq!(protocol.answer(half, b"value", &mut answered).expect("valid message"), None);
    let taken = protocol.answer(&asked, b"value", &mut answered).expect("valid message");
    assert_eq!(taken, Some(asked.len()));
    assert_eq!(protocol.served(&answered[..answered.len() - 1], &read).expect("valid message"), None);
    assert_eq!(protocol.served(&answered, &read).expect("valid message"), Some(true));
    let other = match protocol {
        Protocol::Resp => Protocol::Memcached,
        Protocol::Memcached => Protocol::Resp,
    };
    assert!(other.answer(&asked, b"value", &mut answered).is_err(), "the other protocol rejects the request");
}

#[test]
fn an_answer_to_another_read_is_rejected() {
    let read = Read { number: 7, key: "7f3a", id: "", properties: "" };
    let mut bytes = Vec::new();
    Response { extras: &[0; 4], ..Response::new(Opcode::GET, 8) }
        .put(&mut bytes)
        .expect("message is encoded");
    assert!(Protocol::Memcached.served(&bytes, &read).is_err());
}
