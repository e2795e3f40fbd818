/*!
Fair shares of slot time among classes, callers and keys.

The load: one caller, or one key of a caller, asks for many times what the
others ask for. First-in-first-out would serve it in proportion to what it
asks, so the others would get next to nothing.

The answer is start-time fair queuing in three levels: class, caller, key.
A flow's next request starts at its *tag*, a virtual time that rises by the
slot time used divided by the flow's weight; the lowest tag goes first. The
expected slot time is charged at the start; what was used beyond it counts
from the flow's next start on, so a flow pays for what it used. A flow that was idle joins at the present
virtual time, which rises by the slot time used over the weights of all that
wait: it has no claim for the past, and one that used idle slots owes nothing
for them.

Memory: a flow exists while something of it waits or runs, and for at most
[`IDLE_LIMIT`] flows after that. So the tables are exact, not a sketch, and
their size depends on what waits and not on the number of callers or keys.
The error: a flow that is evicted while idle forgets what it used beyond its
share, which is at most the cost of its requests that started last, one for
each slot.
*/

use std::collections::BTreeSet;

use goldcrestramp_types::{CallerName, FastMap, LocalTime, RequestClass};
use slotmap::SlotMap;

use crate::queue::{
    flow::{Flow, FlowKey, FlowName, TAG_SCALE},
    request::RequestKey,
};

/// The idle flows that keep their tag: about 1 MiB at 250 bytes each, and
/// a second of turnover at 4,096 requests a second.
pub(crate) const IDLE_LIMIT: usize = 4_096;

/// The shares of the classes while all of them wait. Orders count double,
/// since a refused order is a person's loss. Lookups and long answers share
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
    /// Callers by waiting requests for each unit of weight.
    lengths: BTreeSet<(u64, FlowKey)>,
    idle: BTreeSet<(u64, FlowKey)>,
    turn: u64,
}

