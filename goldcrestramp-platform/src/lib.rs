/*!
Clients of the platform's key-value service and VM list.

| call | meaning |
| --- | --- |
| `GET /kv/KEY` | the value, with its version as the `ETag`; 404: no value |
| `GET /kv/KEY?after=V&wait_ms=N` | waits for a version above `V`; 304: no change |
| `PUT /kv/KEY` | with `If-Match: "V"` or `If-None-Match: *`; 412: another version |
| `PUT /kv/KEY?lease=ID` | the value is removed when the lease ends |
| `POST /leases?ttl_ms=N` | opens a lease, with its id as JSON |
| `POST /leases/ID` | renews the lease; 404: it has ended |
| `DELETE /leases/ID` | ends the lease |
| `GET /vms` | the list of VMs as JSON, which may lag |

Versions are numbers that increase with each write of a key. A write whose
response was lost is [`StoreError::Unknown`]: the caller must read the key
back, as [`resolve_write`] does. A reader passes what it reads through a
[`VersionGate`], because a service that is restored from a backup returns
older values again. After failed calls a [`RetryBackoff`] spreads the retries.
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
