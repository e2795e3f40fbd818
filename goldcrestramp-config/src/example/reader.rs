//! Reads a deployment's file and checks its references.

use std::{ops::RangeInclusive, path::Path};

use goldcrestramp_types::FastSet;

use super::{EntryVm, ExampleDeployment, LinkFigures, TrafficMix};
use crate::{
    deployment::DeploymentState,
    document::{
        DocumentNode, FaultList, FieldReader, PositionIndex, open_document,
    },
    ticket::{AcceptOutcome, accept_ticket, ticket_from_node},
};

/// One-way latency, up to ten seconds.
const LINK_US: RangeInclusive<u64> = 0..=10_000_000;
const LINK_MBIT_S: RangeInclusive<u64> = 1..=1_000_000;
/// Rates on loopback; the limit is far above what one machine can handle.
const REQUESTS_PER_S: RangeInclusive<u64> = 1..=10_000_000;
const COUNT: RangeInclusive<u64> = 1..=1_000_000_000;
const HOT_KEYS: RangeInclusive<u64> = 0..=1_000_000;
const ZIPF_EXPONENT: RangeInclusive<f64> = 0.0..=5.0;
const TIME_MS: RangeInclusive<u64> = 1..=3_600_000;
const BODY_BYTES: RangeInclusive<u64> = 0..=1_073_741_824;

/// Reads the deployment in `file`.
///
/// # Errors
///
/// Returns all faults of the file, each with its position.
pub fn read_example(file: &Path) -> Result<ExampleDeployment, FaultList> {
    let name = file.display().to_string();
    match std::fs::read_to_string(file) {
        Ok(text) => parse_example(&name, &text),
        Err(error) => Err(FaultList::unreadable(&name, &error)),
    }
}

/// Reads a deployment from `text`; `file` is named in the faults.
///
/// # Errors
///
/// Returns all faults of the text, each with its position, among them
/// invalid references of the ticket.
pub fn parse_example(
    file: &str,
    text: &str,
) -> Result<ExampleDeployment, FaultList> {
    let mut faults = FaultList::new(file);
    let example = open_document(text, &mut faults).and_then(|node| {
        let example = example(&node, &mut faults)?;
        check_example(&example, &PositionIndex::new(&node), &mut faults);
        Some(example)
    });
    faults.into_result(example)
}

fn example(
    node: &DocumentNode,
    faults: &mut FaultList,
) -> Option<ExampleDeployment> {
    let mut fields = FieldReader::open(node, faults)?;
    let deployment = fields.required("deployment", faults);
    let store_region = fields.required("store_region", faults);
    let links = fields.required_node("links", faults);
    let links = links.and_then(|node| link_figures(node, faults));
    let vms = fields.list("vms", faults, entry_vm);
    let ticket = fields.required_node("ticket", faults);
    let ticket = ticket.and_then(|node| ticket_from_node(node, faults));
    let traffic = fields.list("traffic", faults, traffic_mix);
    fields.close(faults);
    Some(ExampleDeployment {
        deployment: deployment?,
        store_region: store_region?,
        links: links?,
        vms,
        ticket: ticket?,
        traffic,
    })
}

fn link_figures(
    node: &DocumentNode,
    faults: &mut FaultList,
) -> Option<LinkFigures> {
    let mut fields = FieldReader::open(node, faults)?;
    let mut micros = |name| fields.ranged(name, &LINK_US, None, faults);
    let between_domains_us = micros("between_domains_us");
    let between_regions_us = micros("between_regions_us");
    let to_clients_us = micros("to_clients_us");
    let connection_us = micros("connection_us");
    let rate = "between_regions_mbit_s";
    let rate = fields.ranged(rate, &LINK_MBIT_S, None, faults);
    fields.close(faults);
    Some(LinkFigures {
        between_domains_us: between_domains_us?,
        between_regions_us: between_regions_us?,
        to_clients_us: to_clients_us?,
        connection_us: connection_us?,
        between_regions_mbit_s: rate?,
    })
}

fn entry_vm(node: &DocumentNode, faults: &mut FaultList) -> Option<EntryVm> {
    let mut fields = FieldReader::open(node, faults)?;
    let name = fields.required("name", faults);
    let domain = fields.required("domain", faults);
    fields.close(faults);
    Some(EntryVm { name: name?, domain: domain? })
}

fn traffic_mix(
    node: &DocumentNode,
    faults: &mut FaultList,
) -> Option<TrafficMix> {
    let mut fields = FieldReader::open(node, faults)?;
    let service = fields.required("service", faults);
    let class = fields.required("class", faults);
    let exponent = &ZIPF_EXPONENT;
    let exponent = fields.ranged("zipf_exponent", exponent, None, faults);
    let mut number = |name, range: &RangeInclusive<u64>| {
        fields.ranged(name, range, None, faults)
    };
    let requests_per_s = number("requests_per_s", &REQUESTS_PER_S);
    let callers = number("callers", &COUNT);
    let keys = number("keys", &COUNT);
    let hot_keys = number("hot_keys", &HOT_KEYS);
    let work_ms = number("work_ms", &TIME_MS);
    let request_bytes = number("request_bytes", &BODY_BYTES);
    let answer_bytes = number("answer_bytes", &BODY_BYTES);
    let deadline_ms = number("deadline_ms", &TIME_MS);
    fields.close(faults);
    Some(TrafficMix {
        service: service?,
        class: class?,
        requests_per_s: requests_per_s?,
        callers: callers?,
        keys: keys?,
        zipf_exponent: exponent?,
        hot_keys: hot_keys?,
        work_ms: work_ms?,
        request_bytes: request_bytes?,
        answer_bytes: answer_bytes?,
        deadline_ms: deadline_ms?,
    })
}

fn check_example(
    example: &ExampleDeployment,
    positions: &PositionIndex,
    faults: &mut FaultList,
) {
    let empty = DeploymentState::default();
    let state = match accept_ticket(&empty, &example.ticket) {
        AcceptOutcome::Accepted(state) => *state,
        AcceptOutcome::AcceptedAlready { .. } => empty,
        AcceptOutcome::Refused(refusals) => {
            for refusal in refusals {
                let path = format!("ticket.{}", refusal.path);
                let reason = refusal.reason.to_string();
                faults.add(positions.find(&path), &path, reason);
            }
            return;
        }
    };
    let mut report = |path: String, message: &str| {
        faults.add(positions.find(&path), &path, message);
    };
    if state.domains.iter().all(|d| d.region != example.store_region) {
        report("store_region".to_owned(), "no failure domain stands there");
    }
    let mut names = FastSet::default();
    for (index, vm) in example.vms.iter().enumerate() {
        if state.domain(&vm.domain).is_none() {
            report(format!("vms[{index}].domain"), "no such failure domain");
        }
        if !names.insert(&vm.name) {
            report(format!("vms[{index}].name"), "another VM has this name");
        }
    }
    for (index, mix) in example.traffic.iter().enumerate() {
        if state.service(&mix.service).is_none() {
            report(format!("traffic[{index}].service"), "no such service");
        }
    }
}
