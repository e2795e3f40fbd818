/*!
The entry VM of the users' platform.

One process on each VM takes callers' requests, finds the server that may
run each of them and sends it there. What must last lies in the platform's
store; who owns which keys is decided by one VM at a time under conditions
there. No request waits for the store.

- [`control`]: follows the store, plans assignments, gives orders.
- [`traffic`]: takes, queues, sends and answers requests.
- [`peers`]: what VMs tell one another.
- [`framing`]: where the requests on a caller's connection end.
- [`logs`], [`metrics`]: what operators see.
- [`mirror`], [`history`], [`configuration`], [`view`]: what is known of the
  store, and of the fleet.
- [`run()`]: starts all of it, and ends it without cutting a request.
*/

pub mod configuration;
pub mod control;
pub mod framing;
pub mod history;
pub mod http;
mod listen;
pub mod logs;
pub mod metrics;
pub mod mirror;
pub mod peers;
mod ready;
pub mod records;
mod run;
mod shared;
pub mod store;
pub mod traffic;
pub mod view;

pub use crate::{
    run::{RunError, StopPhase, read_settings, run},
    shared::SharedState,
};
