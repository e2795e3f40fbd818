//! The smoothed load of each slice.

use goldcrestramp_types::{LocalTime, SliceCount, SliceIndex, TimeSpan};

use super::view::{TargetReport, TargetView};

/// The mean number of slots that each slice of a service uses.
#[derive(Clone, Debug)]
pub struct LoadEstimate {
    half_life: TimeSpan,
    slices: Vec<f64>,
    observed_at: Option<LocalTime>,
}

impl LoadEstimate {
    /// Creates an estimate without load.
    #[must_use]
    pub fn new(count: SliceCount, half_life: TimeSpan) -> Self {
        let slices = vec![0.0; count.get() as usize];
        Self { half_life, slices, observed_at: None }
    }

    /// The slots that a slice uses.
    #[must_use]
    pub fn of(&self, slice: SliceIndex) -> f64 {
        self.slices.get(slice.position()).copied().unwrap_or(0.0)
    }

    /// The slots that all slices of a target use.
    #[must_use]
    pub fn of_target(&self, target: &TargetView) -> f64 {
        target.held.iter().map(|slice| self.of(slice)).sum()
    }

    /// Applies the targets' reports of the interval that ends at `now`.
    ///
    /// A report changes the estimate only in part: a burst of a second is over
    /// before a move could help.
    pub fn observe<'a>(
        &mut self,
        now: LocalTime,
        reports: impl IntoIterator<Item = (&'a TargetView, &'a TargetReport)>,
    ) {
        let weight = self.weight(now);
        for (target, report) in reports {
            self.apply(target, report, weight);
        }
        self.observed_at = Some(now);
    }

    /// The weight of a report that arrives at `now`, from 0 to 1.
    fn weight(&self, now: LocalTime) -> f64 {
        let Some(observed_at) = self.observed_at else {
            return 1.0;
        };
        let elapsed = micros(now.since(observed_at));
        1.0 - 0.5_f64.powf(elapsed / micros(self.half_life).max(1.0))
    }

    fn apply(
        &mut self,
        target: &TargetView,
        report: &TargetReport,
        weight: f64,
    ) {
        let heavy: f64 = report.heavy.iter().map(|(_, load)| load).sum();
        let others = target.held.len().saturating_sub(report.heavy.len());
        let rest = (report.busy - heavy).max(0.0) / count(others).max(1.0);
        for slice in target.held.iter() {
            self.blend(slice, rest, weight);
        }
        for (slice, load) in &report.heavy {
            // Undoes the even share, then counts what was measured.
            self.blend(*slice, *load - rest, weight);
            self.add(*slice, rest, weight);
        }
    }

    fn blend(&mut self, slice: SliceIndex, load: f64, weight: f64) {
        if let Some(known) = self.slices.get_mut(slice.position()) {
            *known += weight * (load - *known);
        }
    }

    fn add(&mut self, slice: SliceIndex, load: f64, weight: f64) {
        if let Some(known) = self.slices.get_mut(slice.position()) {
            *known += weight * load;
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "small numbers")]
fn micros(span: TimeSpan) -> f64 {
    span.as_micros() as f64
}

#[expect(clippy::cast_precision_loss, reason = "at most 65,536 slices")]
fn count(number: usize) -> f64 {
    number as f64
}
