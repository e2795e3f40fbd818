//! Brings a change ticket into the store, whatever the store does.
//!
//! Operators race each other, answers are lost after the write took effect,
//! and a store may be down or come back with older data. The loop here
//! reads, judges and writes by compare-and-swap, and reads back whatever it
//! is not sure of, so that an operator is told the truth.

use bytes::Bytes;
use goldcrestramp_config::{
    AcceptOutcome, ChangeTicket, DeploymentState, TicketRefusal,
    accept_ticket, merge_states,
};
use goldcrestramp_platform::{
    PutCondition, PutOutcome, StoreAccess, StoreError,
    records::{StoreRecord, keys},
};
use goldcrestramp_types::FastSet;

/// How often a write is tried when others write at the same time.
///
/// Each lost try means that another ticket went in; at 3,700 tickets a day
/// sixteen in a row is no race but a fault.
const WRITE_TRIES: usize = 16;

/// What became of a ticket.
#[derive(Clone, Debug, PartialEq)]
pub enum ApplyOutcome {
    /// It is accepted and stored, in this state.
    Accepted(Box<DeploymentState>),
    /// It had been accepted before; the stored state holds it.
    AcceptedAlready(Box<DeploymentState>),
    /// It is not accepted and changed nothing.
    Refused {
        /// Every reason.
        refusals: Vec<TicketRefusal>,
        /// Tickets of other operators that went in while this one was
        /// tried, lowest number first.
        raced: Vec<u64>,
    },
    /// The store took nothing; the ticket certainly changed nothing.
    NotApplied(String),
    /// The ticket may be in the store. Applying the same one again tells.
    Unknown(String),
}

/// Applies `ticket` to the stored configuration.
///
/// `held` is the newest configuration that this VM knows: when the store
/// came back with older data, what it lost is written back with the ticket.
/// The caller takes the state of an accepted ticket as its own before it
/// answers, so that a store that is restored afterwards can be told again.
pub async fn apply_ticket<S: StoreAccess>(
    store: &S,
    held: &DeploymentState,
    ticket: &ChangeTicket,
) -> ApplyOutcome {
    let mut run = ApplyRun { store, held, ticket, seen: None, unsure: false };
    for _ in 0..WRITE_TRIES {
        if let Some(outcome) = run.attempt().await {
            return outcome;
        }
    }
    run.given_up("other tickets went in at every try".to_owned())
}

/// Writes back what a store that came back with older data has lost.
///
/// Gives the joined state, which the caller takes as its own. Nothing is
/// written while the store holds all that `held` does.
///
/// # Errors
///
/// The store's error; the same call may be made again.
pub async fn restore_config<S: StoreAccess>(
    store: &S,
    held: &DeploymentState,
) -> Result<DeploymentState, StoreError> {
    for _ in 0..WRITE_TRIES {
        let stored = read_config(store).await?;
        let joined = merge_states(held, &stored.state);
        if joined == stored.state {
            return Ok(joined);
        }
        match write_config(store, stored.condition, &joined).await {
            Ok(PutOutcome::Written(_)) => return Ok(joined),
            // Another VM was first, or the answer was lost: read again.
            Ok(PutOutcome::Conflict) | Err(StoreError::Unknown(_)) => {}
            Err(error) => return Err(error),
        }
    }
    Err(StoreError::Unavailable("others wrote at every try".to_owned()))
}

/// The stored configuration and what a write of it must find.
struct StoredConfig {
    state: DeploymentState,
    condition: PutCondition,
}

async fn read_config<S: StoreAccess>(
    store: &S,
) -> Result<StoredConfig, StoreError> {
    let Some(stored) = store.get(keys::CONFIG).await? else {
        let state = DeploymentState::default();
        let condition = PutCondition::Absent;
        return Ok(StoredConfig { state, condition });
    };
    // Never written over: a newer program may have stored what this one
    // does not understand, and all of it would be lost.
    let state = DeploymentState::decode(&stored.value).map_err(|error| {
        StoreError::Refused(format!("stored configuration: {error}"))
    })?;
    let condition = PutCondition::Version(stored.version);
    Ok(StoredConfig { state, condition })
}

async fn write_config<S: StoreAccess>(
    store: &S,
    condition: PutCondition,
    state: &DeploymentState,
) -> Result<PutOutcome, StoreError> {
    let value: Bytes = state
        .encode()
        .map_err(|error| StoreError::Refused(error.to_string()))?;
    store.put(keys::CONFIG, condition, value, None).await
}

/// One ticket on its way into the store.
struct ApplyRun<'a, S> {
    store: &'a S,
    held: &'a DeploymentState,
    ticket: &'a ChangeTicket,
    /// The accepted numbers at the first read.
    seen: Option<FastSet<u64>>,
    /// A write of this run may have taken effect.
    unsure: bool,
}

impl<S: StoreAccess> ApplyRun<'_, S> {
    /// Reads, judges and writes once; `None`: it must be tried again.
    async fn attempt(&mut self) -> Option<ApplyOutcome> {
        let stored = match read_config(self.store).await {
            Ok(stored) => stored,
            Err(error) => return Some(self.given_up(error.to_string())),
        };
        let current = merge_states(self.held, &stored.state);
        if self.seen.is_none() {
            self.seen = Some(numbers(&current).collect());
        }
        match accept_ticket(&current, self.ticket) {
            AcceptOutcome::Accepted(next) => {
                self.write(stored.condition, next, false).await
            }
            AcceptOutcome::AcceptedAlready { .. } => {
                let next = Box::new(current);
                if *next == stored.state {
                    return Some(self.found(next));
                }
                self.write(stored.condition, next, true).await
            }
            AcceptOutcome::Refused(refusals) => {
                let raced = self.raced(&current);
                Some(ApplyOutcome::Refused { refusals, raced })
            }
        }
    }

    async fn write(
        &mut self,
        condition: PutCondition,
        next: Box<DeploymentState>,
        already: bool,
    ) -> Option<ApplyOutcome> {
        match write_config(self.store, condition, &next).await {
            Ok(PutOutcome::Written(_)) if already => Some(self.found(next)),
            Ok(PutOutcome::Written(_)) => Some(ApplyOutcome::Accepted(next)),
            Ok(PutOutcome::Conflict) => None,
            // The answer was lost, perhaps after the write took effect. The
            // next read tells: it holds the ticket's number, or the write
            // is tried again on the same version, which at most one wins.
            Err(StoreError::Unknown(_)) => {
                self.unsure = true;
                None
            }
            Err(error) => Some(self.given_up(error.to_string())),
        }
    }

    /// The stored state holds the ticket: from this run, or from before.
    fn found(&self, state: Box<DeploymentState>) -> ApplyOutcome {
        if self.unsure {
            ApplyOutcome::Accepted(state)
        } else {
            ApplyOutcome::AcceptedAlready(state)
        }
    }

    fn given_up(&self, why: String) -> ApplyOutcome {
        if self.unsure {
            ApplyOutcome::Unknown(why)
        } else {
            ApplyOutcome::NotApplied(why)
        }
    }

    fn raced(&self, current: &DeploymentState) -> Vec<u64> {
        let seen = self.seen.as_ref();
        let new = numbers(current);
        new.filter(|n| seen.is_some_and(|seen| !seen.contains(n))).collect()
    }
}

fn numbers(state: &DeploymentState) -> impl Iterator<Item = u64> {
    state.tickets.recent.keys().copied()
}
