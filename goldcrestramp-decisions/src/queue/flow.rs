//! A node of the fair queuing tree.

use std::collections::{BTreeMap, BTreeSet};

use goldcrestramp_types::{CallerName, LocalTime, RequestClass};
use slotmap::new_key_type;

use crate::queue::request::RequestKey;

new_key_type! {
    /// A flow of the tree.
    pub(crate) struct FlowKey;
}

/// Virtual time of one microsecond of slot time at weight 1; the low bits keep
/// the division by a weight from rounding to zero.
pub(crate) const TAG_SCALE: u64 = 1_024;

/// Identifies a flow; unique in the tree.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) enum FlowName {
    /// All requests of the server.
    Root,
    /// One class.
    Class(RequestClass),
    /// One caller within a class.
    Caller(RequestClass, CallerName),
    /// One key of a caller within a class.
    Key(FlowKey, u64),
}

/// A flow: its share, and its waiting and running requests.
#[derive(Clone, Debug)]
pub(crate) struct Flow {
    /// The flow that it shares with its siblings; `None` at the root.
    pub(crate) parent: Option<FlowKey>,
    pub(crate) name: FlowName,
    pub(crate) weight: u64,
    /// The virtual time at which its next request starts, by the parent's
    /// clock.
    pub(crate) tag: u64,
    /// The order among ready siblings with the same tag.
    pub(crate) sequence: u64,
    /// Virtual time that its ended requests used beyond what they were
    /// charged; negative if they used less. It is added to `tag` at the next
    /// start, which saves an update of the ready flows for each end.
    pub(crate) debt: i64,
    /// The virtual time of its children.
    pub(crate) clock: u64,
    /// The amount that the clock advances when the next child starts.
    pub(crate) clock_advance: u64,
    /// Children with waiting requests, by tag, then by `sequence`.
    pub(crate) ready: BTreeMap<(u64, u64), FlowKey>,
    /// The sum of the weights in `ready`.
    pub(crate) ready_weight: u64,
    /// Waiting requests in the flow and below.
    pub(crate) waiting: usize,
    /// The expected slot time of the waiting requests, in microseconds.
    pub(crate) cost: u64,
    /// Running requests in the flow and below.
    pub(crate) running: usize,
    /// The waiting requests of a key, most urgent first.
    pub(crate) queue: BTreeSet<(LocalTime, RequestKey)>,
    /// The length of a caller as recorded in the tree's `lengths`; the actual
    /// length may be lower.
    pub(crate) recorded_length: u64,
    /// The order among the idle flows, if it is idle.
    pub(crate) idle_sequence: Option<u64>,
}

impl Flow {
    /// Creates a flow without requests.
    pub(crate) const fn new(
        parent: Option<FlowKey>,
        name: FlowName,
        weight: u64,
    ) -> Self {
        Self {
            parent,
            name,
            weight,
            tag: 0,
            sequence: 0,
            debt: 0,
            clock: 0,
            clock_advance: 0,
            ready: BTreeMap::new(),
            ready_weight: 0,
            waiting: 0,
            cost: 0,
            running: 0,
            queue: BTreeSet::new(),
            recorded_length: 0,
            idle_sequence: None,
        }
    }

    /// Adds the debt to the tag.
    pub(crate) fn apply_debt(&mut self) {
        self.tag = self.tag.saturating_add_signed(self.debt);
        self.debt = 0;
    }

    /// Whether the flow has no waiting or running request.
    pub(crate) const fn is_idle(&self) -> bool {
        self.waiting == 0 && self.running == 0
    }

    /// The virtual time of `cost` microseconds of slot time.
    pub(crate) const fn virtual_time(&self, cost: u64) -> u64 {
        cost.saturating_mul(TAG_SCALE) / self.weight
    }

    /// The number of waiting requests per unit of weight.
    pub(crate) fn length(&self) -> u64 {
        let waiting = u64::try_from(self.waiting).unwrap_or(u64::MAX);
        waiting.saturating_mul(TAG_SCALE) / self.weight
    }

    /// The tag of the child that starts next.
    pub(crate) fn lowest_tag(&self) -> Option<u64> {
        self.ready.first_key_value().map(|((tag, _), _)| *tag)
    }

    /// The slot time of one request each of all children with tags up to
    /// `tag`, if tags are spread evenly between the lowest and the highest.
    ///
    /// Flows that joined at the same time have equal tags. The distance of
    /// their tags alone would say that none of them is served before the last.
    pub(crate) fn round_before(&self, tag: u64, service: u64) -> u64 {
        let lowest = self.lowest_tag().unwrap_or(u64::MAX);
        let highest = self.ready.last_key_value();
        let highest = highest.map_or(0, |((tag, _), _)| *tag);
        if tag < lowest {
            return 0;
        }
        let part = u128::from(tag.min(highest) - lowest + 1);
        let total = u128::from(highest - lowest + 1);
        let children = self.ready.len() as u128;
        let before = part * children * u128::from(service) / total;
        u64::try_from(before).unwrap_or(u64::MAX)
    }
}
