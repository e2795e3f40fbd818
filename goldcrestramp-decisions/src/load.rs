/*!
What a server's slots were used for, slice by slice.

The load: the hottest keys change within minutes, and with them the slices
that fill a server. A steward that sees only how busy a server is cannot
tell which slice to move away.

The keeper adds up slot time by slice, exactly, since a service has 65,536
slices at most; it reports the heaviest few. Keys are not counted: a slice
is what moves, and no table of 410 million keys is needed for it.

A server that is slow or silent is reported as *full*, whatever it was used
for. One that is held runs next to nothing: by its slot time it would look
idle, and be given the slices of others. As full it is emptied by degrees,
as far as the others have room: when all are slow, all are full, none stands
out, and nothing moves, or one after the other would fall over under the
slices of the one before. The report of a full server ends by itself, since
one that was emptied is asked nothing that could show it to be well.
*/

use goldcrestramp_types::{FastMap, LocalTime, SliceIndex, TimeSpan};

/// The slices of a report: with 64 of them a move of the heaviest is always
/// among them, and a report takes about 1 KB.
pub const REPORTED_SLICES: usize = 64;

/// For so long a server is reported as full after it was last seen slow:
/// two rounds of placement, in which some twenty slices leave it.
const FULL_FOR: TimeSpan = TimeSpan::from_millis(10_000);

/// Slot time used at one server since the last report.
#[derive(Clone, Debug, Default)]
pub struct ServerLoad {
    slices: FastMap<SliceIndex, u64>,
    busy: u64,
    /// All its slots, and until when they count as used.
    full: Option<(u64, LocalTime)>,
    taken_at: Option<LocalTime>,
}

/// What a report says.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LoadReading {
    /// Slot time in all.
    pub busy: TimeSpan,
    /// Slot time of the heaviest slices, the heaviest first.
    pub slices: Vec<(SliceIndex, TimeSpan)>,
}

impl ServerLoad {
    /// Adds the slot time of a request that has ended.
    pub fn record(&mut self, slice: SliceIndex, span: TimeSpan) {
        let micros = span.as_micros();
        *self.slices.entry(slice).or_default() += micros;
        self.busy += micros;
    }

    /// Notes that the server of `slots` slots is slow or silent.
    pub fn set_full(&mut self, now: LocalTime, slots: usize) {
        let slots = u64::try_from(slots).unwrap_or(u64::MAX);
        self.full = Some((slots, now + FULL_FOR));
    }

    /// Reads what was used since the last reading, and starts again.
    ///
    /// # Example
    ///
    /// ```
    /// use goldcrestramp_decisions::ServerLoad;
    /// use goldcrestramp_types::{LocalTime, SliceIndex, TimeSpan};
    ///
    /// let now = LocalTime::from_micros(0);
    /// let slice = SliceIndex::new(7).expect("a small number");
    /// let mut load = ServerLoad::default();
    /// load.record(slice, TimeSpan::from_millis(5));
    /// let reading = load.take(now);
    /// assert_eq!(reading.slices, [(slice, TimeSpan::from_millis(5))]);
    /// assert_eq!(load.take(now).busy, TimeSpan::ZERO);
    /// ```
    pub fn take(&mut self, now: LocalTime) -> LoadReading {
        let used = std::mem::take(&mut self.busy);
        let busy = used.max(self.full_micros(now));
        self.taken_at = Some(now);
        let mut slices: Vec<_> = self
            .slices
            .drain()
            .map(|(slice, micros)| (slice, scaled(micros, busy, used)))
            .collect();
        slices.sort_unstable_by(|a, b| b.1.cmp(&a.1).then(a.0.cmp(&b.0)));
        slices.truncate(REPORTED_SLICES);
        LoadReading { busy: TimeSpan::from_micros(busy), slices }
    }

    /// Slot time of a server that counts as full since the last reading.
    fn full_micros(&mut self, now: LocalTime) -> u64 {
        let Some((slots, until)) = self.full else { return 0 };
        if until < now {
            self.full = None;
            return 0;
        }
        let since = self.taken_at.unwrap_or(now);
        slots.saturating_mul(now.since(since).as_micros())
    }
}

/// A slice's part of `busy`, as it had `micros` of what was `used`.
///
/// Spread evenly, the time of a full server would make slices that nobody
/// asks for look heavy, and they would move first.
fn scaled(micros: u64, busy: u64, used: u64) -> TimeSpan {
    let wide = u128::from(micros) * u128::from(busy) / u128::from(used.max(1));
    TimeSpan::from_micros(u64::try_from(wide).unwrap_or(u64::MAX))
}
