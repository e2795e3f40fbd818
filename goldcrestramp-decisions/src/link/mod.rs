/*!
The short link between two regions.

The load: exports and downloads cross a link of about 30 Mbit/s, 12 ms long,
on which lookups and orders cross too. A plain TCP stream fills the link and
its buffers, so that a lookup's answer waits behind a second of download.

Short answers go at once and take their bytes from the link's credit. Long
ones are cut into chunks, and a chunk goes only when the link is free of what
went before, in an order that is fair by caller. While short answers are
about, long ones leave a quarter of the link unused, since an answer that
comes in the next millisecond must not find it full.

Credit is a deadline, the moment at which the link will have carried what was
let through, so a pause saves up nothing and no timer is needed.
*/

mod volume;

use std::collections::BTreeSet;

use goldcrestramp_types::{
    CallerName, FastMap, LocalTime, NotRunReason, TimeSpan,
};
use slotmap::{SlotMap, new_key_type};

pub use crate::link::volume::LinkVolume;

/// The bytes of a chunk: 4.4 ms of 30 Mbit/s, a third of the link's own
/// delay, is the longest that a short answer waits behind one.
pub const LINK_CHUNK: u64 = 16 * 1_024;

/// The part of the link for long answers while short ones are about.
const LONG_PERCENT: u64 = 75;

/// Short answers are about for this long after one was seen.
const SHORT_MEMORY: TimeSpan = TimeSpan::from_millis(100);

const MICROS_PER_SECOND: u64 = 1_000_000;

new_key_type! {
    /// A long answer that crosses a link.
    pub struct LinkFlow;
}

/// A node's part of a link.
#[derive(Clone, Copy, Debug)]
pub struct LinkSettings {
    /// What it may send: the link's rate over the VMs that share it.
    pub bytes_per_second: u64,
    /// The most long answers at once.
    pub flow_limit: usize,
}

#[derive(Clone, Debug)]
struct FlowState {
    caller: CallerName,
    /// The bytes of the chunk that waits, if one does.
    chunk: Option<u64>,
}

#[derive(Clone, Copy, Debug, Default)]
struct CallerState {
    /// Bytes sent in virtual time; the lowest goes next.
    tag: u64,
    flows: usize,
}

/// What crosses a link from this node, and when.
#[derive(Clone, Debug)]
pub struct LinkShare {
    settings: LinkSettings,
    flows: SlotMap<LinkFlow, FlowState>,
    callers: FastMap<CallerName, CallerState>,
    /// Flows with a chunk to send, by their caller's tag, then by turn.
    ready: BTreeSet<(u64, u64, LinkFlow)>,
    turn: u64,
    clock: u64,
    /// When the link will have carried everything let through.
    free_at: LocalTime,
    /// When long answers may send again.
    long_at: LocalTime,
    short_at: Option<LocalTime>,
}

impl LinkShare {
    /// A link on which nothing has been sent.
    #[must_use]
    pub fn open(now: LocalTime, settings: LinkSettings) -> Self {
        Self {
            settings,
            flows: SlotMap::with_key(),
            callers: FastMap::default(),
            ready: BTreeSet::new(),
            turn: 0,
            clock: 0,
            free_at: now,
            long_at: now,
            short_at: None,
        }
    }

    /// Notes a short answer, which is sent at once.
    pub fn short_sent(&mut self, now: LocalTime, bytes: u64) {
        self.short_at = Some(now);
        self.free_at = self.free_at.max(now) + self.span(bytes, 100);
    }

    /// Takes a long answer of a caller before it starts.
    ///
    /// # Errors
    ///
    /// `LinkFull` when the link has as many as it may have, or when this
    /// one's fair part could not carry `bytes` until the deadline.
    pub fn open_flow(
        &mut self,
        now: LocalTime,
        caller: &CallerName,
        bytes: u64,
        deadline: LocalTime,
    ) -> Result<LinkFlow, NotRunReason> {
        let sharing = self.callers.len() as u64 + 1;
        let needed = self.span(bytes.saturating_mul(sharing), LONG_PERCENT);
        let is_late = bytes > LINK_CHUNK && now + needed > deadline;
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

    /// Queues the next chunk of a long answer, at most [`LINK_CHUNK`].
    pub fn offer_chunk(&mut self, flow: LinkFlow, bytes: u64) {
        let Some(state) = self.flows.get_mut(flow) else { return };
        if state.chunk.is_some() {
            return;
        }
        state.chunk = Some(bytes.min(LINK_CHUNK));
        let caller = self.callers.entry(state.caller.clone()).or_default();
        caller.tag = caller.tag.max(self.clock);
        self.turn += 1;
        self.ready.insert((caller.tag, self.turn, flow));
    }

    /// The flow whose chunk may be sent now.
    pub fn poll(&mut self, now: LocalTime) -> Option<LinkFlow> {
        if self.wake_at()? > now {
            return None;
        }
        loop {
            let (tag, turn, flow) = self.ready.pop_first()?;
            let Some(state) = self.flows.get_mut(flow) else { continue };
            let caller = self.callers.get_mut(&state.caller)?;
            // Another flow of the same caller was sent meanwhile.
            if caller.tag > tag {
                self.ready.insert((caller.tag, turn, flow));
                continue;
            }
            let bytes = state.chunk.take().unwrap_or(0);
            self.clock = self.clock.max(tag);
            caller.tag = tag + bytes;
            self.charge(now, bytes);
            return Some(flow);
        }
    }

    /// Ends a long answer, whole or not.
    pub fn close_flow(&mut self, flow: LinkFlow) {
        let Some(state) = self.flows.remove(flow) else { return };
        self.ready.retain(|(_, _, other)| *other != flow);
        let Some(caller) = self.callers.get_mut(&state.caller) else { return };
        caller.flows -= 1;
        if caller.flows == 0 {
            self.callers.remove(&state.caller);
        }
    }

    /// When a chunk that waits may go.
    #[must_use]
    pub fn wake_at(&self) -> Option<LocalTime> {
        let waits = !self.ready.is_empty();
        waits.then(|| self.free_at.max(self.long_at))
    }

    /// Takes a chunk from the credit of the link and of long answers.
    fn charge(&mut self, now: LocalTime, bytes: u64) {
        let shorts_about =
            self.short_at.is_some_and(|time| now.since(time) <= SHORT_MEMORY);
        let percent = if shorts_about { LONG_PERCENT } else { 100 };
        self.free_at = self.free_at.max(now) + self.span(bytes, 100);
        self.long_at = self.long_at.max(now) + self.span(bytes, percent);
    }

    /// The time that `bytes` take on a part of the link.
    const fn span(&self, bytes: u64, percent: u64) -> TimeSpan {
        let rate = self.settings.bytes_per_second.saturating_mul(percent);
        let rate = if rate == 0 { 1 } else { rate };
        let scaled = bytes.saturating_mul(100 * MICROS_PER_SECOND);
        TimeSpan::from_micros(scaled / rate)
    }
}
