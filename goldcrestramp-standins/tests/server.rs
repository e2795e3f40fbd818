//! The stand-in server, met as a keeper meets it.

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
/// The same, percent-encoded as a keeper sends it.
const ENCODED_KEY: &str = "shop%2D17";
const LONG_GRANT: TimeSpan = TimeSpan::from_millis(60_000);
const SHORT_GRANT: TimeSpan = TimeSpan::from_millis(100);

/// A server with its one granted slice.
struct Granted {
    server: ServerStandin,
    client: Client,
    reply: GrantReply,
}

impl Granted {
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
        self.run(id, class).send().await.expect("an answer")
    }

    async fn state(&self, method: &str, id: &str) -> RequestState {
        let id = id.replace('/', "%2F");
        let url = self.url(&format!("{method}/{id}"));
        let request = match method {
            "cancel" => self.client.post(url),
            _ => self.client.get(url),
        };
        let answer = request.send().await.expect("an answer");
        let report: RequestReport = answer.json().await.expect("a report");
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
    let answer = client.post(url).json(order).send().await;
    answer.expect("an answer").json().await.expect("a reply")
}

/// A server that holds slice 7 for `span`.
async fn granted(behaviour: ServerBehaviour, span: TimeSpan) -> Granted {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = ServerStandin::bind(any, behaviour).await.expect("a port");
    let client = Client::new();
    let asked = GrantOrder::default();
    let known = grant(&client, server.address(), &asked).await;
    let order = GrantOrder {
        service: Some("stock".to_owned().try_into().expect("a name")),
        token: token(1),
        slices: Some(slices()),
        deadline: known.clock + span,
        run: known.run,
        ..GrantOrder::default()
    };
    let reply = grant(&client, server.address(), &order).await;
    assert!(reply.accepted);
    Granted { server, client, reply }
}

fn slices() -> SliceSet {
    SliceIndex::new(7).into_iter().collect()
}

/// Long enough that a test can act while the work goes on.
fn slow_work() -> ServerBehaviour {
    let work = WorkTimes::fixed(400);
    ServerBehaviour { work, slots: 1, ..ServerBehaviour::default() }
}

fn refused_before_start(answer: &Response) -> bool {
    let started = answer.headers().get(HEADER_STARTED);
    started.is_some_and(|value| value == "not-started")
}

/// Whether the whole body came, and what a caller finds in it.
async fn look(answer: Response, id: &str) -> Option<AnswerCheck> {
    let body = answer.bytes().await.ok()?;
    Some(check_answer(&body, id, KEY))
}

#[tokio::test]
async fn orders_increment_and_lookups_read() {
    let granted = granted(ServerBehaviour::default(), LONG_GRANT).await;

    let first = granted.send("a/1", "order").await;
    let second = granted.send("a/2", "order").await;
    let lookup = granted.send("a/3", "lookup").await;
    let long = granted.send("a/4", "long").await;

    let whole = |value| Some(AnswerCheck::Whole { value });
    assert_eq!(look(first, "a/1").await, whole(1));
    assert_eq!(look(second, "a/2").await, whole(2));
    assert_eq!(look(lookup, "a/3").await, whole(2));
    assert_eq!(look(long, "a/4").await, whole(2));
    assert_eq!(granted.server.log().executions.len(), 4);
    assert_eq!(granted.server.log().holds.len(), 1);
}

// A caller's work waits in the socket of a frozen server until its grant
// has lapsed. On waking the server refuses it: another may own the key.
#[tokio::test]
async fn work_that_outlived_the_grant_in_a_frozen_server_never_starts() {
    let granted = granted(ServerBehaviour::default(), SHORT_GRANT).await;

    granted.server.freeze();
    let waiting = tokio::spawn(granted.run("a/1", "order").send());
    tokio::time::sleep(SHORT_GRANT.to_std() * 2).await;
    let silent = !waiting.is_finished();
    granted.server.thaw();
    let answer = waiting.await.expect("no panic").expect("an answer");

    assert!(silent);
    assert!(refused_before_start(&answer));
    assert_eq!(granted.server.log().executions, []);
}

