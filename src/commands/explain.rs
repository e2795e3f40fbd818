//! `goldcrestramp explain`: shows the owner of a key and the reasons.

use clap::{Arg, ArgMatches, Command};
use goldcrestramp_node::ExplainReport;
use serde_json::json;

use super::{
    CommandExit, arguments, client::OperatorClient, status::show_repeatedly,
    text,
};

/// The subcommand's arguments and help.
#[must_use]
pub fn command() -> Command {
    Command::new("explain")
        .about("Tells a key's slice, owner, token and keeper, and why there")
        .after_help(
            "Examples:\n  goldcrestramp explain stock-lookup shop-17/rice \
             --vm http://10.0.1.1:8083\n  goldcrestramp explain orders \
             reader-9 --vm http://10.0.1.1:8083 --watch --json",
        )
        .arg(
            Arg::new("service")
                .value_name("SERVICE")
                .help("The service")
                .required(true),
        )
        .arg(Arg::new("key").value_name("KEY").help("The key").required(true))
        .arg(arguments::vms(true))
        .arg(arguments::token_file())
        .arg(arguments::watch())
        .arg(arguments::json())
}

/// Runs the subcommand.
#[must_use]
pub fn run(matches: &ArgMatches) -> CommandExit {
    let json = matches.get_flag("json");
    let text_of = |name| matches.get_one::<String>(name).cloned();
    let service = text_of("service").unwrap_or_default();
    let key = text_of("key").unwrap_or_default();
    let query = [("service", service.as_str()), ("key", key.as_str())];
    let path = format!("/explain?{}", encode_query(&query));
    show_repeatedly(matches, &async |client: &OperatorClient, vm: &str| {
        let report = client.get::<ExplainReport>(vm, &path).await;
        let report = report.map_err(|error| error.to_string())?;
        Ok(if json {
            json!({ "url": vm, "explain": report }).to_string() + "\n"
        } else {
            text::explain(&report)
        })
    })
}

/// Encodes pairs as a query string; every byte that is not unreserved is
/// escaped.
fn encode_query(pairs: &[(&str, &str)]) -> String {
    let pairs = pairs.iter().map(|(name, value)| {
        let bytes = value.bytes().map(|byte| match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' => {
                char::from(byte).to_string()
            }
            _ => format!("%{byte:02X}"),
        });
        format!("{name}={}", bytes.collect::<String>())
    });
    pairs.collect::<Vec<_>>().join("&")
}
