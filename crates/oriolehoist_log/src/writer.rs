use std::{
    io::{self, Write, stdout},
    sync::mpsc::{Receiver, SyncSender, sync_channel},
    thread,
    time::Instant,
};

/// How many lines may wait for the reader of the log.
const MAX_WAITING_LINES: usize = 1024;
/// How many lines a second are written in the long run, so that the log stays bounded under load.
const LINES_PER_SECOND: f64 = 400.0;
/// How many lines may be written at once after a quiet time.
const BURST_LINES: f64 = 1200.0;

/// Hands lines to a thread of its own. Lines beyond the bounds are dropped and counted.
pub(crate) struct Writer {
    lines: SyncSender<Vec<u8>>,
    partial: Vec<u8>,
    dropped: u64,
    allowance: f64,
    refilled: Instant,
}

impl Writer {
    pub(crate) fn start() -> io::Result<Writer> {
        let (lines, waiting) = sync_channel(MAX_WAITING_LINES);
        thread::Builder::new().name("log".into()).spawn(move || write_lines(&waiting))?;
        Ok(Writer {
            lines,
            partial: Vec::new(),
            dropped: 0,
            allowance: BURST_LINES,
            refilled: Instant::now(),
        })
    }

    fn send(&mut self, line: Vec<u8>) {
        let earned = self.refilled.elapsed().as_secs_f64() * LINES_PER_SECOND;
        self.refilled = Instant::now();
        self.allowance = (self.allowance + earned).min(BURST_LINES);
        if self.allowance < 1.0 {
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
            Ok(()) => self.allowance -= 1.0,
            Err(_) => self.dropped += 1,
        }
    }
}

impl Write for Writer {
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

fn write_lines(waiting: &Receiver<Vec<u8>>) {
    while let Ok(line) = waiting.recv() {
        // Without a reader there is nobody to tell of the failure.
        if stdout().write_all(&line).and_then(|()| stdout().flush()).is_err() {
            return;
        }
    }
}
