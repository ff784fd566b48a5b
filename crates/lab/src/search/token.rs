//! Replay tokens: a failing run encoded as a single word that contains everything needed to run it again.
//!
//! A token is `lab` (`fleet` for a fleet schedule) and its version, followed by the deflated (RFC 1951)
//! content and its CRC-32 in base32 (RFC 4648, lower case). The content holds the seed and the difference
//! between the scenario and the default one as a JSON merge patch (RFC 7396, except that lists of tables are
//! patched by element: elements past the end of the default list are compared with its last one). Only
//! differences are stored, so that a token fits in a line. It therefore includes a checksum of the defaults,
//! and a token made with other defaults is rejected instead of replaying a different scenario. Keep the
//! scenario file that `lab search --out` writes if a failure must remain reproducible after such a change.

use data_encoding::{Encoding, Specification};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::sync::LazyLock;
use world::fleet::schedule::Schedule;
use world::scenario::Scenario;

/// Maximum size of the decompressed content; a scenario has a few kilobytes.
const MAX_CONTENT_LEN: usize = 256 * 1024;
/// Maximum number of list elements in a token; scenario validation sets lower limits.
const MAX_ELEMENTS: u64 = 10_000;

static BASE32: LazyLock<Encoding> = LazyLock::new(|| {
    let mut spec = Specification::new();
    spec.symbols.push_str("abcdefghijklmnopqrstuvwxyz234567");
    spec.translate.from.push_str("ABCDEFGHIJKLMNOPQRSTUVWXYZ");
    spec.translate.to.push_str("abcdefghijklmnopqrstuvwxyz");
    spec.encoding().unwrap_or(data_encoding::BASE32_NOPAD)
});

/// A type that can be stored in a token.
pub trait TokenSubject: Default + Serialize + DeserializeOwned {
    /// Prefix of the token: letters, then the version.
    const PREFIX: &'static str;
}

impl TokenSubject for Scenario {
    const PREFIX: &'static str = "lab1";
}

impl TokenSubject for Schedule {
    const PREFIX: &'static str = "fleet1";
}

/// A run that can be replayed.
#[derive(Clone, Debug, PartialEq)]
pub struct Token<S = Scenario> {
    pub scenario: S,
    pub seed: u64,
    /// Name of the fault that was planted in the proxies.
    pub plant: Option<String>,
}

