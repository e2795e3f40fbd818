/*!
In-memory stand-ins for the platform, backend servers and callers.

They implement the protocols that `goldcrestramp-platform` and
`goldcrestramp-wire` define, and can inject faults. Nothing here is part of
the product; the demo, the load generator and the tests use it.
*/

mod answer;
pub mod checker;
mod listener;
pub mod load;
pub mod platform;
mod records;
pub mod server;

pub use crate::{
    answer::{AnswerPattern, check_answer},
    listener::ListenerHandle,
    records::{
        AnswerCheck, CallEntry, CallOutcome, ExecutionEntry, GrantEntry,
        MachineTime,
    },
};
