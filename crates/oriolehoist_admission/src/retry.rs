use std::{collections::HashMap, hash::Hash};

/// Limits retries to a percentage of first attempts, as a token bucket.
///
/// Without a limit, retries would multiply the load on a server that is already failing.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Available retries, in hundredths.
    available: u64,
    /// Maximum of `available`.
    capacity: u64,
}

/// The cost of one retry, in hundredths.
const RETRY_COST: u64 = 100;

impl RetryBudget {
    /// Creates a full budget that holds this many retries.
    pub fn with_capacity(retries: u64) -> RetryBudget {
        RetryBudget { available: retries * RETRY_COST, capacity: retries * RETRY_COST }
    }

    /// Changes the capacity. Available retries beyond it are dropped.
    pub fn set_capacity(&mut self, retries: u64) {
        self.capacity = retries * RETRY_COST;
        self.available = self.available.min(self.capacity);
    }

    /// Records a first attempt, which adds `percent` hundredths of a retry to the budget.
    pub fn on_first_attempt(&mut self, percent: u64) {
        self.available = (self.available + percent).min(self.capacity);
    }

    /// Spends one retry if one is available. Returns whether it did.
    pub fn try_spend(&mut self) -> bool {
        match self.available.checked_sub(RETRY_COST) {
            Some(rest) => {
                self.available = rest;
                true
            }
            None => false,
        }
    }
}

/// The retry budgets of several services.
#[derive(Clone, Debug)]
pub struct RetryBudgets<K>(HashMap<K, RetryBudget>);

impl<K> Default for RetryBudgets<K> {
    fn default() -> RetryBudgets<K> {
        RetryBudgets(HashMap::new())
    }
}

impl<K: Clone + Eq + Hash> RetryBudgets<K> {
    /// Returns the budget of a service, with this capacity in retries. A new budget starts full.
    pub fn get_or_create(&mut self, service: &K, capacity: u64) -> &mut RetryBudget {
        let new = || RetryBudget::with_capacity(capacity);
        let budget = self.0.entry(service.clone()).or_insert_with(new);
        budget.set_capacity(capacity);
        budget
    }
}
