//! heathroad, a load-balancing proxy for services that call services: the decisions of
//! `heathroad-balancer` on real sockets.
//!
//! A request passes through the modules in this order:
//!
//! - `frontend` reads it from its client, checks it, and writes its one response: `http`, and
//!   `jsonrpc` for calls over JSON-RPC, where routes have listeners for it (texts and framing:
//!   `heathroad-jsonrpc`).
//! - `router` binds it to a pool: the one of the settings, or one of many by routes that change by
//!   transactions (decided in `heathroad-routing`).
//! - `engine`, one for each pool, alone owns the decision module: it turns what happens on the
//!   sockets into the module's events, in one order, and carries out its actions.
//! - `backend` sends attempts over pooled connections, and classifies their outcomes.
//!
//! `safety` decides what may still be done for a request, `retry_budget` carries its retry budget,
//! `stream` records how far it got on a connection, and `stall_detector` dates what was read.
//! `membership` is this proxy as a member of its cluster, `lease` the leases that it holds (decided
//! in `heathroad-membership` and `heathroad-lease`). `discovery` follows endpoint lists,
//! `configuration` reads the files, `cli` and `admin` are for operators, `metrics` and
//! `runtime_accounting` count. `daemon` starts all of this and stops it; everything runs on one
//! thread. `docs/ARCHITECTURE.md` shows the whole.

#![cfg_attr(not(test), deny(clippy::disallowed_methods))]

mod admin;
mod backend;
mod cli;
mod configuration;
mod daemon;
mod discovery;
mod engine;
mod frontend;
mod lease;
mod logging;
mod membership;
mod metrics;
mod retry_budget;
mod router;
mod runtime_accounting;
mod safety;
mod stall_detector;
mod stream;
mod time;

use std::process::ExitCode;

/// Runs the program by its command line: the daemon where that has no command.
pub fn main() -> ExitCode {
    cli::commands::main(daemon::run)
}
