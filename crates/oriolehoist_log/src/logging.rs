use {
    crate::{text::OneLine, writer::LogWriter},
    log::LevelFilter,
    std::str::FromStr,
};

/// Initializes logging to standard output, with one line per event. Logging never blocks, even if
/// the output is not read. `level` applies to events; messages of other crates are logged only if
/// they are warnings or errors.
///
/// # Errors
///
/// Returns an error if the level is unknown, a logger is already set, or no thread can be started.
pub fn init_logging(level: &str) -> eyre::Result<()> {
    let level = LevelFilter::from_str(level)?;
    fern::Dispatch::new()
        .format(|out, message, record| {
            let time = chrono::Utc::now().to_rfc3339_opts(chrono::SecondsFormat::Millis, true);
            out.finish(format_args!("{time} {} {}", record.level(), OneLine(message)));
        })
        .level(LevelFilter::Warn)
        .level_for("oriolehoist_log", level)
        .chain(Box::new(LogWriter::start()?) as Box<dyn std::io::Write + Send>)
        .apply()?;
    Ok(())
}
