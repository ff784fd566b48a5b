//! Our own file: `name value` a line, `#` before a comment. It is read once, at the start.

use super::control::{self, ControlEntry, ControlList};
use super::{addresses, figures, follower, forwarder, multiget, planner, snmp, tap};
use crate::admission;
use crate::interface::Micros;
use crate::net::memcached::{self, MemcachedNodes, NodeSettings, PortState};
use crate::settings::Site;
use plan::bounds;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// The longest file that makes sense.
const MAX_FILE_BYTES: u64 = 1024 * 1024;

/// What the file says; a feature that nothing in it turns on is `None`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Features {
    pub multiget: Option<multiget::Settings>,
    pub tap: Option<tap::Settings>,
    pub addresses: Option<addresses::AddressLists>,
    pub figures: Option<figures::Settings>,
    pub memcached: Option<memcached::Settings>,
    /// Nodes that speak the memcached protocol.
    pub memcachednodes: NodeSettings,
    pub snmp: Option<snmp::Settings>,
    /// Always at work, with or without a line of its own.
    pub door: admission::Settings,
    pub forwarder: Option<forwarder::Settings>,
    pub planner: Option<planner::Settings>,
    pub control: Option<control::Settings>,
    pub follower: Option<follower::Settings>,
}

impl Features {
    /// Whether the site has what is named here; an error tells the setting. With this, nothing is used yet.
    pub fn check_site(&self, site: &Site) -> Result<(), String> {
        self.memcached.as_ref().map(|settings| PortState::new(settings, site, 0)).transpose()?;
        MemcachedNodes::new(&self.memcachednodes, site)?;
        self.follower.as_ref().map_or(Ok(()), |settings| settings.controls.rules().map(drop))
    }
}

/// Reads the file; an error is one line that names the file and the line in it.
pub fn load(path: &str) -> Result<Features, String> {
    let size = std::fs::metadata(path).map_err(|e| format!("{path}: {e}"))?.len();
    if size > MAX_FILE_BYTES {
        return Err(format!("{path}: larger than 1 MB"));
    }
    let bytes = std::fs::read(path).map_err(|e| format!("{path}: {e}"))?;
    read(&String::from_utf8_lossy(&bytes)).map_err(|(line, what)| format!("{path}:{line}: {what}"))
}

/// Name and value of a line, if it has any.
fn setting(line: &str) -> Option<(&str, &str)> {
    // A comment stands alone or behind white space: a path may hold a `#`.
    let comment =
        line.match_indices('#').find(|(at, _)| !line[..*at].ends_with(|c: char| !c.is_whitespace()));
    let line = line[..comment.map_or(line.len(), |(at, _)| at)].trim();
    let (name, value) = line.split_once(char::is_whitespace).unwrap_or((line, ""));
    Some((name, value.trim())).filter(|(name, _)| !name.is_empty())
}

/// The one setting that some lines are about; none if they are about several or nothing.
pub fn setting_name(lines: &str) -> Option<&str> {
    let mut names = lines.lines().filter_map(setting).map(|(name, _)| name);
    let first = names.next()?;
    names.all(|name| name == first).then_some(first)
}

/// A file's text with the lines about some settings, by their names, in place of its own. Lines without a value say
/// that the file's own hold.
pub fn apply_overrides<'a>(text: &str, over: impl Iterator<Item = (&'a str, &'a str)>) -> String {
    let valued = |lines: &str| lines.lines().filter_map(setting).any(|(_, value)| !value.is_empty());
    let over: Vec<(&str, &str)> = over.filter(|(_, lines)| valued(lines)).collect();
    let stays = |line: &str| setting(line).is_none_or(|(name, _)| over.iter().all(|(o, _)| *o != name));
    let stay = text.lines().map(|line| if stays(line) { line } else { "" });
    stay.chain(over.iter().flat_map(|(_, lines)| lines.lines())).flat_map(|line| [line, "\n"]).collect()
}

