//! Decodes the requests that gateways send to this keeper.

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
    /// The server that the gateway named.
    pub(crate) server: Option<ServerName>,
    /// `caller/request`.
    pub(crate) id: Arc<str>,
    /// The same id, as its keeper records it.
    pub(crate) attempt: Option<AttemptId>,
    pub(crate) caller: CallerName,
    /// Whether the caller may have sent it before.
    pub(crate) resend: bool,
    pub(crate) class: RequestClass,
    pub(crate) deadline: LocalTime,
    pub(crate) body: Bytes,
    /// Set when its response crosses to another region.
    pub(crate) crossing: Option<Arc<LinkCrossing>>,
}

impl ServerRequest {
    /// Whether it may be sent to this server.
    ///
    /// An order is sent only to the server that its gateway named, as the
    /// gateway would later query that server for its outcome.
    pub(crate) fn is_for(&self, kept: &KeptServer) -> bool {
        let is_order = self.class.effect() == RequestEffect::NonIdempotent;
        !is_order || self.server.as_ref() == Some(&kept.order.server)
    }

    /// Decodes a gateway's request that arrived at `now`.
    ///
    /// # Errors
    ///
    /// The request is invalid, or this VM has no table with its service.
    pub(crate) fn read(
        now: LocalTime,
        request: RouteRequest,
        table: &RoutingTable,
    ) -> Result<Self, NotRunReason> {
        let invalid = NotRunReason::BadRequest;
        let service =
            ServiceName::new(&request.service).map_err(|_fault| invalid)?;
        let caller =
            CallerName::new(&request.caller).map_err(|_fault| invalid)?;
        let name =
            RequestName::new(&request.request).map_err(|_fault| invalid)?;
        let class = RequestClass::from_code(&request.class).ok_or(invalid)?;
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
