use std::{
    io::{self, Write, stdout},
    sync::mpsc::{Receiver, SyncSender, sync_channel},
    thread,
    time::Instant,
};

/// Maximum number of lines queued for the writer thread.
const MAX_QUEUED_LINES: usize = 1024;
/// Sustained rate limit in lines per second, which bounds the volume of the log under load.
const LINES_PER_SECOND: f64 = 400.0;
/// Maximum number of lines written in a burst after a quiet period.
const BURST_LINES: f64 = 1200.0;

/// Log writer that passes lines to a thread. Lines over the rate limit or the capacity of the queue
/// are dropped and counted.
pub(crate) struct LogWriter {
    lines: SyncSender<Vec<u8>>,
    partial: Vec<u8>,
    dropped: u64,
    /// Tokens of the rate limiter: the number of lines that may be written now.
    tokens: f64,
    refilled_at: Instant,
}

impl LogWriter {
    pub(crate) fn start() -> io::Result<LogWriter> {
        let (lines, queued) = sync_channel(MAX_QUEUED_LINES);
        thread::Builder::new().name("log".into()).spawn(move || write_lines(&queued))?;
        Ok(LogWriter {
            lines,
            partial: Vec::new(),
            dropped: 0,
            tokens: BURST_LINES,
            refilled_at: Instant::now(),
        })
    }

    fn send(&mut self, line: Vec<u8>) {
        let new_tokens = self.refilled_at.elapsed().as_secs_f64() * LINES_PER_SECOND;
        self.refilled_at = Instant::now();
        self.tokens = (self.tokens + new_tokens).min(BURST_LINES);
        if self.tokens < 1.0 {
            self.dropped += 1;
            return;
        }
        if self.dropped > 0 {
            let notice = format!("lines_dropped={}\n", self.dropped).into_bytes();
            if self.lines.try_send(notice).is_ok() {
                self.dropped = 0;
            }
        }
        match self.lines.try_send(line) {
            Ok(()) => self.tokens -= 1.0,
            Err(_) => self.dropped += 1,
        }
    }
}

impl Write for LogWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.partial.extend_from_slice(bytes);
        while let Some(end) = self.partial.iter().position(|byte| *byte == b'\n') {
            let rest = self.partial.split_off(end + 1);
            let line = std::mem::replace(&mut self.partial, rest);
            self.send(line);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(queued: &Receiver<Vec<u8>>) {
    while let Ok(line) = queued.recv() {
        // If standard output is closed, there is nowhere to report the failure.
        if stdout().write_all(&line).and_then(|()| stdout().flush()).is_err() {
            return;
        }
    }
}
