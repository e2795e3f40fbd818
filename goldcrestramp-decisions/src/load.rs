/*!
Slot time used at a server, by slice.

The hottest keys change within minutes, and with them the slices that load a
server. A steward that knows only the utilization of a server cannot tell which
slice to move away.

The keeper sums slot time by slice. The sums are exact, since a service has at
most 65,536 slices; only the heaviest few are reported. Keys are not counted:
slices are what moves, and this avoids a table of 410 million keys.

A slow or silent server is reported as *full*, whatever slot time it used. A
suspended server runs almost nothing: by its slot time it would look idle, and
the steward would assign it more slices. While it is reported as full, its
slices move away gradually, as far as other servers have capacity. If all
servers are slow, all are full and nothing moves; otherwise the slices of each
slow server would overload the next one. The report of a full server expires,
since a server without slices gets no requests that could show its recovery.
*/

use goldcrestramp_types::{FastMap, LocalTime, SliceIndex, TimeSpan};

/// The number of slices in a report. With 64, the report always includes the
/// heaviest slice to move, and takes about 1 KB.
pub const REPORTED_SLICES: usize = 64;

/// A server is reported as full for this long after it was last seen slow.
/// This is two rounds of placement, which move about twenty slices away from
/// it.
const FULL_DURATION: TimeSpan = TimeSpan::from_millis(10_000);

/// Slot time used at one server since the last report.
#[derive(Clone, Debug, Default)]
pub struct ServerLoad {
    /// In microseconds.
    slices: FastMap<SliceIndex, u64>,
    /// The total in microseconds.
    busy: u64,
    /// The slot count of a full server, and until when it counts as full.
    full: Option<(u64, LocalTime)>,
    reported_at: Option<LocalTime>,
}

/// The content of a report.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Total slot time.
    pub busy: TimeSpan,
    /// Slot time of the heaviest slices, heaviest first.
    pub slices: Vec<(SliceIndex, TimeSpan)>,
}

impl ServerLoad {
    /// Adds the slot time of a request that ended.
    pub fn record(&mut self, slice: SliceIndex, span: TimeSpan) {
        let micros = span.as_micros();
        *self.slices.entry(slice).or_default() += micros;
        self.busy += micros;
    }

    /// Marks the server, which has `slots` slots, as slow or silent.
    pub fn set_full(&mut self, now: LocalTime, slots: usize) {
        let slots = u64::try_from(slots).unwrap_or(u64::MAX);
        self.full = Some((slots, now + FULL_DURATION));
    }

    /// Returns the load since the last report and starts a new period.
    ///
    /// # Example
    ///
    /// ```
    /// use goldcrestramp_decisions::ServerLoad;
    /// use goldcrestramp_types::{LocalTime, SliceIndex, TimeSpan};
    ///
    /// let now = LocalTime::from_micros(0);
    /// let slice = SliceIndex::new(7).expect("index is in range");
    /// let mut load = ServerLoad::default();
    /// load.record(slice, TimeSpan::from_millis(5));
    /// let report = load.take_report(now);
    /// assert_eq!(report.slices, [(slice, TimeSpan::from_millis(5))]);
    /// assert_eq!(load.take_report(now).busy, TimeSpan::ZERO);
    /// ```
    pub fn take_report(&mut self, now: LocalTime) -> LoadReport {
        let used = std::mem::take(&mut self.busy);
        let busy = used.max(self.full_micros(now));
        self.reported_at = Some(now);
        let mut slices: Vec<_> = self
            .slices
            .drain()
            .map(|(slice, micros)| (slice, scaled(micros, busy, used)))
            .collect();
        slices.sort_unstable_by(|a, b| b.1.cmp(&a.1).then(a.0.cmp(&b.0)));
        slices.truncate(REPORTED_SLICES);
        LoadReport { busy: TimeSpan::from_micros(busy), slices }
    }

    /// The slot time of all slots since the last report, if the server is
    /// full.
    fn full_micros(&mut self, now: LocalTime) -> u64 {
        let Some((slots, until)) = self.full else { return 0 };
        if until < now {
            self.full = None;
            return 0;
        }
        let since = self.reported_at.unwrap_or(now);
        slots.saturating_mul(now.since(since).as_micros())
    }
}

/// Scales a slice's `micros` out of `used` to its part of `busy`.
///
/// If the slot time of a full server were spread evenly, slices without
/// requests would look heavy and would move first.
fn scaled(micros: u64, busy: u64, used: u64) -> TimeSpan {
    let wide = u128::from(micros) * u128::from(busy) / u128::from(used.max(1));
    TimeSpan::from_micros(u64::try_from(wide).unwrap_or(u64::MAX))
}
