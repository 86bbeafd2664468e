//! Where one text ends and the next begins.

use bytes::{Buf, Bytes, BytesMut};
use serde::Serialize;

/// How texts are told apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub enum Framing {
    /// One text a line, which ends with a line feed. Empty lines say nothing.
    #[default]
    Lines,
    /// Each text has a head as HTTP messages do, with `Content-Length` in bytes (as the Language
    /// Server Protocol's base protocol has it).
    Headers,
    /// Texts follow each other with white space between them or nothing: an object or array ends
    /// with its bracket.
    #[serde(rename = "RunOn")]
    Concatenated,
}

/// Bounds of what is read.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Most bytes of a text.
    pub max_text_bytes: usize,
    /// Most brackets open at once.
    pub max_depth: u32,
    /// Most members of a batch.
    pub max_batch_len: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_text_bytes: 1 << 20,
            max_depth: 128,
            max_batch_len: 10_000,
        }
    }
}

/// The stream can't be cut any more: where the next text begins is not known, or not waited for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FramingError {
    /// A text is longer than is read, or is announced so.
    TooLong,
    /// More brackets are open than are read.
    TooDeep,
    /// A head that can't be read.
    InvalidHeader(&'static str),
    /// Something other than an object or an array begins.
    NotObjectOrArray,
}

impl FramingError {
    /// What was expected instead.
    pub fn expected(self) -> &'static str {
        match self {
            FramingError::TooLong => "a shorter text",
            FramingError::TooDeep => "fewer brackets within each other",
            FramingError::InvalidHeader(expected) => expected,
            FramingError::NotObjectOrArray => "an object or an array",
        }
    }
}

/// Longest head, and longest line in it.
const MAX_HEAD: usize = 4 * 1024;
/// There is room for so much at the least when more is read.
const ROOM: usize = 4 * 1024;
const BOM: &[u8] = b"\xef\xbb\xbf";

/// Cuts a stream into texts. Each byte is looked at once.
#[derive(Debug)]
pub struct Decoder {
    framing: Framing,
    limits: Limits,
    buffer: BytesMut,
    /// So many bytes of the buffer were looked at.
    seen: usize,
    scan: Scan,
    /// The length that a head told.
    length: Option<usize>,
    broken: Option<FramingError>,
}

/// What is open in a text.
#[derive(Debug, Default, Clone, Copy)]
struct Scan {
    depth: u32,
    quoted: bool,
    escaped: bool,
}

impl Scan {
    /// Looks at one byte; true where the outermost bracket closes.
    fn look(&mut self, byte: u8) -> bool {
        if self.quoted {
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' => self.escaped = true,
                b'"' => self.quoted = false,
                _ => {}
            }
            return false;
        }
        match byte {
            b'"' => self.quoted = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => {
                self.depth = self.depth.saturating_sub(1);
                return self.depth == 0;
            }
            _ => {}
        }
        false
    }
}

fn blank(byte: u8) -> bool {
    matches!(byte, b' ' | b'\t' | b'\r' | b'\n')
}

impl Decoder {
    /// For a stream that begins.
    pub fn new(framing: Framing, limits: Limits) -> Self {
        Decoder {
            framing,
            limits,
            buffer: BytesMut::new(),
            seen: 0,
            scan: Scan::default(),
            length: None,
            broken: None,
        }
    }

    /// Where bytes that came are put, at its end. Nothing but [`Decoder::next_text`] takes any out.
    pub fn buffer(&mut self) -> &mut BytesMut {
        if self.buffer.capacity() - self.buffer.len() < ROOM / 4 {
            self.buffer.reserve(ROOM);
        }
        &mut self.buffer
    }

    /// Whether a text has begun and not ended, or lies there whole.
    pub fn has_pending_text(&self) -> bool {
        self.length.is_some() || self.buffer.iter().any(|b| !blank(*b))
    }

    /// The next whole text, if it has come. Once the stream is broken it stays so.
    pub fn next_text(&mut self) -> Result<Option<Bytes>, FramingError> {
        if let Some(broken) = self.broken {
            return Err(broken);
        }
        let next = match self.framing {
            Framing::Lines => self.line(),
            Framing::Headers => self.headed(),
            Framing::Concatenated => self.run_on(),
        };
        if let Err(broken) = next {
            self.broken = Some(broken);
            self.buffer.clear();
        }
        next
    }

    /// What lies there when the stream has ended: the last line needs no end.
    pub fn finish(&mut self) -> Option<Bytes> {
        let text =
            self.framing == Framing::Lines && self.broken.is_none() && self.has_pending_text();
        text.then(|| self.take(self.buffer.len()))
    }

    fn skip(&mut self, what: impl Fn(u8) -> bool) {
        let blanks = self.buffer.iter().take_while(|b| what(**b)).count();
        self.buffer.advance(blanks);
    }

