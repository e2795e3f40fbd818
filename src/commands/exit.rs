//! The result of a subcommand.

use std::process::ExitCode;

/// The exit status of a subcommand.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommandExit {
    /// Success: 0.
    Success,
    /// Something was refused, or a guarantee was violated: 1.
    Refused,
    /// The command line or an input is bad: 2.
    Usage,
}

impl From<CommandExit> for ExitCode {
    fn from(exit: CommandExit) -> Self {
        Self::from(match exit {
            CommandExit::Success => 0,
            CommandExit::Refused => 1,
            CommandExit::Usage => 2,
        })
    }
}
