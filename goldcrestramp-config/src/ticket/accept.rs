//! Decides whether a ticket changes the state.

use super::{
    ChangeTicket,
    check::check_change,
    entity::{ConfiguredEntity, EntityId},
    history::{AcceptedTicket, EntityRevision},
    refusal::{RefusalReason, TicketRefusal},
};
use crate::deployment::DeploymentState;

/// The most bytes that the state may take as one value of the store.
///
/// The store holds a megabyte; a tenth is left for the next merge.
pub const MAX_STATE_BYTES: usize = 900_000;

/// What a ticket comes to.
#[derive(Clone, Debug, PartialEq)]
pub enum AcceptOutcome {
    /// It makes this state.
    Accepted(Box<DeploymentState>),
    /// The same ticket made this version before.
    AcceptedAlready {
        /// The version.
        version: u64,
    },
    /// It changes nothing, for each of these reasons.
    Refused(Vec<TicketRefusal>),
}

/// Judges `ticket` against `state`.
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
/// let ticket = parse_ticket("one.jsonc", text).expect("good").ticket;
/// let empty = DeploymentState::default();
/// let AcceptOutcome::Accepted(state) = accept_ticket(&empty, &ticket)
/// else {
///     panic!("the first ticket");
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
    if let Some(marks) = state.tickets.recent.get(&ticket.ticket) {
        let same = marks.iter().find(|mark| mark.digest == digest);
        return same.map_or_else(
            || refused("ticket", RefusalReason::NumberReused),
            |mark| AcceptOutcome::AcceptedAlready { version: mark.version },
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

/// Two tickets of one thing have one order, that of their numbers.
///
/// Without this a ticket that was delayed on its way would undo a later
/// one that has been in force since.
fn check_numbers(
    state: &DeploymentState,
    ticket: &ChangeTicket,
) -> Vec<TicketRefusal> {
    let things = ticket.things().into_iter();
    let late = things.filter_map(|(path, thing)| {
        let last = state.tickets.last_for(&thing).0;
        let reason = RefusalReason::NumberTooLow { thing, last };
        (ticket.ticket <= last).then_some(TicketRefusal { path, reason })
    });
    late.collect()
}

/// The state with the whole ticket in it.
fn change_state(
    state: &DeploymentState,
    ticket: &ChangeTicket,
    digest: u64,
) -> DeploymentState {
    let mut next = state.clone();
    next.version += 1;
    for (_, thing) in ticket.remove.things() {
        next.remove(&thing);
    }
    put_all(&mut next.domains, &ticket.domains);
    put_all(&mut next.services, &ticket.services);
    put_all(&mut next.servers, &ticket.servers);
    put_all(&mut next.callers, &ticket.callers);
    for (_, thing) in ticket.things() {
        let mark = EntityRevision::new(ticket.ticket, digest);
        next.tickets.last.insert(thing, mark);
    }
    let mark = AcceptedTicket { digest, version: next.version };
    next.tickets.note(ticket.ticket, mark);
    next.trim_marks();
    next
}

/// Puts each thing in place of the former one; lists are sorted by name,
/// so that equal states are equal texts.
pub(super) fn put_all<T: ConfiguredEntity>(list: &mut Vec<T>, new: &[T]) {
    let ids: Vec<EntityId> = new.iter().map(ConfiguredEntity::id).collect();
    list.retain(|thing| !ids.contains(&thing.id()));
    list.extend(new.iter().cloned());
    list.sort_by_cached_key(ConfiguredEntity::id);
}
