//! Reads and writes the steward's and the planner's records in the
//! key-value service.

mod backoff;
mod division;
mod record;
mod roster;

pub(crate) use self::{
    backoff::StoreBackoff,
    division::{read_division, watch_divisions},
    record::{RecordStore, read_view},
    roster::{read_roster, save_roster},
};
