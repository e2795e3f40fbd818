//! The routing table of a failure domain.
//!
//! A table is only a hint for routing. It never permits a request: only a
//! keeper's pass does.

use std::sync::Arc;

use goldcrestramp_types::{
    DomainName, ServerName, ServiceName, SliceCount, TableVersion, VmName,
};

/// A server in a table, with its keeper.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TableServer {
    /// The server.
    pub server: ServerName,
    /// The VM that is its keeper.
    pub keeper: VmName,
    /// The address at which peers reach the keeper.
    pub address: Arc<str>,
}

/// The owners of one service's slices in this domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceTable {
    /// The service.
    pub service: ServiceName,
    /// Its number of slices.
    pub count: SliceCount,
    /// The servers that own slices of it here.
    pub servers: Vec<TableServer>,
    /// For each slice the index of its owner in `servers`; `None` without an
    /// owner.
    pub owners: Vec<Option<u16>>,
}

/// One failure domain's part of the routing table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DomainTable {
    /// The failure domain.
    pub domain: DomainName,
    /// The version. A receiver drops a table with a lower version than its
    /// own.
    pub version: TableVersion,
    /// The services with slices in this domain.
    pub services: Vec<ServiceTable>,
}
