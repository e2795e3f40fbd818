//! The last versions of the operators' configuration.
//!
//! A change names a few of some thousand routes. Whoever tells another VM of
//! it sends what has changed since the version that this VM has, so recent
//! versions are kept; routes that are alike are shared between them.

use std::{collections::VecDeque, fmt, sync::Arc};

use goldcrestramp_adapter::{
    FleetConfiguration, RequestRoute, ServiceShape, TrafficLimits,
};
use goldcrestramp_types::{ClockSource, FastMap, MonotonicClock};
use serde::{Deserialize, Serialize};

use crate::mirror::MirrorValue;

/// Versions kept. A VM that is further behind is told everything.
const MAX_VERSIONS: usize = 16;

/// A version of the configuration.
#[derive(Clone, Debug)]
pub struct ConfigurationVersion {
    /// The store's revision of its write.
    pub revision: u64,
    /// What it says.
    pub configuration: Arc<FleetConfiguration>,
}

/// How much of the configuration a VM knows.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
pub struct ConfigurationRevision {
    /// The revision of the version that it has; 0 if it has none.
    revision: u64,
    /// The revision up to which it has read what was written, values that
    /// it could not use included. Without it these are told again for ever.
    read_until: u64,
}

/// A newer version, for a VM that has another one or none.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigurationUpdate {
    /// The store's revision of its write.
    revision: u64,
    payload: ConfigurationPayload,
}

/// What a newer version is.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum ConfigurationPayload {
    /// What has changed since the version of revision `base`.
    Patch { base: u64, patch: Box<ConfigurationPatch> },
    /// All of it.
    Full(Arc<FleetConfiguration>),
}

/// What makes one version of another.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct ConfigurationPatch {
    version: u64,
    limits: TrafficLimits,
    /// All services, if any has changed.
    services: Option<FastMap<Arc<str>, ServiceShape>>,
    removed: Vec<Arc<str>>,
    written: Vec<Arc<RequestRoute>>,
}

impl ConfigurationPatch {
    fn between(
        previous: &FleetConfiguration,
        newer: &FleetConfiguration,
    ) -> Self {
        let is_removed = |name: &&Arc<str>| !newer.routes.contains_key(*name);
        let is_new = |route: &&Arc<RequestRoute>| {
            let known = previous.routes.get(&route.name);
            !known.is_some_and(|known| is_same(known, route))
        };
        let services = (previous.services != newer.services)
            .then(|| newer.services.clone());
        Self {
            version: newer.version,
            limits: newer.limits,
            services,
            removed: previous
                .routes
                .keys()
                .filter(is_removed)
                .cloned()
                .collect(),
            written: newer.routes.values().filter(is_new).cloned().collect(),
        }
    }

    fn apply(self, previous: &FleetConfiguration) -> FleetConfiguration {
        let mut routes = previous.routes.clone();
        for name in &self.removed {
            routes.remove(name);
        }
        for route in self.written {
            routes.insert(Arc::clone(&route.name), route);
        }
        FleetConfiguration {
            version: self.version,
            routes,
            services: self
                .services
                .unwrap_or_else(|| previous.services.clone()),
            limits: self.limits,
        }
    }
}

fn is_same(one: &Arc<RequestRoute>, other: &Arc<RequestRoute>) -> bool {
    Arc::ptr_eq(one, other) || one == other
}

/// News that were made for another version than the known one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BaseMismatch;

impl fmt::Display for BaseMismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a change of another version of the configuration")
    }
}

impl std::error::Error for BaseMismatch {}

/// The last versions that a VM has seen, oldest first. Versions only rise.
#[derive(Debug, Default)]
pub struct ConfigurationHistory {
    versions: VecDeque<ConfigurationVersion>,
    /// The revision of the last value that could not be used.
    rejected: u64,
}

impl ConfigurationHistory {
    /// The newest version, once one is known.
    #[must_use]
    pub fn newest(&self) -> Option<&ConfigurationVersion> {
        self.versions.back()
    }

