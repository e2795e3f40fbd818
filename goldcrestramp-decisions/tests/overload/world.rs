//! Callers and servers in virtual time, the same for every policy.

use std::{cmp::Reverse, collections::BinaryHeap};

use goldcrestramp_types::{
    CallerName, LocalTime, NotRunReason, RequestClass, TimeSpan,
};

use crate::policy::{PolicyAction, TrafficPolicy};

/// A small generator with a fixed seed: the same run every time.
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

    /// Even between 0 and 1.
    fn unit(&mut self) -> f64 {
        f64::from(u32::try_from(self.next() >> 32).unwrap_or(0))
            / f64::from(u32::MAX)
    }

    /// Exponential with this mean.
    fn pause(&mut self, mean_micros: f64) -> TimeSpan {
        let pause = -mean_micros * (1.0 - self.unit()).max(1e-9).ln();
        TimeSpan::from_micros(micros(pause))
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "spans of a few virtual seconds"
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
    /// Milliseconds of slot time on average; each takes half to one and a
    /// half of it.
    pub(crate) service: f64,
    pub(crate) deadline: TimeSpan,
    /// Keys that it asks for, evenly.
    pub(crate) keys: u64,
    pub(crate) from: LocalTime,
    pub(crate) until: LocalTime,
}

/// A request of a run.
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

/// How a request ended, and when.
#[derive(Clone, Copy)]
pub(crate) enum SimEnd {
    Done(LocalTime),
    Refused(LocalTime, NotRunReason),
}

/// Servers that are slow for a part of the run.
#[derive(Clone, Copy)]
pub(crate) struct SlowSpell {
    pub(crate) server: usize,
    pub(crate) factor: u64,
    pub(crate) from: LocalTime,
    pub(crate) until: LocalTime,
}

#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum SimEvent {
    Arrive(usize),
    End(usize),
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
        let mut arrives = load.from + random.pause(mean);
        while arrives < load.until {
            let service = load.service * 1e3 * (0.5 + random.unit());
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
            arrives = arrives + random.pause(mean);
        }
    }
    requests.sort_by_key(|request| request.arrives);
    requests
}

/// Runs the requests through a policy; tells how each ended.
pub(crate) fn run(
    requests: &[SimRequest],
    spells: &[SlowSpell],
    policy: &mut dyn TrafficPolicy,
) -> Vec<SimEnd> {
    let mut events = BinaryHeap::new();
    let mut ends = vec![None; requests.len()];
    let mut spans = vec![TimeSpan::ZERO; requests.len()];
    let arrivals = requests.iter().enumerate();
    events.extend(
        arrivals.map(|(n, r)| Reverse((r.arrives, SimEvent::Arrive(n)))),
    );
    while let Some(Reverse((now, event))) = events.pop() {
        match event {
            SimEvent::Arrive(ticket) => {
                policy.arrive(now, ticket, &requests[ticket]);
            }
            SimEvent::End(ticket) => {
                ends[ticket] = Some(SimEnd::Done(now));
                policy.ended(now, ticket, spans[ticket]);
            }
            SimEvent::Wake => {}
        }
        while let Some(action) = policy.act(now) {
            match action {
                PolicyAction::Start(ticket) => {
                    let request = &requests[ticket];
                    spans[ticket] = slot_time(request, now, spells);
                    let end = now + spans[ticket];
                    events.push(Reverse((end, SimEvent::End(ticket))));
                }
                PolicyAction::Refuse(ticket, reason) => {
                    ends[ticket] = Some(SimEnd::Refused(now, reason));
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
    ends.into_iter().map(|end| end.expect("each request ends")).collect()
}

/// How long a server takes for a request that starts now.
fn slot_time(
    request: &SimRequest,
    now: LocalTime,
    spells: &[SlowSpell],
) -> TimeSpan {
    let spell = spells.iter().find(|spell| {
        spell.server == request.server
            && (spell.from..spell.until).contains(&now)
    });
    spell.map_or(request.service, |spell| {
        request.service.percent(100 * spell.factor)
    })
}
