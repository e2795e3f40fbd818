//! Detects servers that are slower than is typical for them, or silent.

use goldcrestramp_types::{LocalTime, RequestClass, TimeSpan};

/// The recent pace moves by 1/8 of each difference, so it follows about ten
/// responses.
const RECENT_GAIN: u64 = 8;

/// The typical pace moves by 1/64 of the difference once a second. It averages
/// over a minute, so that a slow period of seconds shows against it.
const TYPICAL_GAIN: u64 = 64;
const TYPICAL_INTERVAL: TimeSpan = TimeSpan::from_millis(1_000);

/// A server this many times slower than is typical for it is slow: its queue
/// grows at a load of a third. Twice as slow is common while callers arrive
/// together.
const SLOW_FACTOR: u64 = 3;

/// A server has to be slow for this long before anything is moved: a move
/// costs more than a short pause of the server.
const SLOW_DURATION: TimeSpan = TimeSpan::from_millis(1_000);

/// A server that is silent for this many slot times, within these bounds,
/// counts as frozen.
const SILENCE_FACTOR: u64 = 10;
pub(crate) const MIN_SILENCE: TimeSpan = TimeSpan::from_millis(300);
const MAX_SILENCE: TimeSpan = TimeSpan::from_millis(10_000);

/// The pace of one class.
#[derive(Clone, Copy, Debug, Default)]
struct ClassPace {
    /// In microseconds; 0 before the first response.
    recent: u64,
    /// In microseconds, like `recent`.
    typical: u64,
    /// When `typical` was last updated.
    typical_at: LocalTime,
}

/// The speed of a server, and when it was last alive.
#[derive(Clone, Debug)]
pub(crate) struct ServerPace {
    classes: [ClassPace; 3],
    /// Requests whose responses have not begun.
    running: u32,
    /// Whether one of them may be a long one.
    has_long: bool,
    last_alive_at: LocalTime,
    slow_since: Option<LocalTime>,
    /// The shortest silence that counts.
    min_silence: TimeSpan,
}

impl ServerPace {
    pub(crate) fn new(now: LocalTime, min_silence: TimeSpan) -> Self {
        Self {
            min_silence,
            classes: [ClassPace::default(); 3],
            running: 0,
            has_long: false,
            last_alive_at: now,
            slow_since: None,
        }
    }

    pub(crate) fn started(&mut self, now: LocalTime, class: RequestClass) {
        if self.running == 0 {
            self.last_alive_at = now;
            self.has_long = false;
        }
        self.running += 1;
        self.has_long |= class == RequestClass::Long;
    }

    pub(crate) const fn progressed(&mut self, now: LocalTime) {
        self.last_alive_at = now;
    }

    pub(crate) const fn replied(&mut self, now: LocalTime) {
        self.running = self.running.saturating_sub(1);
        self.last_alive_at = now;
    }

    /// Records a response time.
    pub(crate) fn record(
        &mut self,
        now: LocalTime,
        class: RequestClass,
        span: TimeSpan,
    ) {
        let sample = span.as_micros().max(1);
        let pace = &mut self.classes[class as usize];
        if pace.recent == 0 {
            *pace =
                ClassPace { recent: sample, typical: sample, typical_at: now };
        }
        pace.recent = blend(pace.recent, sample, RECENT_GAIN);
        if now.since(pace.typical_at) >= TYPICAL_INTERVAL {
            pace.typical = blend(pace.typical, pace.recent, TYPICAL_GAIN);
            pace.typical_at = now;
        }
        // Long responses vary too much in length to measure the server's pace.
        if class != RequestClass::Long {
            let slow = pace.recent > pace.typical * SLOW_FACTOR;
            self.slow_since =
                if slow { self.slow_since.or(Some(now)) } else { None };
        }
    }

    /// Whether it has been slow for long enough.
    pub(crate) fn is_slow(&self, now: LocalTime) -> bool {
        self.slow_since.is_some_and(|since| now.since(since) >= SLOW_DURATION)
    }

    /// When silence during running requests becomes a signal.
    ///
    /// A long response may take most of its slot time before its first byte,
    /// so the bound for long ones applies while one is awaited.
    pub(crate) fn silent_at(&self) -> Option<LocalTime> {
        if self.running == 0 {
            return None;
        }
        let [lookup, order, _] = self.classes.map(|pace| pace.recent);
        let short = lookup.max(order).saturating_mul(SILENCE_FACTOR);
        let span = if self.has_long {
            MAX_SILENCE
        } else {
            TimeSpan::from_micros(short).clamp(self.min_silence, MAX_SILENCE)
        };
        Some(self.last_alive_at + span)
    }
}

/// Moves `value` by 1/`gain` of the difference to `sample`.
const fn blend(value: u64, sample: u64, gain: u64) -> u64 {
    if sample >= value {
        value + (sample - value) / gain
    } else {
        value - (value - sample) / gain
    }
}
