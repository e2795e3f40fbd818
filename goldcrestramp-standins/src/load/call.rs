//! One call of a caller, from sending to outcome.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use goldcrestramp_types::RequestClass;
use reqwest::{Client, Method, Response};
use serde::Deserialize;

use crate::{
    answer::check_answer,
    records::{CallEntry, CallOutcome, MachineTime},
};

/// How much longer than its deadline a caller waits for an outcome.
const PATIENCE: Duration = Duration::from_secs(3);

/// One request as its caller wants it.
#[derive(Clone, Debug)]
pub(super) struct CallOrder {
    pub(super) service: Arc<str>,
    pub(super) class: RequestClass,
    pub(super) caller: String,
    /// The caller's own id of the request.
    pub(super) id: String,
    pub(super) key: Arc<str>,
    pub(super) body_bytes: usize,
    pub(super) deadline_ms: u64,
    pub(super) intended: MachineTime,
    pub(super) resend: bool,
}

impl CallOrder {
    /// The id under which servers know the request.
    pub(super) fn request(&self) -> String {
        format!("{}/{}", self.caller, self.id)
    }

    /// The entry of an attempt that ends now.
    pub(super) fn entry(
        &self,
        sent: MachineTime,
        outcome: CallOutcome,
    ) -> CallEntry {
        CallEntry {
            request: Arc::from(self.request()),
            service: Arc::clone(&self.service),
            key: Arc::clone(&self.key),
            class: self.class,
            intended: self.intended,
            sent,
            ended: MachineTime::now(),
            outcome,
        }
    }
}

/// The body of an answer that is not the server's own.
#[derive(Debug, Deserialize)]
struct ProblemBody {
    reason: String,
}

/// Sends a request to the first of `targets` that takes a connection.
pub(super) async fn send_call(
    http: &Client,
    targets: &[SocketAddr],
    order: &CallOrder,
) -> CallEntry {
    let sent = MachineTime::now();
    for target in targets {
        match request(http, *target, order).send().await {
            Ok(response) => {
                let outcome = read_outcome(response, order).await;
                return order.entry(sent, outcome);
            }
            Err(error) if error.is_connect() => {}
            Err(error) => {
                let reason =
                    if error.is_timeout() { "silence" } else { "broken-off" };
                return order.entry(sent, unknown(reason));
            }
        }
    }
    let reason = Arc::from("no-gateway");
    order.entry(sent, CallOutcome::NotRun { reason })
}

fn request(
    http: &Client,
    target: SocketAddr,
    order: &CallOrder,
) -> reqwest::RequestBuilder {
    let method = match order.class {
        RequestClass::Order => Method::POST,
        RequestClass::Lookup | RequestClass::Long => Method::GET,
    };
    let url = format!("http://{target}/v1/{}/{}", order.service, order.key);
    let patience = Duration::from_millis(order.deadline_ms) + PATIENCE;
    let mut request = http
        .request(method, url)
        .timeout(patience)
        .header("goldcrestramp-caller", &order.caller)
        .header("goldcrestramp-request", &order.id)
        .header("goldcrestramp-class", order.class.code())
        .header("goldcrestramp-deadline-ms", order.deadline_ms);
    if order.resend {
        request = request.header("goldcrestramp-resend", "true");
    }
    if order.class == RequestClass::Order {
        request = request.body(vec![b'x'; order.body_bytes]);
    }
    request
}

/// Reads what an answer says of the request.
async fn read_outcome(response: Response, order: &CallOrder) -> CallOutcome {
    let outcome = response.headers().get("goldcrestramp-outcome");
    let outcome = outcome.and_then(|value| value.to_str().ok());
    match outcome.map(str::to_owned).as_deref() {
        Some("done") => read_answer(response, order).await,
        Some("not-run") => {
            CallOutcome::NotRun { reason: read_reason(response).await }
        }
        Some("unknown") => {
            CallOutcome::Unknown { reason: read_reason(response).await }
        }
        _ => unknown("no-outcome"),
    }
}

/// Reads and checks the server's answer.
async fn read_answer(response: Response, order: &CallOrder) -> CallOutcome {
    match response.bytes().await {
        Ok(body) => {
            let answer = check_answer(&body, &order.request(), &order.key);
            CallOutcome::Done { answer }
        }
        Err(_broken) => unknown("answer-broken-off"),
    }
}

async fn read_reason(response: Response) -> Arc<str> {
    match response.json::<ProblemBody>().await {
        Ok(problem) => Arc::from(problem.reason),
        Err(_malformed) => Arc::from("no-reason"),
    }
}

fn unknown(reason: &str) -> CallOutcome {
    CallOutcome::Unknown { reason: Arc::from(reason) }
}
