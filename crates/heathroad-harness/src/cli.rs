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

/// The scenario that is rehearsed when none is named.
const DEFAULT: &str = "peak-load";

/// Rehearse heathroad's worst nights on this machine: real daemons, stand-in backends and registry,
/// open-loop load, a judge of the four rules.
///
/// Exit code 0: all kept; 1: a rule broken, an expectation missed or counts that differ; 2: bad
/// input; 3: void, the machine ran late.
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
    /// Name the scenarios that come with the kit.
    List,
    /// Say what a scenario does.
    Explain {
        /// Its name, or a TOML file.
        scenario: String,
    },
}

#[derive(clap::Args)]
struct Run {
    /// A scenario's name, or a TOML file.
    scenario: Option<String>,
    /// Draws arrivals, faults and victims.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How long requests come, in place of the scenario's.
    #[arg(long)]
    seconds: Option<f64>,
    /// First tries a second, in place of the scenario's.
    #[arg(long)]
    rate: Option<f64>,
    /// Proxies before the first tier, in place of the scenario's.
    #[arg(long)]
    proxies: Option<u16>,
    /// Give the first tier's proxies this file of routes and pools, in place of the scenario's.
    #[arg(long)]
    routes: Option<PathBuf>,
    /// Write the outcome as JSON to a file; - is standard output.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Write a page with plots.
    #[arg(long)]
    report: Option<PathBuf>,
    /// The daemon's program; else the one beside this.
    #[arg(long)]
    heathroad: Option<PathBuf>,
}

/// Runs the program.
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    let done = match cli.command {
        Some(Command::List) => list(),
        Some(Command::Explain { scenario }) => explain(&scenario),
        None => rehearse(&cli.run),
    };
    match done {
        Ok(code) => ExitCode::from(code as u8),
        Err(e) => {
            eprintln!("heathroad-harness: {e}");
            ExitCode::from(Code::BadInput as u8)
        }
    }
}

/// Writes to standard output; whoever reads it may have gone.
fn say(text: &str) {
    use std::io::Write;
    let _ = writeln!(std::io::stdout(), "{text}");
}

fn list() -> Result<Code, String> {
    for (name, _) in BUILT_IN {
        say(&format!("{name:16} {}", scenario::load(name)?.title));
    }
    Ok(Code::Kept)
}

fn explain(name: &str) -> Result<Code, String> {
    let s = scenario::load(name)?;
    say(&format!("{}\n\n{}", s.title, s.about.trim()));
    say(&format!(
        "\n{} s at {} first tries a second through {} proxies; {}",
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
        let whom = match (&f.tier, f.on.is_empty()) {
            (_, false) => format!(" on {}", f.on.join(", ")),
            (Some(tier), true) => format!(" on {} of {tier}", f.count),
            (None, true) => String::new(),
        };
        let size = if f.size == 0.0 {
            String::new()
        } else {
            format!(" ({})", f.size)
        };
        say(&format!(
            "  at {when} for {} s: {}{size}{whom}",
            f.for_s,
            f.what.name()
        ));
    }
    if let Some(d) = &s.drawn {
        let kinds: Vec<&str> = d.kinds.iter().map(|k| k.name()).collect();
        let [from, to] = d.for_s;
        say(&format!(
            "  {} faults drawn by the seed, of {from} to {to} s: {}",
            d.count,
            kinds.join(", ")
        ));
    }
    for e in &s.expect {
        let bound =
            |word: &str, b: Option<f64>| b.map(|b| format!(" {word} {b}")).unwrap_or_default();
        say(&format!(
            "  expects {}{}{}",
            e.figure,
            bound("at least", e.at_least),
            bound("at most", e.at_most)
        ));
    }
    Ok(Code::Kept)
}

fn scaled(run: &Run, name: &str) -> Result<Scenario, String> {
    let mut s = scenario::load(name)?;
    if let Some(seconds) = run.seconds {
        // Faults keep their places in the whole.
        let by = seconds / s.run.seconds;
        s.run.seconds = seconds;
        for f in &mut s.fault {
            let ends = f.at_s.ends().map(|t| t * by);
            (f.at_s, f.for_s) = (scenario::TimeOrRange::Between(ends), f.for_s * by.min(1.0));
        }
        s.repeat.iter_mut().for_each(|r| r.at_s *= by);
    }
    if let Some(file) = &run.routes {
        // The daemon checks what it says.
        let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
        s.routes = Some(text);
    }
    s.run.rate = run.rate.unwrap_or(s.run.rate);
    s.run.proxies = run.proxies.unwrap_or(s.run.proxies);
    s.check()
        .map_err(|e| format!("{name}: with the command line's figures: {e}"))?;
    Ok(s)
}

/// The daemon's program: as named, or beside this one.
fn program(named: Option<&Path>) -> Result<PathBuf, String> {
    let path = match named {
        Some(path) => path.to_path_buf(),
        None => {
            let own = std::env::current_exe().map_err(|e| format!("this program's place: {e}"))?;
            own.with_file_name("heathroad")
        }
    };
    if !path.is_file() {
        return Err(format!(
            "{}: no daemon there: build it, or name it with --heathroad",
            path.display()
        ));
    }
    Ok(path)
}

fn rehearse(run: &Run) -> Result<Code, String> {
    let name = run.scenario.as_deref().unwrap_or(DEFAULT);
    let program = program(run.heathroad.as_deref())?;
    let schedule = Arc::new(schedule::generate(scaled(run, name)?, run.seed));
    for file in [&run.json, &run.report]
        .into_iter()
        .flatten()
        .filter(|f| f.as_os_str() != "-")
    {
        // Found out now, not after the rehearsal.
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
        Some(file) if file.as_os_str() == "-" => say(&json),
        Some(file) => {
            std::fs::write(file, json + "\n").map_err(|e| format!("{}: {e}", file.display()))?;
            say(summary.table().trim_end());
        }
        None => say(summary.table().trim_end()),
    }
    if let Some(file) = &run.report {
        let page = report::page(&summary)?;
        std::fs::write(file, page).map_err(|e| format!("{}: {e}", file.display()))?;
    }
    Ok(summary.code())
}

/// Sets `stop` on Ctrl-C or SIGTERM: everything is ended in order, and what was seen is reported.
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
        // Held, so that the receivers' channel stays open.
        std::future::pending::<()>().await;
    });
}

fn show_progress(schedule: &schedule::Schedule, progress: &Arc<Progress>) -> ProgressBar {
    let bar = ProgressBar::new(schedule.requests.len() as u64);
    let style = ProgressStyle::with_template("{msg} [{bar:40}] {pos}/{len} requests, {elapsed}");
    if let Ok(style) = style {
        bar.set_style(style.progress_chars("=> "));
    }
    bar.set_message(format!("rehearsing, plan {}", schedule.digest));
    let (shown, progress) = (bar.clone(), progress.clone());
    std::thread::spawn(move || {
        while !shown.is_finished() {
            shown.set_position(progress.started.load(Ordering::Relaxed));
            std::thread::sleep(Duration::from_millis(200));
        }
    });
    bar
}
