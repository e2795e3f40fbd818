//! Operators drive real daemons with the real command.

mod process;

use std::{
    path::PathBuf,
    process::{Command, Output},
};

use process::{ChildProcess, DaemonProcess, ProcessDeployment, wait_until};
use serde_json::{Value, json};

/// Two VMs, one server each, in two failure domains.
struct OperatedDeployment {
    _deployment: ProcessDeployment,
    first: DaemonProcess,
    second: DaemonProcess,
    servers: Vec<(ChildProcess, String)>,
}

async fn operated() -> OperatedDeployment {
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
    /// Ticket 1: both domains, one service, both servers.
    fn first_ticket(&self) -> Value {
        let server = |place: usize, domain: &str| {
            json!({ "name": format!("s{}", place + 1), "service": "stock",
                "domain": domain, "address": self.servers[place].1,
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
        std::fs::write(&path, text).expect("a file");
        path
    }

    /// Runs the command for both VMs, off the test's own thread.
    async fn command(&self, arguments: &[&str]) -> Ended {
        let mut command = Command::new(env!("CARGO_BIN_EXE_goldcrestramp"));
        command.args(arguments);
        for daemon in [&self.first, &self.second] {
            command.args(["--vm", &format!("http://{}", daemon.operators)]);
        }
        let run = tokio::task::spawn_blocking(move || command.output());
        let output = run.await.expect("no panic").expect("it runs");
        Ended::new(&output)
    }

    async fn apply(&self, name: &str, ticket: &Value) -> Ended {
        let path = self.write(name, ticket);
        let path = path.to_str().expect("a path in text");
        self.command(&["apply", path]).await
    }
}

/// What a command ended with.
#[derive(Debug)]
struct Ended {
    status: Option<i32>,
    text: String,
}

impl Ended {
    fn new(output: &Output) -> Self {
        let bytes = [&*output.stdout, &*output.stderr].concat();
        let text = String::from_utf8_lossy(&bytes).into_owned();
        Self { status: output.status.code(), text }
    }

    fn says(&self, status: i32, text: &str) {
        assert_eq!(self.status, Some(status), "{}", self.text);
        assert!(self.text.contains(text), "{text} in {}", self.text);
    }
}

fn caller(number: u64, weight: u64) -> Value {
    json!({ "ticket": number,
        "callers": [{ "name": "shop", "weight": weight }] })
}

// A ticket goes to one VM and is in force on both: the second VM's steward
// watches the store. The same ticket again is known; another text under its
// number is refused, and so is one that came too late for its caller.
#[tokio::test]
async fn a_ticket_comes_into_force_on_all_vms() {
    let operated = operated().await;

    let first = operated.apply("first", &operated.first_ticket()).await;
    let again = operated.apply("first", &operated.first_ticket()).await;
    let third = operated.apply("third", &caller(3, 2)).await;
    let reused = operated.apply("reused", &caller(3, 4)).await;
    let late = operated.apply("late", &caller(2, 4)).await;

    first.says(0, "in force on all 2 VMs");
    again.says(0, "accepted already");
    third.says(0, "accepted as version 2");
    reused.says(1, "accepted with another text");
    late.says(1, "shop was last touched by ticket 3");
}

// Any VM explains a key once tables have come: slice, owner, keeper.
#[tokio::test]
async fn any_vm_shows_its_status_and_explains_a_key() {
    let operated = operated().await;
    let first = operated.apply("first", &operated.first_ticket()).await;
    first.says(0, "in force");

    let explained = wait_until("an owner on both VMs", async || {
        let ended = operated.command(&["explain", "stock", "rice"]).await;
        let owners = ended.text.matches("owner s").count();
        (ended.status == Some(0) && owners == 2).then_some(ended)
    })
    .await;
    let status = operated.command(&["status", "--json"]).await;
    let nothing = operated.command(&["explain", "none", "rice"]).await;

    explained.says(0, "as vm-2 knows it");
    let lines = status.text.lines().map(serde_json::from_str::<Value>);
    let lines: Vec<_> = lines.map(|line| line.expect("JSON")).collect();
    assert_eq!(lines.len(), 2);
    for line in lines {
        assert_eq!(line["status"]["config_version"], 1);
        assert_eq!(line["status"]["steward"]["here"], true);
    }
    nothing.says(1, "unknown-service");
}

// The store is cut off from the first VM: that VM takes no ticket, so the
// command asks the next, and says which VM lags behind. Healed, the first
// has it in force too.
#[tokio::test]
async fn a_vm_cut_off_from_the_store_lags_and_is_named() {
    let operated = operated().await;
    let first = operated.apply("first", &operated.first_ticket()).await;
    first.says(0, "in force");
    operated.first.platform_relay.cut();

    let path = operated.write("second", &caller(2, 3));
    let path = path.to_str().expect("a path in text");
    let cut = operated.command(&["apply", path, "--wait", "1"]).await;
    operated.first.platform_relay.heal();
    let healed = operated.command(&["apply", path]).await;

    let lag = format!("lags: http://{}", operated.first.operators);
    cut.says(1, &lag);
    assert!(cut.text.contains("has version 1"), "{}", cut.text);
    healed.says(0, "in force on all 2 VMs");
}

// The second VM stands still: it keeps its connections and answers nothing.
// The command must not wait for it beyond what it was told, and name it;
// once the VM goes on, it has the ticket in force too.
#[tokio::test]
async fn a_vm_that_stands_still_lags_and_is_named() {
    let mut operated = operated().await;
    let first = operated.apply("first", &operated.first_ticket()).await;
    first.says(0, "in force");
    let path = operated.write("second", &caller(2, 3));
    let path = path.to_str().expect("a path in text");
    operated.second.process.freeze();

    let frozen = operated.command(&["apply", path, "--wait", "1"]).await;
    operated.second.process.thaw();
    let thawed = operated.command(&["apply", path]).await;

    let lag = format!(
        "lags: http://{}: no answer in time",
        operated.second.operators
    );
    frozen.says(1, &lag);
    thawed.says(0, "in force on all 2 VMs");
}

// What is wrong is told at its place, with status 2 for what can't be read
// and 1 for what the configuration refuses; nothing is applied.
#[tokio::test]
async fn check_and_apply_refuse_with_file_line_and_column() {
    let operated = operated().await;
    let first = operated.apply("first", &operated.first_ticket()).await;
    first.says(0, "in force");
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
    let text = |path: &PathBuf| path.to_str().expect("text").to_owned();

    let good = operated.command(&["check", &text(&good)]).await;
    let refused = operated.command(&["check", &text(&twin)]).await;
    let malformed = operated.command(&["check", &text(&bad)]).await;
    let applied = operated.command(&["apply", &text(&bad)]).await;

    good.says(0, "warning: sierra-a is left without a slot");
    refused.says(1, "server/s1 listens there");
    let place = ".jsonc:5:18: servers[0].address";
    assert!(refused.text.contains(place), "{}", refused.text);
    malformed.says(2, "vms: unknown field");
    applied.says(2, "0 is not within 1 to");
}
