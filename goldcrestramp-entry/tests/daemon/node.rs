//! The daemon as a process of its own.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

/// The first of the ports that are tried, and how many there are. They lie
/// below those that the kernel gives out by itself: a port from there, once
/// found free and let go, was taken by another test's connection before
/// the daemon could bind it, and the daemon did not start.
const FIRST_PORT: u16 = 12_000;
const PORTS: u32 = 18_000;

/// Three ports that are free now, and that no other test of this process
/// is given.
fn free_ports() -> [u16; 3] {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    // Two runs at once begin far from each other.
    let begin = std::process::id().wrapping_mul(389);
    let mut ports = std::iter::from_fn(|| {
        let turn = NEXT.fetch_add(1, Ordering::Relaxed);
        let offset = begin.wrapping_add(turn) % PORTS;
        let offset = u16::try_from(offset).expect("below 18,000");
        Some(FIRST_PORT + offset)
    });
    let mut free = || {
        let is_free =
            |port: &u16| TcpListener::bind(("127.0.0.1", *port)).is_ok();
        ports.find(is_free).expect("some port is free")
    };
    [free(), free(), free()]
}

/// A running daemon; it is killed with the test.
#[derive(Debug)]
pub struct NodeProcess {
    child: Child,
    folder: PathBuf,
    pub traffic: SocketAddr,
    pub ready: SocketAddr,
    /// Where it takes calls of other daemons.
    pub peers: SocketAddr,
}

impl NodeProcess {
    pub fn spawn(vm: &str, store: SocketAddr) -> Self {
        Self::spawn_sized(vm, store, &json!({}))
    }

    /// Starts a daemon on a VM that has so much of a core and of a link.
    pub fn spawn_sized(vm: &str, store: SocketAddr, limits: &Value) -> Self {
        let [traffic, ready, inner] = free_ports();
        let name = format!("goldcrestramp-{}-{traffic}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).expect("a folder");
        let local = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let settings = json!({
            "node": vm, "zone": "north-a", "region": "north",
            "zones": {"north-a": "north"}, "ip": "127.0.0.1",
            "listen": {
                "front": local(traffic).to_string(),
                "ready": local(ready).to_string()
            },
            "inner_ports": [inner, inner],
            "limits": limits,
            "beat_interval": "870ms",
            "bounds": ["grace=6s", "drain=2000ms"],
            "platform_settings": {
                "address": store.to_string(), "ttl_min": "1000ms"
            }
        });
        let path = folder.join("settings.json");
        fs::write(&path, settings.to_string()).expect("a file");
        let child = start(&path);
        let (traffic, ready) = (local(traffic), local(ready));
        Self { child, folder, traffic, ready, peers: local(inner) }
    }

    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("an id");
        let pid = Pid::from_raw(id).expect("a process");
        kill_process(pid, signal).expect("it runs");
    }

    /// Starts the program again, as on the same VM.
    #[allow(dead_code, reason = "not every test binary restarts one")]
    pub fn restart(&mut self) {
        // It may have ended already.
        let _ended = self.child.kill();
        let _reaped = self.child.wait();
        self.child = start(&self.folder.join("settings.json"));
    }

    /// Whether the process runs.
    #[allow(dead_code, reason = "not every test binary asks")]
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the process has ended.
    pub async fn ended(&mut self) -> ExitStatus {
        loop {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Names a folder in which what the daemons write is kept.
const LOG_FOLDER: &str = "GOLDCRESTRAMP_TEST_LOGS";

fn start(settings: &Path) -> Child {
    Command::new(env!("CARGO_BIN_EXE_goldcrestramp-entry"))
        .arg("serve")
        .arg("--settings")
        .arg(settings)
        .stdout(output(settings))
        .spawn()
        .expect("the daemon starts")
}

/// Where a daemon writes: a file for all runs with these settings.
fn output(settings: &Path) -> Stdio {
    let Ok(folder) = std::env::var(LOG_FOLDER) else { return Stdio::null() };
    let name = settings.parent().and_then(Path::file_name);
    let name = name.expect("a folder").to_string_lossy();
    let path = Path::new(&folder).join(format!("{name}.log"));
    let file = fs::OpenOptions::new().append(true).create(true).open(path);
    file.expect("a log file").into()
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // It may have ended already.
        let _ended = self.child.kill();
        let _reaped = self.child.wait();
        let _gone = fs::remove_dir_all(&self.folder);
    }
}
