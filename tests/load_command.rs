//! Tests `goldcrestramp load` against a real daemon: its figures can be saved,
//! plotted and compared.

mod process;

use std::{
    path::PathBuf,
    process::{Command, Output},
    time::Duration,
};

use goldcrestramp_standins::load::LoadReport;
use process::{ChildProcess, DaemonProcess, ProcessDeployment, wait_until};
use serde_json::{Value, json};

const DOMAIN: &str = "sierra-a";
/// The services of the example's mix of traffic.
const SERVICES: [&str; 3] = ["stock-lookup", "restock-order", "count-export"];
/// The factor of the example's rates; it gives some 30 requests a second.
const SCALE: &str = "0.05";

/// One daemon, and one server for each service.
struct LoadedDeployment {
    deployment: ProcessDeployment,
    daemon: DaemonProcess,
    _servers: Vec<ChildProcess>,
}

async fn spawn_loaded() -> LoadedDeployment {
    let deployment = ProcessDeployment::spawn();
    let mut servers = Vec::new();
    let mut rules: Vec<Value> = Vec::new();
    for service in SERVICES {
        let (process, address) = deployment.server(service, &json!({}));
        rules.push(json!({
            "name": service, "service": service, "domain": DOMAIN,
            "address": address, "slots": 4, "connections": 20,
            "checks_fence": true,
        }));
        servers.push(process);
    }
    let services =
        SERVICES.map(|service| json!({ "name": service, "slices": 16 }));
    let config = json!({
        "version": 1,
        "domains": [{ "name": DOMAIN, "region": "sierra" }],
        "services": services,
        "servers": rules,
    });
    deployment.put_first("config", &config).await;
    let daemon = deployment.daemon("vm-0", DOMAIN).await;
    let vms = json!([{ "name": daemon.vm, "domain": DOMAIN,
        "region": "sierra", "address": daemon.control_relay.address(),
        "state": "live" }]);
    deployment.put_vms(&vms).await;
    let loaded = LoadedDeployment { deployment, daemon, _servers: servers };
    for service in SERVICES {
        loaded.wait_served(service).await;
    }
    loaded
}

impl LoadedDeployment {
    async fn wait_served(&self, service: &str) {
        let url = format!("http://{}/v1/{service}/k", self.daemon.callers);
        wait_until(service, async || {
            let request = self.deployment.http().get(&url);
            let request = request.timeout(Duration::from_secs(5));
            let answer = request.send().await.ok()?;
            answer.status().is_success().then_some(())
        })
        .await;
    }

    /// Returns the path of a file that only this deployment uses.
    fn file(&self, name: &str) -> PathBuf {
        let host = self.daemon.callers.ip();
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        directory.join(format!("load-{host}-{name}"))
    }
}

/// Runs `goldcrestramp load` on a blocking thread.
async fn run_load(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_goldcrestramp"));
    command.arg("load").args(arguments);
    let run = tokio::task::spawn_blocking(move || command.output());
    run.await.expect("task does not panic").expect("command runs")
}

fn text(output: &Output) -> String {
    let bytes = [&*output.stdout, &*output.stderr].concat();
    String::from_utf8_lossy(&bytes).into_owned()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_run_can_be_saved_plotted_and_compared() {
    let loaded = spawn_loaded().await;
    let target = loaded.daemon.callers.to_string();
    let files = ["before.json", "after.json", "run.svg"];
    let [before, after, plot] = files.map(|name| loaded.file(name));
    let [before, after, plot] = [&before, &after, &plot]
        .map(|file| file.to_str().expect("path is UTF-8"));
    let common = ["--target", &target, "--scale", SCALE, "--seconds", "2"];

    let first = run_load(&[&common[..], &["--save", before]].concat()).await;
    let more = ["--seed", "2", "--save", after, "--plot", plot];
    let second = run_load(&[&common[..], &more].concat()).await;
    let table = run_load(&["--compare", before, after]).await;

    for output in [&first, &second, &table] {
        assert_eq!(output.status.code(), Some(0), "{}", text(output));
    }
    let saved = std::fs::read(before).expect("report is saved");
    let saved: LoadReport =
        serde_json::from_slice(&saved).expect("report parses");
    assert!(saved.requests > 0);
    assert_eq!(saved.done, saved.requests, "{saved:?}");
    let sums = saved.seconds.iter().map(|second| second.done + second.other);
    assert_eq!(sums.sum::<u64>(), saved.requests);
    let picture = std::fs::read_to_string(plot).expect("plot is saved");
    assert!(picture.starts_with("<svg") && picture.contains("</svg>"));
    assert!(picture.contains("<polyline"), "curves are drawn");
    let table = text(&table);
    for row in ["done, %", "not run", "unknown", "stock-lookup p99, ms"] {
        assert!(table.contains(row), "{row} in {table}");
    }
    for file in [before, after, plot] {
        std::fs::remove_file(file).expect("file is removed");
    }
}

/// Bad input ends with status 2 and a message that names the fault; nothing is
/// sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn invalid_arguments_are_refused() {
    let cases = [
        (vec!["--target", "192.0.2.1:80"], "loopback"),
        (vec!["--target", "127.0.0.1:1", "--scale", "0"], "above 0"),
        (vec!["--target", "127.0.0.1:1", "--scale", "1e9"], "requests_per_s"),
        (vec!["--compare", "no-file", "no-file"], "no-file"),
        (vec!["--compare", "Cargo.toml", "Cargo.toml"], "no saved run"),
        (vec![], "--target"),
    ];
    for (arguments, message) in cases {
        let output = run_load(&arguments).await;

        let printed = text(&output);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {printed}");
        assert!(printed.contains(message), "{arguments:?}: {printed}");
    }
}
