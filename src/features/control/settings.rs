//! The settings of control machines in the feature file, which control machines and proxies share.

use crate::codec::discovery;
use dissemination::{bounds, ControlId, FollowerId, Location, Rules};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Maximum number of control machines.
pub const MAX_CONTROLS: usize = bounds::MAX_CONTROLS as usize;
/// Default number of stores, if there are at least as many control machines.
const DEFAULT_STORES: u8 = 5;
/// Limits of the list of followers, in bytes and in names.
const MAX_ROSTER_BYTES: u64 = 16 << 20;
const MAX_FOLLOWERS: usize = 65_536;

/// A control machine as configured.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlEntry {
    pub address: SocketAddr,
    /// Region, zone and site.
    pub place: [String; 3],
}

/// The control machines; the same on all of them and on all proxies.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlList {
    /// In the order of their lines, whose index is the machine's number.
    pub listed: Vec<ControlEntry>,
    /// Number of stores, which are the first machines of the list.
    pub stores: Option<u8>,
    pub epoch: u32,
}

impl Default for ControlList {
    fn default() -> Self {
        ControlList { listed: Vec::new(), stores: None, epoch: 1 }
    }
}

impl ControlList {
    /// The rules that control machines and followers share.
    ///
    /// # Errors
    ///
    /// The settings that contradict each other.
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

    /// The locations of the control machines, and the location with the names in `own`. Numbers are only
    /// comparable within one result.
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
        // Without a location, no control machine is near.
        let nowhere = Location { region: u16::MAX, zone: u16::MAX, site: u16::MAX };
        (all, own.map_or(nowhere, place))
    }
}

/// Settings of a control machine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    pub port: u16,
    /// Index in the list, from 0.
    pub number: u8,
    pub controls: ControlList,
    /// File in which a store keeps its changes.
    pub store: Option<PathBuf>,
    /// File with the names of all proxies.
    pub followers: Option<PathBuf>,
}

impl Settings {
    /// This machine's id.
    pub fn me(&self) -> ControlId {
        ControlId(self.number)
    }
}

/// The follower id of the proxy with this name.
pub fn follower(name: &str) -> FollowerId {
    FollowerId(discovery::hash_id(name.as_bytes()))
}

/// Reads a file of names, one per line, with comments after `#`.
///
/// # Errors
///
/// A one-line message with the file and the line.
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
