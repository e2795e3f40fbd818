//! How long a server's answers usually take, by route.
//!
//! The load: short and long work at the same servers. Taken together, the
//! usual time lies between: long work is given up half done and run once
//! more, and a server that is silent to short work is waited for long after
//! its answer should have come.

use std::sync::Arc;

use goldcrestramp_types::{FastMap, TimeSpan};

/// The usual time moves by this part of the difference: some six answers,
/// so that a server that turns slow is seen within a second.
const GAIN: u64 = 6;

/// What stands in until a server has answered.
const FIRST: TimeSpan = TimeSpan::from_millis(100);

/// The usual times of one server's answers.
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
    any: Option<TimeSpan>,
    routes: FastMap<Arc<str>, TimeSpan>,
}

impl ResponseTimes {
    /// Takes the time of an answer on a route.
    pub fn record(&mut self, route: &Arc<str>, span: TimeSpan) {
        self.any = Some(blend(self.mean(), span));
        let usual = self.routes.entry(Arc::clone(route)).or_insert(span);
        *usual = blend(*usual, span);
    }

    /// The usual time of an answer on a route, once one has come.
    #[must_use]
    pub fn typical_for(&self, route: &str) -> Option<TimeSpan> {
        self.routes.get(route).copied()
    }

    /// What an answer on a route is expected to take: as others of this
    /// server, or as those of all servers of its service. Of one that is
    /// not known on the route nothing better is to be hoped for, or every
    /// far server would be tried once.
    #[must_use]
    pub fn expected(&self, route: &str, service: &Self) -> TimeSpan {
        let usual =
            self.typical_for(route).or_else(|| service.typical_for(route));
        usual.unwrap_or(self.mean())
    }

    /// The usual time of an answer on any route: what a request waits for
    /// behind others.
    #[must_use]
    pub fn mean(&self) -> TimeSpan {
        self.any.unwrap_or(FIRST)
    }
}

/// Moves a usual time towards a new one.
fn blend(usual: TimeSpan, span: TimeSpan) -> TimeSpan {
    let kept = usual.as_micros() - usual.as_micros() / GAIN;
    TimeSpan::from_micros(kept + span.as_micros() / GAIN)
}
