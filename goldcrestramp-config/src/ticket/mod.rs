//! Change tickets: a number and the whole new state of what they touch.
//!
//! Acceptance is a pure function, [`accept_ticket`], so every node and the
//! operators' command judge a ticket alike. Things are ordered by the
//! number of the last ticket that touched them; that order makes
//! [`merge_states`] possible when a store comes back with older data.

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
    /// The operator's number; above the last for everything it touches.
    pub ticket: u64,
    /// Failure domains, each as it shall be.
    #[serde(default)]
    pub domains: Vec<DomainRules>,
    /// Services, each as it shall be.
    #[serde(default)]
    pub services: Vec<ServiceRules>,
    /// Backend servers, each as it shall be.
    #[serde(default)]
    pub servers: Vec<ServerRules>,
    /// Callers' shares, each as it shall be.
    #[serde(default)]
    pub callers: Vec<CallerRules>,
    /// What shall no longer be there.
    #[serde(default)]
    pub remove: RemovalList,
}

/// The things that a ticket removes.
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
    /// Callers, who then have the default share.
    #[serde(default)]
    pub callers: Vec<CallerName>,
}

impl ChangeTicket {
    /// A digest of all that the ticket says; comments, spaces and the
    /// order of fields in the text make no difference.
    ///
    /// # Panics
    ///
    /// Never: a ticket can always be written as JSON.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let text = serde_json::to_vec(self).expect("a ticket is JSON");
        xxhash_rust::xxh3::xxh3_64(&text)
    }

    /// Everything that the ticket touches, each with its path in the text.
    #[must_use]
    pub fn things(&self) -> Vec<(String, EntityId)> {
        let mut things = Vec::new();
        push_things(&mut things, "domains", &self.domains);
        push_things(&mut things, "services", &self.services);
        push_things(&mut things, "servers", &self.servers);
        push_things(&mut things, "callers", &self.callers);
        things.extend(self.remove.things());
        things
    }
}

impl RemovalList {
    fn things(&self) -> Vec<(String, EntityId)> {
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

fn push_things<T: ConfiguredEntity>(
    things: &mut Vec<(String, EntityId)>,
    field: &str,
    list: &[T],
) {
    for (index, thing) in list.iter().enumerate() {
        things.push((format!("{field}[{index}].name"), thing.id()));
    }
}
