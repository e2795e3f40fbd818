/*!
Assigns the keys of a sharded service to backend servers.

The crate opens no sockets and reads no clock.

An [`AssignmentTable`] is stored in a key-value store. It is written only on
condition that neither its own revision nor the record of the one planning VM
has changed. A [`TablePlanner`] computes the next table and the orders that
make servers follow the committed table. Every order follows from a committed
table, so a planner that has been replaced cannot order anything new:

- a *grant* is sent, and renewed, for each range that the committed table
  grants;
- a *move* commits `Releasing`, waits for proof that the previous holder has
  stopped, then commits the new owner with a higher token;
- *proof* is the holder's own response to a release, the knowledge that this
  instance of the server has ended, or the expiry of every grant that it may
  have.

# Example

```
use goldcrestramp_assignment::{AssignmentTable, ServerInstance};
use goldcrestramp_types::SliceIndex;

let instance = ServerInstance {
    id: "stock-1".into(),
    started_ms: 1,
    address: "127.0.0.1:9000".parse().expect("address parses"),
};
let table = AssignmentTable::striped(&[instance], 4).expect("has servers");
let assigned = table.find(SliceIndex::from(40_000));
assert_eq!(table.instance(assigned.instance).id.as_ref(), "stock-1");
```
*/

mod edit;
mod grant_expiries;
mod moves;
mod order;
mod order_tracker;
mod patch;
mod planner;
mod previous_planner;
mod table;

pub use crate::{
    grant_expiries::GrantExpiries,
    order::{OrderKind, OrderOutcome, ServerOrder},
    patch::TablePatch,
    planner::{
        HolderStatus, MoveRequest, PlannerTiming, ServerStatus, TablePlanner,
    },
    previous_planner::{PreviousPlanner, last_grant_sent},
    table::{
        AssignedRange, AssignmentPhase, AssignmentTable, InstanceKey,
        ServerInstance, TableError,
    },
};
