//! Logs: lines for people, or JSON for machines.

use flexi_logger::{Logger, LoggerHandle};
use goldcrestramp_config::{LogFormat, LogSettings};

/// Starts logging to standard error; it ends when the handle is dropped.
///
/// # Errors
///
/// A report when the level is not one, or logging has begun already.
pub fn start(settings: &LogSettings) -> eyre::Result<LoggerHandle> {
    // Libraries speak up only when something is wrong with them.
    let level = &settings.level;
    let specification = format!("warn,goldcrestramp={level}");
    let logger = Logger::try_with_str(specification)?.log_to_stderr();
    let logger = match settings.format {
        LogFormat::Text => logger.format(flexi_logger::opt_format),
        LogFormat::Json => logger.format(flexi_logger::json_format),
    };
    Ok(logger.start()?)
}
