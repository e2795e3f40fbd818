//! A small deployment of separate processes on loopback.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    sync::atomic::{AtomicU16, Ordering},
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use super::{child::ChildProcess, relay::TcpRelay};

/// Longer than anything a test waits for; only a failed test sees it.
const WAIT_LIMIT: Duration = Duration::from_mins(1);
/// Holding this port of a host claims the host; daemons' ports follow it.
const CLAIM_PORT: u16 = 19_999;
/// How often a condition is looked at.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// The platform, servers and daemons of one test.
#[derive(Debug)]
pub struct ProcessDeployment {
    /// The platform's process.
    pub platform: ChildProcess,
    /// Where the platform listens.
    pub platform_address: SocketAddr,
    http: reqwest::Client,
    host: Ipv4Addr,
    ports: AtomicU16,
    _claim: TcpListener,
}

/// A running daemon and where its listeners are.
#[derive(Debug)]
pub struct DaemonProcess {
    /// The process.
    pub process: ChildProcess,
    /// The name of its VM.
    pub vm: String,
    /// Its failure domain.
    pub domain: String,
    /// Its region.
    pub region: String,
    /// Where callers are served.
    pub callers: SocketAddr,
    /// Where operators are served.
    pub operators: SocketAddr,
    /// What stands between it and its peers; the address they know.
    pub peer_relay: TcpRelay,
    /// What stands before its control listener; the address they know.
    pub control_relay: TcpRelay,
    /// What stands between it and the platform.
    pub platform_relay: TcpRelay,
    settings: PathBuf,
}

impl ProcessDeployment {
    /// Starts the platform.
    pub fn spawn() -> Self {
        let program = env!("CARGO_BIN_EXE_goldcrestramp-standin");
        let (host, claim) = claim_host();
        let listen = format!("{host}:0");
        let mut platform = ChildProcess::spawn(
            program,
            "platform",
            &["platform", "--listen", &listen],
        );
        let platform_address = platform.listening();
        let http = reqwest::Client::new();
        let ports = AtomicU16::new(CLAIM_PORT + 1);
        Self { platform, platform_address, http, host, ports, _claim: claim }
    }

    /// Starts a backend server that behaves as the JSON says.
    pub fn server(
        &self,
        name: &str,
        behaviour: &Value,
    ) -> (ChildProcess, SocketAddr) {
        self.server_with_log(name, behaviour, None)
    }

    /// Starts a backend server that also writes its log to a file.
    pub fn server_with_log(
        &self,
        name: &str,
        behaviour: &Value,
        log: Option<&Path>,
    ) -> (ChildProcess, SocketAddr) {
        let path = self.temporary(&format!("{name}.json"));
        std::fs::write(&path, behaviour.to_string()).expect("a file");
        let listen = format!("{}:0", self.host);
        let path = path.to_str().expect("a path in text");
        let mut arguments =
            vec!["server", "--listen", &listen, "--behaviour", path];
        if let Some(log) = log {
            arguments.push("--log-file");
            arguments.push(log.to_str().expect("a path in text"));
        }
        let mut server = ChildProcess::spawn(
            env!("CARGO_BIN_EXE_goldcrestramp-standin"),
            name,
            &arguments,
        );
        let address = server.listening();
        (server, address)
    }

    /// Starts a daemon; it may not serve yet when this returns.
    pub async fn daemon(&self, vm: &str, domain: &str) -> DaemonProcess {
        self.daemon_in(vm, domain, "sierra").await
    }

    /// Starts a daemon in a region of that name.
    pub async fn daemon_in(
        &self,
        vm: &str,
        domain: &str,
        region: &str,
    ) -> DaemonProcess {
        let [callers, peers, control, operators] = self.free_addresses();
        let any = SocketAddr::from((self.host, 0));
        let peer_relay = TcpRelay::bind(any, peers).await;
        let control_relay = TcpRelay::bind(any, control).await;
        let platform_relay = TcpRelay::bind(any, self.platform_address).await;
        let settings = json!({
            "deployment": "process-test",
            "vm": vm,
            "domain": domain,
            "region": region,
            "callers_listen": callers,
            "peers_listen": peers,
            "peers_address": peer_relay.address(),
            "control_listen": control,
            "control_address": control_relay.address(),
            "platform_url": format!("http://{}", platform_relay.address()),
            "operators": { "listen": operators },
        });
        let path = self.temporary(&format!("{vm}.jsonc"));
        std::fs::write(&path, settings.to_string()).expect("a file");
        let process = spawn_daemon(vm, &path);
        DaemonProcess {
            process,
            vm: vm.to_owned(),
            domain: domain.to_owned(),
            region: region.to_owned(),
            callers,
            operators,
            peer_relay,
            control_relay,
            platform_relay,
            settings: path,
        }
    }

