//! The load of each slice, smoothed.

use goldcrestramp_types::{LocalTime, SliceCount, SliceIndex, TimeSpan};

use super::view::{TargetReport, TargetView};

/// The slots that each slice of a service has in use.
#[derive(Clone, Debug)]
pub struct LoadEstimate {
    half_life: TimeSpan,
    slices: Vec<f64>,
    seen: Option<LocalTime>,
}

impl LoadEstimate {
    /// An estimate that knows of no load.
    #[must_use]
    pub fn new(count: SliceCount, half_life: TimeSpan) -> Self {
        let slices = vec![0.0; count.get() as usize];
        Self { half_life, slices, seen: None }
    }

    /// The slots that a slice has in use.
    #[must_use]
    pub fn of(&self, slice: SliceIndex) -> f64 {
        self.slices.get(slice.position()).copied().unwrap_or(0.0)
    }

    /// The slots that all slices of a place have in use.
    #[must_use]
    pub fn of_place(&self, place: &TargetView) -> f64 {
        place.held.iter().map(|slice| self.of(slice)).sum()
    }

    /// Takes in the places' reports of the interval that ends at `now`.
    ///
    /// One report moves the estimate only in part: a burst of a second is
    /// over before a move could answer it.
    pub fn observe<'a>(
        &mut self,
        now: LocalTime,
        reports: impl IntoIterator<Item = (&'a TargetView, &'a TargetReport)>,
    ) {
        let weight = self.weight(now);
        for (place, report) in reports {
            self.take(place, report, weight);
        }
        self.seen = Some(now);
    }

    /// How much of the estimate a report replaces.
    fn weight(&self, now: LocalTime) -> f64 {
        let Some(seen) = self.seen else {
            return 1.0;
        };
        let passed = micros(now.since(seen));
        1.0 - 0.5_f64.powf(passed / micros(self.half_life).max(1.0))
    }

    fn take(
        &mut self,
        place: &TargetView,
        report: &TargetReport,
        weight: f64,
    ) {
        let heavy: f64 = report.heavy.iter().map(|(_, load)| load).sum();
        let others = place.held.len().saturating_sub(report.heavy.len());
        let rest = (report.busy - heavy).max(0.0) / count(others).max(1.0);
        for slice in place.held.iter() {
            self.blend(slice, rest, weight);
        }
        for (slice, load) in &report.heavy {
            // Undo the even share, then count what was measured.
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
