//! The records that the project stores in the key-value service.
//!
//! | key | value | changed by |
//! | --- | --- | --- |
//! | `config` | [`DeploymentState`] | operators' tickets |
//! | `roster/DOMAIN` | [`VoterRoster`] | the domain's steward |
//! | `slices/SERVICE` | [`ServiceRecord`] | the planner |
//! | `domain/DOMAIN` | [`DomainHead`] | the domain's steward |
//! | `domain/DOMAIN/SERVICE/SHARD` | [`DomainShard`] | the domain's steward |
//! | `planner` | [`PlannerRecord`], bound to a lease | the planner |
//!
//! Values are JSON, encoded by [`StoreRecord::encode`] and read by
//! [`StoreRecord::decode`]. A value with any malformed part is rejected,
//! because a partly decoded record could give a slice two owners. Every
//! value contains its own increasing number, because the service's versions
//! start over when it is restored from older data.
//!
//! [`DeploymentState`]: goldcrestramp_config::DeploymentState
//! [`VoterRoster`]: goldcrestramp_ownership::VoterRoster
//! [`ServiceRecord`]: goldcrestramp_ownership::ServiceRecord

mod codec;
mod directory;
mod domain;
mod error;
pub mod keys;
mod lease;
mod number;
mod roster;
mod runs;
mod service;

pub use self::{
    codec::StoreRecord,
    directory::ServerDirectory,
    domain::{DomainHead, DomainShard, SHARD_SLICES, ShardReference},
    error::RecordError,
    lease::PlannerRecord,
    number::NumberedRecord,
};
