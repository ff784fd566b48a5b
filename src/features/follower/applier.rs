//! Applies changes to the proxy. The only implementation so far is [`StagingApplier`], which stands in for
//! the request path: purges go to a bounded set of stale keys, settings are validated and stored. None of it
//! takes effect yet.

use crate::features::file;
use crate::settings::Site;
use dissemination::StreamId;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::rc::Rc;

/// Why a change could not be applied, in one line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal(pub String);

/// Current counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Number of individual keys in the set of stale keys.
    pub stale: usize,
    /// How often everything was marked stale since the start.
    pub all_stale: u64,
    /// Number of valid settings received.
    pub settings: usize,
}

/// Applies changes. Every change may be delivered again; a refused change counts as delivered.
pub trait Applier: Debug {
    /// Marks the copies of this key that nodes hold now as stale. The key is opaque, usually six bytes of a
    /// hash.
    fn mark_stale(&mut self, key: &[u8]);

    /// Marks everything that nodes hold now as stale.
    fn mark_all_stale(&mut self);

    /// Applies a change of settings and returns the name of the setting.
    ///
    /// # Errors
    ///
    /// Why it could not be applied.
    fn configure(&mut self, stream: StreamId, key: u32, body: &[u8]) -> Result<String, Refusal>;

    /// Drops all settings that were received in a stream.
    fn void_stream(&mut self, stream: StreamId);

    fn counts(&self) -> Counts;
}

/// Maximum size of the set of stale keys: six minutes at 190 a second, 1.5 MB. Beyond that, everything is
/// marked stale.
pub const MAX_STALE_KEYS: usize = 65_536;
/// Maximum length of a key.
pub const MAX_KEY_BYTES: usize = 64;
/// Maximum number of settings; the feature file has fewer names.
pub const MAX_SETTINGS: usize = 256;
/// Length of the version before a setting's lines.
const VERSION_BYTES: usize = 8;

/// A change of settings. The greatest version wins, regardless of the store that numbered it, so that all
/// proxies agree in whatever order the changes of two stores arrive.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Setting {
    version: u64,
    stream: StreamId,
    lines: Rc<str>,
}

/// Encodes a change of settings: a version (the submitter's Unix time in us, big-endian) and the lines of one
/// setting. A name without a value restores the feature file's own lines.
pub fn body(version: u64, lines: &str) -> Vec<u8> {
    [&version.to_be_bytes()[..], lines.as_bytes()].concat()
}

/// The key of a change of settings: a hash of the setting's name.
pub fn key(name: &str) -> u32 {
    crc32fast::hash(name.as_bytes())
}

/// Validates and stores changes without applying them, see the module documentation.
#[derive(Debug)]
pub struct StagingApplier {
    text: Rc<str>,
    site: Rc<Site>,
    stale: BTreeSet<Box<[u8]>>,
    all_stale: u64,
    /// The last change of each setting in each stream.
    held: BTreeMap<u32, BTreeMap<StreamId, Setting>>,
    /// The last valid change of each setting, and the setting's name.
    active: BTreeMap<u32, (Setting, Rc<str>)>,
}

impl StagingApplier {
    /// Creates the applier for a feature file with this text, at this site.
    pub fn new(text: Rc<str>, site: Rc<Site>) -> Self {
        let (held, active) = (BTreeMap::new(), BTreeMap::new());
        StagingApplier { text, site, stale: BTreeSet::new(), all_stale: 0, held, active }
    }

    /// Whether this key is in the set of stale keys.
    pub fn is_stale(&self, key: &[u8]) -> bool {
        self.stale.contains(key)
    }

    /// The text of the feature file with all valid changes applied.
    pub fn text(&self) -> String {
        file::apply_overrides(
            &self.text,
            self.active.values().map(|(setting, name)| (&**name, &*setting.lines)),
        )
    }

