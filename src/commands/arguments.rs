//! Command-line arguments that several subcommands share.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, value_parser};

/// The default interval of `--watch`, in seconds.
const WATCH_SECONDS: &str = "1";

/// `--vm URL`, repeatable: the operators' listeners to use.
pub(super) fn vms(required: bool) -> Arg {
    Arg::new("vm")
        .long("vm")
        .value_name("URL")
        .help("A VM's operators' listener, http://IP:PORT; repeatable")
        .action(ArgAction::Append)
        .required(required)
}

/// `--token-file FILE`: the bearer token of the operators' listeners.
pub(super) fn token_file() -> Arg {
    Arg::new("token-file")
        .long("token-file")
        .value_name("FILE")
        .help("The file with the operators' bearer token")
        .value_parser(value_parser!(PathBuf))
}

/// `--json`: machine-readable output.
pub(super) fn json() -> Arg {
    Arg::new("json")
        .long("json")
        .help("Prints one JSON value a line")
        .action(ArgAction::SetTrue)
}

/// `--watch [SECONDS]`: repeats the output periodically.
pub(super) fn watch() -> Arg {
    Arg::new("watch")
        .long("watch")
        .value_name("SECONDS")
        .help("Shows it again every so many seconds, until interrupted")
        .num_args(0..=1)
        .require_equals(true)
        .default_missing_value(WATCH_SECONDS)
        .value_parser(value_parser!(u64).range(1..=3_600))
}

/// The values of `--vm`.
pub(super) fn vm_urls(matches: &ArgMatches) -> Vec<String> {
    let urls = matches.get_many::<String>("vm").unwrap_or_default();
    urls.cloned().collect()
}
