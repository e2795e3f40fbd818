//! Paces and counts responses that cross to another region.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use goldcrestramp_decisions::{
    LINK_CHUNK_BYTES, LinkFlow, LinkSettings, LinkShare,
};
use goldcrestramp_types::{
    CallerName, FastMap, LocalTime, NotRunReason, RegionName, RequestClass,
    ServiceName, TimeSpan,
};
use tokio::sync::oneshot;

use crate::context::NodeContext;

/// The maximum number of long responses that cross at once: with more, each
/// gets less of the link than a modem's rate.
const MAX_FLOWS: usize = 64;

/// The maximum number of regions with a link of their own. A peer names its
/// region itself, so a faulty one could otherwise fill the memory with links.
const MAX_REGIONS: usize = 64;

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

    /// The link to a gateway's region; `None` if that is this VM's own or
    /// invalid.
    pub(crate) fn link(&self, region: &str) -> Option<Arc<RegionLink>> {
        let region = RegionName::new(region).ok()?;
        if region == self.context.settings.region {
            return None;
        }
        let mut links =
            self.links.lock().unwrap_or_else(PoisonError::into_inner);
        if links.len() >= MAX_REGIONS && !links.contains_key(&region) {
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
    /// Long responses whose next chunk waits.
    waiters: FastMap<LinkFlow, oneshot::Sender<()>>,
}

/// This VM's share of the link to one region.
#[derive(Debug)]
pub(crate) struct RegionLink {
    context: Arc<NodeContext>,
    state: Mutex<LinkState>,
}

impl RegionLink {
    fn open(context: Arc<NodeContext>) -> Arc<Self> {
        let settings = LinkSettings {
            bytes_per_second: context.settings.link_bytes_per_second,
            flow_limit: MAX_FLOWS,
        };
        let share = LinkShare::open(context.now(), settings);
        let state = LinkState { share, waiters: FastMap::default() };
        Arc::new(Self { context, state: Mutex::new(state) })
    }

    /// Registers a response that will cross.
    pub(crate) fn cross(
        self: Arc<Self>,
        class: RequestClass,
        service: &ServiceName,
        caller: &CallerName,
        deadline: LocalTime,
    ) -> Result<LinkCrossing, NotRunReason> {
        let flow = if class == RequestClass::Long {
            // The length of the response is not known before it arrives.
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

    /// Waits until a chunk of a long response may cross.
    async fn wait_for_chunk(&self, flow: LinkFlow, bytes: u64) {
        let (sender, mut receiver) = oneshot::channel();
        self.offer(flow, bytes, sender);
        while let Some(wait) = self.pump() {
            let receiver = &mut receiver;
            // The first task to check wakes all flows that are due.
            if tokio::time::timeout(wait.to_std(), receiver).await.is_ok() {
                return;
            }
        }
    }

    /// Queues the next chunk of a long response.
    fn offer(&self, flow: LinkFlow, bytes: u64, sender: oneshot::Sender<()>) {
        let mut state = self.lock();
        state.waiters.insert(flow, sender);
        state.share.offer_chunk(flow, bytes);
    }

    /// Wakes the flows that are due; returns the time until the next check,
    /// or `None` if no chunk waits.
    fn pump(&self) -> Option<TimeSpan> {
        let now = self.context.now();
        let mut state = self.lock();
        while let Some(flow) = state.share.poll(now) {
            if let Some(sender) = state.waiters.remove(&flow) {
                // A flow that was dropped needs no wakeup.
                let _sent = sender.send(());
            }
        }
        // A timer may fire slightly early.
        let min_wait = TimeSpan::from_micros(500);
        state.share.wake_at().map(|wake| wake.since(now).max(min_wait))
    }

    fn lock(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One response that crosses to another region.
#[derive(Debug)]
pub(crate) struct LinkCrossing {
    link: Arc<RegionLink>,
    /// Set for long responses, whose chunks are paced.
    flow: Option<LinkFlow>,
    service: ServiceName,
    caller: CallerName,
}

impl LinkCrossing {
    /// Takes the next piece of `data` when it may cross.
    pub(crate) async fn next(&self, data: &mut Bytes) -> Bytes {
        let piece = if let Some(flow) = self.flow {
            let limit =
                usize::try_from(LINK_CHUNK_BYTES).unwrap_or(usize::MAX);
            let piece = data.split_to(data.len().min(limit));
            self.link.wait_for_chunk(flow, piece.len() as u64).await;
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
            state.waiters.remove(&flow);
            state.share.close_flow(flow);
        }
    }
}
