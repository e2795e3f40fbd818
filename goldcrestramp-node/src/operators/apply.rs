//! Applies a change ticket to the configuration in the store.
//!
//! Operators may write concurrently, a response may be lost after its write
//! took effect, and the store may be unavailable or restored from older data.
//! The loop here reads, validates and writes by compare-and-swap, and reads
//! back every write whose outcome it does not know, so that the reported
//! outcome is correct.

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

/// The most attempts to write when others write concurrently.
///
/// Each conflict means that another ticket was stored. At 3,700 tickets per
/// day, 16 conflicts in a row indicate a fault and not a race.
const MAX_WRITE_ATTEMPTS: usize = 16;

/// The outcome of applying a ticket.
#[derive(Clone, Debug, PartialEq)]
pub enum ApplyOutcome {
    /// The ticket is accepted and stored, in this state.
    Accepted(Box<DeploymentState>),
    /// The ticket was accepted before; the stored state includes it.
    AcceptedAlready(Box<DeploymentState>),
    /// The ticket is refused and changed nothing.
    Refused {
        /// Every reason for the refusal.
        refusals: Vec<TicketRefusal>,
        /// Tickets of other operators that were stored while this one was
        /// being applied, in ascending order.
        raced: Vec<u64>,
    },
    /// Nothing was written to the store; the ticket changed nothing.
    NotApplied(String),
    /// The ticket may be in the store. Applying it again shows whether it
    /// is.
    Unknown(String),
}

/// Applies `ticket` to the stored configuration.
///
/// `known` is the newest configuration that this VM knows. If the store was
/// restored from older data, the lost tickets are written back together with
/// this one. The caller must adopt the state of an accepted ticket before it
/// responds, so that the ticket can be written back if the store is restored
/// afterwards.
pub async fn apply_ticket<S: StoreAccess>(
    store: &S,
    known: &DeploymentState,
    ticket: &ChangeTicket,
) -> ApplyOutcome {
    let mut application = TicketApplication {
        store,
        known,
        ticket,
        initial_numbers: None,
        may_be_written: false,
    };
    for _ in 0..MAX_WRITE_ATTEMPTS {
        if let Some(outcome) = application.attempt().await {
            return outcome;
        }
    }
    application.failure("other tickets went in at every try".to_owned())
}

/// Writes back the configuration that a store restored from older data has
/// lost.
///
/// Returns the merged state, which the caller must adopt. Nothing is written
/// if the store already includes everything in `known`.
///
/// # Errors
///
/// Returns the store's error; the call may be retried.
pub async fn restore_config<S: StoreAccess>(
    store: &S,
    known: &DeploymentState,
) -> Result<DeploymentState, StoreError> {
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let stored = read_config(store).await?;
        let merged = merge_states(known, &stored.state);
        if merged == stored.state {
            return Ok(merged);
        }
        match write_config(store, stored.condition, &merged).await {
            Ok(PutOutcome::Written(_)) => return Ok(merged),
            // Another VM wrote first, or the response was lost: read again.
            Ok(PutOutcome::Conflict) | Err(StoreError::Unknown(_)) => {}
            Err(error) => return Err(error),
        }
    }
    Err(StoreError::Unavailable("others wrote at every try".to_owned()))
}

/// The stored configuration and the condition for a write that replaces it.
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
    // A value that can't be decoded is never overwritten: a newer version of
    // the program may have written it, and the whole configuration would be
    // lost.
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

/// The state of applying one ticket over several attempts.
struct TicketApplication<'a, S> {
    store: &'a S,
    known: &'a DeploymentState,
    ticket: &'a ChangeTicket,
    /// The numbers of the accepted tickets at the first read.
    initial_numbers: Option<FastSet<u64>>,
    /// Whether an earlier write of this ticket may have taken effect.
    may_be_written: bool,
}

impl<S: StoreAccess> TicketApplication<'_, S> {
    /// Reads, validates and writes once; `None` if another attempt is needed.
    async fn attempt(&mut self) -> Option<ApplyOutcome> {
        let stored = match read_config(self.store).await {
            Ok(stored) => stored,
            Err(error) => return Some(self.failure(error.to_string())),
        };
        let current = merge_states(self.known, &stored.state);
        if self.initial_numbers.is_none() {
            self.initial_numbers = Some(numbers(&current).collect());
        }
        match accept_ticket(&current, self.ticket) {
            AcceptOutcome::Accepted(next) => {
                self.write(stored.condition, next, false).await
            }
            AcceptOutcome::AcceptedAlready { .. } => {
                let next = Box::new(current);
                if *next == stored.state {
                    return Some(self.already_stored(next));
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
            Ok(PutOutcome::Written(_)) if already => {
                Some(self.already_stored(next))
            }
            Ok(PutOutcome::Written(_)) => Some(ApplyOutcome::Accepted(next)),
            Ok(PutOutcome::Conflict) => None,
            // The response was lost, perhaps after the write took effect.
            // The next read shows which: it includes the ticket's number, or
            // the write is retried on the same version, where at most one of
            // the two writes can succeed.
            Err(StoreError::Unknown(_)) => {
                self.may_be_written = true;
                None
            }
            Err(error) => Some(self.failure(error.to_string())),
        }
    }

    /// The outcome if the stored state includes the ticket: it was written by
    /// an earlier attempt of this call, or before the call.
    fn already_stored(&self, state: Box<DeploymentState>) -> ApplyOutcome {
        if self.may_be_written {
            ApplyOutcome::Accepted(state)
        } else {
            ApplyOutcome::AcceptedAlready(state)
        }
    }

    fn failure(&self, why: String) -> ApplyOutcome {
        if self.may_be_written {
            ApplyOutcome::Unknown(why)
        } else {
            ApplyOutcome::NotApplied(why)
        }
    }

    fn raced(&self, current: &DeploymentState) -> Vec<u64> {
        let initial_numbers = self.initial_numbers.as_ref();
        let new = numbers(current);
        new.filter(|n| {
            initial_numbers
                .is_some_and(|initial_numbers| !initial_numbers.contains(n))
        })
        .collect()
    }
}

fn numbers(state: &DeploymentState) -> impl Iterator<Item = u64> {
    state.tickets.recent.keys().copied()
}