impl FlowTree {
    /// A tree with the root and the classes alone.
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
            turn: 0,
        }
    }

    /// The flow of a key, made if it is new.
    ///
    /// The flow may be empty; `settle` has to follow if it stays so.
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

    /// Waiting requests in all.
    pub(crate) fn waiting(&self) -> usize {
        self.flows[self.root].waiting
    }

    /// Waiting requests of a class.
    pub(crate) fn waiting_in(&self, class: RequestClass) -> usize {
        self.flows[self.classes[class as usize]].waiting
    }

    /// The flow itself.
    pub(crate) fn flow(&self, key: FlowKey) -> &Flow {
        &self.flows[key]
    }

    /// The number of flows that take memory.
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

    /// Takes out a waiting request that will not start.
    pub(crate) fn remove(&mut self, entry: FlowEntry) {
        let queue = &mut self.flows[entry.leaf].queue;
        queue.remove(&(entry.deadline, entry.request));
        self.change_waiting(entry.leaf, |flow| {
            flow.waiting -= 1;
            flow.cost = flow.cost.saturating_sub(entry.cost);
        });
        self.settle(entry.leaf);
    }

    /// The request whose turn it is, among the classes that may start.
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

    /// The least urgent request of the caller that has most waiting for
    /// its weight, and that caller's length.
    pub(crate) fn longest(&mut self) -> Option<(u64, RequestKey)> {
        loop {
            let (noted, caller) = *self.lengths.last()?;
            let flow = &mut self.flows[caller];
            let length = flow.length();
            if length == noted {
                let leaf = *flow.ready.last_key_value()?.1;
                return Some((length, self.flows[leaf].queue.last()?.1));
            }
            flow.noted_length = length;
            self.lengths.remove(&(noted, caller));
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
            flow.settle_debt();
            flow.tag = flow.tag.saturating_add(flow.virtual_time(entry.cost));
            next = flow.parent;
            if flow.waiting > 0 {
                self.set_ready(key, true);
            } else {
                self.drop_length(key);
            }
        }
    }

    /// Ends a running request and charges what it really used.
    pub(crate) fn finish(&mut self, leaf: FlowKey, expected: u64, used: u64) {
        let mut next = Some(leaf);
        while let Some(key) = next {
            let flow = &mut self.flows[key];
            flow.running -= 1;
            let paid = flow.virtual_time(expected).cast_signed();
            let owed = flow.virtual_time(used).cast_signed();
            flow.debt = flow.debt.saturating_add(owed - paid);
            if flow.waiting == 0 {
                flow.settle_debt();
            }
            next = flow.parent;
        }
        self.settle(leaf);
    }

    /// The slot time that goes to others or to itself before a request
    /// that joins `leaf` now has its turn, in microseconds.
    ///
    /// At each level a flow has its turn when the lowest tag has risen to
    /// its own, and its backlog after that, all in virtual time, in which
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

    /// What goes before `ahead` of a class, from that and other classes.
    ///
    /// Short and long answers do not count against each other: they are
    /// kept apart by the slots that each may hold.
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

    /// Forgets empty flows from `leaf` upwards, or sets them aside.
    pub(crate) fn settle(&mut self, leaf: FlowKey) {
        let mut next = Some(leaf);
        while let Some(key) = next {
            let Some(flow) = self.flows.get(key) else { return };
            let Some(parent) = flow.parent else { return };
            if !flow.is_idle() || flow.idle_turn.is_some() {
                return;
            }
            next = Some(parent);
            if matches!(flow.name, FlowName::Class(_)) {
                return;
            }
            self.set_aside(key);
        }
    }

    /// Finds a child or makes it.
    fn child(
        &mut self,
        parent: FlowKey,
        name: FlowName,
        weight: u64,
    ) -> FlowKey {
        if let Some(key) = self.index.get(&name).copied() {
            let flow = &mut self.flows[key];
            if let Some(turn) = flow.idle_turn.take() {
                self.idle.remove(&(turn, key));
            }
            return key;
        }
        let flow = Flow::new(Some(parent), name.clone(), weight);
        let key = self.flows.insert(flow);
        self.index.insert(name, key);
        key
    }

    /// Applies a change of what waits to a flow and all above it.
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
                self.drop_length(key);
            }
            if was_waiting != is_waiting {
                self.set_ready(key, is_waiting);
            }
        }
    }

    /// Notes a caller's length if it is above the one noted.
    ///
    /// One that fell is noted when it is looked at, in `longest`: so most
    /// requests come and go without a change of this order.
    fn raise_length(&mut self, key: FlowKey) {
        let flow = &mut self.flows[key];
        let length = flow.length();
        let is_caller = matches!(flow.name, FlowName::Caller(..));
        if is_caller && length > flow.noted_length {
            self.lengths.remove(&(flow.noted_length, key));
            self.lengths.insert((length, key));
            flow.noted_length = length;
        }
    }

    /// Takes a caller with nothing waiting out of the order of lengths.
    fn drop_length(&mut self, key: FlowKey) {
        let flow = &mut self.flows[key];
        if flow.noted_length > 0 {
            self.lengths.remove(&(flow.noted_length, key));
            flow.noted_length = 0;
        }
    }

    /// Puts a flow among its parent's ready ones, or takes it out.
    fn set_ready(&mut self, key: FlowKey, ready: bool) {
        let Some(parent_key) = self.flows[key].parent else { return };
        let clock = self.flows[parent_key].clock;
        self.turn += u64::from(ready);
        let flow = &mut self.flows[key];
        if ready {
            flow.turn = self.turn;
        }
        if ready && flow.running == 0 {
            flow.tag = flow.tag.max(clock);
        }
        let (place, weight) = ((flow.tag, flow.turn), flow.weight);
        let parent = &mut self.flows[parent_key];
        if ready {
            parent.ready.insert(place, key);
            parent.ready_weight += weight;
        } else {
            parent.ready.remove(&place);
            parent.ready_weight -= weight;
        }
    }

    /// Moves the parent's virtual time on for a flow that starts.
    ///
    /// It moves by the cost over the weight of all that wait, once that cost
    /// has been worked off: at the next start. If it moved
    /// to the tag of what starts alone, flows that come new, keys that are
    /// asked for once, would all join at the same time and those that were
    /// there before would never have their turn.
    fn advance_clock(&mut self, key: FlowKey, cost: u64) {
        let flow = &self.flows[key];
        let (parent, tag) = (flow.parent, flow.tag);
        let Some(parent) = parent else { return };
        let parent = &mut self.flows[parent];
        let span = cost.saturating_mul(TAG_SCALE) / parent.ready_weight.max(1);
        let clock = parent.clock.saturating_add(parent.clock_due);
        parent.clock = clock.max(tag);
        parent.clock_due = span;
    }

    /// Keeps an empty flow's tag for a while if it is above the clock.
    fn set_aside(&mut self, key: FlowKey) {
        let flow = &self.flows[key];
        let clock = flow.parent.map_or(0, |parent| self.flows[parent].clock);
        if flow.tag <= clock && flow.clock == 0 {
            self.forget(key);
            return;
        }
        self.turn += 1;
        self.flows[key].idle_turn = Some(self.turn);
        self.idle.insert((self.turn, key));
        self.evict();
    }

    /// Forgets the flows that became idle first beyond the limit.
    ///
    /// A key becomes idle before its caller, so it is evicted before.
    fn evict(&mut self) {
        while self.idle.len() > IDLE_LIMIT {
            let Some((_, key)) = self.idle.pop_first() else { return };
            self.forget(key);
        }
    }

    fn forget(&mut self, key: FlowKey) {
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
