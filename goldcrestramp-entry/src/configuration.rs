//! The recent versions of the operators' configuration.
//!
//! A change affects a few of some thousand routes. A VM that passes it on
//! sends the changes since the version that the other VM has, so recent
//! versions are kept. Versions share routes that are equal.

use std::{collections::VecDeque, fmt, sync::Arc};

use goldcrestramp_adapter::{
    AllowedRegions, ColdLimit, FleetConfiguration, RequestRoute, ServiceShape,
    TrafficLimits,
};
use goldcrestramp_types::{ClockSource, FastMap, MonotonicClock};
use serde::{Deserialize, Serialize};

use crate::mirror::MirrorValue;

/// The number of versions kept. A VM that is further behind is sent the full
/// configuration.
const MAX_VERSIONS: usize = 16;

/// A version of the configuration.
#[derive(Clone, Debug)]
pub struct ConfigurationVersion {
    /// The store's revision of its write.
    pub revision: u64,
    /// The configuration itself.
    pub configuration: Arc<FleetConfiguration>,
}

/// The revisions of the configuration that a VM knows.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
pub struct ConfigurationRevision {
    /// The revision of the version that it has; 0 if it has none.
    revision: u64,
    /// The revision up to which it has read written values, including those
    /// that it could not use. Without it, those would be sent again forever.
    read_until: u64,
}

/// A newer version, for a VM that has another one or none.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigurationUpdate {
    /// The store's revision of its write.
    revision: u64,
    payload: ConfigurationPayload,
    /// Sent beside the update; earlier builds read an update without it.
    #[serde(skip)]
    extension: ConfigurationExtension,
}

impl ConfigurationUpdate {
    /// Takes the part that is sent beside the update.
    #[must_use]
    pub fn take_extension(&mut self) -> ConfigurationExtension {
        std::mem::take(&mut self.extension)
    }

    /// Adds the part that was received beside the update.
    pub fn set_extension(&mut self, extension: ConfigurationExtension) {
        self.extension = extension;
    }
}

/// What routes and services state in addition to their first encoding.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ConfigurationExtension {
    /// The regions of the routes in the update that have any.
    regions: Vec<(Arc<str>, AllowedRegions)>,
    /// The limits of all services that state one for cold servers.
    cold: Vec<(Arc<str>, ColdLimit)>,
}

impl ConfigurationExtension {
    fn new<'a>(
        routes: impl Iterator<Item = &'a Arc<RequestRoute>>,
        services: &FastMap<Arc<str>, ServiceShape>,
    ) -> Self {
        let restricted =
            routes.filter(|route| route.allowed_regions.is_restricted());
        let services = services.iter();
        Self {
            regions: restricted
                .map(|route| {
                    (Arc::clone(&route.name), route.allowed_regions.clone())
                })
                .collect(),
            cold: services
                .filter_map(|(name, shape)| {
                    Some((Arc::clone(name), shape.cold?))
                })
                .collect(),
        }
    }

    /// Adds the extension to a configuration that was received without it.
    fn apply(self, configuration: &mut FleetConfiguration) {
        for (name, regions) in self.regions {
            if let Some(route) = configuration.routes.get_mut(&name) {
                Arc::make_mut(route).allowed_regions = regions;
            }
        }
        for (name, limit) in self.cold {
            if let Some(shape) = configuration.services.get_mut(&name) {
                shape.cold = Some(limit);
            }
        }
    }
}

/// The contents of a newer version.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum ConfigurationPayload {
    /// The changes since the version of revision `base`.
    Patch { base: u64, patch: Box<ConfigurationPatch> },
    /// The full configuration.
    Full(Arc<FleetConfiguration>),
}

/// The changes from one version to another.
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

/// An update is a patch for another version than the known one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BaseMismatch;

impl fmt::Display for BaseMismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the patch applies to another version of the configuration")
    }
}

impl std::error::Error for BaseMismatch {}

/// The recent versions that a VM has seen, oldest first. Versions only
/// increase.
#[derive(Debug, Default)]
pub struct ConfigurationHistory {
    versions: VecDeque<ConfigurationVersion>,
    /// The revision of the last value that could not be used.
    rejected: u64,
}

impl ConfigurationHistory {
    /// The newest version, if any is known.
    #[must_use]
    pub fn newest(&self) -> Option<&ConfigurationVersion> {
        self.versions.back()
    }

    /// The revisions that are known.
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

    /// Applies the value from the store; returns whether it is a newer
    /// version.
    pub fn apply_value(&mut self, item: &MirrorValue) -> bool {
        if item.revision <= self.known_revision().read_until {
            return false;
        }
        let started_at = MonotonicClock.now();
        let configuration = match FleetConfiguration::parse(&item.value) {
            Ok(configuration) => configuration,
            Err(error) => {
                log::warn!(
                    "[control] {error}; the previous one stays in force."
                );
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

    /// The update for a VM with the `known` revisions; `None` if it knows the
    /// newest version.
    #[must_use]
    pub fn update_for(
        &self,
        known: ConfigurationRevision,
    ) -> Option<ConfigurationUpdate> {
        let newest =
            self.newest().filter(|v| v.revision > known.read_until)?;
        let mut versions = self.versions.iter();
        let previous = versions.find(|v| v.revision == known.revision);
        let configuration = &newest.configuration;
        let services = &configuration.services;
        let (payload, extension) = match previous {
            Some(previous) => {
                let patch = ConfigurationPatch::between(
                    &previous.configuration,
                    configuration,
                );
                let written = patch.written.iter();
                let extension = ConfigurationExtension::new(written, services);
                let (base, patch) = (known.revision, Box::new(patch));
                (ConfigurationPayload::Patch { base, patch }, extension)
            }
            None => (
                ConfigurationPayload::Full(Arc::clone(configuration)),
                ConfigurationExtension::new(
                    configuration.routes.values(),
                    services,
                ),
            ),
        };
        let revision = newest.revision;
        Some(ConfigurationUpdate { revision, payload, extension })
    }

    /// Applies another VM's update; returns whether it is a newer version.
    ///
    /// # Errors
    ///
    /// [`BaseMismatch`] if the update is a patch for another version.
    pub fn apply_update(
        &mut self,
        update: ConfigurationUpdate,
    ) -> Result<bool, BaseMismatch> {
        if update.revision <= self.known_revision().read_until {
            return Ok(false);
        }
        let mut configuration = match update.payload {
            ConfigurationPayload::Full(full) => Arc::unwrap_or_clone(full),
            ConfigurationPayload::Patch { base, patch } => {
                let previous = self.newest().filter(|v| v.revision == base);
                let previous = previous.ok_or(BaseMismatch)?;
                log::info!(
                    written = patch.written.len(),
                    removed = patch.removed.len();
                    "[control] A patch to configuration {} was applied.",
                    patch.version
                );
                patch.apply(&previous.configuration)
            }
        };
        update.extension.apply(&mut configuration);
        Ok(self.push(update.revision, configuration))
    }

    /// Adds a version. One that is not above the newest is rejected, so that
    /// no earlier configuration returns.
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

/// Shares the previous version's routes with a newer version where they are
/// equal.
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
