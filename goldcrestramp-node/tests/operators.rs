//! The operators' listener refuses bad requests, each with its reason.

use std::{
    fs,
    path::PathBuf,
    sync::{Arc, Mutex},
};

use goldcrestramp_config::{ChangeTicket, DeploymentState, OperatorSettings};
use goldcrestramp_node::{
    ApplyOutcome, ExplainReport, OperatorControl, OperatorPolicy,
    OperatorRefusal, PolicyError, StatusReport, operator_routes,
};
use goldcrestramp_types::ServiceName;
use warp::{Filter, Reply, test::RequestBuilder};

const TICKET: &str = r#"{ "ticket": 1, // first
  "callers": [{ "name": "shop", "weight": 2 }] }"#;

/// A daemon that decides tickets by their number and has no other state.
#[derive(Clone, Default)]
struct ControlFake {
    refused: Arc<Mutex<Vec<OperatorRefusal>>>,
    applied: Arc<Mutex<Vec<u64>>>,
}

impl ControlFake {
    fn refused(&self) -> Vec<&'static str> {
        let refused = self.refused.lock().expect("lock is not poisoned");
        refused.iter().map(|refusal| refusal.code()).collect()
    }

    fn applied(&self) -> Vec<u64> {
        self.applied.lock().expect("lock is not poisoned").clone()
    }
}

impl OperatorControl for ControlFake {
    async fn status(&self) -> Option<StatusReport> {
        None
    }

    async fn config(&self) -> Option<DeploymentState> {
        None
    }

    async fn explain(
        &self,
        _service: &ServiceName,
        _key: &str,
    ) -> Option<ExplainReport> {
        None
    }

    async fn apply(&self, ticket: ChangeTicket) -> ApplyOutcome {
        self.applied.lock().expect("lock is not poisoned").push(ticket.ticket);
        let state = DeploymentState { version: 4, ..Default::default() };
        match ticket.ticket {
            1 => ApplyOutcome::Accepted(Box::new(state)),
            2 => ApplyOutcome::Unknown("lost".to_owned()),
            _ => ApplyOutcome::NotApplied("down".to_owned()),
        }
    }

    fn metrics(&self) -> String {
        "# counters".to_owned()
    }

    fn readiness(&self) -> Result<(), &'static str> {
        Err("no routing table yet")
    }

    fn count_refusal(&self, refusal: OperatorRefusal) {
        self.refused.lock().expect("lock is not poisoned").push(refusal);
    }
}

/// A token file of one test, removed on drop.
struct TokenFile(PathBuf);

