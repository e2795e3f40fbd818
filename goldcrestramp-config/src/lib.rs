/*!
Node settings, change tickets and their checks.

Both are JSON with comments. Unknown fields, bad references and values out
of range are refused, all at once, each with file, line, column and path.
*/

mod deployment;
mod document;
mod settings;

pub use crate::{
    deployment::{
        CallerRules, DeploymentState, DomainRules, ServerRules, ServiceRules,
    },
    document::{DocumentFault, FaultList, SourcePosition},
    settings::{
        LogFormat, LogSettings, NodeSettings, OperatorSettings,
        PeerTlsSettings, parse_settings, read_settings,
    },
};
