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
