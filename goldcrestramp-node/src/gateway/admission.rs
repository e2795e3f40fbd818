//! Bounds the requests in flight at a gateway, shared among its callers.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use goldcrestramp_decisions::GatewayLimit;
use goldcrestramp_types::{CallerName, NotRunReason};

/// The requests that this gateway has in flight.
#[derive(Clone, Debug)]
pub(crate) struct GatewayAdmission {
    limit: Arc<Mutex<GatewayLimit>>,
}

impl GatewayAdmission {
    /// Admits at most `limit` requests at a time.
    pub(crate) fn new(limit: usize) -> Self {
        let limit = GatewayLimit::new(limit);
        Self { limit: Arc::new(Mutex::new(limit)) }
    }

    /// Admits a request until the guard is dropped.
    pub(crate) fn enter(
        &self,
        caller: &CallerName,
    ) -> Result<AdmissionGuard, NotRunReason> {
        self.lock().enter(caller)?;
        Ok(AdmissionGuard { admission: self.clone(), caller: caller.clone() })
    }

    fn lock(&self) -> MutexGuard<'_, GatewayLimit> {
        self.limit.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An admitted request; held until its response has been forwarded.
#[derive(Debug)]
pub(crate) struct AdmissionGuard {
    admission: GatewayAdmission,
    caller: CallerName,
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        self.admission.lock().leave(&self.caller);
    }
}
