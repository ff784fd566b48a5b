//! Names, types and indexes of the objects, parsed from the text of the MIB (SMIv2, RFC 2578, as far as
//! `mibs/MARTENWEIR-MIB.txt` uses it). The manager shows names with it, and a test compares the agent with
//! it; the agent itself does not use it.

use crate::{Oid, Value};
use std::collections::BTreeMap;

/// The text of the MIB.
pub const TEXT: &str = include_str!("../../../mibs/MARTENWEIR-MIB.txt");

/// Standard objects that the agent serves, for showing their names.
const STANDARD: [(&[u32], &str); 33] = [
    (&[1, 3, 6, 1, 2, 1, 1, 1], "sysDescr"),
    (&[1, 3, 6, 1, 2, 1, 1, 2], "sysObjectID"),
    (&[1, 3, 6, 1, 2, 1, 1, 3], "sysUpTime"),
    (&[1, 3, 6, 1, 2, 1, 1, 4], "sysContact"),
    (&[1, 3, 6, 1, 2, 1, 1, 5], "sysName"),
    (&[1, 3, 6, 1, 2, 1, 1, 6], "sysLocation"),
    (&[1, 3, 6, 1, 2, 1, 1, 7], "sysServices"),
    (&[1, 3, 6, 1, 2, 1, 11, 1], "snmpInPkts"),
    (&[1, 3, 6, 1, 2, 1, 11, 3], "snmpInBadVersions"),
    (&[1, 3, 6, 1, 2, 1, 11, 4], "snmpInBadCommunityNames"),
    (&[1, 3, 6, 1, 2, 1, 11, 5], "snmpInBadCommunityUses"),
    (&[1, 3, 6, 1, 2, 1, 11, 6], "snmpInASNParseErrs"),
    (&[1, 3, 6, 1, 2, 1, 11, 30], "snmpEnableAuthenTraps"),
    (&[1, 3, 6, 1, 2, 1, 11, 31], "snmpSilentDrops"),
    (&[1, 3, 6, 1, 2, 1, 11, 32], "snmpProxyDrops"),
    (&[1, 3, 6, 1, 6, 3, 1, 1, 4, 1], "snmpTrapOID"),
    (&[1, 3, 6, 1, 6, 3, 1, 1, 5, 1], "coldStart"),
    (&[1, 3, 6, 1, 6, 3, 1, 1, 5, 2], "warmStart"),
    (&[1, 3, 6, 1, 6, 3, 10, 2, 1, 1], "snmpEngineID"),
    (&[1, 3, 6, 1, 6, 3, 10, 2, 1, 2], "snmpEngineBoots"),
    (&[1, 3, 6, 1, 6, 3, 10, 2, 1, 3], "snmpEngineTime"),
    (&[1, 3, 6, 1, 6, 3, 10, 2, 1, 4], "snmpEngineMaxMessageSize"),
    (&[1, 3, 6, 1, 6, 3, 11, 2, 1, 1], "snmpUnknownSecurityModels"),
    (&[1, 3, 6, 1, 6, 3, 11, 2, 1, 2], "snmpInvalidMsgs"),
    (&[1, 3, 6, 1, 6, 3, 11, 2, 1, 3], "snmpUnknownPDUHandlers"),
    (&[1, 3, 6, 1, 6, 3, 12, 1, 4], "snmpUnavailableContexts"),
    (&[1, 3, 6, 1, 6, 3, 12, 1, 5], "snmpUnknownContexts"),
    (&[1, 3, 6, 1, 6, 3, 15, 1, 1, 1], "usmStatsUnsupportedSecLevels"),
    (&[1, 3, 6, 1, 6, 3, 15, 1, 1, 2], "usmStatsNotInTimeWindows"),
    (&[1, 3, 6, 1, 6, 3, 15, 1, 1, 3], "usmStatsUnknownUserNames"),
    (&[1, 3, 6, 1, 6, 3, 15, 1, 1, 4], "usmStatsUnknownEngineIDs"),
    (&[1, 3, 6, 1, 6, 3, 15, 1, 1, 5], "usmStatsWrongDigests"),
    (&[1, 3, 6, 1, 6, 3, 15, 1, 1, 6], "usmStatsDecryptionErrors"),
];

