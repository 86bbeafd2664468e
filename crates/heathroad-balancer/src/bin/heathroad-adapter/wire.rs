//! The simulator's binary wire: frames in, replies out. Translates, never decides.

use heathroad_balancer::api::{Action, Arrival, Entry, Event, ListKind, Outcome, Phase, Resolved};
use std::io::{self, Read};

/// One batch as it came: its clock, the number of its records and their bytes.
pub struct Frame {
    /// The clock, milliseconds.
    pub now: f64,
    /// How many records there are.
    pub count: u32,
    /// The records.
    pub body: Vec<u8>,
}

/// One record.
pub enum Record {
    /// An instance starts.
    Launch {
        /// The instance.
        instance: u16,
        /// Seed for its random numbers.
        seed: u64,
        /// Its settings, as JSON text.
        facts: Vec<u8>,
    },
    /// An instance was killed.
    Shutdown {
        /// The instance.
        instance: u16,
    },
    /// A numbered list, kept by the decoder.
    Census,
    /// Something that no decision needs; read only to check its form.
    Unused {
        /// The instance.
        instance: u16,
    },
    /// Something for an instance.
    Event {
        /// The instance.
        instance: u16,
        /// What it is told.
        event: Event,
    },
}

const HEADER: usize = 16;
const CLOCK: usize = 8;
const PAGES: usize = 16;

/// Reads a frame; `None` at a clean end of input.
pub fn read_frame(input: &mut impl Read) -> Result<Option<Frame>, String> {
    let fail = |e: io::Error| format!("frame: {e}");
    let mut header = Vec::with_capacity(HEADER);
    input
        .by_ref()
        .take(HEADER as u64)
        .read_to_end(&mut header)
        .map_err(fail)?;
    if header.is_empty() {
        return Ok(None);
    }
    if header.len() < HEADER {
        return Err(format!(
            "frame: truncated in its header, {} of {HEADER} bytes",
            header.len()
        ));
    }
    let mut r = Reader {
        bytes: &header,
        at: 0,
        start: 0,
    };
    let (count, length, now) = (r.u32("count")?, r.u32("length")? as usize, r.f64("clock")?);
    let Some(length) = length.checked_sub(CLOCK) else {
        return Err(format!(
            "frame: byte 4: length {length} is shorter than the clock"
        ));
    };
    let mut body = Vec::new();
    input
        .by_ref()
        .take(length as u64)
        .read_to_end(&mut body)
        .map_err(fail)?;
    if body.len() < length {
        return Err(format!(
            "frame: truncated, {} of {length} bytes after the header",
            body.len()
        ));
    }
    Ok(Some(Frame { now, count, body }))
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
    start: usize,
}

