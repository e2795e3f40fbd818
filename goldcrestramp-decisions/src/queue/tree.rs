/*!
Fair shares of slot time among classes, callers and keys.

One caller, or one key of a caller, may send many times as many requests as
others. First in, first out would serve it in proportion, and the others would
get almost nothing.

This is start-time fair queuing in three levels: class, caller, key. A flow's
next request starts at its *tag*, a virtual time that rises by the used slot
time divided by the flow's weight; the lowest tag is served first. The
expected slot time is charged at the start, and the rest at the flow's next
start, so a flow is charged what it used. An idle flow joins at the current
virtual time, which rises by the used slot time divided by the weights of all
waiting flows. So it gets no credit for the past, and one that used idle slots
has no debt for them.

A flow exists while one of its requests waits or runs, and at most
[`MAX_IDLE_FLOWS`] flows are kept after that. So the tables are exact and not a
sketch, and their size depends on what waits and not on the number of callers
or keys. The error is small: a flow that is evicted while idle loses the record
of what it used beyond its share, which is at most the cost of the requests
that it started last, one for each slot.
*/

use std::collections::BTreeSet;

use goldcrestramp_types::{CallerName, FastMap, LocalTime, RequestClass};
use slotmap::SlotMap;

use crate::queue::{
    flow::{Flow, FlowKey, FlowName, TAG_SCALE},
    request::RequestKey,
};

/// The maximum number of idle flows that keep their tag: about 1 MiB at 250
/// bytes each, and a second of turnover at 4,096 requests a second.
pub(crate) const MAX_IDLE_FLOWS: usize = 4_096;

/// The shares of the classes while all of them wait. Orders count double,
/// since a refused order harms a person. Lookups and long responses share
/// evenly, which is one slot each on a server of two.
const ORDER_WEIGHT: u64 = 2;
const LOOKUP_WEIGHT: u64 = 1;
const LONG_WEIGHT: u64 = 1;

/// A waiting request and the flow of its key.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FlowEntry {
    pub(crate) leaf: FlowKey,
    pub(crate) deadline: LocalTime,
    pub(crate) request: RequestKey,
    /// The expected slot time in microseconds.
    pub(crate) cost: u64,
}

/// All flows of one server.
#[derive(Clone, Debug)]
pub(crate) struct FlowTree {
    flows: SlotMap<FlowKey, Flow>,
    index: FastMap<FlowName, FlowKey>,
    root: FlowKey,
    /// The flow of each class, in the order of `RequestClass::ALL`.
    classes: [FlowKey; 3],
    /// Callers by waiting requests per unit of weight.
    lengths: BTreeSet<(u64, FlowKey)>,
    idle: BTreeSet<(u64, FlowKey)>,
    sequence: u64,
}

impl FlowTree {
    /// Creates a tree of the root and the classes.
    pub(crate) fn new() -> Self {
        let mut flows = SlotMap::with_key();
        let root = flows.insert(Flow::new(None, FlowName::Root, 1));
        let classes = RequestClass::ALL.map(|class| {
            let name = FlowName::Class(class);
            flows.insert(Flow::new(Some(root), name, class_weight(class)))
        });
        Self {
            flows,
            index: FastMap::default(),
            root,
            classes,
            lengths: BTreeSet::new(),
            idle: BTreeSet::new(),
            sequence: 0,
        }
    }

    /// The flow of a key, created if needed.
    ///
    /// The flow may be empty; `release_idle` has to follow if it stays so.
    pub(crate) fn leaf(
        &mut self,
        class: RequestClass,
        caller: &CallerName,
        weight: u32,
        key_hash: u64,
    ) -> FlowKey {
        let parent = self.classes[class as usize];
        let name = FlowName::Caller(class, caller.clone());
        let parent = self.child(parent, name, u64::from(weight.max(1)));
        self.child(parent, FlowName::Key(parent, key_hash), 1)
    }

    /// The number of waiting requests.
    pub(crate) fn waiting(&self) -> usize {
        self.flows[self.root].waiting
    }

    /// The number of waiting requests of a class.
    pub(crate) fn waiting_in(&self, class: RequestClass) -> usize {
        self.flows[self.classes[class as usize]].waiting
    }

    /// The flow with this key.
    pub(crate) fn flow(&self, key: FlowKey) -> &Flow {
        &self.flows[key]
    }

    /// The number of flows, idle ones included.
    pub(crate) fn len(&self) -> usize {
        self.flows.len()
    }

    /// Adds a waiting request.
    pub(crate) fn push(&mut self, entry: FlowEntry) {
        let queue = &mut self.flows[entry.leaf].queue;
        queue.insert((entry.deadline, entry.request));
        self.change_waiting(entry.leaf, |flow| {
            flow.waiting += 1;
            flow.cost += entry.cost;
        });
    }

    /// Removes a waiting request that will not start.
    pub(crate) fn remove(&mut self, entry: FlowEntry) {
        let queue = &mut self.flows[entry.leaf].queue;
        queue.remove(&(entry.deadline, entry.request));
        self.change_waiting(entry.leaf, |flow| {
            flow.waiting -= 1;
            flow.cost = flow.cost.saturating_sub(entry.cost);
        });
        self.release_idle(entry.leaf);
    }

