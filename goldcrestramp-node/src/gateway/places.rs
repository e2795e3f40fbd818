//! The places of a gateway, shared by caller.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use goldcrestramp_decisions::GatewayLimit;
use goldcrestramp_types::{CallerName, NotRunReason};

/// What this gateway has under way.
#[derive(Clone, Debug)]
pub(crate) struct GatewayPlaces {
    limit: Arc<Mutex<GatewayLimit>>,
}

impl GatewayPlaces {
    /// A gateway that may have `limit` requests under way.
    pub(crate) fn new(limit: usize) -> Self {
        let limit = GatewayLimit::new(limit);
        Self { limit: Arc::new(Mutex::new(limit)) }
    }

    /// Takes a place until the guard is dropped.
    pub(crate) fn enter(
        &self,
        caller: &CallerName,
    ) -> Result<PlaceGuard, NotRunReason> {
        self.lock().enter(caller)?;
        Ok(PlaceGuard { places: self.clone(), caller: caller.clone() })
    }

    fn lock(&self) -> MutexGuard<'_, GatewayLimit> {
        self.limit.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A caller's place; held until its answer has been passed on.
#[derive(Debug)]
pub(crate) struct PlaceGuard {
    places: GatewayPlaces,
    caller: CallerName,
}

impl Drop for PlaceGuard {
    fn drop(&mut self) {
        self.places.lock().leave(&self.caller);
    }
}
