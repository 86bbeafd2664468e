//! Decodes the records of a frame.

use super::error::WireError;
use super::frame::{Frame, HEADER_BYTES};
use super::reader::Reader;
use heathroad_balancer::api::{AttemptResult, Endpoint, Event, RequestArrival, UpdateKind};
use std::error::Error;

/// Maximum number of endpoint pages.
const MAX_PAGES: usize = 16;

/// Record codes.
mod code {
    pub const LAUNCH: u16 = 1;
    pub const ENDPOINT_UPDATE: u16 = 2;
    pub const REQUEST: u16 = 3;
    pub const ATTEMPT_STARTED: u16 = 4;
    pub const ATTEMPT_ENDED: u16 = 5;
    pub const CLIENT_LEFT: u16 = 6;
    pub const TIMER: u16 = 7;
    pub const HEALTH_CHECK: u16 = 8;
    pub const PEER_MESSAGE: u16 = 9;
    pub const SHUTDOWN: u16 = 10;
    pub const ENDPOINT_PAGE: u16 = 11;
}

/// A decoded record.
pub enum Record {
    /// Start an instance.
    Launch {
        /// The instance.
        instance: u16,
        /// The seed of its random number generator.
        seed: u64,
        /// Its settings as JSON text.
        settings: Vec<u8>,
    },
    /// Remove an instance.
    Shutdown {
        /// The instance.
        instance: u16,
    },
    /// An endpoint page, which the decoder has stored.
    EndpointPage,
    /// A valid record that the balancer does not use.
    Ignored {
        /// The instance.
        instance: u16,
    },
    /// An event for an instance.
    Event {
        /// The instance.
        instance: u16,
        /// The event.
        event: Event,
    },
}

/// Decodes records and stores endpoint pages: numbered endpoint lists that all instances share and
/// that remain valid across frames.
#[derive(Default)]
pub struct Decoder {
    pages: [Option<Vec<Endpoint>>; MAX_PAGES],
}

impl Decoder {
    /// Decodes the records of a frame and passes each to `handle`, in order.
    pub fn decode<E>(
        &mut self,
        frame: &Frame,
        mut handle: impl FnMut(Record) -> Result<(), E>,
    ) -> Result<(), WireError>
    where
        E: Into<Box<dyn Error + Send + Sync>>,
    {
        let mut reader = Reader::new(&frame.body, HEADER_BYTES);
        for index in 0..frame.count {
            let at = reader.position();
            let record = self.record(&mut reader).map_err(|source| {
                let source = Box::new(source);
                WireError::MalformedRecord { index, source }
            })?;
            handle(record).map_err(|source| {
                let source = source.into();
                WireError::RejectedRecord { index, at, source }
            })?;
        }
        match reader.remaining() {
            0 => Ok(()),
            count => Err(WireError::TrailingBytes {
                at: reader.position(),
                count,
            }),
        }
    }

    fn record(&mut self, reader: &mut Reader) -> Result<Record, WireError> {
        let (at, field) = (reader.position(), "event");
        let code = reader.u16("code")?;
        if code == code::ENDPOINT_PAGE {
            self.endpoint_page(reader)?;
            return Ok(Record::EndpointPage);
        }
        if !(code::LAUNCH..=code::SHUTDOWN).contains(&code) {
            return Err(WireError::UnknownCode { at, field, code });
        }
        let instance = reader.u16("proxyId")?;
        let event = match code {
            code::LAUNCH => return launch(reader, instance),
            code::ENDPOINT_UPDATE => self.endpoint_update(reader)?,
            code::REQUEST => request(reader)?,
            code::ATTEMPT_ENDED => attempt_ended(reader)?,
            code::CLIENT_LEFT => Event::ClientLeft {
                request: reader.u64("xid")?,
            },
            code::TIMER => Event::TimerFired {
                token: reader.u64("nonce")?,
            },
            code::ATTEMPT_STARTED => {
                skip_attempt_started(reader)?;
                return Ok(Record::Ignored { instance });
            }
            code::HEALTH_CHECK => {
                skip_health_check(reader)?;
                return Ok(Record::Ignored { instance });
            }
            code::PEER_MESSAGE => {
                skip_peer_message(reader)?;
                return Ok(Record::Ignored { instance });
            }
            _ => return Ok(Record::Shutdown { instance }),
        };
        Ok(Record::Event { instance, event })
    }

