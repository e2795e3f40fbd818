//! A client of the daemons' operators' listeners.

use std::{fmt, path::PathBuf, time::Duration};

use clap::ArgMatches;
use reqwest::{Client, RequestBuilder, StatusCode};
use serde::de::DeserializeOwned;

use super::arguments;

/// A daemon responds in milliseconds. A ticket waits for the store, where a
/// daemon's calls time out after two seconds each.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// A VM that accepts no connection by then is unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// An HTTP client for several operators' listeners.
#[derive(Clone, Debug)]
pub(super) struct OperatorClient {
    http: Client,
    token: Option<String>,
}

/// Why a VM gave no usable response.
#[derive(Clone, Debug)]
pub(super) enum ClientError {
    /// No response arrived; nothing was sent unless `sent`.
    Unreachable {
        /// What failed.
        why: String,
        /// Whether the request may have arrived.
        sent: bool,
    },
    /// The VM refused with this status and text.
    Refused(StatusCode, String),
    /// The response could not be parsed.
    Malformed(String),
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable { why, .. } => write!(f, "no answer: {why}"),
            Self::Refused(status, why) => write!(f, "{status}: {why}"),
            Self::Malformed(why) => write!(f, "malformed answer: {why}"),
        }
    }
}

impl OperatorClient {
    /// Creates a client with the token that the command line names.
    pub(super) fn open(matches: &ArgMatches) -> eyre::Result<Self> {
        let file = matches.get_one::<PathBuf>("token-file");
        let token = file.map(std::fs::read_to_string).transpose()?;
        let token = token.map(|token| token.trim().to_owned());
        let http = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(RESPONSE_TIMEOUT)
            .build()?;
        Ok(Self { http, token })
    }

    /// Fetches `path` from the VM at `base`.
    pub(super) async fn get<T: DeserializeOwned>(
        &self,
        base: &str,
        path: &str,
    ) -> Result<T, ClientError> {
        let request = self.http.get(url(base, path));
        let (status, body) = self.send(request).await?;
        if status.is_success() {
            return parse(&body);
        }
        Err(ClientError::Refused(status, body))
    }

    /// Sends a ticket to the VM at `base` and parses the response, whatever
    /// its status.
    pub(super) async fn post_ticket<T: DeserializeOwned>(
        &self,
        base: &str,
        ticket: &str,
    ) -> Result<T, ClientError> {
        let request = self.http.post(url(base, "/tickets"));
        let request = request.header("content-type", "application/json");
        let (status, body) =
            self.send(request.body(ticket.to_owned())).await?;
        parse(&body).map_err(|error| match error {
            ClientError::Malformed(_) if !status.is_success() => {
                ClientError::Refused(status, body)
            }
            other => other,
        })
    }

    async fn send(
        &self,
        request: RequestBuilder,
    ) -> Result<(StatusCode, String), ClientError> {
        let request = match &self.token {
            Some(token) => request.bearer_auth(token),
            None => request,
        };
        let response = request.send().await.map_err(unreachable)?;
        let status = response.status();
        let body = response.text().await.map_err(unreachable)?;
        Ok((status, body))
    }
}

/// Runs a subcommand's future on its own runtime.
pub(super) fn block_on<T>(work: impl Future<Output = T>) -> eyre::Result<T> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(runtime.block_on(work))
}

/// Returns a client and the values of `--vm`.
pub(super) fn open(
    matches: &ArgMatches,
) -> eyre::Result<(OperatorClient, Vec<String>)> {
    Ok((OperatorClient::open(matches)?, arguments::vm_urls(matches)))
}

fn url(base: &str, path: &str) -> String {
    format!("{}{path}", base.trim_end_matches('/'))
}

fn parse<T: DeserializeOwned>(body: &str) -> Result<T, ClientError> {
    serde_json::from_str(body)
        .map_err(|error| ClientError::Malformed(error.to_string()))
}

#[expect(clippy::needless_pass_by_value, reason = "passed to map_err")]
fn unreachable(error: reqwest::Error) -> ClientError {
    let source = std::error::Error::source(&error);
    let cause = source.map_or_else(String::new, |s| format!(": {s}"));
    let sent = !error.is_connect();
    ClientError::Unreachable { why: format!("{error}{cause}"), sent }
}
