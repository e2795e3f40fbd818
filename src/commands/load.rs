//! `goldcrestramp load`: sends callers' requests to gateways.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::{Context, OptionExt, bail, eyre};
use goldcrestramp_config::{ExampleDeployment, TrafficMix, read_example};
use goldcrestramp_standins::load::{
    LoadPlan, LoadProgress, LoadReport, LoadStream, compare_reports,
    plot_report, run_load,
};

use super::CommandExit;

/// The maximum number of requests of a run in flight.
pub(super) const MAX_IN_FLIGHT: usize = 20_000;
/// The interval at which progress is printed.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// The subcommand's arguments and help.
#[must_use]
pub fn command() -> Command {
    Command::new("load")
        .about("Sends callers' requests at a rate and reports what came back")
        .after_help(
            "Requests arrive whether or not answers come; latencies count \
             from when a request was due. Only loopback is driven unless \
             --allow-remote is given.\n\nExamples:\n  goldcrestramp load \
             --target 127.0.0.1:8080 --seconds 20 --save run.json\n  \
             goldcrestramp load --target 127.0.0.1:8080 --plot run.svg\n  \
             goldcrestramp load --compare before.json after.json",
        )
        .arg(
            Arg::new("target")
                .long("target")
                .value_name("IP:PORT")
                .help("A gateway's listener for callers; repeatable")
                .action(ArgAction::Append)
                .required_unless_present("compare")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(deployment())
        .arg(scale())
        .arg(seconds())
        .arg(seed())
        .arg(
            Arg::new("allow-remote")
                .long("allow-remote")
                .help("Drive targets off loopback too")
                .action(ArgAction::SetTrue),
        )
        .arg(file("save", "Where to save the figures, as JSON"))
        .arg(file("plot", "Where to draw the run over time, as SVG"))
        .arg(
            file("compare", "Compare two saved runs and send nothing")
                .num_args(2)
                .conflicts_with("target"),
        )
        .arg(json())
}

/// `--deployment FILE`.
pub(super) fn deployment() -> Arg {
    file("deployment", "The deployment whose mix of traffic is sent")
        .default_value("examples/tiendalista.jsonc")
}

/// `--scale FACTOR`.
pub(super) fn scale() -> Arg {
    Arg::new("scale")
        .long("scale")
        .value_name("FACTOR")
        .help("Multiplies the deployment's sizes and rates; above 0")
        .default_value("1")
        .value_parser(value_parser!(f64))
}

/// `--seconds N`.
pub(super) fn seconds() -> Arg {
    Arg::new("seconds")
        .long("seconds")
        .value_name("N")
        .help("How long requests arrive")
        .default_value("10")
        .value_parser(value_parser!(u64).range(1..=3_600))
}

/// `--seed N`.
pub(super) fn seed() -> Arg {
    Arg::new("seed")
        .long("seed")
        .value_name("N")
        .help("The seed of everything that is drawn")
        .default_value("1")
        .value_parser(value_parser!(u64))
}

/// `--json`.
pub(super) fn json() -> Arg {
    Arg::new("json")
        .long("json")
        .help("End with one line of JSON")
        .action(ArgAction::SetTrue)
}

fn file(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("FILE")
        .help(help)
        .value_parser(value_parser!(PathBuf))
}

/// Runs the subcommand.
#[must_use]
pub fn run(matches: &ArgMatches) -> CommandExit {
    match run_or_compare(matches) {
        Ok(()) => CommandExit::Success,
        Err(error) => {
            eprintln!("goldcrestramp: {error:#}");
            CommandExit::Usage
        }
    }
}

fn run_or_compare(matches: &ArgMatches) -> eyre::Result<()> {
    if let Some(files) = matches.get_many::<PathBuf>("compare") {
        let reports: eyre::Result<Vec<_>> =
            files.map(|file| read_report(file)).collect();
        let [before, after] = &*reports? else {
            bail!("two files are compared");
        };
        print!("{}", compare_reports(before, after));
        return Ok(());
    }
    let report = drive(matches)?;
    save(matches, &report)?;
    show(matches, &report)
}

fn read_report(file: &Path) -> eyre::Result<LoadReport> {
    let text = std::fs::read(file)
        .wrap_err_with(|| format!("cannot read {}", file.display()))?;
    serde_json::from_slice(&text)
        .wrap_err_with(|| format!("no saved run: {}", file.display()))
}

/// Sends the mix of traffic and summarizes the outcomes.
fn drive(matches: &ArgMatches) -> eyre::Result<LoadReport> {
    let example = read_deployment(matches)?;
    let targets = matches.get_many::<SocketAddr>("target");
    let plan = LoadPlan {
        targets: targets.unwrap_or_default().copied().collect(),
        streams: streams(&example.traffic, scale_factor(matches)?),
        seconds: number_of(matches, "seconds"),
        seed: number_of(matches, "seed"),
        under_way: MAX_IN_FLIGHT,
        allow_remote: matches.get_flag("allow-remote"),
    };
    plan.check()?;
    let runtime = tokio::runtime::Runtime::new()?;
    let calls = runtime.block_on(async {
        let progress = Arc::new(LoadProgress::default());
        let shown = tokio::spawn(show_progress(Arc::clone(&progress)));
        let calls = run_load(&plan, progress).await;
        shown.abort();
        calls
    })?;
    Ok(LoadReport::new(&calls, Vec::new()))
}

/// Reads the deployment that the command line names.
pub(super) fn read_deployment(
    matches: &ArgMatches,
) -> eyre::Result<ExampleDeployment> {
    let file = matches.get_one::<PathBuf>("deployment");
    let file = file.ok_or_eyre("no deployment is named")?;
    read_example(file).map_err(|faults| eyre!("{faults}"))
}

/// Parses the factor of `--scale`.
pub(super) fn scale_factor(matches: &ArgMatches) -> eyre::Result<f64> {
    let scale_factor = matches.get_one::<f64>("scale").copied().unwrap_or(1.0);
    if !scale_factor.is_finite() || scale_factor <= 0.0 {
        bail!("--scale must be above 0");
    }
    Ok(scale_factor)
}

/// Returns the value of a numeric argument that has a default.
pub(super) fn number_of(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or(1)
}

/// Returns the streams of a deployment's traffic, with their rates multiplied
/// by a factor.
pub(super) fn streams(
    traffic: &[TrafficMix],
    scale_factor: f64,
) -> Vec<LoadStream> {
    traffic.iter().map(|mix| stream(mix, scale_factor)).collect()
}

#[expect(
    clippy::cast_precision_loss,
    reason = "rates are far below 2^52 a second"
)]
fn stream(mix: &TrafficMix, scale_factor: f64) -> LoadStream {
    let size = |number: u64| usize::try_from(number).unwrap_or(usize::MAX);
    LoadStream {
        service: mix.service.as_str().to_owned(),
        class: mix.class,
        requests_per_s: mix.requests_per_s as f64 * scale_factor,
        callers: size(mix.callers).max(1),
        keys: size(mix.keys).max(1),
        zipf_exponent: mix.zipf_exponent,
        hot_keys: size(mix.hot_keys),
        request_bytes: size(mix.request_bytes),
        deadline_ms: mix.deadline_ms,
    }
}

