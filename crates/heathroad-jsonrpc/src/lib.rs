//! JSON-RPC 2.0 (the specification of 2013-01-04) over a stream of bytes, without I/O.
//!
//! - [`framing`] cuts a stream into texts: one a line, behind `Content-Length` headers, or one
//!   behind the other.
//! - [`message`] reads a text's envelope: calls, notifications, batches, answers. `params`,
//!   `result`, `error` and `id` are never read into numbers or maps and written again: they pass
//!   byte for byte.
//! - [`mod@pointer`] finds a value inside `params` (RFC 6901).
//! - [`mod@write`] makes texts.
//!
//! Everything is bounded: bytes and depth of a text, members of a batch. Work is linear in the
//! bytes that came.

pub mod framing;
pub mod message;
pub mod pointer;
pub mod write;

pub use framing::{Decoder, Framing, FramingError, Limits};
pub use message::{Call, Message, RequestError, Response, ServerMessage};
pub use pointer::Pointer;
