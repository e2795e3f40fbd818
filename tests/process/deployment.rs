//! Runs a small deployment as separate processes on loopback.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    sync::atomic::{AtomicU16, Ordering},
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use super::{child::ChildProcess, relay::TcpRelay};

/// The timeout of waits, longer than any wait of a test that passes.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);
/// Binding this port of a host claims the host; the ports of daemons follow
/// it.
const CLAIM_PORT: u16 = 19_999;
/// The interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The platform, servers and daemons of one test.
#[derive(Debug)]
pub struct ProcessDeployment {
    /// The platform's process.
    pub platform: ChildProcess,
    /// The address of the platform.
    pub platform_address: SocketAddr,
    http: reqwest::Client,
    host: Ipv4Addr,
    ports: AtomicU16,
    _claim: TcpListener,
}

/// A running daemon and the addresses of its listeners.
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
    /// The listener for callers.
    pub callers: SocketAddr,
    /// The listener for operators.
    pub operators: SocketAddr,
    /// The relay before its listener for peers; peers know the relay's
    /// address.
    pub peer_relay: TcpRelay,
    /// The relay before its control listener; peers know the relay's address.
    pub control_relay: TcpRelay,
    /// The relay between it and the platform.
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

    /// Starts a backend server with this behaviour.
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
        std::fs::write(&path, behaviour.to_string()).expect("file is written");
        let listen = format!("{}:0", self.host);
        let path = path.to_str().expect("path is UTF-8");
        let mut arguments =
            vec!["server", "--listen", &listen, "--behaviour", path];
        if let Some(log) = log {
            arguments.push("--log-file");
            arguments.push(log.to_str().expect("path is UTF-8"));
        }
        let mut server = ChildProcess::spawn(
            env!("CARGO_BIN_EXE_goldcrestramp-standin"),
            name,
            &arguments,
        );
        let address = server.listening();
        (server, address)
    }

    /// Starts a daemon, which may not serve yet when this returns.
    pub async fn daemon(&self, vm: &str, domain: &str) -> DaemonProcess {
        self.daemon_in(vm, domain, "sierra").await
    }

    /// Starts a daemon in this region.
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
        std::fs::write(&path, settings.to_string()).expect("file is written");
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

    /// The HTTP client that this deployment's tests share.
    pub const fn http(&self) -> &reqwest::Client {
        &self.http
    }

    /// Creates a key in the platform's key-value service.
    pub async fn put_first(&self, key: &str, value: &Value) {
        let url = format!("http://{}/kv/{key}", self.platform_address);
        let request = self.http.put(url).header("if-none-match", "*");
        let response = request.body(value.to_string()).send().await;
        let status = response.expect("platform responds").status();
        assert!(status.is_success(), "{key}: {status}");
    }

    /// Replaces the platform's VM list.
    pub async fn put_vms(&self, vms: &Value) {
        let url = format!("http://{}/vms", self.platform_address);
        let response = self.http.put(url).json(vms).send().await;
        let status = response.expect("platform responds").status();
        assert!(status.is_success(), "VM list: {status}");
    }

    /// Fetches a server's log of its executions and grants.
    pub async fn server_log(&self, server: SocketAddr) -> Value {
        let url = format!("http://{server}/log");
        let response = self.http.get(url).send().await;
        let response = response.expect("server responds");
        response.json().await.expect("log parses")
    }

    /// Sends a request as a caller does; `headers` contain caller, id and
    /// class.
    pub async fn send_request(
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

    /// Returns addresses on which nothing else listens.
    pub fn free_addresses<const N: usize>(&self) -> [SocketAddr; N] {
        std::array::from_fn(|_| {
            let port = self.ports.fetch_add(1, Ordering::Relaxed);
            SocketAddr::from((self.host, port))
        })
    }

    /// Returns the path of a temporary file that only this deployment uses.
    pub fn temporary(&self, name: &str) -> PathBuf {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let port = self.platform_address.port();
        directory.join(format!("{}-{port}-{name}", self.host))
    }
}

impl DaemonProcess {
    /// Restarts the daemon after it was killed, as a replaced VM.
    pub fn restart(&mut self) {
        self.process = spawn_daemon(&self.vm, &self.settings);
    }
}

/// Polls until `poll` returns a value; fails the test after a minute.
pub async fn wait_until<T>(
    what: &str,
    mut poll: impl AsyncFnMut() -> Option<T>,
) -> T {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(value) = poll().await {
            return value;
        }
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn spawn_daemon(vm: &str, settings: &std::path::Path) -> ChildProcess {
    let settings = settings.to_str().expect("path is UTF-8");
    ChildProcess::spawn(
        env!("CARGO_BIN_EXE_goldcrestrampd"),
        vm,
        &["--settings", settings],
    )
}

/// Claims a loopback host for this deployment; the claim ends when the
/// listener is dropped.
///
/// Letting the system choose a port and releasing it was not enough: a relay
/// or daemon of another test bound it before the deployment's own daemon,
/// which then failed with "Address already in use". The ports are therefore
/// counted up on a claimed host, below the range that the system assigns.
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
