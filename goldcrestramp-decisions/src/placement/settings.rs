//! The figures of placement, with their grounds.

use goldcrestramp_types::TimeSpan;

/// When a move is worth its cost.
#[derive(Clone, Copy, Debug)]
pub struct PlacementSettings {
    /// A place whose use is so far from the mean is brought back.
    ///
    /// At 60% mean use a server of 4 slots then stands at 75%, where its
    /// queue begins to be felt (1.6 requests waiting, against 0.5).
    pub begin_band: f64,
    /// It is left alone again once it is so close. Between the two bands
    /// nothing is begun, or slices would go to and fro with the noise.
    pub end_band: f64,
    /// For how long a saving is counted, in seconds.
    ///
    /// Hot sets change every few minutes: what is saved beyond a minute
    /// may never come.
    pub horizon_s: f64,
    /// How long the slice's requests wait while it is handed over, in
    /// seconds: a release and a grant, each with the next renewal.
    pub handover_s: f64,
    /// The mean time that a request holds a slot, in seconds.
    pub service_s: f64,
    /// Waiting caused by the new owner's cold start, in request-seconds.
    pub cold_start: f64,
    /// By how much a move between regions costs more.
    pub region_factor: f64,
    /// A slice with more than this part of its place's load is hot: it
    /// stays, and others leave.
    pub hot_share: f64,
    /// A slice that has moved rests for so long.
    pub rest: TimeSpan,
    /// The most moves a minute.
    pub moves_per_minute: u32,
    /// How fast old load is forgotten: the time after which half remains.
    pub half_life: TimeSpan,
}

impl PlacementSettings {
    /// For servers within a failure domain.
    #[must_use]
    pub const fn within_domain() -> Self {
        Self {
            begin_band: 0.15,
            end_band: 0.05,
            horizon_s: 60.0,
            handover_s: 0.6,
            service_s: 0.02,
            cold_start: 1.0,
            region_factor: 1.0,
            hot_share: 0.25,
            rest: TimeSpan::from_millis(60_000),
            moves_per_minute: 60,
            half_life: TimeSpan::from_millis(5_000),
        }
    }

    /// For failure domains: a handover takes three writes to the store,
    /// and the traffic of a slice in another region is paid by volume.
    #[must_use]
    pub const fn between_domains() -> Self {
        Self {
            begin_band: 0.20,
            end_band: 0.10,
            horizon_s: 300.0,
            handover_s: 2.0,
            cold_start: 2.0,
            region_factor: 5.0,
            rest: TimeSpan::from_millis(600_000),
            moves_per_minute: 20,
            half_life: TimeSpan::from_millis(60_000),
            ..Self::within_domain()
        }
    }
}
