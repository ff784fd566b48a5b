//! Requests as clients of the protocol page send them.

use crate::wire::*;
use crate::world::Site;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

static LAST_ID: AtomicU64 = AtomicU64::new(1);

/// An id that no other request of this program has. Ids tell nothing, so they are spread over all digits.
fn new_id() -> String {
    let n = LAST_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", n.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// A request as a client sends it.
pub struct Request {
    pub id: String,
    /// How long the client waits for the answer.
    pub patience: Duration,
    pub bytes: Vec<u8>,
}

/// A read of a key.
pub fn read(site: Site, key: u64, patience_ms: u64) -> Request {
    let id = new_id();
    let properties = format!("{},d={patience_ms}", site.read);
    let bytes = put_command(&[b"CACHE.GET", key_of(key).as_bytes(), id.as_bytes(), properties.as_bytes()]);
    Request { id, patience: Duration::from_millis(patience_ms), bytes }
}

/// A write of a key, with a value of this many bytes.
pub fn write(site: Site, key: u64, patience_ms: u64, value_bytes: usize) -> Request {
    let id = new_id();
    let properties = format!("{},d={patience_ms},k=k{id}", site.write);
    let value = vec![b'x'; value_bytes];
    let key = key_of(key);
    let words: [&[u8]; 5] = [b"CACHE.SET", key.as_bytes(), id.as_bytes(), properties.as_bytes(), &value];
    Request { bytes: put_command(&words), id, patience: Duration::from_millis(patience_ms) }
}

fn key_of(key: u64) -> String {
    format!("{:016x}", key.wrapping_mul(0xd6e8_feb8_6659_fd93))
}

/// An answer, for the record.
pub fn short(answer: &Answer) -> String {
    match answer {
        Answer::Served(value) => {
            format!("served {:?}", String::from_utf8_lossy(&value[..value.len().min(40)]))
        }
        other => format!("{other:?}"),
    }
}
