//! The daemon as a process, against small stand-ins of the platform.

mod callers;
mod configuration;
mod leases;
mod limits;
mod node;
mod orders;
mod ownership;
mod pipeline;
#[path = "../soak/relay.rs"]
#[allow(dead_code, reason = "shared with the soak")]
mod relay;
mod server;
mod stop;
mod store;
mod world;