/// Kind of a definition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObjectKind {
    /// A node that only has other definitions below it.
    Node,
    /// An object with a single instance.
    Scalar,
    /// A column of a table.
    Column,
    /// A table, a row, or a column that is only an index.
    Hidden,
    /// A notification.
    Notification,
}

/// A definition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// The name.
    pub name: String,
    /// The object identifier.
    pub oid: Oid,
    /// The kind.
    pub kind: ObjectKind,
    /// The type on the wire, by its SMIv2 name, with textual conventions resolved.
    pub syntax: String,
    /// The type or textual convention as written in the text.
    pub convention: String,
    /// The labels of an enumeration, with their numbers.
    pub labels: Vec<(String, i32)>,
    /// For a column, the types of the indexes; for a notification, its objects.
    pub related: Vec<String>,
    /// The description.
    pub description: String,
}

/// A parsed MIB module.
#[derive(Clone, Debug, Default)]
pub struct Mib {
    objects: BTreeMap<Oid, Object>,
}

/// A word or a quoted string of the text.
#[derive(Clone, Debug, PartialEq)]
enum Token<'a> {
    Word(&'a str),
    Text(&'a str),
}

fn tokens(text: &str) -> Vec<Token<'_>> {
    let mut all = Vec::new();
    let mut rest = text;
    while let Some(c) = rest.chars().next() {
        let taken = if c.is_whitespace() {
            c.len_utf8()
        } else if rest.starts_with("--") {
            rest.find('\n').unwrap_or(rest.len())
        } else if c == '"' {
            let end = rest[1..].find('"').map_or(rest.len(), |at| at + 1);
            all.push(Token::Text(&rest[1..end]));
            (end + 1).min(rest.len())
        } else {
            let mark = |c: char| "{}(),;".contains(c);
            let end = rest.find(|c: char| c.is_whitespace() || c == '"' || mark(c)).unwrap_or(rest.len());
            let end = if mark(c) { c.len_utf8() } else { end };
            all.push(Token::Word(&rest[..end]));
            end
        };
        rest = &rest[taken..];
    }
    all
}

/// A parsed definition whose names are not resolved yet.
#[derive(Default)]
struct RawDefinition<'a> {
    macro_name: &'a str,
    parent: &'a str,
    arc: u32,
    syntax: &'a str,
    labels: Vec<(String, i32)>,
    access: &'a str,
    /// INDEX, or OBJECTS.
    related: Vec<&'a str>,
    description: &'a str,
}

/// The words between the braces that open at `at`, and the position after them.
fn braces<'a>(words: &[Token<'a>], at: usize) -> (Vec<&'a str>, usize) {
    let inner = words.iter().skip(at + 1).map_while(|t| match t {
        Token::Word("}") => None,
        Token::Word(w) => Some(*w),
        Token::Text(_) => None,
    });
    let inner: Vec<&str> = inner.collect();
    let next = at + inner.len() + 2;
    (inner, next)
}

