//! Users of SNMPv3's User-based Security Model (USM): keys derived from passphrases and their localisation
//! (RFC 3414, 2.6 and A.2), HMAC-SHA-2 authentication (RFC 7860) and AES-128 privacy (RFC 3826).
//!
//! The older algorithms (MD5, SHA-1, DES) are not supported: RFC 7860 and 3826 replace them, and this code
//! does not need to interoperate with equipment limited to them.

use crate::message::{Data, Flags, Header, Scoped, Secured, Security};
use crate::{reader, Micros};
use aes::Aes128;
use cfb_mode::cipher::{AsyncStreamCipher, KeyIvInit};
use hmac::{Hmac, Mac};
use sha2::{Digest, Sha224, Sha256, Sha384, Sha512};
use subtle::ConstantTimeEq;

/// Maximum length of a user name in bytes (RFC 3414, 5, usmUserSecurityName: 32).
pub const MAX_USER_NAME: usize = 32;
/// Minimum length of a passphrase (RFC 3414, 11.2).
pub const MIN_PASSPHRASE: usize = 8;
/// Maximum difference between the time in a message and the engine's time, in seconds (RFC 3414, 2.2.3).
pub const TIME_WINDOW: u32 = 150;
/// Largest value of snmpEngineBoots. Once it is reached, every message is outside the time window (RFC 3414,
/// 2.2.3).
pub const MAX_BOOTS: u32 = i32::MAX as u32;
/// Length to which a passphrase is repeated before it is hashed (RFC 3414, A.2.1).
const EXPANDED_LEN: usize = 1 << 20;
const AES_KEY_LEN: usize = 16;
const SALT_LEN: usize = 8;

/// Authentication protocols (RFC 7860, 4).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Auth {
    /// usmHMAC128SHA224AuthProtocol.
    Sha224,
    /// usmHMAC192SHA256AuthProtocol.
    Sha256,
    /// usmHMAC256SHA384AuthProtocol.
    Sha384,
    /// usmHMAC384SHA512AuthProtocol.
    Sha512,
}

fn expand<D: Digest>(passphrase: &[u8]) -> Vec<u8> {
    // Hashes whole repetitions at a time: a megabyte takes some milliseconds, once for each user.
    let mut hash = D::new();
    let mut block = passphrase.repeat(1024 / passphrase.len().max(1) + 1);
    let mut left = EXPANDED_LEN;
    while left > 0 && !block.is_empty() {
        block.truncate(left);
        hash.update(&block);
        left -= block.len();
    }
    hash.finalize().to_vec()
}

fn localise<D: Digest>(key: &[u8], engine: &[u8]) -> Vec<u8> {
    D::new().chain_update(key).chain_update(engine).chain_update(key).finalize().to_vec()
}

/// HMAC (RFC 2104) accepts keys of any length, so creating it cannot fail.
fn hmac<M: Mac + hmac::digest::KeyInit>(key: &[u8], pieces: &[&[u8]]) -> Vec<u8> {
    let Ok(mut mac) = <M as Mac>::new_from_slice(key) else { return Vec::new() };
    pieces.iter().for_each(|p| mac.update(p));
    mac.finalize().into_bytes().to_vec()
}

impl Auth {
    /// The protocol with this name in settings and on the command line.
    pub fn named(name: &str) -> Option<Auth> {
        [
            ("sha224", Auth::Sha224),
            ("sha256", Auth::Sha256),
            ("sha384", Auth::Sha384),
            ("sha512", Auth::Sha512),
        ]
        .into_iter()
        .find(|(n, _)| *n == name)
        .map(|(_, auth)| auth)
    }

    /// Length of its digests in bytes.
    pub fn digest_len(self) -> usize {
        match self {
            Auth::Sha224 => 16,
            Auth::Sha256 => 24,
            Auth::Sha384 => 32,
            Auth::Sha512 => 48,
        }
    }

    /// Derives the key of a passphrase, before localisation.
    fn key(self, passphrase: &[u8]) -> Vec<u8> {
        match self {
            Auth::Sha224 => expand::<Sha224>(passphrase),
            Auth::Sha256 => expand::<Sha256>(passphrase),
            Auth::Sha384 => expand::<Sha384>(passphrase),
            Auth::Sha512 => expand::<Sha512>(passphrase),
        }
    }

    fn localise(self, key: &[u8], engine: &[u8]) -> Vec<u8> {
        match self {
            Auth::Sha224 => localise::<Sha224>(key, engine),
            Auth::Sha256 => localise::<Sha256>(key, engine),
            Auth::Sha384 => localise::<Sha384>(key, engine),
            Auth::Sha512 => localise::<Sha512>(key, engine),
        }
    }

