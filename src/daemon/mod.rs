//! The daemon: reads settings, sets up logs and handles signals.

mod logs;

use std::{path::PathBuf, process::ExitCode, sync::Arc, time::Duration};

use clap::{Arg, ArgMatches, Command, value_parser};
use goldcrestramp_config::{NodeSettings, read_settings};
use goldcrestramp_node::{NodeContext, NodeHandle};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The exit status for a command line or settings that can't be used.
const EXIT_USAGE: u8 = 2;
/// The interval at which a stopping daemon logs how many requests it waits
/// for.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Runs the daemon until a signal stops it.
///
/// Exit status 0: it stopped without cutting off a request; 1: it failed, or a
/// second signal ended it early; 2: the command line or the settings are bad.
#[must_use]
pub fn run() -> ExitCode {
    let matches = command().get_matches();
    let settings = match settings(&matches) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let _logger = match logs::start(&settings.log) {
        Ok(logger) => logger,
        Err(error) => return fail(&error),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .thread_name("traffic")
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => match runtime.block_on(serve(settings)) {
            Ok(code) => code,
            Err(error) => fail(&error),
        },
        Err(error) => fail(&error.into()),
    }
}

fn command() -> Command {
    Command::new("goldcrestrampd")
        .about("Routes callers' requests to the sole owners of their keys")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(
            "Example:\n  goldcrestrampd --settings /etc/goldcrestramp.jsonc",
        )
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .help("The settings of this VM, JSON with comments")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
}

fn settings(matches: &ArgMatches) -> Result<NodeSettings, ExitCode> {
    let file: PathBuf =
        matches.get_one("settings").cloned().unwrap_or_default();
    read_settings(&file).map_err(|faults| {
        eprintln!("{faults}");
        ExitCode::from(EXIT_USAGE)
    })
}

fn fail(error: &eyre::Report) -> ExitCode {
    eprintln!("goldcrestrampd: {error:#}");
    ExitCode::FAILURE
}

async fn serve(settings: NodeSettings) -> eyre::Result<ExitCode> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut node = NodeHandle::spawn(settings).await?;
    wait_signal(&mut terminate, &mut interrupt).await;
    let context = Arc::clone(node.context());
    log::info!(
        "node: stopping, {} requests are under way.",
        context.requests()
    );
    tokio::select! {
        () = node.drain() => {
            log::info!("node: stopped, nothing was cut.");
            Ok(ExitCode::SUCCESS)
        }
        () = report_waiting(context) => Ok(ExitCode::FAILURE),
        () = wait_signal(&mut terminate, &mut interrupt) => {
            log::warn!("node: ended by a second signal.");
            Ok(ExitCode::FAILURE)
        }
    }
}

/// Logs periodically how many requests a stopping daemon waits for.
async fn report_waiting(context: Arc<NodeContext>) {
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        log::info!("node: waits for {} requests.", context.requests());
    }
}

async fn wait_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