impl<'a> Reader<'a> {
    fn take(&mut self, n: usize, what: &str) -> Result<&'a [u8], String> {
        let got = self
            .at
            .checked_add(n)
            .and_then(|end| self.bytes.get(self.at..end));
        let got =
            got.ok_or_else(|| format!("byte {}: truncated in {what}", self.start + self.at))?;
        self.at += n;
        Ok(got)
    }
    fn array<const N: usize>(&mut self, what: &str) -> Result<[u8; N], String> {
        Ok(self
            .take(N, what)?
            .try_into()
            .expect("length was asked for"))
    }
    fn u8(&mut self, what: &str) -> Result<u8, String> {
        Ok(self.array::<1>(what)?[0])
    }
    fn u16(&mut self, what: &str) -> Result<u16, String> {
        Ok(u16::from_le_bytes(self.array(what)?))
    }
    fn u32(&mut self, what: &str) -> Result<u32, String> {
        Ok(u32::from_le_bytes(self.array(what)?))
    }
    fn u64(&mut self, what: &str) -> Result<u64, String> {
        Ok(u64::from_le_bytes(self.array(what)?))
    }
    fn f32(&mut self, what: &str) -> Result<f32, String> {
        Ok(f32::from_le_bytes(self.array(what)?))
    }
    fn f64(&mut self, what: &str) -> Result<f64, String> {
        let x = f64::from_le_bytes(self.array(what)?);
        if x.is_finite() {
            Ok(x)
        } else {
            self.bad(8, what, "is not finite")
        }
    }
    /// An error about the field of `width` bytes that was just read.
    fn bad<T>(&self, width: usize, what: &str, why: impl std::fmt::Display) -> Result<T, String> {
        Err(format!(
            "byte {}: {what} {why}",
            self.start + self.at - width
        ))
    }
    /// Passes over a load report.
    fn report(&mut self) -> Result<(), String> {
        let n = self.u8("healthInfo")?;
        (0..n).try_for_each(|_| self.f32("healthInfo").map(drop))
    }
    fn outcome(&mut self) -> Result<Outcome, String> {
        Ok(match self.u16("disposition")? {
            0 => Outcome::Ok,
            1 => Outcome::Error,
            2 => Outcome::Full,
            3 => Outcome::Timeout,
            4 => Outcome::ConnectFailed,
            5 => Outcome::Reset,
            6 => Outcome::Cancelled,
            7 => Outcome::Moot,
            other => return self.bad(2, "disposition", format_args!("{other} is unknown")),
        })
    }
    fn entry(&mut self) -> Result<Entry, String> {
        let phase = match self.u8("phase")? {
            0 => Phase::Ready,
            1 => Phase::Gone,
            2 => Phase::Draining,
            other => return self.bad(1, "phase", format_args!("{other} is unknown")),
        };
        let entry = Entry {
            phase,
            backend: self.u32("backend")?,
            zone: self.u16("hall")?,
            started_at: self.f64("startedAt")?,
            weight: f64::from(self.f32("weight")?),
            cell: self.u16("cluster")?,
        };
        self.u16("hw")?;
        Ok(entry)
    }
}

/// Decodes records; holds the numbered lists, which belong to the process and outlive a batch.
#[derive(Default)]
pub struct Decoder {
    pages: [Option<Vec<Entry>>; PAGES],
}

impl Decoder {
    /// Decodes a frame record by record and hands each to `each`, in order.
    pub fn decode(
        &mut self,
        frame: &Frame,
        mut each: impl FnMut(Record) -> Result<(), String>,
    ) -> Result<(), String> {
        let mut r = Reader {
            bytes: &frame.body,
            at: 0,
            start: HEADER,
        };
        for n in 0..frame.count {
            let at = HEADER + r.at;
            let record = self
                .record(&mut r)
                .map_err(|e| format!("record {n}: {e}"))?;
            each(record).map_err(|e| format!("record {n}: byte {at}: {e}"))?;
        }
        match frame.body.len() - r.at {
            0 => Ok(()),
            left => Err(format!(
                "byte {}: {left} bytes left over after the last record",
                HEADER + r.at
            )),
        }
    }

