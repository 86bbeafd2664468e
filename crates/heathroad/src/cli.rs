//! The command line. Without arguments the daemon runs, told everything by its environment.

use clap::{Parser, Subcommand};
use std::path::PathBuf;

/// A balancing proxy for services that call services.
///
/// Without a command it runs in the foreground: RELAY_CONFIG names its JSON file; RELAY_LISTEN, RELAY_DISCOVERY and
/// RELAY_ADMIN go before the file's `listen`, `discovery` and `admin`.
#[derive(Parser)]
#[command(name = "heathroad", version)]
pub struct Cli {
    /// What to do in place of running.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// What the program does beside running.
#[derive(Subcommand)]
pub enum Command {
    /// Read a configuration as a start would, say what it holds or what is wrong, and end.
    Check {
        /// The JSON file.
        file: PathBuf,
    },
}
