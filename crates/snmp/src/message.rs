//! Encoding and decoding of messages and PDUs: SNMPv2c (RFC 1901), SNMPv3 (RFC 3412, 6, and 3414, 2.4) and
//! the PDUs of RFC 3416, 3. The BER encoding is done by the crate `rasn-snmp`, which only receives input that
//! has passed [`reader::check`].

use crate::reader::{self, Malformed};
use crate::{Oid, Value};
use rasn::types::{Integer, ObjectIdentifier, OctetString};
use rasn_snmp::v2::{self, VarBind, VarBindValue};
use rasn_snmp::v3;

/// Type of a PDU.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Kind {
    Get,
    GetNext,
    Response,
    Set,
    GetBulk,
    Inform,
    Trap,
    Report,
}

impl Kind {
    /// Whether the PDU expects a response: the confirmed class of RFC 3411, 2.8.
    pub fn confirmed(self) -> bool {
        !matches!(self, Kind::Response | Kind::Trap | Kind::Report)
    }
}

/// Values of the error-status (RFC 3416, 3) that this agent returns.
pub mod status {
    /// noError.
    pub const NONE: u32 = 0;
    /// tooBig.
    pub const TOO_BIG: u32 = 1;
    /// genErr.
    pub const GENERAL: u32 = 5;
    /// noAccess: the response to a SET, since nothing is writable.
    pub const NO_ACCESS: u32 = 6;
}

/// A PDU.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pdu {
    /// The type.
    pub kind: Kind,
    /// request-id.
    pub request: i32,
    /// error-status, or non-repeaters in a GetBulk.
    pub status: u32,
    /// error-index, or max-repetitions in a GetBulk.
    pub index: u32,
    /// The variable bindings: requested or reported names with their values.
    pub bindings: Vec<(Oid, Value)>,
}

/// A message of SNMPv2c.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Community {
    /// The community name.
    pub community: Vec<u8>,
    /// The PDU.
    pub pdu: Pdu,
}

/// The header of an SNMPv3 message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// msgID.
    pub id: i32,
    /// msgMaxSize: the longest message that the sender accepts.
    pub max_size: u32,
    /// msgFlags.
    pub flags: Flags,
    /// msgSecurityModel; 3 is USM.
    pub model: u32,
}

/// The only supported security model.
pub const USM: u32 = 3;

/// msgFlags (RFC 3412, 6.4).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flags {
    /// The message is authenticated.
    pub auth: bool,
    /// The PDU is encrypted.
    pub privacy: bool,
    /// A report may be sent if the message cannot be processed.
    pub reportable: bool,
}

/// msgSecurityParameters of USM (RFC 3414, 2.4).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Security {
    /// Id of the authoritative engine: the receiver of a request or inform, or the sender of a trap.
    pub engine: Vec<u8>,
    /// Its snmpEngineBoots.
    pub boots: u32,
    /// Its snmpEngineTime.
    pub time: u32,
    /// The user name.
    pub user: Vec<u8>,
    /// The digest, or zeros of the same length.
    pub auth: Vec<u8>,
    /// The salt of the initialisation vector.
    pub privacy: Vec<u8>,
}

/// The PDU of an SNMPv3 message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Data {
    /// Unencrypted.
    Plain(Scoped),
    /// Encrypted.
    Encrypted(Vec<u8>),
}

/// A PDU with its context (RFC 3412, 6.8).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scoped {
    /// contextEngineID.
    pub engine: Vec<u8>,
    /// contextName. The agent has only the default context, whose name is empty.
    pub context: Vec<u8>,
    /// The PDU.
    pub pdu: Pdu,
}

/// A message of SNMPv3.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Secured {
    /// The header.
    pub header: Header,
    /// The security parameters.
    pub security: Security,
    /// The scoped PDU, possibly encrypted.
    pub data: Data,
}

const INVALID: Malformed = Malformed("not a valid message of this version");

/// Reserved combinations of flags, or flags that are not exactly one byte long (RFC 3412, 7.2, 5d).
pub(crate) const INVALID_FLAGS: Malformed = Malformed("invalid message flags");

