//! The SNMP settings of the feature file. Lines may refer to views and users that are defined anywhere in the
//! file, so references are resolved after the whole file has been read.

use super::super::addresses::network;
use snmp::access::{self, Access, Community, Reader, View};
use snmp::manager::Credentials;
use snmp::notify::{Target, MAX_RECEIVERS};
use snmp::tree::ENTERPRISE;
use snmp::usm::{Auth, Level, User};
use snmp::Oid;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Maximum length of a contact, location or path.
const MAX_TEXT: usize = 255;

/// Settings of the agent.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub port: u16,
    pub enterprise: u32,
    pub access: Access,
    pub targets: Vec<Target>,
    /// File in which the boots are kept.
    pub state: Option<PathBuf>,
    pub contact: String,
    pub location: String,
    /// A notification is sent when fewer nodes than this are usable; 0 stands for half of the nodes listed as
    /// serving.
    pub fleet_least: u32,
    /// A hash of all lines without their secrets, which tells whether the agent starts with the same settings
    /// as before.
    pub fingerprint: u64,
}

/// A line that can only be interpreted together with the others.
#[derive(Debug)]
struct Line {
    number: usize,
    words: Vec<String>,
}

/// The SNMP lines while the file is read.
#[derive(Debug, Default)]
pub struct SettingLines {
    port: Option<u16>,
    enterprise: Option<u32>,
    noauth: bool,
    state: Option<PathBuf>,
    contact: String,
    location: String,
    fleet_least: u32,
    views: BTreeMap<String, View>,
    communities: Vec<Line>,
    users: Vec<Line>,
    targets: Vec<Line>,
    fingerprint: u64,
}

fn parse_number<T: std::str::FromStr + Copy>(
    value: &str,
    what: &str,
    fits: impl Fn(T) -> bool,
) -> Result<T, String> {
    let digits = value.bytes().all(|b| b.is_ascii_digit());
    let n = value.parse().ok().filter(|n| digits && fits(*n));
    n.ok_or_else(|| format!("{what} is wanted, not \"{}\"", escape(value)))
}

fn escape(value: &str) -> String {
    value.chars().take(80).collect::<String>().escape_debug().to_string()
}

fn parse_text(value: &str) -> Result<String, String> {
    match value.len() {
        1..=MAX_TEXT => Ok(value.to_owned()),
        _ => Err(format!("a text of up to {MAX_TEXT} bytes is wanted")),
    }
}

/// The words of a line that are not secret. The fingerprint of the settings is stored in a file, and must not
/// help to guess a passphrase or community.
fn public_words<'a>(name: &'a str, words: &'a [String]) -> impl Iterator<Item = &'a str> {
    let secret = move |at: usize| match name {
        "snmpcommunity" => at == 0,
        "snmptrapto" => at == 3 && words[2] == "community",
        "snmpuser" => (at == 2 && words[1] != "noauth") || (at == 4 && words[3] == "aes"),
        _ => false,
    };
    words.iter().enumerate().filter(move |(at, _)| !secret(*at)).map(|(_, word)| word.as_str())
}

impl SettingLines {
    /// Whether lines with this name may occur more than once.
    pub fn is_repeatable(name: &str) -> bool {
        matches!(name, "snmpview" | "snmpcommunity" | "snmpuser" | "snmptrapto")
    }

    /// Parses the line with this number. Errors never contain a passphrase.
    pub fn set(&mut self, number_of_line: usize, name: &str, value: &str) -> Result<(), String> {
        let words: Vec<String> = value.split_whitespace().map(str::to_owned).collect();
        for word in std::iter::once(name).chain(public_words(name, &words)) {
            for byte in word.bytes().chain([b'\n']) {
                self.fingerprint =
                    (self.fingerprint ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3).rotate_left(1);
            }
        }
        let line = Line { number: number_of_line, words };
        let check_count = |list: &Vec<Line>, most: usize| match list.len() < most {
            true => Ok(()),
            false => Err(format!("more than {most} of them")),
        };
        match name {
            "snmpport" => self.port = Some(parse_number(value, "a port", |_: u16| true)?),
            "snmpenterprise" => {
                let what = "an enterprise number from 1 to 2147483647";
                self.enterprise =
                    Some(parse_number(value, what, |n: u32| (1..=i32::MAX as u32).contains(&n))?);
            }
            "snmpnoauth" => match value {
                "on" => self.noauth = true,
                "off" => self.noauth = false,
                _ => return Err(format!("on or off is wanted, not \"{}\"", escape(value))),
            },
            "snmpstate" => self.state = Some(parse_text(value)?.into()),
            "snmpcontact" => self.contact = parse_text(value)?,
            "snmplocation" => self.location = parse_text(value)?,
            "snmpfleetleast" => {
                let what = "a number of nodes from 1 to 100000";
                self.fleet_least = parse_number(value, what, |n: u32| (1..=100_000).contains(&n))?;
            }
            "snmpview" => self.view(&line.words)?,
            "snmpcommunity" => {
                check_count(&self.communities, access::MAX_ENTRIES)?;
                self.communities.push(line);
            }
            "snmpuser" => {
                check_count(&self.users, access::MAX_ENTRIES)?;
                self.users.push(line);
            }
            "snmptrapto" => {
                check_count(&self.targets, MAX_RECEIVERS)?;
                self.targets.push(line);
            }
            _ => return Err("unknown setting".to_owned()),
        }
        Ok(())
    }

