//! Clients of the multi-get port that write slowly, while the proxy is told to end. Reads that the proxy has
//! taken have to get their answers.

use crate::case::Case;
use crate::clients::*;
use crate::wire::*;
use crate::world::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Sender};
use std::thread;
use std::time::Duration;

const CLIENTS: u64 = 16;
const MAIN_PORT_CLIENTS: u64 = 6;
const READS: u64 = 8;
/// The pause behind each piece: all pieces come within 1.6 s, and no pause is longer.
const PAUSE: Duration = Duration::from_millis(190);
/// How long after the first piece the proxy is told to end.
const TERM_AFTER: Duration = Duration::from_millis(150);
/// SIGKILL comes after the longest deadline, 2.5 s, and 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(3200);
const WORK: Duration = Duration::from_millis(20);
const PATIENCE_MS: u64 = 2000;
const BEYOND_TIME: Duration = Duration::from_millis(500 + 50);
/// A multi-get is given up once nothing has come for so long after it was begun.
const READ_LIMIT: Duration = Duration::from_millis(1600 + PATIENCE_MS + 500 + 50);
/// A read that was written this long before the end of its connection has been taken: it does not cross it.
const CROSSING: Duration = Duration::from_millis(100);

fn multiget(number: u64, address: SocketAddr, case: &Case, broken: Sender<String>) -> impl FnOnce() + use<> {
    let journal = case.journal.clone();
    move || {
        let name = format!("multi-get {number}");
        let Ok(mut stream) = TcpStream::connect(address) else { return };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(READ_LIMIT));
        let Ok(answers) = stream.try_clone() else { return };
        let watch = journal.clone();
        let answer = thread::spawn(move || (Reader::new(answers).line(), watch.now()));
        let mut failed =
            stream.write_all(&put_command(&[b"CACHE.MGET", READS.to_string().as_bytes()])).is_err();
        let mut first_written = journal.now();
        for n in 0..READS {
            thread::sleep(PAUSE);
            let read = read(Site::REYKJAVIK, number * 100 + n, PATIENCE_MS);
            failed |= stream.write_all(&read.bytes).is_err();
            if n == 0 {
                first_written = journal.now();
            }
            journal.note(format!("{name} wrote the read id={}, failed: {failed}", read.id));
        }
        let Ok((head, ended)) = answer.join() else { return };
        journal.note(format!("{name} got {head:?} at {ended:?}"));
        if let Err(why) = head {
            if ended > first_written + CROSSING {
                let _ = broken.send(format!("{name}: its reads have no answer, {why} at {ended:?}"));
            }
        }
    }
}

/// A client of the main port that writes one request as slowly.
fn main_port(number: u64, address: SocketAddr, case: &Case, broken: Sender<String>) -> impl FnOnce() + use<> {
    let journal = case.journal.clone();
    move || {
        let Ok(mut stream) = TcpStream::connect(address) else { return };
        let _ = stream.set_nodelay(true);
        let asked = write(Site::REYKJAVIK, number, PATIENCE_MS, 80);
        let piece = asked.bytes.len().div_ceil(READS as usize);
        for bytes in asked.bytes.chunks(piece) {
            thread::sleep(PAUSE);
            let _ = stream.write_all(bytes);
        }
        let _ = stream.set_read_timeout(Some(Duration::from_millis(PATIENCE_MS) + BEYOND_TIME));
        let answer = Reader::new(stream).answer();
        journal.note(format!("main port {number}: id={} got {answer:?}", asked.id));
        if let Err(why) = answer {
            let _ = broken.send(format!("main port {number}: id={} has no answer, {why}", asked.id));
        }
    }
}

pub fn run(mut case: Case) -> ! {
    let discovery = case.start_platform(Site::REYKJAVIK, WORK);
    let port = free_port().port();
    let features = format!("multigetport {port}");
    let mut proxy = Proxy::start(&case.temporary, Site::REYKJAVIK, &discovery, &case.journal, &features);
    if !proxy.wait_ready() {
        case.could_not_run("the proxy is not ready");
    }
    let (broken, told) = channel();
    let multigets = SocketAddr::new(proxy.address.ip(), port);
    let mut threads = Vec::new();
    for n in 0..CLIENTS {
        threads.push(thread::spawn(multiget(n, multigets, &case, broken.clone())));
    }
    for n in 0..MAIN_PORT_CLIENTS {
        threads.push(thread::spawn(main_port(1000 + n, proxy.address, &case, broken.clone())));
    }
    thread::sleep(TERM_AFTER);
    if case.trouble {
        proxy.signal("TERM");
        thread::sleep(KILL_AFTER);
        case.journal.note(format!("time of SIGKILL; the proxy has ended: {:?}", proxy.ended()));
    }
    threads.into_iter().for_each(|thread| drop(thread.join()));
    drop(broken);
    told.iter().for_each(|what| case.broken(what));
    case.end(vec![proxy])
}
