//! Daemons and servers as processes, put to work while one thing fails.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use goldcrestramp_standins::{
    CallEntry, CallOutcome, MachineTime,
    checker::{GuaranteeViolations, trace_denied, trace_overlaps},
    load::{LoadPlan, LoadStream, run_load},
    server::ServerLog,
};
use goldcrestramp_types::RequestClass;
use serde_json::{Value, json};

use super::{
    child::ChildProcess,
    deployment::{DaemonProcess, ProcessDeployment, wait_until},
};

/// A failure domain and its region.
pub type TrialPlace = (&'static str, &'static str);

/// The one failure domain of most trials.
const HOME: TrialPlace = ("sierra-a", "sierra");
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
    /// As the configuration has it.
    rules: Value,
}

impl TrialServer {
    /// Ends the server's process for good.
    pub fn lose(&mut self) {
        self.process.kill();
        self.lost = Some(MachineTime::now());
    }
}

/// Daemons and servers of one service, in one failure domain or several.
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
    /// The last ticket.
    ticket: u64,
}

impl ProcessTrial {
    /// Starts three daemons and three servers in one failure domain, and
    /// waits until every key is served.
    pub async fn spawn() -> Self {
        Self::spawn_in(&[HOME; 3], &[HOME; 3]).await
    }

    /// Starts a daemon and a server in each of these places, and waits
    /// until every key is served.
    pub async fn spawn_in(vms: &[TrialPlace], places: &[TrialPlace]) -> Self {
        let deployment = ProcessDeployment::spawn();
        let mut servers = Vec::new();
        for (number, (domain, _)) in places.iter().enumerate() {
            let name = format!("stock-{number}");
            servers.push(spawn_server(&deployment, &name, domain));
        }
        let rules: Vec<_> = servers.iter().map(|s| &s.rules).collect();
        let config = json!({
            "version": 1,
            "domains": domain_rules(vms),
            "services": [{ "name": "stock", "slices": 64 }],
            "servers": rules,
        });
        deployment.put_first("config", &config).await;
        let mut trial = Self {
            deployment,
            daemons: Vec::new(),
            servers,
            seed: SEED,
            ticket: 1,
        };
        for (number, (domain, region)) in vms.iter().enumerate() {
            let vm = format!("vm-{number}");
            let daemon = trial.deployment.daemon_in(&vm, domain, region);
            trial.daemons.push(daemon.await);
        }
        trial.list_vms().await;
        trial.wait_served().await;
        trial
    }

    /// Puts the daemons on the platform's VM list.
    pub async fn list_vms(&self) {
        let list: Vec<Value> = self.daemons.iter().map(vm_entry).collect();
        self.deployment.put_vms(&json!(list)).await;
    }

    /// Replaces a VM by one of another name and address.
    pub async fn replace_vm(&mut self, number: usize, name: &str) {
        let (domain, region) = {
            let old = &mut self.daemons[number];
            old.process.kill();
            (old.domain.clone(), old.region.clone())
        };
        let new = self.deployment.daemon_in(name, &domain, &region).await;
        self.daemons[number] = new;
        self.list_vms().await;
    }

    /// Drains a server, or takes it back.
    pub async fn drain(&mut self, number: usize, drain: bool) {
        let rules = &mut self.servers[number].rules;
        rules["drain"] = json!(drain);
        let change = json!({ "servers": [rules.clone()] });
        self.apply(change).await;
    }

    /// Declares a failure domain lost, or back.
    pub async fn declare_lost(&mut self, place: TrialPlace, lost: bool) {
        let (name, region) = place;
        let rules = json!({ "name": name, "region": region, "lost": lost });
        self.apply(json!({ "domains": [rules] })).await;
    }

    /// Gives a ticket to whichever running VM takes it.
    async fn apply(&mut self, mut ticket: Value) {
        self.ticket += 1;
        ticket["ticket"] = json!(self.ticket);
        wait_until("a VM to take the ticket", async || {
            for daemon in &self.daemons {
                let url = format!("http://{}/tickets", daemon.operators);
                let post = self.deployment.http().post(url).json(&ticket);
                let post = post.timeout(Duration::from_secs(2));
                if let Ok(answer) = post.send().await
                    && answer.status().is_success()
                {
                    return Some(());
                }
            }
            None
        })
        .await;
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
        let figures = GuaranteeViolations::count(&log, calls);
        let denied = trace_denied(&log, calls);
        let overlaps = trace_overlaps(&log);
        assert!(figures.is_empty(), "{figures:?}\n{denied}\n{overlaps}");
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

/// The failure domains of these places, each once.
fn domain_rules(places: &[TrialPlace]) -> Vec<Value> {
    let mut seen = Vec::new();
    for place in places {
        if !seen.contains(place) {
            seen.push(*place);
        }
    }
    let rule = |(name, region)| json!({ "name": name, "region": region });
    seen.into_iter().map(rule).collect()
}

fn spawn_server(
    deployment: &ProcessDeployment,
    name: &str,
    domain: &str,
) -> TrialServer {
    let behaviour = json!({
        "name": name,
        "domain": domain,
        "work": { "lookup_ms": 3.0, "order_ms": 30.0, "long_ms": 1500.0 },
        "long_bytes": 100_000,
    });
    let log = deployment.temporary(&format!("{name}.log"));
    let (process, address) =
        deployment.server_with_log(name, &behaviour, Some(&log));
    let rules = server_rules(name, domain, address);
    TrialServer { process, log, lost: None, rules }
}

fn server_rules(name: &str, domain: &str, address: SocketAddr) -> Value {
    json!({
        "name": name,
        "service": "stock",
        "domain": domain,
        "address": address,
        "slots": 4,
        "connections": 120,
        "checks_fence": true,
    })
}

fn vm_entry(daemon: &DaemonProcess) -> Value {
    json!({
        "name": daemon.vm,
        "domain": daemon.domain,
        "region": daemon.region,
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
