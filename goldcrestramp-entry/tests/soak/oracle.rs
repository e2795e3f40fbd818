//! Checks what callers and servers saw against the guarantees.

use std::{collections::HashMap, sync::Mutex};

use reqwest::Response;

use crate::server::ServerStandin;

/// The outcome of an order, as its caller knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// It ran.
    Done,
    /// It has not run and never will.
    NotRun,
    /// It may have run.
    Unknown,
}

/// The violations found, and the orders to check at the end.
#[derive(Debug, Default)]
pub struct Oracle {
    violations: Mutex<Vec<String>>,
    orders: Mutex<HashMap<String, OrderOutcome>>,
    successes: Mutex<u64>,
}

impl Oracle {
    pub fn report_violation(&self, what: String) {
        self.violations.lock().expect("lock is not poisoned").push(what);
    }

    /// Checks that a success is complete and belongs to this request, and that
    /// any other status is an expected one.
    pub async fn check_response(
        &self,
        attempt: &str,
        response: Response,
    ) -> OrderOutcome {
        let status = response.status().as_u16();
        let header = |name: &str| {
            let value = response.headers().get(name);
            value.and_then(|v| v.to_str().ok()).map(str::to_owned)
        };
        let echoed = header("x-attempt-id");
        let stamp = header("x-response-stamp");
        let Ok(body) = response.text().await else {
            return OrderOutcome::Unknown;
        };
        match status {
            200 => {
                let own = echoed.as_deref() == Some(attempt);
                let complete = stamp == Some(format!("by-{body}"));
                if !own || !complete {
                    self.report_violation(format!(
                        "{attempt}: 200 for {echoed:?}, {stamp:?}, {body}"
                    ));
                }
                *self.successes.lock().expect("lock is not poisoned") += 1;
                OrderOutcome::Done
            }
            408 | 421 | 429 | 503 => OrderOutcome::NotRun,
            502 | 504 => OrderOutcome::Unknown,
            other => {
                self.report_violation(format!("{attempt}: status {other}"));
                OrderOutcome::Unknown
            }
        }
    }

    pub fn record_order(&self, attempt: String, outcome: OrderOutcome) {
        let mut orders = self.orders.lock().expect("lock is not poisoned");
        orders.insert(attempt, outcome);
    }

    /// Checks that no two servers own a key. They are checked one after
    /// another, so only those count that still own it after all were checked.
    pub fn check_owner(&self, servers: &[&ServerStandin], key: u64) {
        let owns = |server: &&&ServerStandin| server.owns(key);
        let owners: Vec<_> = servers.iter().filter(owns).collect();
        let still_owners = owners.into_iter().filter(|s| s.owns(key)).count();
        if still_owners > 1 {
            self.report_violation(format!(
                "key {key} has {still_owners} owners"
            ));
        }
    }

    /// Checks the outcome of every order against its executions.
    pub fn check_orders(&self, servers: &[&ServerStandin]) {
        let orders = self.orders.lock().expect("lock is not poisoned");
        for (attempt, outcome) in orders.iter() {
            let executions: u32 =
                servers.iter().map(|s| s.executions_of(attempt)).sum();
            let is_consistent = match outcome {
                OrderOutcome::Done => executions == 1,
                OrderOutcome::NotRun => executions == 0,
                OrderOutcome::Unknown => executions <= 1,
            };
            if !is_consistent {
                self.report_violation(format!(
                    "{attempt}: {outcome:?}, {executions} executions"
                ));
            }
        }
    }

    /// Returns the number of successes, or the violations.
    pub fn verdict(&self) -> Result<u64, Vec<String>> {
        let violations =
            self.violations.lock().expect("lock is not poisoned").clone();
        let successes = *self.successes.lock().expect("lock is not poisoned");
        if violations.is_empty() { Ok(successes) } else { Err(violations) }
    }
}
