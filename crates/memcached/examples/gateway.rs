//! Sends commands to a server that speaks the memcached binary protocol and prints its responses with their
//! status.
//!
//!     cargo run -p memcached --example gateway -- ADDRESS [login USER PASSWORD] get KEY...
//!     cargo run -p memcached --example gateway -- ADDRESS [login USER PASSWORD] set KEY VALUE TOKEN
//!     cargo run -p memcached --example gateway -- ADDRESS [login USER PASSWORD] stat [GROUP]
//!
//! `get` sends quiet reads for all keys followed by a NOOP, as gateways do to batch reads. TOKEN is a
//! hexadecimal number that must be the same in each try of a write.

use memcached::{frame, sasl, Limits, Opcode, Request, Response, Step};
use std::error::Error;
use std::io::{Read, Write};
use std::net::TcpStream;

type GatewayResult<T> = Result<T, Box<dyn Error>>;

struct Gateway {
    socket: TcpStream,
    input: Vec<u8>,
}

impl Gateway {
    fn send(&mut self, requests: &[Request]) -> GatewayResult<()> {
        let mut out = Vec::new();
        for request in requests {
            request.put(&mut out)?;
        }
        Ok(self.socket.write_all(&out)?)
    }

    /// Prints responses up to and including the first for which `last` returns true.
    fn print(&mut self, last: impl Fn(&Response) -> bool) -> GatewayResult<()> {
        loop {
            let limits = Limits { value: 1024 * 1024, ..Limits::default() };
            match frame::response(&self.input, &limits) {
                Ok(Step::Complete(response, consumed)) => {
                    let Response { opcode, status, opaque, cas, .. } = response;
                    let (key, value) = (response.key.escape_ascii(), response.value.escape_ascii());
                    let name = opcode.name().unwrap_or("?");
                    println!(
                        "{name} opaque={opaque} status=0x{:02x} cas={cas:x} key={key} {value}",
                        status.0
                    );
                    let done = last(&response);
                    self.input.drain(..consumed);
                    if done {
                        return Ok(());
                    }
                }
                Ok(Step::Incomplete(_)) => {
                    let mut bytes = [0; 4096];
                    match self.socket.read(&mut bytes)? {
                        0 => return Err("connection closed by the server".into()),
                        n => self.input.extend_from_slice(&bytes[..n]),
                    }
                }
                Err(fault) => return Err(format!("invalid response: {fault:?}").into()),
            }
        }
    }
}

fn main() -> GatewayResult<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let (address, mut args) = args.split_first().ok_or("missing argument: ADDRESS")?;
    let mut gateway = Gateway { socket: TcpStream::connect(address)?, input: Vec::new() };
    if let ["login", user, password, rest @ ..] = args {
        let message = ["", user, password].join("\0");
        let auth = Request { key: sasl::PLAIN.as_bytes(), ..Request::new(Opcode::SASL_AUTH) };
        gateway.send(&[Request { value: message.as_bytes(), ..auth }])?;
        gateway.print(|_| true)?;
        args = rest;
    }
    match args {
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
        _ => Err("expected get KEY..., set KEY VALUE TOKEN or stat [GROUP]".into()),
    }
}
