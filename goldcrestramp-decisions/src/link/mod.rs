/*!
Schedules traffic on the slow link between two regions.

Exports and downloads cross a link of about 30 Mbit/s and 12 ms delay, together
with lookups and orders. A plain TCP stream fills the link and its buffers, so
that the response to a lookup waits behind a second of download.

Short responses are sent at once and charged to the link's credit. Long ones
are cut into chunks. A chunk is sent only when the link has carried everything
before it, in an order that is fair by caller. While there is short traffic,
long responses leave a quarter of the link unused, so that a short response in
the next millisecond does not find it full.

Credit is stored as a deadline, the time at which the link will have carried
everything that was let through. So a pause accumulates no credit, and no timer
is needed.
*/

mod volume;

use std::collections::BTreeSet;

use goldcrestramp_types::{
    CallerName, FastMap, LocalTime, NotRunReason, TimeSpan,
};
use slotmap::{SlotMap, new_key_type};

pub use crate::link::volume::LinkVolume;

/// The size of a chunk in bytes. It takes 4.4 ms at 30 Mbit/s, a third of the
/// link's own delay, which is the longest that a short response waits behind
/// one.
pub const LINK_CHUNK_BYTES: u64 = 16 * 1_024;

/// The percentage of the link for long responses while there is short traffic.
const LONG_PERCENT: u64 = 75;

/// Short traffic counts as present for this long after a short response.
const SHORT_TRAFFIC_WINDOW: TimeSpan = TimeSpan::from_millis(100);

const MICROS_PER_SECOND: u64 = 1_000_000;

new_key_type! {
    /// A long response that crosses a link.
    pub struct LinkFlow;
}

/// A node's part of a link.
#[derive(Clone, Copy, Debug)]
pub struct LinkSettings {
    /// The rate at which it may send: the link's rate divided by the VMs that
    /// share it.
    pub bytes_per_second: u64,
    /// The maximum number of concurrent long responses.
    pub flow_limit: usize,
}

#[derive(Clone, Debug)]
struct FlowState {
    caller: CallerName,
    /// The size of the chunk that waits, if one does.
    chunk: Option<u64>,
}

#[derive(Clone, Copy, Debug, Default)]
struct CallerState {
    /// Bytes sent in virtual time; the lowest is sent next.
    tag: u64,
    flows: usize,
}

/// The traffic of this node on a link, and when it may be sent.
#[derive(Clone, Debug)]
pub struct LinkShare {
    settings: LinkSettings,
    flows: SlotMap<LinkFlow, FlowState>,
    callers: FastMap<CallerName, CallerState>,
    /// Flows with a chunk to send, by their caller's tag, then by order of
    /// arrival.
    ready: BTreeSet<(u64, u64, LinkFlow)>,
    sequence: u64,
    clock: u64,
    /// When the link will have carried everything that was let through.
    free_at: LocalTime,
    /// When long responses may send again.
    long_free_at: LocalTime,
    last_short_at: Option<LocalTime>,
}

impl LinkShare {
    /// Opens a link on which nothing has been sent.
    #[must_use]
    pub fn open(now: LocalTime, settings: LinkSettings) -> Self {
        Self {
            settings,
            flows: SlotMap::with_key(),
            callers: FastMap::default(),
            ready: BTreeSet::new(),
            sequence: 0,
            clock: 0,
            free_at: now,
            long_free_at: now,
            last_short_at: None,
        }
    }

    /// Records a short response, which is sent at once.
    pub fn record_short(&mut self, now: LocalTime, bytes: u64) {
        self.last_short_at = Some(now);
        self.free_at = self.free_at.max(now) + self.span(bytes, 100);
    }

    /// Admits a long response of a caller before it starts.
    ///
    /// # Errors
    ///
    /// `LinkFull` when the maximum number of long responses is reached, or
    /// when this one's fair share of the link could not carry `bytes` before
    /// the deadline.
    pub fn open_flow(
        &mut self,
        now: LocalTime,
        caller: &CallerName,
        bytes: u64,
        deadline: LocalTime,
    ) -> Result<LinkFlow, NotRunReason> {
        let sharing = self.callers.len() as u64 + 1;
        let needed = self.span(bytes.saturating_mul(sharing), LONG_PERCENT);
        let is_late = bytes > LINK_CHUNK_BYTES && now + needed > deadline;
        if self.flows.len() >= self.settings.flow_limit || is_late {
            return Err(NotRunReason::LinkFull);
        }
        let clock = self.clock;
        let state = self.callers.entry(caller.clone()).or_default();
        state.flows += 1;
        state.tag = state.tag.max(clock);
        let flow = FlowState { caller: caller.clone(), chunk: None };
        Ok(self.flows.insert(flow))
    }

    /// Queues the next chunk of a long response, at most [`LINK_CHUNK_BYTES`].
    pub fn offer_chunk(&mut self, flow: LinkFlow, bytes: u64) {
        let Some(state) = self.flows.get_mut(flow) else { return };
        if state.chunk.is_some() {
            return;
        }
        state.chunk = Some(bytes.min(LINK_CHUNK_BYTES));
        let caller = self.callers.entry(state.caller.clone()).or_default();
        caller.tag = caller.tag.max(self.clock);
        self.sequence += 1;
        self.ready.insert((caller.tag, self.sequence, flow));
    }

    /// The flow whose chunk may be sent now.
    pub fn poll(&mut self, now: LocalTime) -> Option<LinkFlow> {
        if self.wake_at()? > now {
            return None;
        }
        loop {
            let (tag, sequence, flow) = self.ready.pop_first()?;
            let Some(state) = self.flows.get_mut(flow) else { continue };
            let caller = self.callers.get_mut(&state.caller)?;
            // Another flow of the same caller has sent in the meantime.
            if caller.tag > tag {
                self.ready.insert((caller.tag, sequence, flow));
                continue;
            }
            let bytes = state.chunk.take().unwrap_or(0);
            self.clock = self.clock.max(tag);
            caller.tag = tag + bytes;
            self.charge(now, bytes);
            return Some(flow);
        }
    }

    /// Ends a long response, complete or not.
    pub fn close_flow(&mut self, flow: LinkFlow) {
        let Some(state) = self.flows.remove(flow) else { return };
        self.ready.retain(|(_, _, other)| *other != flow);
        let Some(caller) = self.callers.get_mut(&state.caller) else { return };
        caller.flows -= 1;
        if caller.flows == 0 {
            self.callers.remove(&state.caller);
        }
    }

    /// When the next waiting chunk may be sent.
    #[must_use]
    pub fn wake_at(&self) -> Option<LocalTime> {
        let waits = !self.ready.is_empty();
        waits.then(|| self.free_at.max(self.long_free_at))
    }

    /// Charges a chunk to the credit of the link and of long responses.
    fn charge(&mut self, now: LocalTime, bytes: u64) {
        let has_short_traffic = self
            .last_short_at
            .is_some_and(|time| now.since(time) <= SHORT_TRAFFIC_WINDOW);
        let percent = if has_short_traffic { LONG_PERCENT } else { 100 };
        self.free_at = self.free_at.max(now) + self.span(bytes, 100);
        self.long_free_at =
            self.long_free_at.max(now) + self.span(bytes, percent);
    }

    /// The time to send `bytes` on this percentage of the link.
    const fn span(&self, bytes: u64, percent: u64) -> TimeSpan {
        let rate = self.settings.bytes_per_second.saturating_mul(percent);
        let rate = if rate == 0 { 1 } else { rate };
        let scaled = bytes.saturating_mul(100 * MICROS_PER_SECOND);
        TimeSpan::from_micros(scaled / rate)
    }
}
