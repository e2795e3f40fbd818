//! Generates the faults of a run from its seed.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{relay::RelayBehavior, server::ServerBehavior};

/// A fault of one part of the cluster, or a change.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A daemon is killed, and restarted after this time.
    Kill { node: usize, down: Duration },
    /// A daemon gets SIGTERM, and is restarted after its exit.
    Stop { node: usize },
    /// A daemon is paused for this time.
    Pause { node: usize, duration: Duration },
    /// A daemon gets SIGHUP, as if its settings had changed.
    Reload { node: usize },
    /// The link between a daemon and the store is faulty.
    StoreLink { node: usize, behavior: RelayBehavior, duration: Duration },
    /// The link to a server is faulty.
    ServerLink { server: usize, behavior: RelayBehavior, duration: Duration },
    /// A server is faulty.
    Server { server: usize, behavior: ServerBehavior, duration: Duration },
    /// A server drains and shuts down, and another one replaces it.
    Replace { server: usize },
    /// The configuration changes.
    Configure,
    /// A server sheds load for this time and asks for backoffs.
    Shed { server: usize, seconds: u32, duration: Duration },
    /// A server says in its responses only that it is leaving, and another one
    /// replaces it.
    Leave { server: usize },
    /// For this time, an entry of an unknown service has a server's address.
    ForeignEntry { server: usize, duration: Duration },
}

/// A fault, and its delay after the previous one.
#[derive(Clone, Copy, Debug)]
pub struct PlannedFault {
    pub after: Duration,
    pub fault: Fault,
}

fn millis(rng: &mut StdRng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

/// Links delay by less than 1 s: the planner counts a grant order that it gave
/// up on as possibly in effect for 2.5 s.
fn relay_behavior(rng: &mut StdRng) -> RelayBehavior {
    match rng.random_range(0..4) {
        0 => RelayBehavior::Delays(millis(rng, 20..900)),
        1 => RelayBehavior::Resets,
        2 => RelayBehavior::Discards,
        _ => RelayBehavior::DropsResponses,
    }
}

fn server_behavior(rng: &mut StdRng) -> ServerBehavior {
    match rng.random_range(0..5) {
        0 => ServerBehavior::Responds(millis(rng, 50..600)),
        1 => ServerBehavior::DropsResponses,
        2 => ServerBehavior::Truncates,
        3 => ServerBehavior::Sheds,
        _ => ServerBehavior::WrongId,
    }
}

/// Returns the faults of a run of this duration in order; they overlap.
pub fn plan(
    seed: u64,
    run_duration: Duration,
    nodes: usize,
    servers: usize,
) -> Vec<PlannedFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut passed = Duration::ZERO;
    let mut plan = Vec::new();
    while passed < run_duration {
        let after = millis(&mut rng, 30..500);
        passed += after;
        let node = rng.random_range(0..nodes);
        let server = rng.random_range(0..servers);
        let fault = match rng.random_range(0..12) {
            0 => Fault::Kill { node, down: millis(&mut rng, 50..1_500) },
            1 => Fault::Stop { node },
            2 => Fault::Pause { node, duration: millis(&mut rng, 100..4_000) },
            3 => Fault::Reload { node },
            4 | 5 => {
                let duration = millis(&mut rng, 200..5_000);
                Fault::StoreLink {
                    node,
                    behavior: relay_behavior(&mut rng),
                    duration,
                }
            }
            6 | 7 => {
                let duration = millis(&mut rng, 200..4_000);
                Fault::ServerLink {
                    server,
                    behavior: relay_behavior(&mut rng),
                    duration,
                }
            }
            8 | 9 => {
                let duration = millis(&mut rng, 200..2_000);
                let behavior = server_behavior(&mut rng);
                Fault::Server { server, behavior, duration }
            }
            10 => Fault::Replace { server },
            _ => Fault::Configure,
        };
        plan.push(PlannedFault { after, fault });
    }
    plan
}

/// Returns what servers state during a run: backoffs, and that they are
/// leaving. They are drawn apart from the faults, so that the faults of a seed
/// stay the same.
pub fn plan_notices(
    seed: u64,
    run_duration: Duration,
    servers: usize,
) -> Vec<PlannedFault> {
    let mut rng = StdRng::seed_from_u64(!seed);
    let mut passed = Duration::ZERO;
    let mut plan = Vec::new();
    while passed < run_duration {
        let after = millis(&mut rng, 200..1_500);
        passed += after;
        let server = rng.random_range(0..servers);
        let fault = if rng.random_bool(0.25) {
            Fault::Leave { server }
        } else {
            let seconds = rng.random_range(1..=3);
            let duration = millis(&mut rng, 300..4_000);
            Fault::Shed { server, seconds, duration }
        };
        plan.push(PlannedFault { after, fault });
    }
    plan
}

/// Returns the faults by which entries and responses are not what they seem:
/// entries of other writers, repeated responses, and responses without end.
/// They are drawn apart as well.
pub fn plan_imitations(
    seed: u64,
    run_duration: Duration,
    servers: usize,
) -> Vec<PlannedFault> {
    let mut rng = StdRng::seed_from_u64(seed.rotate_left(32));
    let mut passed = Duration::ZERO;
    let mut plan = Vec::new();
    while passed < run_duration {
        let after = millis(&mut rng, 300..1_500);
        passed += after;
        let server = rng.random_range(0..servers);
        let duration = millis(&mut rng, 300..2_500);
        let echoes = rng.random();
        let denies = rng.random();
        let behavior = match rng.random_range(0..4) {
            0 => Some(ServerBehavior::RepeatsRefusals { echoes }),
            1 => Some(ServerBehavior::PrecedesReleases { denies }),
            2 => Some(ServerBehavior::NeverEnds),
            _ => None,
        };
        let fault = match behavior {
            Some(behavior) => Fault::Server { server, behavior, duration },
            None => Fault::ForeignEntry { server, duration },
        };
        plan.push(PlannedFault { after, fault });
    }
    plan
}
