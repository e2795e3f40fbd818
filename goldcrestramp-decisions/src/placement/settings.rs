//! Settings of placement, with their reasons.

use goldcrestramp_types::TimeSpan;

/// Settings that decide when a move is worth its cost.
#[derive(Clone, Copy, Debug)]
pub struct PlacementSettings {
    /// A target whose utilization deviates from the mean by more than this is
    /// rebalanced.
    ///
    /// At 60% mean utilization a server of 4 slots is then at 75%, where its
    /// queue becomes noticeable (1.6 requests waiting, against 0.5).
    pub start_band: f64,
    /// Rebalancing ends once the deviation is below this. Between the two
    /// bands none is started, or slices would move back and forth with the
    /// noise.
    pub end_band: f64,
    /// The time for which a saving is counted, in seconds.
    ///
    /// The set of hot keys changes every few minutes, so a saving beyond a
    /// minute may never be realized.
    pub horizon_s: f64,
    /// How long the slice's requests wait during a handover, in seconds: a
    /// release and a grant, each with the next renewal.
    pub handover_s: f64,
    /// The mean time that a request uses a slot, in seconds.
    pub service_s: f64,
    /// The waiting caused by the new owner's cold start, in request-seconds.
    pub cold_start: f64,
    /// The factor by which a move between regions costs more.
    pub region_factor: f64,
    /// A slice with more than this part of its target's load is hot: it stays,
    /// and others leave.
    pub hot_share: f64,
    /// How long a slice is not moved again after a move.
    pub cooldown: TimeSpan,
    /// The maximum number of moves a minute.
    pub moves_per_minute: u32,
    /// The half-life of the load estimate.
    pub half_life: TimeSpan,
}

impl PlacementSettings {
    /// Settings for servers within a failure domain.
    #[must_use]
    pub const fn within_domain() -> Self {
        Self {
            start_band: 0.15,
            end_band: 0.05,
            horizon_s: 60.0,
            handover_s: 0.6,
            service_s: 0.02,
            cold_start: 1.0,
            region_factor: 1.0,
            hot_share: 0.25,
            cooldown: TimeSpan::from_millis(60_000),
            moves_per_minute: 60,
            half_life: TimeSpan::from_millis(5_000),
        }
    }

    /// Settings for failure domains. A handover takes three writes to the
    /// store, and the traffic of a slice in another region is paid by volume.
    #[must_use]
    pub const fn between_domains() -> Self {
        Self {
            start_band: 0.20,
            end_band: 0.10,
            horizon_s: 300.0,
            handover_s: 2.0,
            cold_start: 2.0,
            region_factor: 5.0,
            cooldown: TimeSpan::from_millis(600_000),
            moves_per_minute: 20,
            half_life: TimeSpan::from_millis(60_000),
            ..Self::within_domain()
        }
    }
}