    /// The next request in fair order, among the classes that may start.
    pub(crate) fn first(
        &self,
        may_start: impl Fn(RequestClass) -> bool,
    ) -> Option<RequestKey> {
        let root = &self.flows[self.root];
        let class = root.ready.values().copied().find(|key| {
            matches!(self.flows[*key].name, FlowName::Class(class)
                if may_start(class))
        })?;
        let caller = *self.flows[class].ready.first_key_value()?.1;
        let leaf = *self.flows[caller].ready.first_key_value()?.1;
        Some(self.flows[leaf].queue.first()?.1)
    }

    /// The least urgent request of the caller that has the most waiting for
    /// its weight, and that caller's length.
    pub(crate) fn longest(&mut self) -> Option<(u64, RequestKey)> {
        loop {
            let (recorded, caller) = *self.lengths.last()?;
            let flow = &mut self.flows[caller];
            let length = flow.length();
            if length == recorded {
                let leaf = *flow.ready.last_key_value()?.1;
                return Some((length, self.flows[leaf].queue.last()?.1));
            }
            flow.recorded_length = length;
            self.lengths.remove(&(recorded, caller));
            self.lengths.insert((length, caller));
        }
    }

    /// Moves a request from waiting to running and charges its cost.
    pub(crate) fn start(&mut self, entry: FlowEntry) {
        let queue = &mut self.flows[entry.leaf].queue;
        queue.remove(&(entry.deadline, entry.request));
        let mut next = Some(entry.leaf);
        while let Some(key) = next {
            self.advance_clock(key, entry.cost);
            self.set_ready(key, false);
            let flow = &mut self.flows[key];
            flow.waiting -= 1;
            flow.cost = flow.cost.saturating_sub(entry.cost);
            flow.running += 1;
            flow.apply_debt();
            flow.tag = flow.tag.saturating_add(flow.virtual_time(entry.cost));
            next = flow.parent;
            if flow.waiting > 0 {
                self.set_ready(key, true);
            } else {
                self.remove_length(key);
            }
        }
    }

    /// Ends a running request and charges what it actually used.
    pub(crate) fn finish(&mut self, leaf: FlowKey, expected: u64, used: u64) {
        let mut next = Some(leaf);
        while let Some(key) = next {
            let flow = &mut self.flows[key];
            flow.running -= 1;
            let charged = flow.virtual_time(expected).cast_signed();
            let actual = flow.virtual_time(used).cast_signed();
            flow.debt = flow.debt.saturating_add(actual - charged);
            if flow.waiting == 0 {
                flow.apply_debt();
            }
            next = flow.parent;
        }
        self.release_idle(leaf);
    }

    /// The slot time in microseconds that other flows and its own use before a
    /// request that joins `leaf` now has its turn.
    ///
    /// At each level, a flow has its turn when the lowest tag has risen to its
    /// own and its backlog has been served. Both are in virtual time, in which
    /// its siblings use their shares too, but no more than what waits.
    /// `service` is the expected slot time of one request.
    pub(crate) fn cost_ahead(&self, leaf: FlowKey, service: u64) -> u64 {
        let mut flow = &self.flows[leaf];
        let mut ahead = flow.cost;
        while let Some(parent) = flow.parent {
            let parent = &self.flows[parent];
            if let FlowName::Class(class) = flow.name {
                return self.class_ahead(class, ahead);
            }
            let is_ready = flow.waiting > 0;
            let joining = if is_ready { 0 } else { flow.weight };
            let weights = parent.ready_weight + joining;
            let tag =
                if is_ready { flow.tag } else { flow.tag.max(parent.clock) };
            let lowest = parent.lowest_tag().unwrap_or(tag);
            let span = tag.saturating_sub(lowest);
            let span = span.saturating_add(flow.virtual_time(ahead));
            let fair = span.saturating_mul(weights) / TAG_SCALE;
            let fair = fair.max(parent.round_before(tag, service));
            ahead = fair.min(parent.cost);
            flow = parent;
        }
        ahead
    }

    /// The slot time used before `ahead` of a class, by this and other
    /// classes.
    ///
    /// Short and long responses do not count against each other: the slots
    /// that each may hold keep them apart.
    fn class_ahead(&self, class: RequestClass, ahead: u64) -> u64 {
        let other = match class {
            RequestClass::Lookup => RequestClass::Order,
            RequestClass::Order => RequestClass::Lookup,
            RequestClass::Long => return ahead,
        };
        let part = ahead.saturating_mul(class_weight(other));
        let cost = self.flows[self.classes[other as usize]].cost;
        ahead + cost.min(part / class_weight(class))
    }

    /// Removes or retains flows without requests, from `leaf` upwards.
    pub(crate) fn release_idle(&mut self, leaf: FlowKey) {
        let mut next = Some(leaf);
        while let Some(key) = next {
            let Some(flow) = self.flows.get(key) else { return };
            let Some(parent) = flow.parent else { return };
            if !flow.is_idle() || flow.idle_sequence.is_some() {
                return;
            }
            next = Some(parent);
            if matches!(flow.name, FlowName::Class(_)) {
                return;
            }
            self.retain_idle(key);
        }
    }

