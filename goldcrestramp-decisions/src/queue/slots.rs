/*!
Which classes may use the free slots of a server.

Exports and downloads hold a slot for seconds or minutes on servers of two or
four slots. Without a limit they would end up holding all of them, and every
lookup would wait for the end of an export.

One slot in four, and at least one on a server of several, is reserved for
short requests. If no short request came for as long as a long response is
expected to take, the reserve is lent to long ones. Such a quiet period is
expected to last about the same time again, so the slot is back before it is
needed. Services with only long responses thus use every slot.
*/

use goldcrestramp_types::{LocalTime, RequestClass, TimeSpan};

use crate::limit::LimitVerdict;

/// One in this many slots is reserved.
const SLOTS_PER_RESERVED: usize = 4;

/// The slots of a server and what uses them.
#[derive(Clone, Debug)]
pub(crate) struct SlotTable {
    slots: usize,
    /// Nothing starts before this time.
    resume_at: Option<LocalTime>,
    running: usize,
    running_long: usize,
    /// When a short request last arrived, waited or ended.
    short_at: LocalTime,
}

impl SlotTable {
    /// Creates a table in which every slot is free.
    pub(crate) const fn new(now: LocalTime, slots: usize) -> Self {
        Self {
            slots,
            resume_at: None,
            running: 0,
            running_long: 0,
            short_at: now,
        }
    }

    /// Sets what may be sent to the server; running requests continue.
    pub(crate) const fn set_limit(&mut self, verdict: LimitVerdict) {
        match verdict {
            LimitVerdict::Allowed(slots) => {
                self.slots = slots;
                self.resume_at = None;
            }
            LimitVerdict::Suspended(until) => self.resume_at = Some(until),
        }
    }

    /// The end of the suspension, if it has not passed.
    pub(crate) fn suspension(&self, now: LocalTime) -> Option<LocalTime> {
        self.resume_at.filter(|until| now < *until)
    }

    /// The end of the suspension, passed or not.
    pub(crate) const fn resume_at(&self) -> Option<LocalTime> {
        self.resume_at
    }

    /// Records that there are short requests.
    pub(crate) fn record_short(&mut self, now: LocalTime) {
        self.short_at = self.short_at.max(now);
    }

    /// The number of requests that hold a slot.
    pub(crate) const fn running(&self) -> usize {
        self.running
    }

    /// Whether any slot is free.
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

    /// Frees a slot.
    pub(crate) fn release(&mut self, now: LocalTime, class: RequestClass) {
        self.running -= 1;
        if class == RequestClass::Long {
            self.running_long -= 1;
        } else {
            self.record_short(now);
        }
    }

    /// The number of slots that long responses may hold; `long` is the
    /// expected time of one.
    pub(crate) fn long_limit(&self, now: LocalTime, long: TimeSpan) -> usize {
        let reserved = match self.slots {
            0 | 1 => 0,
            slots => (slots / SLOTS_PER_RESERVED).max(1),
        };
        if now >= self.lent_at(long) {
            return self.slots;
        }
        self.slots.saturating_sub(reserved)
    }

    /// When the reserve is lent to long responses if no short request arrives.
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
        if !self.has_free() || self.suspension(now).is_some() {
            return false;
        }
        class != RequestClass::Long
            || self.running_long < self.long_limit(now, long)
    }

    /// The wait until `ahead` microseconds of slot time have been used and a
    /// slot is free.
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
        // If every slot is lent to long responses, one of those has to end.
        let next_end = match (self.has_free(), serving) {
            (true, _) => TimeSpan::ZERO,
            (false, 0) => long,
            (false, _) => service,
        };
        let total = ahead.saturating_add(next_end.as_micros());
        let serving = u64::try_from(serving.max(1)).unwrap_or(u64::MAX);
        let suspended =
            self.suspension(now).map_or(TimeSpan::ZERO, |t| t.since(now));
        let wait = TimeSpan::from_micros(total / serving);
        TimeSpan::from_micros(wait.as_micros() + suspended.as_micros())
    }
}
