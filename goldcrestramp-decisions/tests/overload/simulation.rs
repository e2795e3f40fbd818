//! A simulation of callers and servers in virtual time, the same for every
//! policy.

use std::{cmp::Reverse, collections::BinaryHeap};

use goldcrestramp_types::{
    CallerName, LocalTime, NotRunReason, RequestClass, TimeSpan,
};

use crate::policy::{PolicyAction, TrafficPolicy};

/// A small pseudo-random generator with a fixed seed, so that every run is the
/// same.
#[derive(Clone)]
pub(crate) struct SimRandom(u64);

impl SimRandom {
    pub(crate) const fn new(seed: u64) -> Self {
        Self(seed)
    }

    pub(crate) const fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed =
            (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed =
            (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A uniform number from 0 to 1.
    fn uniform(&mut self) -> f64 {
        f64::from(u32::try_from(self.next() >> 32).unwrap_or(0))
            / f64::from(u32::MAX)
    }

    /// An exponentially distributed interval with this mean.
    fn interval(&mut self, mean_micros: f64) -> TimeSpan {
        let interval = -mean_micros * (1.0 - self.uniform()).max(1e-9).ln();
        TimeSpan::from_micros(micros(interval))
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "times of a few virtual seconds"
)]
fn micros(value: f64) -> u64 {
    value.max(0.0) as u64
}

/// A stream of requests from one caller.
#[derive(Clone)]
pub(crate) struct CallerLoad {
    pub(crate) caller: &'static str,
    pub(crate) class: RequestClass,
    pub(crate) server: usize,
    pub(crate) per_second: f64,
    /// The mean service time in milliseconds. Each request takes between half
    /// and one and a half of it.
    pub(crate) service_ms: f64,
    pub(crate) deadline: TimeSpan,
    /// The number of keys, requested uniformly.
    pub(crate) keys: u64,
    pub(crate) from: LocalTime,
    pub(crate) until: LocalTime,
}

/// A simulated request.
#[derive(Clone)]
pub(crate) struct SimRequest {
    pub(crate) caller: CallerName,
    pub(crate) load: usize,
    pub(crate) class: RequestClass,
    pub(crate) server: usize,
    pub(crate) key: u64,
    pub(crate) arrives: LocalTime,
    pub(crate) deadline: LocalTime,
    service: TimeSpan,
}

/// The outcome of a request, and when it completed.
#[derive(Clone, Copy)]
pub(crate) enum SimOutcome {
    Done(LocalTime),
    Refused(LocalTime, NotRunReason),
}

/// A period in which a server is slow.
#[derive(Clone, Copy)]
pub(crate) struct SlowPeriod {
    pub(crate) server: usize,
    pub(crate) factor: u64,
    pub(crate) from: LocalTime,
    pub(crate) until: LocalTime,
}

#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum SimEvent {
    Arrive(usize),
    Complete(usize),
    Wake,
}

/// All requests of the loads, in order of arrival.
pub(crate) fn arrivals(loads: &[CallerLoad], seed: u64) -> Vec<SimRequest> {
    let mut requests = Vec::new();
    for (number, load) in loads.iter().enumerate() {
        let number_seed = u64::try_from(number).unwrap_or(0);
        let mut random = SimRandom::new(seed.wrapping_add(number_seed << 32));
        let caller = CallerName::new(load.caller).expect("a valid name");
        let mean = 1e6 / load.per_second;
        let mut arrives = load.from + random.interval(mean);
        while arrives < load.until {
            let service = load.service_ms * 1e3 * (0.5 + random.uniform());
            requests.push(SimRequest {
                caller: caller.clone(),
                load: number,
                class: load.class,
                server: load.server,
                key: random.next() % load.keys,
                arrives,
                deadline: arrives + load.deadline,
                service: TimeSpan::from_micros(micros(service)),
            });
            arrives = arrives + random.interval(mean);
        }
    }
    requests.sort_by_key(|request| request.arrives);
    requests
}

/// Runs the requests through a policy and returns their outcomes.
pub(crate) fn run(
    requests: &[SimRequest],
    periods: &[SlowPeriod],
    policy: &mut dyn TrafficPolicy,
) -> Vec<SimOutcome> {
    let mut events = BinaryHeap::new();
    let mut outcomes = vec![None; requests.len()];
    let mut service_times = vec![TimeSpan::ZERO; requests.len()];
    let arrivals = requests.iter().enumerate();
    events.extend(
        arrivals.map(|(n, r)| Reverse((r.arrives, SimEvent::Arrive(n)))),
    );
    while let Some(Reverse((now, event))) = events.pop() {
        match event {
            SimEvent::Arrive(ticket) => {
                policy.arrive(now, ticket, &requests[ticket]);
            }
            SimEvent::Complete(ticket) => {
                outcomes[ticket] = Some(SimOutcome::Done(now));
                policy.completed(now, ticket, service_times[ticket]);
            }
            SimEvent::Wake => {}
        }
        while let Some(action) = policy.next_action(now) {
            match action {
                PolicyAction::Start(ticket) => {
                    let request = &requests[ticket];
                    service_times[ticket] =
                        service_time(request, now, periods);
                    let ends_at = now + service_times[ticket];
                    events
                        .push(Reverse((ends_at, SimEvent::Complete(ticket))));
                }
                PolicyAction::Refuse(ticket, reason) => {
                    outcomes[ticket] = Some(SimOutcome::Refused(now, reason));
                }
            }
        }
        if let Some(wake) = policy.wake_at().filter(|wake| *wake > now) {
            let next = events.peek().map(|Reverse((time, _))| *time);
            if next.is_none_or(|next| wake < next) {
                events.push(Reverse((wake, SimEvent::Wake)));
            }
        }
    }
    outcomes
        .into_iter()
        .map(|outcome| outcome.expect("each request has an outcome"))
        .collect()
}

/// The service time of a request that starts now.
fn service_time(
    request: &SimRequest,
    now: LocalTime,
    periods: &[SlowPeriod],
) -> TimeSpan {
    let period = periods.iter().find(|period| {
        period.server == request.server
            && (period.from..period.until).contains(&now)
    });
    period.map_or(request.service, |period| {
        request.service.percent(100 * period.factor)
    })
}
