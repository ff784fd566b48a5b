//! Validates a datagram before it is passed to an ASN.1 crate. A valid datagram is a tree of elements with
//! definite lengths that fills it to the last byte, with no more elements, nesting levels, arcs and digits
//! than SNMP needs. Validation copies and allocates nothing; its cost depends only on the length of the
//! datagram.
//!
//! Opaque, which the standard retains only for old agents, is rejected. RFC 3417, 8, allows SNMP only a
//! subset of BER: definite lengths, primitive strings, low tag numbers.

use std::ops::Range;

/// Maximum length of a datagram to read. RFC 3417 requires 484 and recommends 1472.
pub const MAX_DATAGRAM: usize = 4096;
/// Maximum nesting depth: message, scoped PDU, PDU, bindings, binding, value, and one to spare.
const MAX_DEPTH: usize = 7;
/// Maximum number of elements, enough for a GET of some hundred names.
const MAX_ELEMENTS: usize = 512;
/// Maximum number of encoded arcs of a name, from [`crate::oid::MAX_ARCS`]: BER packs the first two arcs into
/// one.
const MAX_ENCODED_ARCS: usize = crate::oid::MAX_ARCS - 1;

/// Why a datagram is not a valid SNMP message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

type Read<T> = Result<T, Malformed>;

/// Tags of the elements used by SNMP.
pub mod tag {
    /// INTEGER.
    pub const INTEGER: u8 = 0x02;
    /// OCTET STRING.
    pub const OCTETS: u8 = 0x04;
    /// NULL.
    pub const NULL: u8 = 0x05;
    /// OBJECT IDENTIFIER.
    pub const OID: u8 = 0x06;
    /// SEQUENCE.
    pub const SEQUENCE: u8 = 0x30;
    /// IpAddress.
    pub const ADDRESS: u8 = 0x40;
    /// Counter32; Gauge32 and TimeTicks are the next two tags.
    pub const COUNTER: u8 = 0x41;
    /// TimeTicks.
    pub const TICKS: u8 = 0x43;
    /// Counter64.
    pub const COUNTER64: u8 = 0x46;
}

/// An element: its tag and the range of its contents in the datagram.
#[derive(Clone, Debug)]
struct Element {
    tag: u8,
    contents: Range<usize>,
}

/// Reads the header of the element that starts at `at` and must end by `end`.
fn element(bytes: &[u8], at: usize, end: usize) -> Read<Element> {
    let byte = |i: usize| bytes.get(i).copied().filter(|_| i < end).ok_or(Malformed("truncated element"));
    let tag = byte(at)?;
    if tag & 0x1f == 0x1f {
        return Err(Malformed("tag of more than one byte"));
    }
    let first = byte(at + 1)?;
    let (length, start) = match first {
        0..=0x7f => (usize::from(first), at + 2),
        0x80 => return Err(Malformed("indefinite length")),
        0x81..=0x84 => {
            let n = usize::from(first & 0x7f);
            let mut length = 0usize;
            for i in 0..n {
                length = length << 8 | usize::from(byte(at + 2 + i)?);
            }
            (length, at + 2 + n)
        }
        _ => return Err(Malformed("length field of too many bytes")),
    };
    match start.checked_add(length).filter(|stop| *stop <= end) {
        Some(stop) => Ok(Element { tag, contents: start..stop }),
        None => Err(Malformed("element longer than its container")),
    }
}

/// Validates the contents of a name: complete arcs of 32 bits, not too many, none padded.
fn check_oid(contents: &[u8]) -> Read<()> {
    let (mut arcs, mut arc, mut within) = (0usize, 0u64, false);
    for byte in contents {
        if !within && *byte == 0x80 {
            return Err(Malformed("padded arc"));
        }
        arc = arc << 7 | u64::from(byte & 0x7f);
        if arc > u64::from(u32::MAX) {
            return Err(Malformed("arc of more than 32 bits"));
        }
        within = byte & 0x80 != 0;
        if !within {
            (arcs, arc) = (arcs + 1, 0);
        }
    }
    match (arcs, within) {
        (1..=MAX_ENCODED_ARCS, false) => Ok(()),
        (0, _) | (_, true) => Err(Malformed("empty or truncated object identifier")),
        _ => Err(Malformed("object identifier of too many arcs")),
    }
}

