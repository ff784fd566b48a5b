//! Toy servers to try martenweir with: two cache nodes, an origin that makes up values, and discovery, all on
//! loopback. Start it with `cargo run --example toy_server`, then martenweir with `examples/config.json`.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Result, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

type Store = Arc<Mutex<HashMap<String, String>>>;

fn serve(address: &str, handler: impl Fn(TcpStream) -> Result<()> + Clone + Send + 'static) -> Result<()> {
    let listener = TcpListener::bind(address)?;
    println!("listening on {address}");
    spawn(move || {
        for socket in listener.incoming().flatten() {
            let handler = handler.clone();
            spawn(move || handler(socket));
        }
    });
    Ok(())
}

fn read_line_trimmed(from: &mut impl BufRead) -> Result<Option<String>> {
    let mut line = String::new();
    Ok((from.read_line(&mut line)? > 0).then(|| line.trim_end().to_owned()))
}

/// Runs a cache node, which answers a key that it does not hold with a miss. The origin does not fill the
/// nodes in this example, so the node stores the value itself after a miss.
fn serve_cache(socket: TcpStream, name: &str, store: &Store) -> Result<()> {
    let mut from = BufReader::new(socket.try_clone()?);
    let mut to = socket;
    while let Some(head) = read_line_trimmed(&mut from)? {
        let mut words = Vec::new();
        for _ in 0..head.trim_start_matches('*').parse().unwrap_or(0) {
            read_line_trimmed(&mut from)?;
            words.extend(read_line_trimmed(&mut from)?);
        }
        println!("{name}: {}", words.join(" "));
        let Some(key) = words.get(1).filter(|_| words[0] == "CACHE.GET") else {
            to.write_all(b"$14\r\nutil=0.1,eps=0\r\n")?;
            continue;
        };
        let stored = store.lock().expect("the store").insert(key.clone(), format!("value of {key}"));
        match stored {
            Some(value) => write!(to, "*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n", value.len())?,
            None => to.write_all(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n")?,
        }
    }
    Ok(())
}

/// Reads the head of an HTTP request and returns its request line and the length of its body.
fn read_request_head(from: &mut impl BufRead) -> Result<Option<(String, usize)>> {
    let Some(first) = read_line_trimmed(from)? else { return Ok(None) };
    let mut length = 0;
    while let Some(header) = read_line_trimmed(from)?.filter(|h| !h.is_empty()) {
        let value = header.strip_prefix("Content-Length: ").and_then(|n| n.parse().ok());
        length = value.unwrap_or(length);
    }
    Ok(Some((first, length)))
}

fn serve_origin(socket: TcpStream, stores: &[Store]) -> Result<()> {
    let mut from = BufReader::new(socket.try_clone()?);
    let mut to = socket;
    while let Some((first, length)) = read_request_head(&mut from)? {
        from.read_exact(&mut vec![0; length])?;
        println!("origin: {first}");
        sleep(Duration::from_millis(80));
        let key = first.split(['/', ' ']).nth(2).unwrap_or_default().to_owned();
        let body =
            if first.starts_with("PUT") { format!("written {key}") } else { format!("value of {key}") };
        if first.starts_with("PUT") {
            stores.iter().for_each(|s| drop(s.lock().expect("the store").remove(&key)));
        }
        write!(to, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
    }
    Ok(())
}

fn serve_discovery(mut socket: TcpStream) -> Result<()> {
    let mut from = BufReader::new(socket.try_clone()?);
    read_request_head(&mut from)?;
    socket.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    loop {
        socket.write_all(b"1\r\n\n\r\n")?;
        sleep(Duration::from_secs(2));
    }
}

fn main() -> Result<()> {
    let stores: Vec<Store> = vec![Store::default(), Store::default()];
    for (i, store) in stores.iter().cloned().enumerate() {
        serve(&format!("127.0.0.1:{}", 7001 + i), move |s| {
            serve_cache(s, &format!("node {}", i + 1), &store)
        })?;
    }
    serve("127.0.0.1:7010", move |s| serve_origin(s, &stores))?;
    serve("127.0.0.1:7020", serve_discovery)?;
    loop {
        sleep(Duration::from_secs(3600));
    }
}