    fn digest(self, key: &[u8], pieces: &[&[u8]]) -> Vec<u8> {
        let mut digest = match self {
            Auth::Sha224 => hmac::<Hmac<Sha224>>(key, pieces),
            Auth::Sha256 => hmac::<Hmac<Sha256>>(key, pieces),
            Auth::Sha384 => hmac::<Hmac<Sha384>>(key, pieces),
            Auth::Sha512 => hmac::<Hmac<Sha512>>(key, pieces),
        };
        digest.truncate(self.digest_len());
        digest
    }
}

/// Security levels, weakest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// noAuthNoPriv.
    Open,
    /// authNoPriv.
    Auth,
    /// authPriv.
    Private,
}

impl Level {
    /// The security level of a message with these flags.
    pub fn of(flags: Flags) -> Level {
        match (flags.auth, flags.privacy) {
            (_, true) => Level::Private,
            (true, _) => Level::Auth,
            _ => Level::Open,
        }
    }
}

/// A user and the keys derived from its passphrases, before localisation to an engine.
#[derive(Clone, PartialEq, Eq)]
pub struct User {
    /// The user name.
    pub name: Vec<u8>,
    auth: Option<(Auth, Vec<u8>)>,
    privacy: Option<Vec<u8>>,
}

impl std::fmt::Debug for User {
    /// Omits the keys, so that they cannot reach a log.
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "User({:?}, {:?})", String::from_utf8_lossy(&self.name), self.level())
    }
}

impl User {
    /// Creates a user. `auth` is the authentication protocol with its passphrase, `privacy` the passphrase of
    /// the AES key; `privacy` is ignored without `auth`. The error describes an invalid name or passphrase.
    pub fn new(name: &str, auth: Option<(Auth, &str)>, privacy: Option<&str>) -> Result<User, &'static str> {
        if name.is_empty() || name.len() > MAX_USER_NAME {
            return Err("a user's name of 1 to 32 bytes is wanted");
        }
        if auth.iter().map(|(_, p)| *p).chain(privacy).any(|p| p.len() < MIN_PASSPHRASE) {
            return Err("a passphrase of 8 bytes or more is wanted");
        }
        let privacy = auth.zip(privacy).map(|((auth, _), passphrase)| auth.key(passphrase.as_bytes()));
        let auth = auth.map(|(auth, passphrase)| (auth, auth.key(passphrase.as_bytes())));
        Ok(User { name: name.as_bytes().to_vec(), auth, privacy })
    }

    /// The security level of the user. Messages of any other level are refused.
    pub fn level(&self) -> Level {
        match (&self.auth, &self.privacy) {
            (None, _) => Level::Open,
            (_, None) => Level::Auth,
            _ => Level::Private,
        }
    }

    /// The user's keys localised to an engine.
    pub fn at(&self, engine: &[u8]) -> Keys {
        let Some((auth, key)) = &self.auth else { return Keys::default() };
        let privacy = self.privacy.as_ref().and_then(|key| {
            auth.localise(key, engine)
                .get(..AES_KEY_LEN)
                .and_then(|key| <[u8; AES_KEY_LEN]>::try_from(key).ok())
        });
        Keys { auth: Some((*auth, auth.localise(key, engine))), privacy }
    }
}

/// A user's keys localised to one engine (RFC 3414, 2.6). Disclosing them does not disclose the keys of other
/// engines.
#[derive(Clone, Default)]
pub struct Keys {
    auth: Option<(Auth, Vec<u8>)>,
    privacy: Option<[u8; AES_KEY_LEN]>,
}

impl Keys {
    /// The security level that these keys support.
    pub fn level(&self) -> Level {
        match (&self.auth, &self.privacy) {
            (None, _) => Level::Open,
            (_, None) => Level::Auth,
            _ => Level::Private,
        }
    }

    /// The same keys for a message that is authenticated but not encrypted.
    pub fn without_privacy(&self) -> Keys {
        Keys { auth: self.auth.clone(), privacy: None }
    }

    /// Placeholder of zeros with the length of a digest; empty without authentication.
    pub fn empty_digest(&self) -> Vec<u8> {
        vec![0; self.auth.as_ref().map_or(0, |(auth, _)| auth.digest_len())]
    }

    /// Writes the digest of a complete message into the range `at`, which must hold zeros.
    pub fn sign(&self, message: &mut [u8], at: std::ops::Range<usize>) {
        let Some((auth, key)) = &self.auth else { return };
        let digest = auth.digest(key, &[message]);
        if let Some(to) = message.get_mut(at).filter(|to| to.len() == digest.len()) {
            to.copy_from_slice(&digest);
        }
    }

    /// Whether the range `at` holds the correct digest of the message. The comparison takes constant time.
    pub fn verify(&self, message: &[u8], at: std::ops::Range<usize>) -> bool {
        let Some((auth, key)) = &self.auth else { return false };
        let Some(given) = message.get(at.clone()).filter(|d| d.len() == auth.digest_len()) else {
            return false;
        };
        let zeros = vec![0; given.len()];
        let digest = auth.digest(key, &[&message[..at.start], &zeros, &message[at.end..]]);
        digest.ct_eq(given).into()
    }

