//! Splits the file descriptors between downstreams and connections to nodes. Each side has a guaranteed
//! share; the rest goes to whichever takes it first.

/// Descriptors for everything that is neither a downstream nor a connection to a node: listeners, discovery,
/// the poller and the standard streams.
pub const RESERVE: usize = 32;
/// The guaranteed share of side ports and, while the main port has connections, their maximum, both as a
/// fraction (1/16 and 1/4) of what downstreams may hold.
const SIDE_GUARANTEED_DIVISOR: usize = 16;
const SIDE_MAX_DIVISOR: usize = 4;

/// The two kinds of listening ports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PortKind {
    /// The port for clients.
    Main,
    /// A port opened by an optional feature.
    Side,
}

/// The split of the descriptors. All methods are O(1).
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    total: usize,
    /// The share guaranteed to downstreams, and the equal share guaranteed to node connections.
    guaranteed: usize,
    side_guaranteed: usize,
}

impl Budget {
    /// `descriptors` is the process limit, at least 64; `side_ports` is the number of listening ports besides
    /// the main one.
    pub fn new(descriptors: usize, side_ports: usize) -> Self {
        let total = descriptors.max(2 * RESERVE) - RESERVE;
        let guaranteed = total * 2 / 5;
        let side_guaranteed = if side_ports > 0 { (guaranteed / SIDE_GUARANTEED_DIVISOR).max(2) } else { 0 };
        Budget { total, guaranteed, side_guaranteed }
    }

    /// The limit on connections to nodes while this many downstreams of each kind are open.
    pub fn node_limit(&self, [main, side]: [usize; 2]) -> usize {
        self.remaining(main + side.max(self.side_guaranteed))
    }

    /// The limit on downstreams of all ports while this many connections to nodes are open.
    pub fn downstream_limit(&self, nodes: usize) -> usize {
        self.remaining(nodes)
    }

    /// What is left beside `others` descriptors of the other party, which always keeps its guaranteed share.
    fn remaining(&self, others: usize) -> usize {
        self.total - others.clamp(self.guaranteed, self.total - self.guaranteed)
    }

    /// The limit on downstreams of one kind of port while `others` of the other kind are open.
    pub fn limit_of(&self, side: PortKind, nodes: usize, others: usize) -> usize {
        let all = self.downstream_limit(nodes);
        match side {
            PortKind::Main => all - others.clamp(self.side_guaranteed, all),
            PortKind::Side if others == 0 => all,
            PortKind::Side => (all / SIDE_MAX_DIVISOR)
                .max(self.side_guaranteed)
                .min(all - others.min(all - self.side_guaranteed)),
        }
    }
}

#[cfg(test)]
mod tests;
