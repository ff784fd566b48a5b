use super::*;
use crate::core::Message;
use memcached::Response;
use rstest::rstest;
use std::rc::Rc;

fn job(key: &[u8], value: Option<&[u8]>) -> Job {
    let message = Message { key: key.to_vec(), value: value.map(<[u8]>::to_vec), ..Message::default() };
    Job::Stream { message: Rc::new(message), patience: 0 }
}

#[rstest]
#[case::a_write(job(b"k", Some(b"v")), Some(Verdict::Full))]
#[case::a_long_key(job(&[b'k'; 251], None), Some(Verdict::Miss))]
#[case::a_read(job(&[b'k'; 250], None), None)]
#[case::a_probe(Job::Probe, None)]
fn jobs_that_the_protocol_cannot_express_are_not_sent(#[case] job: Job, #[case] expected: Option<Verdict>) {
    let mut out = Vec::new();
    let rejected = encode(&mut out, &job, 7).err();
    assert_eq!(rejected.as_ref().map(|reply| reply.verdict), expected);
    assert_eq!(out.is_empty(), expected.is_some());
    assert!(rejected.is_none_or(|reply| reply.keep), "the connection was not touched");
}

#[rstest]
#[case(Status::OK, Verdict::Served)]
#[case(Status::KEY_NOT_FOUND, Verdict::Miss)]
#[case(Status::BUSY, Verdict::Full)]
#[case::it_may_have_run(Status::TEMPORARY, Verdict::Error)]
#[case(Status::AUTH_ERROR, Verdict::Error)]
#[case::nobody_knows_it(Status(0x4242), Verdict::Error)]
fn each_status_maps_to_its_verdict(#[case] status: Status, #[case] verdict: Verdict) {
    let extras: &[u8] = if status == Status::OK { &[0; 4] } else { &[] };
    let mut bytes = Vec::new();
    let response = Response { status, extras, value: b"text", ..Response::new(Opcode::GET, 7) };
    response.put(&mut bytes).expect("it fits");
    let reply = decode(&bytes, &job(b"k", None), 7).expect("in step").expect("whole").0;
    let value: &[u8] = if verdict == Verdict::Served { b"text" } else { b"" };
    assert_eq!(reply, answer(verdict, value, true));
}
