//! The bytes that crossed a link, by service and caller.

use goldcrestramp_types::{CallerName, FastMap, ServiceName};

/// The maximum number of pairs with a count of their own, about 150 bytes
/// each. Bytes of further pairs are counted by service without a caller, so
/// every byte is counted.
const MAX_PAIRS: usize = 4_096;

/// What crossed a link since the process started.
#[derive(Clone, Debug, Default)]
pub struct LinkVolume {
    pairs: FastMap<(ServiceName, CallerName), u64>,
    others: FastMap<ServiceName, u64>,
}

impl LinkVolume {
    /// Adds bytes of a caller of a service; returns whether the pair has a
    /// count of its own.
    pub fn add(
        &mut self,
        service: &ServiceName,
        caller: &CallerName,
        bytes: u64,
    ) -> bool {
        let pair = (service.clone(), caller.clone());
        let has_room = self.pairs.len() < MAX_PAIRS;
        let has_own_count = has_room || self.pairs.contains_key(&pair);
        let total = if has_own_count {
            self.pairs.entry(pair).or_default()
        } else {
            self.others.entry(service.clone()).or_default()
        };
        *total = total.saturating_add(bytes);
        has_own_count
    }

    /// The bytes of each service; the caller is `None` for pairs beyond the
    /// bound.
    pub fn totals(
        &self,
    ) -> impl Iterator<Item = (&ServiceName, Option<&CallerName>, u64)> {
        let pairs = self.pairs.iter();
        let pairs = pairs.map(|((s, c), bytes)| (s, Some(c), *bytes));
        let others = self.others.iter();
        pairs.chain(others.map(|(service, bytes)| (service, None, *bytes)))
    }
}
