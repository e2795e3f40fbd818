//! A test harness that runs daemons and stand-ins as separate processes and
//! makes them fail: kill, freeze, disconnect.
//!
//! Every process is killed by its id when its handle is dropped, also when the
//! test panics; its output is then printed.

#![expect(
    dead_code,
    unused_imports,
    reason = "each test file uses a part of the harness"
)]

mod child;
mod deployment;
mod relay;
mod trial;

pub use self::{
    child::ChildProcess,
    deployment::{DaemonProcess, ProcessDeployment, wait_until},
    relay::TcpRelay,
    trial::{ProcessTrial, TrialDomain, outcomes},
};