    /// Returns a child, created if needed.
    fn child(
        &mut self,
        parent: FlowKey,
        name: FlowName,
        weight: u64,
    ) -> FlowKey {
        if let Some(key) = self.index.get(&name).copied() {
            let flow = &mut self.flows[key];
            if let Some(sequence) = flow.idle_sequence.take() {
                self.idle.remove(&(sequence, key));
            }
            return key;
        }
        let flow = Flow::new(Some(parent), name.clone(), weight);
        let key = self.flows.insert(flow);
        self.index.insert(name, key);
        key
    }

    /// Applies a change of the waiting requests to a flow and all above it.
    fn change_waiting(&mut self, leaf: FlowKey, change: impl Fn(&mut Flow)) {
        let mut next = Some(leaf);
        while let Some(key) = next {
            let flow = &mut self.flows[key];
            let was_waiting = flow.waiting > 0;
            change(flow);
            let is_waiting = flow.waiting > 0;
            next = flow.parent;
            if is_waiting {
                self.raise_length(key);
            } else {
                self.remove_length(key);
            }
            if was_waiting != is_waiting {
                self.set_ready(key, is_waiting);
            }
        }
    }

    /// Records a caller's length if it is above the recorded one.
    ///
    /// A lower length is recorded when it is read, in `longest`, so most
    /// requests do not change the order of lengths.
    fn raise_length(&mut self, key: FlowKey) {
        let flow = &mut self.flows[key];
        let length = flow.length();
        let is_caller = matches!(flow.name, FlowName::Caller(..));
        if is_caller && length > flow.recorded_length {
            self.lengths.remove(&(flow.recorded_length, key));
            self.lengths.insert((length, key));
            flow.recorded_length = length;
        }
    }

    /// Removes a caller without waiting requests from the order of lengths.
    fn remove_length(&mut self, key: FlowKey) {
        let flow = &mut self.flows[key];
        if flow.recorded_length > 0 {
            self.lengths.remove(&(flow.recorded_length, key));
            flow.recorded_length = 0;
        }
    }

    /// Adds a flow to its parent's ready flows, or removes it.
    fn set_ready(&mut self, key: FlowKey, ready: bool) {
        let Some(parent_key) = self.flows[key].parent else { return };
        let clock = self.flows[parent_key].clock;
        self.sequence += u64::from(ready);
        let flow = &mut self.flows[key];
        if ready {
            flow.sequence = self.sequence;
        }
        if ready && flow.running == 0 {
            flow.tag = flow.tag.max(clock);
        }
        let (position, weight) = ((flow.tag, flow.sequence), flow.weight);
        let parent = &mut self.flows[parent_key];
        if ready {
            parent.ready.insert(position, key);
            parent.ready_weight += weight;
        } else {
            parent.ready.remove(&position);
            parent.ready_weight -= weight;
        }
    }

    /// Advances the parent's virtual time for a flow that starts.
    ///
    /// It advances by the cost divided by the weight of all that wait, once
    /// that cost has been used: at the next start. If it advanced to the tag
    /// of what starts alone, new flows, such as keys that are requested once,
    /// would all join at the same time, and flows from before would never have
    /// their turn.
    fn advance_clock(&mut self, key: FlowKey, cost: u64) {
        let flow = &self.flows[key];
        let (parent, tag) = (flow.parent, flow.tag);
        let Some(parent) = parent else { return };
        let parent = &mut self.flows[parent];
        let span = cost.saturating_mul(TAG_SCALE) / parent.ready_weight.max(1);
        let clock = parent.clock.saturating_add(parent.clock_advance);
        parent.clock = clock.max(tag);
        parent.clock_advance = span;
    }

    /// Retains an empty flow for a while if its tag is above its parent's
    /// clock, or if its own clock has advanced. Removes it otherwise.
    fn retain_idle(&mut self, key: FlowKey) {
        let flow = &self.flows[key];
        let clock = flow.parent.map_or(0, |parent| self.flows[parent].clock);
        if flow.tag <= clock && flow.clock == 0 {
            self.remove_flow(key);
            return;
        }
        self.sequence += 1;
        self.flows[key].idle_sequence = Some(self.sequence);
        self.idle.insert((self.sequence, key));
        self.evict();
    }

    /// Removes the flows that became idle first, beyond the limit.
    ///
    /// A key becomes idle before its caller, so it is evicted before it.
    fn evict(&mut self) {
        while self.idle.len() > MAX_IDLE_FLOWS {
            let Some((_, key)) = self.idle.pop_first() else { return };
            self.remove_flow(key);
        }
    }

    fn remove_flow(&mut self, key: FlowKey) {
        if let Some(flow) = self.flows.remove(key) {
            self.index.remove(&flow.name);
        }
    }
}

const fn class_weight(class: RequestClass) -> u64 {
    match class {
        RequestClass::Lookup => LOOKUP_WEIGHT,
        RequestClass::Order => ORDER_WEIGHT,
        RequestClass::Long => LONG_WEIGHT,
    }
}
