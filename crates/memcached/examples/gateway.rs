//! A gateway by hand: asks a server of the binary protocol and prints what it says, status and all.
//!
//!     cargo run -p memcached --example gateway -- ADDRESS [login USER PASSWORD] get KEY...
//!     cargo run -p memcached --example gateway -- ADDRESS [login USER PASSWORD] set KEY VALUE TOKEN
//!     cargo run -p memcached --example gateway -- ADDRESS [login USER PASSWORD] stat [GROUP]
//!
//! `get` asks for all keys quietly and ends with a NOOP, as gateways do for many reads at once; TOKEN is a
//! number in hexadecimal, the same in each try of a write.

use memcached::{frame, sasl, Limits, Opcode, Request, Response, Step};
use std::error::Error;
use std::io::{Read, Write};
use std::net::TcpStream;

type Done<T> = Result<T, Box<dyn Error>>;

struct Gateway {
    socket: TcpStream,
    input: Vec<u8>,
}

impl Gateway {
    fn send(&mut self, requests: &[Request]) -> Done<()> {
        let mut out = Vec::new();
        for request in requests {
            request.put(&mut out)?;
        }
        Ok(self.socket.write_all(&out)?)
    }

    /// Prints responses until one is the last.
    fn print(&mut self, last: impl Fn(&Response) -> bool) -> Done<()> {
        loop {
            let limits = Limits { value: 1024 * 1024, ..Limits::default() };
            match frame::response(&self.input, &limits) {
                Ok(Step::Complete(response, taken)) => {
                    let Response { opcode, status, opaque, cas, .. } = response;
                    let (key, value) = (response.key.escape_ascii(), response.value.escape_ascii());
                    let name = opcode.name().unwrap_or("?");
                    println!(
                        "{name} opaque={opaque} status=0x{:02x} cas={cas:x} key={key} {value}",
                        status.0
                    );
                    let over = last(&response);
                    self.input.drain(..taken);
                    if over {
                        return Ok(());
                    }
                }
                Ok(Step::Incomplete(_)) => {
                    let mut bytes = [0; 4096];
                    match self.socket.read(&mut bytes)? {
                        0 => return Err("closed".into()),
                        n => self.input.extend_from_slice(&bytes[..n]),
                    }
                }
                Err(fault) => return Err(format!("no response: {fault:?}").into()),
            }
        }
    }
}

fn main() -> Done<()> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let (address, mut words) = words.split_first().ok_or("an address is wanted")?;
    let mut gateway = Gateway { socket: TcpStream::connect(address)?, input: Vec::new() };
    if let ["login", user, password, rest @ ..] = words {
        let message = ["", user, password].join("\0");
        let auth = Request { key: sasl::PLAIN.as_bytes(), ..Request::new(Opcode::SASL_AUTH) };
        gateway.send(&[Request { value: message.as_bytes(), ..auth }])?;
        gateway.print(|_| true)?;
        words = rest;
    }
    match words {
        ["get", keys @ ..] => {
            let read = Request::new(Opcode::GETKQ);
            let reads =
                keys.iter().zip(0..).map(|(key, opaque)| Request { opaque, key: key.as_bytes(), ..read });
            let end = Request { opaque: keys.len() as u32, ..Request::new(Opcode::NOOP) };
            gateway.send(&reads.chain([end]).collect::<Vec<_>>())?;
            gateway.print(|response| response.opcode == Opcode::NOOP)
        }
        ["set", key, value, token] => {
            let cas = u64::from_str_radix(token, 16)?;
            let (key, value) = (key.as_bytes(), value.as_bytes());
            gateway.send(&[Request { extras: &[0; 8], key, value, cas, ..Request::new(Opcode::SET) }])?;
            gateway.print(|_| true)
        }
        ["stat", group @ ..] => {
            let key = group.first().unwrap_or(&"").as_bytes();
            gateway.send(&[Request { key, ..Request::new(Opcode::STAT) }])?;
            gateway.print(|response| response.key.is_empty())
        }
        _ => Err("get KEY..., set KEY VALUE TOKEN or stat [GROUP] is wanted".into()),
    }
}