// The same with a server that ignores its grant: the log shows it.
#[tokio::test]
async fn a_server_that_ignores_the_fence_runs_everything() {
    let granted = granted(ServerBehaviour::default(), SHORT_GRANT).await;
    let faults =
        ServerFaults { ignores_fence: true, ..ServerFaults::default() };

    granted.server.set_faults(faults);
    tokio::time::sleep(SHORT_GRANT.to_std() * 2).await;
    let answer = granted.send("a/1", "order").await;

    assert_eq!(answer.status(), StatusCode::OK);
    let log = granted.server.log();
    assert!(log.executions[0].started > log.holds[0].until);
}

// A server with one slot refuses a second request before its start, and
// tells a keeper that asks what became of each.
#[tokio::test]
async fn slots_are_bounded_and_states_are_told() {
    let granted = granted(slow_work(), LONG_GRANT).await;

    let first = tokio::spawn(granted.run("a/1", "order").send());
    let limit = Instant::now() + Duration::from_mins(1);
    while granted.state("request", "a/1").await != RequestState::Running {
        assert!(Instant::now() < limit, "the request never ran");
    }
    let second = granted.send("a/2", "order").await;
    let unseen = granted.state("request", "a/2").await;
    let first = first.await.expect("no panic").expect("an answer");
    let ended = granted.state("request", "a/1").await;
    let kept = granted.client.get(granted.url("answer/a%2F1")).send().await;

    assert_eq!(second.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused_before_start(&second));
    assert_eq!(unseen, RequestState::NotSeen);
    assert_eq!(ended, RequestState::Ended);
    let kept = kept.expect("an answer").bytes().await.expect("a body");
    assert_eq!(kept, first.bytes().await.expect("a body"));
}

// A request that is cancelled before it arrives never starts; a running
// order goes on, a running download is broken off.
#[tokio::test]
async fn cancellation_keeps_what_it_says() {
    let granted = granted(slow_work(), LONG_GRANT).await;

    let early = granted.state("cancel", "a/1").await;
    let late = granted.send("a/1", "order").await;
    let long = granted.send("a/2", "long").await;
    let running = granted.state("cancel", "a/2").await;
    let broken = long.bytes().await;

    assert_eq!(early, RequestState::NotStarted);
    assert!(refused_before_start(&late));
    assert_eq!(running, RequestState::Running);
    broken.expect_err("a connection that broke off");
    assert_eq!(granted.server.log().executions.len(), 1);
}

// Each fault of an answer, as the one who reads it finds it: `None` is a
// connection that broke off before the end.
#[tokio::test]
async fn faulty_answers_are_told_from_whole_ones() {
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

            let answer = granted.send("a/1", class).await;
            let found = look(answer, "a/1").await;

            assert_eq!(found, *expected, "{class} {faults:?}");
        }
    }
}

// Health and load endpoints can say anything; work is refused all the same
// when the server sheds or leaves.
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
    posted.send().await.expect("an answer");

    let health = granted.client.get(granted.url("health")).send().await;
    let work = granted.send("a/1", "lookup").await;

    assert_eq!(health.expect("an answer").status(), StatusCode::OK);
    assert!(refused_before_start(&work));
}

// A lost server falls silent on open connections and holds nothing more.
#[tokio::test]
async fn a_lost_server_is_silent() {
    let granted = granted(ServerBehaviour::default(), LONG_GRANT).await;

    granted.server.lose();
    let limit = Duration::from_millis(200);
    let answer = granted.run("a/1", "lookup").timeout(limit).send().await;

    answer.expect_err("silence");
    let hold = &granted.server.log().holds[0];
    assert!(hold.until.millis_since(hold.from) < LONG_GRANT.as_millis());
    assert!(granted.reply.deadline > ServerTime::default());
}