impl TokenFile {
    fn new(name: &str, token: &str) -> Self {
        let file = format!("goldcrestramp-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(file);
        fs::write(&path, token).expect("file is written");
        Self(path)
    }

    fn policy(&self) -> OperatorPolicy {
        let settings = settings("0.0.0.0:1", Some(self.0.clone()));
        OperatorPolicy::open(&settings).expect("policy is valid")
    }
}

impl Drop for TokenFile {
    fn drop(&mut self) {
        drop(fs::remove_file(&self.0));
    }
}

fn settings(listen: &str, token_file: Option<PathBuf>) -> OperatorSettings {
    let listen = listen.parse().expect("address is valid");
    OperatorSettings { listen, token_file }
}

fn loopback() -> OperatorPolicy {
    OperatorPolicy::open(&settings("127.0.0.1:1", None))
        .expect("policy is valid")
}

fn get(path: &str) -> RequestBuilder {
    warp::test::request().path(path)
}

fn post(body: &str) -> RequestBuilder {
    get("/tickets")
        .method("POST")
        .header("content-type", "application/json")
        .body(body)
}

/// The status and body of the response to `request`.
async fn send(
    control: &ControlFake,
    policy: OperatorPolicy,
    request: RequestBuilder,
) -> (u16, String) {
    let routes = operator_routes(control.clone(), policy);
    let routes = routes.map(Reply::into_response);
    let response = request.reply(&routes).await;
    let body = String::from_utf8_lossy(response.body()).into_owned();
    (response.status().as_u16(), body)
}

#[test]
fn a_listener_off_loopback_needs_a_token() {
    let open = OperatorPolicy::open(&settings("10.0.0.1:1", None));
    let gone = PathBuf::from("/nowhere/token");
    let missing =
        OperatorPolicy::open(&settings("127.0.0.1:1", Some(gone.clone())));
    let blank = TokenFile::new("blank", " \n");
    let empty =
        OperatorPolicy::open(&settings("127.0.0.1:1", Some(blank.0.clone())));

    assert_eq!(open.expect_err("it is refused"), PolicyError::TokenNeeded);
    let unreadable = PolicyError::TokenUnreadable;
    assert_eq!(missing.expect_err("it is refused"), unreadable(gone));
    assert_eq!(empty.expect_err("it is refused"), unreadable(blank.0.clone()));
}

#[tokio::test]
async fn guarded_paths_need_the_right_token() {
    let file = TokenFile::new("guard", "s3cret\n");
    let cases = [
        (None, 401, "no-token"),
        (Some("Basic s3cret"), 401, "no-token"),
        (Some("Bearer "), 401, "wrong-token"),
        (Some("Bearer s3cre"), 401, "wrong-token"),
        (Some("Bearer s3cretx"), 401, "wrong-token"),
        (Some("Bearer S3cret"), 401, "wrong-token"),
    ];
    for path in ["/metrics", "/status", "/config", "/explain?service=a&key=b"]
    {
        for (header, status, code) in cases {
            let control = ControlFake::default();
            let request = match header {
                Some(header) => get(path).header("authorization", header),
                None => get(path),
            };

            let response = send(&control, file.policy(), request).await;

            assert_eq!(response, (status, code.to_owned()), "{path}");
            assert_eq!(control.refused(), [code]);
        }
    }
    let control = ControlFake::default();
    let right = get("/metrics").header("authorization", "Bearer s3cret");
    assert_eq!(send(&control, file.policy(), right).await.0, 200);
}

#[tokio::test]
async fn a_ticket_without_the_token_is_not_even_read() {
    let file = TokenFile::new("ticket", "s3cret");
    let control = ControlFake::default();

    let response = send(&control, file.policy(), post(TICKET)).await;

    assert_eq!(response, (401, "no-token".to_owned()));
    assert!(control.applied().is_empty());
}

#[tokio::test]
async fn a_replaced_token_counts_at_once_and_a_removed_one_refuses_all() {
    let file = TokenFile::new("replaced", "old");
    let policy = file.policy();
    let with = |token: &str| {
        get("/metrics").header("authorization", format!("Bearer {token}"))
    };
    let control = ControlFake::default();

    fs::write(&file.0, "new").expect("file is written");
    let old = send(&control, policy.clone(), with("old")).await;
    let new = send(&control, policy.clone(), with("new")).await;
    fs::remove_file(&file.0).expect("file exists");
    let gone = send(&control, policy, with("new")).await;

    assert_eq!((old.0, new.0), (401, 200));
    assert_eq!(gone, (503, "token-unreadable".to_owned()));
}

#[tokio::test]
async fn health_needs_no_token_and_readiness_gives_its_reason() {
    let file = TokenFile::new("health", "s3cret");
    let control = ControlFake::default();

    let alive = send(&control, file.policy(), get("/healthz")).await;
    let ready = send(&control, file.policy(), get("/readyz")).await;

    assert_eq!(alive, (200, "alive".to_owned()));
    assert_eq!(ready, (503, "no routing table yet".to_owned()));
}

/// Guards against cross-site requests: a web page can make an operator's
/// browser post a plain form to loopback, but not one of type JSON.
#[tokio::test]
async fn a_form_posted_by_a_browser_applies_no_ticket() {
    for content_type in ["text/plain", "application/x-www-form-urlencoded", ""]
    {
        let control = ControlFake::default();
        let request = get("/tickets")
            .method("POST")
            .header("content-type", content_type)
            .body(TICKET);

        let response = send(&control, loopback(), request).await;

        assert_eq!(
            response,
            (415, "content-type".to_owned()),
            "{content_type}"
        );
        assert!(control.applied().is_empty());
    }
}

#[tokio::test]
async fn each_outcome_of_a_ticket_has_its_status() {
    let large = format!("{{ \"ticket\": 1 {} }}", " ".repeat(1_100_000));
    let cases = [
        (TICKET.to_owned(), 200, "accepted"),
        (TICKET.replace("1,", "2,"), 504, "unknown"),
        (TICKET.replace("1,", "3,"), 503, "not-applied"),
        (TICKET.replace("weight", "height"), 400, "refused"),
        ("garbage".to_owned(), 400, "refused"),
        (large, 413, ""),
    ];
    for (body, status, outcome) in cases {
        let control = ControlFake::default();

        let response = send(&control, loopback(), post(&body)).await;

        let expected = format!("\"outcome\":\"{outcome}\"");
        assert_eq!(response.0, status, "{}", response.1);
        assert!(outcome.is_empty() || response.1.contains(&expected));
    }
}

#[tokio::test]
async fn queries_that_cannot_be_answered_are_refused() {
    let cases = [
        ("/explain", 400, "bad-query"),
        ("/explain?service=a%20b&key=k", 400, "bad-query"),
        ("/explain?service=stock", 400, "bad-query"),
        ("/explain?service=stock&key=k", 404, "unknown-service"),
        ("/status", 503, "ended"),
        ("/config", 503, "ended"),
    ];
    for (path, status, code) in cases {
        let control = ControlFake::default();

        let response = send(&control, loopback(), get(path)).await;

        assert_eq!(response, (status, code.to_owned()), "{path}");
        assert_eq!(control.refused(), [code]);
    }
}
