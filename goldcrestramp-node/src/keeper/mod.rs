//! The keeper: the one sender of requests to a backend server.

mod frames;
mod gate;
mod prove;
mod recover;
mod send;
mod service;
mod view;

pub(crate) use crate::keeper::{service::KeeperService, view::KeeperView};
