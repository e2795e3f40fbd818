//! Peers authenticate by certificate; a peer without a valid one, or whose
//! claim does not match it, is refused.

mod peer_keys;

use std::{fs, net::SocketAddr, path::Path, sync::Arc, time::Duration};

use goldcrestramp_config::{NodeSettings, parse_settings};
use goldcrestramp_node::{PeerIncoming, PeerTls, PeerTlsError};
use goldcrestramp_wire::peer::ConfirmRequest;
use peer_keys::{TestAuthority, VmFiles, authority};
use rcgen::KeyPair;
use tokio::net::TcpListener;
use tonic::transport::{Certificate, ClientTlsConfig, Endpoint, Server};

fn settings(files: &VmFiles, deployment: &str, domain: &str) -> NodeSettings {
    let file = |name: &str| files.0.join(name).display().to_string();
    let text = format!(
        r#"{{ "deployment": "{deployment}", "vm": "vm-1",
        "domain": "{domain}", "region": "r",
        "callers_listen": "127.0.0.1:0", "peers_listen": "127.0.0.1:0",
        "control_listen": "127.0.0.1:0",
        "platform_url": "http://127.0.0.1:1",
        "operators": {{ "listen": "127.0.0.1:0" }},
        "peer_tls": {{ "authority_file": "{}",
        "certificate_file": "{}", "key_file": "{}" }} }}"#,
        file("authority.pem"),
        file("vm.pem"),
        file("vm.key"),
    );
    parse_settings("test", &text).expect("settings are valid")
}

/// Issues and opens the keys of vm-1 in `domain` of `deployment`.
fn peer(
    files: &VmFiles,
    authority: &TestAuthority,
    deployment: &str,
    domain: &str,
) -> Arc<PeerTls> {
    let own = format!("vm-1.{domain}.{deployment}.goldcrestramp");
    let common = format!("{deployment}.goldcrestramp");
    files.issue(authority, &[&own, &common]);
    let settings = settings(files, deployment, domain);
    PeerTls::open(&settings)
        .expect("keys are valid")
        .expect("TLS is configured")
}

mod claims {
    //! A control service that accepts only claims that pass the check.

    use std::{pin::Pin, sync::Arc};

    use futures_util::Stream;
    use goldcrestramp_node::{PeerTls, ProvenPeer};
    use goldcrestramp_wire::peer::{
        ConfirmReply, ConfirmRequest, PermitReply, PermitRequest, TableUpdate,
        TablesRequest, ViewReply, ViewRequest, control_server::Control,
    };
    use tonic::{Request, Response, Status, Streaming};

    /// The service of one VM.
    pub struct ClaimService(pub Arc<PeerTls>);

    type ReplyStream<T> =
        Pin<Box<dyn Stream<Item = Result<T, Status>> + Send>>;

    #[tonic::async_trait]
    impl Control for ClaimService {
        async fn confirm(
            &self,
            request: Request<ConfirmRequest>,
        ) -> Result<Response<ConfirmReply>, Status> {
            let message = request.get_ref();
            let (domain, vm) = (&message.domain, &message.vm);
            ProvenPeer::of(Some(&self.0), &request)?.check(domain, vm)?;
            Ok(Response::new(ConfirmReply::default()))
        }

        type PermitsStream = ReplyStream<PermitReply>;

        async fn permits(
            &self,
            _request: Request<Streaming<PermitRequest>>,
        ) -> Result<Response<Self::PermitsStream>, Status> {
            Err(Status::unimplemented("not used here"))
        }

        async fn view(
            &self,
            _request: Request<ViewRequest>,
        ) -> Result<Response<ViewReply>, Status> {
            Err(Status::unimplemented("not used here"))
        }

        type TablesStream = ReplyStream<TableUpdate>;

        async fn tables(
            &self,
            _request: Request<TablesRequest>,
        ) -> Result<Response<Self::TablesStream>, Status> {
            Err(Status::unimplemented("not used here"))
        }
    }
}

