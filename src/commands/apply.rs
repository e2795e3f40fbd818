//! `goldcrestramp apply`: brings a ticket into force everywhere.

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
    link::{self, LinkError, OperatorLink},
};

/// How often the VMs are asked whether the ticket is in force.
const ASK_EVERY: Duration = Duration::from_millis(100);
/// How long after the wait the last answers may come.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// How long to wait for all VMs, unless told otherwise.
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

/// Carries the subcommand out.
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
    let (link, vms) = match link::open(matches) {
        Ok(opened) => opened,
        Err(error) => {
            eprintln!("goldcrestramp: {error:#}");
            return CommandExit::Usage;
        }
    };
    let wait = matches.get_one::<u64>("wait").copied().unwrap_or(0);
    let json = matches.get_flag("json");
    let run = ApplyCommand { link, vms, wait, json, document };
    match link::block_on(run.apply()) {
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
    link: OperatorLink,
    vms: Vec<String>,
    wait: u64,
    json: bool,
    document: TicketDocument,
}

impl ApplyCommand {
    async fn apply(&self) -> CommandExit {
        let started = Instant::now();
        let Some(answer) = self.send().await else {
            self.say_nowhere();
            return CommandExit::Refused;
        };
        let Some(version) = answer.version else {
            self.say(&answer, &[], started);
            return match answer.refusals.first() {
                Some(line) if line.code == "malformed" => CommandExit::Usage,
                _ => CommandExit::Refused,
            };
        };
        if !self.json {
            println!("ticket {}: {answer}", self.document.ticket.ticket);
        }
        let lagging = self.wait_in_force(version).await;
        self.say(&answer, &lagging, started);
        if lagging.is_empty() {
            CommandExit::Success
        } else {
            CommandExit::Refused
        }
    }

    /// Asks VM after VM until one knows what became of the ticket.
    ///
    /// Sending the ticket again is safe: its number makes it idempotent,
    /// and the answer to the second tells what the first came to.
    async fn send(&self) -> Option<TicketAnswer> {
        let mut unsure = None;
        for vm in &self.vms {
            let sent = self.link.post_ticket(vm, self.document.text()).await;
            let answer: TicketAnswer = match sent {
                Ok(answer) => answer,
                Err(error) => {
                    eprintln!("goldcrestramp: {vm}: {error}");
                    if may_have_arrived(&error) {
                        unsure = Some(unknown(&error));
                    }
                    continue;
                }
            };
            match answer.outcome {
                TicketOutcome::Accepted
                | TicketOutcome::AcceptedAlready
                | TicketOutcome::Refused => return Some(answer),
                TicketOutcome::Unknown => unsure = Some(answer),
                TicketOutcome::NotApplied => {
                    unsure = unsure.or(Some(answer));
                }
            }
        }
        unsure
    }

    async fn wait_in_force(&self, version: u64) -> Vec<LaggingVm> {
        let until = Instant::now() + Duration::from_secs(self.wait);
        loop {
            let lagging = self.lagging(version, until + ANSWER_GRACE).await;
            if lagging.is_empty() || Instant::now() >= until {
                return lagging;
            }
            tokio::time::sleep(ASK_EVERY).await;
        }
    }

    /// The VMs that do not show `version` by `until`.
    ///
    /// A VM that stands still keeps its connections and answers nothing;
    /// without an end the others would be waited with for its sake.
    async fn lagging(&self, version: u64, until: Instant) -> Vec<LaggingVm> {
        let asked = self.vms.iter().map(|vm| async {
            let report = self.link.get::<StatusReport>(vm, "/status");
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
        let asked = futures_util::future::join_all(asked).await;
        asked.into_iter().flatten().collect()
    }

    fn say_nowhere(&self) {
        if self.json {
            println!("{}", json!({ "outcome": "not-sent" }));
        } else {
            eprintln!("goldcrestramp: no VM took the ticket; none has it");
        }
    }

    fn say(
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
            self.say_refused(answer);
        } else if lagging.is_empty() {
            let count = self.vms.len();
            println!("in force on all {count} VMs after {waited} ms");
        } else {
            for LaggingVm { vm, why } in lagging {
                println!("lags: {vm}: {why}");
            }
        }
    }

    fn say_refused(&self, answer: &TicketAnswer) {
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

/// Whether a VM may have got the ticket although no answer came.
const fn may_have_arrived(error: &LinkError) -> bool {
    matches!(error, LinkError::Unreachable { sent: true, .. })
}

fn unknown(error: &LinkError) -> TicketAnswer {
    TicketAnswer {
        outcome: TicketOutcome::Unknown,
        version: None,
        refusals: Vec::new(),
        raced: Vec::new(),
        why: Some(error.to_string()),
    }
}
