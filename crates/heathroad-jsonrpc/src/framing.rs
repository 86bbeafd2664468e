//! Splits a byte stream into JSON texts.

use bytes::{Buf, Bytes, BytesMut};
use serde::Serialize;

/// How JSON texts are delimited in a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize)]
pub enum Framing {
    /// One text per line, terminated by a line feed. Empty lines are ignored.
    #[default]
    Lines,
    /// Each text follows a header section with `Content-Length` in bytes, as in the base protocol
    /// of the Language Server Protocol.
    Headers,
    /// Objects and arrays follow each other, with or without white space between them. The closing
    /// bracket ends a text.
    #[serde(rename = "RunOn")]
    Concatenated,
}

/// Limits on what is accepted.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The longest text, in bytes.
    pub max_text_bytes: usize,
    /// The deepest nesting of objects and arrays.
    pub max_depth: u32,
    /// The most calls of a batch.
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

/// Why a stream cannot be split any further: the start of the next text is unknown, or too far
/// ahead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FramingError {
    /// A text exceeds [`Limits::max_text_bytes`], or its announced length does.
    TooLong,
    /// A text exceeds [`Limits::max_depth`].
    TooDeep,
    /// A header section is malformed. The value is what was expected.
    InvalidHeader(&'static str),
    /// A text begins with anything but an object or an array.
    NotObjectOrArray,
}

impl FramingError {
    /// Returns what was expected instead, for the error message to the peer.
    pub fn expected(self) -> &'static str {
        match self {
            FramingError::TooLong => "a shorter text",
            FramingError::TooDeep => "fewer brackets within each other",
            FramingError::InvalidHeader(expected) => expected,
            FramingError::NotObjectOrArray => "an object or an array",
        }
    }
}

/// The longest header section.
const MAX_HEADER_BYTES: usize = 4 * 1024;
/// The buffer grows by this much when its spare capacity falls below a quarter of it.
const BUFFER_GROWTH_BYTES: usize = 4 * 1024;
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Splits a stream into texts. Each byte is scanned once.
#[derive(Debug)]
pub struct Decoder {
    framing: Framing,
    limits: Limits,
    buffer: BytesMut,
    /// How many bytes at the front of the buffer were scanned.
    scanned: usize,
    scanner: Scanner,
    /// The length of the next text, once its header section was read.
    content_length: Option<usize>,
    error: Option<FramingError>,
}

/// Tracks strings and nesting within a text.
#[derive(Debug, Default, Clone, Copy)]
struct Scanner {
    depth: u32,
    in_string: bool,
    is_escaped: bool,
}