    fn record(&mut self, r: &mut Reader) -> Result<Record, String> {
        let code = r.u16("code")?;
        if code == 11 {
            let page = r.u32("page")?;
            let Some(slot) = self.pages.get_mut(page as usize) else {
                return r.bad(4, "page", format_args!("{page} is out of range"));
            };
            let n = r.u32("lines")?;
            *slot = Some((0..n).map(|_| r.entry()).collect::<Result<_, _>>()?);
            return Ok(Record::Census);
        }
        if !(1..=10).contains(&code) {
            return r.bad(2, "event", format_args!("{code} is unknown"));
        }
        let instance = r.u16("proxyId")?;
        let event = match code {
            1 => {
                let seed = r.u64("rngSeed")?;
                let n = r.u32("facts")? as usize;
                return Ok(Record::Launch {
                    instance,
                    seed,
                    facts: r.take(n, "facts")?.to_vec(),
                });
            }
            2 => {
                let page = r.u32("page")?;
                let kind = match r.u8("kind")? {
                    0 => ListKind::Full,
                    1 => ListKind::Delta,
                    2 => ListKind::Failed,
                    3 => ListKind::Cached,
                    other => return r.bad(1, "list kind", format_args!("{other} is unknown")),
                };
                let entries = match self.pages.get(page as usize) {
                    _ if kind == ListKind::Failed => Vec::new(),
                    Some(Some(entries)) => entries.clone(),
                    _ => return r.bad(5, "page", format_args!("{page} was never defined")),
                };
                r.u64("serial")?;
                Event::List { kind, entries }
            }
            3 => {
                let request = r.u64("xid")?;
                let key = r.u64("nameKey")?;
                let class = r.u16("qos")?;
                r.u8("stateBits")?;
                r.f64("predicted")?;
                let (tenant, deadline) = (r.u16("customer")?, r.f64("clientDeadline")?);
                Event::Request(Arrival {
                    request,
                    key,
                    class,
                    tenant,
                    deadline,
                    spare: None,
                    worth: 1.0,
                })
            }
            4 => {
                r.u64("xid")?;
                r.u8("hop")?;
                r.u32("backend")?;
                r.f64("waitTime")?;
                return Ok(Record::Unused { instance });
            }
            5 => {
                let request = r.u64("xid")?;
                let wait = r.f64("waitTime")?;
                let closed = r.u8("final")? != 0;
                let outcome = r.outcome()?;
                let attempt = r.u8("hop")?;
                let backend = r.u32("backend")?;
                r.report()?;
                Event::Resolved(Resolved {
                    request,
                    attempt,
                    backend,
                    outcome,
                    wait,
                    closed,
                    spare: None,
                })
            }
            6 => Event::Hangup {
                request: r.u64("xid")?,
            },
            7 => Event::Wake {
                token: r.u64("nonce")?,
            },
            8 => {
                r.f64("waitTime")?;
                r.u32("backend")?;
                r.outcome()?;
                r.report()?;
                return Ok(Record::Unused { instance });
            }
            9 => {
                r.u32("originPeer")?;
                let n = r.u16("bytes")? as usize;
                r.take(n, "bytes")?;
                return Ok(Record::Unused { instance });
            }
            _ => return Ok(Record::Shutdown { instance }),
        };
        Ok(Record::Event { instance, event })
    }
}

/// A reply under construction; its length goes in front when it is finished.
pub struct Reply {
    bytes: Vec<u8>,
}

impl Default for Reply {
    fn default() -> Self {
        Reply { bytes: vec![0; 4] }
    }
}

impl Reply {
    fn head(&mut self, code: u16, instance: u16) {
        self.bytes.extend(code.to_le_bytes());
        self.bytes.extend(instance.to_le_bytes());
    }
    /// Counted bytes, cut to what the count can say (text at a character's boundary).
    fn counted(&mut self, bytes: &[u8]) {
        let n = bytes.len().min(usize::from(u16::MAX));
        self.bytes.extend((n as u16).to_le_bytes());
        self.bytes.extend(&bytes[..n]);
    }
    /// Says that an instance's decision code failed.
    pub fn fatal(&mut self, instance: u16, text: &str) {
        self.head(10, instance);
        self.counted(text.as_bytes());
    }
    /// Adds an instance's action.
    pub fn push(&mut self, instance: u16, action: &Action) {
        let code = match action {
            Action::Send { .. } => 1,
            Action::Refuse { .. } => 2,
            Action::Fail { .. } => 3,
            Action::Cancel { .. } => 4,
            Action::WakeMe { .. } => 5,
            Action::Close { .. } => 7,
            Action::Watch { .. } => 11,
        };
        self.head(code, instance);
        let b = &mut self.bytes;
        match action {
            Action::Send {
                request,
                backend,
                not_past,
            } => {
                b.extend(request.to_le_bytes());
                b.extend(backend.to_le_bytes());
                b.extend(not_past.to_le_bytes());
            }
            Action::Refuse {
                request,
                retry_after,
            } => {
                b.extend(request.to_le_bytes());
                b.extend(retry_after.to_le_bytes());
            }
            Action::Fail { request } => b.extend(request.to_le_bytes()),
            Action::Cancel { request, attempt } => {
                b.extend(request.to_le_bytes());
                b.push(*attempt);
            }
            Action::WakeMe { delay, token } => {
                b.extend(delay.to_le_bytes());
                b.extend(token.to_le_bytes());
            }
            Action::Close { backend } => b.extend(backend.to_le_bytes()),
            Action::Watch { on } => b.push(u8::from(*on)),
        }
    }
    /// The whole reply.
    pub fn finish(mut self) -> Vec<u8> {
        let n = (self.bytes.len() - 4) as u32;
        self.bytes[..4].copy_from_slice(&n.to_le_bytes());
        self.bytes
    }
}
