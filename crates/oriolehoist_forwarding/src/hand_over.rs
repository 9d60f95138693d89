use {crate::refusal::Refusal, oriolehoist_time::Millis};

/// How much earlier than here the deadline is at the other daemon. It covers the way there and back.
pub const WAY_ALLOWANCE: Millis = Millis(10);
/// To how many daemons a request is sent that can't help.
const MAX_FUTILE_TRIES: u32 = 8;

/// Counts the daemons that a request was handed over to.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DaemonTries(u32);

/// Why no other daemon is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoFurtherTry {
    /// All tries are used up.
    Exhausted,
    /// The deadline is too close.
    NoTime,
}

impl DaemonTries {
    /// Checks whether another daemon may be asked.
    pub(crate) fn check(self, remaining: Millis) -> Result<(), NoFurtherTry> {
        match remaining.since(WAY_ALLOWANCE) {
            _ if self.0 >= MAX_FUTILE_TRIES => Err(NoFurtherTry::Exhausted),
            Millis::ZERO => Err(NoFurtherTry::NoTime),
            _ => Ok(()),
        }
    }

    pub(crate) fn on_asked(&mut self) {
        self.0 += 1;
    }
}

/// The step while a request is handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandOverNext {
    /// Choose a daemon that was not asked yet. If there is none, there is no path.
    ChooseDaemon,
    /// No other daemon reaches the server, as far as is known.
    NoPath,
    /// Refuse the request.
    Refuse(Refusal),
}

/// How a daemon that was asked has ended without a response or a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DaemonEnd {
    /// It does not reach the server, or did not take the request.
    NotRun,
    /// It has responded, but its reply can't be decoded.
    Malformed,
    /// It has not responded, and may have sent the request to a server.
    Lost,
}
