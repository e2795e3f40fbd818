/*!
Who owns which keys of a divided service; no sockets, no clock.

An [`AssignmentTable`] lies in a key-value store and is changed only under a
condition on its own revision and on the record of the one planning VM. A
[`TablePlanner`] works out the next table, and the orders that make servers
follow the table that was committed. Nothing is ordered that is not in a
committed table, so a planner that lost its place can order nothing new:

- a *grant* is sent, and renewed, for what the committed table grants;
- a *move* commits `Releasing`, waits for proof that the former holder has
  stopped, then commits the new owner with a higher token;
- *proof* is the holder's own answer to a release, the knowledge that this
  run of the server has ended, or the end of every hold it may have.

# Example

```
use goldcrestramp_assignment::{AssignmentTable, ServerInstance};
use goldcrestramp_types::SliceIndex;

let instance = ServerInstance {
    id: "stock-1".into(),
    started_ms: 1,
    address: "127.0.0.1:9000".parse().expect("an address"),
};
let table = AssignmentTable::striped(&[instance], 4).expect("a server");
let run = table.find(SliceIndex::from(40_000));
assert_eq!(table.instance(run.instance).id.as_ref(), "stock-1");
```
*/

mod edit;
mod grant_expiries;
mod memo;
mod moves;
mod order;
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
