//! The gateway: accepts callers' requests over HTTP and routes them.

mod admission;
mod attempt;
mod listener;
mod recover;
mod request;
mod response;
mod retry;
mod route;
mod routes;

pub(crate) use crate::gateway::{
    listener::CallerListener, routes::gateway_routes,
};
