//! What a link costs: latency that a relay adds and bytes a second that it carries, beside a bare connection.
//!
//! `cargo run --release -p lab --example links [LINKS...]`
//!
//! On each connection one message of 64 bytes at a time goes there and back, at a set rate for all connections
//! together; then all connections send as much as they can one way.

use lab::fleet::links::Links;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const MESSAGE: usize = 64;
/// Messages a second over all connections: a fleet's gossip and reports, not its crowd.
const RATE: u64 = 2000;
const LATENCY: Duration = Duration::from_secs(5);
const BULK: Duration = Duration::from_secs(2);
const CHUNK: usize = 64 * 1024;

/// Sends back what comes until the other side ends; or, told so by the first byte, counts it.
fn serve(listener: TcpListener, taken: Arc<AtomicU64>) {
    for socket in listener.incoming().flatten() {
        let taken = taken.clone();
        thread::spawn(move || {
            let mut socket = socket;
            let _ = socket.set_nodelay(true);
            let mut bytes = vec![0; CHUNK];
            while let Ok(n @ 1..) = socket.read(&mut bytes) {
                if bytes[0] == b'e' {
                    if socket.write_all(&bytes[..n]).is_err() {
                        return;
                    }
                } else {
                    taken.fetch_add(n as u64, Ordering::Relaxed);
                }
            }
        });
    }
}

fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpStream::connect(address)?;
    socket.set_nodelay(true)?;
    Ok(socket)
}

/// Round trips of all connections, in microseconds and in order.
fn latency(addresses: &[SocketAddr]) -> io::Result<Vec<f64>> {
    let every = Duration::from_micros(1_000_000 * addresses.len() as u64 / RATE);
    let from = Instant::now();
    let one = |(n, address): (usize, SocketAddr)| -> io::Result<Vec<f64>> {
        let mut socket = connect(address)?;
        let mut bytes = [b'e'; MESSAGE];
        let mut all = Vec::new();
        let mut due = from + every * n as u32 / addresses.len() as u32;
        while from.elapsed() < LATENCY {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            due += every;
            let sent = Instant::now();
            socket.write_all(&bytes)?;
            socket.read_exact(&mut bytes)?;
            all.push(sent.elapsed().as_secs_f64() * 1e6);
        }
        Ok(all)
    };
    let mut all = Vec::new();
    thread::scope(|scope| -> io::Result<()> {
        let threads: Vec<_> =
            addresses.iter().copied().enumerate().map(|of| scope.spawn(move || one(of))).collect();
        for thread in threads {
            all.extend(thread.join().map_err(|_| io::Error::other("a panic"))??);
        }
        Ok(())
    })?;
    all.sort_by(f64::total_cmp);
    Ok(all)
}

/// Bytes a second over all connections together.
fn bulk(addresses: &[SocketAddr], taken: &AtomicU64) -> io::Result<f64> {
    let over = AtomicBool::new(false);
    let sockets = addresses.iter().map(|a| connect(*a)).collect::<io::Result<Vec<_>>>()?;
    thread::scope(|scope| {
        for mut socket in sockets {
            let over = &over;
            scope.spawn(move || {
                let bytes = vec![b'x'; CHUNK];
                while !over.load(Ordering::Relaxed) && socket.write_all(&bytes).is_ok() {}
            });
        }
        thread::sleep(Duration::from_millis(300));
        let (from, before) = (Instant::now(), taken.load(Ordering::Relaxed));
        thread::sleep(BULK);
        let rate = (taken.load(Ordering::Relaxed) - before) as f64 / from.elapsed().as_secs_f64();
        over.store(true, Ordering::Relaxed);
        Ok(rate)
    })
}

fn at(sorted: &[f64], part: f64) -> f64 {
    sorted.get((sorted.len() as f64 * part) as usize).copied().unwrap_or(f64::NAN)
}

fn main() -> io::Result<()> {
    let counts: Vec<usize> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    let counts = if counts.is_empty() { vec![1, 20, 100] } else { counts };
    println!("| links | round trip bare, p50 / p99 us | through links | added | bare MB/s | through links | late p99 / worst us |");
    println!("| ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for count in counts {
        let links = Links::start(1)?;
        let taken = Arc::new(AtomicU64::new(0));
        let (mut bare, mut through) = (Vec::new(), Vec::new());
        for n in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let address = listener.local_addr()?;
            bare.push(address);
            through.push(links.tcp(&format!("f{n}"), "p0", "main", address)?);
            let taken = taken.clone();
            thread::spawn(move || serve(listener, taken));
        }
        let (a, b) = (latency(&bare)?, latency(&through)?);
        let late = links.lateness();
        let (c, d) = (bulk(&bare, &taken)?, bulk(&through, &taken)?);
        println!(
            "| {count} | {:.0} / {:.0} | {:.0} / {:.0} | {:.0} / {:.0} | {:.0} | {:.0} | {} / {} |",
            at(&a, 0.5),
            at(&a, 0.99),
            at(&b, 0.5),
            at(&b, 0.99),
            at(&b, 0.5) - at(&a, 0.5),
            at(&b, 0.99) - at(&a, 0.99),
            c / 1e6,
            d / 1e6,
            late.p99_us,
            late.worst_us
        );
    }
    Ok(())
}