/// Parses the definition that starts after its name at `at`. Returns it with the position after it.
fn definition<'a>(words: &[Token<'a>], mut at: usize) -> Option<(RawDefinition<'a>, usize)> {
    let mut raw = RawDefinition::default();
    let word = |at: usize| match words.get(at) {
        Some(Token::Word(w)) => Some(*w),
        _ => None,
    };
    // Types are written `Name ::= TEXTUAL-CONVENTION … SYNTAX …`, objects `name OBJECT-TYPE … ::= { … }`.
    let is_type = word(at)? == "::=";
    at += usize::from(is_type);
    raw.macro_name = word(at)?;
    at += 1;
    while at < words.len() {
        match (word(at), words.get(at + 1)) {
            (Some("SYNTAX"), _) => {
                raw.syntax = word(at + 1)?;
                at += 2;
                if matches!(raw.syntax, "OCTET" | "OBJECT" | "SEQUENCE") {
                    at += 1;
                }
                if word(at) == Some("{") {
                    let (inner, next) = braces(words, at);
                    raw.labels = labels(&inner);
                    at = next;
                }
                if is_type {
                    return Some((raw, at));
                }
            }
            (Some("MAX-ACCESS"), _) => {
                raw.access = word(at + 1)?;
                at += 2;
            }
            (Some("DESCRIPTION"), Some(Token::Text(text))) => {
                raw.description = if raw.description.is_empty() { text } else { raw.description };
                at += 2;
            }
            (Some("INDEX" | "OBJECTS" | "NOTIFICATIONS"), Some(Token::Word("{"))) => {
                (raw.related, at) = braces(words, at + 1);
                raw.related.retain(|w| *w != ",");
            }
            (Some("::="), Some(Token::Word("{"))) => {
                let (inner, next) = braces(words, at + 1);
                let [parent, arc] = inner.as_slice() else { return None };
                (raw.parent, raw.arc) = (parent, arc.parse().ok()?);
                return Some((raw, next));
            }
            _ => at += 1,
        }
    }
    None
}

fn labels(inner: &[&str]) -> Vec<(String, i32)> {
    let named = inner.split(|w| *w == ",").filter_map(|one| match one {
        [name, "(", n, ")"] => Some(((*name).to_owned(), n.parse().ok()?)),
        _ => None,
    });
    named.collect()
}

impl Mib {
    /// Parses the text of a module. Definitions that cannot be resolved to a known name are left out.
    pub fn read(text: &str) -> Mib {
        let words = tokens(text);
        let (mut types, mut definitions) = (BTreeMap::new(), Vec::new());
        let mut at = words.iter().position(|w| *w == Token::Word(";")).map_or(0, |at| at + 1);
        while let Some(Token::Word(name)) = words.get(at) {
            let name: &str = name;
            let kind = words.get(at + 1);
            let known = ["MODULE-IDENTITY", "OBJECT-TYPE", "NOTIFICATION-TYPE", "OBJECT", "OBJECT-GROUP"];
            let known = known.iter().any(|k| kind == Some(&Token::Word(k)));
            let convention = kind == Some(&Token::Word("::="))
                && words.get(at + 2) == Some(&Token::Word("TEXTUAL-CONVENTION"));
            match definition(&words, at + 1).filter(|_| known || convention) {
                Some((raw, next)) if convention => {
                    types.insert(name, raw);
                    at = next;
                }
                Some((raw, next)) => {
                    definitions.push((name, raw));
                    at = next;
                }
                None => at += 1,
            }
        }
        Mib::resolve_names(&types, &definitions)
    }

