//! Splits the requests of a route between services by weight.
//!
//! Each of many VMs gets few requests a second. Drawn at random, the shares of
//! a hundred requests deviate by several points. Here each target gains credit
//! by its weight with every request, and the target with the highest credit is
//! served. So after any number of requests each share deviates by one request
//! at most.

/// Distributes requests in proportion to weights.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::WeightedRoundRobin;
///
/// let mut round_robin = WeightedRoundRobin::default();
/// let mut first = 0;
/// for _ in 0..100 {
///     first += u32::from(round_robin.next(&[90, 10]) == Some(0));
/// }
/// assert_eq!(first, 90);
/// ```
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    credits: Vec<i64>,
}

impl WeightedRoundRobin {
    /// The position of the next request's target. `None` if no weight is above
    /// 0.
    pub fn next(&mut self, weights: &[u32]) -> Option<usize> {
        let total: i64 = weights.iter().copied().map(i64::from).sum();
        if total == 0 {
            return None;
        }
        self.credits.resize(weights.len(), 0);
        for (credit, weight) in self.credits.iter_mut().zip(weights) {
            *credit += i64::from(*weight);
        }
        let highest = (0..weights.len())
            .filter(|target| weights[*target] > 0)
            .max_by_key(|target| self.credits[*target])?;
        self.credits[highest] -= total;
        Some(highest)
    }
}
