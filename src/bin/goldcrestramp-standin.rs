//! Runs stand-ins of the platform and of backend servers as programs.
//!
//! Tests, and operators who try the system, start these in place of the
//! platform and of real servers. Each prints `listening ADDRESS` on its
//! standard output once it accepts connections, and runs until it is
//! interrupted.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::{Context, OptionExt};
use goldcrestramp_standins::{
    platform::PlatformStandin,
    server::{KeyStorage, ServerBehaviour, ServerStandin},
};

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("platform", matches)) => run_platform(matches).await,
        Some(("server", matches)) => run_server(matches).await,
        _ => Ok(()),
    }
}

/// The command line.
fn command() -> Command {
    let listen = Arg::new("listen")
        .long("listen")
        .value_name("IP:PORT")
        .help("Where to listen; port 0 takes any free one")
        .default_value("127.0.0.1:0")
        .value_parser(value_parser!(SocketAddr));
    let admin = Arg::new("admin")
        .long("admin")
        .value_name("IP:PORT")
        .help("Where faults are set; no outage reaches it")
        .default_value("127.0.0.1:0")
        .value_parser(value_parser!(SocketAddr));
    let behaviour = Arg::new("behaviour")
        .long("behaviour")
        .value_name("FILE")
        .help("How the server behaves, as JSON; absent fields: defaults")
        .value_parser(value_parser!(PathBuf));
    let log_file = Arg::new("log-file")
        .long("log-file")
        .value_name("FILE")
        .help("Where to write what it executes and holds, line by line")
        .value_parser(value_parser!(PathBuf));
    Command::new("goldcrestramp-standin")
        .about("Stand-ins of the platform and of backend servers")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("platform")
                .about("Runs a key-value service with a VM list")
                .arg(listen.clone())
                .arg(admin),
        )
        .subcommand(
            Command::new("server")
                .about("Runs a backend server")
                .arg(listen)
                .arg(behaviour)
                .arg(log_file),
        )
}

async fn run_platform(matches: &ArgMatches) -> eyre::Result<()> {
    let admin = matches.get_one::<SocketAddr>("admin");
    let admin = admin.copied().ok_or_eyre("no address for faults")?;
    let listen = listen_address(matches)?;
    let platform = PlatformStandin::bind_with_admin(listen, admin).await?;
    serve_until_interrupt(platform.address()).await
}

async fn run_server(matches: &ArgMatches) -> eyre::Result<()> {
    let behaviour = read_behaviour(matches)?;
    let listen = listen_address(matches)?;
    let log_file = matches.get_one::<PathBuf>("log-file");
    let server = ServerStandin::bind_with(
        listen,
        behaviour,
        KeyStorage::default(),
        log_file.map(PathBuf::as_path),
    )
    .await?;
    serve_until_interrupt(server.address()).await
}

/// Reads the behaviour from the file named on the command line, or takes the
/// default.
fn read_behaviour(matches: &ArgMatches) -> eyre::Result<ServerBehaviour> {
    let Some(path) = matches.get_one::<PathBuf>("behaviour") else {
        return Ok(ServerBehaviour::default());
    };
    let text = std::fs::read(path)
        .wrap_err_with(|| format!("cannot read {}", path.display()))?;
    serde_json::from_slice(&text)
        .wrap_err_with(|| format!("no server behaviour: {}", path.display()))
}

fn listen_address(matches: &ArgMatches) -> eyre::Result<SocketAddr> {
    let address = matches.get_one::<SocketAddr>("listen");
    address.copied().ok_or_eyre("no address to listen on")
}

/// Prints the listening address for the parent process, then waits for an
/// interrupt.
async fn serve_until_interrupt(address: SocketAddr) -> eyre::Result<()> {
    println!("listening {address}");
    tokio::signal::ctrl_c().await?;
    Ok(())
}
