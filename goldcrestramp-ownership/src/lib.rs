/*!
Pure state machines that keep at most one owner per slice.

A permission never outlives the permission it was derived from:

1. A [`StewardMachine`] acts only while a majority of its failure domain's
   [`VoterRoster`] has confirmed its term within the last lease time.
2. It permits each [`KeeperMachine`] to act for at most the remaining time
   of its own term.
3. A keeper renews a server's grant for at most the remaining time of its
   permit.
4. A server, modeled by [`GrantHolder`], starts requests only until its
   grant's deadline on its own clock.

No machine reads a clock, opens a socket or draws a random number: the
current time and every message are arguments, effects are return values.

# Example

A server starts requests of the granted slices until the grant's deadline on
its own clock:

```
use goldcrestramp_ownership::GrantHolder;
use goldcrestramp_types::{FenceToken, ServerTime, SliceIndex, SliceSet};
use goldcrestramp_wire::server::GrantOrder;

let slice = SliceIndex::new(7).expect("below 65,536");
let mut holder = GrantHolder::new(42, true);
let order = GrantOrder {
    slices: Some(SliceSet::from_iter([slice])),
    deadline: ServerTime::from_micros(1_000_000),
    run: 42,
    ..GrantOrder::default()
};

let reply = holder.apply(ServerTime::from_micros(10), &order);

let token = FenceToken::default();
assert!(reply.accepted);
assert!(holder.may_start(ServerTime::from_micros(999_999), slice, token));
assert!(!holder.may_start(ServerTime::from_micros(1_000_000), slice, token));
```
*/

mod holder;
mod keeper;
mod message;
mod plan;
mod planner;
mod roster;
mod safeguard;
mod steward;
mod table;
mod table_change;
mod timing;
mod voter;

pub use crate::{
    holder::GrantHolder,
    keeper::{KeeperMachine, PassRefusal, PassTable, SendPass, ServerPasses},
    message::{
        ConfirmAnswer, ConfirmAsk, KeeperReport, PermitAnswer, ServerOrder,
        ServerReport, ServerState, SliceLoad,
    },
    plan::{
        DomainPlan, DomainRecord, ServerPlan, ServicePlan, SliceMove,
        StrandedCause,
    },
    planner::{
        DomainMove, DomainShare, DomainView, PlannerRound, RecordDomain,
        RecordStage, ServicePolicy, ServiceRecord, SliceHolding, ViewStage,
        domain_plan,
    },
    roster::{RosterVoter, VoterRoster},
    safeguard::{Safeguard, Safeguards},
    steward::{
        DueSlices, StewardEffect, StewardEvent, StewardMachine, StewardStatus,
    },
    table::{DomainTable, ServiceTable, TableServer},
    table_change::{OwnerRange, ServiceChange, TableChange},
    timing::TermTiming,
    voter::VoterState,
};
