//! Formats reports as text for people.

use std::fmt::{self, Write};

use goldcrestramp_config::{CapacityPreview, ServicePreview, TicketPreview};
use goldcrestramp_node::{
    DomainReport, ExplainReport, LeavingReport, StatusReport, StewardReport,
    StewardView,
};
use goldcrestramp_types::TableVersion;

/// The text for an unknown value.
const UNKNOWN: &str = "-";

/// Formats what a ticket moves, and its warnings.
pub(super) fn preview(preview: &TicketPreview) -> String {
    format_with(|text| {
        for domain in &preview.domains {
            writeln!(text, "  {}", capacity(domain))?;
        }
        for service in &preview.services {
            service_preview(text, service)?;
        }
        for warning in &preview.warnings {
            writeln!(text, "  warning: {warning}")?;
        }
        Ok(())
    })
}

fn capacity(capacity: &CapacityPreview) -> String {
    let CapacityPreview { domain, slots_before, slots_after } = capacity;
    format!("{domain}: {slots_before} -> {slots_after} slots")
}

fn service_preview(
    text: &mut String,
    service: &ServicePreview,
) -> fmt::Result {
    let (before, after) = (service.slots_before, service.slots_after);
    let (moved, between) =
        (service.slices_moved, service.slices_between_domains);
    writeln!(
        text,
        "  {}: {before} -> {after} slots, about {moved} slices move, \
         {between} of them between domains",
        service.service
    )?;
    for domain in &service.domains {
        writeln!(text, "    {}", capacity(domain))?;
    }
    Ok(())
}

/// Formats what a VM knows.
pub(super) fn status(report: &StatusReport) -> String {
    format_with(|text| {
        writeln!(
            text,
            "{} in {} ({}), deployment {}, {} ms old{}",
            report.vm,
            report.domain,
            report.region,
            report.deployment,
            report.age_ms,
            if report.leaving { ", leaving" } else { "" }
        )?;
        let ticket =
            report.last_ticket.map_or(UNKNOWN.into(), |n| n.to_string());
        writeln!(
            text,
            "  configuration: version {}, highest ticket {ticket}",
            report.config_version
        )?;
        writeln!(text, "  steward: {}", steward(&report.steward))?;
        writeln!(text, "  requests under way: {}", report.requests)?;
        for domain in &report.domains {
            writeln!(text, "  domain {}", domain_line(domain))?;
        }
        for keep in &report.keeps {
            let (server, left) = (&keep.server, keep.permit_left_ms);
            writeln!(text, "  keeps {server}, {left} ms left")?;
        }
        if let Some(view) = &report.view {
            text.push_str(&steward_view(view));
        }
        for leaving in &report.moving {
            let LeavingReport { service, domain, slices } = leaving;
            writeln!(text, "  {service}: {slices} slices to leave {domain}")?;
        }
        for (reason, count) in &report.refused {
            writeln!(text, "  refused {reason}: {count}")?;
        }
        for (reason, count) in &report.unknown {
            writeln!(text, "  unknown {reason}: {count}")?;
        }
        for (reason, count) in &report.retried {
            writeln!(text, "  sent again {reason}: {count}")?;
        }
        Ok(())
    })
}

fn steward(steward: &StewardReport) -> String {
    let vm = steward.vm.as_deref().unwrap_or("none known");
    let here = if steward.here { ", here" } else { "" };
    format!("{vm}, term {}{here}", steward.term.number)
}

fn steward_view(view: &StewardView) -> String {
    format_with(|text| {
        let StewardView { vm, age_ms, deadline_left_ms, moves, .. } = view;
        let (begun, ended) = (moves.moving, moves.moved);
        write!(
            text,
            "  as steward {vm} knew {age_ms} ms ago: {deadline_left_ms} ms \
             left, {begun} servers in a move, {ended} slices moved"
        )?;
        writeln!(
            text,
            "{}",
            if moves.may_move { "" } else { ", may not move yet" }
        )?;
        for node in &view.nodes {
            let (name, version) = (&node.vm, node.config_version);
            let (table, heard) = (table_version(node.table), node.heard_ms);
            let lags = if node.lags { ", LAGS" } else { "" };
            writeln!(
                text,
                "    vm {name}: configuration {version}, table {table}, \
                 heard {heard} ms before{lags}"
            )?;
        }
        for server in &view.servers {
            let keeper =
                server.keeper.as_ref().map_or(UNKNOWN, |k| k.as_str());
            let (name, slices) = (&server.server, server.slices);
            write!(text, "    server {name}: {slices} slices, ")?;
            write!(text, "keeper {keeper}")?;
            if server.gains + server.releases > 0 {
                let (gains, releases) = (server.gains, server.releases);
                write!(text, ", {gains} to get, {releases} to give up")?;
            }
            writeln!(text)?;
        }
        Ok(())
    })
}

fn domain_line(domain: &DomainReport) -> String {
    let lost = if domain.lost { ", declared lost" } else { "" };
    let (name, owned) = (&domain.domain, domain.owned_slices);
    let table = table_version(domain.table);
    let age = domain.age_ms.map_or_else(
        || "age not known".to_owned(),
        |age| format!("{age} ms old"),
    );
    format!("{name}: {owned} slices owned, table {table}, {age}{lost}")
}

fn table_version(version: Option<TableVersion>) -> String {
    version.map_or(UNKNOWN.into(), |version| {
        format!("{}.{}", version.term.number, version.sequence)
    })
}

/// Formats the owner of a key and the reasons.
pub(super) fn explain(report: &ExplainReport) -> String {
    format_with(|text| {
        let (service, key) = (&report.service, &report.key);
        let (slice, slices) = (report.slice, report.slices);
        writeln!(text, "{service} {key}: slice {slice} of {slices}")?;
        let domain = report.domain.as_ref().map_or(UNKNOWN, |d| d.as_str());
        let server = report.server.as_ref().map_or(UNKNOWN, |s| s.as_str());
        let keeper = report.keeper.as_ref().map_or(UNKNOWN, |k| k.as_str());
        writeln!(text, "  owner {server} in {domain}, keeper {keeper}")?;
        let token = report.token.map_or(UNKNOWN.into(), |token| {
            format!("{}.{}", token.term.number, token.sequence)
        });
        let table = table_version(report.table);
        writeln!(text, "  token {token}, table {table}")?;
        for why in &report.why {
            writeln!(text, "  {why}")?;
        }
        let (vm, age) = (&report.vm, report.age_ms);
        writeln!(text, "  as {vm} knows it, {age} ms old")
    })
}

/// Collects the output of `write`; writing to a `String` never fails.
fn format_with(write: impl FnOnce(&mut String) -> fmt::Result) -> String {
    let mut text = String::new();
    match write(&mut text) {
        Ok(()) | Err(fmt::Error) => text,
    }
}
