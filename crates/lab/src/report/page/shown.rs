//! How a figure stands on the page: the one place for the rounding.
//!
//! - Three significant digits, without zeros at the end behind the point; thousands are set off by commas.
//! - A whole number below a million stands in full, bytes and bits below ten thousand.
//! - From a million on counts are told in millions or billions. Bytes and bits take the decimal prefix that leaves
//!   less than a thousand before the point, from ten thousand on; seconds `us`, `ms` or `s`.
//! - Parts of one, and parts of a core, are told in percent.
//! - Below a thousandth a count or a part has an exponent, as `3.91e-7`.

/// What a figure counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize)]
pub enum Unit {
    /// Things, or times as much.
    #[default]
    #[serde(rename = "", alias = "1")]
    Count,
    /// Things a second.
    #[serde(rename = "/s", alias = "1/s")]
    Rate,
    /// Bytes.
    #[serde(rename = "B")]
    Bytes,
    /// Bytes that are told in 1,024s.
    #[serde(rename = "KiB")]
    Kibibytes,
    /// Bytes a second.
    #[serde(rename = "B/s")]
    ByteRate,
    /// Bits a second.
    #[serde(rename = "bit/s")]
    BitRate,
    /// Seconds.
    #[serde(rename = "s")]
    Seconds,
    /// A part of one, or of a core.
    #[serde(rename = "%", alias = "s/s")]
    Part,
}

/// Three significant digits of a number, without an exponent.
fn three(value: f64) -> String {
    if value == 0.0 {
        return "0".to_owned();
    }
    let magnitude = value.abs().log10().floor() as i32;
    // Rounding may carry to the next digit: 999.6 is 1,000.
    let step = 10f64.powi(magnitude - 2);
    let rounded = (value / step).round() * step;
    let decimals = usize::try_from(2 - magnitude).unwrap_or(0);
    let text = format!("{rounded:.decimals$}");
    let text = if text.contains('.') { text.trim_end_matches('0').trim_end_matches('.') } else { &text };
    grouped(text)
}

/// Commas between the thousands.
fn grouped(text: &str) -> String {
    let (sign, text) = text.strip_prefix('-').map_or(("", text), |t| ("-", t));
    let (whole, rest) = text.split_once('.').map_or((text, String::new()), |(w, r)| (w, format!(".{r}")));
    let mut out = String::new();
    for (i, digit) in whole.chars().enumerate() {
        if i > 0 && (whole.len() - i) % 3 == 0 {
            out.push(',');
        }
        out.push(digit);
    }
    format!("{sign}{out}{rest}")
}

fn is_whole(value: f64, below: f64) -> bool {
    value.fract() == 0.0 && value.abs() < below
}

fn count(value: f64) -> String {
    match value.abs() {
        _ if is_whole(value, 1e6) => grouped(&format!("{value:.0}")),
        v if v >= 1e9 => format!("{} billion", three(value / 1e9)),
        v if v >= 1e6 => format!("{} million", three(value / 1e6)),
        v if v < 1e-3 => format!("{value:.2e}"),
        _ => three(value),
    }
}

const PREFIXES: [&str; 6] = ["", "K", "M", "G", "T", "P"];

fn prefixed(value: f64, unit: &str) -> String {
    if is_whole(value, 1e4) {
        return format!("{} {unit}", grouped(&format!("{value:.0}")));
    }
    let (mut value, mut prefix) = (value, 0);
    // What would be rounded up to a thousand is one of the next.
    while value.abs() >= 999.5 && prefix + 1 < PREFIXES.len() {
        (value, prefix) = (value / 1e3, prefix + 1);
    }
    format!("{} {}{unit}", three(value), PREFIXES[prefix])
}

/// A figure as the page has it.
pub fn shown(value: f64, unit: Unit) -> String {
    match unit {
        Unit::Count => count(value),
        Unit::Rate => format!("{}/s", count(value)),
        Unit::Bytes => prefixed(value, "B"),
        Unit::Kibibytes => format!("{} KiB", count(value)),
        Unit::ByteRate => prefixed(value, "B/s"),
        Unit::BitRate => prefixed(value, "bit/s"),
        Unit::Seconds => match value.abs() {
            v if v >= 0.9995 || v == 0.0 => format!("{} s", three(value)),
            v if v >= 0.000_999_5 => format!("{} ms", three(value * 1e3)),
            _ => format!("{} us", three(value * 1e6)),
        },
        Unit::Part if value != 0.0 && value.abs() < 1e-5 => format!("{:.2e}%", value * 1e2),
        Unit::Part => format!("{}%", three(value * 1e2)),
    }
}

/// The sign behind a figure in which no measurement has a part, and which isn't the users' own.
pub const ASSUMED: char = '†';

/// How far a figure reaches from the start of a text: a number, what it counts, and [`ASSUMED`].
pub fn extent(text: &str) -> &str {
    let digits = |from: &str| from.len() - from.trim_start_matches(|c: char| c.is_ascii_digit()).len();
    let sign = usize::from(text.starts_with('-'));
    let mut at = sign + digits(&text[sign..]);
    if at == sign {
        return "";
    }
    // A comma or point belongs to the number where a digit follows.
    while text[at..].starts_with([',', '.']) && digits(&text[at + 1..]) > 0 {
        at += 1 + digits(&text[at + 1..]);
    }
    for exponent in ["e-", "e"] {
        let behind = text[at..].strip_prefix(exponent).map_or(0, digits);
        if behind > 0 {
            at += exponent.len() + behind;
            break;
        }
    }
    for scale in [" million", " billion"] {
        if text[at..].starts_with(scale) {
            at += scale.len();
        }
    }
    let word = text[at..].trim_start_matches(' ');
    let prefixed = word.strip_prefix(['K', 'M', 'G', 'T', 'P']).unwrap_or(word);
    let unit = ["bit/s", "B/s", "B"].into_iter().find(|u| ends(prefixed, u));
    let unit = unit.map(|u| word.len() - prefixed.len() + u.len());
    let other = || ["KiB", "us", "ms", "s"].into_iter().find(|u| ends(word, u)).map(str::len);
    if let Some(length) = unit.or_else(other).filter(|_| text[at..].starts_with(' ')) {
        at += text[at..].len() - word.len() + length;
    } else if text[at..].starts_with('%') {
        at += 1;
    } else if ends(&text[at..], "/s") {
        at += 2;
    }
    if text[at..].starts_with(ASSUMED) {
        at += ASSUMED.len_utf8();
    }
    &text[..at]
}

/// Whether the text starts with this unit and not with a longer word.
fn ends(text: &str, unit: &str) -> bool {
    text.strip_prefix(unit).is_some_and(|rest| !rest.starts_with(|c: char| c.is_alphanumeric() || c == '/'))
}
