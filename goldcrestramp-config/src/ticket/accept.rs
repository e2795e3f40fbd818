//! Decides whether a ticket is accepted and applies it to the state.

use super::{
    ChangeTicket,
    check::check_change,
    entity::{ConfiguredEntity, EntityId},
    history::{AcceptedTicket, EntityRevision},
    refusal::{RefusalReason, TicketRefusal},
};
use crate::deployment::DeploymentState;

/// The maximum size in bytes of the state as one value of the store.
///
/// The store accepts a megabyte; a tenth is reserved for the next merge.
pub const MAX_STATE_BYTES: usize = 900_000;

/// The result of checking a ticket.
#[derive(Clone, Debug, PartialEq)]
pub enum AcceptOutcome {
    /// The ticket is accepted, with this state as the result.
    Accepted(Box<DeploymentState>),
    /// The same ticket was accepted earlier.
    AcceptedAlready {
        /// The version that it created.
        version: u64,
    },
    /// The ticket changes nothing, for each of these reasons.
    Refused(Vec<TicketRefusal>),
}

/// Checks `ticket` against `state` and applies it if it is valid.
///
/// # Example
///
/// ```
/// use goldcrestramp_config::{
///     AcceptOutcome, DeploymentState, accept_ticket, parse_ticket,
/// };
///
/// let text = r#"{ "ticket": 1,
///     "domains": [{ "name": "sierra-a", "region": "sierra" }] }"#;
/// let ticket = parse_ticket("one.jsonc", text)
///     .expect("ticket parses")
///     .ticket;
/// let empty = DeploymentState::default();
/// let AcceptOutcome::Accepted(state) = accept_ticket(&empty, &ticket)
/// else {
///     panic!("the first ticket is accepted");
/// };
/// assert_eq!(state.version, 1);
/// let again = accept_ticket(&state, &ticket);
/// assert_eq!(again, AcceptOutcome::AcceptedAlready { version: 1 });
/// ```
#[must_use]
pub fn accept_ticket(
    state: &DeploymentState,
    ticket: &ChangeTicket,
) -> AcceptOutcome {
    let digest = ticket.digest();
    if let Some(tickets) = state.tickets.recent.get(&ticket.ticket) {
        let same = tickets.iter().find(|known| known.digest == digest);
        return same.map_or_else(
            || refused("ticket", RefusalReason::NumberReused),
            |known| AcceptOutcome::AcceptedAlready { version: known.version },
        );
    }
    let mut refusals = check_numbers(state, ticket);
    let next = change_state(state, ticket, digest);
    refusals.extend(check_change(state, ticket, &next));
    if refusals.is_empty() {
        AcceptOutcome::Accepted(Box::new(next))
    } else {
        AcceptOutcome::Refused(refusals)
    }
}

fn refused(path: &str, reason: RefusalReason) -> AcceptOutcome {
    let path = path.to_owned();
    AcceptOutcome::Refused(vec![TicketRefusal { path, reason }])
}

/// Refuses a ticket whose number is not above the last one of each entity.
///
/// Tickets that change one entity are ordered by their numbers. Without
/// this, a ticket that was delayed in flight would undo a later ticket that
/// has been accepted since.
fn check_numbers(
    state: &DeploymentState,
    ticket: &ChangeTicket,
) -> Vec<TicketRefusal> {
    let entities = ticket.entities().into_iter();
    let outdated = entities.filter_map(|(path, entity)| {
        let last = state.tickets.last_for(&entity).0;
        let reason = RefusalReason::NumberTooLow { thing: entity, last };
        (ticket.ticket <= last).then_some(TicketRefusal { path, reason })
    });
    outdated.collect()
}

/// Returns the state with the complete ticket applied.
fn change_state(
    state: &DeploymentState,
    ticket: &ChangeTicket,
    digest: u64,
) -> DeploymentState {
    let mut next = state.clone();
    next.version += 1;
    for (_, entity) in ticket.remove.entities() {
        next.remove(&entity);
    }
    upsert_all(&mut next.domains, &ticket.domains);
    upsert_all(&mut next.services, &ticket.services);
    upsert_all(&mut next.servers, &ticket.servers);
    upsert_all(&mut next.callers, &ticket.callers);
    for (_, entity) in ticket.entities() {
        let revision = EntityRevision::new(ticket.ticket, digest);
        next.tickets.last.insert(entity, revision);
    }
    let accepted = AcceptedTicket { digest, version: next.version };
    next.tickets.record(ticket.ticket, accepted);
    next.trim_history();
    next
}

/// Inserts each entity or replaces the previous one of its name. Lists are
/// sorted by name, so that equal states have equal encodings.
pub(super) fn upsert_all<T: ConfiguredEntity>(list: &mut Vec<T>, new: &[T]) {
    let ids: Vec<EntityId> = new.iter().map(ConfiguredEntity::id).collect();
    list.retain(|entity| !ids.contains(&entity.id()));
    list.extend(new.iter().cloned());
    list.sort_by_cached_key(ConfiguredEntity::id);
}
