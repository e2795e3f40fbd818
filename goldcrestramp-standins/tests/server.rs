//! Tests of the stand-in server, called as a keeper calls it.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use goldcrestramp_standins::{
    AnswerCheck, check_answer,
    server::{ServerBehaviour, ServerFaults, ServerStandin, WorkTimes},
};
use goldcrestramp_types::{
    FenceToken, ServerTime, SliceIndex, SliceSet, TermId, TimeSpan,
};
use goldcrestramp_wire::server::{
    GrantOrder, GrantReply, HEADER_CLASS, HEADER_KEY, HEADER_REQUEST,
    HEADER_SERVICE, HEADER_SLICE, HEADER_START_BY, HEADER_STARTED,
    HEADER_TOKEN, RequestReport, RequestState, encode_token,
};
use reqwest::{Client, RequestBuilder, Response, StatusCode};

const KEY: &str = "shop-17";
/// `KEY`, percent-encoded as a keeper sends it.
const ENCODED_KEY: &str = "shop%2D17";
const LONG_GRANT: TimeSpan = TimeSpan::from_millis(60_000);
const SHORT_GRANT: TimeSpan = TimeSpan::from_millis(100);

/// A server with one granted slice.
struct GrantedServer {
    server: ServerStandin,
    client: Client,
    reply: GrantReply,
}

impl GrantedServer {
    fn url(&self, path: &str) -> String {
        format!("http://{}/{path}", self.server.address())
    }

    fn run(&self, id: &str, class: &str) -> RequestBuilder {
        let start_by = self.reply.clock + LONG_GRANT;
        self.client
            .post(self.url("run"))
            .header(HEADER_REQUEST, id)
            .header(HEADER_SERVICE, "stock")
            .header(HEADER_KEY, ENCODED_KEY)
            .header(HEADER_SLICE, "7")
            .header(HEADER_CLASS, class)
            .header(HEADER_TOKEN, encode_token(token(1)))
            .header(HEADER_START_BY, start_by.as_micros())
    }

    async fn send(&self, id: &str, class: &str) -> Response {
        self.run(id, class).send().await.expect("server responds")
    }

    async fn state(&self, method: &str, id: &str) -> RequestState {
        let id = id.replace('/', "%2F");
        let url = self.url(&format!("{method}/{id}"));
        let request = match method {
            "cancel" => self.client.post(url),
            _ => self.client.get(url),
        };
        let response = request.send().await.expect("server responds");
        let report: RequestReport =
            response.json().await.expect("report parses");
        report.state
    }
}

fn token(sequence: u64) -> FenceToken {
    FenceToken { term: TermId::default(), sequence }
}

async fn grant(
    client: &Client,
    address: SocketAddr,
    order: &GrantOrder,
) -> GrantReply {
    let url = format!("http://{address}/grant");
    let response = client.post(url).json(order).send().await;
    response.expect("server responds").json().await.expect("reply parses")
}

/// Binds a server that holds slice 7 for `span`.
async fn granted(behaviour: ServerBehaviour, span: TimeSpan) -> GrantedServer {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server =
        ServerStandin::bind(any, behaviour).await.expect("port is free");
    let client = Client::new();
    let query = GrantOrder::default();
    let instance = grant(&client, server.address(), &query).await;
    let order = GrantOrder {
        service: Some("stock".to_owned().try_into().expect("name is valid")),
        token: token(1),
        slices: Some(slices()),
        deadline: instance.clock + span,
        run: instance.run,
        ..GrantOrder::default()
    };
    let reply = grant(&client, server.address(), &order).await;
    assert!(reply.accepted);
    GrantedServer { server, client, reply }
}

fn slices() -> SliceSet {
    SliceIndex::new(7).into_iter().collect()
}

/// Work that is long enough for a test to act before it ends.
fn slow_work() -> ServerBehaviour {
    let work = WorkTimes::fixed(400);
    ServerBehaviour { work, slots: 1, ..ServerBehaviour::default() }
}

fn refused_before_start(response: &Response) -> bool {
    let started = response.headers().get(HEADER_STARTED);
    started.is_some_and(|value| value == "not-started")
}

/// Reads the body and checks it as a caller does; `None` if it broke off.
async fn check_body(response: Response, id: &str) -> Option<AnswerCheck> {
    let body = response.bytes().await.ok()?;
    Some(check_answer(&body, id, KEY))
}

#[tokio::test]
async fn orders_increment_and_lookups_read() {
    let granted = granted(ServerBehaviour::default(), LONG_GRANT).await;

    let first = granted.send("a/1", "order").await;
    let second = granted.send("a/2", "order").await;
    let lookup = granted.send("a/3", "lookup").await;
    let long = granted.send("a/4", "long").await;

    let complete = |value| Some(AnswerCheck::Whole { value });
    assert_eq!(check_body(first, "a/1").await, complete(1));
    assert_eq!(check_body(second, "a/2").await, complete(2));
    assert_eq!(check_body(lookup, "a/3").await, complete(2));
    assert_eq!(check_body(long, "a/4").await, complete(2));
    assert_eq!(granted.server.log().executions.len(), 4);
    assert_eq!(granted.server.log().holds.len(), 1);
}

