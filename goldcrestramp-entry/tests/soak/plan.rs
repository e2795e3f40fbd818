//! The faults of a run, drawn from its seed.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{relay::RelayManner, server::ServerManner};

/// Something that happens to one part of the fleet.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A daemon is killed, and started again after this time.
    Kill { node: usize, down: Duration },
    /// A daemon is stopped on a plan, and started again.
    Stop { node: usize },
    /// A daemon is paused for this time.
    Pause { node: usize, span: Duration },
    /// A daemon is told that its settings have changed.
    Reload { node: usize },
    /// A daemon's way to the store misbehaves.
    Store { node: usize, manner: RelayManner, span: Duration },
    /// The way to a server misbehaves.
    Way { server: usize, manner: RelayManner, span: Duration },
    /// A server misbehaves.
    Server { server: usize, manner: ServerManner, span: Duration },
    /// A server drains, ends, and another one comes.
    Replace { server: usize },
    /// A new configuration.
    Configure,
}

/// A fault with the time since the one before it.
#[derive(Clone, Copy, Debug)]
pub struct PlannedFault {
    pub after: Duration,
    pub fault: Fault,
}

fn millis(dice: &mut StdRng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(dice.random_range(range))
}

/// A way may be late by no more than a second: a grant that was given up
/// is reckoned with for two and a half.
fn manner(dice: &mut StdRng) -> RelayManner {
    match dice.random_range(0..4) {
        0 => RelayManner::Delays(millis(dice, 20..900)),
        1 => RelayManner::Resets,
        2 => RelayManner::Silent,
        _ => RelayManner::LosesAnswers,
    }
}

fn server_manner(dice: &mut StdRng) -> ServerManner {
    match dice.random_range(0..5) {
        0 => ServerManner::Works(millis(dice, 50..600)),
        1 => ServerManner::LosesAnswers,
        2 => ServerManner::BreaksOff,
        3 => ServerManner::Sheds,
        _ => ServerManner::MixesUp,
    }
}

/// The faults of a run of this length, in order; they overlap.
pub fn plan(
    seed: u64,
    length: Duration,
    nodes: usize,
    servers: usize,
) -> Vec<PlannedFault> {
    let mut dice = StdRng::seed_from_u64(seed);
    let mut passed = Duration::ZERO;
    let mut plan = Vec::new();
    while passed < length {
        let after = millis(&mut dice, 30..500);
        passed += after;
        let node = dice.random_range(0..nodes);
        let server = dice.random_range(0..servers);
        let fault = match dice.random_range(0..12) {
            0 => Fault::Kill { node, down: millis(&mut dice, 50..1_500) },
            1 => Fault::Stop { node },
            2 => Fault::Pause { node, span: millis(&mut dice, 100..4_000) },
            3 => Fault::Reload { node },
            4 | 5 => {
                let span = millis(&mut dice, 200..5_000);
                Fault::Store { node, manner: manner(&mut dice), span }
            }
            6 | 7 => {
                let span = millis(&mut dice, 200..4_000);
                Fault::Way { server, manner: manner(&mut dice), span }
            }
            8 | 9 => {
                let span = millis(&mut dice, 200..2_000);
                let manner = server_manner(&mut dice);
                Fault::Server { server, manner, span }
            }
            10 => Fault::Replace { server },
            _ => Fault::Configure,
        };
        plan.push(PlannedFault { after, fault });
    }
    plan
}
