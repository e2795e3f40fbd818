//! Limits the number of log lines that each part writes per second.

use goldcrestramp_types::{FastMap, LocalTime, TimeSpan};

/// The maximum number of lines of one part in a second. A line has about 200
/// bytes, so a failing part writes at most 20 kB a second; a busy VM refuses
/// some thousand requests in that time.
const MAX_LINES: u32 = 100;

const WINDOW: TimeSpan = TimeSpan::from_millis(1_000);

/// The decision whether a line is written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LineVerdict {
    /// The line is written.
    Write {
        /// The number of lines of its part omitted since the last written one.
        omitted: u32,
    },
    /// The line is omitted and counted.
    Omit,
}

#[derive(Clone, Copy, Debug, Default)]
struct PartCount {
    window_start: LocalTime,
    lines: u32,
    omitted: u32,
}

/// The number of lines of each part in the current second.
///
/// Under overload a VM refuses thousands of requests a second, each with a
/// line. Writing all of them would cost more than the requests.
#[derive(Clone, Debug, Default)]
pub struct LineBudget(FastMap<String, PartCount>);

impl LineBudget {
    /// Counts a line of a part and decides whether it is written.
    pub fn admit(&mut self, now: LocalTime, part: &str) -> LineVerdict {
        let count = match self.0.get_mut(part) {
            Some(count) => count,
            None => self.0.entry(part.to_owned()).or_default(),
        };
        if now.since(count.window_start) >= WINDOW {
            count.window_start = now;
            count.lines = 0;
        }
        if count.lines >= MAX_LINES {
            count.omitted += 1;
            return LineVerdict::Omit;
        }
        count.lines += 1;
        LineVerdict::Write { omitted: std::mem::take(&mut count.omitted) }
    }
}
