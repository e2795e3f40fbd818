//! One attempt of a caller, from send to outcome.

use std::{error::Error, net::SocketAddr, sync::Arc, time::Duration};

use goldcrestramp_types::RequestClass;
use reqwest::{Client, Method, Response};
use serde::Deserialize;

use crate::{
    answer::check_answer,
    records::{CallEntry, CallOutcome, MachineTime},
};

/// How long after its deadline a caller still waits for an outcome.
const RESPONSE_GRACE: Duration = Duration::from_secs(3);

/// One request, as its caller issues it.
#[derive(Clone, Debug)]
pub(super) struct CallRequest {
    pub(super) service: Arc<str>,
    pub(super) class: RequestClass,
    pub(super) caller: String,
    /// The request's id, unique for its caller.
    pub(super) id: String,
    pub(super) key: Arc<str>,
    pub(super) body_bytes: usize,
    pub(super) deadline_ms: u64,
    pub(super) intended: MachineTime,
    pub(super) resend: bool,
}

impl CallRequest {
    /// The id that servers see.
    pub(super) fn request(&self) -> String {
        format!("{}/{}", self.caller, self.id)
    }

    /// Creates the record of an attempt that ends now.
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
            error: None,
        }
    }
}

/// The body of a response that the router wrote itself.
#[derive(Debug, Deserialize)]
struct ProblemBody {
    reason: String,
}

/// Sends a request to the first of `targets` that accepts a connection.
pub(super) async fn send_call(
    http: &Client,
    targets: &[SocketAddr],
    call: &CallRequest,
) -> CallEntry {
    let sent = MachineTime::now();
    for target in targets {
        match request(http, *target, call).send().await {
            Ok(response) => {
                let outcome = read_outcome(response, call).await;
                return call.entry(sent, outcome);
            }
            Err(error) if error.is_connect() => {}
            Err(error) => {
                let reason =
                    if error.is_timeout() { "silence" } else { "broken-off" };
                let error = error_chain(*target, &error);
                let entry = call.entry(sent, unknown(reason));
                return CallEntry { error: Some(error), ..entry };
            }
        }
    }
    let reason = Arc::from("no-gateway");
    call.entry(sent, CallOutcome::NotRun { reason })
}

/// Formats an error with its sources, and the address that was called.
fn error_chain(target: SocketAddr, error: &reqwest::Error) -> Arc<str> {
    let mut text = format!("{target}: {error}");
    let mut source = error.source();
    while let Some(error) = source {
        text = format!("{text}: {error}");
        source = error.source();
    }
    Arc::from(text)
}

fn request(
    http: &Client,
    target: SocketAddr,
    call: &CallRequest,
) -> reqwest::RequestBuilder {
    let method = match call.class {
        RequestClass::Order => Method::POST,
        RequestClass::Lookup | RequestClass::Long => Method::GET,
    };
    let url = format!("http://{target}/v1/{}/{}", call.service, call.key);
    let timeout = Duration::from_millis(call.deadline_ms) + RESPONSE_GRACE;
    let mut request = http
        .request(method, url)
        .timeout(timeout)
        .header("goldcrestramp-caller", &call.caller)
        .header("goldcrestramp-request", &call.id)
        .header("goldcrestramp-class", call.class.code())
        .header("goldcrestramp-deadline-ms", call.deadline_ms);
    if call.resend {
        request = request.header("goldcrestramp-resend", "true");
    }
    if call.class == RequestClass::Order {
        request = request.body(vec![b'x'; call.body_bytes]);
    }
    request
}

/// Reads the outcome from a response.
async fn read_outcome(response: Response, call: &CallRequest) -> CallOutcome {
    let outcome = response.headers().get("goldcrestramp-outcome");
    let outcome = outcome.and_then(|value| value.to_str().ok());
    match outcome.map(str::to_owned).as_deref() {
        Some("done") => read_answer(response, call).await,
        Some("not-run") => {
            CallOutcome::NotRun { reason: read_reason(response).await }
        }
        Some("unknown") => {
            CallOutcome::Unknown { reason: read_reason(response).await }
        }
        _ => unknown("no-outcome"),
    }
}

/// Reads and checks the server's response body.
async fn read_answer(response: Response, call: &CallRequest) -> CallOutcome {
    match response.bytes().await {
        Ok(body) => {
            let answer = check_answer(&body, &call.request(), &call.key);
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
