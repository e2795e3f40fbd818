//! The operators' command.

use std::process::ExitCode;

fn main() -> ExitCode {
    goldcrestramp::commands::run()
}