/// Serves peers with these keys; returns the address.
async fn serve(tls: &Arc<PeerTls>) -> SocketAddr {
    let any: SocketAddr = "127.0.0.1:0".parse().expect("address is valid");
    let listener = TcpListener::bind(any).await.expect("listener is bound");
    let address = listener.local_addr().expect("address is valid");
    let incoming = PeerIncoming::spawn(listener, Arc::clone(tls));
    let service = claims::ClaimService(Arc::clone(tls));
    let service =
        goldcrestramp_wire::peer::control_server::ControlServer::new(service);
    let server = Server::builder().add_service(service);
    tokio::spawn(server.serve_with_incoming(incoming));
    address
}

/// Sends a claim to the peer at `address`; returns the status code of its
/// response.
async fn send_claim(
    tls: &PeerTls,
    address: SocketAddr,
    domain: &str,
    vm: &str,
) -> Result<(), tonic::Code> {
    use goldcrestramp_wire::peer::control_client::ControlClient;
    let endpoint = Endpoint::from_shared(format!("https://{address}"));
    let endpoint =
        tls.secure(endpoint.expect("URL is valid")).expect("keys are valid");
    let endpoint = endpoint.timeout(Duration::from_secs(10));
    let channel = endpoint.connect().await;
    let channel = channel.map_err(|_error| tonic::Code::Unavailable)?;
    let request = ConfirmRequest {
        domain: domain.to_owned(),
        vm: vm.to_owned(),
        ..ConfirmRequest::default()
    };
    let response = ControlClient::new(channel).confirm(request).await;
    response.map(|_| ()).map_err(|status| status.code())
}

#[tokio::test]
async fn peers_of_one_deployment_connect() {
    let authority = authority();
    let (files, others) = (VmFiles::new("meet-a"), VmFiles::new("meet-b"));
    let server = peer(&files, &authority, "shop", "sierra-a");
    let client = peer(&others, &authority, "shop", "costa-a");
    let address = serve(&server).await;

    let response = send_claim(&client, address, "costa-a", "vm-1").await;

    assert_eq!(response, Ok(()));
}

// A VM of costa-a claims to belong to sierra-a, or to be another VM. If this
// were accepted, sierra-a's voters could elect a steward of costa-a.
#[tokio::test]
async fn a_claim_that_the_certificate_does_not_prove_is_refused() {
    let authority = authority();
    let (files, others) = (VmFiles::new("claim-a"), VmFiles::new("claim-b"));
    let server = peer(&files, &authority, "shop", "sierra-a");
    let client = peer(&others, &authority, "shop", "costa-a");
    let address = serve(&server).await;

    for (domain, vm) in [("sierra-a", "vm-1"), ("costa-a", "vm-2"), ("", "")] {
        let response = send_claim(&client, address, domain, vm).await;

        assert_eq!(response, Err(tonic::Code::PermissionDenied), "{domain}");
    }
}

// Another deployment with the same authority, and another authority: the
// connection itself is refused in both directions.
#[tokio::test]
async fn peers_of_another_deployment_or_authority_do_not_connect() {
    let (ours, theirs) = (authority(), authority());
    let names = ["other-a", "other-b", "other-c"];
    let [first, second, third] = names.map(VmFiles::new);
    let shop = peer(&first, &ours, "shop", "sierra-a");
    let club = peer(&second, &ours, "club", "sierra-a");
    let fake = peer(&third, &theirs, "shop", "sierra-a");

    for (server, client) in
        [(&shop, &club), (&club, &shop), (&shop, &fake), (&fake, &shop)]
    {
        let address = serve(server).await;
        let response = send_claim(client, address, "sierra-a", "vm-1").await;

        assert!(response.is_err());
    }
}

// A peer that trusts the authority but presents no certificate.
#[tokio::test]
async fn a_peer_without_a_certificate_is_refused() {
    use goldcrestramp_wire::peer::control_client::ControlClient;
    let authority = authority();
    let files = VmFiles::new("none");
    let server = peer(&files, &authority, "shop", "sierra-a");
    let address = serve(&server).await;
    let config = ClientTlsConfig::new()
        .ca_certificate(Certificate::from_pem(authority.pem()))
        .domain_name("shop.goldcrestramp");
    let endpoint = Endpoint::from_shared(format!("https://{address}"));
    let endpoint = endpoint.expect("URL is valid").tls_config(config);

    let response =
        match endpoint.expect("configuration is valid").connect().await {
            Ok(channel) => {
                let request = ConfirmRequest::default();
                ControlClient::new(channel).confirm(request).await.map(|_| ())
            }
            Err(error) => Err(tonic::Status::from_error(error.into())),
        };

    assert!(response.is_err());
}

