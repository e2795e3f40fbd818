//! Conversions between messages of the ownership crate and of the peer
//! protocol.
//!
//! Messages from peers are validated here. A message with an invalid name,
//! slice or range is rejected as a whole, with [`BadMessage`]; only reported
//! loads of slices that don't exist are skipped.

mod tables;

use std::sync::Arc;

use goldcrestramp_ownership::{
    ConfirmAnswer, ConfirmAsk, KeeperReport, PermitAnswer, ServerOrder,
    ServerReport, ServerState, SliceLoad,
};
use goldcrestramp_types::{
    DomainName, FenceToken, NameError, ServerName, ServiceName, SliceIndex,
    SliceRange, SliceSet, TableVersion, TermId, TimeSpan, VmName,
};
use goldcrestramp_wire::peer;

use crate::control::VmVersions;

pub(crate) use self::tables::{change_in, change_out, table_in, table_out};

/// A peer's message is invalid: a name, a slice or a range is malformed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct BadMessage;

impl From<NameError> for BadMessage {
    fn from(_error: NameError) -> Self {
        Self
    }
}

/// The refusal text of a voter that abstains, such as after its start.
const SILENT: &str = "silent";
/// The refusal text of a voter that follows another term.
const REFUSED: &str = "refused";

pub(crate) fn term_out(term: TermId) -> peer::Term {
    peer::Term { number: term.number, vm: term.vm, start: term.start }
}

pub(crate) fn term_in(term: Option<peer::Term>) -> TermId {
    let term = term.unwrap_or_default();
    TermId { number: term.number, vm: term.vm, start: term.start }
}

pub(crate) fn token_out(token: FenceToken) -> peer::Token {
    peer::Token { term: Some(term_out(token.term)), sequence: token.sequence }
}

pub(crate) fn token_in(token: Option<peer::Token>) -> FenceToken {
    let token = token.unwrap_or_default();
    FenceToken { term: term_in(token.term), sequence: token.sequence }
}

pub(crate) fn version_out(version: TableVersion) -> peer::Token {
    peer::Token {
        term: Some(term_out(version.term)),
        sequence: version.sequence,
    }
}

pub(crate) fn version_in(token: Option<peer::Token>) -> TableVersion {
    let token = token.unwrap_or_default();
    TableVersion { term: term_in(token.term), sequence: token.sequence }
}

fn slices_out(set: &SliceSet) -> Vec<peer::SliceRun> {
    let runs = set.ranges().into_iter().map(|range| peer::SliceRun {
        first: u32::from(range.first.get()),
        last: u32::from(range.last.get()),
    });
    runs.collect()
}

/// Reads slice ranges, which must be ascending and disjoint. This bounds the
/// cost of a peer's message to one pass over the existing slices.
fn slices_in(runs: &[peer::SliceRun]) -> Result<SliceSet, BadMessage> {
    let mut ranges = Vec::new();
    let mut next = 0;
    for run in runs {
        if run.first < next || run.last < run.first {
            return Err(BadMessage);
        }
        let first = SliceIndex::new(run.first).ok_or(BadMessage)?;
        let last = SliceIndex::new(run.last).ok_or(BadMessage)?;
        next = run.last + 1;
        ranges.push(SliceRange { first, last });
    }
    Ok(SliceSet::from(ranges))
}

pub(crate) fn ask_out(ask: &ConfirmAsk) -> peer::ConfirmRequest {
    peer::ConfirmRequest {
        domain: ask.domain.to_string(),
        vm: ask.vm.to_string(),
        address: ask.address.to_string(),
        term: Some(term_out(ask.term)),
        roster_version: ask.roster,
        established: ask.established,
        plan_version: ask.plan,
        plan_floor: ask.floor,
        counted_version: ask.counted,
    }
}

pub(crate) fn ask_in(
    ask: peer::ConfirmRequest,
) -> Result<ConfirmAsk, BadMessage> {
    Ok(ConfirmAsk {
        domain: DomainName::new(&ask.domain)?,
        vm: VmName::new(&ask.vm)?,
        address: Arc::from(ask.address),
        term: term_in(ask.term),
        roster: ask.roster_version,
        established: ask.established,
        plan: ask.plan_version,
        floor: ask.plan_floor,
        counted: ask.counted_version,
    })
}

pub(crate) fn confirm_out(answer: ConfirmAnswer) -> peer::ConfirmReply {
    match answer {
        ConfirmAnswer::Confirmed => peer::ConfirmReply {
            confirmed: true,
            ..peer::ConfirmReply::default()
        },
        ConfirmAnswer::Refused { highest } => peer::ConfirmReply {
            confirmed: false,
            highest: Some(term_out(highest)),
            refusal: REFUSED.to_owned(),
        },
        ConfirmAnswer::Silent => peer::ConfirmReply {
            confirmed: false,
            highest: None,
            refusal: SILENT.to_owned(),
        },
    }
}

pub(crate) fn confirm_in(reply: &peer::ConfirmReply) -> ConfirmAnswer {
    if reply.confirmed {
        return ConfirmAnswer::Confirmed;
    }
    if reply.refusal == SILENT {
        return ConfirmAnswer::Silent;
    }
    ConfirmAnswer::Refused { highest: term_in(reply.highest) }
}

pub(crate) fn report_out(
    report: &KeeperReport,
    domain: &DomainName,
    versions: VmVersions,
) -> peer::PermitRequest {
    peer::PermitRequest {
        vm: report.vm.to_string(),
        address: report.address.to_string(),
        start: report.start,
        domain: domain.to_string(),
        leaving: report.leaving,
        servers: report.servers.iter().map(server_report_out).collect(),
        config_version: versions.config,
        table: versions.table.map(version_out),
        sequence: report.sequence,
        term: Some(term_out(report.term)),
        gone: Vec::new(),
    }
}

