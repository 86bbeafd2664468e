//! The simulator's binary protocol: decodes frames and encodes replies.

mod decoder;
mod error;
mod frame;
mod reader;
mod reply;

pub use decoder::{Decoder, Record};
pub use error::WireError;
pub use frame::read_frame;
pub use reply::Reply;
