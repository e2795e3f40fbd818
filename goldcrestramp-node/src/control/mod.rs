//! The control thread: runs the steward, the keeper and the voter of a VM
//! and exchanges their messages.

mod actor;
mod churn;
mod follow;
mod grants;
mod handlers;
mod links;
mod measure;
mod messages;
mod permit_stream;
mod permits;
mod reader;
mod seen;
mod service;
mod status;
mod tables;
mod thread;
mod unserved;

pub(crate) use crate::control::{
    actor::ControlActor,
    links::ControlLinks,
    messages::{
        ConfigNotice, DispensableAsk, DrainedAsk, HomesNotice, StatusAsk,
    },
    tables::TableSet,
    thread::ControlThread,
};
pub use crate::control::{
    churn::{MoveMeter, MoveTally},
    seen::{SeenVm, VmVersions},
    status::ControlStatus,
};
