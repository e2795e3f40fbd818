//! The gateway: takes callers' requests over HTTP.

mod answer;
mod attempt;
mod listener;
mod places;
mod recover;
mod request;
mod retry;
mod route;
mod routes;

pub(crate) use crate::gateway::{
    listener::CallerListener, routes::gateway_routes,
};