    /// How much is known.
    #[must_use]
    pub fn known_revision(&self) -> ConfigurationRevision {
        ConfigurationRevision {
            revision: self.revision(),
            read_until: self.revision().max(self.rejected),
        }
    }

    fn revision(&self) -> u64 {
        self.newest().map_or(0, |newest| newest.revision)
    }

    /// Takes the value that lies in the store; whether it is a newer
    /// version.
    pub fn apply_value(&mut self, item: &MirrorValue) -> bool {
        if item.revision <= self.known_revision().read_until {
            return false;
        }
        let started_at = MonotonicClock.now();
        let configuration = match FleetConfiguration::parse(&item.value) {
            Ok(configuration) => configuration,
            Err(error) => {
                log::warn!("[control] {error}; the former stays in force.");
                self.rejected = item.revision;
                return false;
            }
        };
        log::info!(
            bytes = item.value.len(),
            routes = configuration.routes.len(),
            read_ms = MonotonicClock.now().since(started_at).as_millis();
            "[control] Configuration {} was read from the store.",
            configuration.version
        );
        self.push(item.revision, configuration)
    }

    /// The newest version, for a VM that knows so much; nothing if it knows
    /// that one.
    #[must_use]
    pub fn update_for(
        &self,
        known: ConfigurationRevision,
    ) -> Option<ConfigurationUpdate> {
        let newest =
            self.newest().filter(|v| v.revision > known.read_until)?;
        let mut versions = self.versions.iter();
        let previous = versions.find(|v| v.revision == known.revision);
        let payload = match previous {
            Some(previous) => ConfigurationPayload::Patch {
                base: known.revision,
                patch: Box::new(ConfigurationPatch::between(
                    &previous.configuration,
                    &newest.configuration,
                )),
            },
            None => {
                ConfigurationPayload::Full(Arc::clone(&newest.configuration))
            }
        };
        Some(ConfigurationUpdate { revision: newest.revision, payload })
    }

    /// Takes another VM's news; whether they are a newer version.
    ///
    /// # Errors
    ///
    /// [`BaseMismatch`] if they were made for another version.
    pub fn apply_update(
        &mut self,
        update: ConfigurationUpdate,
    ) -> Result<bool, BaseMismatch> {
        if update.revision <= self.known_revision().read_until {
            return Ok(false);
        }
        let configuration = match update.payload {
            ConfigurationPayload::Full(full) => Arc::unwrap_or_clone(full),
            ConfigurationPayload::Patch { base, patch } => {
                let previous = self.newest().filter(|v| v.revision == base);
                let previous = previous.ok_or(BaseMismatch)?;
                log::info!(
                    written = patch.written.len(),
                    removed = patch.removed.len();
                    "[control] A change to configuration {} was taken.",
                    patch.version
                );
                patch.apply(&previous.configuration)
            }
        };
        Ok(self.push(update.revision, configuration))
    }

    /// Adds a version; one that is not above the newest is refused, as what
    /// was once in force never returns.
    fn push(
        &mut self,
        revision: u64,
        mut configuration: FleetConfiguration,
    ) -> bool {
        if let Some(newest) = self.versions.back() {
            if configuration.version <= newest.configuration.version {
                self.rejected = self.rejected.max(revision);
                return false;
            }
            share_routes(&newest.configuration, &mut configuration);
        }
        if self.versions.len() >= MAX_VERSIONS {
            self.versions.pop_front();
        }
        let configuration = Arc::new(configuration);
        self.versions
            .push_back(ConfigurationVersion { revision, configuration });
        true
    }
}

/// Has a newer version use the former one's routes where they are alike.
fn share_routes(
    previous: &FleetConfiguration,
    newer: &mut FleetConfiguration,
) {
    for (name, route) in &mut newer.routes {
        match previous.routes.get(name) {
            Some(known) if known == route => *route = Arc::clone(known),
            _ => {}
        }
    }
}