    /// Parses `NAME include|exclude OID`.
    fn view(&mut self, words: &[String]) -> Result<(), String> {
        let expected = || "NAME include OID or NAME exclude OID is wanted".to_owned();
        let [name, how, root] = words else { return Err(expected()) };
        let included = match how.as_str() {
            "include" => true,
            "exclude" => false,
            _ => return Err(expected()),
        };
        let root = Oid::parse(root).ok_or_else(expected)?;
        if !self.views.contains_key(name) && self.views.len() >= access::MAX_ENTRIES {
            return Err(format!("more than {} views", access::MAX_ENTRIES));
        }
        let view = self.views.entry(name.clone()).or_default();
        if view.subtrees.len() >= access::MAX_ENTRIES {
            return Err(format!("more than {} subtrees in a view", access::MAX_ENTRIES));
        }
        view.subtrees.push((root, included));
        Ok(())
    }

    /// Resolves the optional `view NAME` at the end of a line; defaults to everything.
    fn view_named(&self, words: &[&str]) -> Result<View, String> {
        match words {
            [] => Ok(View::all()),
            ["view", name] => {
                let view = self.views.get(*name).cloned();
                view.ok_or_else(|| format!("no snmpview is called \"{}\"", escape(name)))
            }
            _ => Err("view NAME is wanted behind it, or nothing".into()),
        }
    }

    /// Parses `NAME RANGE [view NAME]`.
    fn community(&self, line: &Line) -> Result<Community, String> {
        let words: Vec<&str> = line.words.iter().map(String::as_str).collect();
        let [name, from, rest @ ..] = words.as_slice() else {
            return Err("NAME RANGE [view NAME] is wanted".into());
        };
        if name.len() > access::MAX_COMMUNITY_NAME {
            return Err(format!("a name of up to {} bytes is wanted", access::MAX_COMMUNITY_NAME));
        }
        let from = network(from).ok_or("a range like 10.20.0.0/16 is wanted behind the name")?;
        Ok(Community { name: name.as_bytes().to_vec(), from, view: self.view_named(rest)? })
    }

    /// Parses `NAME noauth [view NAME]` or `NAME sha256 PASSPHRASE [aes PASSPHRASE] [view NAME]`.
    fn user(&self, line: &Line) -> Result<Reader, String> {
        let words: Vec<&str> = line.words.iter().map(String::as_str).collect();
        let (user, rest) = match words.as_slice() {
            [name, "noauth", rest @ ..] => (User::new(name, None, None), rest),
            [name, auth, passphrase, rest @ ..] => {
                let auth = Auth::named(auth).ok_or("noauth, sha224, sha256, sha384 or sha512 is wanted")?;
                match rest {
                    ["aes", privacy, rest @ ..] => {
                        (User::new(name, Some((auth, passphrase)), Some(privacy)), rest)
                    }
                    _ => (User::new(name, Some((auth, passphrase)), None), rest),
                }
            }
            _ => return Err("NAME sha256 PASSPHRASE [aes PASSPHRASE] [view NAME] is wanted".into()),
        };
        let user = user?;
        if user.level() == Level::Open && !self.noauth {
            return Err("a user without authentication wants snmpnoauth on".into());
        }
        Ok(Reader { user, view: self.view_named(rest)? })
    }

    /// Parses `trap|inform ADDRESS community NAME` or `trap|inform ADDRESS user NAME`.
    fn target(line: &Line, access: &Access) -> Result<Target, String> {
        let expected = "trap or inform, ADDRESS, and community NAME or user NAME is wanted";
        let words: Vec<&str> = line.words.iter().map(String::as_str).collect();
        let [how, address, sort, name] = words.as_slice() else { return Err(expected.into()) };
        let informs = match *how {
            "trap" => false,
            "inform" => true,
            _ => return Err(expected.into()),
        };
        let address: SocketAddr = address.parse().map_err(|_| "an address like 10.0.0.9:162 is wanted")?;
        let credentials = match *sort {
            "community" => Credentials::Community(name.as_bytes().to_vec()),
            "user" => {
                let reader = access.reader(name.as_bytes()).map(|(_, r)| r.user.clone());
                Credentials::User(
                    reader.ok_or_else(|| format!("no snmpuser is called \"{}\"", escape(name)))?,
                )
            }
            _ => return Err(expected.into()),
        };
        Ok(Target { address, informs, credentials })
    }

    /// Resolves the lines to settings, or `None` without a port. The error comes with its line number.
    pub fn settle(self) -> Result<Option<Settings>, (usize, String)> {
        let error_at = |line: &Line, name: &str, what: String| (line.number, format!("{name}: {what}"));
        let mut access = Access::default();
        for line in &self.communities {
            let one = self.community(line).map_err(|what| error_at(line, "snmpcommunity", what))?;
            access.communities.push(one);
        }
        for line in &self.users {
            let one = self.user(line).map_err(|what| error_at(line, "snmpuser", what))?;
            if access.reader(&one.user.name).is_some() {
                return Err(error_at(line, "snmpuser", "a user twice".into()));
            }
            access.readers.push(one);
        }
        let targets = self.targets.iter().map(|line| {
            SettingLines::target(line, &access).map_err(|what| error_at(line, "snmptrapto", what))
        });
        let targets = targets.collect::<Result<_, _>>()?;
        Ok(self.port.map(|port| Settings {
            port,
            enterprise: self.enterprise.unwrap_or(ENTERPRISE),
            access,
            targets,
            state: self.state,
            contact: self.contact,
            location: self.location,
            fleet_least: self.fleet_least,
            fingerprint: self.fingerprint,
        }))
    }
}

#[cfg(test)]
mod tests;
