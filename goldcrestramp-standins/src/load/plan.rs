//! Defines what a load run sends, to which targets and for how long.

use std::{fmt, net::SocketAddr};

use goldcrestramp_types::RequestClass;
use serde::{Deserialize, Serialize};

/// The longest run, in seconds.
const MAX_SECONDS: u64 = 3_600;
/// The maximum arrivals a second, over all streams.
const MAX_RATE: f64 = 200_000.0;
/// The maximum number of keys of a stream.
const MAX_KEYS: usize = 1_000_000;
/// The maximum number of requests that a run sends.
const MAX_REQUESTS: f64 = 20_000_000.0;

/// Requests of one class to one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadStream {
    /// The service.
    pub service: String,
    /// The class of its requests.
    pub class: RequestClass,
    /// Mean arrivals a second.
    pub requests_per_s: f64,
    /// How many callers send them.
    pub callers: usize,
    /// How many keys they use.
    pub keys: usize,
    /// The exponent of the keys' Zipf distribution; 0 is uniform.
    pub zipf_exponent: f64,
    /// How many of the hottest keys are replaced every ten seconds.
    pub hot_keys: usize,
    /// A request's body, in bytes.
    pub request_bytes: usize,
    /// A request's deadline, in milliseconds from its sending.
    pub deadline_ms: u64,
}

/// A complete run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPlan {
    /// The gateways; each request goes to one at random.
    pub targets: Vec<SocketAddr>,
    /// The streams of requests, which run at the same time.
    pub streams: Vec<LoadStream>,
    /// How long requests arrive, in seconds.
    pub seconds: u64,
    /// The seed of arrivals, callers and keys.
    pub seed: u64,
    /// The maximum number of requests in flight; more are counted as
    /// `load-full`.
    pub under_way: usize,
    /// Whether targets off loopback are allowed.
    pub allow_remote: bool,
}

/// Why a plan is rejected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlanError {
    /// It names no target or no stream.
    Empty,
    /// A target is not on loopback, and remote targets are not allowed.
    Remote(SocketAddr),
    /// A number is out of range; the text names it.
    OutOfRange(&'static str),
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(f, "no target or no stream"),
            Self::Remote(target) => {
                write!(f, "{target} is off loopback; --allow-remote allows it")
            }
            Self::OutOfRange(what) => write!(f, "out of range: {what}"),
        }
    }
}

impl std::error::Error for PlanError {}

impl LoadPlan {
    /// Checks that the run is bounded and its targets are allowed.
    ///
    /// # Errors
    ///
    /// The first [`PlanError`] that is found.
    pub fn check(&self) -> Result<(), PlanError> {
        if self.targets.is_empty() || self.streams.is_empty() {
            return Err(PlanError::Empty);
        }
        let remote = self.targets.iter().find(|t| !t.ip().is_loopback());
        if let (Some(target), false) = (remote, self.allow_remote) {
            return Err(PlanError::Remote(*target));
        }
        if self.seconds == 0 || self.seconds > MAX_SECONDS {
            return Err(PlanError::OutOfRange("seconds, 1 to 3600"));
        }
        self.check_rates()?;
        self.streams.iter().try_for_each(LoadStream::check)
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "the seconds of a run are few"
    )]
    fn check_rates(&self) -> Result<(), PlanError> {
        let rate: f64 = self.streams.iter().map(|s| s.requests_per_s).sum();
        if rate > MAX_RATE {
            return Err(PlanError::OutOfRange("requests_per_s in all"));
        }
        if rate * self.seconds as f64 > MAX_REQUESTS {
            return Err(PlanError::OutOfRange("requests of the whole run"));
        }
        Ok(())
    }
}

impl LoadStream {
    fn check(&self) -> Result<(), PlanError> {
        let rate = self.requests_per_s;
        if !rate.is_finite() || rate <= 0.0 {
            return Err(PlanError::OutOfRange("requests_per_s, above 0"));
        }
        if self.keys == 0 || self.keys > MAX_KEYS {
            return Err(PlanError::OutOfRange("keys, 1 to 1000000"));
        }
        if self.callers == 0 {
            return Err(PlanError::OutOfRange("callers, 1 or more"));
        }
        Ok(())
    }
}