fn bounded_u32(n: &Integer) -> Result<u32, Malformed> {
    // RFC 3412 and 3414 limit all of these numbers to 2^31 - 1.
    i32::try_from(n).ok().and_then(|n| u32::try_from(n).ok()).ok_or(INVALID)
}

fn value(v: VarBindValue) -> Result<Value, Malformed> {
    use smi::{ApplicationSyntax as App, ObjectSyntax as Syntax, SimpleSyntax as Simple};
    Ok(match v {
        VarBindValue::Unspecified => Value::Unspecified,
        VarBindValue::NoSuchObject => Value::NoSuchObject,
        VarBindValue::NoSuchInstance => Value::NoSuchInstance,
        VarBindValue::EndOfMibView => Value::EndOfMibView,
        VarBindValue::Value(Syntax::Simple(simple)) => match simple {
            Simple::Integer(n) => Value::Integer(i32::try_from(&n).map_err(|_| INVALID)?),
            Simple::String(s) => Value::Octets(s.to_vec()),
            Simple::ObjectId(o) => Value::Oid(Oid::new(&o).ok_or(INVALID)?),
        },
        VarBindValue::Value(Syntax::ApplicationWide(app)) => match app {
            App::Address(a) => Value::Address(a.0.as_ref().try_into().map_err(|_| INVALID)?),
            App::Counter(n) => Value::Counter(n.0),
            App::Ticks(n) => Value::Ticks(n.0),
            // Opaque exists only for old agents (RFC 2578, 7.1.9); the reader rejects it.
            App::Arbitrary(_) => return Err(INVALID),
            App::BigCounter(n) => Value::Counter64(n.0),
            App::Unsigned(n) => Value::Gauge(n.0),
        },
    })
}

fn object_identifier(oid: &Oid) -> ObjectIdentifier {
    ObjectIdentifier::new_unchecked(oid.arcs().to_vec().into())
}

fn to_wire(v: &Value) -> VarBindValue {
    use smi::{ApplicationSyntax as App, ObjectSyntax as Syntax, SimpleSyntax as Simple};
    let simple = |s| VarBindValue::Value(Syntax::Simple(s));
    let app = |a| VarBindValue::Value(Syntax::ApplicationWide(a));
    match v {
        Value::Integer(n) => simple(Simple::Integer((*n).into())),
        Value::Octets(o) => simple(Simple::String(OctetString::from(o.clone()))),
        Value::Oid(o) => simple(Simple::ObjectId(object_identifier(o))),
        Value::Address(a) => app(App::Address(smi::IpAddress((*a).into()))),
        Value::Counter(n) => app(App::Counter(smi::Counter(*n))),
        Value::Gauge(n) => app(App::Unsigned(smi::Gauge(*n))),
        Value::Ticks(n) => app(App::Ticks(smi::TimeTicks(*n))),
        Value::Counter64(n) => app(App::BigCounter(smi::Counter64(*n))),
        Value::Unspecified => VarBindValue::Unspecified,
        Value::NoSuchObject => VarBindValue::NoSuchObject,
        Value::NoSuchInstance => VarBindValue::NoSuchInstance,
        Value::EndOfMibView => VarBindValue::EndOfMibView,
    }
}

/// The types of SMIv2, which `rasn-smi` defines in two modules.
mod smi {
    pub use rasn_smi::v1::{Counter, Gauge, IpAddress, TimeTicks};
    pub use rasn_smi::v2::{ApplicationSyntax, Counter64, ObjectSyntax, SimpleSyntax};
}

fn bindings(all: Vec<VarBind>) -> Result<Vec<(Oid, Value)>, Malformed> {
    all.into_iter().map(|b| Ok((Oid::new(&b.name).ok_or(INVALID)?, value(b.value)?))).collect()
}

