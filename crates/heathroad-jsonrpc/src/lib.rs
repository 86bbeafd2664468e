//! JSON-RPC 2.0 (the specification of 2013-01-04) over a stream of bytes, without I/O.
//!
//! - [`framing`] splits a stream into JSON texts: one per line, after `Content-Length` headers, or
//!   concatenated.
//! - [`message`] parses the envelope of a text: calls, notifications, batches and responses. The
//!   values of `params`, `result`, `error` and `id` are not decoded; they are forwarded byte for
//!   byte.
//! - [`mod@pointer`] finds a value inside `params` (RFC 6901).
//! - [`mod@write`] writes texts.
//!
//! The size and nesting of texts and the size of batches are limited. The running time is linear in
//! the number of bytes.

pub mod framing;
pub mod message;
pub mod pointer;
pub mod write;

pub use framing::{Decoder, Framing, FramingError, Limits};
pub use message::{Call, Message, RequestError, Response, ServerMessage};
pub use pointer::Pointer;
