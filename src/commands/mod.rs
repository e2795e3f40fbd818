//! The operators' command `goldcrestramp`, with one module for each
//! subcommand.
//!
//! Exit status: 0 on success, 1 if something is refused or a guarantee is
//! violated, 2 for a wrong command line or bad input.

mod apply;
mod arguments;
mod check;
mod client;
mod demo;
mod exit;
mod explain;
mod load;
mod status;
mod text;

use std::process::ExitCode;

use clap::{ArgMatches, Command};

pub use self::exit::CommandExit;

/// One subcommand.
#[derive(Clone, Copy, Debug)]
pub struct CommandEntry {
    /// Its name on the command line.
    pub name: &'static str,
    /// Its arguments and help.
    pub command: fn() -> Command,
    /// Runs it.
    pub run: fn(&ArgMatches) -> CommandExit,
}

/// All subcommands, in the order of the help.
const ENTRIES: &[CommandEntry] = &[
    CommandEntry { name: "check", command: check::command, run: check::run },
    CommandEntry { name: "apply", command: apply::command, run: apply::run },
    CommandEntry {
        name: "status",
        command: status::command,
        run: status::run,
    },
    CommandEntry {
        name: "explain",
        command: explain::command,
        run: explain::run,
    },
    CommandEntry { name: "load", command: load::command, run: load::run },
    CommandEntry { name: "demo", command: demo::command, run: demo::run },
];

/// The complete command line.
#[must_use]
pub fn command() -> Command {
    Command::new("goldcrestramp")
        .about("Checks and applies change tickets, and shows a deployment")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands(ENTRIES.iter().map(|entry| (entry.command)()))
}

/// Parses the command line and runs the subcommand.
#[must_use]
pub fn run() -> ExitCode {
    let matches = command().get_matches();
    let Some((name, matches)) = matches.subcommand() else {
        return CommandExit::Usage.into();
    };
    let entry = ENTRIES.iter().find(|entry| entry.name == name);
    entry.map_or(CommandExit::Usage, |entry| (entry.run)(matches)).into()
}
