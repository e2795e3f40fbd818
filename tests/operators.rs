//! Tests the operators' command against real daemons.

mod process;

use std::{
    path::PathBuf,
    process::{Command, Output},
};

use process::{ChildProcess, DaemonProcess, ProcessDeployment, wait_until};
use serde_json::{Value, json};

/// Two VMs in two failure domains, with one server each.
struct OperatedDeployment {
    _deployment: ProcessDeployment,
    first: DaemonProcess,
    second: DaemonProcess,
    servers: Vec<(ChildProcess, String)>,
}

async fn spawn_operated() -> OperatedDeployment {
    let deployment = ProcessDeployment::spawn();
    let servers = ["s1", "s2"].map(|name| {
        let (process, address) = deployment.server(name, &json!({}));
        (process, address.to_string())
    });
    let first = deployment.daemon("vm-1", "sierra-a").await;
    let second = deployment.daemon("vm-2", "costa-a").await;
    let vm = |daemon: &DaemonProcess, domain: &str, region: &str| {
        json!({ "name": daemon.vm, "domain": domain, "region": region,
            "address": daemon.control_relay.address(), "state": "live" })
    };
    let vms = json!([
        vm(&first, "sierra-a", "sierra"),
        vm(&second, "costa-a", "costa"),
    ]);
    deployment.put_vms(&vms).await;
    for daemon in [&first, &second] {
        wait_until("a listener for operators", async || {
            let url = format!("http://{}/healthz", daemon.operators);
            deployment.http().get(url).send().await.ok()
        })
        .await;
    }
    let servers = servers.into();
    OperatedDeployment { _deployment: deployment, first, second, servers }
}

impl OperatedDeployment {
    /// The ticket with number 1: both domains, one service, both servers.
    fn first_ticket(&self) -> Value {
        let server = |index: usize, domain: &str| {
            json!({ "name": format!("s{}", index + 1), "service": "stock",
                "domain": domain, "address": self.servers[index].1,
                "slots": 4, "connections": 20, "checks_fence": true })
        };
        json!({ "ticket": 1,
            "domains": [
                { "name": "sierra-a", "region": "sierra" },
                { "name": "costa-a", "region": "costa" } ],
            "services": [{ "name": "stock", "slices": 64 }],
            "servers": [server(0, "sierra-a"), server(1, "costa-a")] })
    }

    fn write(&self, name: &str, ticket: &Value) -> PathBuf {
        let port = self.first.operators.port();
        let host = self.first.operators.ip();
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let path = directory.join(format!("{host}-{port}-{name}.jsonc"));
        let text = format!("// {name}\n{ticket:#}");
        std::fs::write(&path, text).expect("file is written");
        path
    }

    /// Runs the command with the addresses of both VMs, on a blocking thread.
    async fn command(&self, arguments: &[&str]) -> CommandResult {
        let mut command = Command::new(env!("CARGO_BIN_EXE_goldcrestramp"));
        command.args(arguments);
        for daemon in [&self.first, &self.second] {
            command.args(["--vm", &format!("http://{}", daemon.operators)]);
        }
        let run = tokio::task::spawn_blocking(move || command.output());
        let output =
            run.await.expect("task does not panic").expect("command runs");
        CommandResult::new(&output)
    }

    async fn apply(&self, name: &str, ticket: &Value) -> CommandResult {
        let path = self.write(name, ticket);
        let path = path.to_str().expect("path is UTF-8");
        self.command(&["apply", path]).await
    }
}

/// The exit status and the output of a command.
#[derive(Debug)]
struct CommandResult {
    status: Option<i32>,
    text: String,
}

impl CommandResult {
    fn new(output: &Output) -> Self {
        let bytes = [&*output.stdout, &*output.stderr].concat();
        let text = String::from_utf8_lossy(&bytes).into_owned();
        Self { status: output.status.code(), text }
    }

    fn assert_printed(&self, status: i32, text: &str) {
        assert_eq!(self.status, Some(status), "{}", self.text);
        assert!(self.text.contains(text), "{text} in {}", self.text);
    }
}

fn caller(number: u64, weight: u64) -> Value {
    json!({ "ticket": number,
        "callers": [{ "name": "shop", "weight": weight }] })
}

// A ticket is sent to one VM and applies to both: the second VM's steward
// watches the store. The same ticket again is recognized. Another text under
// its number is refused, and so is a ticket that is older than its caller's
// last one.
#[tokio::test]
async fn a_ticket_is_in_force_on_all_vms() {
    let operated = spawn_operated().await;

    let first = operated.apply("first", &operated.first_ticket()).await;
    let again = operated.apply("first", &operated.first_ticket()).await;
    let third = operated.apply("third", &caller(3, 2)).await;
    let reused = operated.apply("reused", &caller(3, 4)).await;
    let late = operated.apply("late", &caller(2, 4)).await;

    first.assert_printed(0, "in force on all 2 VMs");
    again.assert_printed(0, "accepted already");
    third.assert_printed(0, "accepted as version 2");
    reused.assert_printed(1, "accepted with another text");
    late.assert_printed(1, "shop was last touched by ticket 3");
}

