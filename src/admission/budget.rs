//! Descriptors: how many downstreams and nodes may hold. Each has a part for sure; the rest goes to who comes
//! first.

/// Descriptors for what is neither downstream nor node: listeners, discovery, the poller, standard streams.
pub const RESERVE: usize = 32;
/// What side ports have for sure, and what they may have while others are there: parts of the downstreams'.
const SIDE_SURE: usize = 16;
const SIDE_MOST: usize = 4;

/// The two sorts of ports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PortKind {
    /// Where clients connect.
    Main,
    /// A feature's.
    Side,
}

/// The split, O(1) throughout.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    total: usize,
    /// What downstreams and what nodes have for sure.
    sure: usize,
    side_sure: usize,
}

impl Budget {
    /// Of `descriptors` that the process may hold, 64 at the least; `side_ports` are bound besides the main
    /// one.
    pub fn new(descriptors: usize, side_ports: usize) -> Self {
        let total = descriptors.max(2 * RESERVE) - RESERVE;
        let sure = total * 2 / 5;
        let side_sure = if side_ports > 0 { (sure / SIDE_SURE).max(2) } else { 0 };
        Budget { total, sure, side_sure }
    }

    /// Connections to nodes, with so many downstreams of each side open.
    pub fn node_limit(&self, [main, side]: [usize; 2]) -> usize {
        self.rest(main + side.max(self.side_sure))
    }

    /// Downstreams of all ports, with so many connections to nodes open.
    pub fn downstream_limit(&self, nodes: usize) -> usize {
        self.rest(nodes)
    }

    /// What is left beside so many of the others, who have their part for sure.
    fn rest(&self, others: usize) -> usize {
        self.total - others.clamp(self.sure, self.total - self.sure)
    }

    /// Downstreams of one sort of port, with so many of the other open.
    pub fn limit_of(&self, side: PortKind, nodes: usize, others: usize) -> usize {
        let all = self.downstream_limit(nodes);
        match side {
            PortKind::Main => all - others.clamp(self.side_sure, all),
            PortKind::Side if others == 0 => all,
            PortKind::Side => {
                (all / SIDE_MOST).max(self.side_sure).min(all - others.min(all - self.side_sure))
            }
        }
    }
}

#[cfg(test)]
mod tests;