    fn endpoint_page(&mut self, reader: &mut Reader) -> Result<(), WireError> {
        let at = reader.position();
        let page = reader.u32("page")?;
        let Some(slot) = self.pages.get_mut(page as usize) else {
            return Err(WireError::PageOutOfRange { at, page });
        };
        let count = reader.u32("lines")?;
        let endpoints = (0..count).map(|_| reader.endpoint());
        *slot = Some(endpoints.collect::<Result<_, _>>()?);
        Ok(())
    }

    fn endpoint_update(&self, reader: &mut Reader) -> Result<Event, WireError> {
        let at = reader.position();
        let page = reader.u32("page")?;
        let kind = update_kind(reader)?;
        let endpoints = match self.pages.get(page as usize) {
            _ if kind == UpdateKind::Failed => Vec::new(),
            Some(Some(endpoints)) => endpoints.clone(),
            _ => return Err(WireError::UndefinedPage { at, page }),
        };
        reader.u64("serial")?;
        Ok(Event::EndpointUpdate { kind, endpoints })
    }
}

fn update_kind(reader: &mut Reader) -> Result<UpdateKind, WireError> {
    let (at, field) = (reader.position(), "list kind");
    Ok(match reader.u8(field)? {
        0 => UpdateKind::Snapshot,
        1 => UpdateKind::Delta,
        2 => UpdateKind::Failed,
        3 => UpdateKind::Cached,
        code => {
            let code = u16::from(code);
            return Err(WireError::UnknownCode { at, field, code });
        }
    })
}

fn launch(reader: &mut Reader, instance: u16) -> Result<Record, WireError> {
    let seed = reader.u64("rngSeed")?;
    let length = reader.u32("facts")? as usize;
    let settings = reader.bytes(length, "facts")?.to_vec();
    Ok(Record::Launch {
        instance,
        seed,
        settings,
    })
}

fn request(reader: &mut Reader) -> Result<Event, WireError> {
    let request = reader.u64("xid")?;
    let key = reader.u64("nameKey")?;
    let class = reader.u16("qos")?;
    reader.u8("stateBits")?;
    reader.f64("predicted")?;
    let tenant = reader.u16("customer")?;
    let deadline = reader.f64("clientDeadline")?;
    Ok(Event::RequestArrived(RequestArrival {
        request,
        key,
        class,
        tenant,
        deadline,
        retries_left: None,
        priority_share: 1.0,
    }))
}

fn attempt_ended(reader: &mut Reader) -> Result<Event, WireError> {
    let request = reader.u64("xid")?;
    let elapsed = reader.f64("waitTime")?;
    let request_closed = reader.u8("final")? != 0;
    let outcome = reader.outcome()?;
    let attempt = reader.u8("hop")?;
    let backend = reader.u32("backend")?;
    reader.skip_load_report()?;
    Ok(Event::AttemptEnded(AttemptResult {
        request,
        attempt,
        backend,
        outcome,
        elapsed,
        request_closed,
        retries_left: None,
    }))
}

fn skip_attempt_started(reader: &mut Reader) -> Result<(), WireError> {
    reader.u64("xid")?;
    reader.u8("hop")?;
    reader.u32("backend")?;
    reader.f64("waitTime")?;
    Ok(())
}

fn skip_health_check(reader: &mut Reader) -> Result<(), WireError> {
    reader.f64("waitTime")?;
    reader.u32("backend")?;
    reader.outcome()?;
    reader.skip_load_report()
}

fn skip_peer_message(reader: &mut Reader) -> Result<(), WireError> {
    reader.u32("originPeer")?;
    let length = usize::from(reader.u16("bytes")?);
    reader.bytes(length, "bytes")?;
    Ok(())
}