    fn resolve_names(types: &BTreeMap<&str, RawDefinition>, definitions: &[(&str, RawDefinition)]) -> Mib {
        let mut oids = BTreeMap::from([("enterprises", Oid::enterprises())]);
        // A definition may precede its parent.
        for _ in 0..definitions.len() {
            let before = oids.len();
            for (name, raw) in definitions {
                if let Some(oid) = oids.get(raw.parent).map(|parent| parent.child(&[raw.arc])) {
                    oids.insert(name, oid);
                }
            }
            if oids.len() == before {
                break;
            }
        }
        let base = |syntax: &str| -> String {
            let own = match syntax {
                "Integer32" => "INTEGER",
                "Unsigned32" => "Gauge32",
                "OCTET" | "SnmpAdminString" | "DateAndTime" => "OCTET STRING",
                "TruthValue" => "INTEGER",
                "TimeStamp" => "TimeTicks",
                "CounterBasedGauge64" => "Counter64",
                other => other,
            };
            own.to_owned()
        };
        let resolved = |syntax: &str| base(types.get(syntax).map_or(syntax, |t| t.syntax));
        let mut mib = Mib::default();
        for (name, raw) in definitions {
            let Some(oid) = oids.get(name) else { continue };
            let row = definitions.iter().find(|(n, r)| *n == raw.parent && !r.related.is_empty());
            let kind = match (raw.macro_name, raw.access) {
                ("NOTIFICATION-TYPE", _) => ObjectKind::Notification,
                ("OBJECT-TYPE", "not-accessible") => ObjectKind::Hidden,
                ("OBJECT-TYPE", _) if row.is_some() => ObjectKind::Column,
                ("OBJECT-TYPE", _) => ObjectKind::Scalar,
                _ => ObjectKind::Node,
            };
            let labels = match (raw.syntax, types.get(raw.syntax)) {
                ("TruthValue", _) => vec![("true".to_owned(), 1), ("false".to_owned(), 2)],
                (_, Some(convention)) => convention.labels.clone(),
                _ => raw.labels.clone(),
            };
            let index_type = |index: &&str| {
                let of = definitions.iter().find(|(n, _)| n == index).map_or("", |(_, r)| r.syntax);
                resolved(of)
            };
            let related = match kind {
                ObjectKind::Column => {
                    row.map_or_else(Vec::new, |(_, r)| r.related.iter().map(index_type).collect())
                }
                _ => raw.related.iter().map(|w| (*w).to_owned()).collect(),
            };
            let description = raw.description.split_whitespace().collect::<Vec<_>>().join(" ");
            let (name, oid, syntax) = ((*name).to_owned(), oid.clone(), resolved(raw.syntax));
            let convention = raw.syntax.to_owned();
            let object =
                Object { name, oid: oid.clone(), kind, syntax, convention, labels, related, description };
            mib.objects.insert(oid, object);
        }
        mib
    }

    /// All definitions, in the order of the tree.
    pub fn objects(&self) -> impl Iterator<Item = &Object> {
        self.objects.values()
    }

    /// The definition that a name equals or is below.
    pub fn of(&self, name: &Oid) -> Option<&Object> {
        self.objects.range(..=name.clone()).rev().map(|(_, o)| o).find(|o| name.is_under(&o.oid))
    }

    /// Parses a name as typed by a user: numbers, or the name of an object followed by numbers.
    pub fn resolve(&self, text: &str) -> Option<Oid> {
        if let Some(oid) = Oid::parse(text) {
            return Some(oid);
        }
        let (name, rest) = text.split_once('.').unwrap_or((text, ""));
        let standard = STANDARD.iter().find(|(_, n)| *n == name).and_then(|(arcs, _)| Oid::new(arcs));
        let known = self.objects.values().find(|o| o.name == name).map(|o| o.oid.clone());
        let oid = known.or(standard)?;
        let arcs: Option<Vec<u32>> =
            rest.split('.').filter(|a| !a.is_empty()).map(|a| a.parse().ok()).collect();
        Some(oid.child(&arcs?))
    }

