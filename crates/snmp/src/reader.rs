//! The bounds of a datagram, checked before an ASN.1 crate sees it: what passes is a tree of definite lengths
//! that fills the datagram to its last byte, with no more elements, levels, arcs and digits than SNMP has use
//! for. Nothing is copied and nothing allocated; the work grows with the datagram's length alone.
//!
//! Opaque, which the standard keeps for old agents alone, does not pass. RFC 3417, 8, allows SNMP only a part of BER: definite lengths, primitive strings, low tag numbers.

use std::ops::Range;

/// The longest datagram that is read. RFC 3417 wants 484 and recommends 1472.
pub const MAX_DATAGRAM: usize = 4096;
/// Levels: message, scoped PDU, PDU, bindings, binding, value, and one to spare.
const MAX_DEPTH: usize = 7;
/// Elements in all: a GET of some hundred names.
const MAX_ELEMENTS: usize = 512;
/// Arcs of a name, as [`crate::oid::MAX_ARCS`]; BER packs the first two into one.
const MAX_ENCODED_ARCS: usize = crate::oid::MAX_ARCS - 1;

/// Why a datagram is none of SNMP's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

type Read<T> = Result<T, Malformed>;

/// The tags in use.
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
    /// Counter32, Gauge32 and TimeTicks are this and the next two.
    pub const COUNTER: u8 = 0x41;
    /// TimeTicks.
    pub const TICKS: u8 = 0x43;
    /// Counter64.
    pub const COUNTER64: u8 = 0x46;
}

/// An element: its tag and where its contents lie in the whole.
#[derive(Clone, Debug)]
struct Element {
    tag: u8,
    contents: Range<usize>,
}

/// The element that begins at `at` and ends before `end`.
fn element(bytes: &[u8], at: usize, end: usize) -> Read<Element> {
    let byte =
        |i: usize| bytes.get(i).copied().filter(|_| i < end).ok_or(Malformed("it ends within an element"));
    let tag = byte(at)?;
    if tag & 0x1f == 0x1f {
        return Err(Malformed("a tag of more than a byte"));
    }
    let first = byte(at + 1)?;
    let (length, start) = match first {
        0..=0x7f => (usize::from(first), at + 2),
        0x80 => return Err(Malformed("an indefinite length")),
        0x81..=0x84 => {
            let n = usize::from(first & 0x7f);
            let mut length = 0usize;
            for i in 0..n {
                length = length << 8 | usize::from(byte(at + 2 + i)?);
            }
            (length, at + 2 + n)
        }
        _ => return Err(Malformed("a length of too many bytes")),
    };
    match start.checked_add(length).filter(|stop| *stop <= end) {
        Some(stop) => Ok(Element { tag, contents: start..stop }),
        None => Err(Malformed("an element longer than what holds it")),
    }
}

/// Whether the contents of a name are sound: whole arcs of 32 bits, not too many, none padded.
fn name(contents: &[u8]) -> Read<()> {
    let (mut arcs, mut arc, mut within) = (0usize, 0u64, false);
    for byte in contents {
        if !within && *byte == 0x80 {
            return Err(Malformed("a padded arc"));
        }
        arc = arc << 7 | u64::from(byte & 0x7f);
        if arc > u64::from(u32::MAX) {
            return Err(Malformed("an arc of more than 32 bits"));
        }
        within = byte & 0x80 != 0;
        if !within {
            (arcs, arc) = (arcs + 1, 0);
        }
    }
    match (arcs, within) {
        (1..=MAX_ENCODED_ARCS, false) => Ok(()),
        (0, _) | (_, true) => Err(Malformed("a name that is not whole")),
        _ => Err(Malformed("a name of too many arcs")),
    }
}

fn number(contents: &[u8], most: usize) -> Read<()> {
    match contents.len() {
        n if (1..=most).contains(&n) => Ok(()),
        _ => Err(Malformed("a number of too few or too many bytes")),
    }
}

/// Checks that the whole of `bytes` is one sound element.
pub fn check(bytes: &[u8]) -> Read<()> {
    if bytes.len() > MAX_DATAGRAM {
        return Err(Malformed("a datagram that is too long"));
    }
    let whole = element(bytes, 0, bytes.len())?;
    if whole.contents.end != bytes.len() {
        return Err(Malformed("bytes behind the message"));
    }
    // The ends of the elements that hold the one being read, innermost last.
    let (mut ends, mut depth, mut at, mut seen) = ([0usize; MAX_DEPTH], 0usize, 0usize, 0usize);
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
        seen += 1;
        if seen > MAX_ELEMENTS {
            return Err(Malformed("too many elements"));
        }
        let one = element(bytes, at, end)?;
        let contents = &bytes[one.contents.clone()];
        match one.tag {
            tag::SEQUENCE | 0xa0..=0xa8 => {
                if depth == MAX_DEPTH {
                    return Err(Malformed("too many levels"));
                }
                ends[depth] = end;
                depth += 1;
                (at, end) = (one.contents.start, one.contents.end);
                continue;
            }
            tag::INTEGER => number(contents, 4)?,
            tag::COUNTER..=tag::TICKS => number(contents, 5)?,
            tag::COUNTER64 => number(contents, 9)?,
            tag::OID => name(contents)?,
            tag::ADDRESS if contents.len() == 4 => {}
            tag::OCTETS => {}
            tag::NULL | 0x80..=0x82 if contents.is_empty() => {}
            _ => return Err(Malformed("an element that SNMP has no use for")),
        }
        at = one.contents.end;
    }
}

/// The elements of the sequence that lies at `at`, as many as `N`.
fn parts<const N: usize>(bytes: &[u8], at: usize) -> Read<[Element; N]> {
    let sequence = element(bytes, at, bytes.len())?;
    if sequence.tag != tag::SEQUENCE {
        return Err(Malformed("no sequence"));
    }
    let mut next = sequence.contents.start;
    let mut all = [(); N].map(|()| Element { tag: 0, contents: 0..0 });
    for part in &mut all {
        *part = element(bytes, next, sequence.contents.end)?;
        next = part.contents.end;
    }
    Ok(all)
}

/// The message's version: 0 for SNMPv1, 1 for SNMPv2c, 3 for SNMPv3.
pub fn version(bytes: &[u8]) -> Read<u8> {
    let [version] = parts::<1>(bytes, 0)?;
    match (version.tag, &bytes[version.contents]) {
        (tag::INTEGER, [v]) => Ok(*v),
        _ => Err(Malformed("no version")),
    }
}

/// Where the authentication parameters lie in an SNMPv3 message (RFC 3414, 6.3.2: the digest is made over the
/// message as it came, with zeros there, whatever forms of length its sender chose).
pub fn digest(bytes: &[u8]) -> Read<Range<usize>> {
    let [_, _, security] = parts::<3>(bytes, 0)?;
    let inner = bytes.get(security.contents.clone()).filter(|_| security.tag == tag::OCTETS);
    let inner = inner.ok_or(Malformed("no security parameters"))?;
    let [_, _, _, _, digest] = parts::<5>(inner, 0)?;
    let at = security.contents.start;
    match digest.tag {
        tag::OCTETS => Ok(digest.contents.start + at..digest.contents.end + at),
        _ => Err(Malformed("no digest")),
    }
}