impl Scanner {
    /// Scans one byte. Returns whether it closes the outermost bracket.
    fn scan(&mut self, byte: u8) -> bool {
        if self.in_string {
            match byte {
                _ if self.is_escaped => self.is_escaped = false,
                b'\\' => self.is_escaped = true,
                b'"' => self.in_string = false,
                _ => {}
            }
            return false;
        }
        match byte {
            b'"' => self.in_string = true,
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

fn is_whitespace(byte: u8) -> bool {
    matches!(byte, b' ' | b'\t' | b'\r' | b'\n')
}

impl Decoder {
    /// Creates a decoder for a new stream.
    pub fn new(framing: Framing, limits: Limits) -> Self {
        Decoder {
            framing,
            limits,
            buffer: BytesMut::new(),
            scanned: 0,
            scanner: Scanner::default(),
            content_length: None,
            error: None,
        }
    }

    /// Returns the buffer, with spare capacity. Received bytes are appended to it; callers do not
    /// remove any.
    pub fn buffer(&mut self) -> &mut BytesMut {
        if self.buffer.capacity() - self.buffer.len() < BUFFER_GROWTH_BYTES / 4 {
            self.buffer.reserve(BUFFER_GROWTH_BYTES);
        }
        &mut self.buffer
    }

    /// Releases the memory of an empty buffer that has grown.
    pub fn release_unused(&mut self) {
        if self.buffer.is_empty() && self.buffer.capacity() > BUFFER_GROWTH_BYTES {
            self.buffer = BytesMut::new();
        }
    }

    /// Returns the number of bytes that belong to no returned text.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether the buffer holds a text, or the beginning of one.
    pub fn has_pending_text(&self) -> bool {
        self.content_length.is_some() || self.buffer.iter().any(|b| !is_whitespace(*b))
    }

    /// Returns the next complete text, if it has arrived. An error is final: each later call
    /// returns it again.
    pub fn next_text(&mut self) -> Result<Option<Bytes>, FramingError> {
        if let Some(error) = self.error {
            return Err(error);
        }
        let next = match self.framing {
            Framing::Lines => self.next_line(),
            Framing::Headers => self.next_with_headers(),
            Framing::Concatenated => self.next_concatenated(),
        };
        if let Err(error) = next {
            self.error = Some(error);
            self.buffer.clear();
        }
        next
    }

    /// Returns the last text at the end of the stream: a line without its line feed.
    pub fn finish(&mut self) -> Option<Bytes> {
        let has_text =
            self.framing == Framing::Lines && self.error.is_none() && self.has_pending_text();
        has_text.then(|| self.take(self.buffer.len()))
    }

    fn skip_while(&mut self, is_skipped: impl Fn(u8) -> bool) {
        let length = self.buffer.iter().take_while(|b| is_skipped(**b)).count();
        self.buffer.advance(length);
    }

    /// Scans the next byte and enforces the limits. Returns whether it closes the outermost
    /// bracket. Unbalanced brackets are left to the parser.
    fn scan_byte(&mut self, byte: u8) -> Result<bool, FramingError> {
        let is_end = self.scanner.scan(byte);
        self.scanned += 1;
        if self.scanner.depth > self.limits.max_depth {
            return Err(FramingError::TooDeep);
        }
        if self.scanned > self.limits.max_text_bytes {
            return Err(FramingError::TooLong);
        }
        Ok(is_end)
    }

    fn take(&mut self, length: usize) -> Bytes {
        self.scanned = 0;
        self.scanner = Scanner::default();
        self.buffer.split_to(length).freeze()
    }

    fn next_line(&mut self) -> Result<Option<Bytes>, FramingError> {
        if self.scanned == 0 {
            self.skip_while(is_whitespace);
        }
        while let Some(&byte) = self.buffer.get(self.scanned) {
            if byte == b'\n' {
                let text = self.take(self.scanned);
                self.buffer.advance(1);
                return Ok(Some(text));
            }
            self.scan_byte(byte)?;
        }
        Ok(None)
    }

    fn next_concatenated(&mut self) -> Result<Option<Bytes>, FramingError> {
        if self.scanned == 0 {
            self.skip_while(is_whitespace);
            if self.buffer.starts_with(BYTE_ORDER_MARK) {
                self.buffer.advance(BYTE_ORDER_MARK.len());
                self.skip_while(is_whitespace);
            } else if BYTE_ORDER_MARK.starts_with(&self.buffer) {
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
        while let Some(&byte) = self.buffer.get(self.scanned) {
            if self.scan_byte(byte)? {
                return Ok(Some(self.take(self.scanned)));
            }
        }
        Ok(None)
    }

    fn next_with_headers(&mut self) -> Result<Option<Bytes>, FramingError> {
        let length = match self.content_length {
            Some(length) => length,
            None => {
                // Tolerates line breaks between a text and the next header section.
                if self.scanned == 0 {
                    self.skip_while(|b| matches!(b, b'\r' | b'\n'));
                }
                let Some(end) = self.header_end() else {
                    return if self.buffer.len() > MAX_HEADER_BYTES {
                        Err(FramingError::InvalidHeader("a head of 4 KiB at most"))
                    } else {
                        Ok(None)
                    };
                };
                let header = self.take(end);
                let length = parse_content_length(&header)?;
                if length > self.limits.max_text_bytes {
                    return Err(FramingError::TooLong);
                }
                *self.content_length.insert(length)
            }
        };
        while self.scanned < length.min(self.buffer.len()) {
            self.scan_byte(self.buffer[self.scanned])?;
        }
        if self.buffer.len() < length {
            return Ok(None);
        }
        self.content_length = None;
        Ok(Some(self.take(length)))
    }

    /// Returns the length of the header section, with its empty line, once that has arrived.
    fn header_end(&mut self) -> Option<usize> {
        while let Some(at) = self.buffer[self.scanned..].iter().position(|b| *b == b'\n') {
            let at = self.scanned + at;
            let line = self.buffer[..at]
                .strip_suffix(b"\r")
                .unwrap_or(&self.buffer[..at]);
            if line.is_empty() || line.ends_with(b"\n") {
                return Some(at + 1);
            }
            self.scanned = at + 1;
            if self.scanned > MAX_HEADER_BYTES {
                return None;
            }
        }
        None
    }
}

/// Parses the `Content-Length` of a header section. A second one is an error, even with the same
/// value, since other parsers may handle duplicates differently.
fn parse_content_length(header: &[u8]) -> Result<usize, FramingError> {
    let mut length = None;
    for line in header
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
            let is_number =
                !value.is_empty() && value.len() <= 18 && value.iter().all(u8::is_ascii_digit);
            let parsed = std::str::from_utf8(value)
                .ok()
                .filter(|_| is_number)
                .and_then(|v| v.parse().ok());
            let parsed = parsed.ok_or(FramingError::InvalidHeader(
                "a Content-Length in decimal digits",
            ))?;
            if length.replace(parsed).is_some() {
                return Err(FramingError::InvalidHeader("one Content-Length"));
            }
        } else if name.is_empty() || name.iter().any(|b| is_whitespace(*b)) {
            return Err(FramingError::InvalidHeader("`Name: value` lines"));
        }
    }
    length.ok_or(FramingError::InvalidHeader("a Content-Length"))
}
