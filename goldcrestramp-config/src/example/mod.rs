//! A whole deployment in one file: what the demo and tests start from.
//!
//! The file holds ticket 1 with everything that operators declare, and
//! beside it what is not configuration: the entry VMs, the links between
//! the places, and the mix of traffic.

mod reader;

use std::sync::Arc;

use goldcrestramp_types::{
    DomainName, RegionName, RequestClass, ServiceName, VmName,
};
use serde::Serialize;

pub use self::reader::{parse_example, read_example};
use crate::ticket::ChangeTicket;

/// A deployment in its shape and size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ExampleDeployment {
    /// The deployment's name.
    pub deployment: Arc<str>,
    /// The region in which the platform's store stands.
    pub store_region: RegionName,
    /// Figures of the links between the places.
    pub links: LinkFigures,
    /// The entry VMs.
    pub vms: Vec<EntryVm>,
    /// Ticket 1: failure domains, services, servers and callers.
    pub ticket: ChangeTicket,
    /// The requests of callers, one mix for each service.
    pub traffic: Vec<TrafficMix>,
}

/// Links between the places of a deployment; times are one-way.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LinkFigures {
    /// Between two failure domains of a region, in microseconds.
    pub between_domains_us: u64,
    /// Between two regions, in microseconds.
    pub between_regions_us: u64,
    /// Between an entry VM and a caller, in microseconds.
    pub to_clients_us: u64,
    /// A new connection to a server, in microseconds.
    pub connection_us: u64,
    /// The link between two regions, each way, in Mbit/s.
    pub between_regions_mbit_s: u64,
}

/// An entry VM and its failure domain.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EntryVm {
    /// Its name.
    pub name: VmName,
    /// Its failure domain.
    pub domain: DomainName,
}

/// Requests of one class to one service.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TrafficMix {
    /// The service.
    pub service: ServiceName,
    /// The class of its requests.
    pub class: RequestClass,
    /// Arrivals in a second, over all callers.
    pub requests_per_s: u64,
    /// How many callers send them.
    pub callers: u64,
    /// How many keys they name.
    pub keys: u64,
    /// The exponent of the keys' Zipf distribution; 0 is uniform.
    pub zipf_exponent: f64,
    /// How many keys are hot, changing places over time.
    pub hot_keys: u64,
    /// How long a server works on one request, in milliseconds.
    pub work_ms: u64,
    /// A request's body, in bytes.
    pub request_bytes: u64,
    /// An answer's body, in bytes.
    pub answer_bytes: u64,
    /// A request's deadline, in milliseconds from its arrival.
    pub deadline_ms: u64,
}
