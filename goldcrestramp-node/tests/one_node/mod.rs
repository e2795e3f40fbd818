//! One daemon, one server and one platform, in this process.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::atomic::{AtomicU8, Ordering},
    time::Duration,
};

use goldcrestramp_config::NodeSettings;
use goldcrestramp_node::NodeHandle;
use goldcrestramp_standins::{
    platform::{PlatformStandin, live_entry},
    server::{ServerBehaviour, ServerStandin, WorkTimes},
};
use reqwest::{Method, RequestBuilder};
use serde_json::json;

const DOMAIN: &str = "sierra-a";
/// Longer than any wait in these tests; only a failed test reaches it.
const TIMEOUT: Duration = Duration::from_secs(30);

/// The running daemon, server and platform.
pub(crate) struct OneNode {
    pub(crate) server: ServerStandin,
    pub(crate) node: NodeHandle,
    http: reqwest::Client,
    _platform: PlatformStandin,
}

/// More than the requests that any test has in flight.
const SERVER_SLOTS: usize = 1_000;

impl OneNode {
    /// Starts all three. The configuration gives the server `slots` slots, and
    /// each request takes `work_ms` milliseconds.
    pub(crate) async fn spawn(slots: u32, work_ms: u64) -> Self {
        let work = WorkTimes::fixed(work_ms);
        let behaviour = ServerBehaviour { work, ..Default::default() };
        Self::spawn_with(slots, behaviour).await
    }

    /// Like `spawn`, with the given behavior of the server.
    pub(crate) async fn spawn_with(
        slots: u32,
        behaviour: ServerBehaviour,
    ) -> Self {
        let platform =
            PlatformStandin::bind(loopback()).await.expect("address binds");
        // The server itself refuses nothing, so that its counts show the
        // limits of the keeper alone.
        let behaviour = ServerBehaviour { slots: SERVER_SLOTS, ..behaviour };
        let server = ServerStandin::bind(loopback(), behaviour).await;
        let server = server.expect("address binds");
        put_config(platform.address(), server.address(), slots).await;
        let settings = settings(platform.address());
        platform.set_vms(vec![live_entry(&settings)]);
        let node = NodeHandle::spawn(settings).await.expect("daemon starts");
        let http = reqwest::Client::new();
        let one = Self { server, node, http, _platform: platform };
        one.wait_until_served().await;
        one
    }

    /// A request for a key by `caller`, with a deadline of `deadline_ms`.
    pub(crate) fn request(
        &self,
        method: Method,
        key: &str,
        caller: &str,
        deadline_ms: u64,
    ) -> RequestBuilder {
        let callers = self.node.addresses().callers;
        let url = format!("http://{callers}/v1/stock/{key}");
        self.http
            .request(method, url)
            .header("goldcrestramp-caller", caller)
            .header("goldcrestramp-deadline-ms", deadline_ms)
    }

    async fn wait_until_served(&self) {
        let polling = async {
            loop {
                let lookup =
                    self.request(Method::GET, "first", "probe", 5_000);
                let response =
                    lookup.send().await.expect("request gets a response");
                if response.status().is_success() {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        tokio::time::timeout(TIMEOUT, polling)
            .await
            .expect("keys are served in time");
    }
}

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().expect("address is valid")
}

fn settings(platform: SocketAddr) -> NodeSettings {
    // A loopback host of this daemon alone: no connection or other listener,
    // also of another test in this process, takes a port before the daemon
    // binds it.
    static NEXT_HOST: AtomicU8 = AtomicU8::new(3);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let last = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    let host = Ipv4Addr::new(127, 64 + (high & 0x3f), low, last);
    let listeners: [TcpListener; 4] = std::array::from_fn(|_| {
        TcpListener::bind((host, 0)).expect("port is free")
    });
    let listen = listeners
        .each_ref()
        .map(|one| one.local_addr().expect("address binds"));
    let value = json!({
        "deployment": "one-node",
        "vm": "vm-0",
        "domain": DOMAIN,
        "region": "sierra",
        "callers_listen": listen[0],
        "peers_listen": listen[1],
        "control_listen": listen[2],
        "platform_url": format!("http://{platform}"),
        "operators": { "listen": listen[3] },
    });
    serde_json::from_value(value).expect("settings are valid")
}

async fn put_config(platform: SocketAddr, server: SocketAddr, slots: u32) {
    let state = json!({
        "version": 1,
        "domains": [{ "name": DOMAIN, "region": "sierra" }],
        "services": [{ "name": "stock", "slices": 64 }],
        "servers": [{
            "name": "stock-0",
            "service": "stock",
            "domain": DOMAIN,
            "address": server,
            "slots": slots,
            "connections": 120,
            "checks_fence": true,
        }],
    });
    let url = format!("http://{platform}/kv/config");
    let put = reqwest::Client::new().put(url);
    let put = put.header("if-none-match", "*").body(state.to_string());
    let status = put.send().await.expect("request gets a response").status();
    assert!(status.is_success());
}
