//! What operators reach: tickets, status, metrics.

mod apply;

pub use self::apply::{ApplyOutcome, apply_ticket, restore_config};
