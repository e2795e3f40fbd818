//! The settings of one daemon, read when it starts.

mod reader;

use std::{net::SocketAddr, path::PathBuf};

use goldcrestramp_types::{DomainName, RegionName, VmName};
use serde::{Deserialize, Serialize};

pub use self::reader::{parse_settings, read_settings};

/// Everything that a daemon learns from its settings file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// The name of the deployment; peers of another one are refused.
    pub deployment: String,
    /// This VM.
    pub vm: VmName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its region.
    pub region: RegionName,
    /// Where callers are served (HTTP).
    pub callers_listen: SocketAddr,
    /// Where peers' requests for keys are served (gRPC).
    pub peers_listen: SocketAddr,
    /// Where peers reach that; `peers_listen` when absent.
    pub peers_address: Option<SocketAddr>,
    /// Where peers' control messages are served (gRPC), by a thread of its
    /// own, so that traffic cannot delay them.
    pub control_listen: SocketAddr,
    /// Where peers reach that; `control_listen` when absent.
    pub control_address: Option<SocketAddr>,
    /// The base URL of the platform's services.
    pub platform_url: String,
    /// The operators' listener.
    pub operators: OperatorSettings,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
    /// TLS between peers; absent: plain TCP, loopback only.
    pub peer_tls: Option<PeerTlsSettings>,
    /// The most requests under way at this gateway.
    #[serde(default = "default_gateway_requests")]
    pub gateway_requests: u32,
    /// The largest request body, in bytes.
    #[serde(default = "default_body_bytes")]
    pub body_bytes: u32,
    /// A request without a deadline gets this one, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub default_deadline_ms: u64,
    /// What this VM may send to another region, in bytes a second: the
    /// link's rate over the VMs that share it.
    #[serde(default = "default_link_bytes_per_second")]
    pub link_bytes_per_second: u64,
}

/// The operators' listener: metrics, health, status.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Where operators are served (HTTP).
    pub listen: SocketAddr,
    /// A file that holds the bearer token; needed off loopback.
    pub token_file: Option<PathBuf>,
}

/// Certificate and key by which peers know each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerTlsSettings {
    /// The authority that signs every peer's certificate, PEM.
    pub authority_file: PathBuf,
    /// This VM's certificate chain, PEM.
    pub certificate_file: PathBuf,
    /// This VM's private key, PEM.
    pub key_file: PathBuf,
}

/// How a daemon logs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// Lines for people or for machines.
    pub format: LogFormat,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: "info".to_owned(), format: LogFormat::Text }
    }
}

/// The form of log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// One short sentence a line.
    Text,
    /// One JSON object a line.
    Json,
}

const fn default_gateway_requests() -> u32 {
    4_096
}

const fn default_body_bytes() -> u32 {
    1_048_576
}

const fn default_deadline_ms() -> u64 {
    10_000
}

/// 30 Mbit/s over five VMs.
const fn default_link_bytes_per_second() -> u64 {
    750_000
}
