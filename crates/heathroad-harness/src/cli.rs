//! The command line of `heathroad-harness`.

use crate::load_generator::Progress;
use crate::report;
use crate::runner::{self, RunOptions};
use crate::scenario::{self, BUILT_IN, Scenario};
use crate::schedule;
use crate::summary::{Code, Summary};
use clap::{Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Scenario that runs if none is given.
const DEFAULT_SCENARIO: &str = "peak-load";

/// Run fault-injection scenarios on this machine: real daemons, emulated backends and registry,
/// open-loop load and an invariant checker.
///
/// Exit code 0: passed; 1: a rule violation, a failed expectation, a crashed daemon or counts that
/// differ; 2: invalid input; 3: void, the machine was too slow.
#[derive(Parser)]
#[command(
    name = "heathroad-harness",
    version,
    args_conflicts_with_subcommands = true
)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    run: Run,
}

#[derive(Subcommand)]
enum Command {
    /// List the built-in scenarios.
    List,
    /// Describe a scenario.
    Explain {
        /// Name of a scenario, or a TOML file.
        scenario: String,
    },
}

#[derive(clap::Args)]
struct Run {
    /// Name of a scenario, or a TOML file.
    scenario: Option<String>,
    /// Seed for arrivals, faults and their targets.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Duration of the load in seconds, instead of the scenario's.
    #[arg(long)]
    seconds: Option<f64>,
    /// Requests per second without retries, instead of the scenario's.
    #[arg(long)]
    rate: Option<f64>,
    /// Number of proxies of the first tier, instead of the scenario's.
    #[arg(long)]
    proxies: Option<u16>,
    /// Routes file for the first tier's proxies, instead of the scenario's.
    #[arg(long)]
    routes: Option<PathBuf>,
    /// Write the summary as JSON to a file; - is standard output.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Write an HTML report with plots to a file.
    #[arg(long)]
    report: Option<PathBuf>,
    /// Path of the daemon; defaults to `heathroad` next to this program.
    #[arg(long)]
    heathroad: Option<PathBuf>,
}

/// Runs the program.
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    let result = match cli.command {
        Some(Command::List) => list(),
        Some(Command::Explain { scenario }) => explain(&scenario),
        None => run_scenario(&cli.run),
    };
    match result {
        Ok(code) => ExitCode::from(code as u8),
        Err(e) => {
            eprintln!("heathroad-harness: {e}");
            ExitCode::from(Code::BadInput as u8)
        }
    }
}

/// Prints to standard output, ignoring errors such as a closed pipe.
fn print_line(text: &str) {
    use std::io::Write;
    let _ = writeln!(std::io::stdout(), "{text}");
}

fn list() -> Result<Code, String> {
    for (name, _) in BUILT_IN {
        print_line(&format!("{name:16} {}", scenario::load(name)?.title));
    }
    Ok(Code::Passed)
}

fn explain(name: &str) -> Result<Code, String> {
    let s = scenario::load(name)?;
    print_line(&format!("{}\n\n{}", s.title, s.about.trim()));
    print_line(&format!(
        "\n{} s at {} requests per second through {} proxies; {}",
        s.run.seconds,
        s.run.rate,
        s.run.proxies,
        s.tier
            .iter()
            .map(|t| format!("{} {}", t.backends, t.name))
            .collect::<Vec<_>>()
            .join(", ")
    ));
    for f in &s.fault {
        let [from, to] = f.at_s.ends();
        let when = if from == to {
            format!("{from} s")
        } else {
            format!("{from} to {to} s")
        };
        let target = match (&f.tier, f.on.is_empty()) {
            (_, false) => format!(" on {}", f.on.join(", ")),
            (Some(tier), true) => format!(" on {} of {tier}", f.count),
            (None, true) => String::new(),
        };
        let size = if f.size == 0.0 {
            String::new()
        } else {
            format!(" ({})", f.size)
        };
        print_line(&format!(
            "  at {when} for {} s: {}{size}{target}",
            f.for_s,
            f.what.name()
        ));
    }
    if let Some(d) = &s.drawn {
        let kinds: Vec<&str> = d.kinds.iter().map(|k| k.name()).collect();
        let [from, to] = d.for_s;
        print_line(&format!(
            "  {} faults drawn by the seed, of {from} to {to} s: {}",
            d.count,
            kinds.join(", ")
        ));
    }
    for e in &s.expect {
        let bound =
            |word: &str, b: Option<f64>| b.map(|b| format!(" {word} {b}")).unwrap_or_default();
        print_line(&format!(
            "  expects {}{}{}",
            e.figure,
            bound("at least", e.at_least),
            bound("at most", e.at_most)
        ));
    }
    Ok(Code::Passed)
}

