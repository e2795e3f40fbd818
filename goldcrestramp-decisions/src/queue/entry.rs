//! How a request enters the queue, or why it is refused.

use goldcrestramp_types::{LocalTime, NotRunReason, RequestClass, TimeSpan};

use crate::queue::{
    QueueRefusal, RequestEntry, RequestKey, RequestPhase, ServerQueue,
    admission::{WaitForecast, WaitVerdict},
    flow::{FlowKey, TAG_SCALE},
    tree::FlowEntry,
};

impl ServerQueue {
    /// What is known of the position that a request would get.
    pub(super) fn forecast(
        &self,
        now: LocalTime,
        leaf: FlowKey,
        class: RequestClass,
        deadline: LocalTime,
    ) -> WaitForecast {
        let estimate = self.estimate(class);
        let long = self.estimate(RequestClass::Long).undecayed_mean();
        let service = estimate.mean(now);
        let ahead = self.tree.cost_ahead(leaf, service.as_micros());
        let expected = self.slots.wait(now, class, ahead, service, long);
        let wait = self.waits[class as usize].correct(expected);
        let caller = self.tree.flow(leaf).parent;
        let is_long = class == RequestClass::Long;
        let busy_since = self.busy_since[class as usize].filter(|_| !is_long);
        WaitForecast {
            expected,
            wait,
            suspended: self
                .slots
                .suspension(now)
                .map_or(TimeSpan::ZERO, |t| t.since(now)),
            budget: (deadline - estimate.needed(now)).since(now),
            service,
            busy_since,
            caller_waiting: caller
                .map_or(0, |caller| self.tree.flow(caller).waiting),
        }
    }

    /// The reason to refuse a request, if there is one.
    pub(super) fn refusal_reason(
        &self,
        now: LocalTime,
        leaf: FlowKey,
        class: RequestClass,
        deadline: LocalTime,
        forecast: &WaitForecast,
    ) -> Option<NotRunReason> {
        if deadline <= now {
            return Some(NotRunReason::DeadlinePassed);
        }
        // A free slot that nothing waits for is given to any request: only
        // this corrects an estimate that has become too high.
        let long = self.estimate(RequestClass::Long).undecayed_mean();
        let free = self.slots.may_start(now, class, long);
        if free && self.tree.waiting_in(class) == 0 {
            return None;
        }
        match forecast.judge(now) {
            WaitVerdict::Admit => None,
            WaitVerdict::TooLate => {
                if self.slots.suspension(now).is_some() {
                    return Some(NotRunReason::ServerUnreachable);
                }
                let fallback = NotRunReason::DeadlineTooShort;
                Some(self.share_reason(leaf).unwrap_or(fallback))
            }
            WaitVerdict::Standing => {
                let fallback = NotRunReason::QueueFull;
                Some(self.share_reason(leaf).unwrap_or(fallback))
            }
        }
    }

    /// `CallerOverShare` or `KeyOverShare`, if what already waits exceeds that
    /// share.
    fn share_reason(&self, leaf: FlowKey) -> Option<NotRunReason> {
        let key = self.tree.flow(leaf);
        let caller_key = key.parent?;
        let caller = self.tree.flow(caller_key);
        let class = self.tree.flow(caller.parent?);
        if exceeds(caller.cost, caller.weight, class.cost, class.ready_weight)
        {
            return Some(NotRunReason::CallerOverShare);
        }
        exceeds(key.cost, key.weight, caller.cost, caller.ready_weight)
            .then_some(NotRunReason::KeyOverShare)
    }

    /// Evicts a request from a full queue for one that joins `leaf`, or
    /// refuses the latter if its caller has the most requests waiting.
    pub(super) fn make_room(
        &mut self,
        leaf: FlowKey,
        forecast: &WaitForecast,
        random: u64,
    ) -> Option<QueueRefusal> {
        if self.tree.waiting() < self.settings.waiting_limit {
            return None;
        }
        let caller = self.tree.flow(leaf).parent?;
        let caller = self.tree.flow(caller);
        let length = caller.length() + TAG_SCALE / caller.weight;
        match self.tree.longest() {
            Some((longest, victim)) if longest > length => {
                let reason = NotRunReason::CallerOverShare;
                self.withdraw(victim);
                let refusal = forecast.refusal(reason, random);
                self.evicted.push((victim, refusal));
                None
            }
            _ => Some(forecast.refusal(NotRunReason::QueueFull, random)),
        }
    }

    /// Adds a request to the queue.
    pub(super) fn admit(
        &mut self,
        now: LocalTime,
        leaf: FlowKey,
        class: RequestClass,
        deadline: LocalTime,
        expected: TimeSpan,
    ) -> RequestKey {
        let estimate = self.estimate(class);
        let needed = estimate.needed(now);
        let cost = estimate.mean(now).as_micros().max(1);
        // A request that only just fits is still tried once.
        let give_up_at =
            (deadline - needed).max(now + TimeSpan::from_micros(1));
        let give_up_at = give_up_at.min(deadline);
        let phase = RequestPhase::Waiting { since: now, give_up_at };
        let request = RequestKey::default();
        let entry = FlowEntry { leaf, deadline, request, cost };
        let key = self.requests.insert_with_key(|request| RequestEntry {
            entry: FlowEntry { request, ..entry },
            class,
            expected,
            phase,
        });
        self.tree.push(FlowEntry { request: key, ..entry });
        self.give_up.insert((give_up_at, key));
        let busy_since = &mut self.busy_since[class as usize];
        *busy_since = busy_since.or(Some(now));
        key
    }
}

/// Whether other flows wait too, and `cost` is above the share of `total_cost`
/// that `weight` gives.
const fn exceeds(
    cost: u64,
    weight: u64,
    total_cost: u64,
    total_weight: u64,
) -> bool {
    total_weight > weight
        && cost.saturating_mul(total_weight)
            > total_cost.saturating_mul(weight)
}
