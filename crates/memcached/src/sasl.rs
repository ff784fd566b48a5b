//! SASL PLAIN: the one message of a client (RFC 4616, section 2). Who may come in with it is the caller's.

/// The name of the mechanism, as commands and lists bear it.
pub const PLAIN: &str = "PLAIN";
/// The longest part of a message that makes sense.
const PART: usize = 255;

/// What a client says of itself. It has no `Debug` that would show the password.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Plain<'a> {
    /// Whom it wants to act for; empty where that is itself.
    pub authzid: &'a [u8],
    /// Who it is.
    pub user: &'a [u8],
    /// What only it knows.
    pub password: &'a [u8],
}

impl std::fmt::Debug for Plain<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.debug_struct("Plain").field("user", &self.user.escape_ascii().to_string()).finish_non_exhaustive()
    }
}

/// Three parts with a NUL between them; the last two are not empty, and none is longer than 255 bytes.
pub fn plain(message: &[u8]) -> Option<Plain<'_>> {
    let mut parts = message.split(|b| *b == 0);
    let (authzid, user, password) = (parts.next()?, parts.next()?, parts.next()?);
    let whole = parts.next().is_none() && !user.is_empty() && !password.is_empty();
    let short = [authzid, user, password].iter().all(|part| part.len() <= PART);
    (whole && short).then_some(Plain { authzid, user, password })
}
