//! The simulator's binary wire: frames in, replies out. It translates and decides nothing.

mod decoder;
mod error;
mod frame;
mod reader;
mod reply;

pub use decoder::{Decoder, Record};
pub use error::WireError;
pub use frame::read_frame;
pub use reply::Reply;
