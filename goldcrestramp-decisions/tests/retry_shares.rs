//! Who gets the retries of an overloaded service, in virtual time.

mod random;

use goldcrestramp_decisions::{
    AttemptBudget, BudgetSettings, RetryClass, RetryShares, RetryShortage,
    RetrySupply, ShortageChange,
};
use goldcrestramp_types::{LocalTime, TimeSpan};

use crate::random::next_number;

const WINDOW: TimeSpan = TimeSpan::from_millis(10_000);
const WINDOW_MS: usize = 10_000;
const VMS: usize = 20;
const CONSTANT: u64 = 60;

/// The requests a second of each VM.
const RATE: u64 = 20;

/// When servers begin to refuse requests, and how many.
const OVERLOAD_FROM_MS: u64 = 12_000;
const REFUSED_PER_MILLE: u64 = 550;

/// How often a request is sent at most.
const MAX_ATTEMPTS: u32 = 4;

const ORDER: RetryClass =
    RetryClass { idempotent: false, priority: 0, late: false };
const LOOKUP: RetryClass =
    RetryClass { idempotent: true, priority: 1, late: false };

fn at(millis: u64) -> LocalTime {
    LocalTime::from_micros(0) + TimeSpan::from_millis(millis)
}

/// Which requests get the retries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Rule {
    FirstCome,
    Shares,
}

#[derive(Clone, Copy, Debug)]
struct Workload {
    rule: Rule,
    order_percent: u64,
    overload_ms: u64,
}

/// The counts of one class in the overload.
#[derive(Clone, Debug, Default)]
struct Tally {
    requests: u64,
    served: u64,
    /// The retries of each VM, with their times.
    retries: Vec<(usize, u64)>,
}

impl Tally {
    fn served_percent(&self) -> u64 {
        self.served * 100 / self.requests
    }
}

#[derive(Debug, Default)]
struct Outcome {
    orders: Tally,
    lookups: Tally,
    sent: Vec<usize>,
    retries: Vec<usize>,
}

struct Vm {
    budget: AttemptBudget,
    shares: RetryShares,
}

impl Vm {
    fn new() -> Self {
        let settings = BudgetSettings {
            window: WINDOW,
            per_mille: 200,
            constant: CONSTANT,
        };
        let budget = AttemptBudget::new(settings);
        Self { budget, shares: RetryShares::new(WINDOW) }
    }

    fn take_retry(
        &mut self,
        now: LocalTime,
        class: RetryClass,
        rule: Rule,
    ) -> bool {
        if rule == Rule::FirstCome {
            return self.budget.try_take(now, VMS);
        }
        let supply = self.budget.supply(now, VMS);
        let granted = self.shares.allows(now, class, supply)
            && self.budget.try_take(now, VMS);
        if granted {
            self.shares.record_retry(now, class);
        } else {
            self.shares.record_denial(now, class);
        }
        granted
    }
}

/// A request in flight: when its next attempt is made, by which VM.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    due_ms: u64,
    vm: usize,
    class: RetryClass,
    number: u32,
    counted: bool,
}

