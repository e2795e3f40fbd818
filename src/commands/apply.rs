//! `goldcrestramp apply`: applies a ticket and waits until all VMs have it in
//! force.

use std::{
    path::PathBuf,
    time::{Duration, Instant},
};

use clap::{Arg, ArgMatches, Command, value_parser};
use goldcrestramp_config::{TicketDocument, read_ticket};
use goldcrestramp_node::{StatusReport, TicketAnswer, TicketOutcome};
use serde_json::json;
use tokio::time::timeout_at;

use super::{
    CommandExit, arguments,
    client::{self, ClientError, OperatorClient},
};

/// The interval at which VMs are polled for the ticket.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How long after the wait the last responses may arrive.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);
/// The default wait for all VMs, in seconds.
const WAIT_SECONDS: &str = "60";

/// The subcommand's arguments and help.
#[must_use]
pub fn command() -> Command {
    Command::new("apply")
        .about("Applies a ticket and waits until it is in force everywhere")
        .after_help(
            "The ticket goes to the first VM that answers; then every VM \
             named is asked until it has the ticket in force. The same \
             ticket may be applied again at any time, and so it is when an \
             answer is lost.\n\nExamples:\n  \
             goldcrestramp apply ticket.jsonc --vm http://10.0.1.1:8083 \
             --vm http://10.0.2.1:8083\n  \
             goldcrestramp apply ticket.jsonc --vm http://10.0.1.1:8083 \
             --token-file operators.token --wait 8 --json",
        )
        .arg(
            Arg::new("ticket")
                .value_name("FILE")
                .help("The ticket, JSON with comments")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(arguments::vms(true))
        .arg(arguments::token_file())
        .arg(
            Arg::new("wait")
                .long("wait")
                .value_name("SECONDS")
                .help("How long to wait for all VMs")
                .default_value(WAIT_SECONDS)
                .value_parser(value_parser!(u64).range(0..=3_600)),
        )
        .arg(arguments::json())
}

/// Runs the subcommand.
#[must_use]
pub fn run(matches: &ArgMatches) -> CommandExit {
    let file = matches.get_one::<PathBuf>("ticket");
    let file = file.cloned().unwrap_or_default();
    let document = match read_ticket(&file) {
        Ok(document) => document,
        Err(faults) => {
            eprintln!("{faults}");
            return CommandExit::Usage;
        }
    };
    let (client, vms) = match client::open(matches) {
        Ok(opened) => opened,
        Err(error) => {
            eprintln!("goldcrestramp: {error:#}");
            return CommandExit::Usage;
        }
    };
    let wait = matches.get_one::<u64>("wait").copied().unwrap_or(0);
    let json = matches.get_flag("json");
    let run = ApplyCommand { client, vms, wait, json, document };
    match client::block_on(run.apply()) {
        Ok(exit) => exit,
        Err(error) => {
            eprintln!("goldcrestramp: {error:#}");
            CommandExit::Refused
        }
    }
}

/// A VM that does not have the ticket in force yet.
#[derive(Debug, serde::Serialize)]
struct LaggingVm {
    vm: String,
    why: String,
}

struct ApplyCommand {
    client: OperatorClient,
    vms: Vec<String>,
    wait: u64,
    json: bool,
    document: TicketDocument,
}

impl ApplyCommand {
    async fn apply(&self) -> CommandExit {
        let started = Instant::now();
        let Some(answer) = self.send().await else {
            self.print_not_sent();
            return CommandExit::Refused;
        };
        let Some(version) = answer.version else {
            self.print_outcome(&answer, &[], started);
            return match answer.refusals.first() {
                Some(line) if line.code == "malformed" => CommandExit::Usage,
                _ => CommandExit::Refused,
            };
        };
        if !self.json {
            println!("ticket {}: {answer}", self.document.ticket.ticket);
        }
        let lagging = self.wait_in_force(version).await;
        self.print_outcome(&answer, &lagging, started);
        if lagging.is_empty() {
            CommandExit::Success
        } else {
            CommandExit::Refused
        }
    }

    /// Sends the ticket to one VM after another until the outcome is known.
    ///
    /// Resending the ticket is safe: its number makes it idempotent, and the
    /// second response reports the outcome of the first attempt.
    async fn send(&self) -> Option<TicketAnswer> {
        let mut last_unclear = None;
        for vm in &self.vms {
            let sent = self.client.post_ticket(vm, self.document.text()).await;
            let answer: TicketAnswer = match sent {
                Ok(answer) => answer,
                Err(error) => {
                    eprintln!("goldcrestramp: {vm}: {error}");
                    if may_have_arrived(&error) {
                        last_unclear = Some(unknown(&error));
                    }
                    continue;
                }
            };
            match answer.outcome {
                TicketOutcome::Accepted
                | TicketOutcome::AcceptedAlready
                | TicketOutcome::Refused => return Some(answer),
                TicketOutcome::Unknown => last_unclear = Some(answer),
                TicketOutcome::NotApplied => {
                    last_unclear = last_unclear.or(Some(answer));
                }
            }
        }
        last_unclear
    }

    async fn wait_in_force(&self, version: u64) -> Vec<LaggingVm> {
        let until = Instant::now() + Duration::from_secs(self.wait);
        loop {
            let lagging = self.lagging(version, until + RESPONSE_GRACE).await;
            if lagging.is_empty() || Instant::now() >= until {
                return lagging;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the VMs that do not report `version` by `until`.
    ///
    /// A frozen VM keeps its connections open and never responds; without this
    /// timeout the command would wait for it although all others have
    /// responded.
    async fn lagging(&self, version: u64, until: Instant) -> Vec<LaggingVm> {
        let queries = self.vms.iter().map(|vm| async {
            let report = self.client.get::<StatusReport>(vm, "/status");
            let why = match timeout_at(until.into(), report).await {
                Ok(Ok(report)) if report.config_version >= version => {
                    return None;
                }
                Ok(Ok(report)) => {
                    format!("has version {}", report.config_version)
                }
                Ok(Err(error)) => error.to_string(),
                Err(_elapsed) => "no answer in time".to_owned(),
            };
            Some(LaggingVm { vm: vm.clone(), why })
        });
        let queries = futures_util::future::join_all(queries).await;
        queries.into_iter().flatten().collect()
    }

    fn print_not_sent(&self) {
        if self.json {
            println!("{}", json!({ "outcome": "not-sent" }));
        } else {
            eprintln!("goldcrestramp: no VM took the ticket; none has it");
        }
    }

    fn print_outcome(
        &self,
        answer: &TicketAnswer,
        lagging: &[LaggingVm],
        started: Instant,
    ) {
        let waited = started.elapsed().as_millis();
        if self.json {
            let line = json!({
                "answer": answer,
                "lagging": lagging,
                "waited_ms": u64::try_from(waited).unwrap_or(u64::MAX),
            });
            println!("{line}");
        } else if answer.version.is_none() {
            self.print_refusals(answer);
        } else if lagging.is_empty() {
            let count = self.vms.len();
            println!("in force on all {count} VMs after {waited} ms");
        } else {
            for LaggingVm { vm, why } in lagging {
                println!("lags: {vm}: {why}");
            }
        }
    }

    fn print_refusals(&self, answer: &TicketAnswer) {
        eprintln!("ticket {}: {answer}", self.document.ticket.ticket);
        for line in &answer.refusals {
            let place = self.document.place(&line.path);
            eprintln!("{place}: {}: {}", line.path, line.message);
        }
        for number in &answer.raced {
            eprintln!("ticket {number} went in meanwhile");
        }
    }
}

/// Whether a VM may have received the ticket although no response arrived.
const fn may_have_arrived(error: &ClientError) -> bool {
    matches!(error, ClientError::Unreachable { sent: true, .. })
}

fn unknown(error: &ClientError) -> TicketAnswer {
    TicketAnswer {
        outcome: TicketOutcome::Unknown,
        version: None,
        refusals: Vec::new(),
        raced: Vec::new(),
        why: Some(error.to_string()),
    }
}
