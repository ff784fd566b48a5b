//! What a request means here. The protocol has no class, tenant, deadline, id or retry mark; where each comes
//! from is decided in this file alone, and what cannot be known is refused.
//!
//! | | comes from |
//! | --- | --- |
//! | class | the command: reads are of one class, writes of another, both by settings |
//! | tenant | who has logged in, or the setting of the port |
//! | deadline | a setting for each of the two, less the time that the command has waited here |
//! | id | made here, never the same twice |
//! | retry mark | nowhere: no try is taken for a retry |
//! | idempotency key | the CAS of a write, with all that the write says |

use super::Settings;
use crate::codec::discovery::hash_id;
use crate::core::{DownstreamId, Message, NewStream};
use crate::interface::*;
use crate::net::vocabulary;
use crate::settings::Site;
use crate::state::mix;
use memcached::{Opcode, Request, Status};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// A class as this port uses it.
#[derive(Debug)]
struct Use {
    class: ClassId,
    name: String,
    wait: Micros,
    /// Nodes drop repeats by a key, so that a write has to have one.
    keyed: bool,
}

#[derive(Debug)]
pub struct Words {
    reads: Use,
    writes: Option<Use>,
    /// The tenant of who has not logged in: none where one has to, or where the setting is absent.
    pub(super) tenant: Option<Tenant>,
    seed: u64,
    ids: Cell<u64>,
}

/// Whose a request is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    pub id: TenantId,
    /// Empty where the site has no tenants.
    pub name: Rc<str>,
}

impl Tenant {
    pub fn named(name: &str, site: &Site) -> Option<Tenant> {
        let at = site.tenants.iter().position(|t| t == name)?;
        Some(Tenant { id: TenantId(at as u32), name: name.into() })
    }
}

/// Why a request is not asked at all.
pub type Unasked = (Status, &'static str);

impl Words {
    pub(super) fn new(settings: &Settings, site: &Site, seed: u64) -> Result<Words, String> {
        let classes = &site.settings.classes;
        let fit = |setting: &str, name: &Option<String>, wait: Option<Micros>, repeat: Repeat| {
            let at = match name {
                Some(name) => {
                    let at = site.classes.iter().position(|class| class == name);
                    Some(at.ok_or_else(|| format!("{setting}: unknown class {}", name.escape_debug()))?)
                }
                // The only one that it can be; among several nobody chooses but the operator.
                None => {
                    let mut all = (0..classes.len()).filter(|at| classes[*at].repeat == repeat);
                    all.next().filter(|_| all.next().is_none())
                }
            };
            Ok::<_, String>(at.and_then(|at| {
                let class = classes.get(at)?;
                let keyed = class.repeat == Repeat::Dedup;
                let name = site.classes.get(at)?.clone();
                // A try is given up after 50 to 80 percent of the time that its client has in all.
                Some(Use { class: ClassId(at as u16), name, wait: wait.unwrap_or(class.limit / 2), keyed })
            }))
        };
        let reads = fit("memcachereads", &settings.reads, settings.read_wait, Repeat::Retryable)?;
        let writes = fit("memcachewrites", &settings.writes, settings.write_wait, Repeat::Dedup)?;
        let reads = reads.ok_or("memcachereads: which class reads are of is not to be guessed here")?;
        if !matches!(classes.get(usize::from(reads.class.0)), Some(c) if c.repeat == Repeat::Retryable) {
            return Err("memcachereads: a class of reads is wanted, which may run again".into());
        }
        let tenant = match &settings.tenant {
            _ if site.tenants.is_empty() => Some(Tenant { id: TenantId(0), name: "".into() }),
            Some(_) if settings.passwords.is_some() => {
                return Err("memcachetenant: with memcachepasswords, a tenant is known by its login".into());
            }
            Some(name) => {
                let tenant = Tenant::named(name, site);
                Some(
                    tenant
                        .ok_or_else(|| format!("memcachetenant: unknown tenant {}", name.escape_debug()))?,
                )
            }
            None if settings.passwords.is_some() => None,
            None => return Err("memcacheport: memcachepasswords or memcachetenant is wanted".into()),
        };
        Ok(Words { reads, writes, tenant, seed: mix(seed ^ 0x6d63), ids: Cell::new(0) })
    }

    /// A read or a write as a stream. `waited` is the time since its last byte came.
    pub(super) fn ask(
        &self,
        downstream: DownstreamId,
        place: u64,
        tenant: &Tenant,
        request: &Request,
        waited: Duration,
    ) -> Result<NewStream, Unasked> {
        let write = request.opcode.non_quiet() == Opcode::SET;
        let of = match (write, &self.writes) {
            (false, _) => &self.reads,
            (true, Some(of)) => of,
            (true, None) => return Err((Status::NOT_SUPPORTED, "writes have no class here")),
        };
        // It goes into the line of an HTTP request when the origin is asked.
        if !request.key.iter().all(|b| b.is_ascii_graphic()) {
            return Err((Status::INVALID, "a key is printable, without spaces"));
        }
        if write && request.extras.iter().any(|b| *b != 0) {
            return Err((Status::INVALID, "flags and expiry are not kept, and have to be 0"));
        }
        if write && of.keyed && request.cas == 0 {
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
        if write && of.keyed {
            properties.push_str(&format!(",k={}", idempotency(&tenant.name, request)));
        }
        let verb: &[u8] = if write { b"CACHE.SET" } else { b"CACHE.GET" };
        let message = Message {
            verb: verb.to_vec(),
            key: request.key.to_vec(),
            id: self.id().into_bytes(),
            properties: properties.into_bytes(),
            value: write.then(|| request.value.to_vec()),
        };
        Ok(NewStream {
            downstream,
            place,
            class: of.class,
            tenant: tenant.id,
            key: vocabulary::key(request.key),
            repeat: false,
            patience,
            hint: None,
            message: Rc::new(message),
        })
    }

    /// An id that no request had before: a bijection of a count, by a seed that is new with each start.
    fn id(&self) -> String {
        let n = self.ids.get();
        self.ids.set(n + 1);
        format!("{:016x}", mix(self.seed.wrapping_add(n)))
    }
}

/// The key by which nodes and the origin drop repeats. A retry is the same bytes: who asks, which key, which
/// value, which token. Whatever differs in one of them is another instruction, and runs. So it is the same at
/// every proxy, whichever of them a retry comes to, and nobody has to remember anything.
fn idempotency(tenant: &str, request: &Request) -> String {
    let mut said = Vec::with_capacity(tenant.len() + request.key.len() + request.value.len() + 16);
    for part in [tenant.as_bytes(), request.key, request.value] {
        said.extend_from_slice(&(part.len() as u64).to_be_bytes());
        said.extend_from_slice(part);
    }
    format!("{:016x}{:016x}", request.cas, hash_id(&said))
}

#[cfg(test)]
mod tests;
