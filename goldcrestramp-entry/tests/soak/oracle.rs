//! What callers and servers saw, held against the promises.

use std::{collections::HashMap, sync::Mutex};

use reqwest::Response;

use crate::server::ServerStandin;

/// What a caller was told of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// It ran.
    Done,
    /// It has not run and never will.
    NotRun,
    /// Nothing.
    Unknown,
}

/// The broken promises, and what is still to be checked.
#[derive(Debug, Default)]
pub struct Oracle {
    broken: Mutex<Vec<String>>,
    orders: Mutex<HashMap<String, OrderAnswer>>,
    successes: Mutex<u64>,
}

impl Oracle {
    pub fn break_promise(&self, what: String) {
        self.broken.lock().expect("no holder panics").push(what);
    }

    /// Checks an answer: a success is whole, and this request's own.
    pub async fn check_answer(
        &self,
        attempt: &str,
        answer: Response,
    ) -> OrderAnswer {
        let status = answer.status().as_u16();
        let header = |name: &str| {
            let value = answer.headers().get(name);
            value.and_then(|v| v.to_str().ok()).map(str::to_owned)
        };
        let echoed = header("x-attempt-id");
        let stamp = header("x-response-stamp");
        let Ok(body) = answer.text().await else {
            return OrderAnswer::Unknown;
        };
        match status {
            200 => {
                let own = echoed.as_deref() == Some(attempt);
                let whole = stamp == Some(format!("by-{body}"));
                if !own || !whole {
                    self.break_promise(format!(
                        "{attempt}: 200 for {echoed:?}, {stamp:?}, {body}"
                    ));
                }
                *self.successes.lock().expect("no holder panics") += 1;
                OrderAnswer::Done
            }
            408 | 421 | 429 | 503 => OrderAnswer::NotRun,
            502 | 504 => OrderAnswer::Unknown,
            other => {
                self.break_promise(format!("{attempt}: status {other}"));
                OrderAnswer::Unknown
            }
        }
    }

    pub fn note_order(&self, attempt: String, answer: OrderAnswer) {
        let mut orders = self.orders.lock().expect("no holder panics");
        orders.insert(attempt, answer);
    }

    /// Checks that no two servers hold a key. They are asked one after the
    /// other, so only those count that still hold it once all were asked.
    pub fn check_owner(&self, servers: &[&ServerStandin], key: u64) {
        let holds = |server: &&&ServerStandin| server.holds(key);
        let first: Vec<_> = servers.iter().filter(holds).collect();
        let still = first.into_iter().filter(|s| s.holds(key)).count();
        if still > 1 {
            self.break_promise(format!("key {key} has {still} owners"));
        }
    }

    /// Checks every order against what the servers ran.
    pub fn check_orders(&self, servers: &[&ServerStandin]) {
        let orders = self.orders.lock().expect("no holder panics");
        for (attempt, answer) in orders.iter() {
            let runs: u32 = servers.iter().map(|s| s.runs_of(attempt)).sum();
            let kept = match answer {
                OrderAnswer::Done => runs == 1,
                OrderAnswer::NotRun => runs == 0,
                OrderAnswer::Unknown => runs <= 1,
            };
            if !kept {
                self.break_promise(format!(
                    "{attempt}: {answer:?}, {runs} runs"
                ));
            }
        }
    }

    /// Successes so far, or the promises that were broken.
    pub fn verdict(&self) -> Result<u64, Vec<String>> {
        let broken = self.broken.lock().expect("no holder panics").clone();
        let successes = *self.successes.lock().expect("no holder panics");
        if broken.is_empty() { Ok(successes) } else { Err(broken) }
    }
}
