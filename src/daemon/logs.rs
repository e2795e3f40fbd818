//! Sets up logging, as text lines or as JSON.

use flexi_logger::{Logger, LoggerHandle};
use goldcrestramp_config::{LogFormat, LogSettings};

/// Starts logging to standard error; logging stops when the handle is dropped.
///
/// # Errors
///
/// A report if the level is invalid or logging was started before.
pub fn start(settings: &LogSettings) -> eyre::Result<LoggerHandle> {
    // Libraries log warnings and errors only.
    let level = &settings.level;
    let specification = format!("warn,goldcrestramp={level}");
    let logger = Logger::try_with_str(specification)?.log_to_stderr();
    let logger = match settings.format {
        LogFormat::Text => logger.format(flexi_logger::opt_format),
        LogFormat::Json => logger.format(flexi_logger::json_format),
    };
    Ok(logger.start()?)
}
