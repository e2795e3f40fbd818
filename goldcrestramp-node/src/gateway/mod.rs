//! The gateway: takes callers' requests over HTTP.

mod answer;
mod listener;
mod recover;
mod request;
mod route;
mod routes;

pub(crate) use crate::gateway::{
    listener::CallerListener, routes::gateway_routes,
};
