//! Retry budgets in a table of bounded size.

use std::{collections::BTreeSet, hash::Hash};

use goldcrestramp_types::FastMap;

/// The credit that a retry costs.
const RETRY_COST: u32 = 1_000;

/// The credit of a first attempt. Retries add at most a tenth to the load, so
/// that a server at nine tenths of its capacity is not overloaded by them.
const ATTEMPT_CREDIT: u32 = 100;

/// The maximum credit: ten retries, so that a caller that was quiet for a day
/// cannot save up credit for a retry storm.
const MAX_CREDIT: u32 = 10 * RETRY_COST;

/// The credit of a new budget: one retry, for callers that send one request an
/// hour.
///
/// A caller that was evicted starts with this again. By changing its name it
/// gains one retry for each name, which the service's budget limits.
const INITIAL_CREDIT: u32 = RETRY_COST;

#[derive(Clone, Copy, Debug)]
struct RetryBudget {
    credit: u32,
    /// The sequence number of its last use.
    last_use: u64,
}

/// Budgets by name; the least recently used is evicted.
#[derive(Clone, Debug)]
pub(crate) struct BudgetTable<Name> {
    limit: usize,
    budgets: FastMap<Name, RetryBudget>,
    uses: BTreeSet<(u64, Name)>,
    sequence: u64,
}

impl<Name: Clone + Eq + Hash + Ord> BudgetTable<Name> {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            budgets: FastMap::default(),
            uses: BTreeSet::new(),
            sequence: 0,
        }
    }

    /// Adds the credit of a first attempt.
    pub(crate) fn add_credit(&mut self, name: &Name) {
        let budget = self.touch(name);
        budget.credit = (budget.credit + ATTEMPT_CREDIT).min(MAX_CREDIT);
    }

    /// Whether the credit covers a retry.
    pub(crate) fn can_spend(&mut self, name: &Name) -> bool {
        self.touch(name).credit >= RETRY_COST
    }

    /// Subtracts the cost of a retry.
    pub(crate) fn spend(&mut self, name: &Name) {
        let budget = self.touch(name);
        budget.credit = budget.credit.saturating_sub(RETRY_COST);
    }

    /// Returns the budget, created if needed, and marks it as most recently
    /// used.
    fn touch(&mut self, name: &Name) -> &mut RetryBudget {
        self.sequence += 1;
        let sequence = self.sequence;
        if let Some(budget) = self.budgets.get(name) {
            self.uses.remove(&(budget.last_use, name.clone()));
        } else if self.budgets.len() >= self.limit
            && let Some((_, oldest)) = self.uses.pop_first()
        {
            self.budgets.remove(&oldest);
        }
        self.uses.insert((sequence, name.clone()));
        let new = RetryBudget { credit: INITIAL_CREDIT, last_use: sequence };
        let budget = self.budgets.entry(name.clone()).or_insert(new);
        budget.last_use = sequence;
        budget
    }
}