    /// Formats a name for display: `mwNodeState["s-1"]`, `mwReady`, or the numbers.
    pub fn show(&self, name: &Oid) -> String {
        let Some(object) = self.of(name) else {
            let known = STANDARD.iter().filter_map(|(arcs, n)| Some((Oid::new(arcs)?, *n)));
            return match known.into_iter().find(|(oid, _)| name.is_under(oid)) {
                Some((oid, n)) => {
                    let rest = &name.arcs()[oid.arcs().len()..];
                    rest.iter().fold(n.to_owned(), |shown, arc| format!("{shown}.{arc}"))
                }
                None => name.to_string(),
            };
        };
        let rest = &name.arcs()[object.oid.arcs().len()..];
        match (object.kind, rest) {
            (ObjectKind::Scalar, [0]) | (_, []) => return object.name.clone(),
            _ => {}
        }
        let (mut rest, mut shown) = (rest, Vec::new());
        for index in &object.related {
            let string = rest.split_first().filter(|_| index == "OCTET STRING");
            match (string, rest) {
                (Some((n, tail)), _) if tail.len() >= *n as usize => {
                    let (text, tail) = tail.split_at(*n as usize);
                    let bytes: Vec<u8> = text.iter().map(|b| (*b).min(255) as u8).collect();
                    shown.push(format!("\"{}\"", String::from_utf8_lossy(&bytes).escape_debug()));
                    rest = tail;
                }
                (None, [n, tail @ ..]) => {
                    shown.push(n.to_string());
                    rest = tail;
                }
                _ => return format!("{}.{rest:?}", object.name),
            }
        }
        let tail = rest.iter().fold(String::new(), |all, arc| format!("{all}.{arc}"));
        match object.kind {
            ObjectKind::Column => format!("{}[{}]{tail}", object.name, shown.join(", ")),
            _ => format!("{}{tail}", object.name),
        }
    }

    /// Formats a value for display.
    pub fn show_value(&self, name: &Oid, value: &Value) -> String {
        let object = self.of(name);
        match value {
            Value::Integer(n) => {
                let label = object.and_then(|o| o.labels.iter().find(|(_, v)| v == n));
                label.map_or_else(|| n.to_string(), |(label, _)| format!("{label}({n})"))
            }
            Value::Octets(bytes) if object.is_some_and(|o| o.convention == "DateAndTime") => date(bytes),
            Value::Octets(bytes) => match std::str::from_utf8(bytes) {
                Ok(text) if !text.chars().any(char::is_control) => format!("\"{}\"", text.escape_debug()),
                _ => bytes.iter().map(|b| format!("{b:02x}")).collect(),
            },
            Value::Oid(oid) => self.show(oid),
            Value::Address([a, b, c, d]) => format!("{a}.{b}.{c}.{d}"),
            Value::Counter(n) | Value::Gauge(n) => n.to_string(),
            Value::Ticks(n) => format!("{}.{:02} s", n / 100, n % 100),
            Value::Counter64(n) => n.to_string(),
            Value::Unspecified => "nothing".to_owned(),
            Value::NoSuchObject => "no such object".to_owned(),
            Value::NoSuchInstance => "no such instance".to_owned(),
            Value::EndOfMibView => "the end".to_owned(),
        }
    }
}

/// Formats a DateAndTime by the display hint of RFC 2579, but with leading zeros.
fn date(bytes: &[u8]) -> String {
    match bytes {
        [high, low, month, day, hour, minute, second, deci, zone @ ..] => {
            let year = u16::from_be_bytes([*high, *low]);
            let zone = match zone {
                [sign, hours, minutes] => format!(" {}{hours:02}:{minutes:02}", char::from(*sign)),
                _ => String::new(),
            };
            format!("{year}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02}.{deci}{zone}")
        }
        _ => bytes.iter().map(|b| format!("{b:02x}")).collect(),
    }
}

/// The SMIv2 name of the type of a value on the wire.
pub fn syntax(value: &Value) -> &'static str {
    match value {
        Value::Integer(_) => "INTEGER",
        Value::Octets(_) => "OCTET STRING",
        Value::Oid(_) => "OBJECT IDENTIFIER",
        Value::Address(_) => "IpAddress",
        Value::Counter(_) => "Counter32",
        Value::Gauge(_) => "Gauge32",
        Value::Ticks(_) => "TimeTicks",
        Value::Counter64(_) => "Counter64",
        Value::Unspecified => "NULL",
        Value::NoSuchObject => "noSuchObject",
        Value::NoSuchInstance => "noSuchInstance",
        Value::EndOfMibView => "endOfMibView",
    }
}
