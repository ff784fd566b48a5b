//! The agent's own counters: those of the standard modules (RFC 3418, 3411, 3412, 3413, 3414) and those of
//! its notifications.

/// Counters since the start of the program. They wrap as Counter32 does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Stats {
    pub in_packets: u32,
    pub bad_versions: u32,
    pub bad_community_names: u32,
    pub bad_community_uses: u32,
    pub parse_errors: u32,
    pub silent_drops: u32,
    pub unknown_security_models: u32,
    pub invalid_messages: u32,
    pub unknown_pdu_handlers: u32,
    pub unknown_contexts: u32,
    pub unsupported_levels: u32,
    pub not_in_time_windows: u32,
    pub unknown_user_names: u32,
    pub unknown_engine_ids: u32,
    pub wrong_digests: u32,
    pub decryption_errors: u32,
}

/// Increments a counter, with wraparound.
pub fn increment(counter: &mut u32) {
    *counter = counter.wrapping_add(1);
}

/// Counters of one receiver of notifications.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Receiver {
    /// Address of the receiver.
    pub address: String,
    /// Whether it is sent informs, which it acknowledges, instead of traps.
    pub informs: bool,
    /// Notifications in its queue.
    pub queued: u64,
    /// Notifications sent.
    pub sent: u64,
    /// Informs acknowledged.
    pub acknowledged: u64,
    /// Informs sent again.
    pub resent: u64,
    /// Notifications dropped because the queue was full or they had waited too long.
    pub dropped: u64,
}

/// Counters of notifications.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Notifications {
    /// Sequence number of the last notification.
    pub sequence: u32,
    /// Changes that were reported late, merged with others, or not at all.
    pub held: u64,
    /// Counters of each receiver.
    pub receivers: Vec<Receiver>,
}