    /// Looks at the next byte; true where the outermost bracket closes. Depth is looked at on the
    /// way, so that nobody has to look again. (What opens nothing closes nothing: whether it is a
    /// text at all the parser says.)
    fn look(&mut self, byte: u8) -> Result<bool, FramingError> {
        let ends = self.scan.look(byte);
        self.seen += 1;
        if self.scan.depth > self.limits.max_depth {
            return Err(FramingError::TooDeep);
        }
        if self.seen > self.limits.max_text_bytes {
            return Err(FramingError::TooLong);
        }
        Ok(ends)
    }

    fn take(&mut self, length: usize) -> Bytes {
        self.seen = 0;
        self.scan = Scan::default();
        self.buffer.split_to(length).freeze()
    }

    fn line(&mut self) -> Result<Option<Bytes>, FramingError> {
        if self.seen == 0 {
            self.skip(blank);
        }
        while let Some(&byte) = self.buffer.get(self.seen) {
            if byte == b'\n' {
                let text = self.take(self.seen);
                self.buffer.advance(1);
                return Ok(Some(text));
            }
            self.look(byte)?;
        }
        Ok(None)
    }

    fn run_on(&mut self) -> Result<Option<Bytes>, FramingError> {
        if self.seen == 0 {
            self.skip(blank);
            if self.buffer.starts_with(BOM) {
                self.buffer.advance(BOM.len());
                self.skip(blank);
            } else if BOM.starts_with(&self.buffer) {
                return Ok(None);
            }
            if self
                .buffer
                .first()
                .is_some_and(|b| !matches!(b, b'{' | b'['))
            {
                return Err(FramingError::NotObjectOrArray);
            }
        }
        while let Some(&byte) = self.buffer.get(self.seen) {
            if self.look(byte)? {
                return Ok(Some(self.take(self.seen)));
            }
        }
        Ok(None)
    }

    fn headed(&mut self) -> Result<Option<Bytes>, FramingError> {
        let length = match self.length {
            Some(length) => length,
            None => {
                // Line feeds between a text and the next head do no harm.
                if self.seen == 0 {
                    self.skip(|b| matches!(b, b'\r' | b'\n'));
                }
                let Some(end) = self.head_end() else {
                    return if self.buffer.len() > MAX_HEAD {
                        Err(FramingError::InvalidHeader("a head of 4 KiB at most"))
                    } else {
                        Ok(None)
                    };
                };
                let head = self.take(end);
                let length = content_length(&head)?;
                if length > self.limits.max_text_bytes {
                    return Err(FramingError::TooLong);
                }
                *self.length.insert(length)
            }
        };
        while self.seen < length.min(self.buffer.len()) {
            self.look(self.buffer[self.seen])?;
        }
        if self.buffer.len() < length {
            return Ok(None);
        }
        self.length = None;
        Ok(Some(self.take(length)))
    }

    /// Where the head that lies there ends: behind its empty line.
    fn head_end(&mut self) -> Option<usize> {
        while let Some(at) = self.buffer[self.seen..].iter().position(|b| *b == b'\n') {
            let at = self.seen + at;
            let line = self.buffer[..at]
                .strip_suffix(b"\r")
                .unwrap_or(&self.buffer[..at]);
            if line.is_empty() || line.ends_with(b"\n") {
                return Some(at + 1);
            }
            self.seen = at + 1;
            if self.seen > MAX_HEAD {
                return None;
            }
        }
        None
    }
}

/// The one length that a head tells. Two are wrong, even alike: who reads the other would cut
/// elsewhere.
fn content_length(head: &[u8]) -> Result<usize, FramingError> {
    let mut length = None;
    for line in head
        .split(|b| *b == b'\n')
        .map(|l| l.strip_suffix(b"\r").unwrap_or(l))
    {
        if line.is_empty() {
            continue;
        }
        let colon = line
            .iter()
            .position(|b| *b == b':')
            .ok_or(FramingError::InvalidHeader("`Name: value` lines"))?;
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"content-length") {
            let digits =
                !value.is_empty() && value.len() <= 18 && value.iter().all(u8::is_ascii_digit);
            let told = std::str::from_utf8(value)
                .ok()
                .filter(|_| digits)
                .and_then(|v| v.parse().ok());
            let told = told.ok_or(FramingError::InvalidHeader(
                "a Content-Length in decimal digits",
            ))?;
            if length.replace(told).is_some() {
                return Err(FramingError::InvalidHeader("one Content-Length"));
            }
        } else if name.is_empty() || name.iter().any(|b| blank(*b)) {
            return Err(FramingError::InvalidHeader("`Name: value` lines"));
        }
    }
    length.ok_or(FramingError::InvalidHeader("a Content-Length"))
}