fn simulate(seed: u64, workload: Workload) -> Outcome {
    let mut seed = seed;
    let Workload { rule, order_percent, overload_ms } = workload;
    let mut vms: Vec<Vm> = (0..VMS).map(|_| Vm::new()).collect();
    let mut outcome = Outcome::default();
    let mut attempts: Vec<Attempt> = Vec::new();
    let overload = OVERLOAD_FROM_MS..OVERLOAD_FROM_MS + overload_ms;
    for now_ms in 0..overload.end + 1_000 {
        let now = at(now_ms);
        for (vm, state) in vms.iter_mut().enumerate() {
            if next_number(&mut seed) % 1_000 >= RATE {
                continue;
            }
            let is_order = next_number(&mut seed) % 100 < order_percent;
            let class = if is_order { ORDER } else { LOOKUP };
            state.budget.record_request(now);
            state.shares.record_request(now, class);
            outcome.sent.push(usize::try_from(now_ms).expect("small"));
            let counted = overload.contains(&now_ms);
            let tally = outcome.tally(class);
            tally.requests += u64::from(counted);
            let due_ms = now_ms;
            attempts.push(Attempt { due_ms, vm, class, number: 1, counted });
        }
        let due: Vec<Attempt> =
            attempts.extract_if(.., |a| a.due_ms <= now_ms).collect();
        for attempt in due {
            let Attempt { vm, class, number, counted, .. } = attempt;
            if number > 1 {
                if !vms[vm].take_retry(now, class, rule) {
                    continue;
                }
                let millis = usize::try_from(now_ms).expect("small");
                outcome.retries.push(millis);
                outcome.tally(class).retries.push((vm, now_ms));
            }
            let refused = overload.contains(&now_ms)
                && next_number(&mut seed) % 1_000 < REFUSED_PER_MILLE;
            if !refused {
                outcome.tally(class).served += u64::from(counted);
            } else if number < MAX_ATTEMPTS {
                let due_ms = now_ms + 40 + next_number(&mut seed) % 40;
                let number = number + 1;
                attempts.push(Attempt { due_ms, number, ..attempt });
            }
        }
    }
    outcome
}

impl Outcome {
    fn tally(&mut self, class: RetryClass) -> &mut Tally {
        if class == ORDER { &mut self.orders } else { &mut self.lookups }
    }

    /// Whether the retries exceed the operators' bound in some window.
    fn exceeds_bound(&self) -> bool {
        let count = |list: &[usize], begin: usize| {
            let upto = |end| list.partition_point(|moment| *moment < end);
            upto(begin + WINDOW_MS) - upto(begin)
        };
        let last = self.sent.last().copied().unwrap_or_default();
        (0..last.saturating_sub(WINDOW_MS)).any(|begin| {
            let allowed = count(&self.sent, begin) / 5 + 60;
            count(&self.retries, begin) > allowed
        })
    }
}

/// Guards against lookups that use up the retries that orders need while
/// servers refuse 55% of what arrives for 8.5 s.
#[test]
fn orders_get_the_scarce_retries_and_lookups_get_some() {
    let mut gained = 0;
    for seed in 1..=5 {
        let run = |rule| {
            let workload =
                Workload { rule, order_percent: 30, overload_ms: 8_500 };
            simulate(seed, workload)
        };

        let (before, after) = (run(Rule::FirstCome), run(Rule::Shares));

        let orders = [&before, &after].map(|o| o.orders.served_percent());
        let lookups = [&before, &after].map(|o| o.lookups.served_percent());
        let retries = [&before, &after].map(|o| o.lookups.retries.len());
        println!(
            "seed {seed}: served orders {orders:?}%, lookups {lookups:?}%; \
             retries of lookups {retries:?}"
        );
        gained += orders[1].saturating_sub(orders[0]);
        assert!(retries[1] * 3 >= retries[0], "lookups get retries");
        assert!(!before.exceeds_bound() && !after.exceeds_bound());
    }
    assert!(gained >= 5 * 7, "orders gained {gained}% in 5 runs");
}

/// Guards against lookups that get no retry for a whole window while orders
/// ask for more than there are.
#[test]
fn no_class_is_starved_for_a_window() {
    let workload = Workload {
        rule: Rule::Shares,
        order_percent: 80,
        overload_ms: 40_000,
    };

    let outcome = simulate(1, workload);

    for (class, tally) in
        [("order", outcome.orders), ("lookup", outcome.lookups)]
    {
        for vm in 0..VMS {
            let mut last = OVERLOAD_FROM_MS;
            let times = tally.retries.iter().filter(|(by, _at)| *by == vm);
            let end = OVERLOAD_FROM_MS + workload.overload_ms;
            for time in times.map(|(_vm, time)| *time).chain([end]) {
                assert!(time < last + 10_000, "{class}: VM {vm}, {last} ms");
                last = time;
            }
        }
    }
}