/// Why a token cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TokenError {
    #[error("not a token: it should begin with {0}")]
    Foreign(&'static str),
    #[error("a token of another version of the lab: {0}, this lab reads {1}")]
    Version(String, &'static str),
    #[error("a damaged token: {0}")]
    Damaged(&'static str),
    #[error("the token was made by a lab with other scenario defaults; run the scenario file instead")]
    OtherDefaults,
}

#[derive(Serialize, Deserialize)]
struct Content {
    defaults: u32,
    seed: u64,
    plant: Option<String>,
    patch: String,
}

fn to_json(scenario: &impl Serialize) -> Value {
    serde_json::to_value(scenario).unwrap_or(Value::Null)
}

fn checksum(defaults: &Value) -> u32 {
    crc32fast::hash(defaults.to_string().as_bytes())
}

impl<S: TokenSubject> Token<S> {
    /// Encodes the token as a word.
    pub fn write(&self) -> String {
        let defaults = to_json(&S::default());
        let patch =
            difference(&defaults, &to_json(&self.scenario)).unwrap_or(Value::Object(Default::default()));
        let content = Content {
            defaults: checksum(&defaults),
            seed: self.seed,
            plant: self.plant.clone(),
            patch: patch.to_string(),
        };
        seal(S::PREFIX, &content)
    }

    /// Decodes a word. Surrounding white space and upper case are accepted.
    pub fn read(word: &str) -> Result<Self, TokenError> {
        let word = word.trim();
        let not_a_token = || TokenError::Foreign(S::PREFIX);
        let head = word.get(..S::PREFIX.len()).ok_or_else(not_a_token)?.to_ascii_lowercase();
        if head != S::PREFIX {
            let letters = S::PREFIX.trim_end_matches(|c: char| c.is_ascii_digit());
            let other = head.starts_with(letters) && head.ends_with(|c: char| c.is_ascii_digit());
            return Err(if other { TokenError::Version(head, S::PREFIX) } else { not_a_token() });
        }
        let damaged = TokenError::Damaged;
        let bytes = BASE32.decode(&word.as_bytes()[S::PREFIX.len()..]);
        let bytes = bytes.map_err(|_| damaged("a letter or its length is wrong"))?;
        let (packed, sum) = bytes.split_last_chunk::<4>().ok_or(damaged("it is too short"))?;
        if crc32fast::hash(packed) != u32::from_le_bytes(*sum) {
            return Err(damaged("its checksum is wrong"));
        }
        let plain = miniz_oxide::inflate::decompress_to_vec_with_limit(packed, MAX_CONTENT_LEN)
            .map_err(|_| damaged("it cannot be unpacked"))?;
        let content: Content = postcard::from_bytes(&plain).map_err(|_| damaged("it cannot be read"))?;
        let mut whole = to_json(&S::default());
        if checksum(&whole) != content.defaults {
            return Err(TokenError::OtherDefaults);
        }
        let patch: Value =
            serde_json::from_str(&content.patch).map_err(|_| damaged("its scenario cannot be read"))?;
        merge(&mut whole, patch);
        let scenario = S::deserialize(&whole).map_err(|_| damaged("its scenario cannot be read"))?;
        Ok(Token { scenario, seed: content.seed, plant: content.plant })
    }
}

fn seal(prefix: &str, content: &Content) -> String {
    // Encoding into a vector cannot fail; if it did, empty content would give a damaged token, not a
    // different run.
    let plain = postcard::to_allocvec(content).unwrap_or_default();
    let mut bytes = miniz_oxide::deflate::compress_to_vec(&plain, 9);
    let sum = crc32fast::hash(&bytes);
    bytes.extend(sum.to_le_bytes());
    format!("{prefix}{}", BASE32.encode(&bytes))
}

/// Returns the patch that turns `from` into `to`, or `None` if they are equal.
fn difference(from: &Value, to: &Value) -> Option<Value> {
    if from == to {
        return None;
    }
    match (from, to) {
        (Value::Object(a), Value::Object(b)) => {
            let gone = a.keys().filter(|key| !b.contains_key(*key)).map(|key| (key.clone(), Value::Null));
            let changed = b.iter().filter_map(|(key, v)| {
                let patch = a.get(key).map_or_else(|| Some(v.clone()), |old| difference(old, v));
                patch.map(|patch| (key.clone(), patch))
            });
            Some(Value::Object(gone.chain(changed).collect()))
        }
        (Value::Array(a), Value::Array(b)) if is_list_of_tables(a) && is_list_of_tables(b) => {
            let changed = b.iter().enumerate().filter_map(|(i, v)| {
                let patch = difference(a.get(i).or(a.last())?, v);
                patch.map(|patch| (i.to_string(), patch))
            });
            let length = ("length".to_owned(), Value::from(b.len()));
            Some(Value::Object(std::iter::once(length).chain(changed).collect()))
        }
        _ => Some(to.clone()),
    }
}

fn is_list_of_tables(list: &[Value]) -> bool {
    !list.is_empty() && list.iter().all(Value::is_object)
}

/// Applies a patch.
fn merge(target: &mut Value, patch: Value) {
    match (target, patch) {
        (Value::Object(fields), Value::Object(patch)) => {
            for (key, v) in patch {
                match fields.get_mut(&key) {
                    _ if v.is_null() => drop(fields.remove(&key)),
                    Some(field) => merge(field, v),
                    None => drop(fields.insert(key, v)),
                }
            }
        }
        (Value::Array(list), Value::Object(mut patch)) => {
            let length = patch.get("length").and_then(Value::as_u64).unwrap_or(0).min(MAX_ELEMENTS);
            let last = list.last().cloned().unwrap_or(Value::Null);
            list.resize(length as usize, last);
            for (i, element) in list.iter_mut().enumerate() {
                if let Some(v) = patch.remove(&i.to_string()) {
                    merge(element, v);
                }
            }
        }
        (target, patch) => *target = patch,
    }
}

#[cfg(test)]
mod tests;