fn pdu(from: v2::Pdus) -> Result<Pdu, Malformed> {
    let (kind, plain) = match from {
        v2::Pdus::GetBulkRequest(v2::GetBulkRequest(b)) => {
            let bindings = bindings(b.variable_bindings)?;
            let (status, index) = (b.non_repeaters, b.max_repetitions);
            return Ok(Pdu { kind: Kind::GetBulk, request: b.request_id, status, index, bindings });
        }
        v2::Pdus::GetRequest(p) => (Kind::Get, p.0),
        v2::Pdus::GetNextRequest(p) => (Kind::GetNext, p.0),
        v2::Pdus::Response(p) => (Kind::Response, p.0),
        v2::Pdus::SetRequest(p) => (Kind::Set, p.0),
        v2::Pdus::InformRequest(p) => (Kind::Inform, p.0),
        v2::Pdus::Trap(p) => (Kind::Trap, p.0),
        v2::Pdus::Report(p) => (Kind::Report, p.0),
    };
    let (status, index) = (plain.error_status, plain.error_index);
    Ok(Pdu { kind, request: plain.request_id, status, index, bindings: bindings(plain.variable_bindings)? })
}

fn pdus(from: &Pdu) -> v2::Pdus {
    let bind = |(n, v): &(Oid, Value)| VarBind { name: object_identifier(n), value: to_wire(v) };
    let variable_bindings: Vec<VarBind> = from.bindings.iter().map(bind).collect();
    let (request_id, error_status, error_index) = (from.request, from.status, from.index);
    if from.kind == Kind::GetBulk {
        let (non_repeaters, max_repetitions) = (error_status, error_index);
        let bulk = v2::BulkPdu { request_id, non_repeaters, max_repetitions, variable_bindings };
        return v2::Pdus::GetBulkRequest(v2::GetBulkRequest(bulk));
    }
    let plain = v2::Pdu { request_id, error_status, error_index, variable_bindings };
    match from.kind {
        Kind::Get | Kind::GetBulk => v2::Pdus::GetRequest(v2::GetRequest(plain)),
        Kind::GetNext => v2::Pdus::GetNextRequest(v2::GetNextRequest(plain)),
        Kind::Response => v2::Pdus::Response(v2::Response(plain)),
        Kind::Set => v2::Pdus::SetRequest(v2::SetRequest(plain)),
        Kind::Inform => v2::Pdus::InformRequest(v2::InformRequest(plain)),
        Kind::Trap => v2::Pdus::Trap(v2::Trap(plain)),
        Kind::Report => v2::Pdus::Report(v2::Report(plain)),
    }
}

/// Encodes a value; empty if it cannot be encoded, which no value built by this package causes.
fn encode<T: rasn::Encode>(what: &T) -> Vec<u8> {
    rasn::ber::encode(what).unwrap_or_default()
}

fn decode<T: rasn::Decode>(bytes: &[u8]) -> Result<T, Malformed> {
    rasn::ber::decode(bytes).map_err(|_| INVALID)
}

impl Community {
    /// Decodes a message that has passed [`reader::check`].
    pub fn read(bytes: &[u8]) -> Result<Community, Malformed> {
        let message: rasn_snmp::v2c::Message<v2::Pdus> = decode(bytes)?;
        Ok(Community { community: message.community.to_vec(), pdu: pdu(message.data)? })
    }

    /// Encodes the message.
    pub fn bytes(&self) -> Vec<u8> {
        let community = OctetString::from(self.community.clone());
        encode(&rasn_snmp::v2c::Message { version: 1.into(), community, data: pdus(&self.pdu) })
    }
}

impl Flags {
    fn read(octets: &[u8]) -> Result<Flags, Malformed> {
        let [bits] = octets else { return Err(INVALID_FLAGS) };
        let flags = Flags { auth: bits & 1 != 0, privacy: bits & 2 != 0, reportable: bits & 4 != 0 };
        // Privacy without authentication is reserved (RFC 3412, 7.2, 5d).
        Some(flags).filter(|f| f.auth || !f.privacy).ok_or(INVALID_FLAGS)
    }

    fn bits(self) -> u8 {
        u8::from(self.auth) | u8::from(self.privacy) << 1 | u8::from(self.reportable) << 2
    }
}

