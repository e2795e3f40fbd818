//! A daemon as a separate process.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

use crate::port::HeldPort;

/// A running daemon, killed on drop.
#[derive(Debug)]
pub struct NodeProcess {
    child: Child,
    folder: PathBuf,
    /// Held for the restarts of the process, and until it is dropped.
    _ports: [HeldPort; 4],
    pub traffic: SocketAddr,
    pub ready: SocketAddr,
    /// The address for calls of other daemons.
    pub peers: SocketAddr,
    /// The address for requests that other daemons pass on.
    pub relay: SocketAddr,
}

impl NodeProcess {
    pub fn spawn(vm: &str, store: SocketAddr) -> Self {
        Self::spawn_sized(vm, store, &json!({}))
    }

    /// Starts a daemon on a VM with these limits of CPU and network link.
    pub fn spawn_sized(vm: &str, store: SocketAddr, limits: &Value) -> Self {
        Self::spawn_in(vm, "north-a", store, limits)
    }

    /// Starts a daemon on a VM of a failure domain with these limits.
    pub fn spawn_in(
        vm: &str,
        domain: &str,
        store: SocketAddr,
        limits: &Value,
    ) -> Self {
        Self::spawn_with(vm, domain, store, &json!({"limits": limits}))
    }

    /// Starts a daemon on a VM of a failure domain with load control.
    pub fn spawn_controlled(
        vm: &str,
        domain: &str,
        store: SocketAddr,
    ) -> Self {
        Self::spawn_with(vm, domain, store, &json!({"load_control": true}))
    }

    /// Starts a daemon on a VM of a failure domain; `changes` replaces the
    /// settings of the same names.
    pub fn spawn_with(
        vm: &str,
        domain: &str,
        store: SocketAddr,
        changes: &Value,
    ) -> Self {
        let ports = std::array::from_fn(|_| HeldPort::open());
        let [traffic, ready, first, last] =
            ports.each_ref().map(|port: &HeldPort| port.address);
        let name =
            format!("goldcrestramp-{}-{}", std::process::id(), traffic.port());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).expect("folder is created");
        let mut settings = json!({
            "node": vm, "zone": domain, "region": "north",
            "zones": {
                "north-a": "north", "north-b": "north", "south-a": "south"
            },
            "ip": "127.0.0.1",
            "listen": {
                "front": traffic.to_string(), "ready": ready.to_string()
            },
            "inner_ports": [first.port(), last.port()],
            "limits": {},
            "beat_interval": "870ms",
            "bounds": ["grace=6s", "drain=2000ms"],
            "platform_settings": {
                "address": store.to_string(), "ttl_min": "1000ms"
            }
        });
        for (name, value) in changes.as_object().into_iter().flatten() {
            settings[name] = value.clone();
        }
        let path = folder.join("settings.json");
        fs::write(&path, settings.to_string())
            .expect("settings file is written");
        let child = start(&path);
        Self {
            child,
            folder,
            _ports: ports,
            traffic,
            ready,
            peers: first,
            relay: last,
        }
    }

    pub fn signal(&self, signal: Signal) {
        let id =
            i32::try_from(self.child.id()).expect("process id fits in i32");
        let pid = Pid::from_raw(id).expect("process id is positive");
        kill_process(pid, signal).expect("process is running");
    }

    /// The most memory that the process has had resident, in bytes.
    #[allow(dead_code, reason = "not every test binary measures it")]
    pub fn peak_memory(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = fs::read_to_string(path).expect("process is running");
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next());
        let kilobytes = kilobytes.and_then(|text| text.parse::<u64>().ok());
        kilobytes.expect("status states the memory") * 1_024
    }

    /// The descriptors that the process has open.
    #[allow(dead_code, reason = "not every test binary counts them")]
    pub fn descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        fs::read_dir(path).expect("process is running").count()
    }

    /// Kills the process if it runs, and starts it again with the same
    /// settings.
    #[allow(dead_code, reason = "not every test binary restarts one")]
    pub fn restart(&mut self) {
        // It may have exited already.
        let _ended = self.child.kill();
        let _reaped = self.child.wait();
        self.child = start(&self.folder.join("settings.json"));
    }

    /// Whether the process has not exited.
    #[allow(dead_code, reason = "not every test binary asks")]
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the process has exited.
    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        loop {
            if let Some(status) =
                self.child.try_wait().expect("process status is known")
            {
                return status;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// The variable that names a folder to keep the output of daemons in.
const LOG_FOLDER: &str = "GOLDCRESTRAMP_TEST_LOGS";

/// The variable that names the program of another build of the daemon.
const OTHER_BUILD: &str = "GOLDCRESTRAMP_OTHER_BUILD";

/// Starts the daemon. If [`OTHER_BUILD`] is set, every second start of this
/// test process takes that program: a fleet mixes two builds, and a restart
/// may change the build of a VM.
fn start(settings: &Path) -> Child {
    static STARTS: AtomicU32 = AtomicU32::new(0);
    let starts = STARTS.fetch_add(1, Ordering::Relaxed);
    let other = std::env::var_os(OTHER_BUILD).filter(|_| starts % 2 == 1);
    let own = env!("CARGO_BIN_EXE_goldcrestramp-entry");
    Command::new(other.unwrap_or_else(|| own.into()))
        .arg("serve")
        .arg("--settings")
        .arg(settings)
        .stdout(output(settings))
        .spawn()
        .expect("daemon starts")
}

/// The standard output of a daemon: one log file for all processes with
/// these settings, or nothing if no folder is set.
fn output(settings: &Path) -> Stdio {
    let Ok(folder) = std::env::var(LOG_FOLDER) else { return Stdio::null() };
    let name = settings.parent().and_then(Path::file_name);
    let name = name.expect("settings file has a folder").to_string_lossy();
    let path = Path::new(&folder).join(format!("{name}.log"));
    let file = fs::OpenOptions::new().append(true).create(true).open(path);
    file.expect("log file opens").into()
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // It may have exited already.
        let _ended = self.child.kill();
        let _reaped = self.child.wait();
        let _gone = fs::remove_dir_all(&self.folder);
    }
}
