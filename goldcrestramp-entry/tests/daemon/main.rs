//! Tests the daemon as a process against stand-ins of the store and of
//! backend servers.

mod admission;
#[path = "../crowd/backend.rs"]
#[allow(dead_code, reason = "shared with the tests of crowds")]
mod backend;
mod backoff;
mod bulk;
mod busy;
mod callers;
mod cluster;
mod configuration;
mod crashes;
mod domains;
mod early_rejections;
mod endless;
mod leases;
mod leaving;
mod limits;
mod link;
mod long_work;
mod node;
mod orders;
mod ownership;
mod partition;
mod pipeline;
mod port;
#[path = "../soak/relay.rs"]
#[allow(dead_code, reason = "shared with the soak")]
mod relay;
mod retries;
mod server;
mod slow_readers;
mod statuses;
mod stop;
mod store;
