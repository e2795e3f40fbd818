/*!
Which classes may take the free slots of a server.

The load: exports and downloads hold a slot for seconds or minutes on
servers of two or four slots. Without a bound they come to hold all of them,
and every lookup waits for the end of an export.

One slot in four, and at least one on a server of several, is reserved for
short requests. Where there have been none for as long as a long answer is
expected to take, the reserve is lent out: such a quiet is expected to last
about as long again, so the loan is back before it is missed. Services that
serve long answers alone thus use every slot.
*/

use goldcrestramp_types::{LocalTime, RequestClass, TimeSpan};

use crate::limit::LimitVerdict;

/// One slot in so many is reserved.
const RESERVED_PART: usize = 4;

/// The slots of a server and what holds them.
#[derive(Clone, Debug)]
pub(crate) struct SlotBook {
    slots: usize,
    /// Nothing starts before this moment.
    held_until: Option<LocalTime>,
    running: usize,
    running_long: usize,
    /// When a short request last came, waited or ended.
    short_at: LocalTime,
}

impl SlotBook {
    /// A book with every slot free.
    pub(crate) const fn new(now: LocalTime, slots: usize) -> Self {
        Self {
            slots,
            held_until: None,
            running: 0,
            running_long: 0,
            short_at: now,
        }
    }

    /// Takes what may be sent to the server; what runs goes on.
    pub(crate) const fn set_limit(&mut self, verdict: LimitVerdict) {
        match verdict {
            LimitVerdict::Allowed(slots) => {
                self.slots = slots;
                self.held_until = None;
            }
            LimitVerdict::Suspended(until) => self.held_until = Some(until),
        }
    }

    /// The end of the time in which nothing may start, if it is not over.
    pub(crate) fn hold(&self, now: LocalTime) -> Option<LocalTime> {
        self.held_until.filter(|until| now < *until)
    }

    /// When the hold ends, over or not.
    pub(crate) const fn held_until(&self) -> Option<LocalTime> {
        self.held_until
    }

    /// Notes that short requests are about.
    pub(crate) fn saw_short(&mut self, now: LocalTime) {
        self.short_at = self.short_at.max(now);
    }

    /// Requests that hold a slot.
    pub(crate) const fn running(&self) -> usize {
        self.running
    }

    /// Whether a slot is free at all.
    pub(crate) const fn has_free(&self) -> bool {
        self.running < self.slots
    }

    /// Takes a slot.
    pub(crate) fn take(&mut self, class: RequestClass) {
        self.running += 1;
        if class == RequestClass::Long {
            self.running_long += 1;
        }
    }

    /// Gives a slot back.
    pub(crate) fn release(&mut self, now: LocalTime, class: RequestClass) {
        self.running -= 1;
        if class == RequestClass::Long {
            self.running_long -= 1;
        } else {
            self.saw_short(now);
        }
    }

    /// The slots that long answers may hold, `long` being how long one is
    /// expected to take.
    pub(crate) fn long_limit(&self, now: LocalTime, long: TimeSpan) -> usize {
        let reserved = match self.slots {
            0 | 1 => 0,
            slots => (slots / RESERVED_PART).max(1),
        };
        if now >= self.lent_at(long) {
            return self.slots;
        }
        self.slots.saturating_sub(reserved)
    }

    /// When the reserve is lent out if no short request comes.
    pub(crate) fn lent_at(&self, long: TimeSpan) -> LocalTime {
        self.short_at + long
    }

    /// Whether a request of this class may start now.
    pub(crate) fn may_start(
        &self,
        now: LocalTime,
        class: RequestClass,
        long: TimeSpan,
    ) -> bool {
        if !self.has_free() || self.hold(now).is_some() {
            return false;
        }
        class != RequestClass::Long
            || self.running_long < self.long_limit(now, long)
    }

    /// The wait until `ahead` microseconds of slot time have been used and
    /// a slot is free.
    pub(crate) fn wait(
        &self,
        now: LocalTime,
        class: RequestClass,
        ahead: u64,
        service: TimeSpan,
        long: TimeSpan,
    ) -> TimeSpan {
        let serving = match class {
            RequestClass::Long => self.long_limit(now, long),
            RequestClass::Lookup | RequestClass::Order => {
                self.slots.saturating_sub(self.running_long)
            }
        };
        // With every slot lent to long answers, one of those has to end.
        let next_end = match (self.has_free(), serving) {
            (true, _) => TimeSpan::ZERO,
            (false, 0) => long,
            (false, _) => service,
        };
        let total = ahead.saturating_add(next_end.as_micros());
        let serving = u64::try_from(serving.max(1)).unwrap_or(u64::MAX);
        let held = self.hold(now).map_or(TimeSpan::ZERO, |t| t.since(now));
        let wait = TimeSpan::from_micros(total / serving);
        TimeSpan::from_micros(wait.as_micros() + held.as_micros())
    }
}
