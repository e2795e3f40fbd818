//! The daemon of an entry VM of the users' platform.

use std::{path::PathBuf, process::ExitCode};

use clap::{Arg, Command, value_parser};
use eyre::WrapErr;
use goldcrestramp_adapter::SETTINGS_VARIABLE;
use goldcrestramp_entry::logs::start_logs;

fn main() -> ExitCode {
    let matches = command().get_matches();
    match run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("goldcrestramp-entry: {report:#}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("The settings file; else the one that the platform names");
    let level = Arg::new("log")
        .long("log")
        .value_name("LEVEL")
        .default_value("info")
        .help("error, warn, info or debug");
    Command::new("goldcrestramp-entry")
        .about("The router on an entry VM of the users' platform")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(
            Command::new("serve")
                .about("Serve until SIGTERM")
                .arg(settings.clone())
                .arg(level),
        )
        .subcommand(
            Command::new("check").about("Check a settings file").arg(settings),
        )
}

fn run(matches: &clap::ArgMatches) -> eyre::Result<()> {
    match matches.subcommand() {
        Some(("check", matches)) => {
            let settings =
                goldcrestramp_entry::read_settings(&settings_path(matches)?)?;
            println!("VM {} in {}: valid", settings.vm, settings.domain);
            Ok(())
        }
        Some(("serve", matches)) => {
            let level = matches.get_one::<String>("log");
            let level = level.map_or("info", String::as_str);
            let _logs = start_logs(level).wrap_err("cannot start logging")?;
            goldcrestramp_entry::run(&settings_path(matches)?)?;
            Ok(())
        }
        _ => Err(eyre::eyre!("unknown subcommand")),
    }
}

fn settings_path(matches: &clap::ArgMatches) -> eyre::Result<PathBuf> {
    if let Some(path) = matches.get_one::<PathBuf>("settings") {
        return Ok(path.clone());
    }
    let path = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    path.ok_or_else(|| eyre::eyre!("no settings file is given"))
}
