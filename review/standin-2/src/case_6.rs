//! Clients that stop in the middle of a command and stay, by the hundred, beside a few usual ones. Every request of
//! the usual clients has to get its final answer.

use crate::case::Case;
use crate::clients::*;
use crate::wire::*;
use crate::world::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The limits of the proxy, within those of the pages.
const SITE: Site = Site::SOFIA.with_limits(64, 256);
const USUAL_CLIENTS: u64 = 10;
/// The pause of a usual client behind an answer.
const PAUSE: Duration = Duration::from_millis(60);
/// Half of the class's give-up time.
const PATIENCE_MS: u64 = 600;
/// How much later than its time a request may be answered, and by how much limits are longer on sockets.
const BEYOND_TIME: Duration = Duration::from_millis(500 + 50);
/// A connection that ends this soon after a request was written may have been closed between requests.
const CROSSING: Duration = Duration::from_millis(500);
/// The clients that stop, in several processes: each may hold few descriptors.
const STOPPING_PROCESSES: usize = 4;
const STOPPING_PER_PROCESS: usize = 225;
const CALM: Duration = Duration::from_secs(3);
const TROUBLE: Duration = Duration::from_secs(12);
/// For how long a client that has stopped waits for its error or close.
const OWED: Duration = Duration::from_secs(8);
/// How long a node takes for a request.
const WORK: Duration = Duration::from_millis(20);
const SMALL_STACK: usize = 128 * 1024;

/// The clients that stop, until the process is ended or its standard input is closed:
/// `standin stopping ADDRESS`.
pub fn stopping(address: SocketAddr) -> ! {
    let part = b"*4\r\n$9\r\nCACHE.GET\r\n$16\r\n9b1f03aa";
    for _ in 0..STOPPING_PER_PROCESS {
        let client = move || loop {
            if let Ok(mut stream) = TcpStream::connect(address) {
                let _ = stream.set_read_timeout(Some(OWED));
                let _ = stream.write_all(part);
                let mut rest = [0; 512];
                while matches!(stream.read(&mut rest), Ok(1..)) {}
            }
            thread::sleep(Duration::from_millis(5));
        };
        if thread::Builder::new().stack_size(SMALL_STACK).spawn(client).is_err() {
            std::process::exit(crate::case::COULD_NOT_RUN);
        }
    }
    // The one that started this process holds its standard input.
    let _ = std::io::stdin().read(&mut [0]);
    std::process::exit(crate::case::HELD)
}

struct Usual {
    number: u64,
    address: SocketAddr,
    journal: Arc<Journal>,
    over: Arc<AtomicBool>,
    broken: Sender<String>,
}

impl Usual {
    /// Sends one request after the other.
    fn run(self) {
        let (mut open, mut n) = (None, 0);
        while !self.over.load(Ordering::Relaxed) {
            n += 1;
            let asked = read(SITE, self.number * 10_000 + n, PATIENCE_MS);
            let was_open = open.is_some();
            if !self.ask(&mut open, &asked) && was_open {
                // The close may have crossed the request, which is sent once more on a new connection.
                self.ask(&mut open, &asked);
            }
            thread::sleep(PAUSE);
        }
    }

    /// Sends a request on the open connection, or else on a new one, and waits for its answer. Returns false if the
    /// connection was shut: a new one may be, an open one if the close may have crossed the request.
    fn ask(&self, open: &mut Option<Reader>, asked: &Request) -> bool {
        let new = open.is_none();
        let Some(mut reader) = open.take().or_else(|| TcpStream::connect(self.address).ok().map(Reader::new))
        else {
            return false;
        };
        let limit = asked.patience + BEYOND_TIME;
        let _ = reader.stream.set_nodelay(true);
        let _ = reader.stream.set_read_timeout(Some(limit));
        let written = reader.stream.write_all(&asked.bytes);
        let sent = Instant::now();
        let answer = written.and_then(|()| reader.answer());
        let took = sent.elapsed();
        let connection = if new { "a new" } else { "an open" };
        let name = format!("usual client {} id={} on {connection} connection", self.number, asked.id);
        self.journal.note(format!(
            "{name}: {} after {took:?}",
            answer.as_ref().map_or_else(ToString::to_string, short)
        ));
        match answer {
            Ok(_) if took <= limit => {
                *open = Some(reader);
                return true;
            }
            Ok(_) => drop(self.broken.send(format!("{name}: answered after {took:?}"))),
            Err(why) if matches!(why.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                let _ = self.broken.send(format!("{name}: no answer and no close within {took:?}"));
            }
            Err(_) if new || took < CROSSING => return false,
            Err(why) => drop(self.broken.send(format!("{name}: closed after {took:?}, {why}"))),
        }
        true
    }
}

pub fn run(mut case: Case) -> ! {
    let discovery = case.start_platform(SITE, WORK);
    let mut proxy = Proxy::start(&case.temporary, SITE, &discovery, &case.journal, "");
    if !proxy.wait_ready() {
        case.could_not_run("the proxy is not ready");
    }
    let (broken, told) = channel();
    let over = Arc::new(AtomicBool::new(false));
    let threads: Vec<_> = (0..USUAL_CLIENTS)
        .map(|number| {
            let (address, journal, over) = (proxy.address, case.journal.clone(), over.clone());
            let usual = Usual { number, address, journal, over, broken: broken.clone() };
            thread::spawn(move || usual.run())
        })
        .collect();
    thread::sleep(CALM);
    let mut crowd = Vec::new();
    if case.trouble {
        let count = STOPPING_PROCESSES * STOPPING_PER_PROCESS;
        case.journal.note(format!("{count} clients come and stop in the middle of a command"));
        for _ in 0..STOPPING_PROCESSES {
            crowd.push(Helper::start(&["stopping", &proxy.address.to_string()]));
        }
    }
    thread::sleep(TROUBLE);
    over.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|thread| drop(thread.join()));
    drop(crowd);
    drop(broken);
    case.journal.note(format!(
        "the proxy has used {:.1} s of the processor, and at most {} KiB",
        proxy.processor_seconds(),
        proxy.peak_memory()
    ));
    if let Some(why) = proxy.ended() {
        case.broken(format!("the proxy has ended: {why}"));
    }
    told.iter().for_each(|what| case.broken(what));
    case.end(vec![proxy])
}
