//! A gateway's request, as its keeper reads it.

use std::sync::Arc;

use bytes::Bytes;
use goldcrestramp_decisions::AttemptId;
use goldcrestramp_types::{
    CallerName, LocalTime, NotRunReason, RequestClass, RequestEffect,
    RequestName, ServerName, ServiceName, SliceIndex, TimeSpan, slice_of,
};
use goldcrestramp_wire::peer::RouteRequest;

use crate::{
    keeper::{link::LinkCrossing, view::KeptServer},
    routing::RoutingTable,
};

/// A request that is about to be sent to its server.
#[derive(Clone, Debug)]
pub(crate) struct ServerRequest {
    pub(crate) service: ServiceName,
    pub(crate) key: Bytes,
    pub(crate) slice: SliceIndex,
    /// The server that the gateway means.
    pub(crate) server: Option<ServerName>,
    /// `caller/request`.
    pub(crate) id: Arc<str>,
    /// The same, as its keeper remembers it.
    pub(crate) attempt: Option<AttemptId>,
    pub(crate) caller: CallerName,
    /// Whether the caller may have sent it before.
    pub(crate) resend: bool,
    pub(crate) class: RequestClass,
    pub(crate) deadline: LocalTime,
    pub(crate) body: Bytes,
    /// Set when its answer crosses to another region.
    pub(crate) crossing: Option<Arc<LinkCrossing>>,
}

impl ServerRequest {
    /// Whether it may be sent to this server.
    ///
    /// An order goes to the server that its gateway named and to no other:
    /// asked later what became of it, the gateway asks that one.
    pub(crate) fn is_for(&self, kept: &KeptServer) -> bool {
        let once = self.class.effect() == RequestEffect::NonIdempotent;
        !once || self.server.as_ref() == Some(&kept.order.server)
    }
    /// Reads what a gateway sent at `now`.
    ///
    /// # Errors
    ///
    /// Why it cannot be a request of this keeper's.
    pub(crate) fn read(
        now: LocalTime,
        request: RouteRequest,
        table: &RoutingTable,
    ) -> Result<Self, NotRunReason> {
        let bad = NotRunReason::BadRequest;
        let service =
            ServiceName::new(&request.service).map_err(|_fault| bad)?;
        let caller = CallerName::new(&request.caller).map_err(|_fault| bad)?;
        let name = RequestName::new(&request.request).map_err(|_fault| bad)?;
        let class = RequestClass::from_code(&request.class).ok_or(bad)?;
        // A keeper that has just started has no table yet.
        let routes = table.service(&service).ok_or(NotRunReason::NoOwner)?;
        Ok(Self {
            slice: slice_of(&request.key, routes.count),
            service,
            server: ServerName::new(&request.server).ok(),
            key: request.key,
            id: Arc::from(format!("{caller}/{name}")),
            attempt: Some(AttemptId { caller: caller.clone(), request: name }),
            caller,
            resend: request.resend,
            class,
            deadline: now + TimeSpan::from_micros(request.left_micros),
            body: request.body,
            crossing: None,
        })
    }
}
