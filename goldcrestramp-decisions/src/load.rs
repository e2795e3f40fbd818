/*!
What a server's slots were used for, slice by slice.

The load: the hottest keys change within minutes, and with them the slices
that fill a server. A steward that sees only how busy a server is cannot
tell which slice to move away.

The keeper adds up slot time by slice, exactly, since a service has 65,536
slices at most; it reports the heaviest few. Keys are not counted: a slice
is what moves, and no table of 410 million keys is needed for it.
*/

use goldcrestramp_types::{FastMap, SliceIndex, TimeSpan};

/// The slices of a report: with 64 of them a move of the heaviest is always
/// among them, and a report takes about 1 KB.
pub const REPORTED_SLICES: usize = 64;

/// Slot time used at one server since the last report.
#[derive(Clone, Debug, Default)]
pub struct ServerLoad {
    slices: FastMap<SliceIndex, u64>,
    busy: u64,
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

    /// Reads what was used since the last reading, and starts again.
    ///
    /// # Example
    ///
    /// ```
    /// use goldcrestramp_decisions::ServerLoad;
    /// use goldcrestramp_types::{SliceIndex, TimeSpan};
    ///
    /// let slice = SliceIndex::new(7).expect("a small number");
    /// let mut load = ServerLoad::default();
    /// load.record(slice, TimeSpan::from_millis(5));
    /// let reading = load.take();
    /// assert_eq!(reading.slices, [(slice, TimeSpan::from_millis(5))]);
    /// assert_eq!(load.take().busy, TimeSpan::ZERO);
    /// ```
    pub fn take(&mut self) -> LoadReading {
        let busy = TimeSpan::from_micros(std::mem::take(&mut self.busy));
        let mut slices: Vec<_> = self
            .slices
            .drain()
            .map(|(slice, micros)| (slice, TimeSpan::from_micros(micros)))
            .collect();
        slices.sort_unstable_by(|a, b| b.1.cmp(&a.1).then(a.0.cmp(&b.0)));
        slices.truncate(REPORTED_SLICES);
        LoadReading { busy, slices }
    }
}
