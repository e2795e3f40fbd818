//! The daemon as a process, against small stand-ins of the platform.

mod callers;
mod node;
mod orders;
mod ownership;
mod server;
mod stop;
mod store;
mod world;
