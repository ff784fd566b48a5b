//! What the agent counts of itself: the counters of the standard's own modules (RFC 3418, 3411, 3412, 3413,
//! 3414), and what became of its notifications.

/// Counted since the start; they wrap as Counter32 does.
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

/// Counts one more.
pub fn increment(counter: &mut u32) {
    *counter = counter.wrapping_add(1);
}

/// A receiver of notifications.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Receiver {
    /// Where it is.
    pub address: String,
    /// It is sent informs, which it acknowledges, and no traps.
    pub informs: bool,
    /// Waiting for it.
    pub queued: u64,
    /// Notifications sent, acknowledged, sent again, and dropped because too many waited or too long.
    pub sent: u64,
    /// See `sent`.
    pub acknowledged: u64,
    /// See `sent`.
    pub resent: u64,
    /// See `sent`.
    pub dropped: u64,
}

/// Notifications, all receivers together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Notifications {
    /// The number of the last one.
    pub sequence: u32,
    /// Changes that were told late, with others, or not at all.
    pub held: u64,
    /// By receiver.
    pub receivers: Vec<Receiver>,
}
