//! Daemons and servers as processes, put to work while one thing fails.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use goldcrestramp_standins::{
    CallEntry, CallOutcome, MachineTime,
    checker::{PromiseFigures, trace_denied, trace_overlaps},
    load::{LoadPlan, LoadStream, run_load},
    server::ServerLog,
};
use goldcrestramp_types::RequestClass;
use serde_json::{Value, json};

use super::{
    child::ChildProcess,
    deployment::{DaemonProcess, ProcessDeployment, wait_until},
};

/// The one failure domain of a trial.
const DOMAIN: &str = "sierra-a";
/// Keys that are asked for to see whether all is served.
const PROBES: usize = 32;
/// The seed of the first load, and the step to the next.
const SEED: u64 = 100;
/// How long requests arrive, and when the fault begins.
const LOAD_SECONDS: u64 = 5;
const FAULT_AT: Duration = Duration::from_secs(1);

/// A server's process, its listener and its log file.
#[derive(Debug)]
pub struct TrialServer {
    /// The process.
    pub process: ChildProcess,
    log: PathBuf,
    lost: Option<MachineTime>,
}

impl TrialServer {
    /// Ends the server's process for good.
    pub fn lose(&mut self) {
        self.process.kill();
        self.lost = Some(MachineTime::now());
    }
}

/// Three daemons of one failure domain and three servers of one service.
#[derive(Debug)]
pub struct ProcessTrial {
    /// The platform, and what tests ask it for.
    pub deployment: ProcessDeployment,
    /// The daemons.
    pub daemons: Vec<DaemonProcess>,
    /// The servers.
    pub servers: Vec<TrialServer>,
    /// The seed of the next load; requests' ids hold it.
    seed: u64,
}

impl ProcessTrial {
    /// Starts everything and waits until every key is served.
    pub async fn spawn() -> Self {
        let deployment = ProcessDeployment::spawn();
        let mut servers = Vec::new();
        let mut rules = Vec::new();
        for number in 0..3 {
            let name = format!("stock-{number}");
            let (server, address) = spawn_server(&deployment, &name);
            rules.push(server_rules(&name, address));
            servers.push(server);
        }
        let config = json!({
            "version": 1,
            "domains": [{ "name": DOMAIN, "region": "sierra" }],
            "services": [{ "name": "stock", "slices": 64 }],
            "servers": rules,
        });
        deployment.put_first("config", &config).await;
        let mut daemons = Vec::new();
        for number in 0..3 {
            let vm = format!("vm-{number}");
            daemons.push(deployment.daemon(&vm, DOMAIN).await);
        }
        let list: Vec<Value> = daemons.iter().map(vm_entry).collect();
        deployment.put_vms(&json!(list)).await;
        let trial = Self { deployment, daemons, servers, seed: SEED };
        trial.wait_served().await;
        trial
    }

    /// Waits until every probed key is served through a running daemon.
    pub async fn wait_served(&self) {
        for number in 0..PROBES {
            let path = format!("stock/probe-{number}");
            wait_until(&path, async || {
                let done = self.is_served(&path).await;
                done.then_some(())
            })
            .await;
        }
    }

    async fn is_served(&self, path: &str) -> bool {
        for daemon in &self.daemons {
            let url = format!("http://{}/v1/{path}", daemon.callers);
            let ask = self.deployment.http().get(url);
            let ask = ask.header("goldcrestramp-caller", "probe");
            let ask = ask.timeout(Duration::from_secs(5));
            if let Ok(answer) = ask.send().await {
                return answer.status().is_success();
            }
        }
        false
    }

