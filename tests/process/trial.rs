//! Runs daemons and servers as processes, under load while one fault is
//! active.

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
pub type TrialDomain = (&'static str, &'static str);

/// The only failure domain of most trials.
const DEFAULT_DOMAIN: TrialDomain = ("sierra-a", "sierra");
/// The number of keys that are probed to see whether all slices are served.
const PROBE_KEYS: usize = 32;
/// The seed of the first load, and the step to the next.
const SEED: u64 = 100;
/// How long requests arrive, in seconds, and when the fault starts.
const LOAD_SECONDS: u64 = 5;
const FAULT_DELAY: Duration = Duration::from_secs(1);

/// A server's process, its listener and its log file.
#[derive(Debug)]
pub struct TrialServer {
    /// The process.
    pub process: ChildProcess,
    log: PathBuf,
    lost_at: Option<MachineTime>,
    /// The server's rules in the configuration.
    rules: Value,
}

impl TrialServer {
    /// Kills the server's process for good.
    pub fn lose(&mut self) {
        self.process.kill();
        self.lost_at = Some(MachineTime::now());
    }
}

/// Daemons and servers of one service, in one failure domain or several.
#[derive(Debug)]
pub struct ProcessTrial {
    /// The platform and the harness around it.
    pub deployment: ProcessDeployment,
    /// The daemons.
    pub daemons: Vec<DaemonProcess>,
    /// The servers.
    pub servers: Vec<TrialServer>,
    /// The seed of the next load; it is part of the requests' ids.
    seed: u64,
    /// The number of the last ticket.
    ticket: u64,
}

impl ProcessTrial {
    /// Starts three daemons and three servers in one failure domain, and
    /// waits until every key is served.
    pub async fn spawn() -> Self {
        Self::spawn_in(&[DEFAULT_DOMAIN; 3], &[DEFAULT_DOMAIN; 3]).await
    }

    /// Starts a daemon in each domain of `vms` and a server in each of
    /// `domains`, and waits until every key is served.
    pub async fn spawn_in(
        vms: &[TrialDomain],
        domains: &[TrialDomain],
    ) -> Self {
        let deployment = ProcessDeployment::spawn();
        let mut servers = Vec::new();
        for (number, (domain, _)) in domains.iter().enumerate() {
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

    /// Publishes the daemons in the platform's VM list.
    pub async fn list_vms(&self) {
        let list: Vec<Value> = self.daemons.iter().map(vm_entry).collect();
        self.deployment.put_vms(&json!(list)).await;
    }

    /// Replaces a VM by one with another name and address.
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

    /// Drains a server, or ends its drain.
    pub async fn drain(&mut self, number: usize, drain: bool) {
        let rules = &mut self.servers[number].rules;
        rules["drain"] = json!(drain);
        let change = json!({ "servers": [rules.clone()] });
        self.apply(change).await;
    }

    /// Declares a failure domain lost, or available again.
    pub async fn declare_lost(&mut self, domain: TrialDomain, lost: bool) {
        let (name, region) = domain;
        let rules = json!({ "name": name, "region": region, "lost": lost });
        self.apply(json!({ "domains": [rules] })).await;
    }

    /// Applies a ticket through the first running VM that accepts it.
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

    /// Waits until every probe key is served by a running daemon.
    pub async fn wait_served(&self) {
        for number in 0..PROBE_KEYS {
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
            let request = self.deployment.http().get(url);
            let request = request.header("goldcrestramp-caller", "probe");
            let request = request.timeout(Duration::from_secs(5));
            if let Ok(answer) = request.send().await {
                return answer.status().is_success();
            }
        }
        false
    }

    /// Sends callers' requests through all daemons for some seconds, and runs
    /// `fault` meanwhile.
    pub async fn load_during(
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
        // A seed that is used twice would repeat request ids, which count as
        // resends.
        self.seed += SEED;
        let inject = async {
            tokio::time::sleep(FAULT_DELAY).await;
            fault(self).await;
        };
        let (calls, ()) =
            tokio::join!(run_load(&plan, Arc::default()), inject);
        calls.expect("plan is bounded")
    }

    /// Checks a run by the servers' log files and the callers' records.
    ///
    /// # Panics
    ///
    /// If a guarantee was violated, or fewer than a quarter of the requests
    /// completed.
    pub fn assert_guarantees(&self, calls: &[CallEntry]) {
        let log = self.log();
        let violations = GuaranteeViolations::count(&log, calls);
        let denied = trace_denied(&log, calls);
        let overlaps = trace_overlaps(&log);
        assert!(violations.is_empty(), "{violations:?}\n{denied}\n{overlaps}");
        let done = calls
            .iter()
            .filter(|c| matches!(c.outcome, CallOutcome::Done { .. }));
        assert!(done.count() * 4 > calls.len(), "{}", outcomes(calls));
    }

    /// The logs of all servers; those of killed servers end with their kill.
    pub fn log(&self) -> ServerLog {
        let mut log = ServerLog::default();
        for server in &self.servers {
            let mut own =
                ServerLog::read(&server.log).expect("log file is readable");
            if let (Some(lost_at), Some(hold)) =
                (server.lost_at, own.holds.last_mut())
            {
                hold.until = hold.until.min(lost_at);
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

/// Formats the number of calls with each outcome, and the calls whose outcome
/// is unknown.
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
    let unknown = calls
        .iter()
        .filter(|call| matches!(call.outcome, CallOutcome::Unknown { .. }));
    format!("{counts:?}\n{:#?}", unknown.collect::<Vec<_>>())
}

/// The rules of these failure domains, without duplicates.
fn domain_rules(domains: &[TrialDomain]) -> Vec<Value> {
    let mut seen = Vec::new();
    for domain in domains {
        if !seen.contains(domain) {
            seen.push(*domain);
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
    TrialServer { process, log, lost_at: None, rules }
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
