//! Who may ask: SASL PLAIN (RFC 4616) against a file of passwords, read once, at the start.
//!
//! A line is `USER TENANT PASSWORD`; a password may hold spaces, `#` begins a comment at the start of a line.
//! The file holds secrets, so nobody but its owner may read or write it. Passwords are compared in a time
//! that depends on nothing that a caller does not know, are never shown and never logged.

use super::words::Tenant;
use crate::settings::Site;
use memcached::sasl;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::Read;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::time::Duration;

/// The largest file and the most users that make sense.
const SIZE: u64 = 256 * 1024;
const USERS: usize = 1024;
/// The longest user or password that PLAIN can say.
const PART: usize = 255;
/// What a wrong password costs, and how many a connection may try.
pub(super) const COST: Duration = Duration::from_secs(1);
pub(super) const TRIES: u32 = 3;

/// A password in a form whose comparison shows nothing of it, not its length either.
struct Secret([u8; PART + 1]);

impl Secret {
    /// `None` for what is longer than any password.
    fn new(password: &[u8]) -> Option<Secret> {
        let mut padded = [0; PART + 1];
        padded[0] = u8::try_from(password.len()).ok()?;
        padded.get_mut(1..=password.len())?.copy_from_slice(password);
        Some(Secret(padded))
    }

    /// In constant time: all bytes are looked at, whatever is found.
    fn is(&self, other: &Secret) -> bool {
        let differ = self.0.iter().zip(&other.0).fold(0, |differ, (a, b)| differ | (a ^ b));
        std::hint::black_box(differ) == 0
    }
}

pub struct Logins {
    users: BTreeMap<Vec<u8>, (Tenant, Secret)>,
    /// What an unknown user's password is compared with, so that it takes as long.
    nobody: Secret,
    /// Refused since this was told last, and who the last one said to be, if that is somebody known: else it
    /// could be a password at the wrong place.
    refused: Cell<u64>,
    last: RefCell<Option<String>>,
}

impl std::fmt::Debug for Logins {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.debug_struct("Logins").field("users", &self.users.len()).finish_non_exhaustive()
    }
}

/// Reads the file; an error names the file and the line, and nothing of a password.
pub fn load(path: &Path, site: &Site) -> Result<Logins, String> {
    let at = path.display();
    let failed = |e: std::io::Error| format!("memcachepasswords: {at}: {e}");
    let file = File::open(path).map_err(failed)?;
    // Of what was opened, not of what stands at the path by now.
    let metadata = file.metadata().map_err(failed)?;
    if !metadata.is_file() {
        return Err(format!("memcachepasswords: {at}: no regular file"));
    }
    if metadata.permissions().mode() & 0o077 != 0 {
        return Err(format!("memcachepasswords: {at}: others may read or write it, mode 0600 is wanted"));
    }
    let mut text = String::new();
    file.take(SIZE + 1).read_to_string(&mut text).map_err(failed)?;
    if text.len() as u64 > SIZE {
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
            return wrong("USER TENANT PASSWORD is wanted, with one space between them");
        };
        let sound = |part: &str| !part.is_empty() && part.len() <= PART && !part.contains('\0');
        let Some(secret) = Secret::new(password.as_bytes()).filter(|_| sound(user) && sound(password)) else {
            return wrong("a user and a password of 1 to 255 bytes are wanted");
        };
        let whose = match site.tenants.is_empty() {
            true => Some(Tenant { id: Default::default(), name: "".into() }),
            false => Tenant::named(tenant, site),
        };
        let Some(whose) = whose else { return wrong("an unknown tenant") };
        if users.insert(user.as_bytes().to_vec(), (whose, secret)).is_some() {
            return wrong("a user twice");
        }
        if users.len() > USERS {
            return wrong("more than 1024 users");
        }
    }
    let nobody = Secret([0; PART + 1]);
    Ok(Logins { users, nobody, refused: Cell::new(0), last: RefCell::default() })
}

impl Logins {
    /// Whose requests those of this connection are from now on; `None`, counted, where it is nobody's.
    pub(super) fn login(&self, message: &[u8]) -> Option<Tenant> {
        let plain = sasl::plain(message);
        let known = plain.and_then(|p| self.users.get(p.user));
        let said = plain.and_then(|p| Secret::new(p.password));
        let expected = known.map_or(&self.nobody, |(_, secret)| secret);
        // Nobody acts for anybody else here.
        let itself = plain.is_some_and(|p| p.authzid.is_empty() || p.authzid == p.user);
        let right = said.is_some_and(|said| expected.is(&said)) & itself;
        match known.filter(|_| right) {
            Some((tenant, _)) => Some(tenant.clone()),
            None => {
                self.refused.set(self.refused.get().saturating_add(1));
                let named = plain.filter(|_| known.is_some()).map(|p| p.user.escape_ascii().to_string());
                *self.last.borrow_mut() = named;
                None
            }
        }
    }

    /// How many were refused since this was told last, and the user that the last of them named, if known.
    pub fn told(&self) -> Option<(u64, Option<String>)> {
        let refused = self.refused.take();
        (refused > 0).then(|| (refused, self.last.take()))
    }
}

#[cfg(test)]
mod tests;