/// Prints the progress once a second.
pub(super) async fn show_progress(progress: Arc<LoadProgress>) {
    let mut every = tokio::time::interval(PROGRESS_INTERVAL);
    loop {
        every.tick().await;
        let sent = progress.sent.load(Ordering::Relaxed);
        let done = progress.done.load(Ordering::Relaxed);
        let other = progress.other.load(Ordering::Relaxed);
        eprintln!("{sent} sent, {done} done, {other} with another outcome");
    }
}

fn save(matches: &ArgMatches, report: &LoadReport) -> eyre::Result<()> {
    if let Some(file) = matches.get_one::<PathBuf>("save") {
        std::fs::write(file, serde_json::to_vec(report)?)?;
    }
    if let Some(file) = matches.get_one::<PathBuf>("plot") {
        let picture = plot_report(report).map_err(|why| eyre!(why))?;
        std::fs::write(file, picture)?;
    }
    Ok(())
}

fn show(matches: &ArgMatches, report: &LoadReport) -> eyre::Result<()> {
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string(report)?);
        return Ok(());
    }
    println!("{} requests, {} done", report.requests, report.done);
    for (reason, count) in &report.not_run {
        println!("not run, {reason}: {count}");
    }
    for (reason, count) in &report.unknown {
        println!("unknown, {reason}: {count}");
    }
    for (service, latency) in &report.latency_ms {
        println!(
            "{service}: p50 {:.1} ms, p99 {:.1} ms, max {:.1} ms",
            latency.p50, latency.p99, latency.max
        );
    }
    Ok(())
}