pub(crate) fn report_in(
    request: &peer::PermitRequest,
) -> Result<KeeperReport, BadMessage> {
    let servers: Result<Vec<_>, _> =
        request.servers.iter().map(server_report_in).collect();
    Ok(KeeperReport {
        vm: VmName::new(&request.vm)?,
        address: Arc::from(request.address.as_str()),
        start: request.start,
        sequence: request.sequence,
        term: term_in(request.term),
        leaving: request.leaving,
        servers: servers?,
    })
}

pub(crate) fn versions_in(request: &peer::PermitRequest) -> VmVersions {
    let table = request.table;
    VmVersions {
        config: request.config_version,
        table: table.map(|table| version_in(Some(table))),
    }
}

fn server_report_out(report: &ServerReport) -> peer::ServerReport {
    let loads = report.loads.iter().map(|load| peer::SliceLoad {
        slice: u32::from(load.slice.get()),
        busy_micros: load.busy.as_micros(),
    });
    let state = report.state.as_deref();
    let known = state.cloned().unwrap_or_default();
    peer::ServerReport {
        server: report.server.to_string(),
        run: known.run,
        token: state.map(|state| token_out(state.token)),
        fence: state.map(|state| token_out(state.fence)),
        held: slices_out(&known.held),
        busy_micros: report.busy.as_micros(),
        loads: loads.collect(),
        keeps: report.keeps,
        reachable: report.reachable,
        last: slices_out(&known.last),
        lapsed: known.lapsed,
        order: Some(token_out(report.order)),
        version: report.version,
        whole: state.is_some(),
    }
}

fn server_state_in(
    report: &peer::ServerReport,
) -> Result<ServerState, BadMessage> {
    Ok(ServerState {
        run: report.run,
        token: token_in(report.token),
        fence: token_in(report.fence),
        held: slices_in(&report.held)?,
        last: slices_in(&report.last)?,
        lapsed: report.lapsed,
    })
}

fn server_report_in(
    report: &peer::ServerReport,
) -> Result<ServerReport, BadMessage> {
    let loads = report.loads.iter().filter_map(|load| {
        let slice = SliceIndex::new(load.slice)?;
        let busy = TimeSpan::from_micros(load.busy_micros);
        Some(SliceLoad { slice, busy })
    });
    let state = report.whole.then(|| server_state_in(report));
    Ok(ServerReport {
        server: ServerName::new(&report.server)?,
        order: token_in(report.order),
        keeps: report.keeps,
        reachable: report.reachable,
        version: report.version,
        state: state.transpose()?.map(Box::new),
        busy: TimeSpan::from_micros(report.busy_micros),
        loads: loads.collect(),
    })
}

pub(crate) fn permit_out(answer: &PermitAnswer) -> peer::PermitReply {
    match answer {
        PermitAnswer::Permitted { term, sequence, valid, delay, orders } => {
            peer::PermitReply {
                permitted: true,
                term: Some(term_out(*term)),
                valid_micros: valid.as_micros(),
                orders: orders.iter().map(order_out).collect(),
                sequence: *sequence,
                again_micros: delay.as_micros(),
                ..peer::PermitReply::default()
            }
        }
        PermitAnswer::NotSteward { steward } => {
            let (vm, address) = match steward {
                Some((vm, address)) => (vm.to_string(), address.to_string()),
                None => (String::new(), String::new()),
            };
            peer::PermitReply {
                permitted: false,
                steward: vm,
                steward_address: address,
                ..peer::PermitReply::default()
            }
        }
    }
}

pub(crate) fn permit_in(
    reply: peer::PermitReply,
) -> Result<PermitAnswer, BadMessage> {
    if reply.permitted {
        let orders: Result<Vec<_>, _> =
            reply.orders.iter().map(order_in).collect();
        return Ok(PermitAnswer::Permitted {
            term: term_in(reply.term),
            sequence: reply.sequence,
            valid: TimeSpan::from_micros(reply.valid_micros),
            delay: TimeSpan::from_micros(reply.again_micros),
            orders: orders?,
        });
    }
    let steward = VmName::new(&reply.steward).ok();
    let address = Arc::from(reply.steward_address);
    Ok(PermitAnswer::NotSteward { steward: steward.map(|vm| (vm, address)) })
}

fn order_out(order: &ServerOrder) -> peer::ServerOrder {
    peer::ServerOrder {
        server: order.server.to_string(),
        token: Some(token_out(order.token)),
        slices: slices_out(&order.slices),
        release: slices_out(&order.release),
        extend_only: order.extend_only,
        service: order.service.to_string(),
        address: order.address.to_string(),
        checks_fence: order.checks_fence,
        slots: order.slots,
        connections: order.connections,
        ask_only: order.ask_only,
        retire: order.retire,
        seen: order.seen,
    }
}

fn order_in(order: &peer::ServerOrder) -> Result<ServerOrder, BadMessage> {
    Ok(ServerOrder {
        server: ServerName::new(&order.server)?,
        service: ServiceName::new(&order.service)?,
        address: Arc::from(order.address.as_str()),
        checks_fence: order.checks_fence,
        slots: order.slots,
        connections: order.connections,
        token: token_in(order.token),
        extend_only: order.extend_only,
        slices: slices_in(&order.slices)?,
        release: slices_in(&order.release)?,
        ask_only: order.ask_only,
        retire: order.retire,
        seen: order.seen,
    })
}
