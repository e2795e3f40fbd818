//! The steward's and the planner's records in the key-value service.

mod division;
mod pause;
mod record;
mod roster;

pub(crate) use self::{
    division::{read_division, watch_divisions},
    pause::StorePause,
    record::{RecordStore, read_view},
    roster::{read_roster, save_roster},
};
