//! The 24-byte header that starts every frame ("Packet Structure" of the protocol's description). All numbers
//! are big endian.

/// Length of a header in bytes.
pub const LEN: usize = 24;

/// Direction of a frame, given by its first byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Magic {
    /// 0x80: from client to server.
    Request,
    /// 0x81: from server to client.
    Response,
}

impl Magic {
    /// The magic byte on the wire.
    pub fn byte(self) -> u8 {
        match self {
            Magic::Request => 0x80,
            Magic::Response => 0x81,
        }
    }
}

/// The header fields after the magic byte, as decoded from the wire. No field is validated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Header {
    /// The opcode.
    pub opcode: u8,
    /// Length of the key in bytes.
    pub key: u16,
    /// Length of the extras in bytes.
    pub extras: u8,
    /// Data type: reserved. 0 means raw bytes, the only type defined.
    pub data_type: u8,
    /// The vbucket id in a request, the status in a response.
    pub vbucket_or_status: u16,
    /// Length of the body in bytes: extras, key and value together.
    pub body: u32,
    /// Opaque value that the server copies from a request into its responses.
    pub opaque: u32,
    /// Version of the item (compare-and-swap).
    pub cas: u64,
}

impl Header {
    /// Decodes the magic byte and the header after it; `None` if `bytes` is shorter than [`LEN`].
    pub fn read(bytes: &[u8]) -> Option<(u8, Header)> {
        let b: &[u8; LEN] = bytes.first_chunk()?;
        let u16_at = |at: usize| u16::from_be_bytes([b[at], b[at + 1]]);
        let u32_at = |at: usize| u32::from_be_bytes([b[at], b[at + 1], b[at + 2], b[at + 3]]);
        let header = Header {
            opcode: b[1],
            key: u16_at(2),
            extras: b[4],
            data_type: b[5],
            vbucket_or_status: u16_at(6),
            body: u32_at(8),
            opaque: u32_at(12),
            cas: (u64::from(u32_at(16)) << 32) | u64::from(u32_at(20)),
        };
        Some((b[0], header))
    }

    /// Appends the encoded header to `out`.
    pub fn put(&self, magic: Magic, out: &mut Vec<u8>) {
        out.extend_from_slice(&[magic.byte(), self.opcode]);
        out.extend_from_slice(&self.key.to_be_bytes());
        out.extend_from_slice(&[self.extras, self.data_type]);
        out.extend_from_slice(&self.vbucket_or_status.to_be_bytes());
        out.extend_from_slice(&self.body.to_be_bytes());
        out.extend_from_slice(&self.opaque.to_be_bytes());
        out.extend_from_slice(&self.cas.to_be_bytes());
    }

    /// Length of the value in bytes; `None` if extras and key are longer than the body.
    pub fn value(&self) -> Option<u32> {
        self.body.checked_sub(u32::from(self.extras) + u32::from(self.key))
    }
}
