//! Object identifiers, in lexicographic order, which is the order of walks (RFC 2578, 3.5: at most 128 arcs
//! of 32 bits).

use std::fmt;

/// Maximum number of arcs.
pub const MAX_ARCS: usize = 128;

/// An object identifier of 2 to [`MAX_ARCS`] arcs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Oid(Vec<u32>);

impl Oid {
    /// An object identifier of these arcs; `None` if they cannot be encoded. BER packs the first two arcs
    /// into one, which limits their values (X.690, 8.19.4).
    pub fn new(arcs: &[u32]) -> Option<Oid> {
        let [first, second, ..] = arcs else { return None };
        let encodable = match first {
            0 | 1 => *second < 40,
            2 => *second <= u32::MAX - 80,
            _ => false,
        };
        (encodable && arcs.len() <= MAX_ARCS).then(|| Oid(arcs.to_vec()))
    }

    /// Parses an identifier such as `1.3.6.1`, with or without a leading dot.
    pub fn parse(text: &str) -> Option<Oid> {
        let text = text.strip_prefix('.').unwrap_or(text);
        let digits = |part: &str| part.bytes().all(|b| b.is_ascii_digit());
        let arcs = text.split('.').map(|p| Some(p).filter(|p| digits(p)).and_then(|p| p.parse().ok()));
        Oid::new(&arcs.collect::<Option<Vec<u32>>>()?)
    }

    /// iso.org.dod.internet.private.enterprises.
    pub fn enterprises() -> Oid {
        Oid(vec![1, 3, 6, 1, 4, 1])
    }

    /// The arcs.
    pub fn arcs(&self) -> &[u32] {
        &self.0
    }

    /// A descendant of this identifier. The result is truncated to [`MAX_ARCS`]; callers limit the length of
    /// their indexes.
    pub fn child(&self, arcs: &[u32]) -> Oid {
        let mut all = Vec::with_capacity(self.0.len() + arcs.len());
        all.extend_from_slice(&self.0);
        all.extend_from_slice(arcs);
        all.truncate(MAX_ARCS);
        Oid(all)
    }

    /// Whether this identifier equals `root` or is a descendant of it.
    pub fn is_under(&self, root: &Oid) -> bool {
        self.0.starts_with(&root.0)
    }

    /// The first identifier after the subtree of this one.
    pub fn subtree_end(&self) -> Option<Oid> {
        let mut arcs = self.0.clone();
        while arcs.last() == Some(&u32::MAX) {
            arcs.pop();
        }
        *arcs.last_mut()? += 1;
        Some(Oid(arcs))
    }

    /// Length of the BER contents in bytes.
    pub fn encoded_len(&self) -> usize {
        let packed = self.0.first().zip(self.0.get(1)).map_or(0, |(a, b)| u64::from(*a) * 40 + u64::from(*b));
        base128_len(packed) + self.0.iter().skip(2).map(|a| base128_len(u64::from(*a))).sum::<usize>()
    }
}

fn base128_len(arc: u64) -> usize {
    (64 - arc.leading_zeros() as usize).max(1).div_ceil(7)
}

impl fmt::Display for Oid {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (i, arc) in self.0.iter().enumerate() {
            write!(f, "{}{arc}", if i > 0 { "." } else { "" })?;
        }
        Ok(())
    }
}
