//! The `heathroad-harness` command, which runs fault-injection scenarios against heathroad.

#![allow(
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    reason = "the package is still to be split, see docs/ROADMAP.md"
)]

use std::process::ExitCode;

fn main() -> ExitCode {
    heathroad_harness::cli::main()
}
