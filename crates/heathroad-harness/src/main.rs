//! `heathroad-harness`: one command to see heathroad work, and fail.

use std::process::ExitCode;

fn main() -> ExitCode {
    heathroad_harness::cli::main()
}