/// Guards against changes where all requests are of one class.
#[test]
fn one_class_alone_gets_what_it_got_before() {
    for order_percent in [0, 100] {
        let run = |rule| {
            let workload =
                Workload { rule, order_percent, overload_ms: 8_500 };
            simulate(1, workload)
        };

        let (before, after) = (run(Rule::FirstCome), run(Rule::Shares));

        assert_eq!(before.retries, after.retries);
    }
}

/// Guards against a reserve that nobody needs: it is as small as the share of
/// the requests that it is for.
#[test]
fn the_reserve_shrinks_with_the_share_of_orders() {
    let least_left = |orders: u64| {
        let mut shares = RetryShares::new(WINDOW);
        (0..orders).for_each(|_| shares.record_request(at(0), ORDER));
        (orders..100).for_each(|_| shares.record_request(at(0), LOOKUP));
        // Lookups have had their guaranteed part.
        (0..30).for_each(|_| shares.record_retry(at(0), LOOKUP));
        let mut left = (1..=100).filter(|left| {
            let supply = RetrySupply { usable: 100, left: *left };
            shares.allows(at(0), LOOKUP, supply)
        });
        left.next()
    };

    assert_eq!([0, 5, 20, 60].map(least_left), [1, 11, 41, 66].map(Some));
}

/// Guards against requests that can only be late and take the retries of
/// those that can be in time.
#[test]
fn late_requests_leave_what_remains_to_those_in_time() {
    let late = RetryClass { late: true, ..LOOKUP };
    let mut shares = RetryShares::new(WINDOW);
    (0..100).for_each(|_| shares.record_request(at(0), LOOKUP));
    (0..10).for_each(|_| shares.record_retry(at(0), late));
    (0..10).for_each(|_| shares.record_retry(at(0), LOOKUP));
    let allows = |class, left| {
        let supply = RetrySupply { usable: 40, left };
        shares.clone().allows(at(0), class, supply)
    };

    assert_eq!(
        [10, 26, 27].map(|left| allows(late, left)),
        [false, false, true]
    );
    assert_eq!([6, 7].map(|left| allows(LOOKUP, left)), [false, true]);
}

/// Guards against a fixed delay, with which callers return into the shortage,
/// and against callers that return together.
#[test]
fn the_delay_follows_the_length_of_the_shortage() {
    let mut shortage = RetryShortage::default();
    let long = TimeSpan::from_millis(60_000);
    assert_eq!(shortage.record_denial(at(1_000)), Some(ShortageChange::Began));
    assert_eq!(shortage.record_denial(at(1_500)), None);

    let delay = |ms, left, random| {
        shortage.retry_after(at(ms), left, random).as_millis()
    };

    assert_eq!([delay(1_000, long, 0), delay(1_000, long, 100)], [250, 500]);
    assert_eq!(
        [delay(2_200, long, 0), delay(2_200, long, 50)],
        [1_200, 1_800]
    );
    assert_eq!(
        [delay(9_000, long, 0), delay(9_000, long, 100)],
        [2_000, 4_000]
    );
    let short = TimeSpan::from_millis(900);
    assert_eq!([delay(9_000, short, 0), delay(9_000, short, 100)], [144, 288]);
}

/// Guards against a shortage that never ends, or ends with each retry.
#[test]
fn a_shortage_ends_after_some_time_without_denials() {
    let mut shortage = RetryShortage::default();
    let _began = shortage.record_denial(at(0));
    let _same = shortage.record_denial(at(3_000));

    assert_eq!(shortage.check(at(4_999)), None);
    let lasted = TimeSpan::from_millis(3_000);
    assert_eq!(shortage.check(at(5_000)), Some(ShortageChange::Ended(lasted)));
    assert_eq!(shortage.check(at(6_000)), None);
}