fn load_with_overrides(run: &Run, name: &str) -> Result<Scenario, String> {
    let mut s = scenario::load(name)?;
    if let Some(seconds) = run.seconds {
        // Scale fault times with the length of the run.
        let factor = seconds / s.run.seconds;
        s.run.seconds = seconds;
        for f in &mut s.fault {
            let ends = f.at_s.ends().map(|t| t * factor);
            (f.at_s, f.for_s) = (
                scenario::TimeOrRange::Between(ends),
                f.for_s * factor.min(1.0),
            );
        }
        s.repeat.iter_mut().for_each(|r| r.at_s *= factor);
    }
    if let Some(file) = &run.routes {
        // The daemon validates the routes.
        let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
        s.routes = Some(text);
    }
    s.run.rate = run.rate.unwrap_or(s.run.rate);
    s.run.proxies = run.proxies.unwrap_or(s.run.proxies);
    s.check()
        .map_err(|e| format!("{name}: with the command line's options: {e}"))?;
    Ok(s)
}

/// Returns the daemon's path: the given one, or next to this program.
fn daemon_path(given: Option<&Path>) -> Result<PathBuf, String> {
    let path = match given {
        Some(path) => path.to_path_buf(),
        None => {
            let own = std::env::current_exe().map_err(|e| format!("path of this program: {e}"))?;
            own.with_file_name("heathroad")
        }
    };
    if !path.is_file() {
        return Err(format!(
            "{}: daemon not found: build it or pass --heathroad",
            path.display()
        ));
    }
    Ok(path)
}

fn run_scenario(run: &Run) -> Result<Code, String> {
    let name = run.scenario.as_deref().unwrap_or(DEFAULT_SCENARIO);
    let program = daemon_path(run.heathroad.as_deref())?;
    let schedule = Arc::new(schedule::generate(
        load_with_overrides(run, name)?,
        run.seed,
    ));
    for file in [&run.json, &run.report]
        .into_iter()
        .flatten()
        .filter(|f| f.as_os_str() != "-")
    {
        // Fail before the run if the file is not writable.
        std::fs::write(file, "").map_err(|e| format!("{}: {e}", file.display()))?;
    }
    let progress = Arc::<Progress>::default();
    let (stop, stopped) = watch::channel(false);
    std::thread::spawn(move || wait_for_signals(&stop));
    let bar = show_progress(&schedule, &progress);
    let options = RunOptions {
        program,
        schedule,
        progress,
        stop: stopped,
    };
    let seen = runner::run(options);
    bar.finish_and_clear();
    let summary = Summary::of(seen?);
    let json = summary.json(name);
    match &run.json {
        Some(file) if file.as_os_str() == "-" => print_line(&json),
        Some(file) => {
            std::fs::write(file, json + "\n").map_err(|e| format!("{}: {e}", file.display()))?;
            print_line(summary.table().trim_end());
        }
        None => print_line(summary.table().trim_end()),
    }
    if let Some(file) = &run.report {
        let page = report::page(&summary)?;
        std::fs::write(file, page).map_err(|e| format!("{}: {e}", file.display()))?;
    }
    Ok(summary.code())
}

/// Sets `stop` on Ctrl-C or SIGTERM, so that the run ends in order and is reported.
fn wait_for_signals(stop: &watch::Sender<bool>) {
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    else {
        return;
    };
    runtime.block_on(async {
        let (Ok(mut int), Ok(mut term)) = (
            signal(SignalKind::interrupt()),
            signal(SignalKind::terminate()),
        ) else {
            return;
        };
        tokio::select! {
            _ = int.recv() => {}
            _ = term.recv() => {}
        }
        stop.send_replace(true);
        // Keep `stop` alive, so that the channel stays open.
        std::future::pending::<()>().await;
    });
}

fn show_progress(schedule: &schedule::Schedule, progress: &Arc<Progress>) -> ProgressBar {
    let bar = ProgressBar::new(schedule.requests.len() as u64);
    let style = ProgressStyle::with_template("{msg} [{bar:40}] {pos}/{len} requests, {elapsed}");
    if let Ok(style) = style {
        bar.set_style(style.progress_chars("=> "));
    }
    bar.set_message(format!("running, schedule {}", schedule.digest));
    let (shown, progress) = (bar.clone(), progress.clone());
    std::thread::spawn(move || {
        while !shown.is_finished() {
            shown.set_position(progress.started.load(Ordering::Relaxed));
            std::thread::sleep(Duration::from_millis(200));
        }
    });
    bar
}