// A peer without TLS, one that sends nothing and one that sends garbage are
// all refused, and none blocks the others.
#[tokio::test]
async fn half_open_and_plain_connections_block_no_other() {
    use tokio::io::AsyncWriteExt;
    let authority = authority();
    let (files, others) = (VmFiles::new("plain-a"), VmFiles::new("plain-b"));
    let server = peer(&files, &authority, "shop", "sierra-a");
    let client = peer(&others, &authority, "shop", "costa-a");
    let address = serve(&server).await;
    let open = || tokio::net::TcpStream::connect(address);
    let _silent = open().await.expect("connection succeeds");
    let mut garbage = open().await.expect("connection succeeds");
    garbage.write_all(b"PRI * HTTP/2.0\r\n").await.expect("bytes are sent");
    let plain = Endpoint::from_shared(format!("http://{address}"));
    let plain = plain.expect("URL is valid").connect().await;

    let response = send_claim(&client, address, "costa-a", "vm-1").await;

    assert_eq!(response, Ok(()));
    drop(plain);
}

// The operator replaces the files while the daemon runs, first one, then
// the others: the previous keys stay in use until all files match.
#[tokio::test]
async fn replaced_files_are_read_again() {
    let (old, new) = (authority(), authority());
    let (files, others) = (VmFiles::new("new-a"), VmFiles::new("new-b"));
    let server = peer(&files, &old, "shop", "sierra-a");
    let address = serve(&server).await;
    let previous = peer(&others, &old, "shop", "costa-a");

    fs::write(files.0.join("vm.key"), "half written")
        .expect("file is written");
    let half = send_claim(&previous, address, "costa-a", "vm-1").await;
    let names = ["vm-1.sierra-a.shop.goldcrestramp", "shop.goldcrestramp"];
    files.issue(&new, &names);
    let replaced = peer(&others, &new, "shop", "costa-a");
    let after = send_claim(&replaced, address, "costa-a", "vm-1").await;

    assert_eq!(half, Ok(()));
    assert_eq!(after, Ok(()));
}

#[test]
fn keys_that_name_another_vm_are_refused() {
    let authority = authority();
    let common = "shop.goldcrestramp";
    let own = "vm-1.sierra-a.shop.goldcrestramp";
    let cases: [&[&str]; 5] = [
        &[common],
        &["vm-2.sierra-a.shop.goldcrestramp", common],
        &["vm-1.costa-a.shop.goldcrestramp", common],
        &["vm-1.sierra-a.club.goldcrestramp", common],
        &[own, "vm-2.sierra-a.shop.goldcrestramp", common],
    ];
    for names in cases {
        let files = VmFiles::new("name");
        files.issue(&authority, names);

        let opened = PeerTls::open(&settings(&files, "shop", "sierra-a"));

        let expected = own.to_owned();
        let refused = PeerTlsError::OtherName { expected };
        assert_eq!(opened.expect_err("it is refused"), refused, "{names:?}");
    }
}

#[test]
fn unreadable_or_mismatched_files_are_refused() {
    let files = VmFiles::new("files");
    let names = ["vm-1.sierra-a.shop.goldcrestramp", "shop.goldcrestramp"];
    let settings = settings(&files, "shop", "sierra-a");
    let open = |file: &str, text: &str| {
        files.issue(&authority(), &names);
        fs::write(Path::new(&files.0).join(file), text)
            .expect("file is written");
        PeerTls::open(&settings).expect_err("it is refused")
    };
    let other = KeyPair::generate().expect("key is generated").serialize_pem();

    let no_key = open("vm.key", "");
    let no_certificate = open("vm.pem", "");
    let no_authority = open("authority.pem", "garbage");
    let other_key = open("vm.key", &other);

    assert!(matches!(no_key, PeerTlsError::Unreadable(..)));
    assert!(matches!(no_certificate, PeerTlsError::Unreadable(..)));
    assert!(matches!(no_authority, PeerTlsError::Unreadable(..)));
    assert!(matches!(other_key, PeerTlsError::Mismatch(_)), "{other_key}");
}
