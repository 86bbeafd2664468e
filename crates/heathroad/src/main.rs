//! The program; all of it is in the library, so that what it costs can be counted from outside.

use std::process::ExitCode;

fn main() -> ExitCode {
    heathroad::main()
}
