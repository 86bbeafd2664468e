//! What operators see and ask: the command line, and the address at which a running daemon answers
//! them.

pub mod admin;
mod cli;
pub mod commands;
mod duty;
mod expect;
mod fleet;
mod lanes;
pub mod log;
mod remote;
