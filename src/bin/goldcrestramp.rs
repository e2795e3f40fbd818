//! The command of operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    goldcrestramp::commands::run()
}
