//! `goldcrestramp status`: shows what VMs know of the deployment.

use std::time::Duration;

use clap::{ArgMatches, Command};
use goldcrestramp_node::StatusReport;
use serde_json::json;

use super::{
    CommandExit, arguments,
    client::{self, OperatorClient},
    text,
};

/// The subcommand's arguments and help.
#[must_use]
pub fn command() -> Command {
    Command::new("status")
        .about("Shows what VMs know: steward, versions, owners, refusals")
        .after_help(
            "A VM that is cut off shows what it knew last, and how old that \
             is.\n\nExamples:\n  \
             goldcrestramp status --vm http://10.0.1.1:8083\n  \
             goldcrestramp status --vm http://10.0.1.1:8083 \
             --vm http://10.0.2.1:8083 --watch=2\n  \
             goldcrestramp status --vm http://10.0.1.1:8083 --json",
        )
        .arg(arguments::vms(true))
        .arg(arguments::token_file())
        .arg(arguments::watch())
        .arg(arguments::json())
}

/// Runs the subcommand.
#[must_use]
pub fn run(matches: &ArgMatches) -> CommandExit {
    let json = matches.get_flag("json");
    show_repeatedly(matches, &async |client: &OperatorClient, vm: &str| {
        let report = client.get::<StatusReport>(vm, "/status").await;
        let report = report.map_err(|error| error.to_string())?;
        Ok(if json {
            json!({ "url": vm, "status": report }).to_string() + "\n"
        } else {
            text::status(&report)
        })
    })
}

/// Prints each VM's report; with `--watch`, periodically.
///
/// One VM that responds is enough for success.
pub(super) fn show_repeatedly(
    matches: &ArgMatches,
    show: &impl AsyncFn(&OperatorClient, &str) -> Result<String, String>,
) -> CommandExit {
    let (client, vms) = match client::open(matches) {
        Ok(opened) => opened,
        Err(error) => {
            eprintln!("goldcrestramp: {error:#}");
            return CommandExit::Usage;
        }
    };
    let every = matches.get_one::<u64>("watch").copied();
    let shown = client::block_on(async {
        loop {
            let mut responded = false;
            for vm in &vms {
                match show(&client, vm).await {
                    Ok(text) => {
                        print!("{text}");
                        responded = true;
                    }
                    Err(why) => eprintln!("goldcrestramp: {vm}: {why}"),
                }
            }
            let Some(every) = every else { return responded };
            tokio::time::sleep(Duration::from_secs(every)).await;
        }
    });
    match shown {
        Ok(true) => CommandExit::Success,
        Ok(false) => CommandExit::Refused,
        Err(error) => {
            eprintln!("goldcrestramp: {error:#}");
            CommandExit::Refused
        }
    }
}
