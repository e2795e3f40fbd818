//! `goldcrestramp check`: validates tickets and settings before they are
//! applied.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use goldcrestramp_config::{
    AcceptOutcome, DeploymentState, FaultList, TicketPreview, accept_ticket,
    preview_ticket, read_example, read_settings, read_ticket,
};
use serde_json::json;

use super::{CommandExit, arguments, client, text};

/// The subcommand's arguments and help.
#[must_use]
pub fn command() -> Command {
    Command::new("check")
        .about("Checks tickets and settings, and tells what tickets move")
        .after_help(
            "Tickets are judged in their order, after what the VM has in \
             force, or after nothing.\n\nExamples:\n  \
             goldcrestramp check ticket.jsonc --vm http://10.0.1.1:8083\n  \
             goldcrestramp check --settings node.jsonc\n  \
             goldcrestramp check --deployment examples/tiendalista.jsonc \
             ticket.jsonc",
        )
        .arg(files("tickets", "Tickets, JSON with comments").index(1))
        .arg(option("settings", "A daemon's settings; repeatable"))
        .arg(
            option("deployment", "A deployment to judge the tickets after")
                .action(ArgAction::Set)
                .conflicts_with("vm"),
        )
        .arg(arguments::vms(false))
        .arg(arguments::token_file())
        .arg(arguments::json())
}

fn files(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .value_name("FILE")
        .help(help)
        .action(ArgAction::Append)
        .value_parser(value_parser!(PathBuf))
}

fn option(name: &'static str, help: &'static str) -> Arg {
    files(name, help).long(name)
}

/// Runs the subcommand.
#[must_use]
pub fn run(matches: &ArgMatches) -> CommandExit {
    let mut check = CheckRun::new(matches.get_flag("json"));
    for file in paths(matches, "settings") {
        check.settings(&file);
    }
    let tickets = paths(matches, "tickets");
    match initial_state(matches) {
        Ok(state) => check.tickets(state, &tickets),
        Err(StateError::Faults(faults)) => check.bad_input(&faults),
        Err(StateError::Vm(why)) => {
            eprintln!("goldcrestramp: {why}");
            return CommandExit::Refused;
        }
    }
    check.exit
}

fn paths(matches: &ArgMatches, name: &str) -> Vec<PathBuf> {
    let files = matches.get_many::<PathBuf>(name).unwrap_or_default();
    files.cloned().collect()
}

/// Why there is no state to validate tickets against.
enum StateError {
    Faults(FaultList),
    Vm(String),
}

/// Determines the state that the tickets are validated against.
fn initial_state(matches: &ArgMatches) -> Result<DeploymentState, StateError> {
    if let Some(file) = matches.get_one::<PathBuf>("deployment") {
        let example = read_example(file).map_err(StateError::Faults)?;
        let empty = DeploymentState::default();
        return Ok(match accept_ticket(&empty, &example.ticket) {
            AcceptOutcome::Accepted(state) => *state,
            _ => empty,
        });
    }
    let (client, vms) = client::open(matches)
        .map_err(|error| StateError::Vm(error.to_string()))?;
    if vms.is_empty() {
        return Ok(DeploymentState::default());
    }
    let queried = client::block_on(async {
        let mut last = String::new();
        for vm in &vms {
            match client.get(vm, "/config").await {
                Ok(state) => return Ok(state),
                Err(error) => last = format!("{vm}: {error}"),
            }
        }
        Err(last)
    });
    queried
        .map_err(|error| StateError::Vm(error.to_string()))?
        .map_err(StateError::Vm)
}

/// The state of a check and its exit status so far.
struct CheckRun {
    json: bool,
    exit: CommandExit,
}

impl CheckRun {
    const fn new(json: bool) -> Self {
        Self { json, exit: CommandExit::Success }
    }

    fn settings(&mut self, file: &std::path::Path) {
        match read_settings(file) {
            Ok(_) => self.valid(file, None),
            Err(faults) => self.bad_input(&faults),
        }
    }

    fn tickets(&mut self, mut state: DeploymentState, files: &[PathBuf]) {
        for file in files {
            let document = match read_ticket(file) {
                Ok(document) => document,
                Err(faults) => {
                    self.bad_input(&faults);
                    continue;
                }
            };
            match accept_ticket(&state, &document.ticket) {
                AcceptOutcome::Accepted(next) => {
                    self.valid(file, Some(&preview_ticket(&state, &next)));
                    state = *next;
                }
                AcceptOutcome::AcceptedAlready { version } => {
                    self.accepted_already(file, version);
                }
                AcceptOutcome::Refused(refusals) => {
                    self.refused(&document.locate(&refusals));
                }
            }
        }
    }

    fn valid(&self, file: &std::path::Path, preview: Option<&TicketPreview>) {
        let file = file.display().to_string();
        if self.json {
            let line = json!({
                "file": file, "outcome": "good", "preview": preview,
            });
            println!("{line}");
            return;
        }
        println!("{file}: good");
        if let Some(preview) = preview {
            print!("{}", text::preview(preview));
        }
    }

    fn accepted_already(&self, file: &std::path::Path, version: u64) {
        let file = file.display().to_string();
        if self.json {
            let outcome = "accepted-already";
            let line = json!({
                "file": file, "outcome": outcome, "version": version,
            });
            println!("{line}");
        } else {
            println!("{file}: accepted already; version {version} holds it");
        }
    }

    fn refused(&mut self, faults: &FaultList) {
        self.print_faults(faults, "refused");
        if self.exit == CommandExit::Success {
            self.exit = CommandExit::Refused;
        }
    }

    fn bad_input(&mut self, faults: &FaultList) {
        self.print_faults(faults, "malformed");
        self.exit = CommandExit::Usage;
    }

    fn print_faults(&self, faults: &FaultList, outcome: &str) {
        if self.json {
            let faults = faults.faults();
            println!("{}", json!({ "outcome": outcome, "faults": faults }));
        } else {
            eprintln!("{faults}");
        }
    }
}
