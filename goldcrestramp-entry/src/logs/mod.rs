//! Structured lines to standard output that nobody waits for.

mod budget;
mod writer;

use flexi_logger::{FlexiLoggerError, Logger, LoggerHandle};

pub use crate::logs::{
    budget::{LineBudget, LineVerdict},
    writer::LineWriter,
};

/// Starts logging at a level such as `info`; it ends with the handle.
///
/// # Errors
///
/// A [`FlexiLoggerError`] when the level is none, or logging has begun.
pub fn start_logs(level: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    let specification = format!("warn,goldcrestramp_entry={level}");
    Logger::try_with_str(specification)?
        .log_to_writer(Box::new(LineWriter::spawn(std::io::stdout())))
        .start()
}
