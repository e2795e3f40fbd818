//! The bytes that crossed a link, by service and caller.

use goldcrestramp_types::{CallerName, FastMap, ServiceName};

/// The pairs that are counted each by itself, about 150 bytes each. The
/// rest is counted by service under no caller, so no byte goes uncounted.
const PAIR_LIMIT: usize = 4_096;

/// What crossed a link since the process started.
#[derive(Clone, Debug, Default)]
pub struct LinkVolume {
    pairs: FastMap<(ServiceName, CallerName), u64>,
    others: FastMap<ServiceName, u64>,
}

impl LinkVolume {
    /// Adds what crossed for a caller of a service; tells whether it is
    /// counted by itself.
    pub fn add(
        &mut self,
        service: &ServiceName,
        caller: &CallerName,
        bytes: u64,
    ) -> bool {
        let pair = (service.clone(), caller.clone());
        let has_room = self.pairs.len() < PAIR_LIMIT;
        let by_itself = has_room || self.pairs.contains_key(&pair);
        let total = if by_itself {
            self.pairs.entry(pair).or_default()
        } else {
            self.others.entry(service.clone()).or_default()
        };
        *total = total.saturating_add(bytes);
        by_itself
    }

    /// Each service's bytes; no caller stands for those beyond the bound.
    pub fn totals(
        &self,
    ) -> impl Iterator<Item = (&ServiceName, Option<&CallerName>, u64)> {
        let pairs = self.pairs.iter();
        let pairs = pairs.map(|((s, c), bytes)| (s, Some(c), *bytes));
        let others = self.others.iter();
        pairs.chain(others.map(|(service, bytes)| (service, None, *bytes)))
    }
}
