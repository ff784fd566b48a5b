//! Decodes event records and encodes action records. Big-endian; lengths are checked before use.

use martenweir::interface::*;

/// A malformed batch: the error, the index of the record (from 0) and the byte offset in the batch.
#[derive(Debug)]
pub struct Malformed {
    pub what: String,
    pub record: usize,
    pub offset: usize,
}

/// An event record: an event for an instance, or the start or end of one.
pub enum Record<'a> {
    Begin { seed: u64, options: &'a [u8] },
    Stop,
    Event(Event),
}

/// Bytes of the batch header up to and including the length field.
pub const HEADER_LEN: usize = 12;
const ENTRY_LEN: usize = 25;
const MAX_MS: f64 = 1e12;

pub struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
    /// Offset of `bytes` in the batch, and the index of the record being read.
    base: usize,
    record: usize,
}

impl<'a> Reader<'a> {
    pub fn new(bytes: &'a [u8], base: usize) -> Self {
        Reader { bytes, at: 0, base, record: 0 }
    }

    fn bad<T>(&self, what: impl Into<String>) -> Result<T, Malformed> {
        Err(Malformed { what: what.into(), record: self.record, offset: self.base + self.at })
    }

    fn take(&mut self, n: usize) -> Result<&'a [u8], Malformed> {
        match self.bytes.get(self.at..).and_then(|b| b.get(..n)) {
            Some(b) => {
                self.at += n;
                Ok(b)
            }
            None => self.bad("the record is shorter than its fields"),
        }
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], Malformed> {
        let mut a = [0; N];
        a.copy_from_slice(self.take(N)?);
        Ok(a)
    }

    fn u8(&mut self) -> Result<u8, Malformed> {
        Ok(self.array::<1>()?[0])
    }
    fn u16(&mut self) -> Result<u16, Malformed> {
        Ok(u16::from_be_bytes(self.array()?))
    }
    fn u32(&mut self) -> Result<u32, Malformed> {
        Ok(u32::from_be_bytes(self.array()?))
    }
    fn u64(&mut self) -> Result<u64, Malformed> {
        Ok(u64::from_be_bytes(self.array()?))
    }
    fn f32(&mut self) -> Result<f32, Malformed> {
        Ok(f32::from_be_bytes(self.array()?))
    }

    fn micros(&mut self) -> Result<Micros, Malformed> {
        let ms = f64::from_be_bytes(self.array()?);
        if ms.is_finite() && ms.abs() < MAX_MS {
            Ok((ms * 1000.0).round() as Micros)
        } else {
            self.bad(format!("time {ms} is out of range"))
        }
    }

    fn server(&mut self) -> Result<ServerId, Malformed> {
        Ok(ServerId(self.array::<6>()?.iter().fold(0, |id, b| id << 8 | u64::from(*b))))
    }

    fn verdict(&mut self) -> Result<Verdict, Malformed> {
        Ok(match self.u16()? {
            100 => Verdict::Served,
            101 => Verdict::Miss,
            301 => Verdict::Error,
            302 => Verdict::Full,
            303 => Verdict::Timeout,
            304 => Verdict::ConnectFailed,
            305 => Verdict::Reset,
            306 => Verdict::Cancelled,
            307 => Verdict::Moot,
            other => return self.bad(format!("verdict {other} is unknown")),
        })
    }

    fn report(&mut self) -> Result<Vec<f32>, Malformed> {
        let n = usize::from(self.u8()?);
        if n * 4 > self.bytes.len() - self.at {
            return self.bad(format!("a load report of {n} values does not fit its record"));
        }
        (0..n).map(|_| self.f32()).collect()
    }

    fn entry(&mut self) -> Result<Member, Malformed> {
        Ok(Member {
            server: self.server()?,
            zone: ZoneId(self.u16()?),
            kind: KindId(self.u16()?),
            cell: CellId(self.u16()?),
            phase: match self.u8()? {
                3 => Phase::Ready,
                1 => Phase::Draining,
                0 => Phase::Gone,
                other => return self.bad(format!("phase {other} is unknown")),
            },
            weight: f64::from(self.f32()?),
            started: Some(self.micros()?).filter(|t| *t != 0),
        })
    }

    fn read_list(&mut self) -> Result<Event, Malformed> {
        self.u64()?;
        let form = match self.u8()? {
            1 => ListForm::Delta,
            0 => ListForm::Full,
            4 => ListForm::Cached,
            2 => ListForm::Failed,
            other => return self.bad(format!("list form {other} is unknown")),
        };
        let n = self.u32()? as usize;
        if n.checked_mul(ENTRY_LEN) != Some(self.bytes.len() - self.at) {
            return self.bad(format!("{n} entries do not fill their record"));
        }
        let entries = (0..n).map(|_| self.entry()).collect::<Result<_, _>>()?;
        Ok(Event::Members { form, entries })
    }

    fn read_request(&mut self) -> Result<Event, Malformed> {
        let id = RequestId(self.u64()?);
        let class = ClassId(self.u16()?);
        let flags = self.u8()?;
        let tenant = TenantId(self.u32()?);
        let key = Key(self.u64()?);
        let deadline = self.micros()?;
        let hint = self.micros()? as f64;
        self.f32()?;
        Ok(Event::Request(Request {
            id,
            class,
            tenant,
            key,
            write: flags & 4 != 0,
            repeat: flags & 2 != 0,
            deadline,
            hint: Some(hint).filter(|h| flags & 1 != 0 && *h > 0.0),
        }))
    }

    fn read_outcome(&mut self) -> Result<Event, Malformed> {
        Ok(Event::Outcome(Outcome {
            request: RequestId(self.u64()?),
            attempt: self.u8()?,
            server: self.server()?,
            verdict: self.verdict()?,
            elapsed: self.micros()?,
            finished: self.u8()? != 0,
            no_place: false,
            note: self.u32()?,
            report: self.report()?,
        }))
    }

    fn fields(&mut self, code: u8) -> Result<Record<'a>, Malformed> {
        Ok(Record::Event(match code {
            10 => {
                let seed = self.u64()?;
                let n = self.u32()? as usize;
                return Ok(Record::Begin { seed, options: self.take(n)? });
            }
            20 => self.read_list()?,
            30 => self.read_request()?,
            40 => {
                let (request, attempt) = (RequestId(self.u64()?), self.u8()?);
                self.server()?;
                self.micros()?;
                Event::First { request, attempt }
            }
            50 => self.read_outcome()?,
            60 => Event::ClientLeft(RequestId(self.u64()?)),
            70 => Event::Timer(Token(self.u64()?)),
            80 => Event::Probed {
                server: self.server()?,
                verdict: self.verdict()?,
                elapsed: self.micros()?,
                report: self.report()?,
            },
            _ => return Ok(Record::Stop),
        }))
    }

    /// The next record and its instance. A message from a peer has no meaning for this module and is
    /// returned as `None`.
    pub fn next(&mut self, record: usize) -> Result<(u32, Option<Record<'a>>), Malformed> {
        self.record = record;
        let code = self.u8()?;
        if !matches!(code, 10 | 20 | 30 | 40 | 50 | 60 | 70 | 80 | 90 | 100) {
            self.at -= 1;
            return self.bad(format!("event code {code} is unknown"));
        }
        let n = self.u32()? as usize;
        if n > self.bytes.len() - self.at {
            return self.bad(format!("a record of {n} bytes does not fit the batch"));
        }
        let end = self.at + n;
        let mut inner = Reader { bytes: &self.bytes[..end], at: self.at, base: self.base, record };
        let instance = inner.u32()?;
        let read = if code == 90 {
            inner.u16()?;
            let n = usize::from(inner.u16()?);
            inner.take(n)?;
            None
        } else {
            Some(inner.fields(code)?)
        };
        if inner.at != end {
            return inner.bad(format!("{} bytes are left over in the record", end - inner.at));
        }
        self.at = end;
        Ok((instance, read))
    }

    pub fn finish(&self, records: usize) -> Result<(), Malformed> {
        if self.at == self.bytes.len() {
            return Ok(());
        }
        Err(Malformed {
            what: "bytes are left over after the last record".into(),
            record: records,
            offset: self.base + self.at,
        })
    }
}

