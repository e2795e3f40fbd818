//! Limits the bytes of downloads that a VM requests from another region.
//!
//! All VMs of a region share the link to another one. In a burst of downloads
//! they fill it together, although each of them sends only a few requests.
//! Small responses then wait behind the downloads, and connections are
//! abandoned before they are open.
//!
//! Each VM keeps a congestion window per region. All VMs observe the same
//! link by the time that a new connection takes, so equal rules lead to
//! similar shares without messages: the window grows by addition while
//! connections take no longer than usual, and is halved when one does.
//!
//! Many VMs fill a link with less than one response each. So the window may
//! be smaller than a response. Then one download at a time is sent, with a
//! pause in proportion.

use std::collections::VecDeque;

use goldcrestramp_types::{LocalTime, TimeSpan};

/// The size of a response before one has arrived.
const ASSUMED_RESPONSE_BYTES: u64 = 64 * 1024;

/// The duration of a download before one has ended.
const ASSUMED_DURATION: TimeSpan = TimeSpan::from_millis(300);

/// The divisors of the moving averages.
const SIZE_DIVISOR: u64 = 8;
const DURATION_DIVISOR: u64 = 4;

/// A new connection that takes this much longer than the minimum shows a queue
/// on the link. It is a tenth of the time after which a connection is
/// abandoned.
const MAX_EXTRA_DELAY: TimeSpan = TimeSpan::from_millis(50);

/// A new connection that takes at most this much longer than the minimum shows
/// that the link is free.
const FREE_EXTRA_DELAY: TimeSpan = TimeSpan::from_millis(15);

/// The window is halved at most once in this time: later connections that were
/// begun before the halving took effect show the same queue.
const HALVING_INTERVAL: TimeSpan = TimeSpan::from_millis(200);

/// The minimum is taken over this many steps of one second.
///
/// In the same time it rises by `FREE_EXTRA_DELAY` at most. Otherwise, a link
/// that is full for so long would look free at its full delay, and all windows
/// would grow.
const MINIMUM_STEPS: u64 = 10;
const STEP: TimeSpan = TimeSpan::from_millis(1_000);
const MINIMUM_TIME: TimeSpan = STEP.percent(100 * MINIMUM_STEPS);

/// The longest time for which one connection's delay lets the window grow.
const MAX_GROWTH_TIME: TimeSpan = TimeSpan::from_millis(1_000);

/// A window counts as used for this long after a download has filled it or
/// was kept out.
const USED_TIME: TimeSpan = TimeSpan::from_millis(1_000);

/// The window grows by one response per second, but by this fraction of it
/// while it was halved recently. With a whole one, 36 VMs would fill a link of
/// 60 Mbit/s within 0.3 s, before they can observe its delay. The step does
/// not depend on the size of the window, or a VM with a larger one would keep
/// its advantage.
const CAUTIOUS_GROWTH_DIVISOR: u64 = 8;
const CAUTIOUS_TIME: TimeSpan = TimeSpan::from_millis(10_000);

/// The window is at least this fraction of a response.
const MIN_WINDOW_DIVISOR: u64 = 16;

/// The longest pause between two downloads, so that no request waits forever
/// and the window can recover.
const MAX_PAUSE: TimeSpan = TimeSpan::from_millis(4_000);

/// How often a window that is not used moves towards one response.
const VALIDATION_INTERVAL: TimeSpan = TimeSpan::from_millis(5_000);

/// A window that is smaller than one response begins again at one response
/// after this time without a download: what was observed before has expired.
const RESET_TIME: TimeSpan = TimeSpan::from_millis(10_000);

/// After this time without a new connection, a download opens one.
const MAX_SAMPLE_AGE: TimeSpan = TimeSpan::from_millis(500);

/// While downloads are kept in their region because it gains nothing to send
/// them out, one is sent after this time, to learn whether that has changed.
const EXPLORATION_INTERVAL: TimeSpan = TimeSpan::from_millis(5_000);

/// The response time in another region, as a share of the one in the own
/// region, up to which it is clearly shorter.
const CLEARLY_SOONER_PERCENT: u64 = 75;

