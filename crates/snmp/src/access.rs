//! Access control: communities of SNMPv2c by name and source address, and views (RFC 3415, 5,
//! vacmViewTreeFamily, without masks). Nothing is writable.

use crate::usm::{Level, User};
use crate::{Oid, Tree, Value};
use ipnet::IpNet;
use std::net::IpAddr;
use subtle::ConstantTimeEq;

/// Maximum number of communities, of users, and of subtrees of a view.
pub const MAX_ENTRIES: usize = 32;
/// Maximum length of a community name in bytes.
pub const MAX_COMMUNITY_NAME: usize = 64;

/// A view of the tree. Of the subtrees that contain a name, the longest decides whether it is in the view.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Subtrees, and whether each is included (true) or excluded.
    pub subtrees: Vec<(Oid, bool)>,
}

impl View {
    /// A view of the whole tree.
    pub fn all() -> View {
        View { subtrees: Oid::new(&[1, 3]).map(|root| (root, true)).into_iter().collect() }
    }

    /// Whether a name is in the view.
    pub fn contains(&self, name: &Oid) -> bool {
        let containing = self.subtrees.iter().filter(|(root, _)| name.is_under(root));
        containing.max_by_key(|(root, _)| root.arcs().len()).is_some_and(|(_, included)| *included)
    }

    /// The first name after this one where membership in the view may change: the start of a subtree, or the
    /// end of one.
    fn next_boundary(&self, name: &Oid) -> Option<Oid> {
        let boundary = self.subtrees.iter().filter_map(|(root, _)| match name.is_under(root) {
            true => root.subtree_end(),
            false => Some(root.clone()).filter(|root| root > name),
        });
        boundary.min()
    }

    /// The first instance after a name that is in the view. Excluded names are skipped a subtree at a time,
    /// so the cost depends on the number of subtrees and not on the number of excluded instances.
    pub fn next<'a>(&self, tree: &'a Tree, name: &Oid) -> Option<&'a (Oid, Value)> {
        let mut rest = tree.after(name);
        // Each boundary comes after the one before it, and each subtree has at most two.
        for _ in 0..=2 * self.subtrees.len() {
            let first = rest.first()?;
            if self.contains(&first.0) {
                return Some(first);
            }
            let boundary = self.next_boundary(&first.0)?;
            rest = rest.get(rest.partition_point(|(n, _)| *n < boundary)..)?;
        }
        None
    }
}

/// A community of SNMPv2c.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Community {
    /// Its name, which serves as a password sent in cleartext.
    pub name: Vec<u8>,
    /// Source addresses that may use it.
    pub from: IpNet,
    /// What it may read.
    pub view: View,
}

/// A user of SNMPv3 and its view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reader {
    /// The user. Messages of any other security level than its own are refused.
    pub user: User,
    /// Its view.
    pub view: View,
}

/// All communities and users with read access.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Access {
    /// Communities of SNMPv2c.
    pub communities: Vec<Community>,
    /// Users of SNMPv3.
    pub readers: Vec<Reader>,
}

/// Result of looking up a community name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admitted<'a> {
    /// The community is valid and may read this view.
    View(&'a View),
    /// No community has this name.
    Unknown,
    /// The community exists, but not for this source address.
    WrongSource,
}

/// Pads a name to a fixed length so that comparison takes constant time.
fn padded(name: &[u8]) -> [u8; MAX_COMMUNITY_NAME + 1] {
    let mut all = [0; MAX_COMMUNITY_NAME + 1];
    let n = name.len().min(MAX_COMMUNITY_NAME);
    all[..n].copy_from_slice(&name[..n]);
    all[MAX_COMMUNITY_NAME] = name.len().min(usize::from(u8::MAX)) as u8;
    all
}

impl Access {
    /// The view of a community for this source address. All communities are compared, so that the time taken
    /// does not reveal which one matched.
    pub fn community(&self, name: &[u8], from: IpAddr) -> Admitted<'_> {
        let (given, from) = (padded(name), from.to_canonical());
        let (mut known, mut view) = (false, None);
        for community in &self.communities {
            let matches: bool = padded(&community.name).ct_eq(&given).into();
            known |= matches;
            if matches && community.from.contains(&from) {
                view = view.or(Some(&community.view));
            }
        }
        match (view, known) {
            (Some(view), _) => Admitted::View(view),
            (None, true) => Admitted::WrongSource,
            (None, false) => Admitted::Unknown,
        }
    }

    /// Looks up a user by name. This need not take constant time, since the standard's reports disclose
    /// whether a user name exists.
    pub fn reader(&self, name: &[u8]) -> Option<(usize, &Reader)> {
        self.readers.iter().enumerate().find(|(_, r)| r.user.name == name)
    }

    /// Whether any user needs no authentication.
    pub fn open(&self) -> bool {
        self.readers.iter().any(|r| r.user.level() == Level::Open)
    }
}
