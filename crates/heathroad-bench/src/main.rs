//! What a request costs the daemon: allocations, reads and writes, tasks and timers, CPU time and
//! latency, beside a bare hyper proxy that decides nothing, in the same run.
//!
//! - `case` says what is sent and how backends answer, `node` is a backend, `load` the callers.
//! - `bare` is the yardstick. It and the daemon run as processes of this program, see `subject`,
//!   with an allocator that counts.
//! - `overload` offers more than a core can do. `measure` runs subjects by turns and says what came
//!   out. Times mean something beside each other only; counts do by themselves, and
//!   `tests/guard.rs` holds them to `ceilings.toml`.

#![allow(
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    reason = "the package is still to be split, see docs/ROADMAP.md"
)]

mod bare;
mod case;
mod load;
mod measure;
mod node;
mod overload;
mod subject;

use clap::Parser;
use std::process::ExitCode;

/// What a request costs heathroad, counted and timed beside a bare proxy in the same run.
#[derive(Parser)]
#[command(version)]
struct Cli {
    /// What is sent: see `--list`; all, unless some are named.
    cases: Vec<String>,
    /// Says which cases there are.
    #[arg(long)]
    list: bool,
    /// Connections of callers, one after another: 1 to 4000.
    #[arg(long, value_delimiter = ',', default_value = "1,16,200,1000")]
    connections: Vec<usize>,
    /// Requests of a run.
    #[arg(long, default_value_t = 100_000)]
    requests: u64,
    /// Runs of each, by turns with the yardstick's.
    #[arg(long, default_value_t = 3)]
    runs: usize,
    /// Counts only, on one connection, one JSON object a line.
    #[arg(long)]
    counts: bool,
    /// Requests that come at a rate, from half of what a core can do to five times that, whatever
    /// becomes of them.
    #[arg(long)]
    overload: bool,
    /// The daemon alone.
    #[arg(long)]
    alone: bool,
}

fn main() -> ExitCode {
    if let Some(code) = subject::be_one() {
        return code;
    }
    let cli = Cli::parse();
    match run(&cli) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("heathroad-bench: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run(cli: &Cli) -> Result<(), String> {
    if cli.list {
        case::ALL
            .iter()
            .for_each(|c| println!("{:12} {}", c.name, c.about));
        return Ok(());
    }
    if let Some(n) = cli.connections.iter().find(|n| !(1..=4000).contains(*n)) {
        return Err(format!("--connections {n}: expected 1 to 4000"));
    }
    let named = |name: &String| {
        case::ALL
            .iter()
            .find(|c| c.name == name)
            .ok_or_else(|| format!("{name}: no such case, see --list"))
    };
    let cases = match cli.cases.is_empty() {
        true => case::ALL.iter().collect(),
        false => cli.cases.iter().map(named).collect::<Result<Vec<_>, _>>()?,
    };
    subject::measure_beside()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    runtime.block_on(async {
        if cli.overload {
            for case in &cases {
                overload::table(case).await?;
            }
            return Ok(());
        }
        if cli.counts {
            return measure::counts(&cases, cli.requests).await;
        }
        measure::table(&cases, &cli.connections, cli.requests, cli.runs, cli.alone).await
    })
}
