//! Answers that cross to another region, paced and counted.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use goldcrestramp_decisions::{LINK_CHUNK, LinkFlow, LinkSettings, LinkShare};
use goldcrestramp_types::{
    CallerName, FastMap, LocalTime, NotRunReason, RegionName, RequestClass,
    ServiceName, TimeSpan,
};
use tokio::sync::oneshot;

use crate::context::NodeContext;

/// Long answers that cross at once: with more, each gets less than a
/// modem's share of the link.
const FLOW_LIMIT: usize = 64;

/// The most regions that are told apart. A peer names its region itself, so
/// a broken one could otherwise fill the memory with links.
const REGIONS_MOST: usize = 64;

/// The links to other regions, by region.
#[derive(Debug)]
pub(crate) struct RegionLinks {
    context: Arc<NodeContext>,
    links: Mutex<FastMap<RegionName, Arc<RegionLink>>>,
}

impl RegionLinks {
    pub(crate) fn new(context: Arc<NodeContext>) -> Self {
        Self { context, links: Mutex::default() }
    }

    /// The link to a gateway's region; nothing if that is this VM's own,
    /// or unknown.
    pub(crate) fn link(&self, region: &str) -> Option<Arc<RegionLink>> {
        let region = RegionName::new(region).ok()?;
        if region == self.context.settings.region {
            return None;
        }
        let mut links =
            self.links.lock().unwrap_or_else(PoisonError::into_inner);
        if links.len() >= REGIONS_MOST && !links.contains_key(&region) {
            return links.values().next().map(Arc::clone);
        }
        let link = links
            .entry(region)
            .or_insert_with(|| RegionLink::open(Arc::clone(&self.context)));
        Some(Arc::clone(link))
    }
}

#[derive(Debug)]
struct LinkState {
    share: LinkShare,
    /// Long answers whose next chunk waits.
    turns: FastMap<LinkFlow, oneshot::Sender<()>>,
}

/// This VM's part of the link to one region.
#[derive(Debug)]
pub(crate) struct RegionLink {
    context: Arc<NodeContext>,
    state: Mutex<LinkState>,
}

impl RegionLink {
    fn open(context: Arc<NodeContext>) -> Arc<Self> {
        let settings = LinkSettings {
            bytes_per_second: context.settings.link_bytes_per_second,
            flow_limit: FLOW_LIMIT,
        };
        let share = LinkShare::open(context.now(), settings);
        let state = LinkState { share, turns: FastMap::default() };
        Arc::new(Self { context, state: Mutex::new(state) })
    }

    /// Takes an answer that will cross.
    pub(crate) fn cross(
        self: Arc<Self>,
        class: RequestClass,
        service: &ServiceName,
        caller: &CallerName,
        deadline: LocalTime,
    ) -> Result<LinkCrossing, NotRunReason> {
        let flow = if class == RequestClass::Long {
            // The length of the answer is not known before it comes.
            let now = self.context.now();
            let share = &mut self.lock().share;
            Some(share.open_flow(now, caller, 0, deadline)?)
        } else {
            None
        };
        Ok(LinkCrossing {
            link: self,
            flow,
            service: service.clone(),
            caller: caller.clone(),
        })
    }

    /// Waits until a chunk of a long answer may cross.
    async fn turn(&self, flow: LinkFlow, bytes: u64) {
        let (turn, mut turned) = oneshot::channel();
        self.offer(flow, bytes, turn);
        while let Some(wait) = self.pump() {
            let turned = &mut turned;
            // Whoever looks first hands out the turns that are due.
            if tokio::time::timeout(wait.to_std(), turned).await.is_ok() {
                return;
            }
        }
    }

    /// Queues the next chunk of a long answer.
    fn offer(&self, flow: LinkFlow, bytes: u64, turn: oneshot::Sender<()>) {
        let mut state = self.lock();
        state.turns.insert(flow, turn);
        state.share.offer_chunk(flow, bytes);
    }

    /// Hands out the turns that are due; tells when to look again, or
    /// nothing if no chunk waits any more.
    fn pump(&self) -> Option<TimeSpan> {
        let now = self.context.now();
        let mut state = self.lock();
        while let Some(flow) = state.share.poll(now) {
            if let Some(turn) = state.turns.remove(&flow) {
                // One that has gone away needs no turn.
                let _sent = turn.send(());
            }
        }
        // A timer may ring a little early.
        let pause = TimeSpan::from_micros(500);
        state.share.wake_at().map(|wake| wake.since(now).max(pause))
    }

    fn lock(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One answer on its way to another region.
#[derive(Debug)]
pub(crate) struct LinkCrossing {
    link: Arc<RegionLink>,
    /// Set for long answers, which wait for their turns.
    flow: Option<LinkFlow>,
    service: ServiceName,
    caller: CallerName,
}

impl LinkCrossing {
    /// The next piece of `data` that crosses at once, when it may.
    pub(crate) async fn next(&self, data: &mut Bytes) -> Bytes {
        let piece = if let Some(flow) = self.flow {
            let limit = usize::try_from(LINK_CHUNK).unwrap_or(usize::MAX);
            let piece = data.split_to(data.len().min(limit));
            self.link.turn(flow, piece.len() as u64).await;
            piece
        } else {
            let now = self.link.context.now();
            let bytes = data.len() as u64;
            self.link.lock().share.record_short(now, bytes);
            std::mem::take(data)
        };
        let bytes = piece.len() as u64;
        let metrics = &self.link.context.metrics;
        metrics.count_link(&self.service, &self.caller, bytes);
        piece
    }
}

impl Drop for LinkCrossing {
    fn drop(&mut self) {
        if let Some(flow) = self.flow {
            let mut state = self.link.lock();
            state.turns.remove(&flow);
            state.share.close_flow(flow);
        }
    }
}
