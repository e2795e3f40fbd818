//! Typical response times of a server, by route.
//!
//! Short and long work run on the same servers. An average over all routes
//! lies between them: long work would time out half done and run again, and a
//! server that is silent to short work would be waited for long after its
//! response was due.

use std::sync::Arc;

use goldcrestramp_types::{FastMap, TimeSpan};

/// The divisor of the moving average, which covers about six responses: a
/// server that becomes slow shows within a second.
const SMOOTHING_DIVISOR: u64 = 6;

/// The response time assumed for a server that has not responded yet.
const INITIAL_TIME: TimeSpan = TimeSpan::from_millis(100);

/// The typical response times of one server.
///
/// # Example
///
/// ```
/// use std::sync::Arc;
///
/// use goldcrestramp_decisions::ResponseTimes;
/// use goldcrestramp_types::TimeSpan;
///
/// let mut times = ResponseTimes::default();
/// let (list, check) = (Arc::from("list"), Arc::from("check"));
/// times.record(&list, TimeSpan::from_millis(50));
/// times.record(&check, TimeSpan::from_millis(300));
/// assert_eq!(times.typical_for(&check), Some(TimeSpan::from_millis(300)));
/// let other = ResponseTimes::default();
/// assert_eq!(other.expected("check", &times), TimeSpan::from_millis(300));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ResponseTimes {
    overall: Option<TimeSpan>,
    routes: FastMap<Arc<str>, TimeSpan>,
}

impl ResponseTimes {
    /// Records the time of a response on a route.
    pub fn record(&mut self, route: &Arc<str>, span: TimeSpan) {
        self.overall = Some(blend(self.mean(), span));
        let typical = self.routes.entry(Arc::clone(route)).or_insert(span);
        *typical = blend(*typical, span);
    }

    /// The typical response time on a route, once there was a response.
    #[must_use]
    pub fn typical_for(&self, route: &str) -> Option<TimeSpan> {
        self.routes.get(route).copied()
    }

    /// The expected response time on a route: as measured on this server, or
    /// else as measured on all servers of its service. A server that is
    /// unknown on the route isn't assumed to be faster than those, or every
    /// remote server would be tried once.
    #[must_use]
    pub fn expected(&self, route: &str, service: &Self) -> TimeSpan {
        let typical =
            self.typical_for(route).or_else(|| service.typical_for(route));
        typical.unwrap_or(self.mean())
    }

    /// The typical response time over all routes: how long a request waits
    /// behind others.
    #[must_use]
    pub fn mean(&self) -> TimeSpan {
        self.overall.unwrap_or(INITIAL_TIME)
    }
}

/// Updates an exponential moving average with a new value.
fn blend(typical: TimeSpan, span: TimeSpan) -> TimeSpan {
    let retained =
        typical.as_micros() - typical.as_micros() / SMOOTHING_DIVISOR;
    TimeSpan::from_micros(retained + span.as_micros() / SMOOTHING_DIVISOR)
}