    /// The client that this deployment's tests share.
    pub const fn http(&self) -> &reqwest::Client {
        &self.http
    }

    /// Writes a first value into the platform's key-value service.
    pub async fn put_first(&self, key: &str, value: &Value) {
        let url = format!("http://{}/kv/{key}", self.platform_address);
        let request = self.http.put(url).header("if-none-match", "*");
        let answer = request.body(value.to_string()).send().await;
        let status = answer.expect("the platform's answer").status();
        assert!(status.is_success(), "{key}: {status}");
    }

    /// Replaces the platform's VM list.
    pub async fn put_vms(&self, vms: &Value) {
        let url = format!("http://{}/vms", self.platform_address);
        let answer = self.http.put(url).json(vms).send().await;
        let status = answer.expect("the platform's answer").status();
        assert!(status.is_success(), "VM list: {status}");
    }

    /// What a server has executed, as its own log tells it.
    pub async fn server_log(&self, server: SocketAddr) -> Value {
        let url = format!("http://{server}/log");
        let answer = self.http.get(url).send().await;
        let answer = answer.expect("the server's answer");
        answer.json().await.expect("the server's log")
    }

    /// Asks as a caller does; `headers` tell caller, id and class.
    pub async fn ask(
        &self,
        daemon: &DaemonProcess,
        path: &str,
        headers: &[(&str, &str)],
    ) -> reqwest::Result<reqwest::Response> {
        let url = format!("http://{}/v1/{path}", daemon.callers);
        let mut request = self.http.post(url);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        request.send().await
    }

    /// Addresses on which nothing listens, nor will but whom they are for.
    pub fn free_addresses<const N: usize>(&self) -> [SocketAddr; N] {
        std::array::from_fn(|_| {
            let port = self.ports.fetch_add(1, Ordering::Relaxed);
            SocketAddr::from((self.host, port))
        })
    }

    /// A file of this deployment alone.
    pub fn temporary(&self, name: &str) -> PathBuf {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let port = self.platform_address.port();
        directory.join(format!("{}-{port}-{name}", self.host))
    }
}

impl DaemonProcess {
    /// Starts the daemon again after it was killed: a replaced VM.
    pub fn restart(&mut self) {
        self.process = spawn_daemon(&self.vm, &self.settings);
    }
}

/// Waits until `look` tells a value; fails the test after a minute.
pub async fn wait_until<T>(
    what: &str,
    mut look: impl AsyncFnMut() -> Option<T>,
) -> T {
    let limit = Instant::now() + WAIT_LIMIT;
    loop {
        if let Some(value) = look().await {
            return value;
        }
        assert!(Instant::now() < limit, "waited in vain: {what}");
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

fn spawn_daemon(vm: &str, settings: &std::path::Path) -> ChildProcess {
    let settings = settings.to_str().expect("a path in text");
    ChildProcess::spawn(
        env!("CARGO_BIN_EXE_goldcrestrampd"),
        vm,
        &["--settings", settings],
    )
}

/// A loopback host that is this deployment's alone while the claim lives.
///
/// Drawing a port from the system and letting it go again was not enough: a
/// relay or daemon of another test took it before its own daemon bound it,
/// which then ended with "Address already in use". Here the ports are
/// counted up on a claimed host, below those that the system hands out.
fn claim_host() -> (Ipv4Addr, TcpListener) {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    for last in 1..=u8::MAX {
        let host = Ipv4Addr::new(127, 64 + (high & 0x7f), low, last);
        if let Ok(claim) = TcpListener::bind((host, CLAIM_PORT)) {
            return (host, claim);
        }
    }
    panic!("every host of this process is claimed");
}