    /// Activates the newest change of a setting if the feature file is valid with it.
    fn activate(&mut self, key: u32) -> Result<(), Refusal> {
        let Some(newest) = self.held.get(&key).and_then(|of| of.values().max()).cloned() else {
            self.active.remove(&key);
            return Ok(());
        };
        let name: Rc<str> = file::setting_name(&newest.lines).unwrap_or_default().into();
        let before = self.active.insert(key, (newest, name));
        let why = match file::read(&self.text()) {
            Err((_, why)) => Some(why),
            Ok(features) => features.check_site(&self.site).err(),
        };
        let Some(why) = why else { return Ok(()) };
        match before {
            Some(before) => self.active.insert(key, before),
            None => self.active.remove(&key),
        };
        Err(Refusal(why))
    }

    /// Retries changes that were invalid before, since another change may have made them valid.
    fn activate_rest(&mut self) {
        let newest = |of: &BTreeMap<StreamId, Setting>| of.values().max().cloned();
        loop {
            let open =
                |(key, of)| (newest(of).as_ref() != self.active.get(key).map(|(s, _)| s)).then_some(*key);
            let open: Vec<u32> = self.held.iter().filter_map(open).collect();
            if !open.into_iter().any(|key| self.activate(key).is_ok()) {
                return;
            }
        }
    }
}

impl Applier for StagingApplier {
    fn mark_stale(&mut self, key: &[u8]) {
        if key.len() > MAX_KEY_BYTES || self.stale.len() >= MAX_STALE_KEYS {
            return self.mark_all_stale();
        }
        self.stale.insert(key.into());
    }

    fn mark_all_stale(&mut self) {
        self.stale.clear();
        self.all_stale += 1;
    }

    fn configure(&mut self, stream: StreamId, key: u32, body: &[u8]) -> Result<String, Refusal> {
        let refusal = |why: &str| Refusal(why.to_owned());
        let (version, lines) = body.split_at_checked(VERSION_BYTES).ok_or_else(|| refusal("no version"))?;
        let version = u64::from_be_bytes(version.try_into().map_err(|_| refusal("no version"))?);
        let lines: Rc<str> = std::str::from_utf8(lines).map_err(|_| refusal("not valid UTF-8"))?.into();
        let name =
            file::setting_name(&lines).ok_or_else(|| refusal("lines that are not about one setting"))?;
        if self::key(name) != key {
            return Err(refusal("lines that are not about the change's key"));
        }
        let name = name.to_owned();
        if !self.held.contains_key(&key) && self.held.len() >= MAX_SETTINGS {
            // There are fewer settings than this limit, so some of the stored names are unknown; one of them
            // makes room.
            let unfit = self.held.keys().find(|key| !self.active.contains_key(key)).copied();
            let unfit = unfit.ok_or_else(|| refusal("too many settings"))?;
            self.held.remove(&unfit);
        }
        let of = self.held.entry(key).or_default();
        of.insert(stream, Setting { version, stream, lines });
        // If another stream has a newer change, this one has already been overwritten.
        let newest = of.values().max().is_none_or(|s| s.stream == stream);
        if newest {
            self.activate(key)?;
            self.activate_rest();
        }
        Ok(name)
    }

    fn void_stream(&mut self, stream: StreamId) {
        self.held.values_mut().for_each(|of| drop(of.remove(&stream)));
        self.held.retain(|_, of| !of.is_empty());
        let removed: Vec<u32> =
            self.active.iter().filter(|(_, (s, _))| s.stream == stream).map(|(k, _)| *k).collect();
        for key in removed {
            self.active.remove(&key);
            // If the newest remaining change is invalid, the setting stays inactive.
            let _ = self.activate(key);
        }
        self.activate_rest();
    }

    fn counts(&self) -> Counts {
        Counts { stale: self.stale.len(), all_stale: self.all_stale, settings: self.active.len() }
    }
}

#[cfg(test)]
mod tests;
