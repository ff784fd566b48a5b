//! The JSON configuration file. The environment variables `NODE_NAME`, `NODE_LISTEN` and `NODE_DISCOVERY`
//! replace missing keys.

use crate::codec::discovery::{self, Cluster};
use crate::settings::{self, Site};
use serde_json::Value;
use std::net::SocketAddr;

/// The parsed configuration.
#[derive(Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    /// Maximum number of open file descriptors of the process.
    pub sockets: usize,
    /// Memory limit of the process, in bytes.
    pub memory: usize,
    pub known: Cluster,
    /// One-line description of the entries of `known` that could not be parsed.
    pub known_error: Option<String>,
    pub site: Site,
}

/// Loads and parses a configuration file; the error names the file.
pub fn load(path: &str) -> Result<Config, String> {
    let text = std::fs::read(path).map_err(|e| format!("configuration {path}: {e}"))?;
    read(&text).map_err(|e| format!("configuration {path}: {e}"))
}

fn read(text: &[u8]) -> Result<Config, String> {
    let v: Value = serde_json::from_slice(text).map_err(|e| format!("not JSON: {e}"))?;
    let string = |key: &str, variable: &str| {
        let value = v.get(key).and_then(Value::as_str).map(str::to_owned);
        value.or_else(|| std::env::var(variable).ok()).ok_or_else(|| format!("{key} is missing"))
    };
    let address = |key: &str, variable: &str| {
        string(key, variable)?.parse().map_err(|_| format!("{key} is not an address like 127.0.0.1:6379"))
    };
    let site = settings::site(v.get("settings").ok_or("settings is missing")?)?;
    // Discovery sends a current list soon after the start, so an unreadable cached list must not prevent it.
    let none = || Cluster { revision: 0, complete: true, nodes: Vec::new() };
    let known = v.get("known").map(|known| discovery::list_from_json(known, &site));
    let (known, known_error) =
        known.unwrap_or_else(|| Ok((none(), None))).unwrap_or_else(|error| (none(), Some(error)));
    let seed = v.get("seed").and_then(Value::as_str).unwrap_or_default();
    let sockets = v.pointer("/limits/sockets").map(|n| n.as_u64().filter(|n| *n >= 64));
    let memory = v.pointer("/limits/memory_mb").map(|n| n.as_f64().filter(|mb| (1.0..=1e7).contains(mb)));
    let memory = memory.unwrap_or(Some(192.0)).ok_or("limits.memory_mb is not a number of 1 or more")?;
    Ok(Config {
        name: string("name", "NODE_NAME").unwrap_or_else(|_| "martenweir".into()),
        listen: address("listen", "NODE_LISTEN")?,
        discovery: address("discovery", "NODE_DISCOVERY")?,
        // Any string is accepted; the platform passes hexadecimal digits. Other strings are hashed.
        seed: u64::from_str_radix(seed, 16).unwrap_or_else(|_| discovery::hash_id(seed.as_bytes())),
        sockets: sockets.unwrap_or(Some(1024)).ok_or("limits.sockets is not a number of 64 or more")?
            as usize,
        memory: (memory * 1024.0 * 1024.0) as usize,
        known,
        known_error,
        site,
    })
}
