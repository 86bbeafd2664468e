//! What operators see and ask: the command line, and the address at which a running daemon answers
//! them.

mod admin_client;
mod arguments;
pub mod commands;
mod lease;
mod membership;
mod query;
mod timeline_chart;
mod verify;
