//! Reads a settings file and checks that its fields are consistent.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};

use goldcrestramp_types::{DomainName, RegionName, VmName};

use super::{
    LogFormat, LogSettings, NodeSettings, OperatorSettings, PeerTlsSettings,
    default_body_bytes, default_deadline_ms, default_gateway_requests,
    default_link_bytes_per_second,
};
use crate::document::{
    DocumentNode, FaultList, FieldReader, SourcePosition, open_document,
};

/// Requests in flight at one gateway; each uses a body and two sockets.
const GATEWAY_REQUESTS: std::ops::RangeInclusive<u32> = 1..=65_536;
/// From one KiB to 64 MiB; a VM buffers several bodies at once.
const BODY_BYTES: std::ops::RangeInclusive<u32> = 1_024..=67_108_864;
/// Up to an hour, the longest expected download.
const DEADLINE_MS: std::ops::RangeInclusive<u64> = 1..=3_600_000;
/// From the rate of a modem to 100 Gbit/s; other values are typing errors.
const LINK_BYTES_PER_SECOND: std::ops::RangeInclusive<u64> =
    4_096..=12_500_000_000;
const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// Reads the settings in `file`.
///
/// # Errors
///
/// Returns all faults of the file, each with its position.
pub fn read_settings(file: &Path) -> Result<NodeSettings, FaultList> {
    let name = file.display().to_string();
    match std::fs::read_to_string(file) {
        Ok(text) => parse_settings(&name, &text),
        Err(error) => Err(FaultList::unreadable(&name, &error)),
    }
}

/// Reads settings from `text`; `file` is named in the faults.
///
/// # Errors
///
/// Returns all faults of the text, each with its position.
///
/// # Example
///
/// ```
/// use goldcrestramp_config::parse_settings;
///
/// let faults = parse_settings("node.jsonc", "{ \"vmm\": 3 } // typo")
///     .expect_err("most fields are missing");
/// let first = faults.faults()[0].to_string();
/// assert!(first.starts_with("node.jsonc:1:1: "));
/// ```
pub fn parse_settings(
    file: &str,
    text: &str,
) -> Result<NodeSettings, FaultList> {
    let mut faults = FaultList::new(file);
    let node = open_document(text, &mut faults);
    let settings = node.and_then(|node| settings(&node, &mut faults));
    faults.into_result(settings)
}

fn settings(
    node: &DocumentNode,
    faults: &mut FaultList,
) -> Option<NodeSettings> {
    let mut fields = FieldReader::open(node, faults)?;
    let deployment = fields.required::<String>("deployment", faults);
    let vm = fields.required::<VmName>("vm", faults);
    let domain = fields.required::<DomainName>("domain", faults);
    let region = fields.required::<RegionName>("region", faults);
    let callers_listen = fields.required("callers_listen", faults);
    let peers_listen = fields.required("peers_listen", faults);
    let peers_address = fields.optional("peers_address", faults);
    let control_listen = fields.required("control_listen", faults);
    let control_address = fields.optional("control_address", faults);
    let platform_url = fields.required::<String>("platform_url", faults);
    let operators = fields.required_node("operators", faults);
    let operators = operators.and_then(|node| operator_settings(node, faults));
    let log = match fields.node("log") {
        None => Some(LogSettings::default()),
        Some(node) => log_settings(node, faults),
    };
    let peer_tls = match fields.node("peer_tls") {
        None => Some(None),
        Some(node) => peer_tls_settings(node, faults).map(Some),
    };
    let gateway_requests = fields.ranged(
        "gateway_requests",
        &GATEWAY_REQUESTS,
        Some(default_gateway_requests()),
        faults,
    );
    let body_bytes = fields.ranged(
        "body_bytes",
        &BODY_BYTES,
        Some(default_body_bytes()),
        faults,
    );
    let default_deadline_ms = fields.ranged(
        "default_deadline_ms",
        &DEADLINE_MS,
        Some(default_deadline_ms()),
        faults,
    );
    let link_bytes_per_second = fields.ranged(
        "link_bytes_per_second",
        &LINK_BYTES_PER_SECOND,
        Some(default_link_bytes_per_second()),
        faults,
    );
    let positions = SettingsPositions::new(&fields);
    fields.close(faults);
    let settings = NodeSettings {
        deployment: deployment?,
        vm: vm?,
        domain: domain?,
        region: region?,
        callers_listen: callers_listen?,
        peers_listen: peers_listen?,
        peers_address: peers_address?,
        control_listen: control_listen?,
        control_address: control_address?,
        platform_url: platform_url?,
        operators: operators?,
        log: log?,
        peer_tls: peer_tls?,
        gateway_requests: gateway_requests?,
        body_bytes: body_bytes?,
        default_deadline_ms: default_deadline_ms?,
        link_bytes_per_second: link_bytes_per_second?,
    };
    check_settings(&settings, &positions, faults);
    Some(settings)
}

fn operator_settings(
    node: &DocumentNode,
    faults: &mut FaultList,
) -> Option<OperatorSettings> {
    let mut fields = FieldReader::open(node, faults)?;
    let listen = fields.required::<SocketAddr>("listen", faults);
    let token_file = fields.optional::<PathBuf>("token_file", faults);
    fields.close(faults);
    let (listen, token_file) = (listen?, token_file?);
    // Without a token, anyone who can reach the port could apply a ticket.
    if token_file.is_none() && !listen.ip().is_loopback() {
        let path = format!("{}.token_file", node.path);
        let message = "needed when operators are served off loopback";
        faults.add(node.position, &path, message);
    }
    Some(OperatorSettings { listen, token_file })
}

