//! Names of managed objects, ordered as walks go (RFC 2578, 3.5: at most 128 arcs of 32 bits).

use std::fmt;

/// The most arcs of a name.
pub const MAX_ARCS: usize = 128;

/// A name: two arcs at least, [`MAX_ARCS`] at the most.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Oid(Vec<u32>);

impl Oid {
    /// A name of these arcs; the first two are bounded as BER packs them into one (X.690, 8.19.4).
    pub fn new(arcs: &[u32]) -> Option<Oid> {
        let [first, second, ..] = arcs else { return None };
        let packs = match first {
            0 | 1 => *second < 40,
            2 => *second <= u32::MAX - 80,
            _ => false,
        };
        (packs && arcs.len() <= MAX_ARCS).then(|| Oid(arcs.to_vec()))
    }

    /// Reads `1.3.6.1`, with or without a dot before it.
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

    /// Its arcs.
    pub fn arcs(&self) -> &[u32] {
        &self.0
    }

    /// A name below this one. What would be too long is cut: callers bound their indexes.
    pub fn child(&self, arcs: &[u32]) -> Oid {
        let mut all = Vec::with_capacity(self.0.len() + arcs.len());
        all.extend_from_slice(&self.0);
        all.extend_from_slice(arcs);
        all.truncate(MAX_ARCS);
        Oid(all)
    }

    /// Whether it is `root` or below it.
    pub fn is_under(&self, root: &Oid) -> bool {
        self.0.starts_with(&root.0)
    }

    /// The first name behind all that are below this one.
    pub fn subtree_end(&self) -> Option<Oid> {
        let mut arcs = self.0.clone();
        while arcs.last() == Some(&u32::MAX) {
            arcs.pop();
        }
        *arcs.last_mut()? += 1;
        Some(Oid(arcs))
    }

    /// How many bytes its contents take in BER.
    pub fn encoded_len(&self) -> usize {
        let packed = self.0.first().zip(self.0.get(1)).map_or(0, |(a, b)| u64::from(*a) * 40 + u64::from(*b));
        septets(packed) + self.0.iter().skip(2).map(|a| septets(u64::from(*a))).sum::<usize>()
    }
}

fn septets(arc: u64) -> usize {
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