    fn cipher_iv(security: (u32, u32), salt: &[u8]) -> Option<[u8; 16]> {
        // RFC 3826, 3.1.2.1: boots, time, salt.
        let salt = <[u8; SALT_LEN]>::try_from(salt).ok()?;
        let mut iv = [0; 16];
        iv[..4].copy_from_slice(&security.0.to_be_bytes());
        iv[4..8].copy_from_slice(&security.1.to_be_bytes());
        iv[8..].copy_from_slice(&salt);
        Some(iv)
    }

    /// Encrypts in place; `security` holds boots and time of the authoritative engine. Returns `false` if
    /// there is no privacy key.
    pub fn encrypt(&self, security: (u32, u32), salt: u64, bytes: &mut [u8]) -> bool {
        let iv = Keys::cipher_iv(security, &salt.to_be_bytes());
        let Some((key, iv)) = self.privacy.as_ref().zip(iv) else { return false };
        cfb_mode::Encryptor::<Aes128>::new(key.into(), &iv.into()).encrypt(bytes);
        true
    }

    /// Decrypts in place. Returns `false` if there is no privacy key or the salt has the wrong length.
    pub fn decrypt(&self, security: (u32, u32), salt: &[u8], bytes: &mut [u8]) -> bool {
        let Some((key, iv)) = self.privacy.as_ref().zip(Keys::cipher_iv(security, salt)) else {
            return false;
        };
        cfb_mode::Decryptor::<Aes128>::new(key.into(), &iv.into()).decrypt(bytes);
        true
    }
}

/// Encodes a message, encrypted and authenticated as the keys allow. `security` holds the id, boots and time
/// of the authoritative engine, to which the keys must be localised.
pub fn seal(
    header: Header,
    security: (&[u8], u32, u32),
    user: &[u8],
    keys: &Keys,
    scoped: Scoped,
    salt: u64,
) -> Vec<u8> {
    let (engine, boots, time) = security;
    let (mut data, mut privacy) = (Data::Plain(scoped), Vec::new());
    let flags = Flags { auth: keys.auth.is_some(), privacy: keys.privacy.is_some(), ..header.flags };
    if let (true, Data::Plain(scoped)) = (flags.privacy, &data) {
        let mut bytes = scoped.bytes();
        keys.encrypt((boots, time), salt, &mut bytes);
        (data, privacy) = (Data::Encrypted(bytes), salt.to_be_bytes().to_vec());
    }
    let (engine, user) = (engine.to_vec(), user.to_vec());
    let security = Security { engine, boots, time, user, auth: keys.empty_digest(), privacy };
    let mut out = Secured { header: Header { flags, ..header }, security, data }.bytes();
    if let Ok(at) = reader::digest(&out) {
        keys.sign(&mut out, at);
    }
    out
}

/// An SNMP engine (RFC 3411, 3.1.1.1): its id, and the clock used in its messages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// snmpEngineID, 5 to 32 bytes.
    pub id: Vec<u8>,
    /// snmpEngineBoots at the start.
    boots: u32,
    started: Micros,
}

impl Engine {
    /// Creates an engine that starts at `now`, with `boots` as its snmpEngineBoots.
    pub fn new(id: Vec<u8>, boots: u32, now: Micros) -> Engine {
        Engine { id, boots: boots.min(MAX_BOOTS), started: now }
    }

    /// Derives an engine id from a name, so that it is the same at every start: the enterprise number with
    /// format 4 (text), or with format 5 and a hash if the name is longer than 27 bytes (RFC 3411,
    /// SnmpEngineID).
    pub fn id_of(enterprise: u32, name: &str) -> Vec<u8> {
        let mut id = (enterprise | 1 << 31).to_be_bytes().to_vec();
        match name.len() {
            1..=27 => {
                id.push(4);
                id.extend(name.as_bytes());
            }
            _ => {
                id.push(5);
                id.extend(Sha256::digest(name.as_bytes()).iter().take(16));
            }
        }
        id
    }

    /// snmpEngineBoots and snmpEngineTime. When the time reaches its maximum, boots is incremented (RFC 3414,
    /// 2.2.2).
    pub fn clock(&self, now: Micros) -> (u32, u32) {
        let seconds = ((now - self.started).max(0) / crate::SECOND) as u64;
        let max_boots = u64::from(MAX_BOOTS);
        let boots = (u64::from(self.boots) + seconds / max_boots).min(max_boots);
        (boots as u32, (seconds % max_boots) as u32)
    }

    /// Whether a message is within the time window of this engine, as the authoritative one (RFC 3414, 3.2,
    /// 7a).
    pub fn in_time(&self, now: Micros, boots: u32, time: u32) -> bool {
        let (own_boots, at) = self.clock(now);
        own_boots < MAX_BOOTS && boots == own_boots && time.abs_diff(at) <= TIME_WINDOW
    }
}

#[cfg(test)]
mod tests;
