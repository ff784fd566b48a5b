//! Who may read what: communities of SNMPv2c by name and source, and views (RFC 3415, 5, vacmViewTreeFamily,
//! without masks). Nothing may be written.

use crate::usm::{Level, User};
use crate::{Oid, Tree, Value};
use ipnet::IpNet;
use std::net::IpAddr;
use subtle::ConstantTimeEq;

/// The most communities, users and subtrees of a view.
pub const MAX_ENTRIES: usize = 32;
/// The longest name of a community.
pub const MAX_COMMUNITY_NAME: usize = 64;

/// A part of the tree: of the subtrees that hold a name the longest decides.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Subtrees, and whether they belong to it.
    pub subtrees: Vec<(Oid, bool)>,
}

impl View {
    /// Everything.
    pub fn all() -> View {
        View { subtrees: Oid::new(&[1, 3]).map(|root| (root, true)).into_iter().collect() }
    }

    /// Whether a name belongs to it.
    pub fn contains(&self, name: &Oid) -> bool {
        let within = self.subtrees.iter().filter(|(root, _)| name.is_under(root));
        within.max_by_key(|(root, _)| root.arcs().len()).is_some_and(|(_, is)| *is)
    }

    /// The first name behind this one from which the answer may be another: where a subtree begins, or ends.
    fn next_boundary(&self, name: &Oid) -> Option<Oid> {
        let boundary = self.subtrees.iter().filter_map(|(root, _)| match name.is_under(root) {
            true => root.subtree_end(),
            false => Some(root.clone()).filter(|root| root > name),
        });
        boundary.min()
    }

    /// The first instance of the view behind a name. What it does not hold is skipped by subtrees, so that the
    /// work grows with their number and not with what they hide.
    pub fn next<'a>(&self, tree: &'a Tree, name: &Oid) -> Option<&'a (Oid, Value)> {
        let mut rest = tree.after(name);
        // Each turn is behind the one before; there are two a subtree at the most.
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
    /// Its name, which is a password in the clear.
    pub name: Vec<u8>,
    /// Who may use it.
    pub from: IpNet,
    /// What it shows.
    pub view: View,
}

/// A user of SNMPv3 and what it may read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reader {
    /// The user; messages of a lower level than its own are refused.
    pub user: User,
    /// What it may read.
    pub view: View,
}

/// All who may read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Access {
    /// Communities of SNMPv2c.
    pub communities: Vec<Community>,
    /// Users of SNMPv3.
    pub readers: Vec<Reader>,
}

/// What became of a community's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admitted<'a> {
    /// It may read this.
    View(&'a View),
    /// There is no such community.
    Unknown,
    /// There is, but not from there.
    WrongSource,
}

/// A name at a fixed length, so that comparing takes the same time whatever differs.
fn padded(name: &[u8]) -> [u8; MAX_COMMUNITY_NAME + 1] {
    let mut all = [0; MAX_COMMUNITY_NAME + 1];
    let n = name.len().min(MAX_COMMUNITY_NAME);
    all[..n].copy_from_slice(&name[..n]);
    all[MAX_COMMUNITY_NAME] = name.len().min(usize::from(u8::MAX)) as u8;
    all
}

impl Access {
    /// What a community shows to a caller. All communities are looked at, whichever it is.
    pub fn community(&self, name: &[u8], from: IpAddr) -> Admitted<'_> {
        let (given, from) = (padded(name), from.to_canonical());
        let (mut known, mut view) = (false, None);
        for one in &self.communities {
            let same: bool = padded(&one.name).ct_eq(&given).into();
            known |= same;
            if same && one.from.contains(&from) {
                view = view.or(Some(&one.view));
            }
        }
        match (view, known) {
            (Some(view), _) => Admitted::View(view),
            (None, true) => Admitted::WrongSource,
            (None, false) => Admitted::Unknown,
        }
    }

    /// A user by name. The standard's reports tell who is none, so there is nothing to hide here.
    pub fn reader(&self, name: &[u8]) -> Option<(usize, &Reader)> {
        self.readers.iter().enumerate().find(|(_, r)| r.user.name == name)
    }

    /// Whether some user needs no authentication.
    pub fn open(&self) -> bool {
        self.readers.iter().any(|r| r.user.level() == Level::Open)
    }
}