/// The congestion window of one VM for the downloads from one region.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::BulkWindow;
/// use goldcrestramp_types::{LocalTime, TimeSpan};
///
/// let now = LocalTime::from_micros(0);
/// let mut window = BulkWindow::new(now);
/// assert_eq!(window.wait_time(now), Some(TimeSpan::ZERO));
/// let bytes = window.record_start(now, 0.5);
/// assert_eq!(window.wait_time(now), None);
/// window.record_end(now, bytes, Some(TimeSpan::from_millis(200)));
/// assert_eq!(window.wait_time(now), Some(TimeSpan::ZERO));
/// ```
#[derive(Clone, Debug)]
pub struct BulkWindow {
    window: u64,
    /// The typical size of a response, once one is known.
    response: Option<u64>,
    /// The typical duration of a download.
    duration: TimeSpan,
    in_flight_bytes: u64,
    in_flight: usize,
    /// While the window is smaller than one response: the earliest time of
    /// the next download.
    paused_until: LocalTime,
    /// The shortest connection time of each step.
    minima: VecDeque<(u64, TimeSpan)>,
    /// The connection time of the free link, as far as is known, and when it
    /// was last changed.
    minimum: Option<(TimeSpan, LocalTime)>,
    /// When the connection that was opened last was begun.
    connected_at: Option<LocalTime>,
    /// When a connection's outcome became known last.
    sampled_at: Option<LocalTime>,
    halved_at: Option<LocalTime>,
    grown_at: LocalTime,
    used_at: Option<LocalTime>,
    started_at: Option<LocalTime>,
    validated_at: LocalTime,
    /// The most bytes in flight since the last validation.
    peak_bytes: u64,
    denied_at: Option<LocalTime>,
}

impl BulkWindow {
    /// Creates a window of one response.
    #[must_use]
    pub const fn new(now: LocalTime) -> Self {
        Self {
            window: ASSUMED_RESPONSE_BYTES,
            response: None,
            duration: ASSUMED_DURATION,
            in_flight_bytes: 0,
            in_flight: 0,
            paused_until: now,
            minima: VecDeque::new(),
            minimum: None,
            connected_at: None,
            sampled_at: None,
            halved_at: None,
            grown_at: now,
            used_at: None,
            started_at: None,
            validated_at: now,
            peak_bytes: 0,
            denied_at: None,
        }
    }

    /// The downloads that the window holds; one at a time if it is smaller.
    #[must_use]
    pub fn capacity(&self) -> usize {
        let count = self.window / self.response();
        usize::try_from(count).unwrap_or(usize::MAX).max(1)
    }

    /// How long each place in the window is taken by one download.
    #[must_use]
    pub fn interval(&self) -> TimeSpan {
        self.duration.max(self.pause())
    }

    /// The window in bytes.
    #[must_use]
    pub const fn bytes(&self) -> u64 {
        self.window
    }

    /// Records a connection to the region that was opened after `took`. Also
    /// one that the peer refused at once, as that takes a round trip, too.
    pub fn record_connected(&mut self, now: LocalTime, took: TimeSpan) {
        let began_at = now - took;
        self.connected_at = self.connected_at.max(Some(began_at));
        self.sampled_at = Some(now);
        self.record_minimum(now, took);
        let extra = took.minus(self.minimum().unwrap_or(took));
        if extra >= MAX_EXTRA_DELAY {
            self.halve(now);
        } else if extra <= FREE_EXTRA_DELAY {
            self.grow(now);
        }
    }

    /// Records a connection that was begun at `began_at` and could not be
    /// opened.
    ///
    /// If one that was begun later has been opened, the server is at fault,
    /// and not the link.
    pub fn record_unconnected(&mut self, now: LocalTime, began_at: LocalTime) {
        self.sampled_at = Some(now);
        if self.connected_at.is_none_or(|opened| opened < began_at) {
            self.halve(now);
        }
    }

    /// Records a connection that was begun at `began_at` and is abandoned
    /// because its request has no time left. One that was abandoned early says
    /// nothing about the link.
    pub fn record_abandoned(&mut self, now: LocalTime, began_at: LocalTime) {
        let expected = self.minimum().unwrap_or(TimeSpan::ZERO);
        if now.since(began_at) >= expected.plus(MAX_EXTRA_DELAY) {
            self.record_unconnected(now, began_at);
        }
    }