// A request waits in the socket of a frozen server until the server's grant
// has expired. After the thaw the server refuses it, because another server
// may own the key.
#[tokio::test]
async fn a_frozen_server_does_not_start_work_after_its_grant_expired() {
    let granted = granted(ServerBehaviour::default(), SHORT_GRANT).await;

    granted.server.freeze();
    let waiting = tokio::spawn(granted.run("a/1", "order").send());
    tokio::time::sleep(SHORT_GRANT.to_std() * 2).await;
    let silent = !waiting.is_finished();
    granted.server.thaw();
    let response =
        waiting.await.expect("task does not panic").expect("server responds");

    assert!(silent);
    assert!(refused_before_start(&response));
    assert_eq!(granted.server.log().executions, []);
}

// The same with a server that ignores its grant: its log shows the violation.
#[tokio::test]
async fn a_server_that_ignores_the_fence_runs_every_request() {
    let granted = granted(ServerBehaviour::default(), SHORT_GRANT).await;
    let faults =
        ServerFaults { ignores_fence: true, ..ServerFaults::default() };

    granted.server.set_faults(faults);
    tokio::time::sleep(SHORT_GRANT.to_std() * 2).await;
    let response = granted.send("a/1", "order").await;

    assert_eq!(response.status(), StatusCode::OK);
    let log = granted.server.log();
    assert!(log.executions[0].started > log.holds[0].until);
}

// A server with one slot refuses a second request before its start, and
// reports the state of each request to a keeper.
#[tokio::test]
async fn slots_are_bounded_and_request_states_are_reported() {
    let granted = granted(slow_work(), LONG_GRANT).await;

    let first = tokio::spawn(granted.run("a/1", "order").send());
    let limit = Instant::now() + Duration::from_mins(1);
    while granted.state("request", "a/1").await != RequestState::Running {
        assert!(Instant::now() < limit, "request does not start");
    }
    let second = granted.send("a/2", "order").await;
    let unseen = granted.state("request", "a/2").await;
    let first =
        first.await.expect("task does not panic").expect("server responds");
    let ended = granted.state("request", "a/1").await;
    let kept = granted.client.get(granted.url("answer/a%2F1")).send().await;

    assert_eq!(second.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused_before_start(&second));
    assert_eq!(unseen, RequestState::NotSeen);
    assert_eq!(ended, RequestState::Ended);
    let kept = kept
        .expect("server responds")
        .bytes()
        .await
        .expect("body is complete");
    assert_eq!(kept, first.bytes().await.expect("body is complete"));
}

// A request that is cancelled before it arrives never starts; a running order
// continues, a running download is broken off.
#[tokio::test]
async fn cancellation_prevents_starts_and_breaks_off_downloads() {
    let granted = granted(slow_work(), LONG_GRANT).await;

    let early = granted.state("cancel", "a/1").await;
    let late = granted.send("a/1", "order").await;
    let long = granted.send("a/2", "long").await;
    let running = granted.state("cancel", "a/2").await;
    let broken = long.bytes().await;

    assert_eq!(early, RequestState::NotStarted);
    assert!(refused_before_start(&late));
    assert_eq!(running, RequestState::Running);
    broken.expect_err("connection is closed");
    assert_eq!(granted.server.log().executions.len(), 1);
}

// Each fault of a response, as its reader sees it: `None` is a connection that
// was closed before the end.
#[tokio::test]
async fn faulty_responses_are_distinguished_from_complete_ones() {
    let crossed = ServerFaults { crossed: 1, ..ServerFaults::default() };
    let truncated = ServerFaults { truncated: 1, ..ServerFaults::default() };
    let shortened = ServerFaults { shortened: 1, ..ServerFaults::default() };
    let doubled = ServerFaults { doubled: 1, ..ServerFaults::default() };
    let cases = [
        (crossed, Some(AnswerCheck::Wrong)),
        (truncated, None),
        (shortened, Some(AnswerCheck::Cut)),
        (doubled, Some(AnswerCheck::Wrong)),
    ];
    for class in ["lookup", "long"] {
        let granted = granted(ServerBehaviour::default(), LONG_GRANT).await;
        granted.send("a/0", class).await;
        for (faults, expected) in &cases {
            granted.server.set_faults(faults.clone());

            let response = granted.send("a/1", class).await;
            let found = check_body(response, "a/1").await;

            assert_eq!(found, *expected, "{class} {faults:?}");
        }
    }
}

// Health and load endpoints can report false values; work is refused all the
// same if the server sheds or drains.
#[tokio::test]
async fn endpoints_can_lie_while_work_is_refused() {
    let granted = granted(ServerBehaviour::default(), LONG_GRANT).await;
    let faults = ServerFaults {
        draining: true,
        health_lie: Some(true),
        load_lie: Some(0),
        ..ServerFaults::default()
    };
    let posted = granted.client.post(granted.url("faults")).json(&faults);
    posted.send().await.expect("server responds");

    let health = granted.client.get(granted.url("health")).send().await;
    let work = granted.send("a/1", "lookup").await;

    assert_eq!(health.expect("server responds").status(), StatusCode::OK);
    assert!(refused_before_start(&work));
}

// A lost server is silent on open connections and holds no slices any more.
#[tokio::test]
async fn a_lost_server_is_silent() {
    let granted = granted(ServerBehaviour::default(), LONG_GRANT).await;

    granted.server.lose();
    let limit = Duration::from_millis(200);
    let response = granted.run("a/1", "lookup").timeout(limit).send().await;

    response.expect_err("server is silent");
    let hold = &granted.server.log().holds[0];
    assert!(hold.until.millis_since(hold.from) < LONG_GRANT.as_millis());
    assert!(granted.reply.deadline > ServerTime::default());
}
