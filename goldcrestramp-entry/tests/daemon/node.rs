//! The daemon as a process of its own.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    time::Duration,
};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;

/// Four ports that are free now.
fn free_ports() -> [u16; 3] {
    let listeners = [0; 3]
        .map(|port| TcpListener::bind(("127.0.0.1", port)).expect("a port"));
    listeners.map(|l| l.local_addr().expect("an address").port())
}

/// A running daemon; it is killed with the test.
#[derive(Debug)]
pub struct NodeProcess {
    child: Child,
    folder: PathBuf,
    pub traffic: SocketAddr,
    pub ready: SocketAddr,
}

impl NodeProcess {
    pub fn spawn(vm: &str, store: SocketAddr) -> Self {
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
            "beat_interval": "870ms",
            "bounds": ["grace=6s", "drain=2000ms"],
            "platform_settings": {
                "address": store.to_string(), "ttl_min": "1000ms"
            }
        });
        let path = folder.join("settings.json");
        fs::write(&path, settings.to_string()).expect("a file");
        let child = Command::new(env!("CARGO_BIN_EXE_goldcrestramp-entry"))
            .arg("serve")
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        let (traffic, ready) = (local(traffic), local(ready));
        Self { child, folder, traffic, ready }
    }

    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("an id");
        let pid = Pid::from_raw(id).expect("a process");
        kill_process(pid, signal).expect("it runs");
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

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // It may have ended already.
        let _ended = self.child.kill();
        let _reaped = self.child.wait();
        let _gone = fs::remove_dir_all(&self.folder);
    }
}
