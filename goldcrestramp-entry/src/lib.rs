/*!
The entry VM of the users' platform.

One process on each VM accepts callers' requests and forwards each to a
server that may run it. Durable state is kept in the platform's store. One VM
at a time, the planner, assigns keys to servers; its conditional writes to
the store ensure that there is only one. No request waits for the store.

- [`control`]: follows the store, plans assignments, sends orders to servers.
- [`traffic`]: accepts, queues and forwards requests, and returns responses.
- [`peers`]: calls between VMs.
- `reach`: whether this VM reaches the servers of each service.
- [`framing`]: finds the end of each request on a caller's connection.
- [`logs`], [`metrics`]: structured logs and metrics for operators.
- [`mirror`], [`history`], [`configuration`], [`view`]: the known state of the
  store and of the fleet.
- [`run()`]: starts all parts and shuts them down without interrupting a
  request.
*/

mod cold;
pub mod configuration;
pub mod control;
mod crashes;
mod fingerprint;
pub mod framing;
pub mod history;
pub mod http;
mod listen;
pub mod logs;
pub mod metrics;
pub mod mirror;
mod notices;
pub mod peers;
mod reach;
mod ready;
pub mod records;
mod run;
mod shared;
pub mod store;
pub mod traffic;
pub mod view;

pub use crate::{
    reach::ReachTracker,
    run::{RunError, StopPhase, read_settings, run},
    shared::SharedState,
};
