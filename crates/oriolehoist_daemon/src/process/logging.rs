use {
    log::LevelFilter,
    std::{io::stderr, str::FromStr},
};

/// Sends the log to standard error, one line an event.
///
/// # Errors
///
/// Returns an error if the level is unknown or a logger is already set.
pub fn init_logging(level: &str) -> eyre::Result<()> {
    let level = LevelFilter::from_str(level)?;
    fern::Dispatch::new()
        .format(|out, message, record| {
            let time = chrono::Utc::now().to_rfc3339_opts(chrono::SecondsFormat::Millis, true);
            out.finish(format_args!("{time} {} {message}", record.level()));
        })
        .level(LevelFilter::Warn)
        .level_for("oriolehoist_daemon", level)
        .chain(stderr())
        .apply()?;
    Ok(())
}
