//! One node of the tree of fair shares.

use std::collections::{BTreeMap, BTreeSet};

use goldcrestramp_types::{CallerName, LocalTime, RequestClass};
use slotmap::new_key_type;

use crate::queue::request::RequestKey;

new_key_type! {
    /// A flow of the tree.
    pub(crate) struct FlowKey;
}

/// Virtual time of one microsecond of slot time at weight 1; the low bits
/// keep the division by a weight from rounding to nothing.
pub(crate) const TAG_SCALE: u64 = 1_024;

/// What a flow stands for; unique in the tree.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) enum FlowName {
    /// Everything at the server.
    Root,
    /// One class.
    Class(RequestClass),
    /// One caller within a class.
    Caller(RequestClass, CallerName),
    /// One key of a caller within a class.
    Key(FlowKey, u64),
}

/// A flow: its share, and what waits and runs in it.
#[derive(Clone, Debug)]
pub(crate) struct Flow {
    /// The flow that it shares with its siblings; none at the root.
    pub(crate) parent: Option<FlowKey>,
    pub(crate) name: FlowName,
    pub(crate) weight: u64,
    /// The virtual time at which its next request starts, in the clock
    /// of the parent.
    pub(crate) tag: u64,
    /// Its turn among ready siblings with the same tag.
    pub(crate) turn: u64,
    /// What its ended requests used beyond what was charged for them (or
    /// short of it, if negative), in virtual time; moved into `tag` at the
    /// next start, to spare a move among the ready ones for each end.
    pub(crate) debt: i64,
    /// The virtual time among its children.
    pub(crate) clock: u64,
    /// What the clock gains when the next child starts.
    pub(crate) clock_due: u64,
    /// Children with something waiting, by tag, then by turn.
    pub(crate) ready: BTreeMap<(u64, u64), FlowKey>,
    /// The sum of the weights in `ready`.
    pub(crate) ready_weight: u64,
    /// Waiting requests in it and below.
    pub(crate) waiting: usize,
    /// Their expected slot time in microseconds.
    pub(crate) cost: u64,
    /// Running requests in it and below.
    pub(crate) running: usize,
    /// The waiting requests of a key, the most urgent first.
    pub(crate) queue: BTreeSet<(LocalTime, RequestKey)>,
    /// The length by which a caller is found in the tree's order of
    /// lengths; the true one may have become less.
    pub(crate) noted_length: u64,
    /// Its place among the idle flows, if it is one.
    pub(crate) idle_turn: Option<u64>,
}

impl Flow {
    /// A flow with nothing in it.
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
            turn: 0,
            debt: 0,
            clock: 0,
            clock_due: 0,
            ready: BTreeMap::new(),
            ready_weight: 0,
            waiting: 0,
            cost: 0,
            running: 0,
            queue: BTreeSet::new(),
            noted_length: 0,
            idle_turn: None,
        }
    }

    /// Moves the debt into the tag.
    pub(crate) fn settle_debt(&mut self) {
        self.tag = self.tag.saturating_add_signed(self.debt);
        self.debt = 0;
    }

    /// Whether nothing waits or runs in it.
    pub(crate) const fn is_idle(&self) -> bool {
        self.waiting == 0 && self.running == 0
    }

    /// The virtual time that `cost` microseconds of slot time take.
    pub(crate) const fn virtual_time(&self, cost: u64) -> u64 {
        cost.saturating_mul(TAG_SCALE) / self.weight
    }

    /// The waiting requests for each unit of weight.
    pub(crate) fn length(&self) -> u64 {
        let waiting = u64::try_from(self.waiting).unwrap_or(u64::MAX);
        waiting.saturating_mul(TAG_SCALE) / self.weight
    }

    /// The tag of the child that starts next.
    pub(crate) fn lowest_tag(&self) -> Option<u64> {
        self.ready.first_key_value().map(|((tag, _), _)| *tag)
    }

    /// The slot time that children with tags up to `tag` take for one
    /// request each, if tags lie evenly between the lowest and the highest.
    ///
    /// Flows that joined at the same time have equal tags: the distance of
    /// tags alone would say that none of them goes before the last.
    pub(crate) fn round_before(&self, tag: u64, service: u64) -> u64 {
        let lowest = self.lowest_tag().unwrap_or(u64::MAX);
        let highest = self.ready.last_key_value();
        let highest = highest.map_or(0, |((tag, _), _)| *tag);
        if tag < lowest {
            return 0;
        }
        let part = u128::from(tag.min(highest) - lowest + 1);
        let whole = u128::from(highest - lowest + 1);
        let children = self.ready.len() as u128;
        let before = part * children * u128::from(service) / whole;
        u64::try_from(before).unwrap_or(u64::MAX)
    }
}
