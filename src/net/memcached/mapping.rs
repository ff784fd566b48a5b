//! Maps requests of the memcached protocol to streams. The protocol has no class, tenant, deadline, id or
//! retry mark. This file alone decides where each comes from; a request for which one cannot be known is
//! refused.
//!
//! | | comes from |
//! | --- | --- |
//! | class | the command: reads are of one class, writes of another, both by settings |
//! | tenant | the login, or the setting of the port |
//! | deadline | a setting for each of the two, less the time that the command has waited here |
//! | id | generated here, never the same twice |
//! | retry mark | nowhere: no try is taken for a retry |
//! | idempotency key | the CAS of a write, with everything that the write says |

use super::Settings;
use crate::codec::discovery::hash_id;
use crate::core::{DownstreamId, Message, NewStream};
use crate::interface::*;
use crate::net::command;
use crate::settings::Site;
use crate::state::mix;
use memcached::{Opcode, Request, Status};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// The class of reads or writes on this port.
#[derive(Debug)]
struct ClassMapping {
    class: ClassId,
    name: String,
    wait: Micros,
    /// Nodes drop repeats by an idempotency key, so a write needs one.
    needs_key: bool,
}

#[derive(Debug)]
pub struct RequestMapping {
    reads: ClassMapping,
    writes: Option<ClassMapping>,
    /// The tenant of a connection without login; none if logins are required.
    pub(super) tenant: Option<Tenant>,
    seed: u64,
    ids: Cell<u64>,
}

/// The tenant that a request belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    pub id: TenantId,
    /// Empty if the site has no tenants.
    pub name: Rc<str>,
}

impl Tenant {
    pub fn named(name: &str, site: &Site) -> Option<Tenant> {
        let at = site.tenants.iter().position(|t| t == name)?;
        Some(Tenant { id: TenantId(at as u32), name: name.into() })
    }
}

/// Why a request doesn't become a stream.
pub type Rejection = (Status, &'static str);

impl RequestMapping {
    pub(super) fn new(settings: &Settings, site: &Site, seed: u64) -> Result<RequestMapping, String> {
        let classes = &site.settings.classes;
        let resolve = |setting: &str, name: &Option<String>, wait: Option<Micros>, repeat: Repeat| {
            let at = match name {
                Some(name) => {
                    let at = site.classes.iter().position(|class| class == name);
                    Some(at.ok_or_else(|| format!("{setting}: unknown class {}", name.escape_debug()))?)
                }
                // The only class that fits; among several the operator has to choose.
                None => {
                    let mut all = (0..classes.len()).filter(|at| classes[*at].repeat == repeat);
                    all.next().filter(|_| all.next().is_none())
                }
            };
            Ok::<_, String>(at.and_then(|at| {
                let class = classes.get(at)?;
                let needs_key = class.repeat == Repeat::Dedup;
                let name = site.classes.get(at)?.clone();
                // A client gives up a try after 50 to 80 percent of the time it has in all.
                Some(ClassMapping {
                    class: ClassId(at as u16),
                    name,
                    wait: wait.unwrap_or(class.limit / 2),
                    needs_key,
                })
            }))
        };
        let reads = resolve("memcachereads", &settings.reads, settings.read_wait, Repeat::Retryable)?;
        let writes = resolve("memcachewrites", &settings.writes, settings.write_wait, Repeat::Dedup)?;
        let reads = reads.ok_or(
            "memcachereads: name the class of reads; the site has not exactly one that may run again",
        )?;
        if !matches!(classes.get(usize::from(reads.class.0)), Some(c) if c.repeat == Repeat::Retryable) {
            return Err("memcachereads: the class of reads must be one whose requests may run again".into());
        }
        let tenant = match &settings.tenant {
            _ if site.tenants.is_empty() => Some(Tenant { id: TenantId(0), name: "".into() }),
            Some(_) if settings.passwords.is_some() => {
                return Err("memcachetenant: cannot be set with memcachepasswords, where the login decides the tenant".into());
            }
            Some(name) => {
                let tenant = Tenant::named(name, site);
                Some(
                    tenant
                        .ok_or_else(|| format!("memcachetenant: unknown tenant {}", name.escape_debug()))?,
                )
            }
            None if settings.passwords.is_some() => None,
            None => return Err("memcacheport: set memcachepasswords or memcachetenant".into()),
        };
        Ok(RequestMapping { reads, writes, tenant, seed: mix(seed ^ 0x6d63), ids: Cell::new(0) })
    }

    /// Turns a read or a write into a stream. `waited` is the time since its last byte arrived.
    pub(super) fn to_stream(
        &self,
        downstream: DownstreamId,
        place: u64,
        tenant: &Tenant,
        request: &Request,
        waited: Duration,
    ) -> Result<NewStream, Rejection> {
        let write = request.opcode.non_quiet() == Opcode::SET;
        let of = match (write, &self.writes) {
            (false, _) => &self.reads,
            (true, Some(of)) => of,
            (true, None) => return Err((Status::NOT_SUPPORTED, "writes have no class here")),
        };
        // The key is written into the line of an HTTP request when the origin is asked.
        if !request.key.iter().all(|b| b.is_ascii_graphic()) {
            return Err((Status::INVALID, "a key is printable, without spaces"));
        }
        if write && request.extras.iter().any(|b| *b != 0) {
            return Err((Status::INVALID, "flags and expiry are not kept, and have to be 0"));
        }
        if write && of.needs_key && request.cas == 0 {
            return Err((Status::INVALID, "a write needs its token in CAS, the same in each try of it"));
        }
        let patience = of.wait - i64::try_from(waited.as_micros()).unwrap_or(of.wait);
        if patience < 1000 {
            return Err((Status::TEMPORARY, "out of time, not asked"));
        }
        let mut properties = format!("c={}", of.name);
        if !tenant.name.is_empty() {
            properties.push_str(&format!(",t={}", tenant.name));
        }
        properties.push_str(&format!(",d={}", patience / 1000));
        if write && of.needs_key {
            properties.push_str(&format!(",k={}", idempotency(&tenant.name, request)));
        }
        let verb: &[u8] = if write { b"CACHE.SET" } else { b"CACHE.GET" };
        let message = Message {
            verb: verb.to_vec(),
            key: request.key.to_vec(),
            id: self.id().into_bytes(),
            properties: properties.into_bytes(),
            value: write.then(|| request.value.to_vec()),
            ..Message::default()
        };
        Ok(NewStream {
            downstream,
            place,
            class: of.class,
            tenant: tenant.id,
            key: command::hash_key(request.key),
            repeat: false,
            patience,
            hint: None,
            message: Rc::new(message),
        })
    }

    /// A unique id: a bijection of a counter, with a seed that is new at each start.
    fn id(&self) -> String {
        let n = self.ids.get();
        self.ids.set(n + 1);
        format!("{:016x}", mix(self.seed.wrapping_add(n)))
    }
}

/// The key by which nodes and the origin drop repeats. A retry has the same tenant, key, value and token; a
/// request that differs in one of them is another instruction and runs. So the key is the same at every proxy
/// that a retry may reach, and no proxy has to remember anything.
fn idempotency(tenant: &str, request: &Request) -> String {
    let mut material = Vec::with_capacity(tenant.len() + request.key.len() + request.value.len() + 16);
    for part in [tenant.as_bytes(), request.key, request.value] {
        material.extend_from_slice(&(part.len() as u64).to_be_bytes());
        material.extend_from_slice(part);
    }
    format!("{:016x}{:016x}", request.cas, hash_id(&material))
}

#[cfg(test)]
mod tests;
