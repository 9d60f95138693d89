use oriolehoist_time::Millis;

/// A cold server counts as unused if it had tokens for this long that no daemon asked for, in seconds.
const UNUSED_SECONDS: f64 = 0.5;

/// Whether a server was without requests until lately, so that its measured demand says nothing about
/// how many daemons send it requests now.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Idleness {
    /// For how many seconds there have been tokens that no daemon asked for.
    unused: f64,
    /// Whether the daemons could not use the server before the next request.
    was_unavailable: bool,
    /// Whether all daemons may have requests for the server that have waited for the same event.
    expects_burst: bool,
    /// Whether a limit has come into force at all daemons, so that they find their first tokens together.
    is_new: bool,
    resumed: Option<Resumed>,
}

/// The use of a server after a time in which it was unused.
#[derive(Clone, Copy, Debug)]
struct Resumed {
    at: Millis,
    /// How many requests of this daemon have asked for a token since.
    asked: f64,
    /// Whether all daemons may have requests for it at once, also those that no other server can take.
    for_all: bool,
    /// After how many delays of reports the demand is known well enough.
    delays: u64,
}

impl Idleness {
    /// Records that no daemon could send requests to the server for some time, and that all may do so now.
    pub(crate) fn resume(&mut self) {
        self.was_unavailable = true;
    }

    /// Records that requests of all daemons may have waited for the server, and come now.
    pub(crate) fn expect_burst(&mut self) {
        self.expects_burst = true;
    }

    /// Records a request that needed no token.
    pub(crate) fn on_unlimited(&mut self) {
        (self.was_unavailable, self.expects_burst) = (false, false);
    }

    /// Starts anew as a limit comes into force. `for_all` is whether that is at the same time at all daemons.
    pub(crate) fn restart(&mut self, for_all: bool) {
        (self.unused, self.is_new, self.resumed) = (0.0, for_all, None);
    }

    /// Records that there were tokens for this long.
    pub(crate) fn on_tokens(&mut self, seconds: f64) {
        self.unused += seconds;
    }

    /// Records that a request of any daemon asked for a token.
    pub(crate) fn on_request(&mut self, now: Millis) {
        let was_unused = std::mem::take(&mut self.unused) >= UNUSED_SECONDS;
        let was_unavailable = std::mem::take(&mut self.was_unavailable);
        let expects_burst = std::mem::take(&mut self.expects_burst);
        let is_new = std::mem::take(&mut self.is_new);
        if was_unused || was_unavailable || is_new {
            let for_all = was_unavailable || expects_burst;
            // Requests for a server that was just found to be cold come all at once.
            let delays = if was_unused || was_unavailable { 1 } else { 2 };
            self.resumed = Some(Resumed { at: now, asked: 0.0, for_all, delays });
        }
    }

    /// Records that a request of this daemon asked for a token.
    pub(crate) fn on_own_request(&mut self) {
        if let Some(resumed) = &mut self.resumed {
            resumed.asked += 1.0;
        }
    }

    /// Returns how many requests may be sent at the same time as one of this daemon to a server that was
    /// unused until now. Any of the `others` may have as many, and what is heard of them takes `delay`. `is_spare` is whether another server can take the request.
    pub(crate) fn contenders(
        &self,
        now: Millis,
        delay: Millis,
        others: usize,
        is_spare: bool,
    ) -> f64 {
        match self.resumed {
            Some(Resumed { at, asked, for_all, delays })
                if now.since(at) < delay * delays && (is_spare || for_all) =>
            {
                1.0 + others as f64 * asked.max(1.0)
            }
            _ => 0.0,
        }
    }
}
