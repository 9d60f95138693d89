use {
    crate::Timing,
    oriolehoist_protocol::{
        Incarnation, LoadReport, OrderOutcome, OrderResponse, ServerAddress, ServerName,
    },
    oriolehoist_time::Millis,
    std::net::SocketAddr,
};

/// A server's clock reading, to be echoed in a renewal.
#[derive(Clone, Copy, Debug)]
pub(super) struct Echo {
    pub(super) time: Millis,
    pub(super) incarnation: Incarnation,
    /// When the reading was received, on the assigner's clock.
    received: Millis,
}

/// Which incarnation of a server a response comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseOrigin {
    /// An incarnation that has ended.
    Previous,
    /// The incarnation that is already known, or the first one heard from.
    Current,
    /// A newer incarnation: the server has restarted.
    New,
}

/// An assigner's state for one backend server. Servers are told apart by their addresses, which no
/// two processes have at the same time.
#[derive(Clone, Debug)]
pub(super) struct ServerEntry {
    name: ServerName,
    address: SocketAddr,
    echo: Option<Echo>,
    /// When the current incarnation was first heard from, on the assigner's clock.
    incarnation_known_since: Millis,
    /// When every grant that may have reached the server has expired, on the assigner's clock.
    grant_expiry: Millis,
    /// See [`ServerEntry::is_fenced`].
    fenced: bool,
    /// Whether the server has been announced as leaving.
    leaving: bool,
    /// Whether the current record no longer lists the server.
    removed: bool,
    /// Whether the server reports that it is draining.
    draining: bool,
    /// The number of the current list of grants.
    list: u64,
    /// The number of the list that the server has, or zero if it is unknown.
    acknowledged_list: u64,
    /// Whether the list has changed since the last renewal.
    list_changed: bool,
    last_order: Option<Millis>,
    last_revocation: Option<Millis>,
    load: LoadReport,
}

impl ServerEntry {
    pub(super) fn new(server: &ServerAddress) -> ServerEntry {
        ServerEntry {
            name: server.name.clone(),
            address: server.address,
            echo: None,
            incarnation_known_since: Millis::ZERO,
            grant_expiry: Millis::ZERO,
            fenced: false,
            leaving: false,
            removed: false,
            draining: false,
            list: 1,
            acknowledged_list: 0,
            list_changed: false,
            last_order: None,
            last_revocation: None,
            load: LoadReport::default(),
        }
    }

    pub(super) fn name(&self) -> &ServerName {
        &self.name
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(super) fn set_name(&mut self, name: &ServerName) {
        self.name.clone_from(name);
    }

    pub(super) fn load(&self) -> LoadReport {
        self.load
    }

    /// Handles the response to an order that was sent at `sent`. Returns which incarnation of the
    /// server it comes from.
    pub(super) fn on_response(
        &mut self,
        now: Millis,
        sent: Millis,
        response: &OrderResponse,
    ) -> ResponseOrigin {
        let origin = match self.echo {
            None => ResponseOrigin::Current,
            Some(echo) if echo.incarnation == response.incarnation => ResponseOrigin::Current,
            // An order that was sent after the current incarnation became known cannot have reached
            // an earlier one.
            Some(_) if sent > self.incarnation_known_since => ResponseOrigin::New,
            Some(_) => return ResponseOrigin::Previous,
        };
        if origin == ResponseOrigin::New || self.echo.is_none() {
            // A restarted server has no grants, and no longer knows which terms it has seen.
            self.incarnation_known_since = now;
            self.fenced = false;
            self.grant_expiry = Millis::ZERO;
        }
        // If responses arrive out of order, an older clock reading must not replace a newer one.
        let newer =
            origin == ResponseOrigin::New || self.echo.is_none_or(|e| response.time >= e.time);
        if newer {
            self.echo = Some(Echo {
                time: response.time,
                incarnation: response.incarnation,
                received: now,
            });
            self.acknowledged_list = match response.outcome {
                OrderOutcome::UnknownList => 0,
                _ => response.list,
            };
        }
        self.draining = response.load.draining;
        self.load = response.load;
        origin
    }

    /// Returns whether this is the incarnation that the server is known to have.
    pub(super) fn is_current(&self, incarnation: Incarnation) -> bool {
        self.echo.is_some_and(|echo| echo.incarnation == incarnation)
    }

    /// Records that the server's current incarnation has responded to a probe of this assigner.
    pub(super) fn set_fenced(&mut self) {
        self.fenced = true;
    }

    /// Returns whether the server's current incarnation has responded to a probe of this assigner.
    /// Its grants are then known, and it accepts no orders of previous assigners.
    pub(super) fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Returns whether the server has responded within [`Timing::lost_after`].
    pub(super) fn is_reachable(&self, now: Millis, timing: &Timing) -> bool {
        self.echo.is_some_and(|e| now.since(e.received) <= timing.lost_after)
    }

    /// Returns whether shards should move off the server.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving || self.draining || self.removed
    }

    pub(super) fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    pub(super) fn is_removed(&self) -> bool {
        self.removed
    }

    pub(super) fn set_removed(&mut self, removed: bool) {
        self.removed = removed;
    }

    /// Returns the clock reading to echo, or `None` if there is none or a grant measured from it
    /// would already have expired.
    pub(super) fn echo(&self, now: Millis, timing: &Timing) -> Option<Echo> {
        self.echo.filter(|e| now < e.received + timing.grant)
    }

    /// Returns whether every grant that may have reached the server has expired.
    pub(super) fn grants_have_expired(&self, now: Millis) -> bool {
        now > self.grant_expiry
    }

    /// Records that a grant that expires at `expiry` may have reached the server.
    pub(super) fn extend_grant_expiry(&mut self, expiry: Millis) {
        self.grant_expiry = self.grant_expiry.max(expiry);
    }

    pub(super) fn list(&self) -> u64 {
        self.list
    }

    /// Starts a new list of grants, unless the current one has not been sent yet. Returns the
    /// number of the list.
    pub(super) fn change_list(&mut self) -> u64 {
        if !self.list_changed {
            self.list += 1;
            self.list_changed = true;
        }
        self.list
    }

    /// Returns whether a renewal must contain the full list of grants.
    pub(super) fn needs_list(&self) -> bool {
        self.acknowledged_list != self.list
    }

    /// Returns whether an order is due. Orders are due at regular intervals, and renewals also as
    /// soon as the list of grants has changed, if `can_renew`. Probes are only sent at intervals,
    /// because the response to an immediate probe would trigger another one.
    pub(super) fn order_due(&self, now: Millis, timing: &Timing, can_renew: bool) -> bool {
        let interval = match self.is_reachable(now, timing) {
            true => timing.renewal,
            false => timing.heartbeat,
        };
        (self.list_changed && can_renew)
            || self.last_order.is_none_or(|sent| now.since(sent) >= interval)
    }

    /// Records that an order was sent. A renewal extends the time until the server's grants expire.
    pub(super) fn on_order_sent(&mut self, now: Millis, is_renewal: bool, timing: &Timing) {
        self.last_order = Some(now);
        match self.echo {
            Some(echo) if is_renewal => {
                self.list_changed = false;
                self.extend_grant_expiry(echo.received + timing.max_elapsed(timing.grant));
            }
            _ => {}
        }
    }

    /// Returns whether revocations are due, and if so, records that they are sent at `now`.
    pub(super) fn revocation_due(&mut self, now: Millis, timing: &Timing) -> bool {
        let due = self.last_revocation.is_none_or(|sent| now.since(sent) >= timing.renewal);
        if due {
            self.last_revocation = Some(now);
        }
        due
    }
}