// Any VM explains a key once it has the tables: slice, owner, keeper.
#[tokio::test]
async fn any_vm_shows_its_status_and_explains_a_key() {
    let operated = spawn_operated().await;
    let first = operated.apply("first", &operated.first_ticket()).await;
    first.assert_printed(0, "in force");

    let explained = wait_until("an owner on both VMs", async || {
        let ended = operated.command(&["explain", "stock", "rice"]).await;
        let owners = ended.text.matches("owner s").count();
        (ended.status == Some(0) && owners == 2).then_some(ended)
    })
    .await;
    let status = operated.command(&["status", "--json"]).await;
    let nothing = operated.command(&["explain", "none", "rice"]).await;

    explained.assert_printed(0, "as vm-2 knows it");
    let lines = status.text.lines().map(serde_json::from_str::<Value>);
    let lines: Vec<_> =
        lines.map(|line| line.expect("output is JSON")).collect();
    assert_eq!(lines.len(), 2);
    for line in lines {
        assert_eq!(line["status"]["config_version"], 1);
        assert_eq!(line["status"]["steward"]["here"], true);
    }
    nothing.assert_printed(1, "unknown-service");
}

// The first VM is disconnected from the store and accepts no ticket, so the
// command tries the next VM and names the one that lags. After the partition
// heals, the first VM has the ticket in force too.
#[tokio::test]
async fn a_vm_without_the_store_lags_and_is_named() {
    let operated = spawn_operated().await;
    let first = operated.apply("first", &operated.first_ticket()).await;
    first.assert_printed(0, "in force");
    operated.first.platform_relay.cut();

    let path = operated.write("second", &caller(2, 3));
    let path = path.to_str().expect("path is UTF-8");
    let cut = operated.command(&["apply", path, "--wait", "1"]).await;
    operated.first.platform_relay.heal();
    let healed = operated.command(&["apply", path]).await;

    let lag = format!("lags: http://{}", operated.first.operators);
    cut.assert_printed(1, &lag);
    assert!(cut.text.contains("has version 1"), "{}", cut.text);
    healed.assert_printed(0, "in force on all 2 VMs");
}

// The second VM is frozen: it keeps its connections and does not respond. The
// command must not wait longer for it than `--wait` allows, and must name it.
// After the thaw the VM has the ticket in force too.
#[tokio::test]
async fn a_frozen_vm_lags_and_is_named() {
    let mut operated = spawn_operated().await;
    let first = operated.apply("first", &operated.first_ticket()).await;
    first.assert_printed(0, "in force");
    let path = operated.write("second", &caller(2, 3));
    let path = path.to_str().expect("path is UTF-8");
    operated.second.process.freeze();

    let frozen = operated.command(&["apply", path, "--wait", "1"]).await;
    operated.second.process.thaw();
    let thawed = operated.command(&["apply", path]).await;

    let lag = format!(
        "lags: http://{}: no answer in time",
        operated.second.operators
    );
    frozen.assert_printed(1, &lag);
    thawed.assert_printed(0, "in force on all 2 VMs");
}

// Faults are reported with their position, with status 2 for input that can't
// be read and 1 for what the configuration refuses; nothing is applied.
#[tokio::test]
async fn check_and_apply_refuse_with_file_line_and_column() {
    let operated = spawn_operated().await;
    let first = operated.apply("first", &operated.first_ticket()).await;
    first.assert_printed(0, "in force");
    let drain = |name: &str| {
        let mut ticket = operated.first_ticket();
        ticket["ticket"] = json!(5);
        let server = ticket["servers"][0].clone();
        ticket = json!({ "ticket": 5, "servers": [server] });
        ticket["servers"][0]["drain"] = json!(true);
        ticket["servers"][0]["name"] = json!(name);
        operated.write(&format!("drain-{name}"), &ticket)
    };
    let good = drain("s1");
    let twin = drain("twin");
    let bad = operated.write("bad", &json!({ "ticket": 0, "vms": [] }));
    let text =
        |path: &PathBuf| path.to_str().expect("path is UTF-8").to_owned();

    let good = operated.command(&["check", &text(&good)]).await;
    let refused = operated.command(&["check", &text(&twin)]).await;
    let malformed = operated.command(&["check", &text(&bad)]).await;
    let applied = operated.command(&["apply", &text(&bad)]).await;

    good.assert_printed(0, "warning: sierra-a is left without a slot");
    refused.assert_printed(1, "server/s1 listens there");
    let position = ".jsonc:5:18: servers[0].address";
    assert!(refused.text.contains(position), "{}", refused.text);
    malformed.assert_printed(2, "vms: unknown field");
    applied.assert_printed(2, "0 is not within 1 to");
}