fn check_number(contents: &[u8], max_len: usize) -> Read<()> {
    match contents.len() {
        n if (1..=max_len).contains(&n) => Ok(()),
        _ => Err(Malformed("number of invalid length")),
    }
}

/// Checks that `bytes` consists of exactly one valid element.
pub fn check(bytes: &[u8]) -> Read<()> {
    if bytes.len() > MAX_DATAGRAM {
        return Err(Malformed("datagram too long"));
    }
    let outer = element(bytes, 0, bytes.len())?;
    if outer.contents.end != bytes.len() {
        return Err(Malformed("trailing bytes after the message"));
    }
    // End positions of the enclosing elements, innermost last.
    let (mut ends, mut depth, mut at, mut elements) = ([0usize; MAX_DEPTH], 0usize, 0usize, 0usize);
    let mut end = bytes.len();
    loop {
        if at == end {
            let Some(up) = depth.checked_sub(1) else { return Ok(()) };
            depth = up;
            end = ends[depth];
            if depth == 0 && at == end {
                return Ok(());
            }
            continue;
        }
        elements += 1;
        if elements > MAX_ELEMENTS {
            return Err(Malformed("too many elements"));
        }
        let child = element(bytes, at, end)?;
        let contents = &bytes[child.contents.clone()];
        match child.tag {
            tag::SEQUENCE | 0xa0..=0xa8 => {
                if depth == MAX_DEPTH {
                    return Err(Malformed("nesting too deep"));
                }
                ends[depth] = end;
                depth += 1;
                (at, end) = (child.contents.start, child.contents.end);
                continue;
            }
            tag::INTEGER => check_number(contents, 4)?,
            tag::COUNTER..=tag::TICKS => check_number(contents, 5)?,
            tag::COUNTER64 => check_number(contents, 9)?,
            tag::OID => check_oid(contents)?,
            tag::ADDRESS if contents.len() == 4 => {}
            tag::OCTETS => {}
            tag::NULL | 0x80..=0x82 if contents.is_empty() => {}
            _ => return Err(Malformed("element type not used by SNMP")),
        }
        at = child.contents.end;
    }
}

/// The first `N` elements of the sequence at `at`.
fn parts<const N: usize>(bytes: &[u8], at: usize) -> Read<[Element; N]> {
    let sequence = element(bytes, at, bytes.len())?;
    if sequence.tag != tag::SEQUENCE {
        return Err(Malformed("not a sequence"));
    }
    let mut next = sequence.contents.start;
    let mut all = [(); N].map(|()| Element { tag: 0, contents: 0..0 });
    for part in &mut all {
        *part = element(bytes, next, sequence.contents.end)?;
        next = part.contents.end;
    }
    Ok(all)
}

/// Version of the message: 0 for SNMPv1, 1 for SNMPv2c, 3 for SNMPv3.
pub fn version(bytes: &[u8]) -> Read<u8> {
    let [version] = parts::<1>(bytes, 0)?;
    match (version.tag, &bytes[version.contents]) {
        (tag::INTEGER, [v]) => Ok(*v),
        _ => Err(Malformed("missing version")),
    }
}

/// Range of the authentication parameters in an SNMPv3 message. The digest is computed over the message as
/// received, with zeros in this range, whichever length encodings the sender chose (RFC 3414, 6.3.2).
pub fn digest(bytes: &[u8]) -> Read<Range<usize>> {
    let [_, _, security] = parts::<3>(bytes, 0)?;
    let inner = bytes.get(security.contents.clone()).filter(|_| security.tag == tag::OCTETS);
    let inner = inner.ok_or(Malformed("missing security parameters"))?;
    let [_, _, _, _, digest] = parts::<5>(inner, 0)?;
    let at = security.contents.start;
    match digest.tag {
        tag::OCTETS => Ok(digest.contents.start + at..digest.contents.end + at),
        _ => Err(Malformed("missing authentication parameters")),
    }
}
