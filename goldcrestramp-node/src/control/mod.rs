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
mod service;
mod status;
mod tables;
mod thread;

pub use crate::control::status::ControlStatus;
pub(crate) use crate::control::{
    actor::ControlActor,
    messages::{
        ConfigNotice, DispensableAsk, DrainedAsk, HomesNotice, StatusAsk,
    },
    tables::TableSet,
    thread::ControlThread,
};
