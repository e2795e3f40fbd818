//! The entities that tickets change: failure domains, services, servers
//! and callers.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::deployment::{CallerRules, DomainRules, ServerRules, ServiceRules};

/// A kind of entity.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum EntityKind {
    /// A failure domain.
    Domain,
    /// A service.
    Service,
    /// A backend server.
    Server,
    /// A caller's share.
    Caller,
}

impl EntityKind {
    const ALL: [Self; 4] =
        [Self::Domain, Self::Service, Self::Server, Self::Caller];

    /// Returns the stable code used in entity ids and messages.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::Domain => "domain",
            Self::Service => "service",
            Self::Server => "server",
            Self::Caller => "caller",
        }
    }

    /// Returns the name of the ticket's list of such entities.
    pub(crate) const fn plural(self) -> &'static str {
        match self {
            Self::Domain => "domains",
            Self::Service => "services",
            Self::Server => "servers",
            Self::Caller => "callers",
        }
    }
}

/// Identifies an entity by kind and name; its text form is `server/NAME`.
#[derive(
    Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct EntityId {
    /// Its kind.
    pub kind: EntityKind,
    /// Its name.
    pub name: Arc<str>,
}

impl EntityId {
    /// Creates the id of the entity of this kind and name.
    #[must_use]
    pub fn new(kind: EntityKind, name: &str) -> Self {
        Self { kind, name: Arc::from(name) }
    }
}

impl fmt::Display for EntityId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.code(), self.name)
    }
}

impl From<EntityId> for String {
    fn from(id: EntityId) -> Self {
        id.to_string()
    }
}

impl TryFrom<String> for EntityId {
    type Error = &'static str;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let (code, name) = text.split_once('/').ok_or("no kind/name")?;
        let mut kinds = EntityKind::ALL.into_iter();
        let kind = kinds.find(|kind| kind.code() == code);
        Ok(Self::new(kind.ok_or("no such kind of thing")?, name))
    }
}

/// Implemented by the rules of all four kinds of entity.
pub(crate) trait ConfiguredEntity: Clone {
    /// Returns the entity's kind and name.
    fn id(&self) -> EntityId;
}

impl ConfiguredEntity for DomainRules {
    fn id(&self) -> EntityId {
        EntityId::new(EntityKind::Domain, self.name.as_str())
    }
}

impl ConfiguredEntity for ServiceRules {
    fn id(&self) -> EntityId {
        EntityId::new(EntityKind::Service, self.name.as_str())
    }
}

impl ConfiguredEntity for ServerRules {
    fn id(&self) -> EntityId {
        EntityId::new(EntityKind::Server, self.name.as_str())
    }
}

impl ConfiguredEntity for CallerRules {
    fn id(&self) -> EntityId {
        EntityId::new(EntityKind::Caller, self.name.as_str())
    }
}
