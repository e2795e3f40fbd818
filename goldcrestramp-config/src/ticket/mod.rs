//! Change tickets: a number and the complete new rules of the entities they
//! change.
//!
//! Acceptance is a pure function, [`accept_ticket`], so every node and the
//! operators' command give the same result. The changes of an entity are
//! ordered by ticket number; that order makes [`merge_states`] possible after
//! a store was restored from older data.

mod accept;
mod change;
mod check;
mod entity;
mod history;
mod merge;
mod preview;
mod reader;
mod refusal;

use goldcrestramp_types::{CallerName, DomainName, ServerName, ServiceName};
use serde::{Deserialize, Serialize};

pub use self::{
    accept::{AcceptOutcome, MAX_STATE_BYTES, accept_ticket},
    change::{StateChange, StateRevision},
    entity::{EntityId, EntityKind},
    history::{AcceptedTicket, EntityRevision, TicketHistory},
    merge::merge_states,
    preview::{
        CapacityPreview, ServicePreview, TicketPreview, preview_ticket,
    },
    reader::{TicketDocument, parse_ticket, read_ticket},
    refusal::{RefusalReason, TicketRefusal},
};
pub(crate) use self::{entity::ConfiguredEntity, reader::ticket_from_node};
use crate::deployment::{CallerRules, DomainRules, ServerRules, ServiceRules};

/// A numbered change to the deployment's configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeTicket {
    /// The number that the operator chose, above the last ticket number of
    /// each entity that the ticket changes.
    pub ticket: u64,
    /// Failure domains to add or replace.
    #[serde(default)]
    pub domains: Vec<DomainRules>,
    /// Services to add or replace.
    #[serde(default)]
    pub services: Vec<ServiceRules>,
    /// Backend servers to add or replace.
    #[serde(default)]
    pub servers: Vec<ServerRules>,
    /// Callers' shares to add or replace.
    #[serde(default)]
    pub callers: Vec<CallerRules>,
    /// The entities to remove.
    #[serde(default)]
    pub remove: RemovalList,
}

/// The entities that a ticket removes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RemovalList {
    /// Failure domains.
    #[serde(default)]
    pub domains: Vec<DomainName>,
    /// Services.
    #[serde(default)]
    pub services: Vec<ServiceName>,
    /// Backend servers.
    #[serde(default)]
    pub servers: Vec<ServerName>,
    /// Callers, which then get the default share.
    #[serde(default)]
    pub callers: Vec<CallerName>,
}

impl ChangeTicket {
    /// Returns a digest of the ticket's content; comments, whitespace and the
    /// order of fields in the text don't affect it.
    ///
    /// # Panics
    ///
    /// Never, since a ticket can always be encoded as JSON.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let text = serde_json::to_vec(self).expect("ticket encodes as JSON");
        xxhash_rust::xxh3::xxh3_64(&text)
    }

    /// Returns the entities that the ticket changes or removes, each with its
    /// path in the text.
    #[must_use]
    pub fn entities(&self) -> Vec<(String, EntityId)> {
        let mut entities = Vec::new();
        push_entities(&mut entities, "domains", &self.domains);
        push_entities(&mut entities, "services", &self.services);
        push_entities(&mut entities, "servers", &self.servers);
        push_entities(&mut entities, "callers", &self.callers);
        entities.extend(self.remove.entities());
        entities
    }
}

impl RemovalList {
    fn entities(&self) -> Vec<(String, EntityId)> {
        let domains = self.domains.iter().map(DomainName::as_str);
        let services = self.services.iter().map(ServiceName::as_str);
        let servers = self.servers.iter().map(ServerName::as_str);
        let callers = self.callers.iter().map(CallerName::as_str);
        let domains = domains.enumerate().map(|n| (EntityKind::Domain, n));
        let services = services.enumerate().map(|n| (EntityKind::Service, n));
        let servers = servers.enumerate().map(|n| (EntityKind::Server, n));
        let callers = callers.enumerate().map(|n| (EntityKind::Caller, n));
        let all = domains.chain(services).chain(servers).chain(callers);
        let path = |kind: EntityKind, index: usize| {
            format!("remove.{}[{index}]", kind.plural())
        };
        all.map(|(kind, (index, name))| {
            (path(kind, index), EntityId::new(kind, name))
        })
        .collect()
    }
}

fn push_entities<T: ConfiguredEntity>(
    entities: &mut Vec<(String, EntityId)>,
    field: &str,
    list: &[T],
) {
    for (index, entity) in list.iter().enumerate() {
        entities.push((format!("{field}[{index}].name"), entity.id()));
    }
}
