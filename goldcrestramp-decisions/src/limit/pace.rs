//! How fast a server is against its own past, and whether it is silent.

use goldcrestramp_types::{LocalTime, RequestClass, TimeSpan};

/// The recent pace moves by 1/8 of each difference: some ten answers.
const RECENT_GAIN: u64 = 8;

/// The usual pace moves by 1/64 of the difference once a second: a minute,
/// so that a slow spell of seconds stands out against it.
const USUAL_GAIN: u64 = 64;
const USUAL_PAUSE: TimeSpan = TimeSpan::from_millis(1_000);

/// A server this many times slower than usual is slow. Twice happens at
/// each shop opening; the loss that matters begins where its queue cannot
/// keep up at the usual load of about a third.
const SLOW_FACTOR: u64 = 3;

/// It has to stay so for this long before anything is moved: a move costs
/// more than a short pause of the server.
const SLOW_FOR: TimeSpan = TimeSpan::from_millis(1_000);

/// Silence of this many slot times means that a server is frozen, within
/// these bounds.
const SILENT_FACTOR: u64 = 10;
const MIN_SILENCE: TimeSpan = TimeSpan::from_millis(300);
const MAX_SILENCE: TimeSpan = TimeSpan::from_millis(10_000);

/// The pace of one class.
#[derive(Clone, Copy, Debug, Default)]
struct ClassPace {
    /// In microseconds; 0 before the first answer.
    recent: u64,
    usual: u64,
    usual_at: LocalTime,
}

/// What is known of a server's speed.
#[derive(Clone, Debug)]
pub(crate) struct ServerPace {
    classes: [ClassPace; 3],
    /// Requests whose answers have not begun.
    running: u32,
    /// Whether a long answer may be among them.
    long_runs: bool,
    alive_at: LocalTime,
    slow_since: Option<LocalTime>,
}

impl ServerPace {
    pub(crate) fn new(now: LocalTime) -> Self {
        Self {
            classes: [ClassPace::default(); 3],
            running: 0,
            long_runs: false,
            alive_at: now,
            slow_since: None,
        }
    }

    pub(crate) fn started(&mut self, now: LocalTime, class: RequestClass) {
        if self.running == 0 {
            self.alive_at = now;
            self.long_runs = false;
        }
        self.running += 1;
        self.long_runs |= class == RequestClass::Long;
    }

    pub(crate) const fn progressed(&mut self, now: LocalTime) {
        self.alive_at = now;
    }

    pub(crate) const fn replied(&mut self, now: LocalTime) {
        self.running = self.running.saturating_sub(1);
        self.alive_at = now;
    }

    /// Takes the time of an answer.
    pub(crate) fn record(
        &mut self,
        now: LocalTime,
        class: RequestClass,
        span: TimeSpan,
    ) {
        let sample = span.as_micros().max(1);
        let pace = &mut self.classes[class as usize];
        if pace.recent == 0 {
            *pace = ClassPace { recent: sample, usual: sample, usual_at: now };
        }
        pace.recent = blend(pace.recent, sample, RECENT_GAIN);
        if now.since(pace.usual_at) >= USUAL_PAUSE {
            pace.usual = blend(pace.usual, pace.recent, USUAL_GAIN);
            pace.usual_at = now;
        }
        // Long answers differ too much in length to tell a server's pace.
        if class != RequestClass::Long {
            let slow = pace.recent > pace.usual * SLOW_FACTOR;
            self.slow_since =
                if slow { self.slow_since.or(Some(now)) } else { None };
        }
    }

    /// Whether it has been slow for a while.
    pub(crate) fn is_slow(&self, now: LocalTime) -> bool {
        self.slow_since.is_some_and(|since| now.since(since) >= SLOW_FOR)
    }

    /// When the silence of what runs becomes a sign.
    ///
    /// A long answer may take most of its slot time before its first byte,
    /// so its class decides while one is awaited.
    pub(crate) fn silent_at(&self) -> Option<LocalTime> {
        if self.running == 0 {
            return None;
        }
        let [lookup, order, _] = self.classes.map(|pace| pace.recent);
        let short = lookup.max(order).saturating_mul(SILENT_FACTOR);
        let span = if self.long_runs {
            MAX_SILENCE
        } else {
            TimeSpan::from_micros(short).clamp(MIN_SILENCE, MAX_SILENCE)
        };
        Some(self.alive_at + span)
    }
}

/// Moves `value` by 1/`gain` of the way to `sample`.
const fn blend(value: u64, sample: u64, gain: u64) -> u64 {
    if sample >= value {
        value + (sample - value) / gain
    } else {
        value - (value - sample) / gain
    }
}
