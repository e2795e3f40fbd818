//! Reads tickets and finds the positions of their values.

use std::path::Path;

use goldcrestramp_types::SliceCount;

use super::{ChangeTicket, RemovalList, refusal::TicketRefusal};
use crate::{
    deployment::{CallerRules, DomainRules, ServerRules, ServiceRules},
    document::{
        DocumentNode, FaultList, FieldReader, PositionIndex, SourcePosition,
        open_document, parse_value,
    },
};

/// Every JSON parser represents numbers up to 2^53 - 1 exactly.
const TICKET_NUMBER: std::ops::RangeInclusive<u64> = 1..=9_007_199_254_740_991;
/// Far above any server's slots or connections; catches typing errors.
const SERVER_COUNT: std::ops::RangeInclusive<u32> = 1..=65_536;
const CALLER_WEIGHT: std::ops::RangeInclusive<u32> = 1..=1_000;

/// A ticket with the position of each of its values.
#[derive(Clone, Debug)]
pub struct TicketDocument {
    /// The ticket.
    pub ticket: ChangeTicket,
    file: String,
    text: String,
    positions: PositionIndex,
}

impl TicketDocument {
    /// Returns the text that the ticket was read from.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the position of a value as `file:line:column`.
    #[must_use]
    pub fn place(&self, path: &str) -> String {
        let SourcePosition { line, column } = self.positions.find(path);
        format!("{}:{line}:{column}", self.file)
    }

    /// Converts refusals to faults at positions in the ticket's text.
    #[must_use]
    pub fn locate(&self, refusals: &[TicketRefusal]) -> FaultList {
        let mut faults = FaultList::new(&self.file);
        for refusal in refusals {
            let position = self.positions.find(&refusal.path);
            let message = refusal.reason.to_string();
            faults.add(position, &refusal.path, message);
        }
        faults
    }
}

/// Reads the ticket in `file`.
///
/// # Errors
///
/// Returns all faults of the file, each with its position.
pub fn read_ticket(file: &Path) -> Result<TicketDocument, FaultList> {
    let name = file.display().to_string();
    match std::fs::read_to_string(file) {
        Ok(text) => parse_ticket(&name, &text),
        Err(error) => Err(FaultList::unreadable(&name, &error)),
    }
}

/// Reads a ticket from `text`; `file` is named in the faults.
///
/// # Errors
///
/// Returns all faults of the text, each with its position. References to
/// other entities are checked by [`accept_ticket`](super::accept_ticket).
pub fn parse_ticket(
    file: &str,
    text: &str,
) -> Result<TicketDocument, FaultList> {
    let mut faults = FaultList::new(file);
    let document = open_document(text, &mut faults).and_then(|node| {
        let ticket = ticket_from_node(&node, &mut faults)?;
        let positions = PositionIndex::new(&node);
        let (file, text) = (file.to_owned(), text.to_owned());
        Some(TicketDocument { ticket, file, text, positions })
    });
    faults.into_result(document)
}

/// Reads a ticket from `node`, which may be part of a larger document.
pub(crate) fn ticket_from_node(
    node: &DocumentNode,
    faults: &mut FaultList,
) -> Option<ChangeTicket> {
    let mut fields = FieldReader::open(node, faults)?;
    let ticket = fields.ranged("ticket", &TICKET_NUMBER, None, faults);
    let domains = fields.list("domains", faults, domain_rules);
    let services = fields.list("services", faults, service_rules);
    let servers = fields.list("servers", faults, server_rules);
    let callers = fields.list("callers", faults, caller_rules);
    let remove = match fields.node("remove") {
        None => Some(RemovalList::default()),
        Some(node) => removal_list(node, faults),
    };
    fields.close(faults);
    Some(ChangeTicket {
        ticket: ticket?,
        domains,
        services,
        servers,
        callers,
        remove: remove?,
    })
}

fn domain_rules(
    node: &DocumentNode,
    faults: &mut FaultList,
) -> Option<DomainRules> {
    let mut fields = FieldReader::open(node, faults)?;
    let name = fields.required("name", faults);
    let region = fields.required("region", faults);
    let lost = fields.or_default("lost", false, faults);
    fields.close(faults);
    Some(DomainRules { name: name?, region: region?, lost: lost? })
}

fn service_rules(
    node: &DocumentNode,
    faults: &mut FaultList,
) -> Option<ServiceRules> {
    let mut fields = FieldReader::open(node, faults)?;
    let name = fields.required("name", faults);
    let slices = fields.or_default("slices", SliceCount::DEFAULT, faults);
    let domains = fields.list("domains", faults, parse_value);
    let regions = fields.list("regions", faults, parse_value);
    fields.close(faults);
    Some(ServiceRules { name: name?, slices: slices?, domains, regions })
}

fn server_rules(
    node: &DocumentNode,
    faults: &mut FaultList,
) -> Option<ServerRules> {
    let mut fields = FieldReader::open(node, faults)?;
    let name = fields.required("name", faults);
    let service = fields.required("service", faults);
    let domain = fields.required("domain", faults);
    let address = fields.required("address", faults);
    let slots = fields.ranged("slots", &SERVER_COUNT, None, faults);
    let connections =
        fields.ranged("connections", &SERVER_COUNT, None, faults);
    let checks_fence = fields.required("checks_fence", faults);
    let drain = fields.or_default("drain", false, faults);
    fields.close(faults);
    Some(ServerRules {
        name: name?,
        service: service?,
        domain: domain?,
        address: address?,
        slots: slots?,
        connections: connections?,
        checks_fence: checks_fence?,
        drain: drain?,
    })
}

fn caller_rules(
    node: &DocumentNode,
    faults: &mut FaultList,
) -> Option<CallerRules> {
    let mut fields = FieldReader::open(node, faults)?;
    let name = fields.required("name", faults);
    let weight = fields.ranged("weight", &CALLER_WEIGHT, None, faults);
    fields.close(faults);
    Some(CallerRules { name: name?, weight: weight? })
}

fn removal_list(
    node: &DocumentNode,
    faults: &mut FaultList,
) -> Option<RemovalList> {
    let mut fields = FieldReader::open(node, faults)?;
    let domains = fields.list("domains", faults, parse_value);
    let services = fields.list("services", faults, parse_value);
    let servers = fields.list("servers", faults, parse_value);
    let callers = fields.list("callers", faults, parse_value);
    fields.close(faults);
    Some(RemovalList { domains, services, servers, callers })
}