impl Scoped {
    /// Decodes a scoped PDU. Its bytes are validated here, since decrypted bytes have not passed the check of
    /// the datagram.
    pub fn read(bytes: &[u8]) -> Result<Scoped, Malformed> {
        reader::check(bytes)?;
        Scoped::from_wire(decode(bytes)?)
    }

    fn from_wire(from: v3::ScopedPdu) -> Result<Scoped, Malformed> {
        let (engine, context) = (from.engine_id.to_vec(), from.name.to_vec());
        Ok(Scoped { engine, context, pdu: pdu(from.data)? })
    }

    fn to_wire(&self) -> v3::ScopedPdu {
        let octets = |o: &[u8]| OctetString::from(o.to_vec());
        let (engine_id, name) = (octets(&self.engine), octets(&self.context));
        v3::ScopedPdu { engine_id, name, data: pdus(&self.pdu) }
    }

    /// Encodes the scoped PDU.
    pub fn bytes(&self) -> Vec<u8> {
        encode(&self.to_wire())
    }
}

impl Secured {
    /// Decodes a message that has passed [`reader::check`], and its security parameters, which are encoded
    /// separately in an octet string.
    pub fn read(bytes: &[u8]) -> Result<Secured, Malformed> {
        let message: v3::Message = decode(bytes)?;
        let head = &message.global_data;
        let header = Header {
            id: i32::try_from(&head.message_id).map_err(|_| INVALID)?,
            max_size: bounded_u32(&head.max_size)?,
            flags: Flags::read(&head.flags)?,
            model: bounded_u32(&head.security_model)?,
        };
        reader::check(&message.security_parameters)?;
        let usm: v3::USMSecurityParameters = decode(&message.security_parameters)?;
        let security = Security {
            engine: usm.authoritative_engine_id.to_vec(),
            boots: bounded_u32(&usm.authoritative_engine_boots)?,
            time: bounded_u32(&usm.authoritative_engine_time)?,
            user: usm.user_name.to_vec(),
            auth: usm.authentication_parameters.to_vec(),
            privacy: usm.privacy_parameters.to_vec(),
        };
        let data = match message.scoped_data {
            v3::ScopedPduData::CleartextPdu(scoped) => Data::Plain(Scoped::from_wire(scoped)?),
            v3::ScopedPduData::EncryptedPdu(octets) => Data::Encrypted(octets.to_vec()),
        };
        Ok(Secured { header, security, data })
    }

    /// Encodes the message.
    pub fn bytes(&self) -> Vec<u8> {
        let octets = |o: &[u8]| OctetString::from(o.to_vec());
        let s = &self.security;
        let usm = v3::USMSecurityParameters {
            authoritative_engine_id: octets(&s.engine),
            authoritative_engine_boots: s.boots.into(),
            authoritative_engine_time: s.time.into(),
            user_name: octets(&s.user),
            authentication_parameters: octets(&s.auth),
            privacy_parameters: octets(&s.privacy),
        };
        let global_data = v3::HeaderData {
            message_id: self.header.id.into(),
            max_size: self.header.max_size.into(),
            flags: octets(&[self.header.flags.bits()]),
            security_model: self.header.model.into(),
        };
        let scoped_data = match &self.data {
            Data::Plain(scoped) => v3::ScopedPduData::CleartextPdu(scoped.to_wire()),
            Data::Encrypted(o) => v3::ScopedPduData::EncryptedPdu(octets(o)),
        };
        let security_parameters = octets(&encode(&usm));
        encode(&v3::Message { version: 3.into(), global_data, security_parameters, scoped_data })
    }
}

/// Encoded length of an element whose contents have this length.
fn element_len(contents: usize) -> usize {
    let length = match contents {
        0..=0x7f => 1,
        0x80..=0xff => 2,
        0x100..=0xffff => 3,
        _ => 4,
    };
    1 + length + contents
}

/// Encoded length of a variable binding.
pub fn binding_len(name: &Oid, value: &Value) -> usize {
    element_len(element_len(name.encoded_len()) + element_len(value.encoded_len()))
}
