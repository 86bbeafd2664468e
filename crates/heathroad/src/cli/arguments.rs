//! The command line. Without arguments the daemon runs, told everything by its environment.

use clap::{Parser, Subcommand};
use std::path::PathBuf;

/// A balancing proxy for services that call services.
///
/// Without a command it runs in the foreground: RELAY_CONFIG names its JSON file; RELAY_LISTEN,
/// RELAY_DISCOVERY and RELAY_ADMIN go before the file's `listen`, `discovery` and `admin`.
#[derive(Parser)]
#[command(name = "heathroad", version)]
pub struct Cli {
    /// What to do in place of running.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// Where a running daemon is asked.
#[derive(clap::Args)]
pub struct AdminAddress {
    /// Its admin address; else RELAY_ADMIN names it.
    #[arg(long)]
    pub admin: Option<std::net::SocketAddr>,
}

/// What expectations are held against.
#[derive(clap::Args)]
pub struct VerificationInputs {
    /// The TOML file of routes and pools.
    pub routes: PathBuf,
    /// The TOML files of expectations.
    #[arg(required = true)]
    pub expectations: Vec<PathBuf>,
    /// The daemon's JSON file, for its tenants and limits.
    #[arg(long, value_name = "FILE")]
    pub settings: Option<PathBuf>,
    /// Ask a running daemon for the nodes, in place of those that the file names.
    #[arg(long)]
    pub live: bool,
    #[command(flatten)]
    pub at: AdminAddress,
    /// Answer in JSON.
    #[arg(long)]
    pub json: bool,
}

/// What the program does beside running.
#[derive(Subcommand)]
pub enum Command {
    /// Read a configuration as a start would, say what it holds or everything that is wrong, and
    /// end.
    Check {
        /// The daemon's JSON file, or a TOML file of routes and pools.
        file: PathBuf,
    },
    /// Propose a file of routes and pools to a running daemon, which checks, stages, applies and
    /// watches it.
    Apply {
        /// The TOML file.
        file: PathBuf,
        /// Once committed, it is required of the whole fleet within this time, such as 90s, 5m, 2h:
        /// a proxy that does not act on it by then binds no requests.
        #[arg(long, value_name = "TIME")]
        required_within: Option<String>,
        #[command(flatten)]
        at: AdminAddress,
    },
    /// Say which configuration a running daemon has in force, and what became of the last changes.
    Status {
        #[command(flatten)]
        at: AdminAddress,
    },
    /// Undo the change that is under way, or the last one that was committed.
    Undo {
        #[command(flatten)]
        at: AdminAddress,
    },
    /// Say whether a file of routes and pools holds what is expected of it, without a daemon or
    /// traffic.
    Expect {
        #[command(flatten)]
        with: VerificationInputs,
    },
    /// Plan drains in batches so that all that is expected holds in each; without a choice, of all
    /// nodes.
    Drains {
        #[command(flatten)]
        with: VerificationInputs,
        /// A node to drain; may be said more than once.
        #[arg(long, value_name = "ADDRESS")]
        node: Vec<std::net::SocketAddr>,
        /// A site whose nodes to drain; may be said more than once.
        #[arg(long)]
        site: Vec<String>,
        /// Most nodes that drain at once.
        #[arg(long, default_value_t = usize::MAX, hide_default_value = true)]
        at_once: usize,
    },
    /// Say what the proxies of a fleet know of each other, asked of any one of them.
    #[command(subcommand)]
    Fleet(MembershipCommand),
    /// Show who holds and who held which lease of a fleet, or resign one; asked of any one proxy.
    #[command(subcommand)]
    #[command(name = "duty")]
    Lease(LeaseCommand),
    /// Say in words which requests move where between two files of routes and pools.
    Diff {
        /// The file in force.
        from: PathBuf,
        /// The file to come.
        to: PathBuf,
    },
}

/// What is asked of a fleet.
#[derive(Subcommand)]
pub enum MembershipCommand {
    /// Say who is there, suspected or gone, and what each acts on.
    Members {
        #[command(flatten)]
        how: ReportOptions,
    },
    /// Say which versions are acted on, and by whom.
    Versions {
        #[command(flatten)]
        how: ReportOptions,
    },
    /// Say who acted on which version and when, by each member's own record, and where nothing can
    /// be known.
    Audit {
        #[command(flatten)]
        how: ReportOptions,
        /// Leave out what ended before: Unix time in milliseconds, or how long ago, such as 90s,
        /// 5m, 2h.
        #[arg(long)]
        since: Option<String>,
        /// Of this generation of routes alone.
        #[arg(long, value_name = "NUMBER")]
        version: Option<u64>,
        /// What was in force at a time, given as with --since.
        #[arg(long)]
        at: Option<String>,
        /// Draw it into an SVG file: one lane a proxy.
        #[arg(long, value_name = "FILE")]
        picture: Option<PathBuf>,
    },
}

/// The subcommands of `duty`.
#[derive(Subcommand)]
pub enum LeaseCommand {
    /// Show who holds each lease now, by the reports of its voters.
    List {
        #[command(flatten)]
        how: ReportOptions,
    },
    /// Show who held each lease under which token and when, as recorded by its holder and as
    /// bounded by voters.
    History {
        #[command(flatten)]
        how: ReportOptions,
        /// Draw it into an SVG file: one lane a lease.
        #[arg(long, value_name = "FILE")]
        picture: Option<PathBuf>,
    },
    /// Have the proxy that is asked resign a lease; it does not seek it again for ten lease
    /// durations.
    Resign {
        /// The name of the lease.
        name: String,
        #[command(flatten)]
        at: AdminAddress,
    },
}

/// How a question is asked and answered.
#[derive(clap::Args)]
pub struct ReportOptions {
    #[command(flatten)]
    pub at: AdminAddress,
    /// Answer in JSON.
    #[arg(long)]
    pub json: bool,
}