    /// Whether a download is to open a new connection, although an idle one
    /// exists: the delay of the link has not been observed for a while.
    #[must_use]
    pub fn needs_sample(&self, now: LocalTime) -> bool {
        self.sampled_at.is_none_or(|at| now.since(at) >= MAX_SAMPLE_AGE)
    }

    /// How long a download has to wait until it may be sent; `None` if until
    /// one in flight has ended.
    #[must_use]
    pub fn wait_time(&self, now: LocalTime) -> Option<TimeSpan> {
        if self.window < self.response() {
            let idle = self.in_flight == 0;
            return idle.then(|| self.paused_until.since(now));
        }
        let filled = self.in_flight_bytes.saturating_add(self.response());
        (filled <= self.window).then_some(TimeSpan::ZERO)
    }

    /// Records that a download was kept out because of the window.
    pub const fn record_denied(&mut self, now: LocalTime) {
        self.used_at = Some(now);
        self.denied_at = Some(now);
    }

    /// Whether a download was kept out recently.
    #[must_use]
    pub fn is_limiting(&self, now: LocalTime) -> bool {
        self.denied_at.is_some_and(|at| now.since(at) < VALIDATION_INTERVAL)
    }

    /// Records the start of a download and returns the bytes that it is
    /// expected to take. `random` is between 0 and 1; it spreads the pauses of
    /// many VMs.
    pub fn record_start(&mut self, now: LocalTime, random: f64) -> u64 {
        self.validate(now);
        let bytes = self.response();
        self.in_flight += 1;
        self.started_at = Some(now);
        self.resize(0, bytes);
        if self.in_flight_bytes.saturating_add(bytes) > self.window {
            self.used_at = Some(now);
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "between 0 and 50"
        )]
        let spread = (random.clamp(0.0, 1.0) * 50.0) as u64;
        self.paused_until = now + self.pause().percent(75 + spread);
        bytes
    }

    /// Replaces the bytes that a download was expected to take by those that
    /// its response has.
    pub fn record_size(&mut self, expected: u64, bytes: u64) {
        self.resize(expected, bytes);
        match self.response {
            Some(typical) => {
                let retained = typical - typical / SIZE_DIVISOR;
                self.response = Some(retained + bytes / SIZE_DIVISOR);
            }
            // The window was counted in responses of an assumed size.
            None if bytes > 0 => {
                let scaled = u128::from(self.window) * u128::from(bytes)
                    / u128::from(ASSUMED_RESPONSE_BYTES);
                self.window = u64::try_from(scaled).unwrap_or(u64::MAX);
                self.response = Some(bytes);
            }
            None => {}
        }
    }

    /// Records the end of a download that counted as `bytes`, and how long it
    /// took if its response arrived.
    pub fn record_end(
        &mut self,
        now: LocalTime,
        bytes: u64,
        took: Option<TimeSpan>,
    ) {
        self.validate(now);
        self.resize(bytes, 0);
        self.in_flight = self.in_flight.saturating_sub(1);
        let Some(took) = took else { return };
        let micros = self.duration.as_micros();
        let retained = micros - micros / DURATION_DIVISOR;
        let new = took.as_micros() / DURATION_DIVISOR;
        self.duration = TimeSpan::from_micros(retained + new);
    }

    /// Whether a download that gains nothing by it may be sent to the region,
    /// to learn how soon its servers respond.
    #[must_use]
    pub fn may_explore(&self, now: LocalTime) -> bool {
        self.is_idle(now, EXPLORATION_INTERVAL)
    }

    /// The typical size of a response.
    fn response(&self) -> u64 {
        self.response.unwrap_or(ASSUMED_RESPONSE_BYTES).max(1)
    }

    /// The pause between two downloads by which they take as many bytes as
    /// the window allows.
    fn pause(&self) -> TimeSpan {
        if self.window >= self.response() {
            return TimeSpan::ZERO;
        }
        let percent = self.response().saturating_mul(100) / self.window.max(1);
        self.duration.percent(percent).min(MAX_PAUSE)
    }

    const fn resize(&mut self, from: u64, to: u64) {
        let others = self.in_flight_bytes.saturating_sub(from);
        self.in_flight_bytes = others.saturating_add(to);
        if self.in_flight_bytes > self.peak_bytes {
            self.peak_bytes = self.in_flight_bytes;
        }
    }

    fn grow(&mut self, now: LocalTime) {
        let elapsed = now.since(self.grown_at).min(MAX_GROWTH_TIME);
        self.grown_at = now;
        self.validate(now);
        if self.used_at.is_none_or(|used| now.since(used) > USED_TIME) {
            return;
        }
        let response = self.response();
        let is_recent = |at| now.since(at) < CAUTIOUS_TIME;
        let per_s = if self.halved_at.is_some_and(is_recent) {
            response / CAUTIOUS_GROWTH_DIVISOR
        } else {
            response
        };
        let added = per_s.saturating_mul(elapsed.as_micros()) / 1_000_000;
        self.window = self.window.saturating_add(added);
    }

    fn halve(&mut self, now: LocalTime) {
        self.grown_at = now;
        let recently = |at| now.since(at) < HALVING_INTERVAL;
        if self.halved_at.is_some_and(recently) {
            return;
        }
        self.halved_at = Some(now);
        let min = (self.response() / MIN_WINDOW_DIVISOR).max(1);
        self.window = (self.window / 2).max(min);
    }

    /// Moves a window that was not used towards one response. A wide one
    /// would allow a burst that the link was never observed to carry.
    fn validate(&mut self, now: LocalTime) {
        let intervals = now.since(self.validated_at).as_micros()
            / VALIDATION_INTERVAL.as_micros();
        if intervals == 0 {
            return;
        }
        self.validated_at = now;
        let response = self.response();
        // The first interval may have been used, later ones were not.
        let is_used = self.peak_bytes >= self.window / 2;
        let unused = intervals - u64::from(is_used);
        self.peak_bytes = self.in_flight_bytes;
        if self.window > response {
            let shift = u32::try_from(unused.min(63)).unwrap_or(63);
            self.window = (self.window >> shift).max(response);
        } else if self.is_idle(now, RESET_TIME) {
            self.window = response;
        }
    }

    /// Whether no download is in flight or was started within `span`.
    fn is_idle(&self, now: LocalTime, span: TimeSpan) -> bool {
        let elapsed = |at| now.since(at) >= span;
        self.in_flight == 0 && self.started_at.is_none_or(elapsed)
    }

    fn record_minimum(&mut self, now: LocalTime, took: TimeSpan) {
        let step = now.as_micros() / STEP.as_micros();
        let is_old = |kept: &(u64, TimeSpan)| kept.0 + MINIMUM_STEPS <= step;
        while self.minima.front().is_some_and(is_old) {
            self.minima.pop_front();
        }
        match self.minima.back_mut() {
            Some((last, minimum)) if *last == step => {
                *minimum = (*minimum).min(took);
            }
            _ => self.minima.push_back((step, took)),
        }
        let recent = self.minima.iter().map(|(_step, minimum)| *minimum);
        let recent = recent.min().unwrap_or(took);
        self.minimum = Some(match self.minimum {
            Some((known, _)) if recent <= known => (recent, now),
            Some((known, at)) if now.since(at) >= MINIMUM_TIME => {
                (recent.min(known.plus(FREE_EXTRA_DELAY)), now)
            }
            Some(unchanged) => unchanged,
            None => (took, now),
        });
    }

    fn minimum(&self) -> Option<TimeSpan> {
        self.minimum.map(|(minimum, _changed_at)| minimum)
    }
}

/// Whether the servers of another region, whose responses take `remote`,
/// respond clearly sooner than those of the own region, whose responses take
/// `near`.
///
/// If both regions are overloaded alike, downloads that are sent both ways
/// fill the link and free no server.
#[must_use]
pub fn is_clearly_sooner(remote: TimeSpan, near: TimeSpan) -> bool {
    remote <= near.percent(CLEARLY_SOONER_PERCENT)
}
