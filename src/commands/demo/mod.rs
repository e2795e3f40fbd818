//! `goldcrestramp demo`: runs a small deployment in one process under load.
//!
//! The stand-in platform, the servers and the daemons run on loopback, with
//! the same code as in separate processes. After the run the servers' own logs
//! are checked by code that shares nothing with the router.

mod deployment;
mod fault;
mod figures;

use std::sync::Arc;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use goldcrestramp_config::ExampleDeployment;
use goldcrestramp_standins::{
    CallEntry, MachineTime,
    checker::{
        GuaranteeViolations, count_moves, imbalance, trace_denied,
        trace_overlaps, unavailable_time, unlinearizable_keys,
    },
    load::{LoadPlan, LoadProgress, LoadReport, run_load},
};

use self::{
    deployment::DemoDeployment,
    fault::{FaultRunner, PlannedFault},
    figures::{DemoFigures, control_cpu_ms},
};
use super::{CommandExit, load};

/// The options of the command line.
#[derive(Debug)]
struct DemoOptions {
    example: ExampleDeployment,
    scale_factor: f64,
    seconds: u64,
    seed: u64,
    faults: Vec<PlannedFault>,
}

/// The subcommand's arguments and help.
#[must_use]
pub fn command() -> Command {
    Command::new("demo")
        .about("Runs a whole deployment in this process and judges it")
        .after_help(
            "Exit status 1: a promise was broken.\n\nExamples:\n  \
             goldcrestramp demo\n  goldcrestramp demo --deployment \
             examples/ferraris.jsonc --scale 0.5 --seconds 20\n  \
             goldcrestramp demo --fault server-loss@5 --fault \
             steward-loss@8 --json",
        )
        .arg(load::deployment())
        .arg(load::scale())
        .arg(load::seconds())
        .arg(load::seed())
        .arg(
            Arg::new("fault")
                .long("fault")
                .value_name("NAME@SECOND")
                .help("What fails, and when; repeatable")
                .action(ArgAction::Append)
                .value_parser(value_parser!(PlannedFault)),
        )
        .arg(load::json())
}

/// Runs the subcommand.
#[must_use]
pub fn run(matches: &ArgMatches) -> CommandExit {
    let options = match read_options(matches) {
        Ok(options) => options,
        Err(error) => return report_error(&error, CommandExit::Usage),
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            return report_error(&error.into(), CommandExit::Refused);
        }
    };
    let figures = match runtime.block_on(run_demo(&options)) {
        Ok(figures) => figures,
        Err(error) => return report_error(&error, CommandExit::Refused),
    };
    runtime.shutdown_background();
    show(&figures, matches.get_flag("json"))
}

fn read_options(matches: &ArgMatches) -> eyre::Result<DemoOptions> {
    let faults = matches.get_many::<PlannedFault>("fault");
    Ok(DemoOptions {
        example: load::read_deployment(matches)?,
        scale_factor: load::scale_factor(matches)?,
        seconds: load::number_of(matches, "seconds"),
        seed: load::number_of(matches, "seed"),
        faults: faults.unwrap_or_default().copied().collect(),
    })
}

fn report_error(error: &eyre::Report, exit: CommandExit) -> CommandExit {
    eprintln!("goldcrestramp: {error:#}");
    exit
}

fn show(figures: &DemoFigures, json: bool) -> CommandExit {
    print!("{}", figures.table());
    if json {
        match serde_json::to_string(figures) {
            Ok(line) => println!("{line}"),
            Err(error) => {
                return report_error(&error.into(), CommandExit::Refused);
            }
        }
    }
    if figures.is_clean() {
        CommandExit::Success
    } else {
        CommandExit::Refused
    }
}

/// Starts the deployment, sends it requests and evaluates the run.
async fn run_demo(options: &DemoOptions) -> eyre::Result<DemoFigures> {
    let (scale_factor, seed) = (options.scale_factor, options.seed);
    eprintln!("starting {}", options.example.deployment);
    let mut deployment =
        DemoDeployment::spawn(&options.example, scale_factor, seed).await?;
    deployment.wait_ready().await?;
    eprintln!("every slice has an owner; requests arrive");
    let since = MachineTime::now();
    let plan = LoadPlan {
        targets: deployment.gateways(),
        streams: load::streams(&options.example.traffic, scale_factor),
        seconds: options.seconds,
        seed,
        under_way: load::MAX_IN_FLIGHT,
        allow_remote: false,
    };
    let progress = Arc::new(LoadProgress::default());
    let shown = tokio::spawn(load::show_progress(Arc::clone(&progress)));
    let mut faults = FaultRunner::new(seed);
    let (calls, fault_result) = tokio::join!(
        run_load(&plan, progress),
        faults.run(&mut deployment, &options.faults)
    );
    shown.abort();
    fault_result?;
    Ok(evaluate(&deployment, &calls?, since, &faults))
}

/// Evaluates a run from the records of its servers and callers.
fn evaluate(
    deployment: &DemoDeployment,
    calls: &[CallEntry],
    since: MachineTime,
    faults: &FaultRunner,
) -> DemoFigures {
    let log = deployment.log();
    let violations = [trace_denied(&log, calls), trace_overlaps(&log)];
    for trace in violations.iter().filter(|trace| !trace.is_empty()) {
        eprintln!("{trace}");
    }
    let report = LoadReport::new(calls, Vec::new());
    let broken_histories = unlinearizable_keys(calls).len();
    DemoFigures {
        requests: report.requests,
        done: report.done,
        not_run: report.not_run,
        unknown: report.unknown.values().sum(),
        unknown_reasons: report.unknown,
        promises: GuaranteeViolations::count(&log, calls),
        unlinearizable_keys: u64::try_from(broken_histories)
            .unwrap_or(u64::MAX),
        unavailable_ms: unavailable_time(calls),
        churn: count_moves(&log, since, &faults.leaving),
        imbalance: imbalance(
            &log.executions,
            &deployment.servers_by_service(),
        ),
        latency_ms: report.latency_ms,
        store_calls: deployment.platform.counts(),
        control_cpu_ms: control_cpu_ms(),
    }
}
