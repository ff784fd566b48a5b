//! SASL PLAIN: the client's single message (RFC 4616, section 2). Verifying the credentials is up to the
//! caller.

/// Name of the mechanism in requests and in the list of mechanisms.
pub const PLAIN: &str = "PLAIN";
/// Maximum length of each part of a message in bytes.
const MAX_PART_LEN: usize = 255;

/// The decoded message of a client. `Debug` is implemented by hand so that it omits the password.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Plain<'a> {
    /// Authorization identity; empty if it is the user itself.
    pub authzid: &'a [u8],
    /// Authentication identity: the user.
    pub user: &'a [u8],
    /// The password.
    pub password: &'a [u8],
}

impl std::fmt::Debug for Plain<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.debug_struct("Plain").field("user", &self.user.escape_ascii().to_string()).finish_non_exhaustive()
    }
}

/// Decodes a message: three parts separated by NUL. User and password must not be empty, and no part may be
/// longer than 255 bytes.
pub fn plain(message: &[u8]) -> Option<Plain<'_>> {
    let mut parts = message.split(|b| *b == 0);
    let (authzid, user, password) = (parts.next()?, parts.next()?, parts.next()?);
    let complete = parts.next().is_none() && !user.is_empty() && !password.is_empty();
    let within_limit = [authzid, user, password].iter().all(|part| part.len() <= MAX_PART_LEN);
    (complete && within_limit).then_some(Plain { authzid, user, password })
}