    /// Puts callers' requests through all daemons for some seconds, and
    /// lets `fault` happen meanwhile.
    pub async fn load_under(
        &mut self,
        fault: impl AsyncFnOnce(&mut Self),
    ) -> Vec<CallEntry> {
        let plan = LoadPlan {
            targets: self.daemons.iter().map(|d| d.callers).collect(),
            streams: vec![
                stream(RequestClass::Lookup, 60.0),
                stream(RequestClass::Order, 40.0),
                stream(RequestClass::Long, 2.0),
            ],
            seconds: LOAD_SECONDS,
            seed: self.seed,
            under_way: 2_000,
            allow_remote: false,
        };
        // Ids of another load would be resends that nobody meant.
        self.seed += SEED;
        let failing = async {
            tokio::time::sleep(FAULT_AT).await;
            fault(self).await;
        };
        let (calls, ()) =
            tokio::join!(run_load(&plan, Arc::default()), failing);
        calls.expect("a bounded plan")
    }

    /// Judges a run by the servers' log files and the callers' entries.
    ///
    /// # Panics
    ///
    /// When a promise was broken, or hardly anything was served.
    pub fn assert_kept(&self, calls: &[CallEntry]) {
        let log = self.log();
        let figures = PromiseFigures::judge(&log, calls);
        let denied = trace_denied(&log, calls);
        let overlaps = trace_overlaps(&log);
        assert!(figures.kept(), "{figures:?}\n{denied}\n{overlaps}");
        let done = calls
            .iter()
            .filter(|c| matches!(c.outcome, CallOutcome::Done { .. }));
        assert!(done.count() * 4 > calls.len(), "{}", outcomes(calls));
    }

    /// What all servers wrote down, the killed ones' up to their end.
    pub fn log(&self) -> ServerLog {
        let mut log = ServerLog::default();
        for server in &self.servers {
            let mut own = ServerLog::read(&server.log).expect("a log file");
            if let (Some(lost), Some(hold)) =
                (server.lost, own.holds.last_mut())
            {
                hold.until = hold.until.min(lost);
            }
            log.append(own);
        }
        log
    }
}

impl Drop for ProcessTrial {
    fn drop(&mut self) {
        for server in &self.servers {
            let _removed = std::fs::remove_file(&server.log);
        }
    }
}

/// How many calls had each outcome, as text.
pub fn outcomes(calls: &[CallEntry]) -> String {
    let mut counts = std::collections::BTreeMap::<String, usize>::new();
    for call in calls {
        let name = match &call.outcome {
            CallOutcome::Done { answer } => format!("done {answer:?}"),
            other => format!("{other:?}"),
        };
        let name = name.split(" value").next().unwrap_or_default().to_owned();
        *counts.entry(name).or_default() += 1;
    }
    format!("{counts:?}")
}

fn spawn_server(
    deployment: &ProcessDeployment,
    name: &str,
) -> (TrialServer, SocketAddr) {
    let behaviour = json!({
        "name": name,
        "work": { "lookup_ms": 3.0, "order_ms": 30.0, "long_ms": 1500.0 },
        "long_bytes": 100_000,
    });
    let log = deployment.temporary(&format!("{name}.log"));
    let (process, address) =
        deployment.server_with_log(name, &behaviour, Some(&log));
    (TrialServer { process, log, lost: None }, address)
}

fn server_rules(name: &str, address: SocketAddr) -> Value {
    json!({
        "name": name,
        "service": "stock",
        "domain": DOMAIN,
        "address": address,
        "slots": 4,
        "connections": 120,
        "checks_fence": true,
    })
}

fn vm_entry(daemon: &DaemonProcess) -> Value {
    json!({
        "name": daemon.vm,
        "domain": DOMAIN,
        "region": "sierra",
        "address": daemon.control_relay.address().to_string(),
        "state": "live",
    })
}

fn stream(class: RequestClass, rate: f64) -> LoadStream {
    LoadStream {
        service: "stock".to_owned(),
        class,
        requests_per_s: rate,
        callers: 20,
        keys: 200,
        zipf_exponent: 0.5,
        hot_keys: 0,
        request_bytes: 100,
        deadline_ms: 4_000,
    }
}
