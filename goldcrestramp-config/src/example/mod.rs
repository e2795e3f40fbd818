//! A complete deployment in one file, which the demo and tests start from.
//!
//! The file contains ticket 1 with everything that operators declare. It also
//! describes what is not configuration: the entry VMs, the network links and
//! the traffic mix.

mod reader;

use std::sync::Arc;

use goldcrestramp_types::{
    DomainName, RegionName, RequestClass, ServiceName, VmName,
};
use serde::Serialize;

pub use self::reader::{parse_example, read_example};
use crate::ticket::ChangeTicket;

/// A deployment with its servers, links and traffic.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ExampleDeployment {
    /// The deployment's name.
    pub deployment: Arc<str>,
    /// The region of the platform's store.
    pub store_region: RegionName,
    /// Latencies and bandwidth of the network links.
    pub links: LinkFigures,
    /// The entry VMs.
    pub vms: Vec<EntryVm>,
    /// Ticket 1: failure domains, services, servers and callers.
    pub ticket: ChangeTicket,
    /// The requests of callers, as mixes of one service and class each.
    pub traffic: Vec<TrafficMix>,
}

/// Network links of a deployment; latencies are one-way.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LinkFigures {
    /// Latency between two failure domains of a region, in microseconds.
    pub between_domains_us: u64,
    /// Latency between two regions, in microseconds.
    pub between_regions_us: u64,
    /// Latency between an entry VM and a caller, in microseconds.
    pub to_clients_us: u64,
    /// Time to open a connection to a server, in microseconds.
    pub connection_us: u64,
    /// Bandwidth between two regions in each direction, in Mbit/s.
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
    /// Arrival rate over all callers, in requests per second.
    pub requests_per_s: u64,
    /// The number of callers that send them.
    pub callers: u64,
    /// The number of distinct keys.
    pub keys: u64,
    /// The exponent of the keys' Zipf distribution; 0 is uniform.
    pub zipf_exponent: f64,
    /// The number of hot keys; which keys are hot changes over time.
    pub hot_keys: u64,
    /// A server's processing time for one request, in milliseconds.
    pub work_ms: u64,
    /// The size of a request's body, in bytes.
    pub request_bytes: u64,
    /// The size of a response's body, in bytes.
    pub answer_bytes: u64,
    /// A request's deadline, in milliseconds from its arrival.
    pub deadline_ms: u64,
}
