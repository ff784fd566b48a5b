//! What changes are applied to. So far that is [`StagingApplier`], which stands in for the request path: purges go to a
//! bounded record of what is stale, settings are checked and kept. Nothing of it is in force yet.

use crate::features::file;
use crate::settings::Site;
use dissemination::StreamId;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::rc::Rc;

/// Why a change was not put in force, in one line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal(pub String);

/// Figures, as of now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Objects known to be stale one by one.
    pub stale: usize,
    /// Times that everything was taken for stale, since the start.
    pub all_stale: u64,
    /// StagingApplier settings that stand.
    pub settings: usize,
}

/// What a proxy does with changes. All of it may come again; what it refuses counts as taken all the same.
pub trait Applier: Debug {
    /// What nodes hold under a key from before now is stale. The key is opaque: six bytes of a hash, as a rule.
    fn mark_stale(&mut self, key: &[u8]);

    /// Whatever nodes hold from before now is stale.
    fn mark_all_stale(&mut self);

    /// Takes a change of settings; what it is about comes back.
    ///
    /// # Errors
    ///
    /// Why it was not put in force.
    fn configure(&mut self, stream: StreamId, key: u32, body: &[u8]) -> Result<String, Refusal>;

    /// All settings that came in a stream are void.
    fn void_stream(&mut self, stream: StreamId);

    fn counts(&self) -> Counts;
}

/// Keys of the record of what is stale: six minutes at 190 a second, 1.5 MB. Beyond, all is taken for stale.
pub const MAX_STALE_KEYS: usize = 65_536;
/// The longest key.
pub const MAX_KEY_BYTES: usize = 64;
/// Settings that may be carried; our own file has fewer names.
pub const MAX_SETTINGS: usize = 256;
/// Bytes before a setting's lines: its version.
const VERSION_BYTES: usize = 8;

/// A change of settings. The greatest version counts, wherever it was numbered, so that all proxies agree whatever the
/// order in which two stores' changes come.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Setting {
    version: u64,
    stream: StreamId,
    lines: Rc<str>,
}

/// The body of a change of settings: a version (its submitter's Unix time, in us; big-endian) and lines of our own file
/// that are about one setting. A name alone says that the file's own lines hold.
pub fn body(version: u64, lines: &str) -> Vec<u8> {
    [&version.to_be_bytes()[..], lines.as_bytes()].concat()
}

/// The key of a change of settings: a hash of its name.
pub fn key(name: &str) -> u32 {
    crc32fast::hash(name.as_bytes())
}

/// See the file's comment.
#[derive(Debug)]
pub struct StagingApplier {
    text: Rc<str>,
    site: Rc<Site>,
    stale: BTreeSet<Box<[u8]>>,
    all_stale: u64,
    /// The last that each stream has of a setting.
    held: BTreeMap<u32, BTreeMap<StreamId, Setting>>,
    /// The last of each that fitted, and what it is about.
    active: BTreeMap<u32, (Setting, Rc<str>)>,
}

impl StagingApplier {
    /// For a proxy whose own file has this text, at this site.
    pub fn new(text: Rc<str>, site: Rc<Site>) -> Self {
        let (held, active) = (BTreeMap::new(), BTreeMap::new());
        StagingApplier { text, site, stale: BTreeSet::new(), all_stale: 0, held, active }
    }

    /// Whether a key stands in the record by itself.
    pub fn is_stale(&self, key: &[u8]) -> bool {
        self.stale.contains(key)
    }

    /// Our own file as it would be with all that was carried and fits.
    pub fn text(&self) -> String {
        file::apply_overrides(
            &self.text,
            self.active.values().map(|(setting, name)| (&**name, &*setting.lines)),
        )
    }

    /// Puts the newest of a setting among those that stand, if our own file fits with it.
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

    /// What did not fit may do so after another change.
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
        let lines: Rc<str> = std::str::from_utf8(lines).map_err(|_| refusal("no text"))?.into();
        let name =
            file::setting_name(&lines).ok_or_else(|| refusal("lines that are not about one setting"))?;
        if self::key(name) != key {
            return Err(refusal("lines that are not about the change's key"));
        }
        let name = name.to_owned();
        if !self.held.contains_key(&key) && self.held.len() >= MAX_SETTINGS {
            // There are not so many settings: some of these are none, and make room.
            let unfit = self.held.keys().find(|key| !self.active.contains_key(key)).copied();
            let unfit = unfit.ok_or_else(|| refusal("more settings than can be carried"))?;
            self.held.remove(&unfit);
        }
        let of = self.held.entry(key).or_default();
        of.insert(stream, Setting { version, stream, lines });
        // Another stream has a newer one: this one has been overwritten already.
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
        let gone: Vec<u32> =
            self.active.iter().filter(|(_, (s, _))| s.stream == stream).map(|(k, _)| *k).collect();
        for key in gone {
            self.active.remove(&key);
            // Of what is left, what does not fit stays out.
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
