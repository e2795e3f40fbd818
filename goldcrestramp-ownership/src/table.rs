//! The routing table of a failure domain: a hint, never a permission.

use std::sync::Arc;

use goldcrestramp_types::{
    DomainName, ServerName, ServiceName, SliceCount, TableVersion, VmName,
};

/// A server in a table, with the keeper that sends to it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TableServer {
    /// The server.
    pub server: ServerName,
    /// Its keeper's VM.
    pub keeper: VmName,
    /// Where peers reach the keeper.
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
    /// For each slice the position of its owner in `servers`.
    pub owners: Vec<Option<u16>>,
}

/// One failure domain's part of the routing table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DomainTable {
    /// The failure domain.
    pub domain: DomainName,
    /// The version; tables with lower ones are dropped.
    pub version: TableVersion,
    /// The services with slices in this domain.
    pub services: Vec<ServiceTable>,
}
