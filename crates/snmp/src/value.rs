//! Values of managed objects, in the types of SMIv2 (RFC 2578, 7.1) and the exceptions of RFC 3416, 3.

use crate::Oid;

/// The value of a variable binding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    /// INTEGER, Integer32 and enumerations.
    Integer(i32),
    /// OCTET STRING.
    Octets(Vec<u8>),
    /// OBJECT IDENTIFIER.
    Oid(Oid),
    /// IpAddress.
    Address([u8; 4]),
    /// Counter32.
    Counter(u32),
    /// Gauge32 and Unsigned32, which are the same on the wire.
    Gauge(u32),
    /// TimeTicks, hundredths of a second.
    Ticks(u32),
    /// Counter64.
    Counter64(u64),
    /// Placeholder in the bindings of a request (unSpecified).
    Unspecified,
    /// noSuchObject: the view has no such object.
    NoSuchObject,
    /// noSuchInstance: the object exists, but not this instance of it.
    NoSuchInstance,
    /// endOfMibView: no instance follows this name.
    EndOfMibView,
}

impl Value {
    /// A string.
    pub fn text(text: &str) -> Value {
        Value::Octets(text.as_bytes().to_vec())
    }

    /// A Gauge32, which saturates at its maximum.
    pub fn gauge(n: u64) -> Value {
        Value::Gauge(u32::try_from(n).unwrap_or(u32::MAX))
    }

    /// A duration as TimeTicks, which wrap after 497 days.
    pub fn ticks(span: crate::Micros) -> Value {
        Value::Ticks((span.max(0) / 10_000) as u32)
    }

    /// TruthValue (RFC 2579).
    pub fn truth(is: bool) -> Value {
        Value::Integer(if is { 1 } else { 2 })
    }

    /// DateAndTime (RFC 2579) of a Unix time in microseconds, in UTC.
    pub fn date(unix: crate::Micros) -> Value {
        let seconds = unix.div_euclid(crate::SECOND);
        let (days, second) = (seconds.div_euclid(86_400), seconds.rem_euclid(86_400));
        // Converts days since the epoch to a date, as in Howard Hinnant, "chrono-Compatible Low-Level Date
        // Algorithms".
        let z = days + 719_468;
        let era = z.div_euclid(146_097);
        let doe = z.rem_euclid(146_097);
        let yoe = (doe - doe / 1460 + doe / 36_524 - doe / 146_096) / 365;
        let doy = doe - (365 * yoe + yoe / 4 - yoe / 100);
        let mp = (5 * doy + 2) / 153;
        let (day, month) = (doy - (153 * mp + 2) / 5 + 1, if mp < 10 { mp + 3 } else { mp - 9 });
        let year = (yoe + era * 400 + i64::from(month <= 2)) as u16;
        let deci = unix.rem_euclid(crate::SECOND) / 100_000;
        let [high, low] = year.to_be_bytes();
        let rest = [month, day, second / 3600, second / 60 % 60, second % 60, deci].map(|n| n as u8);
        let mut octets = vec![high, low];
        octets.extend(rest);
        octets.extend([b'+', 0, 0]);
        Value::Octets(octets)
    }

    /// Length of the BER contents in bytes.
    pub fn encoded_len(&self) -> usize {
        // An unsigned number gets a leading zero byte if its top bit is set.
        let unsigned = |n: u64| (64 - n.leading_zeros() as usize) / 8 + 1;
        match self {
            Value::Integer(n) => (33 - n.unsigned_abs().leading_zeros() as usize).div_ceil(8).max(1),
            Value::Octets(o) => o.len(),
            Value::Oid(o) => o.encoded_len(),
            Value::Address(_) => 4,
            Value::Counter(n) | Value::Gauge(n) | Value::Ticks(n) => unsigned(u64::from(*n)),
            Value::Counter64(n) => unsigned(*n),
            _ => 0,
        }
    }
}
