//! Estimates how long requests of a class hold a slot, from measured times.

use goldcrestramp_types::{LocalTime, RequestClass, TimeSpan};

/// The mean moves by 1/8 of each difference, the deviation by 1/4: the
/// gains of RFC 6298, which follow a tenfold change in about 20 samples.
const MEAN_GAIN: u64 = 8;
const DEVIATION_GAIN: u64 = 4;

/// A request may start while mean + 3 deviations remain: about 99% of a normal
/// distribution end within that.
const SAFETY_DEVIATIONS: u64 = 3;

/// The estimate is halved for each period of this length without a sample.
/// Otherwise every request to a server that was slow would be refused, and no
/// sample could ever show that it has recovered.
const HALVING_PERIOD: TimeSpan = TimeSpan::from_millis(1_000);

/// The maximum number of halvings, after which an estimate is zero.
const MAX_HALVINGS: u64 = 40;

/// The estimates before the first sample, in microseconds: the order of
/// magnitude that operators state for their services.
const INITIAL_SHORT_US: u64 = 5_000;
const INITIAL_LONG_US: u64 = 5_000_000;

/// A moving estimate of the slot time of one class, in microseconds.
#[derive(Clone, Debug)]
pub(crate) struct ServiceEstimate {
    class: RequestClass,
    mean: u64,
    deviation: u64,
    sampled_at: LocalTime,
    samples: u64,
}

impl ServiceEstimate {
    /// The estimate of a class without samples.
    pub(crate) fn new(class: RequestClass, now: LocalTime) -> Self {
        let mean = match class {
            RequestClass::Lookup | RequestClass::Order => INITIAL_SHORT_US,
            RequestClass::Long => INITIAL_LONG_US,
        };
        Self { class, mean, deviation: 0, sampled_at: now, samples: 0 }
    }

    /// Records the slot time of a request that ran to its end.
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
        TimeSpan::from_micros(self.decayed(now, self.mean))
    }

    /// The mean as last measured, without halving for its age.
    pub(crate) const fn undecayed_mean(&self) -> TimeSpan {
        TimeSpan::from_micros(self.mean)
    }

    /// The time that must remain before the deadline at the start.
    ///
    /// Long responses vary too much in length for a safe bound. They are given
    /// up only when even a short one could not end in time.
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
        TimeSpan::from_micros(self.decayed(now, needed))
    }

    /// Halves `value` for each second without a sample.
    ///
    /// For a class with long requests, the period is 4 times its own slot
    /// time; otherwise every pause between two ends would shrink it.
    fn decayed(&self, now: LocalTime, value: u64) -> u64 {
        let age = now.since(self.sampled_at).as_micros();
        let period = HALVING_PERIOD.as_micros().max(4 * self.mean);
        value >> (age / period).min(MAX_HALVINGS)
    }
}

/// Moves `value` by 1/`gain` of the difference to `sample`.
fn blend(value: u64, sample: u64, gain: u64) -> u64 {
    if sample >= value {
        value + (sample - value) / gain
    } else {
        value - (value - sample) / gain
    }
}

/// The ratio of measured to expected waits moves by 1/16 of each difference.
const RATIO_GAIN: u64 = 16;

/// A ratio of 1 in the units of the estimate.
const RATIO_ONE: u64 = 1_024;

/// The maximum ratio: a wait is corrected by up to 8 times.
const MAX_RATIO: u64 = 8 * RATIO_ONE;

/// Corrects expected waits by the ratio of measured to expected ones.
///
/// Requests of callers and keys with little load arrive later and are served
/// before those of a busy one. Their slot time is not yet in the queue when
/// the busy one's request arrives. Without the correction its expected wait is
/// too short, and it is given up after waiting when it should be refused on
/// arrival.
#[derive(Clone, Debug)]
pub(crate) struct WaitEstimate {
    ratio: u64,
}

impl WaitEstimate {
    /// Creates an estimate that corrects nothing yet.
    pub(crate) const fn new() -> Self {
        Self { ratio: RATIO_ONE }
    }

    /// The corrected wait.
    pub(crate) const fn correct(&self, expected: TimeSpan) -> TimeSpan {
        let micros = expected.as_micros().saturating_mul(self.ratio);
        TimeSpan::from_micros(micros / RATIO_ONE)
    }

    /// Records a wait that has ended, by a start or by giving up.
    ///
    /// Waits of less than a slot time are left out: they depend on when the
    /// next slot becomes free, and not on what is in the queue.
    pub(crate) fn record(
        &mut self,
        expected: TimeSpan,
        waited: TimeSpan,
        service: TimeSpan,
    ) {
        if expected <= service {
            return;
        }
        let waited = waited.as_micros().saturating_mul(RATIO_ONE);
        let sample = waited / expected.as_micros().max(1);
        let sample = sample.clamp(RATIO_ONE, MAX_RATIO);
        self.ratio = blend(self.ratio, sample, RATIO_GAIN);
    }
}