fn log_settings(
    node: &DocumentNode,
    faults: &mut FaultList,
) -> Option<LogSettings> {
    let mut fields = FieldReader::open(node, faults)?;
    let LogSettings { level, format } = LogSettings::default();
    let level = fields.or_default("level", level, faults);
    let format = fields.or_default::<LogFormat>("format", format, faults);
    if level.as_ref().is_some_and(|l| !LOG_LEVELS.contains(&l.as_str())) {
        let path = format!("{}.level", node.path);
        let message = format!("must be one of {}", LOG_LEVELS.join(", "));
        faults.add(fields.position("level"), &path, message);
    }
    fields.close(faults);
    Some(LogSettings { level: level?, format: format? })
}

fn peer_tls_settings(
    node: &DocumentNode,
    faults: &mut FaultList,
) -> Option<PeerTlsSettings> {
    let mut fields = FieldReader::open(node, faults)?;
    let authority_file = fields.required("authority_file", faults);
    let certificate_file = fields.required("certificate_file", faults);
    let key_file = fields.required("key_file", faults);
    fields.close(faults);
    Some(PeerTlsSettings {
        authority_file: authority_file?,
        certificate_file: certificate_file?,
        key_file: key_file?,
    })
}

/// Positions of the fields that are checked against each other.
struct SettingsPositions {
    deployment: SourcePosition,
    vm: SourcePosition,
    domain: SourcePosition,
    peers_listen: SourcePosition,
    callers_listen: SourcePosition,
    control_listen: SourcePosition,
    platform_url: SourcePosition,
    operators: SourcePosition,
}

impl SettingsPositions {
    fn new(fields: &FieldReader<'_>) -> Self {
        Self {
            deployment: fields.position("deployment"),
            vm: fields.position("vm"),
            domain: fields.position("domain"),
            peers_listen: fields.position("peers_listen"),
            callers_listen: fields.position("callers_listen"),
            control_listen: fields.position("control_listen"),
            platform_url: fields.position("platform_url"),
            operators: fields.position("operators"),
        }
    }
}

fn check_settings(
    settings: &NodeSettings,
    positions: &SettingsPositions,
    faults: &mut FaultList,
) {
    check_names(settings, positions, faults);
    check_listeners(settings, positions, faults);
    check_peers(settings, positions, faults);
    if !settings.platform_url.starts_with("http://") {
        let message = "must begin with `http://`";
        faults.add(positions.platform_url, "platform_url", message);
    }
}

/// Checks the names that are DNS labels in the certificates of peers.
fn check_names(
    settings: &NodeSettings,
    positions: &SettingsPositions,
    faults: &mut FaultList,
) {
    if settings.deployment.is_empty() {
        faults.add(positions.deployment, "deployment", "may not be empty");
    }
    if settings.peer_tls.is_none() {
        return;
    }
    let labels = [
        ("deployment", settings.deployment.as_str(), positions.deployment),
        ("vm", settings.vm.as_str(), positions.vm),
        ("domain", settings.domain.as_str(), positions.domain),
    ];
    for (path, label, position) in labels {
        if !is_dns_label(label) {
            let message = "with peer_tls only a-z, 0-9 and inner `-` may \
                stand here, 63 at most";
            faults.add(position, path, message);
        }
    }
}

fn is_dns_label(label: &str) -> bool {
    let inner =
        |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    (1..=63).contains(&label.len())
        && label.bytes().all(inner)
        && !label.starts_with('-')
        && !label.ends_with('-')
}

/// Rejects two listeners on one port, since the second could not bind it.
fn check_listeners(
    settings: &NodeSettings,
    positions: &SettingsPositions,
    faults: &mut FaultList,
) {
    let listeners = [
        ("callers_listen", settings.callers_listen, positions.callers_listen),
        ("peers_listen", settings.peers_listen, positions.peers_listen),
        ("control_listen", settings.control_listen, positions.control_listen),
        ("operators.listen", settings.operators.listen, positions.operators),
    ];
    for (index, (path, address, position)) in listeners.iter().enumerate() {
        let previous = listeners.iter().take(index);
        let taken = previous.into_iter().find(|f| conflicts(f.1, *address));
        if let Some((other, ..)) = taken {
            let message = format!("{address} is taken by {other}");
            faults.add(*position, path, message);
        }
    }
}

/// Whether two listeners conflict; port 0 never does, since the system
/// selects a free port.
fn conflicts(left: SocketAddr, right: SocketAddr) -> bool {
    let same_port = left.port() == right.port() && left.port() != 0;
    let (left, right) = (left.ip(), right.ip());
    let overlap =
        left == right || left.is_unspecified() || right.is_unspecified();
    same_port && overlap
}

fn check_peers(
    settings: &NodeSettings,
    positions: &SettingsPositions,
    faults: &mut FaultList,
) {
    let peers = (settings.peers_listen, settings.peers_address);
    let control = (settings.control_listen, settings.control_address);
    let both = [
        ("peers", peers, positions.peers_listen),
        ("control", control, positions.control_listen),
    ];
    for (name, (listen, address), position) in both {
        // Over plain TCP off loopback, anyone could order a higher fence.
        if settings.peer_tls.is_none() && !listen.ip().is_loopback() {
            let message = "off loopback peers need `peer_tls`";
            faults.add(position, &format!("{name}_listen"), message);
        }
        if address.unwrap_or(listen).ip().is_unspecified() {
            let message = "peers need an address that they can reach";
            faults.add(position, &format!("{name}_address"), message);
        }
    }
}
