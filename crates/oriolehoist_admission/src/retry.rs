use std::{collections::HashMap, hash::Hash};

/// Bounds how many requests are sent again, as a share of those sent for the first time.
///
/// Without a bound, a failing server would receive ever more of the same requests.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    hundredths: u64,
    most: u64,
}

/// The cost of one retry, in hundredths.
const COST: u64 = 100;
impl RetryBudget {
    /// Creates a budget that saves up to this many retries, and has saved them.
    pub fn with_savings(retries: u64) -> RetryBudget {
        RetryBudget { hundredths: retries * COST, most: retries * COST }
    }

    /// Changes the greatest saving; what was saved beyond it is lost.
    pub fn set_savings(&mut self, retries: u64) {
        self.most = retries * COST;
        self.hundredths = self.hundredths.min(self.most);
    }

    /// Notes a first attempt, which earns `percent` hundredths of a retry.
    pub fn on_first_attempt(&mut self, percent: u64) {
        self.hundredths = (self.hundredths + percent).min(self.most);
    }

    /// Spends one retry, if there is one.
    pub fn try_spend(&mut self) -> bool {
        match self.hundredths.checked_sub(COST) {
            Some(rest) => {
                self.hundredths = rest;
                true
            }
            None => false,
        }
    }
}

/// The budgets of several services.
#[derive(Clone, Debug)]
pub struct RetryBudgets<K>(HashMap<K, RetryBudget>);

impl<K> Default for RetryBudgets<K> {
    fn default() -> RetryBudgets<K> {
        RetryBudgets(HashMap::new())
    }
}

impl<K: Clone + Eq + Hash> RetryBudgets<K> {
    /// Returns the budget of a service, which saves up to this many retries. A new one has saved
    /// them.
    pub fn of(&mut self, service: &K, savings: u64) -> &mut RetryBudget {
        let new = || RetryBudget::with_savings(savings);
        let budget = self.0.entry(service.clone()).or_insert_with(new);
        budget.set_savings(savings);
        budget
    }
}
