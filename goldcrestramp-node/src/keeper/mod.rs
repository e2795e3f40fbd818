//! The keeper: the only sender of requests to a backend server.

mod admission;
mod attempts;
mod cancel;
mod forward;
mod frames;
mod handover;
mod known;
mod link;
mod prove;
mod recover;
mod request;
mod send;
mod service;
mod silence;
mod slot;
mod view;

pub(crate) use crate::keeper::{
    attempts::MAX_ORDER_DEADLINE, handover::MemoryHandover,
    service::KeeperService, view::KeeperView,
};
