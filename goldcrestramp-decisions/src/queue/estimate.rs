//! How long requests of a class hold a slot, as the keeper measured it.

use goldcrestramp_types::{LocalTime, RequestClass, TimeSpan};

/// The mean moves by 1/8 of each difference, the deviation by 1/4: the
/// gains of RFC 6298, which follow a tenfold change in about 20 samples.
const MEAN_GAIN: u64 = 8;
const DEVIATION_GAIN: u64 = 4;

/// A request may start while mean + 3 deviations are left: about 99% of
/// a bell-shaped spread end within that.
const SAFETY_DEVIATIONS: u64 = 3;

/// Without a sample for this long, the estimate halves, and so on. A
/// server that was slow would otherwise have every request refused, so
/// that no sample could ever show that it has recovered.
const FORGET_AFTER: TimeSpan = TimeSpan::from_millis(1_000);

/// Halvings after which an estimate is nothing.
const MAX_HALVINGS: u64 = 40;

/// What is assumed before the first sample: the order of magnitude that
/// operators give for their services.
const FIRST_SHORT: u64 = 5_000;
const FIRST_LONG: u64 = 5_000_000;

/// A running estimate of the slot time of one class, in microseconds.
#[derive(Clone, Debug)]
pub(crate) struct ServiceEstimate {
    class: RequestClass,
    mean: u64,
    deviation: u64,
    sampled_at: LocalTime,
    samples: u64,
}

impl ServiceEstimate {
    /// The estimate of a class that was never measured.
    pub(crate) fn new(class: RequestClass, now: LocalTime) -> Self {
        let mean = match class {
            RequestClass::Lookup | RequestClass::Order => FIRST_SHORT,
            RequestClass::Long => FIRST_LONG,
        };
        Self { class, mean, deviation: 0, sampled_at: now, samples: 0 }
    }

    /// Takes the slot time of a request that ran to its end.
    pub(crate) fn record(&mut self, now: LocalTime, span: TimeSpan) {
        let sample = span.as_micros();
        if self.samples == 0 {
            self.mean = sample;
            self.deviation = sample / 4;
        } else {
            let difference = sample.abs_diff(self.mean);
            self.deviation = blend(self.deviation, difference, DEVIATION_GAIN);
            self.mean = blend(self.mean, sample, MEAN_GAIN);
        }
        self.samples += 1;
        self.sampled_at = now;
    }

    /// The expected slot time of the next request.
    pub(crate) fn mean(&self, now: LocalTime) -> TimeSpan {
        TimeSpan::from_micros(self.faded(now, self.mean))
    }

    /// The mean as last measured, however long ago that is.
    pub(crate) const fn mean_unaged(&self) -> TimeSpan {
        TimeSpan::from_micros(self.mean)
    }

    /// The time that must be left before the deadline at the start.
    ///
    /// Long answers differ too much in length for a safe bound: those
    /// are given up only when even a short one could not end in time.
    pub(crate) fn needed(&self, now: LocalTime) -> TimeSpan {
        let needed = match self.class {
            RequestClass::Lookup | RequestClass::Order => {
                self.mean + SAFETY_DEVIATIONS * self.deviation
            }
            RequestClass::Long => {
                self.mean.saturating_sub(SAFETY_DEVIATIONS * self.deviation)
            }
        };
        if self.samples == 0 {
            return TimeSpan::ZERO;
        }
        TimeSpan::from_micros(self.faded(now, needed))
    }

    /// Halves `value` for each second without a sample.
    ///
    /// A class whose requests take longer than that is aged by its own
    /// slot time, or every pause between two ends would shrink it.
    fn faded(&self, now: LocalTime, value: u64) -> u64 {
        let age = now.since(self.sampled_at).as_micros();
        let period = FORGET_AFTER.as_micros().max(4 * self.mean);
        value >> (age / period).min(MAX_HALVINGS)
    }
}

/// Moves `value` by 1/`gain` of the way to `sample`.
fn blend(value: u64, sample: u64, gain: u64) -> u64 {
    if sample >= value {
        value + (sample - value) / gain
    } else {
        value - (value - sample) / gain
    }
}

/// The ratio of measured to expected waits moves by 1/16 of a difference.
const WAIT_GAIN: u64 = 16;

/// The ratio of one in the estimate's units.
const WAIT_UNIT: u64 = 1_024;

/// A wait is corrected by up to eight times.
const WAIT_LIMIT: u64 = 8 * WAIT_UNIT;

/// How much longer waits are than what already waits explains.
///
/// Requests of callers and keys that ask for little come later and go
/// before those of a hot one. What they take is not in the queue when the
/// hot one's request comes, so its wait was expected too short, and it was
/// given up after waiting when it should have been refused on arrival.
#[derive(Clone, Debug)]
pub(crate) struct WaitEstimate {
    ratio: u64,
}

impl WaitEstimate {
    /// Waits are as expected.
    pub(crate) const fn new() -> Self {
        Self { ratio: WAIT_UNIT }
    }

    /// The corrected wait.
    pub(crate) const fn correct(&self, expected: TimeSpan) -> TimeSpan {
        let micros = expected.as_micros().saturating_mul(self.ratio);
        TimeSpan::from_micros(micros / WAIT_UNIT)
    }

    /// Takes a wait that has ended, by a start or by giving up.
    ///
    /// Waits of less than a slot time are left out: they depend on when
    /// the next slot becomes free, and not on who is in the queue.
    pub(crate) fn record(
        &mut self,
        expected: TimeSpan,
        waited: TimeSpan,
        service: TimeSpan,
    ) {
        if expected <= service {
            return;
        }
        let waited = waited.as_micros().saturating_mul(WAIT_UNIT);
        let sample = waited / expected.as_micros().max(1);
        let sample = sample.clamp(WAIT_UNIT, WAIT_LIMIT);
        self.ratio = blend(self.ratio, sample, WAIT_GAIN);
    }
}