/// As [`load`] for a text that is at hand. An error comes with the number of its line.
pub fn read(text: &str) -> Result<Features, (usize, String)> {
    let mut multiget = multiget::Settings::default();
    let mut tap = tap::Settings::default();
    let mut lists = addresses::AddressLists::default();
    let mut figures = figures::Settings::default();
    let (mut memcached, mut nodes) = (memcached::Settings::default(), NodeSettings::default());
    let mut agent = snmp::SettingLines::default();
    let mut door = admission::Settings::default();
    let (mut multigetport, mut tapport, mut memcacheport) = (None, None, None);
    let (mut planners, mut plannerport, mut forwarders) = (Vec::new(), None, None);
    let (mut controls, mut control) = (ControlList::default(), control::Settings::default());
    let (mut controlport, mut place) = (None, None);
    let mut seen: Vec<&str> = Vec::new();
    for (i, line) in text.lines().enumerate() {
        let Some((name, value)) = setting(line) else { continue };
        let mut set = || {
            match name {
                "multigetport" => multigetport = Some(port(value)?),
                "multigetmaxkeys" => multiget.max_keys = whole(value, 1..=multiget::MAX_OPEN_READS)?,
                "tapport" => tapport = Some(port(value)?),
                "tapsample" => tap.sample = fraction(value)?,
                "tapbuffer" => tap.buffer = size(value, 1024..=64 * 1024 * 1024)?,
                "tapwatchers" => tap.watchers = whole(value, 1..=64)?,
                "allow" => lists.allow.push(network(value)?),
                "deny" => lists.deny.push(network(value)?),
                "proxyfrom" => lists.proxyfrom.push(network(value)?),
                "figuresformat" => figures.format = format(value)?,
                "figurestarget" => figures.target = target(value)?,
                "figuresflush" => figures.flush = time(value, 1_000..=3_600_000)?,
                "memcacheport" => memcacheport = Some(port(value)?),
                "memcachepasswords" => memcached.passwords = Some(named(value, "a file")?.into()),
                "memcachetenant" => memcached.tenant = Some(named(value, "a tenant")?),
                "memcachereads" => memcached.reads = Some(named(value, "a class")?),
                "memcachewrites" => memcached.writes = Some(named(value, "a class")?),
                "memcachereadwait" => memcached.read_wait = Some(time(value, 1..=3_600_000)?),
                "memcachewritewait" => memcached.write_wait = Some(time(value, 1..=3_600_000)?),
                "memcachenodes" => speaker(value, &mut nodes)?,
                "doorample" => door.soft_limit_ratio = fraction(value)?,
                "doorsource" => door.source_ratio = fraction(value)?,
                "doorbytes" => door.memory_bytes = Some(size(value, 256 * 1024..=1024 * 1024 * 1024)?),
                "planner" => planners.push(planner(value, &planners)?),
                "plannerport" => plannerport = Some(port(value)?),
                "planforwarders" => forwarders = Some(whole(value, 1..=bounds::FORWARDERS)? as u32),
                "control" => controls.listed.push(listed(value, &controls.listed)?),
                "controlstores" => controls.stores = Some(whole(value, 1..=control::MAX_CONTROLS)? as u8),
                "controlepoch" => controls.epoch = whole(value, 1..=u32::MAX as usize)? as u32,
                "controlplace" => place = Some(self::place(value)?),
                "controlport" => controlport = Some(port(value)?),
                "controlnumber" => control.number = whole(value, 0..=control::MAX_CONTROLS - 1)? as u8,
                "controlstore" => control.store = Some(named(value, "a file")?.into()),
                "followers" => control.followers = Some(named(value, "a file")?.into()),
                _ if name.starts_with("snmp") => agent.set(i + 1, name, value)?,
                _ => return Err("unknown setting".to_owned()),
            }
            Ok(())
        };
        set().map_err(|what| (i + 1, format!("{}: {what}", name.escape_debug())))?;
        let many = matches!(name, "allow" | "deny" | "proxyfrom" | "planner" | "memcachenodes" | "control");
        let many = many || snmp::SettingLines::is_repeatable(name);
        if !many && seen.contains(&name) {
            return Err((i + 1, format!("{name}: set twice")));
        }
        seen.push(name);
    }
    let counted = seen.iter().any(|name| name.starts_with("figures"));
    Ok(Features {
        multiget: multigetport.map(|port| multiget::Settings { port, ..multiget }),
        tap: tapport.map(|port| tap::Settings { port, ..tap }),
        figures: Some(figures).filter(|_| counted),
        memcached: memcacheport.map(|port| memcached::Settings { port, ..memcached }),
        memcachednodes: nodes,
        snmp: agent.settle()?,
        door,
        forwarder: Some(planners)
            .filter(|p| !p.is_empty())
            .map(|planners| forwarder::Settings { planners, forwarders }),
        planner: plannerport.map(|port| planner::Settings { port, forwarders }),
        control: controlport.map(|port| control::Settings { port, controls: controls.clone(), ..control }),
        follower: Some(controls).filter(|c| !c.listed.is_empty()).map(|controls| follower::Settings {
            controls,
            place,
            text: text.into(),
        }),
        addresses: Some(lists).filter(|lists| *lists != addresses::AddressLists::default()),
    })
}

fn wanted<T>(value: &str, what: &str) -> Result<T, String> {
    let value: String = value.chars().take(80).collect();
    Err(format!("{what} is wanted, not \"{}\"", value.escape_debug()))
}

fn named(value: &str, what: &str) -> Result<String, String> {
    Some(value).filter(|v| !v.is_empty()).map_or_else(|| wanted(value, what), |v| Ok(v.to_owned()))
}

fn speaker(value: &str, nodes: &mut NodeSettings) -> Result<(), String> {
    match value.split_once(char::is_whitespace).map(|(sort, name)| (sort, name.trim())) {
        Some(("kind", name)) => nodes.kinds.push(name.to_owned()),
        Some(("id", name)) => nodes.ids.push(name.to_owned()),
        _ => return wanted(value, "kind NAME or id NAME"),
    }
    Ok(())
}

fn digits(value: &str) -> Option<usize> {
    Some(value).filter(|v| v.bytes().all(|b| b.is_ascii_digit())).and_then(|v| v.parse().ok())
}

