//! The full path of a request in one process: caller, daemons, servers,
//! platform.

mod peer_keys;
mod small_domain;

use goldcrestramp_config::{NodeSettings, PeerTlsSettings};
use goldcrestramp_standins::server::ServerBehaviour;
use peer_keys::{VmFiles, authority};
use reqwest::Method;
use small_domain::{DOMAIN, DomainShape, SmallDomain};

/// Serves one lookup through each of three VMs; returns the bodies.
async fn serve_through_each(
    test_id: u8,
    prepare: impl Fn(&mut NodeSettings),
) -> Vec<String> {
    let servers = vec![ServerBehaviour::default(); 2];
    let shape = DomainShape { test_id, nodes: 3, slots: 4, servers };
    let domain = SmallDomain::spawn(shape, prepare).await;
    let mut bodies = Vec::new();
    for node in 0..domain.nodes.len() {
        let lookup = domain.request_to(node, Method::GET, "shop-17");
        let response = lookup.send().await.expect("request gets a response");
        assert_eq!(response.headers()["goldcrestramp-outcome"], "done");
        bodies.push(response.text().await.expect("body is complete"));
    }
    bodies
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_lookup_is_served_through_any_gateway() {
    let bodies = serve_through_each(2, |_| {}).await;

    assert_eq!(bodies.len(), 3);
    assert!(bodies.iter().all(|body| !body.is_empty()));
}

// The same path with certificates of the VMs: confirmations, permits, tables
// and requests are all sent by TLS.
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
        let matching = all.find(|(vm, _)| settings.vm.as_str() == *vm);
        let (_, files) = matching.expect("each VM has keys");
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