/// The batch header after the length field: record count and batch number.
pub fn batch_head(body: &[u8]) -> Option<(u32, u32)> {
    let word = |at: usize| body.get(at..at + 4).map(|b| u32::from_be_bytes([b[0], b[1], b[2], b[3]]));
    Some((word(0)?, word(4)?))
}

pub fn clock(head: &[u8; HEADER_LEN]) -> Option<Micros> {
    Reader::new(&head[..8], 0).micros().ok()
}

fn record(out: &mut Vec<u8>, code: u8, instance: u32, fields: impl FnOnce(&mut Vec<u8>)) {
    out.push(code);
    let start = out.len();
    out.extend([0; 4]);
    out.extend(instance.to_be_bytes());
    fields(out);
    let n = (out.len() - start - 4) as u32;
    out[start..start + 4].copy_from_slice(&n.to_be_bytes());
}

fn ms(t: Micros) -> [u8; 8] {
    (t as f64 / 1000.0).to_be_bytes()
}

fn address(s: ServerId) -> [u8; 6] {
    let b = s.0.to_be_bytes();
    [b[2], b[3], b[4], b[5], b[6], b[7]]
}

pub fn action(out: &mut Vec<u8>, instance: u32, a: &Action) {
    match a {
        Action::Send { request, server, timeout, .. } => record(out, 120, instance, |o| {
            o.extend(request.0.to_be_bytes());
            o.extend(ms(timeout.unwrap_or(0)));
            o.extend(address(*server));
        }),
        Action::Cancel { request, attempt } => record(out, 50, instance, |o| {
            o.extend(request.0.to_be_bytes());
            o.push(*attempt);
        }),
        Action::Refuse { request, retry_after } => record(out, 10, instance, |o| {
            o.extend(request.0.to_be_bytes());
            o.extend(ms(retry_after.unwrap_or(0)));
        }),
        Action::Fail { request } => record(out, 110, instance, |o| o.extend(request.0.to_be_bytes())),
        Action::Timer { after, token } => record(out, 40, instance, |o| {
            o.extend(ms(*after));
            o.extend(token.0.to_be_bytes());
        }),
        Action::Probe { server } => record(out, 20, instance, |o| o.extend(address(*server))),
        Action::Release { server } => record(out, 80, instance, |o| o.extend(address(*server))),
        Action::List => record(out, 30, instance, |_| ()),
        Action::Subscribe => record(out, 70, instance, |o| o.push(1)),
    }
}

/// Reports that an instance's decision code panicked.
pub fn instance_panicked(out: &mut Vec<u8>, instance: u32, text: &str) {
    let mut n = text.len().min(usize::from(u16::MAX));
    while !text.is_char_boundary(n) {
        n -= 1;
    }
    record(out, 90, instance, |o| {
        o.extend((n as u16).to_be_bytes());
        o.extend(&text.as_bytes()[..n]);
    })
}
