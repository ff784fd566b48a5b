//! The memcached binary protocol as gateways and nodes speak it: frames, responses, and a node that sends its
//! responses in two pieces.

use memcached::{frame as codec, header, Limits, Opcode, Request, Response, Step};
use std::io::{self, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Encodes a request.
pub fn frame(opcode: u8, key: &str, extras: &[u8], value: &[u8], cas: u64) -> Vec<u8> {
    let mut out = Vec::new();
    let request = Request { key: key.as_bytes(), extras, value, cas, ..Request::new(Opcode(opcode)) };
    request.put(&mut out).expect("the lengths fit");
    out
}

/// Reads a whole frame.
fn read_frame(from: &mut impl Read) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; header::LEN];
    from.read_exact(&mut bytes)?;
    let (_, header) = header::Header::read(&bytes).ok_or(io::ErrorKind::InvalidData)?;
    bytes.resize(header::LEN + header.body as usize, 0);
    from.read_exact(&mut bytes[header::LEN..])?;
    Ok(bytes)
}

/// Reads a response: its opcode and its status.
pub fn response(from: &mut BufReader<TcpStream>) -> io::Result<String> {
    let bytes = read_frame(from)?;
    let Ok(Step::Complete(response, _)) = codec::response(&bytes, &Limits::default()) else {
        return Err(io::ErrorKind::InvalidData.into());
    };
    let (opcode, status) = (response.opcode, response.status.0);
    let name = opcode.name().map_or_else(|| format!("0x{:02x}", opcode.0), str::to_owned);
    Ok(format!("{name} 0x{status:02x}"))
}

/// How nodes respond to reads: in two pieces, each response cut one byte behind the one before.
#[derive(Clone, Debug)]
pub struct NodeReply {
    /// The length of the value.
    pub value: usize,
    /// The pause between the pieces.
    pub pause: Duration,
    /// The responses so far, of all nodes.
    pub responses: Arc<AtomicUsize>,
}

impl NodeReply {
    /// Answers the requests of a connection.
    pub fn serve(&self, mut socket: TcpStream) -> io::Result<()> {
        socket.set_nodelay(true)?;
        let value = vec![b'v'; self.value];
        let mut from = BufReader::new(socket.try_clone()?);
        loop {
            let bytes = read_frame(&mut from)?;
            let Ok(Step::Complete(request, _)) = codec::request(&bytes, &Limits::default()) else {
                return Err(io::ErrorKind::InvalidData.into());
            };
            let response = Response::new(request.opcode, request.opaque);
            let response = match request.opcode {
                Opcode::GET => Response { extras: &[0; 4], value: &value, ..response },
                _ => response,
            };
            let mut out = Vec::new();
            response.put(&mut out).expect("the lengths fit");
            let cut = 1 + self.responses.fetch_add(1, Ordering::Relaxed) % (out.len() - 1);
            socket.write_all(&out[..cut])?;
            std::thread::sleep(self.pause);
            socket.write_all(&out[cut..])?;
        }
    }
}
