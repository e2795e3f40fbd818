//! The parts of a route that is split between services.
//!
//! The load: few requests a second on each of many VMs. Drawn at random,
//! the parts of a hundred requests are off by several points. Each target
//! saves up its weight with every request and the richest one is served,
//! so after any number of requests each part is off by one at most.

/// Deals requests out in proportion to weights.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::WeightedRoundRobin;
///
/// let mut robin = WeightedRoundRobin::default();
/// let mut first = 0;
/// for _ in 0..100 {
///     first += u32::from(robin.next(&[90, 10]) == Some(0));
/// }
/// assert_eq!(first, 90);
/// ```
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    credits: Vec<i64>,
}

impl WeightedRoundRobin {
    /// The target of the next request; nothing if no weight is above 0.
    pub fn next(&mut self, weights: &[u32]) -> Option<usize> {
        let total: i64 = weights.iter().copied().map(i64::from).sum();
        if total == 0 {
            return None;
        }
        self.credits.resize(weights.len(), 0);
        for (credit, weight) in self.credits.iter_mut().zip(weights) {
            *credit += i64::from(*weight);
        }
        let richest = (0..weights.len())
            .filter(|target| weights[*target] > 0)
            .max_by_key(|target| self.credits[*target])?;
        self.credits[richest] -= total;
        Some(richest)
    }
}