fn whole(value: &str, range: RangeInclusive<usize>) -> Result<usize, String> {
    let what = || format!("a whole number from {} to {}", range.start(), range.end());
    digits(value).filter(|n| range.contains(n)).map_or_else(|| wanted(value, &what()), Ok)
}

fn format(value: &str) -> Result<figures::Format, String> {
    match value {
        "statsd" => Ok(figures::Format::Statsd),
        "influx" => Ok(figures::Format::Influx),
        _ => wanted(value, "statsd or influx"),
    }
}

fn target(value: &str) -> Result<figures::Target, String> {
    let (sort, of) = value.split_once(char::is_whitespace).unwrap_or((value, ""));
    match (sort, of.trim(), of.trim().parse()) {
        ("stderr", "", _) => Ok(figures::Target::Stderr),
        ("file", path, _) if !path.is_empty() => Ok(figures::Target::File(path.into())),
        ("udp", _, Ok(address)) => Ok(figures::Target::Udp(address)),
        _ => wanted(value, "stderr, file PATH or udp ADDRESS"),
    }
}

fn time(value: &str, range: RangeInclusive<usize>) -> Result<Micros, String> {
    let units = [("ms", 1), ("s", 1000), ("min", 60_000)];
    let what = || format!("a time like 10 s, from {} to {} ms", range.start(), range.end());
    let ms = measure(value, &units).filter(|n| range.contains(n));
    ms.map_or_else(|| wanted(value, &what()), |ms| Ok(ms as Micros * 1000))
}

fn network(value: &str) -> Result<ipnet::IpNet, String> {
    addresses::network(value).map_or_else(|| wanted(value, "a range like 10.20.0.0/16"), Ok)
}

/// Another planner beside those that are named already.
fn planner(value: &str, named: &[SocketAddr]) -> Result<SocketAddr, String> {
    match value.parse().ok().filter(|a: &SocketAddr| a.port() > 0) {
        None => wanted(value, "an address like 127.0.0.1:7400"),
        Some(address) if named.contains(&address) => Err(format!("{address} is named twice")),
        Some(_) if named.len() >= bounds::PLANNERS => Err(format!("more than {} planners", bounds::PLANNERS)),
        Some(address) => Ok(address),
    }
}

/// Another control machine beside those that are listed already.
fn listed(value: &str, before: &[ControlEntry]) -> Result<ControlEntry, String> {
    let (address, at) = value.split_once(char::is_whitespace).unwrap_or((value, ""));
    let address = address.parse().ok().filter(|a: &SocketAddr| a.port() > 0);
    match (address, place(at.trim())) {
        (Some(address), _) if before.iter().any(|l| l.address == address) => {
            Err(format!("{address} is named twice"))
        }
        (Some(_), _) if before.len() >= control::MAX_CONTROLS => {
            Err(format!("more than {} control machines", control::MAX_CONTROLS))
        }
        (Some(address), Ok(place)) => Ok(ControlEntry { address, place }),
        _ => wanted(value, "an address and a place, like 127.0.0.1:7500 REGION/ZONE/SITE,"),
    }
}

/// Where a machine stands.
fn place(value: &str) -> Result<[String; 3], String> {
    let letter = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let parts: Vec<String> = value.split('/').map(str::to_owned).collect();
    let fine = parts.iter().all(|part| !part.is_empty() && part.chars().all(letter));
    match parts.try_into() {
        Ok(parts) if fine => Ok(parts),
        _ => wanted(value, "a place like REGION/ZONE/SITE"),
    }
}

fn fraction(value: &str) -> Result<f64, String> {
    let plain = value.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let part = value.parse::<f64>().ok().filter(|x| plain && *x > 0.0 && *x <= 1.0);
    part.map_or_else(|| wanted(value, "a fraction above 0 and up to 1"), Ok)
}

/// A whole number and the unit behind it, which is one of `units`; a number alone is of the first.
fn measure(value: &str, units: &[(&str, usize)]) -> Option<usize> {
    let at = value.find(|c: char| !c.is_ascii_digit()).unwrap_or(value.len());
    let (number, unit) = (digits(&value[..at])?, value[at..].trim());
    let unit = match unit {
        "" => units.first(),
        _ => units.iter().find(|(name, _)| name.eq_ignore_ascii_case(unit)),
    };
    number.checked_mul(unit?.1)
}

fn size(value: &str, range: RangeInclusive<usize>) -> Result<usize, String> {
    let units = [("B", 1), ("KB", 1024), ("MB", 1024 * 1024)];
    let what = || format!("a size like 256 KB, from {} to {} bytes", range.start(), range.end());
    measure(value, &units).filter(|n| range.contains(n)).map_or_else(|| wanted(value, &what()), Ok)
}

/// A port on the address of `listen`; 0 is one of the system's choice.
fn port(value: &str) -> Result<u16, String> {
    digits(value).and_then(|n| n.try_into().ok()).map_or_else(|| wanted(value, "a port"), Ok)
}
