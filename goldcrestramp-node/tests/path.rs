//! The whole path in one process: callers, daemons, servers, platform.

mod peer_keys;

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    time::Duration,
};

use goldcrestramp_config::{NodeSettings, PeerTlsSettings};
use goldcrestramp_node::NodeHandle;
use goldcrestramp_platform::{VmEntry, VmState};
use goldcrestramp_standins::{
    platform::PlatformStandin,
    server::{ServerBehaviour, ServerStandin},
};
use goldcrestramp_types::{DomainName, RegionName, VmName};
use peer_keys::{VmFiles, authority};
use serde_json::json;

const DOMAIN: &str = "sierra-a";
/// Longer than anything here takes; only a failed test sees it.
const LIMIT: Duration = Duration::from_secs(30);

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

/// Addresses on which nothing listens, drawn together because peers must
/// know them before the daemons start.
///
/// They stand on a host of this test's own, ending in `last`, where no connection or
/// other listener can take a drawn port before its daemon binds it.
fn draw_addresses(last: u8, count: usize) -> Vec<SocketAddr> {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, 64 + (high & 0x3f), low, last);
    let listeners: Vec<_> = (0..count)
        .map(|_| TcpListener::bind((host, 0)).expect("a port"))
        .collect();
    let addresses = listeners.iter().map(TcpListener::local_addr);
    addresses.map(|one| one.expect("an address")).collect()
}

fn settings(
    vm: &str,
    platform: SocketAddr,
    listen: &[SocketAddr],
) -> NodeSettings {
    let value = json!({
        "deployment": "path",
        "vm": vm,
        "domain": DOMAIN,
        "region": "sierra",
        "callers_listen": listen[0],
        "peers_listen": listen[1],
        "control_listen": listen[2],
        "platform_url": format!("http://{platform}"),
        "operators": { "listen": listen[3] },
    });
    serde_json::from_value(value).expect("settings")
}

fn vm_entry(settings: &NodeSettings) -> VmEntry {
    VmEntry {
        name: VmName::new(settings.vm.as_str()).expect("a name"),
        domain: DomainName::new(DOMAIN).expect("a name"),
        region: RegionName::new("sierra").expect("a name"),
        address: settings.control_listen.to_string(),
        state: VmState::Live,
    }
}

async fn put_config(platform: SocketAddr, servers: &[SocketAddr]) {
    let servers: Vec<_> = (0..)
        .zip(servers)
        .map(|(number, address): (u32, _)| {
            json!({
                "name": format!("stock-{number}"),
                "service": "stock",
                "domain": DOMAIN,
                "address": address,
                "slots": 4,
                "connections": 120,
                "checks_fence": true,
            })
        })
        .collect();
    let state = json!({
        "version": 1,
        "domains": [{ "name": DOMAIN, "region": "sierra" }],
        "services": [{ "name": "stock", "slices": 64 }],
        "servers": servers,
    });
    let url = format!("http://{platform}/kv/config");
    let put = reqwest::Client::new().put(url);
    let put = put.header("if-none-match", "*").body(state.to_string());
    let status = put.send().await.expect("an answer").status();
    assert!(status.is_success());
}

async fn ask_until_served(url: &str) -> reqwest::Response {
    let client = reqwest::Client::new();
    let asking = async {
        loop {
            let answer = client.get(url).send().await.expect("an answer");
            if answer.status().is_success() {
                return answer;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(LIMIT, asking).await.expect("served in time")
}

/// Serves one lookup through each of three VMs; the bodies.
async fn serve_through_each(
    host: u8,
    prepare: impl Fn(&mut NodeSettings),
) -> Vec<String> {
    let platform = PlatformStandin::bind(loopback()).await.expect("bound");
    let address = platform.address();
    let mut servers = Vec::new();
    for _ in 0..2 {
        let behaviour = ServerBehaviour::default();
        let server = ServerStandin::bind(loopback(), behaviour).await;
        servers.push(server.expect("bound"));
    }
    let listening: Vec<_> =
        servers.iter().map(ServerStandin::address).collect();
    put_config(address, &listening).await;
    let listen = draw_addresses(host, 12);
    let mut all: Vec<_> = (0..)
        .zip(listen.chunks(4))
        .map(|(n, listen): (u32, _)| {
            settings(&format!("vm-{n}"), address, listen)
        })
        .collect();
    all.iter_mut().for_each(prepare);
    platform.set_vms(all.iter().map(vm_entry).collect());
    let mut nodes = Vec::new();
    for settings in all {
        nodes.push(NodeHandle::spawn(settings).await.expect("started"));
    }
    let mut bodies = Vec::new();
    for node in &nodes {
        let callers = node.addresses().callers;
        let url = format!("http://{callers}/v1/stock/shop-17");
        let answer = ask_until_served(&url).await;
        assert_eq!(answer.headers()["goldcrestramp-outcome"], "done");
        bodies.push(answer.text().await.expect("a whole body"));
    }
    bodies
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_lookup_is_served_through_any_gateway() {
    let bodies = serve_through_each(2, |_| {}).await;

    assert_eq!(bodies.len(), 3);
    assert!(bodies.iter().all(|body| !body.is_empty()));
}

// The same path, with certificates between the VMs: confirmations, permits,
// tables and requests all go by TLS.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_lookup_is_served_through_any_gateway_by_tls() {
    let authority = authority();
    let files = ["vm-0", "vm-1", "vm-2"].map(|vm| {
        let files = VmFiles::new(&format!("path-{vm}"));
        let own = format!("{vm}.{DOMAIN}.path.goldcrestramp");
        files.issue(&authority, &[&own, "path.goldcrestramp"]);
        (vm, files)
    });
    let with_keys = |settings: &mut NodeSettings| {
        let mut all = files.iter();
        let mine = all.find(|(vm, _)| settings.vm.as_str() == *vm);
        let (_, files) = mine.expect("keys for each VM");
        settings.peer_tls = Some(PeerTlsSettings {
            authority_file: files.0.join("authority.pem"),
            certificate_file: files.0.join("vm.pem"),
            key_file: files.0.join("vm.key"),
        });
    };

    let bodies = serve_through_each(4, with_keys).await;

    assert_eq!(bodies.len(), 3);
    assert!(bodies.iter().all(|body| !body.is_empty()));
}
