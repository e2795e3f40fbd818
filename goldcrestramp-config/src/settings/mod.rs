//! The settings of one daemon, read at startup.

mod reader;

use std::{net::SocketAddr, path::PathBuf};

use goldcrestramp_types::{DomainName, RegionName, VmName};
use serde::{Deserialize, Serialize};

pub use self::reader::{parse_settings, read_settings};

/// The contents of a daemon's settings file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// The name of the deployment; peers of other deployments are rejected.
    pub deployment: String,
    /// The name of this VM.
    pub vm: VmName,
    /// The failure domain of this VM.
    pub domain: DomainName,
    /// The region of this VM.
    pub region: RegionName,
    /// The address to listen on for callers (HTTP).
    pub callers_listen: SocketAddr,
    /// The address to listen on for peers' requests for keys (gRPC).
    pub peers_listen: SocketAddr,
    /// The address at which peers reach `peers_listen`, if it differs.
    pub peers_address: Option<SocketAddr>,
    /// The address to listen on for peers' control messages (gRPC). A
    /// separate thread serves them, so that traffic cannot delay them.
    pub control_listen: SocketAddr,
    /// The address at which peers reach `control_listen`, if it differs.
    pub control_address: Option<SocketAddr>,
    /// The base URL of the platform's services.
    pub platform_url: String,
    /// The operators' listener.
    pub operators: OperatorSettings,
    /// Log level and format.
    #[serde(default)]
    pub log: LogSettings,
    /// TLS between peers; if absent, peers use plain TCP on loopback only.
    pub peer_tls: Option<PeerTlsSettings>,
    /// The maximum number of requests in flight at this gateway.
    #[serde(default = "default_gateway_requests")]
    pub gateway_requests: u32,
    /// The maximum size of a request body, in bytes.
    #[serde(default = "default_body_bytes")]
    pub body_bytes: u32,
    /// The deadline of requests that set none, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub default_deadline_ms: u64,
    /// The rate at which this VM may send to another region, in bytes per
    /// second: the link's rate divided by the VMs that share it.
    #[serde(default = "default_link_bytes_per_second")]
    pub link_bytes_per_second: u64,
}

/// The operators' listener for metrics, health and status.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// The address to listen on for operators (HTTP).
    pub listen: SocketAddr,
    /// A file with the bearer token; required off loopback.
    pub token_file: Option<PathBuf>,
}

/// Certificates and key that authenticate peers to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerTlsSettings {
    /// The certificate authority that signs every peer's certificate (PEM).
    pub authority_file: PathBuf,
    /// This VM's certificate chain (PEM).
    pub certificate_file: PathBuf,
    /// This VM's private key (PEM).
    pub key_file: PathBuf,
}

/// Log settings of a daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The level: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// The format of the lines.
    pub format: LogFormat,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: "info".to_owned(), format: LogFormat::Text }
    }
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// One short sentence per line.
    Text,
    /// One JSON object per line.
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

/// 30 Mbit/s divided by five VMs.
const fn default_link_bytes_per_second() -> u64 {
    750_000
}
