//! Structured logging to standard output that never blocks the caller.

mod budget;
mod writer;

use flexi_logger::{FlexiLoggerError, Logger, LoggerHandle};

pub use crate::logs::{
    budget::{LineBudget, LineVerdict},
    writer::LineWriter,
};

/// Starts logging at a level such as `info`, until the handle is dropped.
///
/// # Errors
///
/// A [`FlexiLoggerError`] if the level is invalid or logging was already
/// started.
pub fn start_logs(level: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    let specification = format!("warn,goldcrestramp_entry={level}");
    Logger::try_with_str(specification)?
        .log_to_writer(Box::new(LineWriter::spawn(std::io::stdout())))
        .start()
}
