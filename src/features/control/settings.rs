//! The lines about control machines in our own file, which control machines and proxies share.

use crate::codec::discovery;
use dissemination::{bounds, ControlId, FollowerId, Location, Rules};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Control machines on the list.
pub const MAX_CONTROLS: usize = bounds::MAX_CONTROLS as usize;
/// Stores, where the list is long enough and the file says nothing else.
const DEFAULT_STORES: u8 = 5;
/// The longest list of followers, in bytes and names.
const MAX_ROSTER_BYTES: u64 = 16 << 20;
const MAX_FOLLOWERS: usize = 65_536;

/// A control machine as the file names it.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlEntry {
    pub address: SocketAddr,
    /// Region, zone, site.
    pub place: [String; 3],
}

/// The control machines, as all of them and all proxies know them.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlList {
    /// In the order of their lines, which gives them their numbers.
    pub listed: Vec<ControlEntry>,
    /// How many of them, the first ones, are stores.
    pub stores: Option<u8>,
    pub epoch: u32,
}

impl Default for ControlList {
    fn default() -> Self {
        ControlList { listed: Vec::new(), stores: None, epoch: 1 }
    }
}

impl ControlList {
    /// What control machines and followers go by.
    ///
    /// # Errors
    ///
    /// What of the lines does not fit together.
    pub fn rules(&self) -> Result<Rules, String> {
        let controls = self.listed.len() as u8;
        let stores = self.stores.unwrap_or(DEFAULT_STORES.min(controls));
        if stores > controls {
            return Err(format!("controlstores: {stores}, but there are {controls} control lines"));
        }
        let rules = Rules { epoch: self.epoch, controls, stores, ..Rules::default() };
        rules.check()?;
        Ok(rules)
    }

    /// Where the control machines stand, and where one stands that is told by its names. Numbers mean something
    /// beside each other only.
    pub fn places(&self, own: Option<&[String; 3]>) -> (Vec<Location>, Location) {
        let mut known: BTreeMap<Vec<String>, u16> = BTreeMap::new();
        let mut number = |names: &[String]| {
            let next = known.len() as u16;
            *known.entry(names.to_vec()).or_insert(next)
        };
        let mut place = |[region, zone, site]: &[String; 3]| Location {
            region: number(std::slice::from_ref(region)),
            zone: number(&[region.clone(), zone.clone()]),
            site: number(&[region.clone(), zone.clone(), site.clone()]),
        };
        let all = self.listed.iter().map(|l| place(&l.place)).collect();
        // Of one that stands nowhere nothing is near.
        let nowhere = Location { region: u16::MAX, zone: u16::MAX, site: u16::MAX };
        (all, own.map_or(nowhere, place))
    }
}

/// A control machine's own lines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    pub port: u16,
    /// Its place in the list, from 0.
    pub number: u8,
    pub controls: ControlList,
    /// Where a store writes its changes down.
    pub store: Option<PathBuf>,
    /// The list of proxies' names.
    pub followers: Option<PathBuf>,
}

impl Settings {
    /// Which one it is.
    pub fn me(&self) -> ControlId {
        ControlId(self.number)
    }
}

/// A proxy's name as a follower's.
pub fn follower(name: &str) -> FollowerId {
    FollowerId(discovery::hash_id(name.as_bytes()))
}

/// The names in a file, one a line, `#` before a comment.
///
/// # Errors
///
/// One line with the file and the place in it.
pub fn roster(path: &Path) -> Result<BTreeMap<FollowerId, String>, String> {
    let at = path.display();
    let size = std::fs::metadata(path).map_err(|e| format!("{at}: {e}"))?.len();
    if size > MAX_ROSTER_BYTES {
        return Err(format!("{at}: larger than 16 MB"));
    }
    let bytes = std::fs::read(path).map_err(|e| format!("{at}: {e}"))?;
    let mut names = BTreeMap::new();
    for (i, line) in String::from_utf8_lossy(&bytes).lines().enumerate() {
        let name = line.split('#').next().unwrap_or_default().trim();
        if name.is_empty() {
            continue;
        }
        if let Some(before) = names.insert(follower(name), name.to_owned()) {
            return Err(format!("{at}:{}: {name} and {before} are one follower", i + 1));
        }
        if names.len() > MAX_FOLLOWERS {
            return Err(format!("{at}:{}: more than {MAX_FOLLOWERS} followers", i + 1));
        }
    }
    Ok(names)
}
