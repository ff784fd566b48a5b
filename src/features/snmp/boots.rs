//! snmpEngineBoots, which must never decrease (RFC 3414, 2.2.2): a manager takes messages with fewer boots
//! for a replay, and messages recorded with the same number would be valid again.
//!
//! The value is the larger of two: one more than the value in the `snmpstate` file, and the seconds from 2020
//! to the start. The file alone is sufficient whatever the clock does. The clock alone, where no persistent
//! disk is available, is sufficient as long as it is not set back over a restart; managers then refuse the
//! agent until their state is reset or the clock has passed its former value. With both, the value increases
//! as long as one of them is intact.

use std::fs;
use std::io::Write;
use std::path::Path;

/// 2020-01-01 as Unix time; the boots derived from the clock last until 2088.
const CLOCK_BASE: i64 = 1_577_836_800;
/// Larger than any valid file.
const MAX_FILE: u64 = 1024;

/// A start of the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Start {
    pub boots: u32,
    /// The previous start, according to the file, had the same settings (RFC 3418, warmStart).
    pub warm: bool,
}

/// Reads the file's two numbers: the boots and the fingerprint of the settings.
fn read(path: &Path) -> Result<Option<(u32, u64)>, String> {
    match fs::metadata(path) {
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(e.to_string()),
        Ok(about) if about.len() > MAX_FILE => return Err("not a valid snmpstate file".into()),
        Ok(_) => {}
    }
    let text = fs::read_to_string(path).map_err(|e| e.to_string())?;
    let mut lines = text.lines();
    let mut line = |name: &str| lines.next().and_then(|l| l.strip_prefix(name)).map(str::to_owned);
    let boots = line("boots ").and_then(|n| n.parse().ok());
    let fingerprint = line("settings ").and_then(|n| u64::from_str_radix(&n, 16).ok());
    boots.zip(fingerprint).map(Some).ok_or_else(|| "not a valid snmpstate file".into())
}

/// Writes the file atomically: after a crash it has either the old or the new content.
fn write(path: &Path, boots: u32, fingerprint: u64) -> std::io::Result<()> {
    let new = path.with_extension("new");
    let mut file = fs::File::create(&new)?;
    file.write_all(format!("boots {boots}\nsettings {fingerprint:016x}\n").as_bytes())?;
    file.sync_all()?;
    fs::rename(&new, path)
}

/// Determines the boots for a start at this Unix time in seconds, with this fingerprint of the settings. An
/// error of the file is returned beside the result, which then comes from the clock.
pub fn count(path: Option<&Path>, unix: i64, fingerprint: u64) -> (Start, Option<String>) {
    let by_clock = u32::try_from(unix - CLOCK_BASE).unwrap_or(0).clamp(1, i32::MAX as u32);
    let Some(path) = path else { return (Start { boots: by_clock, warm: false }, None) };
    let (known, unread) = match read(path) {
        Ok(known) => (known, None),
        Err(why) => (None, Some(why)),
    };
    let boots = known.map_or(0, |(boots, _)| boots.saturating_add(1)).max(by_clock).min(i32::MAX as u32);
    let warm = known.is_some_and(|(_, before)| before == fingerprint);
    let unwritten = write(path, boots, fingerprint).err().map(|e| e.to_string());
    (Start { boots, warm }, unread.or(unwritten))
}

#[cfg(test)]
mod tests;
