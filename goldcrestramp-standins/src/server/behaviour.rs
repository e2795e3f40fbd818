//! The normal behaviour of a stand-in server.

use goldcrestramp_types::RequestClass;
use rand::{Rng, rngs::StdRng};
use serde::{Deserialize, Serialize};

/// The configuration of a stand-in server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServerBehaviour {
    /// Its name in the log.
    pub name: String,
    /// Its failure domain in the log.
    pub domain: String,
    /// Whether it rejects old fencing tokens.
    pub checks_fence: bool,
    /// How many requests it runs concurrently.
    pub slots: usize,
    /// The length of the queue for a slot; further requests are refused.
    pub queue: usize,
    /// The processing time of each class.
    pub work: WorkTimes,
    /// The seed of all random draws.
    pub seed: u64,
    /// Bytes of a short response after its line.
    pub short_bytes: usize,
    /// Bytes of a long response after its line.
    pub long_bytes: usize,
    /// The number of parts in which a long response is sent.
    pub long_parts: usize,
    /// How long a newly gained slice is cold, in milliseconds.
    pub cold_ms: u64,
    /// The processing time of a cold slice, in percent of the typical time.
    pub cold_percent: u64,
    /// The lag of the health and load endpoints, in milliseconds.
    pub lag_ms: u64,
}

impl Default for ServerBehaviour {
    fn default() -> Self {
        Self {
            name: "server".to_owned(),
            domain: String::new(),
            checks_fence: true,
            slots: 4,
            queue: 0,
            work: WorkTimes::default(),
            seed: 1,
            short_bytes: 32,
            long_bytes: 262_144,
            long_parts: 16,
            cold_ms: 0,
            cold_percent: 300,
            lag_ms: 0,
        }
    }
}

/// The mean processing time of each class, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WorkTimes {
    /// A lookup.
    pub lookup_ms: f64,
    /// An order or a renewal.
    pub order_ms: f64,
    /// An export or a download, from first to last byte.
    pub long_ms: f64,
    /// Whether times are random around the mean.
    pub varied: bool,
}

impl Default for WorkTimes {
    fn default() -> Self {
        Self { lookup_ms: 1.0, order_ms: 2.0, long_ms: 200.0, varied: true }
    }
}

impl WorkTimes {
    /// The same fixed time for every request, in milliseconds.
    #[must_use]
    pub fn fixed(millis: u64) -> Self {
        let millis = u32::try_from(millis).unwrap_or(u32::MAX).into();
        Self {
            lookup_ms: millis,
            order_ms: millis,
            long_ms: millis,
            varied: false,
        }
    }

    /// Draws the processing time of one request, in milliseconds.
    ///
    /// Half of the mean is fixed and half exponentially distributed, so that
    /// some requests take several times the mean, as real requests do.
    pub fn draw(&self, class: RequestClass, source: &mut StdRng) -> f64 {
        let mean = match class {
            RequestClass::Lookup => self.lookup_ms,
            RequestClass::Order => self.order_ms,
            RequestClass::Long => self.long_ms,
        };
        if !self.varied {
            return mean;
        }
        let uniform: f64 = source.random_range(f64::MIN_POSITIVE..1.0);
        mean * (1.0 - uniform.ln()) / 2.0
    }
}
