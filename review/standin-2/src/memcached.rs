//! The few frames of the memcached binary protocol that a gateway of these cases sends and gets.

use crate::wire::Reader;
use std::io;

const REQUEST: u8 = 0x80;
const HEADER: usize = 24;

pub const GET: u8 = 0x00;
pub const SET: u8 = 0x01;
pub const NOOP: u8 = 0x0a;
pub const GETKQ: u8 = 0x0d;

/// A request; `extras` are the flags and the expiry of a SET.
pub fn request(opcode: u8, opaque: u32, key: &[u8], value: &[u8], cas: u64) -> Vec<u8> {
    let extras: &[u8] = if opcode == SET { &[0; 8] } else { &[] };
    let mut out = vec![REQUEST, opcode];
    out.extend((key.len() as u16).to_be_bytes());
    out.extend([extras.len() as u8, 0, 0, 0]);
    out.extend(((extras.len() + key.len() + value.len()) as u32).to_be_bytes());
    out.extend(opaque.to_be_bytes());
    out.extend(cas.to_be_bytes());
    out.extend(extras);
    out.extend(key);
    out.extend(value);
    out
}

/// A response: its status, the number of the request and the body.
pub struct Response {
    pub status: u16,
    pub opaque: u32,
    pub body: Vec<u8>,
}

pub fn response(reader: &mut Reader) -> io::Result<Response> {
    let head = reader.exact(HEADER)?;
    let length = u32::from_be_bytes([head[8], head[9], head[10], head[11]]);
    Ok(Response {
        status: u16::from_be_bytes([head[6], head[7]]),
        opaque: u32::from_be_bytes([head[12], head[13], head[14], head[15]]),
        body: reader.exact(length as usize)?,
    })
}
