//! Tracks the orders of each assigned range.

use std::sync::Arc;

use goldcrestramp_types::{FastMap, LocalTime, SliceIndex};

use crate::table::AssignedRange;

/// The server's last response to an order for an assigned range.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) enum OrderResponse {
    /// No response yet.
    #[default]
    None,
    /// The server holds the keys.
    Granted,
    /// The server has seen a higher token for one of the keys.
    Outdated,
    /// The server has stopped, and left this data for the next holder.
    Released(Option<Arc<str>>),
}

/// The state of the order for one assigned range.
#[derive(Clone, Debug, Default)]
pub(crate) struct OrderState {
    /// When the next order is due; the default is due immediately.
    pub(crate) due: LocalTime,
    /// Whether an order is in flight.
    pub(crate) in_flight: bool,
    /// The last response.
    pub(crate) response: OrderResponse,
}

impl OrderState {
    /// Whether an order has to be sent, now or when it is due.
    pub(crate) const fn needs_order(&self) -> bool {
        let done = matches!(
            self.response,
            OrderResponse::Outdated | OrderResponse::Released(_)
        );
        !self.in_flight && !done
    }
}

/// Order states by the first key and the token of an assigned range. If
/// either changes, the order is a new one.
#[derive(Clone, Debug, Default)]
pub(crate) struct OrderTracker(FastMap<(SliceIndex, u64), OrderState>);

impl OrderTracker {
    pub(crate) fn get(&self, assigned: &AssignedRange) -> Option<&OrderState> {
        self.0.get(&(assigned.range.first, assigned.token))
    }

    pub(crate) fn entry(
        &mut self,
        assigned: &AssignedRange,
    ) -> &mut OrderState {
        self.0.entry((assigned.range.first, assigned.token)).or_default()
    }

    /// Removes states that belong to none of `ranges`.
    pub(crate) fn retain(&mut self, ranges: &[AssignedRange]) {
        let retained = ranges.iter().filter_map(|assigned| {
            let key = (assigned.range.first, assigned.token);
            Some((key, self.0.remove(&key)?))
        });
        self.0 = retained.collect();
    }
}
