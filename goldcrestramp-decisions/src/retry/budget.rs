//! Budgets of retries, in a table of bounded size.

use std::{collections::BTreeSet, hash::Hash};

use goldcrestramp_types::FastMap;

/// A retry costs this much.
const RETRY_COST: u32 = 1_000;

/// A first attempt adds this much: retries are a tenth of the load at most,
/// so a server at nine tenths of its capacity is not pushed over it.
const ATTEMPT_CREDIT: u32 = 100;

/// The most that is saved: ten retries, so that a caller that was quiet for
/// a day cannot save up a storm.
const CREDIT_LIMIT: u32 = 10 * RETRY_COST;

/// A new budget allows one retry, for callers that ask once an hour.
///
/// A caller that was evicted starts with this again: by changing its name
/// it gains one retry for each name, which the service's budget bounds.
const FIRST_CREDIT: u32 = RETRY_COST;

#[derive(Clone, Copy, Debug)]
struct RetryBudget {
    credit: u32,
    /// When it was last used, as a count of uses.
    turn: u64,
}

/// Budgets by name; the least recently used is evicted.
#[derive(Clone, Debug)]
pub(crate) struct BudgetTable<Name> {
    limit: usize,
    budgets: FastMap<Name, RetryBudget>,
    turns: BTreeSet<(u64, Name)>,
    turn: u64,
}

impl<Name: Clone + Eq + Hash + Ord> BudgetTable<Name> {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            budgets: FastMap::default(),
            turns: BTreeSet::new(),
            turn: 0,
        }
    }

    /// Adds the credit of a first attempt.
    pub(crate) fn earn(&mut self, name: &Name) {
        let budget = self.touch(name);
        budget.credit = (budget.credit + ATTEMPT_CREDIT).min(CREDIT_LIMIT);
    }

    /// Whether a retry is left.
    pub(crate) fn can_spend(&mut self, name: &Name) -> bool {
        self.touch(name).credit >= RETRY_COST
    }

    /// Takes a retry.
    pub(crate) fn spend(&mut self, name: &Name) {
        let budget = self.touch(name);
        budget.credit = budget.credit.saturating_sub(RETRY_COST);
    }

    /// The budget, made if it is new, as the most recently used.
    fn touch(&mut self, name: &Name) -> &mut RetryBudget {
        self.turn += 1;
        let turn = self.turn;
        if let Some(budget) = self.budgets.get(name) {
            self.turns.remove(&(budget.turn, name.clone()));
        } else if self.budgets.len() >= self.limit
            && let Some((_, oldest)) = self.turns.pop_first()
        {
            self.budgets.remove(&oldest);
        }
        self.turns.insert((turn, name.clone()));
        let new = RetryBudget { credit: FIRST_CREDIT, turn };
        let budget = self.budgets.entry(name.clone()).or_insert(new);
        budget.turn = turn;
        budget
    }
}
