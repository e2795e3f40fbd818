/*!
Clients of the platform's key-value service and VM list.

| call | meaning |
| --- | --- |
| `GET /kv/KEY` | the value; its version is the `ETag`; 404: none |
| `GET /kv/KEY?after=V&wait_ms=N` | waits for a version above `V`; 304: none came |
| `PUT /kv/KEY` | with `If-Match: "V"` or `If-None-Match: *`; 412: another version |
| `PUT /kv/KEY?lease=ID` | the value goes when the lease ends |
| `POST /leases?ttl_ms=N` | a new lease, its id as JSON |
| `POST /leases/ID` | renews it; 404: it has ended |
| `DELETE /leases/ID` | ends it |
| `GET /vms` | the lagging list of VMs, as JSON |

Versions are numbers that rise with each write of a key. A write whose
answer was lost is [`StoreError::Unknown`]: the caller reads back and never
guesses; [`resolve_write`] does so. A reader passes what it reads through
a [`VersionGate`], because a service restored from a copy shows older
values again. After a failed call a [`RetryBackoff`] spreads the next tries.
*/

mod backoff;
mod calls;
mod client;
mod gate;
mod protocol;
pub mod records;
mod resolve;
mod store;

pub use crate::{
    backoff::{BackoffRange, RetryBackoff, full_jitter},
    calls::{CallCounts, CallKind},
    client::PlatformClient,
    gate::{GateVerdict, StoreRewrite, VersionGate},
    protocol::{LeaseGrant, VmEntry, VmState},
    resolve::{WriteOutcome, classify_write, resolve_write},
    store::{PutCondition, PutOutcome, StoreAccess, StoreError, StoredValue},
};
