//! Runs the command line: the daemon, commands on files, and requests to a running daemon.

use super::arguments::{Cli, Command};
use super::verify::{CommandError, read_routes};
use super::{admin_client, lease, membership, query, verify};
use crate::configuration::{self as config, routes};
use crate::daemon::DaemonError;
use clap::Parser;
use hyper::Method;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;

/// The exit code of `check`, `diff`, `expect` and `drains` when they fail; other failures, such as
/// a failed start, exit with 1.
const EXIT_INVALID_INPUT: u8 = 2;

/// Parses the command line and runs its command, or the daemon if there is none.
pub fn main(run_daemon: impl FnOnce() -> Result<(), DaemonError>) -> ExitCode {
    let (result, code) = match Cli::parse().command {
        None => (
            run_daemon().map_err(|error| error.to_string()),
            ExitCode::FAILURE,
        ),
        Some(Command::Check { file }) => (check(&file), ExitCode::from(EXIT_INVALID_INPUT)),
        Some(Command::Expect { with }) => (
            print_report(verify::run_expect(&with)),
            ExitCode::from(EXIT_INVALID_INPUT),
        ),
        Some(Command::Drains {
            with,
            node,
            site,
            at_once,
        }) => (
            print_report(verify::run_drains(&with, &node, &site, at_once)),
            ExitCode::from(EXIT_INVALID_INPUT),
        ),
        Some(Command::Fleet(command)) => (
            membership::ask(&command).and_then(|text| print(&text)),
            ExitCode::FAILURE,
        ),
        Some(Command::Lease(command)) => (
            lease::run(&command).and_then(|text| print(&text)),
            ExitCode::FAILURE,
        ),
        Some(Command::Diff { from, to }) => (diff(&from, &to), ExitCode::from(EXIT_INVALID_INPUT)),
        Some(Command::Apply {
            file,
            required_within,
            at,
        }) => (
            apply(&file, required_within.as_deref(), at.admin),
            ExitCode::FAILURE,
        ),
        Some(Command::Status { at }) => (
            call_daemon(at.admin, Method::GET, "/config/status"),
            ExitCode::FAILURE,
        ),
        Some(Command::Undo { at }) => (
            call_daemon(at.admin, Method::POST, "/config/undo"),
            ExitCode::FAILURE,
        ),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("heathroad: {e}");
            code
        }
    }
}

fn check(file: &Path) -> Result<(), String> {
    if file.extension().is_some_and(|e| e == "toml") {
        let routes = read_routes(file)?;
        let (pools, count) = (routes.config.pools.len(), routes.config.routes.len());
        return print(&format!(
            "{}: good: {pools} pools, {count} routes, digest {}",
            file.display(),
            routes.digest
        ));
    }
    let config = config::check(file).map_err(|error| error.to_string())?;
    if let Some(file) = &config.routes {
        routes::check_self_loop(&*read_routes(file)?, config.listen).map_err(|e| e.to_string())?;
    }
    let site = &config.settings.site;
    print(&format!(
        "{}: good: {} classes, {} tenants, listens on {}, discovery at {}",
        file.display(),
        site.classes.len(),
        site.tenants.len(),
        config.listen,
        config.discovery
    ))
}

fn diff(from: &Path, to: &Path) -> Result<(), String> {
    let (from, to) = (read_routes(from)?, read_routes(to)?);
    let changes = heathroad_routing::diff::describe_changes(&from, &to);
    print(
        if changes.is_empty() {
            "no request moves, no pool changes".to_string()
        } else {
            changes.join("\n")
        }
        .as_str(),
    )
}

/// Prints the report of a verification. A negative report is printed too, and fails the command.
fn print_report(report: Result<String, CommandError>) -> Result<(), String> {
    match report {
        Ok(text) => print(&text),
        Err(CommandError::Other(e)) => Err(e),
        Err(CommandError::Negative(text)) => {
            print(&text)?;
            Err("what is expected does not hold".to_string())
        }
    }
}

fn apply(file: &Path, within: Option<&str>, admin: Option<SocketAddr>) -> Result<(), String> {
    let within = within
        .map(|t| query::parse_duration_ms(t).map_err(|e| format!("--required-within: {e}")))
        .transpose()?;
    let path = within.map_or("/config/apply".to_string(), |ms| {
        format!("/config/apply?required_ms={ms}")
    });
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    print(&admin_client::call(admin, Method::POST, &path, text)?)
}

fn call_daemon(admin: Option<SocketAddr>, method: Method, path: &str) -> Result<(), String> {
    print(&admin_client::call(admin, method, path, String::new())?)
}

fn print(text: &str) -> Result<(), String> {
    writeln!(std::io::stdout(), "{text}").map_err(|e| format!("standard output: {e}"))
}
