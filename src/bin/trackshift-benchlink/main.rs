//! Adapter between the simulator's binary protocol on standard input and output and any number of
//! instances of the decision module. Instances share nothing; all decisions are made in
//! `martenweir::choice`.

mod wire;

use martenweir::choice::Balancer;
use martenweir::interface::*;
use martenweir::settings;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use wire::{Malformed, Reader, Record, HEADER_LEN};

/// Bytes of the record count and the batch number, which a batch's length field includes.
const COUNTS_LEN: usize = 8;

fn main() -> ExitCode {
    match serve(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("trackshift-benchlink: {what}");
            ExitCode::FAILURE
        }
    }
}

/// Answers batches until the input ends.
fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let mut instances = BTreeMap::new();
    let (mut body, mut reply) = (Vec::new(), Vec::new());
    loop {
        let mut head = [0; HEADER_LEN];
        match fill(input, &mut head)? {
            0 => return Ok(()),
            HEADER_LEN => {}
            n => return Err(format!("the input ends within a batch header: record 0, byte {n}")),
        }
        let len = u32::from_be_bytes([head[8], head[9], head[10], head[11]]);
        body.clear();
        let got = input.by_ref().take(u64::from(len)).read_to_end(&mut body).map_err(|e| e.to_string())?;
        if got < len as usize {
            return Err(format!("the input ends within a batch: record 0, byte {}", HEADER_LEN + got));
        }
        reply.clear();
        reply.extend([0; 8]);
        let seq = batch(&mut instances, &head, &body, &mut reply)
            .map_err(|m| format!("{}: record {}, byte {}", m.what, m.record, m.offset))?;
        let n = (reply.len() - 4) as u32;
        reply[..4].copy_from_slice(&n.to_be_bytes());
        reply[4..8].copy_from_slice(&seq.to_be_bytes());
        output.write_all(&reply).and_then(|()| output.flush()).map_err(|e| e.to_string())?;
    }
}

fn fill(input: &mut impl Read, buf: &mut [u8]) -> Result<usize, String> {
    let mut n = 0;
    while n < buf.len() {
        match input.read(&mut buf[n..]) {
            Ok(0) => break,
            Ok(k) => n += k,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e.to_string()),
        }
    }
    Ok(n)
}

/// An instance of the decision module, with the data needed to validate its events.
struct Instance {
    balancer: Balancer,
    /// The total time that a client waits, per class: the deadline of a request without its own.
    limits: Vec<Micros>,
}

fn batch(
    instances: &mut BTreeMap<u32, Instance>,
    head: &[u8; HEADER_LEN],
    body: &[u8],
    reply: &mut Vec<u8>,
) -> Result<u32, Malformed> {
    let bad = |what: &str, record, offset| Malformed { what: what.into(), record, offset };
    let now = wire::clock(head).ok_or_else(|| bad("the clock is out of range", 0, 0))?;
    let (count, seq) =
        wire::batch_head(body).ok_or_else(|| bad("the batch has no record count", 0, HEADER_LEN))?;
    let mut reader = Reader::new(&body[COUNTS_LEN..], HEADER_LEN + COUNTS_LEN);
    let mut actions = Vec::new();
    for i in 0..count as usize {
        let (id, record) = reader.next(i)?;
        match record {
            Some(Record::Begin { seed, options }) => {
                let settings = settings::read(options).map_err(|e| bad(&e, i, HEADER_LEN))?;
                let limits = settings.classes.iter().map(|c| c.limit).collect();
                instances.insert(id, Instance { balancer: Balancer::new(settings, seed), limits });
            }
            Some(Record::Stop) => {
                instances.remove(&id);
            }
            Some(Record::Event(mut event)) => {
                let Some(instance) = instances.get_mut(&id) else { continue };
                if let Event::Request(r) = &mut event {
                    let Some(limit) = instance.limits.get(usize::from(r.class.0)) else {
                        return Err(bad(
                            &format!("class {} is not in the settings", r.class.0),
                            i,
                            HEADER_LEN,
                        ));
                    };
                    if r.deadline == 0 {
                        r.deadline = now + limit;
                    }
                }
                actions.clear();
                let run = || instance.balancer.handle(now, event, &mut actions);
                if let Err(panic) = catch_unwind(AssertUnwindSafe(run)) {
                    let text = panic
                        .downcast_ref::<String>()
                        .map(String::as_str)
                        .or_else(|| panic.downcast_ref::<&str>().copied())
                        .unwrap_or("panic");
                    wire::instance_panicked(reply, id, text);
                    instances.remove(&id);
                    continue;
                }
                for a in &actions {
                    wire::action(reply, id, a);
                }
            }
            None => {}
        }
    }
    reader.finish(count as usize)?;
    Ok(seq)
}
