/*!
Small stand-ins for the platform, backend servers and callers.

They speak the published protocols that `goldcrestramp-platform` and
`goldcrestramp-wire` describe, and can be made to fail. Nothing here is part
of the product; the demo, the load tool and the tests use it.
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
        AnswerCheck, CallEntry, CallOutcome, ExecutionEntry, HoldEntry,
        MachineTime,
    },
};
