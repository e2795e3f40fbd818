//! How many lines of each part are written in a second.

use goldcrestramp_types::{FastMap, LocalTime, TimeSpan};

/// Lines of one part in a second. A line is about 200 bytes, so a part in
/// trouble writes 20 kB a second; a busy VM refuses some thousand requests
/// in that time.
const MAX_LINES: u32 = 100;

const WINDOW: TimeSpan = TimeSpan::from_millis(1_000);

/// Whether a line is written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LineVerdict {
    /// It is; so many of its part were left out before it.
    Write {
        /// Lines left out since the last one.
        left_out: u32,
    },
    /// It is left out and counted.
    LeaveOut,
}

#[derive(Clone, Copy, Debug, Default)]
struct PartCount {
    since: LocalTime,
    lines: u32,
    left_out: u32,
}

/// The lines of each part.
///
/// The load: an overload refuses thousands of requests a second, each with
/// a line. Written all, they would cost more than the requests.
#[derive(Clone, Debug, Default)]
pub struct LineBudget(FastMap<String, PartCount>);

impl LineBudget {
    /// Takes a line of a part.
    pub fn take(&mut self, now: LocalTime, part: &str) -> LineVerdict {
        let count = match self.0.get_mut(part) {
            Some(count) => count,
            None => self.0.entry(part.to_owned()).or_default(),
        };
        if now.since(count.since) >= WINDOW {
            count.since = now;
            count.lines = 0;
        }
        if count.lines >= MAX_LINES {
            count.left_out += 1;
            return LineVerdict::LeaveOut;
        }
        count.lines += 1;
        LineVerdict::Write { left_out: std::mem::take(&mut count.left_out) }
    }
}
