//! Authentication with SASL PLAIN (RFC 4616) against a file of passwords, which is read once at the start.
//!
//! A line is `USER TENANT PASSWORD`; a password may contain spaces, and `#` at the start of a line begins a
//! comment. The file holds secrets, so only its owner may read or write it. Passwords are compared in a time
//! that depends only on what the caller knows, and are never shown or logged.

use super::mapping::Tenant;
use crate::settings::Site;
use memcached::sasl;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::Read;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::time::Duration;

/// The largest accepted file and number of users.
const MAX_FILE_BYTES: u64 = 256 * 1024;
const MAX_USERS: usize = 1024;
/// The longest user or password that PLAIN can carry.
const MAX_FIELD_BYTES: usize = 255;
/// The delay of the answer to a failed login, and how many a connection may make.
pub(super) const FAILURE_DELAY: Duration = Duration::from_secs(1);
pub(super) const MAX_FAILED_LOGINS: u32 = 3;

/// A padded password, whose comparison reveals nothing of it, not even its length.
struct Secret([u8; MAX_FIELD_BYTES + 1]);

impl Secret {
    /// `None` if it is longer than any password.
    fn new(password: &[u8]) -> Option<Secret> {
        let mut padded = [0; MAX_FIELD_BYTES + 1];
        padded[0] = u8::try_from(password.len()).ok()?;
        padded.get_mut(1..=password.len())?.copy_from_slice(password);
        Some(Secret(padded))
    }

    /// Compares in constant time: every byte is visited, whatever is found.
    fn equals(&self, other: &Secret) -> bool {
        let differ = self.0.iter().zip(&other.0).fold(0, |differ, (a, b)| differ | (a ^ b));
        std::hint::black_box(differ) == 0
    }
}

pub struct Logins {
    users: BTreeMap<Vec<u8>, (Tenant, Secret)>,
    /// The password of an unknown user is compared with this, so that it takes as long.
    dummy: Secret,
    /// The logins refused since the last report, and the user of the last one if it is known; an unknown name
    /// could be a password typed into the wrong field.
    refused: Cell<u64>,
    last_user: RefCell<Option<String>>,
}

impl std::fmt::Debug for Logins {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.debug_struct("Logins").field("users", &self.users.len()).finish_non_exhaustive()
    }
}

/// Reads the file. An error names the file and the line, and nothing of a password.
pub fn load(path: &Path, site: &Site) -> Result<Logins, String> {
    let at = path.display();
    let failed = |e: std::io::Error| format!("memcachepasswords: {at}: {e}");
    let file = File::open(path).map_err(failed)?;
    // Checks the opened file, not whatever is at the path by now.
    let metadata = file.metadata().map_err(failed)?;
    if !metadata.is_file() {
        return Err(format!("memcachepasswords: {at}: not a regular file"));
    }
    if metadata.permissions().mode() & 0o077 != 0 {
        return Err(format!("memcachepasswords: {at}: group or others may read or write it; set mode 0600"));
    }
    let mut text = String::new();
    file.take(MAX_FILE_BYTES + 1).read_to_string(&mut text).map_err(failed)?;
    if text.len() as u64 > MAX_FILE_BYTES {
        return Err(format!("memcachepasswords: {at}: larger than 256 KB"));
    }
    read(&text, site).map_err(|(line, what)| format!("memcachepasswords: {at}:{line}: {what}"))
}

fn read(text: &str, site: &Site) -> Result<Logins, (usize, String)> {
    let mut users = BTreeMap::new();
    for (i, line) in text.lines().enumerate() {
        if line.trim().is_empty() || line.starts_with('#') {
            continue;
        }
        let wrong = |what: &str| Err((i + 1, what.to_owned()));
        let mut parts = line.splitn(3, ' ');
        let (user, tenant, password) = (parts.next(), parts.next(), parts.next());
        let (Some(user), Some(tenant), Some(password)) = (user, tenant, password) else {
            return wrong("expected USER TENANT PASSWORD, separated by single spaces");
        };
        let is_valid_field =
            |part: &str| !part.is_empty() && part.len() <= MAX_FIELD_BYTES && !part.contains('\0');
        let Some(secret) =
            Secret::new(password.as_bytes()).filter(|_| is_valid_field(user) && is_valid_field(password))
        else {
            return wrong("user and password must have 1 to 255 bytes");
        };
        let owner = match site.tenants.is_empty() {
            true => Some(Tenant { id: Default::default(), name: "".into() }),
            false => Tenant::named(tenant, site),
        };
        let Some(owner) = owner else { return wrong("unknown tenant") };
        if users.insert(user.as_bytes().to_vec(), (owner, secret)).is_some() {
            return wrong("duplicate user");
        }
        if users.len() > MAX_USERS {
            return wrong("more than 1024 users");
        }
    }
    let dummy = Secret([0; MAX_FIELD_BYTES + 1]);
    Ok(Logins { users, dummy, refused: Cell::new(0), last_user: RefCell::default() })
}

impl Logins {
    /// The tenant of the user that logs in; `None`, and counted, if the login is refused.
    pub(super) fn login(&self, message: &[u8]) -> Option<Tenant> {
        let plain = sasl::plain(message);
        let known = plain.and_then(|p| self.users.get(p.user));
        let given = plain.and_then(|p| Secret::new(p.password));
        let expected = known.map_or(&self.dummy, |(_, secret)| secret);
        // A user may not act for another one.
        let for_itself = plain.is_some_and(|p| p.authzid.is_empty() || p.authzid == p.user);
        let right = given.is_some_and(|given| expected.equals(&given)) & for_itself;
        match known.filter(|_| right) {
            Some((tenant, _)) => Some(tenant.clone()),
            None => {
                self.refused.set(self.refused.get().saturating_add(1));
                let named = plain.filter(|_| known.is_some()).map(|p| p.user.escape_ascii().to_string());
                *self.last_user.borrow_mut() = named;
                None
            }
        }
    }

    /// The number of logins refused since the last call, and the user of the last one, if known.
    pub fn take_refused(&self) -> Option<(u64, Option<String>)> {
        let refused = self.refused.take();
        (refused > 0).then(|| (refused, self.last_user.take()))
    }
}

#[cfg(test)]
mod tests;
