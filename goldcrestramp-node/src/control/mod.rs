//! The control thread: steward, grants, voter, and their messages.

mod actor;
mod follow;
mod grants;
mod handlers;
mod links;
mod messages;
mod permit_stream;
mod permits;
mod reader;
mod seen;
mod service;
mod status;
mod tables;
mod thread;

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
    seen::{SeenVm, VmVersions},
    status::ControlStatus,
};
